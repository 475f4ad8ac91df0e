//! A roll-out of a bad version, and the requests that it gets.

use crate::client::{Outcome, request};
use crate::fleet::{DRAIN_MS, HOST, KEY, Nodes, Record, Replica, unix_ms};
use crate::store::Store;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

const REPLICAS: usize = 4;
const DURATION_S: u64 = 12;
/// Bounds of the small sites.
const EXPOSURE_SHARE: f64 = 0.1;
const EXPOSURE_SLACK: f64 = 50.0;
const ROLLBACK_MS: u128 = 5_000;
/// Time from the start of the clients to the order, and from its deadline to the end.
const TIME_BEFORE: Duration = Duration::from_secs(5);
const TIME_AFTER: Duration = Duration::from_secs(8);
/// Time from `reverted` until the platform drains the new replicas.
const REVERT_DRAIN: Duration = Duration::from_secs(3);
const LINGER: Duration = Duration::from_millis(1_500);

/// How a case differs from the others.
struct Play {
    routes: &'static [(&'static str, &'static str, &'static str)],
    event_pause_ms: u64,
    clients: usize,
    pause: Duration,
    /// Method, path and deadline of a client's request, by its number.
    make: fn(u64) -> (&'static str, String, Duration),
    /// What the servers of a bad version are told.
    bad: &'static str,
    /// What a bad server's line in the record says of a bad answer.
    bad_line: &'static str,
}

/// The new version breaks off half of its streams.
pub fn play_streams(record_path: &str, has_trouble: bool) -> Result<bool, String> {
    let play = Play {
        routes: &[("brief", "streaming", "1")],
        event_pause_ms: 30,
        clients: 24,
        pause: Duration::from_millis(150),
        make: |_| ("POST", "/brief/10".to_string(), Duration::from_secs(6)),
        bad: "bad streams",
        bad_line: "breaks off",
    };
    play_rollout(&play, record_path, has_trouble)
}

/// The new version fails all requests of one route, which has one in twelve requests of its service.
pub fn play_route(record_path: &str, has_trouble: bool) -> Result<bool, String> {
    play_rollout(&bad_route(), record_path, has_trouble)
}

fn bad_route() -> Play {
    Play {
        routes: &[("check", "safe", "2"), ("order", "unsafe", "1"), ("cancel", "unsafe", "1")],
        event_pause_ms: 30,
        clients: 12,
        pause: Duration::from_millis(150),
        make: |number| match number % 12 {
            0 => ("POST", "/cancel/item".to_string(), Duration::from_secs(1)),
            1..=5 => ("GET", "/check/item".to_string(), Duration::from_secs(1)),
            _ => ("POST", "/order/item".to_string(), Duration::from_secs(1)),
        },
        bad: "bad route /cancel/",
        bad_line: "answers 500",
    }
}

fn config(play: &Play) -> String {
    let routes: Vec<String> = play
        .routes
        .iter()
        .map(|(name, kind, attempts)| {
            let timeout_ms = if *kind == "streaming" { 6_000 } else { 1_000 };
            format!(
                "{{\"name\":\"r-{name}\",\"host\":\"{HOST}\",\"pathPrefix\":\"/{name}/\",\"routeKind\":\"{kind}\",\
                 \"timeoutMs\":{timeout_ms},\"sloMs\":800,\"priority\":1,\"service\":\"desk\",\"maxAttempts\":{attempts},\
                 \"public\":false,\"resumable\":false,\"gapSloMs\":250}}"
            )
        })
        .collect();
    format!(
        "{{\"version\":7,\"routes\":[{}],\"services\":[{{\"name\":\"desk\",\"healthPath\":\"/healthz\",\"maxConnections\":110,\
         \"protocol\":\"h1\",\"tls\":false}}],\"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\
         \"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}},\"tenants\":[{{\"name\":\"org-1\",\"apiKeys\":[\"{KEY}\"],\
         \"priority\":1}}]}}",
        routes.join(",")
    )
}

fn start_replicas(
    record: &Record,
    store: &Store,
    play: &Play,
    version: &str,
) -> Result<Vec<Replica>, String> {
    (0..REPLICAS)
        .map(|index| {
            let id = format!("i-{version}-{index}");
            let replica = Replica::start(record, &id, "desk", version, 6, play.event_pause_ms);
            let mut replica = replica.map_err(|error| error.to_string())?;
            replica.register(store, "ready");
            Ok(replica)
        })
        .collect()
}

