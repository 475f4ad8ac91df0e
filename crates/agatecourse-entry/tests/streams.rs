//! Model requests from caller to engine, with faults of the engine.

mod support;

use googletest::prelude::*;
use serde_json::Value;
use std::time::{Duration, Instant};
use support::{
    CHUNK_COUNT, EngineFault, chat, chat_body, request_id, start_node_and_engine, word_numbers,
};

async fn read_stream(
    fault: EngineFault,
) -> (String, std::sync::Arc<support::EngineState>, Duration) {
    let (node, engine) = start_node_and_engine(fault).await;
    let started_at = Instant::now();
    let mut response = chat(&node).send_json(&chat_body(true)).await.unwrap();
    let body = response.body().await.unwrap();
    (String::from_utf8(body.to_vec()).unwrap(), engine, started_at.elapsed())
}

/// Returns the word numbers of a complete response.
fn all_word_numbers() -> Vec<u64> {
    (1..=CHUNK_COUNT).collect()
}

/// Guards against lost, duplicated or reordered chunks when a stream breaks or stalls, and against a second run.
#[actix_web::test]
async fn resumed_streams_deliver_each_chunk_once() {
    for fault in
        [EngineFault::None, EngineFault::Break, EngineFault::Silence, EngineFault::RepeatOnResume]
    {
        let (body, engine, elapsed) = read_stream(fault).await;
        assert_that!(word_numbers(&body), eq(&all_word_numbers()), "{fault:?}: {body}");
        assert_that!(body, ends_with("data: [DONE]\n\n"), "{fault:?}");
        assert_that!(elapsed, lt(Duration::from_secs(5)), "{fault:?}");
        let runs: Vec<u32> = engine.runs.lock().unwrap().values().copied().collect();
        assert_that!(runs, eq(&vec![1]), "{fault:?}");
        let resumed = engine.resumed_after.lock().unwrap().clone();
        let expected = if fault == EngineFault::None { vec![] } else { vec![Some(3)] };
        assert_that!(resumed, eq(&expected), "{fault:?}");
    }
}

/// Guards against JSON responses that lack chunks or the usage of the stream from which they are assembled.
#[actix_web::test]
async fn json_responses_are_assembled_from_the_stream() {
    for fault in [EngineFault::None, EngineFault::Break] {
        let (node, _engine) = start_node_and_engine(fault).await;
        let mut response = chat(&node).send_json(&chat_body(false)).await.unwrap();
        let answer: Value = response.json().await.unwrap();
        let content = answer["choices"][0]["message"]["content"].as_str().unwrap();
        assert_that!(word_numbers(content), eq(&all_word_numbers()), "{fault:?}");
        assert_that!(answer["usage"]["completion_tokens"].as_u64(), some(eq(CHUNK_COUNT)));
    }
}

/// Guards against truncated responses that look complete.
#[actix_web::test]
async fn truncated_responses_end_with_an_error() {
    for fault in [EngineFault::BreakAlways, EngineFault::NoFinishReason] {
        let (body, engine, _) = read_stream(fault).await;
        assert_that!(body, contains_substring("event: error\ndata: {"), "{fault:?}");
        assert_that!(body, contains_substring("\"code\":3003"), "{fault:?}");
        assert_that!(body, not(contains_substring("[DONE]")), "{fault:?}");
        let runs: Vec<u32> = engine.runs.lock().unwrap().values().copied().collect();
        assert_that!(runs, eq(&vec![1]), "{fault:?}");
        let (node, _engine) = start_node_and_engine(fault).await;
        let mut response = chat(&node).send_json(&chat_body(false)).await.unwrap();
        assert_that!(response.status().as_u16(), eq(502), "{fault:?}");
        let problem: Value = response.json().await.unwrap();
        assert_that!(problem["code"].as_u64(), some(eq(3003)), "{fault:?}");
    }
}

/// Guards against streams that continue at the engine after the caller disconnected or the deadline passed.
#[actix_web::test]
async fn disconnects_and_deadlines_cancel_at_the_engine() {
    let (node, engine) = start_node_and_engine(EngineFault::Endless).await;
    let response = chat(&node).send_json(&chat_body(true)).await.unwrap();
    let id = request_id(response.headers());
    drop(response);
    let cancelled = || engine.cancelled.lock().unwrap().contains(&id);
    assert_that!(support::wait_until(cancelled).await, is_true());

    let started_at = Instant::now();
    let request = chat(&node).insert_header(("X-Deadline-Ms", "700"));
    let mut body = chat_body(true);
    // With a small estimate of output tokens, the scheduler accepts the short deadline.
    body["max_tokens"] = 4.into();
    let mut response = request.send_json(&body).await.unwrap();
    let id = request_id(response.headers());
    let body = String::from_utf8(response.body().await.unwrap().to_vec()).unwrap();
    assert_that!(started_at.elapsed(), lt(Duration::from_secs(2)));
    assert_that!(body, contains_substring("\"code\":3001"));
    let cancelled = || engine.cancelled.lock().unwrap().contains(&id);
    assert_that!(support::wait_until(cancelled).await, is_true());
}

/// Guards against unbounded buffers: a caller that reads nothing must stop the reads from the engine.
#[actix_web::test]
async fn slow_caller_applies_backpressure_to_the_engine() {
    let (node, engine) = start_node_and_engine(EngineFault::Flood).await;
    let response = chat(&node).send_json(&chat_body(true)).await.unwrap();
    let sent_bytes = || *engine.sent_flood_bytes.lock().unwrap();
    let mut is_stalled = false;
    for _ in 0..10 {
        let sent_before = sent_bytes();
        tokio::time::sleep(Duration::from_secs(1)).await;
        // Socket buffers hold several megabytes on loopback; without backpressure the engine sends gigabytes.
        assert_that!(sent_bytes(), lt(32 * 1024 * 1024));
        is_stalled = sent_before > 0 && sent_bytes() - sent_before <= 64 * 1024;
        if is_stalled {
            break;
        }
    }
    assert_that!(is_stalled, is_true());
    drop(response);
}

/// Guards against a refused connection that ends the request although another target is available, or that is reported
/// as a run.
#[actix_web::test]
async fn refused_connections_fail_over_or_report_no_run() {
    let (address, engine) = support::start_engine();
    let node = support::start_node(support::config(&[support::closed_address(), address])).await;
    for _ in 0..4 {
        let response = chat(&node).send_json(&chat_body(false)).await.unwrap();
        assert_that!(response.status().as_u16(), eq(200));
    }
    assert_that!(engine.runs.lock().unwrap().len(), eq(4));

    let node = support::start_node(support::config(&[support::closed_address()])).await;
    let mut response = chat(&node).send_json(&chat_body(false)).await.unwrap();
    let problem: Value = response.json().await.unwrap();
    assert_that!(problem["code"].as_u64(), some(eq(2007)));
    assert_that!(problem["run"].as_str(), some(eq("no")));
}
