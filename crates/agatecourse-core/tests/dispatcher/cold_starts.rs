//! Tests of targets that are cold after their start, or at any moment later. The users allow one and a half times the requests that such a
//! target takes in any second, and five more (rule FAILBACK), counted over all nodes.

use crate::simulation::{drafting_kinds, job};
use agatecourse_core::request::dispatch::{
    ColdRules, ColdStarts, Decision, DispatchTarget, Dispatcher, Job, JobKey, RunEnd, RunReport,
};
use googletest::prelude::*;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

const STEP: Duration = Duration::from_millis(10);
const SECOND: Duration = Duration::from_secs(1);
/// Time of the loads on cold targets, which end just before these are warm.
const COLD_LOAD: Duration = Duration::from_millis(2_990);
/// Figures of the users' glass repair deployment.
const RULES: ColdRules =
    ColdRules { per_s: 6.4, duration: Duration::from_secs(3), max_in_a_second: 14.6 };

/// Owners of one queue under the same load: an attempt goes to one of them by its number.
struct Owners {
    now: Instant,
    dispatchers: Vec<Dispatcher>,
    targets: Vec<DispatchTarget>,
    run_time: Duration,
    next_number: u64,
    runs: Vec<(Instant, usize, JobKey)>,
    grants: BTreeMap<String, Vec<Instant>>,
    offered_by_rank: BTreeMap<u32, u32>,
    refused_by_rank: BTreeMap<u32, u32>,
    longest_retry: Duration,
}

impl Owners {
    fn new(owners: usize, targets: usize, run_time: Duration) -> Self {
        let now = Instant::now() + Duration::from_mins(1);
        let targets = (0..targets).map(|index| DispatchTarget {
            id: format!("t-{index:02}"),
            slots: 4,
            zone: "a".to_string(),
            version: "v1".to_string(),
            started_unix_ms: 1,
        });
        let mut owners = Self {
            now,
            dispatchers: vec![Dispatcher::new(); owners],
            targets: targets.collect(),
            run_time,
            next_number: 0,
            runs: Vec::new(),
            grants: BTreeMap::new(),
            offered_by_rank: BTreeMap::new(),
            refused_by_rank: BTreeMap::new(),
            longest_retry: Duration::ZERO,
        };
        owners.set_cold(&[]);
        owners
    }

    /// Tells the owners which targets are cold from now on.
    fn set_cold(&mut self, cold: &[&str]) {
        let until = self.now + RULES.duration;
        let cold_until = cold.iter().map(|id| ((*id).to_string(), until)).collect();
        let starts = ColdStarts { rules: Some(RULES), cold_until };
        for owner in 0..self.dispatchers.len() {
            let mut decisions = Vec::new();
            self.dispatchers[owner].set_cold_starts(self.now, starts.clone());
            self.dispatchers[owner].set_targets(self.now, self.targets.clone(), &mut decisions);
            self.apply(owner, decisions);
        }
    }

    /// Submits `per_s` requests a second for a time, of two ranks in turn.
    fn run(&mut self, time: Duration, per_s: f64) {
        let end = self.now + time;
        let mut due = 0.0;
        while self.now < end {
            self.now += STEP;
            let now = self.now;
            let ended: Vec<(Instant, usize, JobKey)> =
                self.runs.extract_if(.., |(until, _, _)| *until <= now).collect();
            for (_, owner, key) in ended {
                self.finish(owner, &key, RunEnd::Answered, self.run_time);
            }
            due += per_s * STEP.as_secs_f64();
            while due >= 1.0 {
                due -= 1.0;
                self.next_number += 1;
                let rank = (self.next_number / 2 % 2) as u32;
                let owner = self.next_number as usize % self.dispatchers.len();
                let key = JobKey { node: "n".to_string(), number: self.next_number };
                let mut decisions = Vec::new();
                *self.offered_by_rank.entry(rank).or_default() += 1;
                let job = job(key, rank.into(), &drafting_kinds()[rank as usize], now);
                self.dispatchers[owner].submit(now, job, &mut decisions);
                self.apply(owner, decisions);
            }
            for owner in 0..self.dispatchers.len() {
                let mut decisions = Vec::new();
                self.dispatchers[owner].on_timer(now, &mut decisions);
                self.apply(owner, decisions);
            }
        }
    }

    fn finish(&mut self, owner: usize, key: &JobKey, end: RunEnd, elapsed: Duration) {
        let mut decisions = Vec::new();
        let report = RunReport { end, elapsed };
        self.dispatchers[owner].finish(self.now, key, report, &mut decisions);
        self.apply(owner, decisions);
    }