fn play_rollout(play: &Play, record_path: &str, has_trouble: bool) -> Result<bool, String> {
    let (record, store) = (Record::default(), Store::start());
    store.put("op", "config", &config(play));
    let mut old = start_replicas(&record, &store, play, "v1")?;
    let nodes = Nodes::start(3, &store).map_err(|error| error.to_string())?;
    if !nodes.wait_ready() {
        return Err("the nodes are not ready".to_string());
    }
    let is_over = Arc::new(AtomicBool::new(false));
    let clients: Vec<_> = (0..play.clients)
        .map(|index| {
            let (record, node) = (record.clone(), nodes.callers[index % nodes.callers.len()]);
            let (is_over, make, pause) = (Arc::clone(&is_over), play.make, play.pause);
            thread::spawn(move || {
                let mut outcomes: Vec<(u128, String, Outcome)> = Vec::new();
                thread::sleep(Duration::from_millis(20 * index as u64));
                for number in index as u64.. {
                    if is_over.load(Ordering::Relaxed) {
                        return outcomes;
                    }
                    let (method, path, deadline) = make(number);
                    let id = format!("{index:04x}{number:012x}");
                    let sent_ms = unix_ms();
                    let outcome = request(&record, node, method, &id, &path, deadline);
                    outcomes.push((sent_ms, path, outcome));
                    thread::sleep(pause);
                }
                outcomes
            })
        })
        .collect();
    thread::sleep(TIME_BEFORE);
    let mut new = start_replicas(&record, &store, play, "v2")?;
    if has_trouble {
        for replica in &mut new {
            replica.command(play.bad);
        }
    }
    let order = format!("{{\"service\":\"desk\",\"target\":\"v2\",\"durationS\":{DURATION_S}}}");
    let (ordered_at, ordered_ms) = (Instant::now(), unix_ms());
    store.put("op", "rollout/desk", &order);
    record.add(&format!("operator: {order}; v2 is {}", if has_trouble { "bad" } else { "good" }));
    let end = ordered_at + Duration::from_secs(DURATION_S) + TIME_AFTER;
    let mut state = String::new();
    let mut reverted_at = None;
    while Instant::now() < end {
        let row = store.get("status", "rollout/desk").unwrap_or_default();
        let now_state =
            ["in_progress", "complete", "reverted"].iter().find(|name| row.contains(**name));
        if let Some(name) = now_state.filter(|name| **name != state) {
            state = (*name).to_string();
            record.add(&format!("status: {row}"));
            if state == "complete" {
                // The platform stops the old replicas at once.
                for replica in &mut old {
                    replica.stop(&store);
                }
            }
            if state == "reverted" {
                reverted_at = Some(Instant::now());
            }
        }
        if let Some(at) = reverted_at
            && at.elapsed() >= REVERT_DRAIN
        {
            if at.elapsed() < REVERT_DRAIN + Duration::from_millis(60) {
                new.iter_mut().for_each(|replica| replica.register(&store, "draining"));
            }
            if at.elapsed() >= REVERT_DRAIN + Duration::from_millis(DRAIN_MS) + LINGER {
                new.iter_mut().for_each(|replica| replica.stop(&store));
                new.clear();
                reverted_at = None;
            }
        }
        thread::sleep(Duration::from_millis(50));
    }
    is_over.store(true, Ordering::Relaxed);
    let outcomes: Vec<_> =
        clients.into_iter().filter_map(|client| client.join().ok()).flatten().collect();
    nodes.add_log_lines(&record, &["rollout outcome", "version order"]);
    drop((nodes, old, new));
    thread::sleep(Duration::from_millis(100));

    let deadline_ms = ordered_ms + u128::from(DURATION_S) * 1_000;
    let lines = record.lines();
    let arrivals = |version: &str, from: u128, to: u128| {
        let prefix = format!("server i-{version}");
        let is_arrival = |text: &str| text.ends_with(" runs") || text.contains("rejected");
        lines
            .iter()
            .filter(|(at, text)| {
                (from..to).contains(at) && text.starts_with(&prefix) && is_arrival(text)
            })
            .count()
    };
    let new_count = arrivals("v2", ordered_ms, deadline_ms);
    let all_count = arrivals("v", ordered_ms, deadline_ms);
    let allowed = EXPOSURE_SHARE * all_count as f64 + EXPOSURE_SLACK;
    let bad_times: Vec<u128> = lines
        .iter()
        .filter(|(_, text)| text.starts_with("server i-v2") && text.contains(play.bad_line))
        .map(|(at, _)| *at)
        .collect();
    let late_from = bad_times.get(49).map(|at| at + ROLLBACK_MS + 200);
    let late_count = late_from.map_or(0, |from| arrivals("v2", from, u128::MAX));
    let is_failed = |outcome: &Outcome| outcome.status != 200 || !outcome.is_complete;
    let failed_after =
        outcomes.iter().filter(|(at, _, outcome)| *at >= ordered_ms && is_failed(outcome)).count();
    let summary = format!(
        "state {state}; until the deadline v2 got {new_count} of {all_count} requests, allowed are {allowed:.0}; {} bad answers of v2; \
         {late_count} requests reached v2 more than {ROLLBACK_MS} ms after the 50th; {failed_after} of {} requests since the order failed",
        bad_times.len(),
        outcomes.iter().filter(|(at, _, _)| *at >= ordered_ms).count()
    );
    record.add(&format!("result: {summary}"));
    record.write(record_path).map_err(|error| error.to_string())?;
    println!("{summary}");
    Ok(!has_trouble || (new_count as f64 <= allowed && late_count == 0))
}
