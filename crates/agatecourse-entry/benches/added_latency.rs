//! Measures the latency that a node adds to short requests and the throughput of the node.
//!
//! `cargo bench -p agatecourse-entry --bench added_latency` prints one JSON object. Each request is a chat request
//! to which the engine responds at once; the same load is sent to the engine directly and through the node.

#[path = "../tests/support/mod.rs"]
mod support;

use hdrhistogram::Histogram;
use serde_json::json;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
use support::{CALLER_KEY, chat_body, config, start_engines, start_node};

/// Duration of each load phase.
const DURATION_S: u64 = 5;
const RATE_PER_S: u64 = 1_000;
/// Connections per load generator in the closed-loop phase.
const CONNECTIONS: usize = 64;

fn main() {
    let result = actix_web::rt::System::new().block_on(measure());
    println!("{result}");
}

async fn measure() -> serde_json::Value {
    let (engine, state) = start_engines(2);
    *state.fault.lock().unwrap() = support::EngineFault::Burst;
    let node =
        start_node(config(&[engine]).replace("concurrency = 64", "concurrency = 1024")).await;
    let direct = measure_open_loop(engine).await;
    let via_node = measure_open_loop(node.caller_address()).await;
    let max_requests = tokio::task::spawn_blocking({
        let address = node.caller_address();
        move || {
            let senders: Vec<_> = (0..3)
                .map(|_| {
                    std::thread::spawn(move || {
                        actix_web::rt::System::new().block_on(measure_closed_loop(address))
                    })
                })
                .collect();
            senders.into_iter().map(|sender| sender.join().unwrap()).sum::<u64>()
        }
    })
    .await
    .unwrap();
    let added = |quantile| {
        via_node.value_at_quantile(quantile).saturating_sub(direct.value_at_quantile(quantile))
    };
    json!({
        "rate_per_s": RATE_PER_S,
        "direct_p50_us": direct.value_at_quantile(0.5),
        "direct_p99_us": direct.value_at_quantile(0.99),
        "added_latency_p50_us": added(0.5),
        "added_latency_p99_us": added(0.99),
        "requests_per_s": max_requests / DURATION_S,
    })
}

/// Open-loop load: sends requests at a fixed rate and measures each latency from the actual time of sending.
async fn measure_open_loop(address: SocketAddr) -> Histogram<u64> {
    let latencies = Rc::new(RefCell::new(Histogram::<u64>::new(3).unwrap()));
    let client = support::client();
    let started_at = Instant::now();
    let mut tasks = Vec::new();
    for number in 0..RATE_PER_S * DURATION_S {
        let planned = started_at + Duration::from_micros(number * 1_000_000 / RATE_PER_S);
        tokio::time::sleep_until(planned.into()).await;
        let sent = Instant::now();
        let (client, latencies) = (client.clone(), latencies.clone());
        tasks.push(actix_web::rt::spawn(async move {
            send(&client, address).await;
            let elapsed = sent.elapsed().as_micros() as u64;
            // The first second is a warm-up, which opens the connections.
            if number >= RATE_PER_S {
                latencies.borrow_mut().record(elapsed).unwrap();
            }
        }));
    }
    for task in tasks {
        task.await.unwrap();
    }
    latencies.borrow().clone()
}

/// Closed-loop load: sends requests back to back on each connection and returns their total number.
async fn measure_closed_loop(address: SocketAddr) -> u64 {
    let client = support::client();
    let end = Instant::now() + Duration::from_secs(DURATION_S);
    let senders = (0..CONNECTIONS).map(|_| async {
        let mut count = 0;
        while Instant::now() < end {
            send(&client, address).await;
            count += 1;
        }
        count
    });
    futures_util::future::join_all(senders).await.into_iter().sum()
}

async fn send(client: &awc::Client, address: SocketAddr) {
    let request = client
        .post(format!("http://{address}/v1/chat/completions"))
        .bearer_auth(CALLER_KEY)
        .insert_header(("X-Request-Id", "direct"));
    let mut response = request.send_json(&chat_body(true)).await.unwrap();
    assert!(response.status().is_success(), "{}", response.status());
    response.body().await.unwrap();
}
