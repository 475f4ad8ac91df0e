//! Tests of targets that name the requests per second that they take. The users allow one and a half times as many in any 4 s, and
//! five more (rule LIMIT).

use crate::simulation::{drafting_kinds, job};
use agatecourse_core::request::dispatch::{
    Decision, DispatchTarget, Dispatcher, JobKey, NamedLimit, RunEnd, RunReport, TargetSignal,
    TargetSignals,
};
use googletest::prelude::*;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

const WINDOW: Duration = Duration::from_secs(4);
const RUN_TIME: Duration = Duration::from_millis(100);
const STEP: Duration = Duration::from_millis(20);

/// Dispatcher of targets under constant pressure.
struct Pressure {
    now: Instant,
    dispatcher: Dispatcher,
    next_number: u64,
    runs: Vec<(Instant, JobKey)>,
    grants: BTreeMap<String, Vec<Instant>>,
    refused: u32,
}

impl Pressure {
    fn new(targets: &[&str]) -> Self {
        let now = Instant::now() + Duration::from_mins(1);
        let mut dispatcher = Dispatcher::new();
        let targets = targets.iter().map(|id| DispatchTarget {
            id: (*id).to_string(),
            slots: 4,
            zone: "a".to_string(),
            version: "v1".to_string(),
            started_unix_ms: 1,
        });
        dispatcher.set_targets(now, targets.collect(), &mut Vec::new());
        let (runs, grants) = (Vec::new(), BTreeMap::new());
        Self { now, dispatcher, next_number: 0, runs, grants, refused: 0 }
    }

    fn set_limit(&mut self, target: &str, per_s: Option<f64>) {
        let limit = NamedLimit { per_s, named_at: self.now };
        let mut decisions = Vec::new();
        self.dispatcher.set_limit(self.now, &target.to_string(), limit, &mut decisions);
        self.apply(decisions);
    }

    /// Submits `per_s` requests a second for a time.
    fn run(&mut self, time: Duration, per_s: f64) {
        let end = self.now + time;
        let mut due = 0.0;
        while self.now < end {
            self.now += STEP;
            let mut decisions = Vec::new();
            let now = self.now;
            let ended: Vec<JobKey> =
                self.runs.extract_if(.., |(until, _)| *until <= now).map(|(_, key)| key).collect();
            for key in ended {
                let report = RunReport { end: RunEnd::Answered, elapsed: RUN_TIME };
                self.dispatcher.finish(now, &key, report, &mut decisions);
            }
            due += per_s * STEP.as_secs_f64();
            while due >= 1.0 {
                due -= 1.0;
                self.next_number += 1;
                let key = JobKey { node: "n".to_string(), number: self.next_number };
                let job = job(key, 0, &drafting_kinds()[0], now);
                self.dispatcher.submit(now, job, &mut decisions);
            }
            self.dispatcher.on_timer(now, &mut decisions);
            self.apply(decisions);
        }
    }

    fn apply(&mut self, decisions: Vec<Decision>) {
        for decision in decisions {
            match decision {
                Decision::Grant { key, target } => {
                    self.runs.push((self.now + RUN_TIME, key));
                    self.grants.entry(target).or_default().push(self.now);
                }
                Decision::Refuse { .. } => self.refused += 1,
            }
        }
    }

    fn grants_since(&self, target: &str, from: Instant) -> Vec<Instant> {
        let grants = self.grants.get(target).map_or(&[][..], Vec::as_slice);
        grants.iter().copied().filter(|at| *at >= from).collect()
    }

    /// Returns the largest number of requests that a target got within the users' window from a time on.
    fn most_in_window(&self, target: &str, from: Instant) -> usize {
        let grants = self.grants_since(target, from);
        let in_window = |start: &Instant| {
            grants.iter().filter(|at| (*start..*start + WINDOW).contains(*at)).count()
        };
        grants.iter().map(in_window).max().unwrap_or(0)
    }
}

fn allowed(limit_per_s: f64) -> usize {
    (limit_per_s * WINDOW.as_secs_f64() * 1.5 + 5.0) as usize
}

/// Pattern: more requests than all targets take. Guards against a limited target that gets more than it takes, and against one that
/// gets much less than it takes while requests wait.
#[gtest]
fn limited_target_gets_as_many_requests_as_it_takes() {
    for limit_per_s in [0.5, 1.1, 4.2, 12.0] {
        let mut pressure = Pressure::new(&["limited", "other"]);
        pressure.run(Duration::from_secs(2), 100.0);
        pressure.set_limit("limited", Some(limit_per_s));
        let from = pressure.now;
        pressure.run(Duration::from_secs(20), 100.0);
        expect_that!(
            pressure.most_in_window("limited", from),
            le(allowed(limit_per_s)),
            "{limit_per_s}"
        );
        let total = pressure.grants_since("limited", from).len() as f64;
        expect_that!(total, ge(limit_per_s * 20.0 * 0.9 - 1.0), "{limit_per_s}");
        expect_that!(pressure.grants_since("other", from).len(), ge(700));
    }
}

