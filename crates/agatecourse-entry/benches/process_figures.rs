//! Measures a node process: time from start to readiness, and resident memory when idle and with open streams.
//!
//! `cargo bench -p agatecourse-entry --bench process_figures` prints one JSON object.

#[path = "../tests/support/mod.rs"]
mod support;

use serde_json::json;
use std::net::SocketAddr;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};
use support::{
    CALLER_KEY, DeploymentKeys, EngineFault, chat_body, config, start_engines, start_table,
};

const STREAM_COUNT: usize = 1_000;

/// A node process that is killed on drop.
struct NodeProcess(Child);

impl Drop for NodeProcess {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

fn main() {
    println!("{}", actix_web::rt::System::new().block_on(measure()));
}

async fn measure() -> serde_json::Value {
    let (engine, state) = start_engines(2);
    *state.fault.lock().unwrap() = EngineFault::Endless;
    // Lets the scheduler place 1,000 slow streams on one engine.
    let config = config(&[engine])
        .replace("concurrency = 64", "concurrency = 4096")
        .replace("progress_timeout_ms", "token_gap_ms = 10000\nprogress_timeout_ms");
    let table = start_table(config);
    let keys = DeploymentKeys::new();
    let (callers, operators) = (support::closed_address(), support::closed_address());
    let settings = support::settings("n1", &keys, table, callers, operators);
    let file = keys.write("node.ini", &settings);
    let started_at = Instant::now();
    let command = Command::new(env!("CARGO_BIN_EXE_agatecourse-entry"))
        .args(["--settings", &file])
        .stderr(Stdio::null())
        .spawn();
    let process = NodeProcess(command.unwrap());
    support::wait_ready(operators).await;
    let start_to_ready_ms = started_at.elapsed().as_millis() as u64;
    let idle_rss_mb = rss_mb(process.0.id());
    let connector = awc::Connector::new().limit(STREAM_COUNT);
    let client =
        awc::Client::builder().connector(connector).timeout(Duration::from_secs(30)).finish();
    let mut streams = Vec::new();
    for _ in 0..STREAM_COUNT {
        streams.push(open_stream(&client, callers).await);
    }
    tokio::time::sleep(Duration::from_secs(2)).await;
    json!({
        "start_to_ready_ms": start_to_ready_ms,
        "idle_rss_mb": idle_rss_mb,
        "open_streams": streams.len(),
        "rss_mb": rss_mb(process.0.id()),
    })
}

async fn open_stream(client: &awc::Client, address: SocketAddr) -> impl Sized {
    let request = client
        .post(format!("http://{address}/v1/chat/completions"))
        .bearer_auth(CALLER_KEY)
        .insert_header(("X-Deadline-Ms", "600000"));
    let mut body = chat_body(true);
    body["max_tokens"] = 4.into();
    let mut response = request.send_json(&body).await.unwrap();
    assert!(response.status().is_success(), "{:?}", response.body().await);
    response
}

fn rss_mb(process_id: u32) -> f64 {
    let status = std::fs::read_to_string(format!("/proc/{process_id}/status")).unwrap();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:")).unwrap();
    let kibibytes: f64 = line.trim().trim_end_matches(" kB").parse().unwrap();
    kibibytes / 1024.0
}
