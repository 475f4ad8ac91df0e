//! Tests of the evaluation of a new version.

use agatecourse_core::version::{Rollout, RolloutCounts, RolloutState};
use googletest::prelude::*;
use std::time::{Duration, Instant};

const FAST: Duration = Duration::from_millis(100);
const SLOW: Duration = Duration::from_millis(500);
/// Time from which the version of the case "fails later" fails.
const LATE_FAILURE_START: Duration = Duration::from_secs(5);

/// Maps the time since the start to whether an answer of the new version fails, and to its run time.
type Answer = dyn Fn(Duration) -> (bool, Duration);

struct RolloutSimulation {
    start: Instant,
    rollout: Rollout,
    new_requests: u32,
    new_after_rollback: u32,
}

impl RolloutSimulation {
    /// Sends 200 requests a second for the rollout's 12 s; `answer` returns whether the new version fails and its run time.
    fn run(answer: impl Fn(Duration) -> (bool, Duration)) -> Self {
        let start = Instant::now();
        let rollout = Rollout::new(start, "v2", 1, Duration::from_secs(12));
        let mut simulation = Self { start, rollout, new_requests: 0, new_after_rollback: 0 };
        for number in 0..2_400_u32 {
            let at = Duration::from_millis(u64::from(number) * 5);
            if simulation.rollout.is_canary_request(&format!("request-{number}")) {
                simulation.new_requests += 1;
                simulation.new_after_rollback +=
                    u32::from(simulation.rollout.state() == RolloutState::Reverted);
                let (failed, elapsed) = answer(at);
                simulation.rollout.record(&"v2".to_string(), 1, failed, elapsed);
            } else {
                simulation.rollout.record(&"v1".to_string(), 1, number % 50 == 0, FAST);
            }
            simulation.rollout.decide(simulation.start + at, true);
        }
        simulation
    }
}

/// Guards against good versions that aren't accepted by their deadline.
#[gtest]
fn good_version_is_complete_before_its_deadline() {
    let simulation = RolloutSimulation::run(|_| (false, FAST));
    expect_that!(simulation.rollout.state(), eq(RolloutState::Complete));
}

/// Guards against a bad version that gets more than a tenth of the requests, or any after it was rolled back.
#[gtest]
fn bad_versions_are_rolled_back_with_little_exposure() {
    let cases: [(&str, &Answer); 4] = [
        ("fails", &|_| (true, FAST)),
        ("fails in part", &|at| (at.as_millis() % 3 == 0, FAST)),
        ("slow", &|_| (false, SLOW)),
        ("fails later", &|at| (at > LATE_FAILURE_START, FAST)),
    ];
    for (name, answer) in cases {
        let simulation = RolloutSimulation::run(answer);
        expect_that!(simulation.rollout.state(), eq(RolloutState::Reverted), "{}", name);
        expect_that!(simulation.new_requests, le(240 + 50), "{}", name);
        expect_that!(simulation.new_after_rollback, eq(0), "{}", name);
        expect_that!(simulation.rollout.counts().new_bad, lt(50), "{}", name);
    }
}

/// Guards against a node that keeps using a version which another node has rolled back, and against bad answers that are
/// ignored because no single node has counted enough of them.
#[gtest]
fn counts_and_decision_spread_between_nodes() {
    let now = Instant::now();
    let mut rollout = Rollout::new(now, "v2", 1, Duration::from_secs(12));
    for peer in 0..3 {
        let counts = RolloutCounts { new_answers: 3, new_bad: 2, old_answers: 50, old_bad: 0 };
        rollout.record_peer(&format!("node-{peer}"), counts, RolloutState::InProgress);
    }
    expect_that!(rollout.decide(now, true), eq(RolloutState::Reverted));
    let mut other = Rollout::new(now, "v2", 1, Duration::from_secs(12));
    other.record_peer(&"node".to_string(), rollout.own_counts(), RolloutState::Reverted);
    expect_that!(other.decide(now + Duration::from_secs(11), true), eq(RolloutState::Reverted));
    expect_that!(other.is_canary_request("any"), eq(false));
}

/// Guards against a rollout that is never decided, or is accepted without a target of the new version.
#[gtest]
fn rollout_without_new_targets_is_rolled_back_at_its_deadline() {
    let now = Instant::now();
    let mut rollout = Rollout::new(now, "v2", 1, Duration::from_secs(12));
    expect_that!(
        rollout.decide(now + Duration::from_secs(11), false),
        eq(RolloutState::InProgress)
    );
    expect_that!(rollout.decide(now + Duration::from_secs(12), false), eq(RolloutState::Reverted));
}