    fn apply(&mut self, owner: usize, decisions: Vec<Decision>) {
        for decision in decisions {
            match decision {
                Decision::Grant { key, target } => {
                    self.runs.push((self.now + self.run_time, owner, key));
                    self.grants.entry(target).or_default().push(self.now);
                }
                Decision::Refuse { key, retry_after, .. } => {
                    *self.refused_by_rank.entry((key.number / 2 % 2) as u32).or_default() += 1;
                    self.longest_retry = self.longest_retry.max(retry_after);
                }
            }
        }
    }

    fn grants_since(&self, target: &str, from: Instant) -> usize {
        let grants = self.grants.get(target).map_or(&[][..], Vec::as_slice);
        grants.iter().filter(|at| **at >= from).count()
    }

    /// Returns the largest number of requests that any of these targets got in a second since a time.
    fn most_in_a_second(&self, targets: &[&str], since: Instant) -> usize {
        let of_target = |grants: &Vec<Instant>| {
            let from = |start: &Instant| {
                grants.iter().filter(|at| (*start..*start + SECOND).contains(*at)).count()
            };
            grants.iter().filter(|at| **at >= since).map(from).max().unwrap_or(0)
        };
        let grants = self.grants.iter().filter(|(id, _)| targets.contains(&id.as_str()));
        grants.map(|(_, grants)| of_target(grants)).max().unwrap_or(0)
    }

    fn served_share(&self, rank: u32) -> f64 {
        let refused = self.refused_by_rank.get(&rank).copied().unwrap_or(0);
        1.0 - f64::from(refused) / f64::from(self.offered_by_rank[&rank])
    }
}

fn allowed() -> usize {
    RULES.max_in_a_second as usize
}

/// Pattern: 12 short requests a second and target, three times as many as the users send, while one target in ten is cold. Guards against a
/// cold target that gets more than it bears, and against one that is left alone, so that it stays cold for its kept prompts.
#[gtest]
fn cold_target_gets_as_many_requests_as_it_takes() {
    let mut owners = Owners::new(1, 10, Duration::from_millis(150));
    owners.run(SECOND * 2, 120.0);
    owners.set_cold(&["t-03"]);
    let from = owners.now;
    owners.run(COLD_LOAD, 120.0);
    expect_that!(owners.most_in_a_second(&["t-03"], from), le(allowed()));
    let got = owners.grants_since("t-03", from) as f64;
    expect_that!(got, ge(RULES.per_s * RULES.duration.as_secs_f64() * 0.9));
}

/// Pattern: 20 requests a second and target, which takes 15 of them with its slots, and no row ever tells that the target is cold. Guards against a target that became cold a moment ago and gets what a
/// warm one takes.
#[gtest]
fn target_that_becomes_cold_unnoticed_gets_no_more_than_it_bears() {
    let mut owners = Owners::new(1, 2, Duration::from_millis(260));
    owners.run(SECOND, 40.0);
    let from = owners.now;
    owners.run(SECOND * 10, 40.0);
    expect_that!(owners.most_in_a_second(&["t-00", "t-01"], from), le(allowed()));
    expect_that!(owners.grants_since("t-00", from), ge(70));
}

/// Pattern: the users' mean load of 3.5 requests a second and target, half of the targets cold. Guards against requests that wait for cold
/// targets or are refused because of them.
#[gtest]
fn usual_load_does_not_wait_for_cold_targets() {
    let mut owners = Owners::new(1, 20, Duration::from_millis(400));
    owners.run(SECOND * 2, 70.0);
    let cold: Vec<String> = (0..10).map(|index| format!("t-{index:02}")).collect();
    let cold: Vec<&str> = cold.iter().map(String::as_str).collect();
    owners.set_cold(&cold);
    let from = owners.now;
    owners.run(COLD_LOAD, 70.0);
    expect_that!(owners.refused_by_rank, is_empty());
    expect_that!(owners.dispatchers[0].snapshot().waiting, eq(0));
    expect_that!(owners.most_in_a_second(&cold, from), le(allowed()));
    let to_cold: usize = cold.iter().map(|id| owners.grants_since(id, from)).sum();
    expect_that!(to_cold, ge(40));
}

