//! A request that crashes each replica that begins to run it comes again and again.

use crate::client::{request, request_with_body};
use crate::fleet::{HOST, KEY, Nodes, Record, Replica, unix_ms};
use crate::server::CRASHING_BODY;
use crate::store::Store;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

const NODES: u8 = 4;
const REPLICAS: usize = 9;
const SLOTS: u32 = 5;
const EVENTS: u64 = 20;
const EVENT_PAUSE_MS: u64 = 50;
/// Other clients, each with one stream at a time.
const CLIENTS: usize = 20;
/// Time from the end of the request to its repeat.
const REPEAT_PAUSE: Duration = Duration::from_secs(2);
/// Time from a replica's crash until it is back.
const BACK_AFTER: Duration = Duration::from_secs(3);
const PLAY_TIME: Duration = Duration::from_secs(60);
const DEADLINE: Duration = Duration::from_secs(12);
/// Bounds of the rule: retries later than `stableWindowMs` after the third crash.
const STABLE_WINDOW_MS: u128 = 3_000;
const MOST_RETRIES: usize = 3;

fn config() -> String {
    format!(
        "{{\"version\":7,\"routes\":[{{\"name\":\"r-brief\",\"host\":\"{HOST}\",\"pathPrefix\":\"/brief/\",\"routeKind\":\"streaming\",\
         \"timeoutMs\":12000,\"sloMs\":800,\"priority\":1,\"service\":\"writer\",\"maxAttempts\":1,\"public\":false,\"sticky\":true,\
         \"resumable\":false,\"gapSloMs\":250}}],\"services\":[{{\"name\":\"writer\",\"healthPath\":\"/healthz\",\
         \"maxConnections\":370,\"protocol\":\"h1\",\"tls\":false}}],\"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\
         \"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}},\"tenants\":[{{\"name\":\"org-1\",\"apiKeys\":[\"{KEY}\"],\"priority\":1}}]}}"
    )
}

/// Plays the case; returns whether the rule held.
pub fn play(record_path: &str, has_trouble: bool) -> Result<bool, String> {
    let (record, store) = (Record::default(), Store::start());
    store.put("op", "config", &config());
    let mut next_id = 0;
    let mut start_replica = || -> Result<Replica, String> {
        next_id += 1;
        let id = format!("i-{next_id:04}");
        let replica = Replica::start(&record, &id, "writer", "v1", SLOTS, EVENT_PAUSE_MS);
        let mut replica = replica.map_err(|error| error.to_string())?;
        replica.register(&store, "ready");
        Ok(replica)
    };
    let mut replicas = (0..REPLICAS).map(|_| start_replica()).collect::<Result<Vec<_>, _>>()?;
    let nodes = Nodes::start(NODES, &store).map_err(|error| error.to_string())?;
    if !nodes.wait_ready() {
        return Err("the nodes are not ready".to_string());
    }
    thread::sleep(Duration::from_secs(2));
    let is_over = Arc::new(AtomicBool::new(false));
    let counts: Arc<[AtomicU64; 2]> = Arc::default();
    let mut clients: Vec<_> = (0..CLIENTS)
        .map(|index| {
            let (record, node) = (record.clone(), nodes.callers[index % nodes.callers.len()]);
            let (is_over, counts) = (Arc::clone(&is_over), Arc::clone(&counts));
            thread::spawn(move || {
                thread::sleep(Duration::from_millis(60 * index as u64));
                for number in 0.. {
                    if is_over.load(Ordering::Relaxed) {
                        return;
                    }
                    let id = format!("{index:04x}{number:012x}");
                    let path = format!("/brief/{EVENTS}");
                    let outcome = request(&record, node, "POST", &id, &path, DEADLINE);
                    counts[usize::from(!outcome.is_complete)].fetch_add(1, Ordering::Relaxed);
                    thread::sleep(Duration::from_millis(100));
                }
            })
        })
        .collect();
    clients.push({
        let (record, callers) = (record.clone(), nodes.callers.clone());
        let is_over = Arc::clone(&is_over);
        thread::spawn(move || {
            for number in 0.. {
                if is_over.load(Ordering::Relaxed) {
                    return;
                }
                let (id, node) = (format!("ffff{number:012x}"), callers[number % callers.len()]);
                let path = format!("/brief/{EVENTS}");
                let body = if has_trouble { CRASHING_BODY } else { "quiet" };
                request_with_body(&record, node, "POST", &id, &path, DEADLINE, KEY, "", body);
                thread::sleep(REPEAT_PAUSE);
            }
        })
    });
    let started = Instant::now();
    let mut starts: Vec<Instant> = Vec::new();
    while started.elapsed() < PLAY_TIME {
        for index in (0..replicas.len()).rev() {
            if replicas[index].has_ended() {
                let mut ended = replicas.remove(index);
                // Its row goes after three periods of silence, about when it is back.
                starts.push(Instant::now() + BACK_AFTER);
                let store = store.clone();
                thread::spawn(move || {
                    thread::sleep(BACK_AFTER);
                    ended.stop(&store);
                });
            }
        }
        while starts.first().is_some_and(|at| Instant::now() >= *at) {
            starts.remove(0);
            replicas.push(start_replica()?);
        }
        thread::sleep(Duration::from_millis(20));
    }
    let end_ms = unix_ms();
    is_over.store(true, Ordering::Relaxed);
    for client in clients {
        let _ = client.join();
    }
    nodes.add_log_lines(&record, &["target crashed", "quarantined", "suspects cleared"]);
    drop((nodes, replicas));
    thread::sleep(Duration::from_millis(100));
    let times_of = |what: &str| -> Vec<u128> {
        let lines = record.lines().into_iter();
        lines
            .filter(|(at, text)| {
                text.starts_with("server")
                    && text.contains(" request ffff")
                    && text.contains(what)
                    && *at <= end_ms
            })
            .map(|(at, _)| at)
            .collect()
    };
    let (crashes, runs) = (times_of(" crashes the server "), times_of(" runs"));
    let judged_from = crashes.get(2).map(|third| third + STABLE_WINDOW_MS);
    let late = judged_from.map_or(0, |from| runs.iter().filter(|at| **at > from).count());
    let [whole, cut] = [0, 1].map(|kind: usize| counts[kind].load(Ordering::Relaxed));
    let summary = format!(
        "the request reached replicas {} times and crashed {}; {late} times later than 3 s after the third crash, allowed are {MOST_RETRIES}; \
         streams of others: {whole} whole, {cut} not",
        runs.len(),
        crashes.len()
    );
    record.add(&format!("result: {summary}"));
    record.write(record_path).map_err(|error| error.to_string())?;
    println!("{summary}");
    Ok(late <= MOST_RETRIES)
}
