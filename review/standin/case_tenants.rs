//! All organisations of the design size send at the same time, and one of them more than its quota.

use crate::client::request_with;
use crate::fleet::{HOST, KEY, Nodes, Record, Replica, unix_ms};
use crate::quota::{BURST, RATE_PER_S, allowed_tokens, most_tokens_in_a_window};
use crate::store::Store;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread;
use std::time::Duration;

const NODES: u8 = 4;
const REPLICAS: usize = 9;
const SLOTS: u32 = 5;
/// Tokens of each request of the first tenant: 3,720 of the prompt and at most 280 of the answer.
const TOKENS: u64 = 4_000;
/// Tenants of the configuration, and those that send without the disruption.
const TENANTS: usize = 290;
const USUAL_TENANTS: usize = 20;
/// Requests of the first tenant at each node; together 3.5 times its quota.
const PAUSE: Duration = Duration::from_millis(67);
/// Time in which each other tenant sends a request of 20,000 tokens: 1,110 of the prompt and at most
/// 18,890 of the answer.
const TENANT_PERIOD: Duration = Duration::from_secs(4);
const TIME_BEFORE: Duration = Duration::from_secs(12);
/// Time from the moment at which all tenants send to the first request that is judged.
const SETTLE_TIME: Duration = Duration::from_secs(10);
const JUDGED_TIME: Duration = Duration::from_secs(20);

fn key_of(tenant: usize) -> String {
    if tenant == 0 { KEY.to_string() } else { format!("key-{tenant:04}") }
}

fn config() -> String {
    let tenants: Vec<String> = (0..TENANTS)
        .map(|tenant| {
            format!(
                "{{\"name\":\"org-{tenant}\",\"apiKeys\":[\"{}\"],\"priority\":1,\"unit\":\"tokens\",\"uncachedTokens\":200,\
                 \"ratePerS\":{RATE_PER_S},\"burst\":{BURST}}}",
                key_of(tenant)
            )
        })
        .collect();
    format!(
        "{{\"version\":7,\"routes\":[{{\"name\":\"r-quote\",\"host\":\"{HOST}\",\"pathPrefix\":\"/quote/\",\"routeKind\":\"streaming\",\
         \"timeoutMs\":12000,\"sloMs\":800,\"priority\":1,\"service\":\"writer\",\"maxAttempts\":1,\"public\":false,\"sticky\":true,\
         \"resumable\":false,\"gapSloMs\":250}}],\"services\":[{{\"name\":\"writer\",\"healthPath\":\"/healthz\",\
         \"maxConnections\":370,\"protocol\":\"h1\",\"tls\":false}}],\"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\
         \"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}},\"tenants\":[{}]}}",
        tenants.join(",")
    )
}

/// Plays the case; returns whether the rule held.
pub fn play(record_path: &str, has_trouble: bool) -> Result<bool, String> {
    let (record, store) = (Record::default(), Store::start());
    store.put("op", "config", &config());
    let mut replicas = Vec::new();
    for index in 0..REPLICAS {
        let id = format!("i-{index}");
        let replica = Replica::start(&record, &id, "writer", "v1", SLOTS, 30);
        let mut replica = replica.map_err(|error| error.to_string())?;
        replica.register(&store, "ready");
        replicas.push(replica);
    }
    let nodes = Nodes::start(NODES, &store).map_err(|error| error.to_string())?;
    if !nodes.wait_ready() {
        return Err("the nodes are not ready".to_string());
    }
    thread::sleep(Duration::from_secs(2));
    let is_over = Arc::new(AtomicBool::new(false));
    let active = Arc::new(AtomicUsize::new(USUAL_TENANTS));
    let others = {
        let (record, callers) = (record.clone(), nodes.callers.clone());
        let (is_over, active) = (Arc::clone(&is_over), Arc::clone(&active));
        thread::spawn(move || {
            for number in 0_usize.. {
                if is_over.load(Ordering::Relaxed) {
                    return;
                }
                let tenants = active.load(Ordering::Relaxed) - 1;
                let (tenant, node) = (1 + number % tenants, callers[number % callers.len()]);
                let record = record.clone();
                thread::spawn(move || {
                    let (id, key) = (format!("ffff{number:012x}"), key_of(tenant));
                    let headers = "Model: m\r\nToken-Count: 1110,18890\r\n";
                    let deadline = Duration::from_secs(12);
                    request_with(&record, node, "POST", &id, "/quote/5", deadline, &key, headers)
                });
                thread::sleep(TENANT_PERIOD / tenants as u32);
            }
        })
    };
    let clients: Vec<_> = (0..usize::from(NODES))
        .map(|index| {
            let (record, node) = (record.clone(), nodes.callers[index]);
            let is_over = Arc::clone(&is_over);
            thread::spawn(move || {
                let mut requests = Vec::new();
                for number in 0.. {
                    if is_over.load(Ordering::Relaxed) {
                        break;
                    }
                    let id = format!("{index:04x}{number:012x}");
                    let headers = format!(
                        "Model: m\r\nToken-Count: 3720,280\r\nPrefix-Hash: 5c1e07a2:60,{id}:3660\r\n"
                    );
                    requests.push((id.clone(), unix_ms()));
                    let record = record.clone();
                    thread::spawn(move || {
                        let deadline = Duration::from_secs(12);
                        request_with(&record, node, "POST", &id, "/quote/5", deadline, KEY, &headers)
                    });
                    thread::sleep(PAUSE);
                }
                requests
            })
        })
        .collect();
    let started_ms = unix_ms();
    thread::sleep(TIME_BEFORE);
    let changed_ms = unix_ms();
    if has_trouble {
        record.add(&format!("clients: all {TENANTS} tenants send"));
        active.store(TENANTS, Ordering::Relaxed);
    }
    thread::sleep(SETTLE_TIME);
    let judged_ms = unix_ms();
    thread::sleep(JUDGED_TIME);
    let end_ms = unix_ms();
    is_over.store(true, Ordering::Relaxed);
    let _ = others.join();
    let sent: BTreeMap<String, u128> =
        clients.into_iter().filter_map(|client| client.join().ok()).flatten().collect();
    thread::sleep(Duration::from_secs(2));
    nodes.add_log_lines(&record, &["node forgotten", "node joined", "decoding a datagram"]);
    drop((nodes, replicas));
    thread::sleep(Duration::from_millis(100));
    let before = most_tokens_in_a_window(&record, &sent, TOKENS, (started_ms, changed_ms));
    let after = most_tokens_in_a_window(&record, &sent, TOKENS, (judged_ms, end_ms));
    let summary = format!(
        "most tokens of the first tenant in a window of 8 s: {before} while {USUAL_TENANTS} tenants sent, {after} from {} s after {}; \
         allowed are {:.0}",
        SETTLE_TIME.as_secs(),
        if has_trouble { "all did" } else { "that" },
        allowed_tokens()
    );
    record.add(&format!("result: {summary}"));
    record.write(record_path).map_err(|error| error.to_string())?;
    println!("{summary}");
    Ok(after as f64 <= allowed_tokens())
}
