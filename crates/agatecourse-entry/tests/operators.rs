//! Tests of service routes, the operators' endpoints and the shutdown.

mod support;

use googletest::prelude::*;
use serde_json::Value;
use std::time::Duration;
use support::{
    CALLER_KEY, EngineFault, OPERATOR_TOKEN, chat, chat_body, client, request_id,
    start_node_and_engine, word_numbers,
};

/// Guards against a service request that loses its method, path or body, a response that loses its status or headers,
/// and a caller's key that is forwarded to the service.
#[actix_web::test]
async fn service_requests_and_answers_are_forwarded_unchanged() {
    let (node, _engine) = start_node_and_engine(EngineFault::None).await;
    let url = format!("http://{}/services/stock/panes/a%2Fb?size=3", node.caller_address());
    let mut response = client().put(url).bearer_auth(CALLER_KEY).send_body("five").await.unwrap();
    assert_that!(response.status().as_u16(), eq(201));
    assert_that!(response.headers().get("x-depot").unwrap().to_str().unwrap(), eq("brasov"));
    let answer: Value = response.json().await.unwrap();
    assert_that!(answer["method"].as_str(), some(eq("PUT")));
    assert_that!(answer["path"].as_str(), some(eq("/panes/a%2Fb?size=3")));
    assert_that!(answer["body"].as_str(), some(eq("five")));
    assert_that!(answer["has_key"].as_bool(), some(eq(false)));
}

/// Guards against operators' endpoints that answer without the token or without their content.
#[actix_web::test]
async fn operator_endpoints_require_the_token() {
    let (node, _engine) = start_node_and_engine(EngineFault::None).await;
    let response = chat(&node).send_json(&chat_body(false)).await.unwrap();
    let explain = format!("/explain/{}", request_id(response.headers()));
    let table = [
        ("/metrics", "agatecourse_requests_total{code=\"ok\",route=\"quotes\",tier=\"0\"} 1"),
        ("/dump", "\"config_version\":1"),
        (explain.as_str(), "\"target\":\"t0\""),
    ];
    for (path, expected) in table {
        let url = format!("http://{}{path}", node.operator_address());
        for token in ["", "Bearer wrong", "Bearer caller-key"] {
            let request = client().get(&url).insert_header(("Authorization", token));
            assert_that!(request.send().await.unwrap().status().as_u16(), eq(401), "{path}");
        }
        let mut response = client().get(&url).bearer_auth(OPERATOR_TOKEN).send().await.unwrap();
        let body = String::from_utf8(response.body().await.unwrap().to_vec()).unwrap();
        assert_that!(body, contains_substring(expected), "{path}");
    }
}

/// Guards against a shutdown that interrupts a running stream or accepts new requests.
#[actix_web::test]
async fn shutdown_finishes_streams_and_refuses_new_requests() {
    let (node, engine) = start_node_and_engine(EngineFault::Slow).await;
    let (callers, operators) = (node.caller_address(), node.operator_address());
    let mut stream = chat(&node).send_json(&chat_body(true)).await.unwrap();
    let new_request = chat(&node);
    let stopped = actix_web::rt::spawn(node.shut_down());
    tokio::time::sleep(Duration::from_millis(100)).await;
    let mut refused = new_request.send_json(&chat_body(true)).await.unwrap();
    let problem: Value = refused.json().await.unwrap();
    assert_that!(problem["code"].as_u64(), some(eq(2009)));
    assert_that!(problem["run"].as_str(), some(eq("no")));
    let ready = client().get(format!("http://{operators}/readyz")).send().await.unwrap();
    assert_that!(ready.status().as_u16(), eq(503));
    let body = String::from_utf8(stream.body().await.unwrap().to_vec()).unwrap();
    assert_that!(word_numbers(&body).len() as u64, eq(support::CHUNK_COUNT));
    assert_that!(body, ends_with("data: [DONE]\n\n"));
    stopped.await.unwrap();
    assert_that!(std::net::TcpStream::connect(callers).is_err(), is_true());
    assert_that!(engine.runs.lock().unwrap().len(), eq(1));
}
