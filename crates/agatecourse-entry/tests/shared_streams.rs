//! Model requests with the same idempotency key, which share one engine stream.

mod support;

use agatecourse_entry::Node;
use futures_util::{StreamExt, future::join_all};
use googletest::prelude::*;
use serde_json::{Value, json};
use std::time::Duration;
use support::{
    CHUNK_COUNT, EngineFault, EngineState, chat, chat_body, start_node_and_engine, wait_until,
    word_numbers,
};

fn keyed_request(node: &Node, key: &str) -> awc::ClientRequest {
    chat(node).insert_header(("Idempotency-Key", key))
}

async fn read_keyed_stream(node: &Node, key: &str) -> String {
    let mut response = keyed_request(node, key).send_json(&chat_body(true)).await.unwrap();
    String::from_utf8(response.body().await.unwrap().to_vec()).unwrap()
}

fn total_runs(engine: &EngineState) -> u32 {
    engine.runs.lock().unwrap().values().sum()
}

/// Guards against a second run for a key whose stream can be shared, against responses that lack the first chunks, and
/// against a key that is accepted for a different body.
#[gtest]
#[actix_web::test]
async fn requests_with_one_key_share_one_run() {
    let (node, engine) = start_node_and_engine(EngineFault::Slow).await;
    let mut bodies = join_all((0..4).map(|_| read_keyed_stream(&node, "k"))).await;
    bodies.push(read_keyed_stream(&node, "k").await);
    for body in &bodies {
        expect_that!(word_numbers(body), eq(&(1..=CHUNK_COUNT).collect::<Vec<_>>()));
        expect_that!(body, ends_with("data: [DONE]\n\n"));
    }
    expect_that!(total_runs(&engine), eq(1));
    let mut other_body = chat_body(true);
    other_body["temperature"] = json!(1);
    let mut refused = keyed_request(&node, "k").send_json(&other_body).await.unwrap();
    let problem: Value = refused.json().await.unwrap();
    expect_that!((problem["code"].as_u64(), problem["run"].as_str()), eq((Some(1006), Some("no"))));
    read_keyed_stream(&node, "other").await;
    expect_that!(total_runs(&engine), eq(2));
}

/// Guards against a stream that is cancelled for all readers when the first caller disconnects, and against one that
/// keeps running without readers.
#[gtest]
#[actix_web::test]
async fn stream_is_cancelled_when_its_last_reader_disconnects() {
    let (node, engine) = start_node_and_engine(EngineFault::Slow).await;
    let mut first = keyed_request(&node, "k").send_json(&chat_body(true)).await.unwrap();
    first.next().await.unwrap().unwrap();
    let mut second = keyed_request(&node, "k").send_json(&chat_body(true)).await.unwrap();
    second.next().await.unwrap().unwrap();
    drop(first);
    tokio::time::sleep(Duration::from_millis(300)).await;
    expect_that!(engine.cancelled.lock().unwrap().len(), eq(0));
    drop(second);
    let cancelled = wait_until(|| !engine.cancelled.lock().unwrap().is_empty()).await;
    expect_that!(cancelled, is_true());
    expect_that!(total_runs(&engine), eq(1));
    let again = read_keyed_stream(&node, "k").await;
    expect_that!(again, ends_with("data: [DONE]\n\n"));
    expect_that!(total_runs(&engine), eq(2));
}
