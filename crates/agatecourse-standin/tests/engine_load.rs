//! Tests of the engine stand-in under load: batching, cache, load reports and versions.

mod common;

use agatecourse_standin::EngineSettings;
use common::Engine;
use futures_util::future::join_all;
use googletest::prelude::*;
use serde_json::{Value, json};
use std::time::{Duration, Instant};

const PROMPT: &str = "cut 4 panes";

fn settings() -> EngineSettings {
    EngineSettings::new("engine-1").with_token_time(Duration::from_millis(4))
}

/// Returns the time that a number of equal concurrent requests take.
async fn run_batch(engine: &Engine, name: &str, requests: usize, tokens: usize) -> Duration {
    let start = Instant::now();
    let submit = |index| async move {
        engine.submit(&format!("{name}-{index}"), PROMPT, false, tokens).await.0
    };
    let statuses = join_all((0..requests).map(submit)).await;
    expect_that!(statuses, each(eq(&200)));
    start.elapsed()
}

/// Guards against an engine whose token rate does not depend on the batch size, or that has no batch limit.
#[gtest]
#[actix_rt::test]
async fn speed_falls_with_the_batch_and_the_batch_is_limited() {
    let engine = Engine::start(settings().with_batch_slowdown(0.2).with_batch_limit(6));
    let alone = run_batch(&engine, "alone", 1, 50).await;
    let batch = run_batch(&engine, "batch", 6, 50).await;
    let queued = run_batch(&engine, "queued", 12, 50).await;
    // One request takes 50 x 4 ms, each of six takes twice as long, and twelve need two batches.
    expect_that!(alone, ge(Duration::from_millis(195)));
    expect_that!(batch.as_secs_f64() / alone.as_secs_f64(), gt(1.6));
    expect_that!(queued.as_secs_f64() / batch.as_secs_f64(), gt(1.6));
}

/// Guards against prompts that take no processing time, which would hide wasted prefill.
#[gtest]
#[actix_rt::test]
async fn reading_a_prompt_takes_time_unless_it_is_cached() {
    let engine = Engine::start(settings().with_read_tokens_per_s(5_000));
    let prompt = "a".repeat(4 * 1_500);
    let mut times = Vec::new();
    for id in ["first", "second"] {
        let start = Instant::now();
        engine.submit(id, &prompt, false, 1).await;
        times.push(start.elapsed());
    }
    expect_that!(times[0], ge(Duration::from_millis(295)));
    expect_that!(times[1], lt(times[0] / 2));
}

/// Guards against reports without lag, a lost `leaving` flag, and a full queue that still accepts requests.
#[gtest]
#[actix_rt::test]
async fn load_reports_lag_behind() -> googletest::Result<()> {
    let lag = Duration::from_millis(400);
    let engine =
        Engine::start(settings().with_report_lag(lag).with_batch_limit(1).with_queue_limit(1));
    actix_rt::time::sleep(lag).await;
    let busy = join_all(["r1", "r2"].map(|id| engine.submit(id, PROMPT, false, 250)));
    let watch = async {
        actix_rt::time::sleep(Duration::from_millis(150)).await;
        let early = engine.get("/v1/load").await;
        let refused = engine.submit("r3", PROMPT, false, 1).await.0;
        engine.standin.change_faults(&json!({"leaving": true})).or_fail()?;
        actix_rt::time::sleep(lag + Duration::from_millis(150)).await;
        let watched: googletest::Result<_> = Ok((early, refused, engine.get("/v1/load").await));
        watched
    };
    let (_, watched) = futures_util::join!(busy, watch);
    let (early, refused, late) = watched?;
    let load = |report: &Value| (report["running"].clone(), report["waiting"].clone());
    expect_that!(load(&early), eq(&(json!(0), json!(0))));
    expect_that!(load(&late), eq(&(json!(1), json!(1))));
    expect_that!(late["leaving"], eq(&json!(true)));
    expect_that!((refused, engine.standin.runs_of("r3")), eq((429, 0)));
    Ok(())
}

