//! Runs a journal of two shards at 3,000 reservations/s in virtual time and checks its latency and table writes against
//! the design limits.

mod support;

use agatecourse_core::request::journal::*;
use agatecourse_wire::request::{KnownOutcome, Reservation, ReservationOutcome, ReserveResult};
use rand_chacha::ChaCha8Rng;
use rand_core::{Rng, SeedableRng};
use std::collections::BTreeMap;
use std::time::{Duration, Instant};
use support::MemoryTable;

const SHARDS: u32 = 2;
const RATE_PER_S: u64 = 3_000;
const LOAD_S: u64 = 20;
const TABLE_LATENCY_US: u64 = 5_000;
const TABLE_WRITES_PER_S: u64 = 300;
const SERVICE_TIME_US: u64 = 50_000;

enum LoadEvent {
    ShardEvent(u32, JournalEvent),
    TableRequest(u32, TableCallId, TableRequest),
    Tick(u32),
}

/// Two shard owners and a rate-limited table. A granted request reports its outcome after the service time.
struct LoadSimulation {
    start: Instant,
    now_us: u64,
    sequence: u64,
    queue: BTreeMap<(u64, u64), LoadEvent>,
    table: MemoryTable,
    next_write_us: u64,
    shards: Vec<JournalShard>,
    sent_us: BTreeMap<u128, u64>,
    waits_us: Vec<u64>,
    recorded: u64,
}

impl LoadSimulation {
    fn new() -> Self {
        let start = Instant::now();
        let interval = Duration::from_micros(13_400);
        let shards = (0..SHARDS)
            .map(|shard| {
                JournalShard::new(shard, "a".to_string(), 1)
                    .with_wall_clock(start, 1_000_000)
                    .with_commit_interval(interval)
            })
            .collect();
        let (queue, sent_us) = (BTreeMap::new(), BTreeMap::new());
        let (table, waits_us) = (MemoryTable::default(), Vec::new());
        let (now_us, sequence, next_write_us, recorded) = (0, 0, 0, 0);
        let mut load = Self {
            start,
            now_us,
            sequence,
            queue,
            table,
            next_write_us,
            shards,
            sent_us,
            waits_us,
            recorded,
        };
        for shard in 0..SHARDS {
            load.at(0, LoadEvent::ShardEvent(shard, JournalEvent::BecomeOwner));
        }
        load.schedule_arrivals();
        load
    }

    /// Schedules arrivals with exponentially distributed gaps. They start at 0.5 s, when the shards are owned.
    fn schedule_arrivals(&mut self) {
        let mut rng = ChaCha8Rng::seed_from_u64(20_261_204);
        let mut at_us = 500_000.0;
        for request_id in 0..u128::from(RATE_PER_S * LOAD_S) {
            let uniform = (f64::from(rng.next_u32()) + 1.0) / (f64::from(u32::MAX) + 2.0);
            at_us -= uniform.ln() * 1e6 / RATE_PER_S as f64;
            let key = format!("org-{}/order-{request_id}", request_id % 5);
            let shard = shard_of_key(&key, SHARDS);
            let deadline_in = Duration::from_secs(5);
            let reservation = Reservation { request_id, key, body_hash: 1, deadline_in };
            let event = JournalEvent::Reserve { node: "a".to_string(), reservation };
            self.sent_us.insert(request_id, at_us as u64);
            self.at(at_us as u64, LoadEvent::ShardEvent(shard, event));
        }
    }

    fn at(&mut self, at_us: u64, event: LoadEvent) {
        self.sequence += 1;
        self.queue.insert((at_us, self.sequence), event);
    }

    fn run(&mut self) {
        while let Some(((at_us, _), event)) = self.queue.pop_first() {
            self.now_us = at_us;
            match event {
                LoadEvent::ShardEvent(shard, event) => self.handle_shard_event(shard, event),
                LoadEvent::Tick(shard) => self.handle_shard_event(shard, JournalEvent::Tick),
                LoadEvent::TableRequest(shard, call, request) => {
                    let result = self.table.apply(&request);
                    let answer = JournalEvent::TableResponse { call, result };
                    self.at(
                        self.now_us + TABLE_LATENCY_US / 2,
                        LoadEvent::ShardEvent(shard, answer),
                    );
                }
            }
        }
    }

    fn handle_shard_event(&mut self, shard: u32, event: JournalEvent) {
        let now = self.start + Duration::from_micros(self.now_us);
        let mut actions = Vec::new();
        self.shards[shard as usize].on_event(now, event, &mut actions);
        for action in actions {
            match action {
                JournalAction::Table { call, request } => {
                    let mut at_us = self.now_us + TABLE_LATENCY_US / 2;
                    if matches!(request, TableRequest::Commit { .. }) {
                        at_us = at_us.max(self.next_write_us);
                        self.next_write_us = at_us + 1_000_000 / TABLE_WRITES_PER_S;
                    }
                    self.at(at_us, LoadEvent::TableRequest(shard, call, request));
                }
                JournalAction::Reply { reply, .. } => {
                    assert_eq!(reply.result, ReserveResult::Granted);
                    self.schedule_outcome(shard, reply.request_id);
                }
                JournalAction::Recorded { .. } => self.recorded += 1,
                other => panic!("expected a table request, reply or confirmation, got {other:?}"),
            }
        }
        if let Some(at) = self.shards[shard as usize].next_wakeup() {
            let at_us = at.saturating_duration_since(self.start).as_micros() as u64 + 1;
            // Every table call is answered, so ticks for call timeouts are not scheduled.
            if at_us > self.now_us && at_us < self.now_us + 1_000_000 {
                self.at(at_us, LoadEvent::Tick(shard));
            }
        }
    }

    fn schedule_outcome(&mut self, shard: u32, request_id: u128) {
        self.waits_us.push(self.now_us - self.sent_us[&request_id]);
        let outcome = KnownOutcome::Answered {
            status: 201,
            content_type: "application/json".to_string(),
            body: Some(vec![b'x'; 200]),
            body_hash: 1,
        };
        let key = format!("org-{}/order-{request_id}", request_id % 5);
        let outcome = ReservationOutcome { request_id, key, outcome };
        let event = JournalEvent::Outcome { node: "a".to_string(), outcome };
        self.at(self.now_us + SERVICE_TIME_US, LoadEvent::ShardEvent(shard, event));
    }
}

/// Guards against batching that does not keep up with the load, and against more table writes than the 150/s that the
/// journal may use.
#[test]
fn three_thousand_reservations_per_second_fit_the_table() {
    let mut load = LoadSimulation::new();
    load.run();
    let requests = RATE_PER_S * LOAD_S;
    load.waits_us.sort_unstable();
    let quantile = |fraction: f64| {
        load.waits_us[(load.waits_us.len() as f64 * fraction) as usize] as f64 / 1e3
    };
    let (p50_ms, p99_ms) = (quantile(0.5), quantile(0.99));
    let seconds = load.now_us as f64 / 1e6;
    let writes_per_s = load.table.commits() as f64 / seconds;
    let rate_per_s = requests as f64 / (seconds - 0.5);
    println!(
        "{rate_per_s:.0} reservations/s with outcomes, {writes_per_s:.0} writes/s, \
         added p50 {p50_ms:.1} ms, p99 {p99_ms:.1} ms"
    );
    assert_eq!(load.waits_us.len() as u64, requests);
    assert_eq!(load.recorded, requests);
    assert!(writes_per_s <= 150.0 && p50_ms < 15.0);
}