/// Pattern: other targets have room. Guards against requests that are refused or wait at a limited target.
#[gtest]
fn work_goes_elsewhere_before_anyone_is_refused() {
    let mut pressure = Pressure::new(&["limited", "other"]);
    pressure.set_limit("limited", Some(1.0));
    pressure.run(Duration::from_secs(6), 20.0);
    let from = pressure.now;
    pressure.run(WINDOW, 20.0);
    expect_that!(pressure.refused, eq(0));
    expect_that!(pressure.dispatcher.snapshot().waiting, eq(0));
    expect_that!(pressure.grants_since("other", from).len(), ge(70));
}

/// Pattern: a limit is lowered, names 0, and is lifted. Guards against a target that never gets requests again because no response
/// shows that it takes them.
#[gtest]
fn changed_limits_are_followed() {
    let mut pressure = Pressure::new(&["limited", "other"]);
    pressure.set_limit("limited", Some(10.0));
    pressure.run(Duration::from_secs(5), 100.0);
    pressure.set_limit("limited", Some(2.0));
    let from = pressure.now;
    pressure.run(Duration::from_secs(8), 100.0);
    expect_that!(pressure.most_in_window("limited", from), le(allowed(2.0)));
    pressure.set_limit("limited", Some(0.0));
    let from = pressure.now;
    pressure.run(Duration::from_secs(20), 100.0);
    expect_that!(pressure.most_in_window("limited", from), le(allowed(0.0)));
    expect_that!(pressure.grants_since("limited", from).len(), ge(3));
    pressure.set_limit("limited", None);
    let from = pressure.now;
    pressure.run(Duration::from_secs(4), 100.0);
    expect_that!(pressure.grants_since("limited", from).len(), ge(100));
}

/// Pattern: all targets are limited to far less than what comes. Guards against callers that wait until their deadline: what is refused
/// is refused at once, with the time after which there is room.
#[gtest]
fn requests_beyond_the_limits_of_all_targets_are_refused_with_the_predicted_wait() {
    let mut pressure = Pressure::new(&["a", "b"]);
    pressure.set_limit("a", Some(1.0));
    pressure.set_limit("b", Some(1.0));
    pressure.run(Duration::from_secs(30), 20.0);
    expect_that!(pressure.refused, ge(400));
    expect_that!(pressure.dispatcher.snapshot().waiting, le(26));
}

/// Guards against a limit that is lifted by a response that was on its way before the limit was named, and against an older limit that
/// replaces a newer one when nodes report late.
#[gtest]
fn late_responses_and_reports_change_nothing() {
    let sent = Instant::now();
    let target = "limited".to_string();
    let mut signals = TargetSignals::new();
    let mut record = |now, sent_at, limit_per_s| {
        let signal = TargetSignal { limit_per_s, ..TargetSignal::default() };
        let change = signals.record(now, &target, 1, sent_at, signal);
        (change.any(), signals.limit(&target, 1).and_then(|limit| limit.per_s))
    };
    expect_that!(record(sent + STEP, sent, None), eq((false, None)));
    expect_that!(record(sent + STEP, sent, Some(2.0)), eq((true, Some(2.0))));
    expect_that!(record(sent + STEP * 2, sent, None), eq((false, Some(2.0))));
    expect_that!(record(sent + STEP * 3, sent + STEP * 2, None), eq((true, None)));

    let mut pressure = Pressure::new(&["limited"]);
    let old = NamedLimit { per_s: None, named_at: pressure.now };
    pressure.run(STEP, 0.0);
    pressure.set_limit("limited", Some(1.0));
    let now = pressure.now;
    pressure.dispatcher.set_limit(now, &target, old, &mut Vec::new());
    pressure.run(WINDOW, 100.0);
    expect_that!(pressure.most_in_window("limited", now), le(allowed(1.0)));
}

/// Guards against a grant that its node did not use but that counts against the target's limit.
#[gtest]
fn unused_grant_does_not_count() {
    let mut pressure = Pressure::new(&["limited"]);
    pressure.set_limit("limited", Some(1.0));
    pressure.now += Duration::from_secs(2);
    let now = pressure.now;
    let mut decisions = Vec::new();
    for number in 1..=2 {
        let key = JobKey { node: "n".to_string(), number };
        pressure.dispatcher.submit(now, job(key, 0, &drafting_kinds()[0], now), &mut decisions);
    }
    expect_that!(decisions, len(eq(1)));
    let report = RunReport { end: RunEnd::Unused, elapsed: Duration::ZERO };
    let key = JobKey { node: "n".to_string(), number: 1 };
    pressure.dispatcher.finish(now, &key, report, &mut decisions);
    expect_that!(decisions, len(eq(2)));
}