/// Guards against a fault with `above_batch` that applies to smaller batches or to another version.
#[gtest]
#[actix_rt::test]
async fn a_version_slows_above_its_batch_size_only() -> googletest::Result<()> {
    let engine = Engine::start(settings().with_batch_slowdown(0.0));
    let fault = json!({"version": "v1", "slow_factor": 4.0, "above_batch": 2});
    engine.standin.change_faults(&json!({"versions": [fault]})).or_fail()?;
    let idle = run_batch(&engine, "idle", 1, 30).await;
    let loaded = run_batch(&engine, "loaded", 3, 30).await;
    expect_that!(loaded.as_secs_f64() / idle.as_secs_f64(), gt(3.0));
    let other = json!({"version": "v2", "slow_factor": 4.0});
    engine.standin.change_faults(&json!({"versions": [other]})).or_fail()?;
    let unaffected = run_batch(&engine, "unaffected", 3, 30).await;
    expect_that!(unaffected.as_secs_f64() / idle.as_secs_f64(), lt(2.0));
    Ok(())
}

/// Guards against cache events without lag or gaps, which would hide defects of code that relies on them.
#[gtest]
#[actix_rt::test]
async fn cache_events_are_late_and_have_gaps() {
    let lag = Duration::from_millis(300);
    let engine = Engine::start(settings().with_cache_event_lag(lag).with_cache_event_gap_every(4));
    engine.submit("r1", &"a".repeat(256 * 8), false, 1).await;
    let sequence = |page: &Value| -> Vec<u64> {
        let events = page["events"].as_array().expect("a list").iter();
        events.filter_map(|event| event["seq"].as_u64()).collect()
    };
    expect_that!(sequence(&engine.get("/v1/cache-events").await), is_empty());
    actix_rt::time::sleep(lag).await;
    expect_that!(sequence(&engine.get("/v1/cache-events").await), eq(&[1, 2, 3, 5, 6, 7]));
    expect_that!(sequence(&engine.get("/v1/cache-events?after=5").await), eq(&[6, 7]));
}

/// Guards against exported blocks that another engine does not use.
#[gtest]
#[actix_rt::test]
async fn imported_blocks_count_as_cached() {
    let (first, second) = (Engine::start(settings()), Engine::start(settings()));
    let prompt = "a".repeat(256 * 3 + 20);
    first.submit("r1", &prompt, false, 1).await;
    let exported = first.post("/v1/kv/export", &json!({"request_id": "r1"})).await.1;
    let blocks: Value = serde_json::from_str(&exported).expect("the answer is JSON");
    let imported = second.post("/v1/kv/import", &blocks).await;
    expect_that!(imported, eq(&(200, r#"{"imported":3}"#.to_string())));
    let (_, answer) = second.submit("r2", &prompt, false, 1).await;
    expect_that!(answer, contains_substring(r#""cached_tokens":192"#));
    let unknown = json!({"request_id": "r9"});
    expect_that!(first.post("/v1/kv/export", &unknown).await.0, eq(404));
}

/// Guards against a stopped stand-in whose port stays closed, so that a restart could not be tested.
#[gtest]
#[actix_rt::test]
async fn a_stopped_engine_starts_again_on_its_port() -> googletest::Result<()> {
    let mut engine = Engine::start(settings());
    expect_that!(engine.submit("r1", PROMPT, false, 1).await.0, eq(200));
    let address = engine.standin.address();
    engine.standin.stop();
    expect_that!(std::net::TcpStream::connect(address).is_err(), is_true());
    engine.standin = settings().start(address).or_fail()?;
    expect_that!(engine.standin.address(), eq(address));
    expect_that!(Engine::connect(engine.standin).submit("r1", PROMPT, false, 1).await.0, eq(200));
    Ok(())
}
