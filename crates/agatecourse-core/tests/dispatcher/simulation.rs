use agatecourse_core::request::dispatch::{
    Decision, DispatchTarget, Dispatcher, Job, JobKey, RunEnd, RunReport,
};
use smallvec::SmallVec;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// Behaviour of a simulated target.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum TargetBehaviour {
    /// Answers in the kind's run time multiplied by this factor.
    Slowness(f64),
    /// Connections can't be opened; the node detects it after 400 ms.
    Unreachable,
    /// Answers at once with a failure.
    FailsFast,
    /// Resets the connection of each request at once.
    ResetsFast,
}

/// Rate, run time and limits of one kind of request.
#[derive(Debug, Clone, Copy)]
pub struct RequestKind {
    pub rank: u32,
    pub arrivals_per_s: f64,
    pub run: Duration,
    pub objective: Duration,
    pub deadline: Duration,
}

/// Results of the requests of a rank.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct RankCounts {
    pub offered: u32,
    pub on_time: u32,
    pub late: u32,
    pub refused: u32,
    pub failed: u32,
    /// Refusals that came later than an eighth of the objective.
    pub refused_late: u32,
}

impl RankCounts {
    pub fn served_share(&self) -> f64 {
        f64::from(self.on_time + self.late) / f64::from(self.offered.max(1))
    }
}

enum Event {
    Arrive(usize),
    End(JobKey, RunEnd, Duration),
    Timer,
}

/// Simulates a load pattern on one dispatcher in virtual time.
pub struct Simulation {
    pub dispatcher: Dispatcher,
    start: Instant,
    behaviours: BTreeMap<String, TargetBehaviour>,
    kinds: Vec<RequestKind>,
    waiting: BTreeMap<JobKey, (usize, Duration)>,
    events: BTreeMap<(Duration, u64), Event>,
    next_number: u64,
    pub counts_by_rank: BTreeMap<u32, RankCounts>,
    pub runs: BTreeMap<String, u32>,
    /// Events after which an attempt waited although a healthy slot was free.
    pub idle_while_waiting: u32,
}

impl Simulation {
    pub fn new(slots: u32, targets: &[TargetBehaviour], kinds: &[RequestKind]) -> Self {
        let start = Instant::now();
        let mut simulation = Self {
            dispatcher: Dispatcher::new(),
            start,
            behaviours: BTreeMap::new(),
            kinds: kinds.to_vec(),
            waiting: BTreeMap::new(),
            events: BTreeMap::new(),
            next_number: 0,
            counts_by_rank: BTreeMap::new(),
            runs: BTreeMap::new(),
            idle_while_waiting: 0,
        };
        let mut list = Vec::new();
        for (index, behaviour) in targets.iter().enumerate() {
            let id = format!("target-{index}");
            simulation.behaviours.insert(id.clone(), *behaviour);
            list.push(DispatchTarget {
                id,
                slots,
                zone: "a".to_string(),
                version: "v1".to_string(),
                started_unix_ms: 1,
            });
        }
        simulation.dispatcher.set_targets(start, list, &mut Vec::new());
        simulation
    }

    /// Runs the load for `length`; `factor` multiplies the rate of all kinds at a given time.
    pub fn run_load(&mut self, length: Duration, factor: impl Fn(Duration) -> f64) {
        for (index, kind) in self.kinds.clone().iter().enumerate() {
            let mut at = Duration::from_millis(1 + index as u64);
            while at < length {
                self.schedule(at, Event::Arrive(index));
                at += Duration::from_secs_f64(1.0 / (kind.arrivals_per_s * factor(at)).max(0.01));
            }
        }
        let mut at = Duration::ZERO;
        while at < length + Duration::from_secs(20) {
            self.schedule(at, Event::Timer);
            at += Duration::from_millis(20);
        }
        while let Some(((at, _), event)) = self.events.pop_first() {
            self.step(at, event);
        }
    }

    fn schedule(&mut self, at: Duration, event: Event) {
        self.next_number += 1;
        self.events.insert((at, self.next_number), event);
    }