/// Pattern: all targets have just started, as after a release of the whole service or a loss of power, while twice as much comes as they
/// bear. Guards against cold targets that crash again under the load that waited, and against urgent requests that suffer for others. Who is
/// refused is told when there is room.
#[gtest]
fn herd_of_cold_targets_serves_urgent_requests_first() {
    let mut owners = Owners::new(1, 20, Duration::from_millis(200));
    let all: Vec<String> = (0..20).map(|index| format!("t-{index:02}")).collect();
    let all: Vec<&str> = all.iter().map(String::as_str).collect();
    owners.set_cold(&all);
    let from = owners.now;
    owners.run(COLD_LOAD, 240.0);
    expect_that!(owners.most_in_a_second(&all, from), le(allowed()));
    expect_that!(owners.served_share(0), ge(0.9));
    let granted: usize = owners.grants.values().map(Vec::len).sum();
    expect_that!(granted as f64, ge(20.0 * RULES.per_s * RULES.duration.as_secs_f64() * 0.85));
    expect_that!(owners.longest_retry, le(Duration::from_secs(4)));
}

/// Pattern: two nodes own the queue for as long as the targets are cold, each for half of the load. Guards against cold targets that get the
/// limit twice while nodes disagree about the owner.
#[gtest]
fn two_owners_together_keep_to_what_cold_targets_take() {
    let mut owners = Owners::new(2, 4, Duration::from_millis(100));
    let all = ["t-00", "t-01", "t-02", "t-03"];
    owners.set_cold(&all);
    let from = owners.now;
    owners.run(COLD_LOAD, 200.0);
    expect_that!(owners.most_in_a_second(&all, from), le(allowed()));
}

/// Pattern: short requests press on two targets, of which one is out of reach for a second and comes back under the same id. Guards against a
/// restarted target that gets what a warm one takes until its row is read.
#[gtest]
fn target_that_was_out_of_reach_is_taken_for_a_cold_one() {
    let mut owners = Owners::new(1, 1, Duration::from_millis(40));
    owners.run(STEP, 100.0);
    let (_, owner, key) = owners.runs.remove(0);
    owners.finish(owner, &key, RunEnd::Unreachable, Duration::ZERO);
    owners.run(SECOND, 0.0);
    let from = owners.now;
    owners.run(RULES.duration, 100.0);
    expect_that!(owners.grants_since("t-00", from), le(20));
    owners.run(SECOND * 3, 100.0);
    expect_that!(owners.grants_since("t-00", from + RULES.duration), ge(22));
}

/// Guards against a large request that is risked on a cold target, or reads its prompt there, while a warm one is free and a small request
/// would do for it.
#[gtest]
fn small_requests_warm_targets() {
    for (size, expected) in [(0.3, "t-00"), (3.0, "t-01")] {
        let mut owners = Owners::new(1, 2, Duration::from_millis(200));
        owners.run(SECOND * 2, 8.0);
        owners.set_cold(&["t-00"]);
        owners.run(SECOND / 2, 0.0);
        let key = JobKey { node: "n".to_string(), number: 1_000 };
        let base = job(key, 0, &drafting_kinds()[0], owners.now);
        let mut decisions = Vec::new();
        let large = Job { relative_size: size, ..base };
        owners.dispatchers[0].submit(owners.now, large, &mut decisions);
        let target = decisions.iter().find_map(|decision| match decision {
            Decision::Grant { target, .. } => Some(target.as_str()),
            Decision::Refuse { .. } => None,
        });
        expect_that!(target, some(eq(expected)), "size {size}");
    }
}

/// Pattern: requests of 30 ms, of which a target takes twenty times as many as while it is cold. Guards against a limit of warm targets that
/// takes most of their capacity.
#[gtest]
fn warm_targets_of_short_requests_are_not_limited() {
    let mut owners = Owners::new(1, 2, Duration::from_millis(30));
    owners.run(SECOND * 2, 20.0);
    let from = owners.now;
    owners.run(SECOND, 200.0);
    expect_that!(owners.grants_since("t-00", from), ge(80));
    owners.set_cold(&["t-00"]);
    let from = owners.now;
    owners.run(COLD_LOAD, 200.0);
    expect_that!(owners.most_in_a_second(&["t-00"], from), le(allowed()));
}

/// Guards against limits in deployments that state none for cold targets.
#[gtest]
fn targets_without_rules_are_not_limited() {
    let mut owners = Owners::new(1, 1, Duration::from_millis(20));
    owners.dispatchers[0].set_cold_starts(owners.now, ColdStarts::default());
    owners.run(SECOND, 100.0);
    let from = owners.now;
    owners.run(SECOND, 100.0);
    expect_that!(owners.grants_since("t-00", from), ge(90));
}
