//! Tests of the evaluation of a new version.

use agatecourse_core::version::{AnswerTime, Rollout, RolloutCounts, RolloutState, RouteHash};
use googletest::prelude::*;
use std::time::{Duration, Instant};

const FAST: Duration = Duration::from_millis(100);
const SLOW: Duration = Duration::from_millis(500);
/// Time from which the version of the case "fails later" fails.
const LATE_FAILURE_START: Duration = Duration::from_secs(5);

/// Maps the time since the start to whether an answer of the new version fails, and to its run time.
type Answer = dyn Fn(Duration) -> (bool, Duration);

fn first(elapsed: Duration) -> AnswerTime {
    AnswerTime { first: Some(elapsed), pace: None }
}

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
            if simulation.rollout.is_canary_request(&format!("request-{number}"), 1) {
                simulation.new_requests += 1;
                simulation.new_after_rollback +=
                    u32::from(simulation.rollout.state() == RolloutState::Reverted);
                let (failed, elapsed) = answer(at);
                simulation.rollout.record(&"v2".to_string(), 1, failed, first(elapsed));
            } else {
                simulation.rollout.record(&"v1".to_string(), 1, number % 50 == 0, first(FAST));
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
    expect_that!(other.is_canary_request("any", 1), eq(false));
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

/// Routes with the requests of each in a second, over all nodes.
const ROUTES: [(RouteHash, u32); 3] = [(1, 29), (2, 35), (3, 6)];
const NODES: usize = 3;

/// Returns a number that looks random, so that failures do not follow the turns of nodes and routes.
fn scatter(number: u32) -> u32 {
    number.wrapping_add(1).wrapping_mul(2_654_435_761) >> 12
}

/// Sends the requests of [`ROUTES`] for 12 s over nodes that exchange their counts twice a second; `is_bad` returns whether the new version
/// fails a request, by its route and number. Returns the state of the first node, the requests of the new version and all requests.
fn simulate_routes(seed: u32, is_bad: impl Fn(RouteHash, u32) -> bool) -> (RolloutState, u32, u32) {
    let start = Instant::now();
    let mut nodes = vec![Rollout::new(start, "v2", 1, Duration::from_secs(12)); NODES];
    let (mut new_requests, mut requests) = (0, 0);
    for step in 0..1_200_u32 {
        let now = start + Duration::from_millis(u64::from(step) * 10);
        for (route, per_s) in ROUTES {
            if step * per_s / 100 == (step + 1) * per_s / 100 {
                continue;
            }
            requests += 1;
            let rollout = &mut nodes[requests as usize % NODES];
            let is_new = rollout.is_canary_request(&format!("{seed}-{route}-{step}"), route)
                || !rollout.is_new_version_avoided();
            new_requests += u32::from(is_new);
            let version = if is_new { "v2" } else { "v1" }.to_string();
            let number = scatter(seed * 100_000 + requests);
            let has_failed =
                if is_new { is_bad(route, number) } else { number.is_multiple_of(100) };
            rollout.record(&version, route, has_failed, first(FAST));
        }
        if step % 50 == 49 {
            let reports: Vec<_> = nodes
                .iter()
                .map(|node| (node.own_counts(), node.own_route_counts(32, 0), node.state()))
                .collect();
            for (index, node) in nodes.iter_mut().enumerate() {
                for (peer, (counts, routes, state)) in reports.iter().enumerate() {
                    if peer != index {
                        node.record_peer_routes(&peer.to_string(), routes);
                        node.record_peer(&peer.to_string(), *counts, *state);
                    }
                }
                node.decide(now, true);
            }
        }
    }
    (nodes[0].state(), new_requests, requests)
}

/// Guards against a version that fails on a route with one in twelve requests of the service and is accepted, because the answers on the
/// other routes outweigh these. One that fails a third of the few requests of such a route is found in most cases.
#[gtest]
fn version_that_fails_on_a_route_with_few_requests_is_rolled_back() {
    for (divisor, min_found) in [(1, 20), (2, 20), (3, 12)] {
        let mut found = 0;
        for seed in 0..20 {
            let (state, new, all) =
                simulate_routes(seed, |route, number| route == 3 && number % divisor == 0);
            if state == RolloutState::Reverted {
                found += 1;
                let allowed = f64::from(all) * 0.1 + 50.0;
                expect_that!(f64::from(new), le(allowed), "one in {divisor}, seed {seed}");
            }
        }
        expect_that!(found, ge(min_found), "one in {divisor}");
    }
}

/// Guards against good versions that are rolled back, or get more than their share, because their routes are judged apart.
#[gtest]
fn good_version_with_a_few_bad_answers_on_each_route_is_accepted() {
    for divisor in [1_000_000, 100, 50] {
        let mut accepted = 0;
        for seed in 0..40 {
            let (state, new, _) = simulate_routes(seed, |_, number| number % divisor == 0);
            accepted += u32::from(state == RolloutState::Complete);
            // The last quarter of the rollout follows the decision.
            expect_that!(new, le(70 * 12 / 4 + 84 + 50), "one in {divisor}, seed {seed}");
        }
        expect_that!(accepted, ge(39), "one in {divisor}");
    }
}

/// Guards against a route whose answers no single node has counted enough of, and against reports that count twice.
#[gtest]
fn route_counts_of_all_nodes_add_up() {
    let now = Instant::now();
    let mut rollout = Rollout::new(now, "v2", 1, Duration::from_secs(12));
    let good = RolloutCounts { new_answers: 40, new_bad: 0, old_answers: 600, old_bad: 0 };
    let bad = RolloutCounts { new_answers: 1, new_bad: 1, old_answers: 20, old_bad: 0 };
    for peer in 0..3 {
        for _ in 0..2 {
            rollout.record_peer_routes(&format!("node-{peer}"), &[(1, good), (2, bad)]);
        }
    }
    let sum = RolloutCounts { new_answers: 3, new_bad: 3, old_answers: 60, old_bad: 0 };
    expect_that!(rollout.route_counts().get(&2), some(eq(&sum)));
    expect_that!(rollout.decide(now + Duration::from_secs(4), true), eq(RolloutState::InProgress));
    expect_that!(rollout.decide(now + Duration::from_secs(9), true), eq(RolloutState::Reverted));
}

/// Guards against a version whose streams go on several times slower after a first event in time, and against one that is so slow that nobody
/// waits for its answers to end.
#[gtest]
fn slow_streams_and_answers_without_an_end_are_bad() {
    let now = Instant::now();
    let time = |first_ms, pace_ms| AnswerTime {
        first: Some(Duration::from_millis(first_ms)),
        pace: Some(Duration::from_millis(pace_ms)),
    };
    let with_old = || {
        let mut rollout = Rollout::new(now, "v2", 1, Duration::from_secs(12));
        for _ in 0..100 {
            rollout.record(&"v1".to_string(), 1, false, time(100, 40));
        }
        rollout
    };
    let new = "v2".to_string();
    let (mut slow, mut hanging, mut left_early) = (with_old(), with_old(), with_old());
    for _ in 0..10 {
        slow.record(&new, 1, false, time(100, 200));
        hanging.record_unfinished(&new, 1, first(Duration::from_secs(2)));
        left_early.record_unfinished(&new, 1, first(Duration::from_millis(80)));
    }
    expect_that!(slow.decide(now, true), eq(RolloutState::Reverted));
    expect_that!(hanging.decide(now, true), eq(RolloutState::Reverted));
    expect_that!(left_early.decide(now, true), eq(RolloutState::InProgress));
    expect_that!(left_early.counts().new_answers, eq(0));
}
