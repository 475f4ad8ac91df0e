//! Tests of the engine stand-in over HTTP.

mod common;

use agatecourse_standin::{EngineSettings, Standin, WeightStoreSettings, expected_answer};
use awc::http::StatusCode;
use common::{Engine, read};
use googletest::prelude::*;
use serde_json::{Value, json};
use std::time::Duration;

const PROMPT: &str = "storm survey of greenhouse 7";

fn fast_settings() -> EngineSettings {
    EngineSettings::new("engine-1").with_token_time(Duration::from_millis(2))
}

async fn send_order(engine: &Engine, order: &Value) -> u16 {
    engine.post("/v1/orders", order).await.0
}

/// Returns the text, the event ids and the usage of a stream of server-sent events.
fn parse_events(events: &str) -> (String, Vec<usize>, Value) {
    let mut parsed = (String::new(), Vec::new(), Value::Null);
    for line in events.lines() {
        if let Some(id) = line.strip_prefix("id: ") {
            parsed.1.push(id.parse().expect("ids are numbers"));
        } else if let Some(data) = line.strip_prefix("data: {") {
            let chunk: Value = serde_json::from_str(&format!("{{{data}")).expect("chunks are JSON");
            parsed.0.push_str(chunk["choices"][0]["delta"]["content"].as_str().unwrap_or_default());
            parsed.2 = chunk["usage"].clone();
        }
    }
    parsed
}

/// Guards against an incomplete answer, or one that a caller can't verify as the answer to its own request.
#[gtest]
#[actix_rt::test]
async fn answers_are_whole_and_derived_from_the_request() {
    let engine = Engine::start(fast_settings());
    let (status, events) = engine.submit("r1", PROMPT, true, 20).await;
    let (text, ids, usage) = parse_events(&events);
    expect_that!((status, events.ends_with("data: [DONE]\n\n")), eq((200, true)));
    expect_that!(text, eq(&expected_answer("r1", PROMPT, 20)));
    expect_that!(ids, eq(&(1..=21).collect::<Vec<_>>()));
    expect_that!(usage["prompt_tokens"], eq(&json!(PROMPT.len() / 4)));
    expect_that!(usage["completion_tokens"], eq(&json!(20)));

    let (_, whole) = engine.submit("r2", PROMPT, false, 5).await;
    let whole: Value = serde_json::from_str(&whole).expect("the answer is JSON");
    let content = &whole["choices"][0]["message"]["content"];
    expect_that!(content, eq(&json!(expected_answer("r2", PROMPT, 5))));
    expect_that!(engine.standin.runs_of("r1"), eq(1));
}

/// Guards against an engine that aborts a run when a connection breaks, or repeats events after a resume.
#[gtest]
#[actix_rt::test]
async fn streams_go_on_and_resume_after_the_last_event() {
    let engine = Engine::start(fast_settings());
    let broken =
        tokio::time::timeout(Duration::from_millis(20), engine.submit("r1", PROMPT, true, 30))
            .await;
    expect_that!(broken.is_err(), is_true(), "the connection is dropped before the end");
    let resume = engine.client.get(engine.url("/v1/chat/completions/r1"));
    let (_, events) = read(resume.insert_header(("last-event-id", "10")).send().await).await;
    let (text, ids, _) = parse_events(&events);
    expect_that!(ids, eq(&(11..=31).collect::<Vec<_>>()));
    expect_that!(expected_answer("r1", PROMPT, 30), ends_with(text));
    expect_that!(engine.standin.runs_of("r1"), eq(1));
    let unknown = engine.client.get(engine.url("/v1/chat/completions/r9")).send().await;
    expect_that!(read(unknown).await.0, eq(404));
}

/// Guards against a cancelled request that continues to run or looks complete.
#[gtest]
#[actix_rt::test]
async fn cancelled_requests_end_without_done() {
    let engine = Engine::start(fast_settings());
    let cancel = async {
        actix_rt::time::sleep(Duration::from_millis(50)).await;
        let delete = engine.client.delete(engine.url("/v1/chat/completions/r1"));
        read(delete.send().await).await
    };
    let ((_, events), (_, cancelled)) =
        futures_util::join!(engine.submit("r1", PROMPT, true, 5_000), cancel);
    expect_that!(events, not(contains_substring("[DONE]")));
    expect_that!(cancelled, contains_substring("\"cancelled\":true"));
}

/// Guards against a cache that never hits, or that never evicts although memory is limited.
#[gtest]
#[actix_rt::test]
async fn prefixes_are_cached_in_limited_memory() {
    let engine = Engine::start(
        fast_settings()
            .with_cache_blocks(4)
            .with_cache_event_lag(Duration::ZERO)
            .with_cache_event_gap_every(0),
    );
    let (first, second) = ("a".repeat(1_024), "b".repeat(1_024));
    let mut cached = Vec::new();
    for (id, prompt) in [("r1", &first), ("r2", &first), ("r3", &second), ("r4", &first)] {
        let (_, events) = engine.submit(id, prompt, true, 1).await;
        cached.push(parse_events(&events).2["prompt_tokens_details"]["cached_tokens"].as_u64());
    }
    // The last prompt token is always processed, so 255 of the 256 tokens are cache hits.
    expect_that!(cached, eq(&[Some(0), Some(255), Some(0), Some(0)]));
    let events = engine.get("/v1/cache-events?after=0").await;
    let kinds: Vec<&str> = events["events"]
        .as_array()
        .expect("a list")
        .iter()
        .filter_map(|event| event["kind"].as_str())
        .collect();
    expect_that!(kinds.iter().filter(|kind| **kind == "stored").count(), eq(12));
    expect_that!(kinds.iter().filter(|kind| **kind == "evicted").count(), eq(8));
}

