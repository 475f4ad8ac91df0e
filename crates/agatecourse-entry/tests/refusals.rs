//! Refusals of invalid requests, of requests over a limit, and of incomplete requests.

mod support;

use agatecourse_entry::Node;
use googletest::prelude::*;
use serde_json::{Value, json};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};
use support::{CALLER_KEY, EngineFault, chat, chat_body, client, start_node_and_engine};

/// Expected result code, headers and body of an invalid request.
type BadRequestCase<'a> = (u64, Vec<(&'a str, &'a str)>, Vec<u8>);

async fn post(node: &Node, headers: &[(&str, &str)], body: Vec<u8>) -> (u16, Value) {
    let url = format!("http://{}/v1/chat/completions", node.caller_address());
    let mut request = client().post(url);
    for header in headers {
        request = request.insert_header(*header);
    }
    let mut response = request.send_body(body).await.unwrap();
    let content_type = response.headers().get("content-type").unwrap().clone();
    assert_that!(content_type.to_str().unwrap(), eq("application/problem+json"));
    (response.status().as_u16(), response.json().await.unwrap())
}

/// Guards against invalid requests that run, cause a panic, or are refused with the wrong code or without a detail.
#[actix_web::test]
async fn invalid_requests_are_refused_with_their_code_and_not_run() {
    let (node, engine) = start_node_and_engine(EngineFault::None).await;
    let valid_body = chat_body(false).to_string().into_bytes();
    let bearer = format!("Bearer {CALLER_KEY}");
    let key = ("Authorization", bearer.as_str());
    let long_value = "x".repeat(20_000);
    let unknown_route = json!({"model": "nothing", "messages": [{"content": "x"}]}).to_string();
    let other_kind = json!({"model": "stock", "messages": [{"content": "x"}]}).to_string();
    let table: Vec<BadRequestCase<'_>> = vec![
        (1000, vec![key], b"{\"model\":".to_vec()),
        (1000, vec![key], b"[1,2]".to_vec()),
        (1000, vec![key], vec![0xff; 64]),
        (1000, vec![key, ("X-Long", &long_value)], valid_body.clone()),
        (1000, vec![key, ("Idempotency-Key", "")], valid_body.clone()),
        (1001, vec![key], vec![b' '; 65_537]),
        (1002, vec![], valid_body.clone()),
        (1002, vec![("Authorization", "Bearer wrong")], valid_body.clone()),
        (1002, vec![("Authorization", "Basic abc")], valid_body.clone()),
        (1003, vec![key], unknown_route.into_bytes()),
        (1003, vec![key], other_kind.into_bytes()),
        (1004, vec![key, ("X-Deadline-Ms", "0")], valid_body.clone()),
        (1004, vec![key, ("X-Deadline-Ms", "-5")], valid_body.clone()),
        (1004, vec![key, ("X-Deadline-Ms", "soon")], valid_body.clone()),
        (1004, vec![key, ("X-Deadline-Ms", "99999999999999999999")], valid_body.clone()),
    ];
    for (code, headers, body) in table {
        let (status, problem) = post(&node, &headers, body).await;
        assert_that!(problem["code"].as_u64(), some(eq(code)), "{headers:?}");
        assert_that!(problem["status"].as_u64(), some(eq(u64::from(status))));
        assert_that!(problem["run"].as_str(), some(eq("no")));
        assert_that!(problem["detail"].as_str(), some(not(eq(""))));
    }
    assert_that!(engine.runs.lock().unwrap().len(), eq(0));
    let response = chat(&node).send_json(&chat_body(false)).await.unwrap();
    assert_that!(response.status().as_u16(), eq(200));
}

/// Guards against callers that use forbidden routes or exceed the rate limit of their organisation.
#[actix_web::test]
async fn forbidden_routes_and_excess_rates_are_refused() {
    let (node, _engine) = start_node_and_engine(EngineFault::None).await;
    let key = ("Authorization", "Bearer small-key");
    let body = chat_body(false).to_string().into_bytes();
    let url = format!("http://{}/v1/chat/completions", node.caller_address());
    let first = client().post(&url).insert_header(key).send_body(body.clone()).await.unwrap();
    assert_that!(first.status().as_u16(), eq(200));
    let second = client().post(&url).insert_header(key).send_body(body).await.unwrap();
    assert_that!(second.status().as_u16(), eq(429));
    assert_that!(second.headers().contains_key("retry-after"), is_true());
    let url = format!("http://{}/services/stock/panes", node.caller_address());
    let mut response = client().get(url).insert_header(key).send().await.unwrap();
    let problem: Value = response.json().await.unwrap();
    assert_that!(problem["code"].as_u64(), some(eq(1008)));
}

fn read_until_closed(address: SocketAddr, text: &str) -> (String, Duration) {
    let started_at = Instant::now();
    let mut stream = TcpStream::connect(address).unwrap();
    stream.set_read_timeout(Some(Duration::from_secs(20))).unwrap();
    stream.write_all(text.as_bytes()).unwrap();
    let mut answer = String::new();
    let _ = stream.read_to_string(&mut answer);
    (answer, started_at.elapsed())
}

/// Guards against connections that an incomplete request head or body occupies for longer than its timeout.
#[actix_web::test]
async fn incomplete_requests_time_out() {
    let (node, engine) = start_node_and_engine(EngineFault::None).await;
    let address = node.caller_address();
    let table = [
        ("POST /v1/chat/comp".to_string(), "408", 8),
        (
            format!(
                "POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer {CALLER_KEY}\r\n\
                 Connection: close\r\nContent-Length: 100\r\n\r\n{{\"mod"
            ),
            "\"code\":1007",
            15,
        ),
    ];
    let threads: Vec<_> = table
        .into_iter()
        .map(|(text, expected, limit_s)| {
            (std::thread::spawn(move || read_until_closed(address, &text)), expected, limit_s)
        })
        .collect();
    for (thread, expected, limit_s) in threads {
        while !thread.is_finished() {
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
        let (answer, elapsed) = thread.join().unwrap();
        assert_that!(answer, contains_substring(expected));
        assert_that!(elapsed, lt(Duration::from_secs(limit_s)));
    }
    assert_that!(engine.runs.lock().unwrap().len(), eq(0));
}

/// Guards against non-idempotent requests that run without a key or while the journal is unavailable.
#[actix_web::test]
async fn non_idempotent_routes_need_a_key_and_the_journal() {
    let (node, engine) = start_node_and_engine(EngineFault::None).await;
    let url = format!("http://{}/services/orders/new", node.caller_address());
    for (key, code) in [(None, 1005), (Some("k1"), 2005)] {
        let mut request = client().post(&url).bearer_auth(CALLER_KEY);
        if let Some(key) = key {
            request = request.insert_header(("Idempotency-Key", key));
        }
        let mut response = request.send_body("pane").await.unwrap();
        let problem: Value = response.json().await.unwrap();
        assert_that!(problem["code"].as_u64(), some(eq(code)));
        assert_that!(problem["run"].as_str(), some(eq("no")));
    }
    assert_that!(engine.runs.lock().unwrap().len(), eq(0));
}
