//! Time of one decision of the dispatcher (a slot becomes free, a waiting attempt gets it, a new one arrives) by the number
//! of targets in a queue.

use agatecourse_core::request::dispatch::{
    Decision, DispatchTarget, Dispatcher, Job, JobKey, PromptPart, RunEnd, RunReport,
};
use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use smallvec::SmallVec;
use std::collections::VecDeque;
use std::hint::black_box;
use std::time::{Duration, Instant};

/// Slots of a target, as in the users' load profiles.
const SLOTS: u32 = 4;
/// Waiting attempts during the measurement; a burst on the largest deployments queues about as many.
const BACKLOG: usize = 50;
/// Reported run time of each attempt.
const RUN: Duration = Duration::from_millis(300);

struct DispatchLoad {
    dispatcher: Dispatcher,
    now: Instant,
    next_number: u64,
    running: VecDeque<JobKey>,
}

impl DispatchLoad {
    fn new(targets: u32) -> Self {
        let now = Instant::now();
        let spec = |index: u32| DispatchTarget {
            id: format!("target-{index}"),
            slots: SLOTS,
            zone: format!("zone-{}", index % 3),
            version: "v1".to_string(),
            started_unix_ms: 1,
        };
        let mut load =
            Self { dispatcher: Dispatcher::new(), now, next_number: 0, running: VecDeque::new() };
        load.dispatcher.set_targets(now, (0..targets).map(spec).collect(), &mut Vec::new());
        for _ in 0..(targets * SLOTS) as usize + BACKLOG {
            load.submit();
        }
        load
    }

    fn submit(&mut self) {
        self.next_number += 1;
        let number = self.next_number;
        let job = Job {
            key: JobKey { node: "node".to_string(), number },
            kind: number % 5,
            rank: (number % 4) as u32,
            arrived: self.now,
            objective: self.now + Duration::from_secs(1),
            deadline: self.now + Duration::from_hours(1),
            relative_size: 1.0,
            prompt_tokens: 3_000,
            prompt_parts: SmallVec::from_slice(&[
                PromptPart { part: number % 40, tokens: 60 },
                PromptPart { part: 1_000 + number, tokens: 2_940 },
            ]),
            zone: "zone-1".to_string(),
            excluded: SmallVec::new(),
            is_retry: false,
            version: String::new(),
            avoided_version: String::new(),
            suspects: SmallVec::new(),
            home_zones: SmallVec::new(),
        };
        let mut decisions = Vec::new();
        self.dispatcher.submit(self.now, job, &mut decisions);
        self.record_grants(decisions);
    }

    fn record_grants(&mut self, decisions: Vec<Decision>) {
        for decision in decisions {
            if let Decision::Grant { key, .. } = decision {
                self.running.push_back(key);
            }
        }
    }

    /// Finishes the oldest run and submits a new attempt, so that the backlog stays constant.
    fn replace_oldest_run(&mut self) {
        self.now += Duration::from_micros(500);
        if let Some(key) = self.running.pop_front() {
            let report = RunReport { end: RunEnd::Answered, elapsed: RUN };
            let mut decisions = Vec::new();
            self.dispatcher.finish(self.now, &key, report, &mut decisions);
            self.record_grants(decisions);
        }
        self.submit();
    }
}

fn dispatch(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("dispatch");
    for targets in [10, 32, 140] {
        let mut load = DispatchLoad::new(targets);
        group.bench_with_input(BenchmarkId::from_parameter(targets), &targets, |bencher, _| {
            bencher.iter(|| black_box(&mut load).replace_oldest_run());
        });
    }
    group.finish();
}

criterion_group!(benches, dispatch);
criterion_main!(benches);