/// Guards against a version fault that has no effect, or applies outside its conditions.
#[gtest]
#[actix_rt::test]
async fn faults_of_a_version_show_under_their_conditions() -> googletest::Result<()> {
    let engine = Engine::start(fast_settings().with_load_time(Duration::from_millis(50)));
    let fault = json!({"versions": [{"version": "v1", "fails": true, "after_requests": 2}]});
    engine.standin.change_faults(&fault).or_fail()?;
    for (id, status) in [("r1", 200), ("r2", 200), ("r3", 500)] {
        expect_that!(engine.submit(id, PROMPT, false, 2).await.0, eq(status));
    }
    let other_route = json!({"versions": [{"version": "v1", "fails": true, "route": "plans"}]});
    engine.standin.change_faults(&other_route).or_fail()?;
    expect_that!(engine.submit("r4", PROMPT, false, 2).await.0, eq(200));
    let truncates = json!({"versions": [{"version": "v1", "truncate_after_tokens": 3}]});
    engine.standin.change_faults(&truncates).or_fail()?;
    let (_, events) = engine.submit("r5", PROMPT, true, 9).await;
    expect_that!(parse_events(&events).1, eq(&[1, 2, 3]));
    expect_that!(events, not(contains_substring("[DONE]")));
    Ok(())
}

/// Guards against obeying the holder of an expired lease with the fencing check, and refusing it without the check.
#[gtest]
#[actix_rt::test]
async fn old_fencing_numbers_are_refused_only_with_the_check() {
    for checks in [true, false] {
        let settings = fast_settings().with_load_time(Duration::from_millis(20));
        let settings = if checks { settings.with_fencing_check() } else { settings };
        let engine = Engine::start(settings);
        let load = |fencing| json!({"order": "load", "version": "v2", "fencing": fencing});
        expect_that!(send_order(&engine, &load(7)).await, eq(202));
        let old = json!({"order": "unload", "version": "v2", "fencing": 6});
        expect_that!(send_order(&engine, &old).await, eq(if checks { 409 } else { 202 }));
        actix_rt::time::sleep(Duration::from_millis(100)).await;
        let versions = engine.get("/v1/state").await["state"]["versions"].clone();
        let expected =
            if checks { json!({"v1": "loaded", "v2": "loaded"}) } else { json!({"v1": "loaded"}) };
        expect_that!(versions, eq(&expected));
    }
}

/// Guards against a crash that sends a response first or leaves the port open.
#[gtest]
#[actix_rt::test]
async fn a_marked_body_crashes_the_engine() -> googletest::Result<()> {
    let engine = Engine::start(fast_settings());
    engine.standin.change_faults(&json!({"crash_marker": "XCRASHX"})).or_fail()?;
    expect_that!(engine.submit("r1", PROMPT, false, 2).await.0, eq(200));
    expect_that!(engine.submit("r2", "a XCRASHX b", false, 2).await.0, eq(0));
    let refused = std::net::TcpStream::connect(engine.standin.address());
    expect_that!(refused.is_err(), is_true());
    Ok(())
}

/// Guards against a silence fault that also affects new connections, so that streams could not be resumed.
#[gtest]
#[actix_rt::test]
async fn silence_stops_open_connections_only() -> googletest::Result<()> {
    let engine = Engine::start(fast_settings());
    let silence = async {
        actix_rt::time::sleep(Duration::from_millis(40)).await;
        engine.standin.change_faults(&json!({"silence_existing": true}))
    };
    let silent =
        tokio::time::timeout(Duration::from_millis(600), engine.submit("r1", PROMPT, true, 100));
    let (silent, changed) = futures_util::join!(silent, silence);
    changed.or_fail()?;
    expect_that!(silent.is_err(), is_true());
    let resumed = engine.client.get(engine.url("/v1/chat/completions/r1")).send().await;
    let (status, events) = read(resumed).await;
    expect_that!(status, eq(StatusCode::OK.as_u16()));
    expect_that!(parse_events(&events).0, eq(&expected_answer("r1", PROMPT, 100)));
    Ok(())
}

/// Guards against a load that ignores the weight store's rate, or completes after its version was unloaded.
#[gtest]
#[actix_rt::test]
async fn loads_take_the_time_that_the_weight_store_allows() -> googletest::Result<()> {
    let weights = WeightStoreSettings::new().with_rate_bytes_per_s(1_000).with_size_bytes(300);
    let weights = weights.with_missing("v9").start(Standin::EPHEMERAL).or_fail()?;
    let settings = fast_settings().with_load_time(Duration::ZERO).with_version_limit(4);
    let engine = Engine::start(settings.with_weight_store(weights.address()));
    for version in ["v2", "v9"] {
        let load = json!({"order": "load", "version": version, "fencing": 1});
        expect_that!(send_order(&engine, &load).await, eq(202));
    }
    let revoked = json!({"order": "load", "version": "v3", "fencing": 1});
    expect_that!(send_order(&engine, &revoked).await, eq(202));
    expect_that!(
        send_order(&engine, &json!({"order": "unload", "version": "v3", "fencing": 1})).await,
        eq(202)
    );
    actix_rt::time::sleep(Duration::from_millis(150)).await;
    let loading = engine.get("/v1/state").await["state"]["versions"].clone();
    expect_that!(loading, eq(&json!({"v1": "loaded", "v2": "loading"})));
    actix_rt::time::sleep(Duration::from_secs(1)).await;
    let loaded = engine.get("/v1/state").await["state"]["versions"].clone();
    expect_that!(loaded, eq(&json!({"v1": "loaded", "v2": "loaded"})));
    Ok(())
}