    fn step(&mut self, at: Duration, event: Event) {
        let now = self.start + at;
        let mut decisions = Vec::new();
        match event {
            Event::Arrive(index) => {
                let kind = self.kinds[index];
                self.next_number += 1;
                let key = JobKey {
                    node: format!("node-{}", self.next_number % 9),
                    number: self.next_number,
                };
                self.counts_by_rank.entry(kind.rank).or_default().offered += 1;
                self.waiting.insert(key.clone(), (index, at));
                self.dispatcher.submit(now, job(key, index as u64, &kind, now), &mut decisions);
            }
            Event::End(key, end, elapsed) => {
                self.dispatcher.finish(now, &key, RunReport { end, elapsed }, &mut decisions);
            }
            Event::Timer => self.dispatcher.on_timer(now, &mut decisions),
        }
        for decision in decisions {
            self.apply_decision(at, decision);
        }
        let snapshot = self.dispatcher.snapshot();
        let are_all_healthy = self
            .behaviours
            .values()
            .all(|behaviour| matches!(behaviour, TargetBehaviour::Slowness(_)));
        if are_all_healthy && snapshot.waiting > 0 && snapshot.running < snapshot.slots as usize {
            self.idle_while_waiting += 1;
        }
    }

    fn apply_decision(&mut self, at: Duration, decision: Decision) {
        match decision {
            Decision::Grant { key, target } => {
                let Some((index, arrived)) = self.waiting.remove(&key) else { return };
                let kind = self.kinds[index];
                let counts = self.counts_by_rank.entry(kind.rank).or_default();
                *self.runs.entry(target.clone()).or_default() += 1;
                let (end, elapsed) = match self.behaviours[&target] {
                    TargetBehaviour::Slowness(factor) => {
                        (RunEnd::Answered, kind.run.mul_f64(factor))
                    }
                    TargetBehaviour::Unreachable => {
                        (RunEnd::Unreachable, Duration::from_millis(400))
                    }
                    TargetBehaviour::FailsFast => (RunEnd::Failed, Duration::from_millis(2)),
                    TargetBehaviour::ResetsFast => (RunEnd::Broken, Duration::from_millis(2)),
                };
                if end == RunEnd::Answered {
                    // The first byte arrives after a tenth of the run time.
                    if at.checked_sub(arrived).unwrap() + kind.run / 10 <= kind.objective {
                        counts.on_time += 1;
                    } else {
                        counts.late += 1;
                    }
                } else {
                    counts.failed += 1;
                }
                self.schedule(at + elapsed, Event::End(key, end, elapsed));
            }
            Decision::Refuse { key, .. } => {
                let Some((index, arrived)) = self.waiting.remove(&key) else { return };
                let kind = self.kinds[index];
                let counts = self.counts_by_rank.entry(kind.rank).or_default();
                counts.refused += 1;
                counts.refused_late +=
                    u32::from(at.checked_sub(arrived).unwrap() > kind.objective / 8);
            }
        }
    }
}

/// Returns an attempt of a kind that arrives now.
pub fn job(key: JobKey, index: u64, kind: &RequestKind, now: Instant) -> Job {
    Job {
        key,
        kind: index,
        rank: kind.rank,
        arrived: now,
        objective: now + kind.objective,
        deadline: now + kind.deadline,
        relative_size: 1.0,
        prompt_tokens: 0,
        prompt_parts: SmallVec::new(),
        zone: "a".to_string(),
        excluded: SmallVec::new(),
        is_retry: false,
        version: String::new(),
        avoided_version: String::new(),
        suspects: SmallVec::new(),
        home_zones: SmallVec::new(),
    }
}

/// Request kinds of a drafting service in order of urgency: quotes, summaries and notes.
pub fn drafting_kinds() -> Vec<RequestKind> {
    let millis = Duration::from_millis;
    vec![
        RequestKind {
            rank: 0,
            arrivals_per_s: 13.0,
            run: millis(700),
            objective: millis(800),
            deadline: millis(12_000),
        },
        RequestKind {
            rank: 1,
            arrivals_per_s: 10.0,
            run: millis(320),
            objective: millis(1_200),
            deadline: millis(6_000),
        },
        RequestKind {
            rank: 2,
            arrivals_per_s: 19.0,
            run: millis(900),
            objective: millis(1_500),
            deadline: millis(15_000),
        },
    ]
}
