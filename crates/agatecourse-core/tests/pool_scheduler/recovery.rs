use crate::harness::{Harness, targets, ticket};
use agatecourse_core::request::scheduler::{LoadReport, PoolEvent, PoolScheduler};
use agatecourse_wire::request::{DispatchOutcome, InFlight, Registration};
use googletest::prelude::*;
use std::time::Duration;

const SECOND: Duration = Duration::from_secs(1);

/// Returns a harness whose scheduler has taken over the pool and waits for the nodes to register.
fn new_owner(nodes: &[&str]) -> Harness {
    let mut harness = Harness::new(targets(&[2]));
    let nodes = nodes.iter().map(ToString::to_string);
    harness.scheduler = PoolScheduler::new("drafts/0", 7)
        .with_targets(harness.now, targets(&[2]))
        .with_take_over(harness.now, nodes);
    harness
}

/// Guards against grants before all nodes have registered, which would overload targets that still run grants of the
/// previous owner; against a wait without a timeout; and against requests that a second registration counts twice.
#[gtest]
fn a_new_owner_waits_for_registrations_or_half_a_second() {
    let mut harness = new_owner(&["node-a", "node-b"]);
    harness.submit(ticket(1, 0, 60 * SECOND));
    harness.advance(Duration::from_millis(499));
    expect_that!(harness.grants, is_empty());
    harness.advance(Duration::from_millis(1));
    expect_that!(harness.granted_ids(), elements_are![eq(&1)]);

    let mut harness = new_owner(&["node-a", "node-b"]);
    let running = |request_id| InFlight {
        ticket: ticket(request_id, 0, 60 * SECOND),
        target: "t0".into(),
        version: "v1".into(),
        running_for: SECOND,
        written_tokens: 5,
    };
    let registration =
        Registration { waiting: vec![ticket(2, 0, 60 * SECOND)], in_flight: vec![running(1)] };
    for node in ["node-a", "node-a", "node-b"] {
        let (node, registration) = (node.to_string(), registration.clone());
        expect_that!(harness.grants, is_empty());
        harness.handle_event(PoolEvent::Register { node, registration });
    }
    expect_that!(harness.granted_ids(), elements_are![eq(&2)]);
    expect_that!(harness.scheduler.snapshot(harness.now).targets[0].in_flight, eq(2));
}

/// Guards against waiting requests of a dead node that stay in the queue, and against its grants that occupy a
/// target permanently.
#[gtest]
fn a_dead_node_releases_its_requests() {
    let mut harness = Harness::new(targets(&[1]));
    harness.submit(ticket(1, 0, 60 * SECOND));
    harness.submit(ticket(2, 0, 60 * SECOND));
    harness.handle_event(PoolEvent::NodeGone { node: "node-a".into() });
    expect_that!(harness.scheduler.snapshot(harness.now).tiers, is_empty());
    harness.advance(10 * SECOND);
    let ticket = ticket(3, 0, 60 * SECOND);
    harness.handle_event(PoolEvent::Submit { node: "node-b".into(), ticket });
    expect_that!(harness.granted_ids(), elements_are![eq(&1), eq(&3)]);
}

/// Guards against a grant that occupies its target permanently because its outcome never arrives.
#[gtest]
fn drops_grants_without_an_outcome() {
    let mut harness = Harness::new(targets(&[1]));
    harness.submit(ticket(1, 0, 5 * SECOND));
    harness.advance(8 * SECOND);
    expect_that!(harness.cancels, elements_are![eq(&1)]);
    harness.submit(ticket(2, 0, 5 * SECOND));
    expect_that!(harness.granted_ids(), elements_are![eq(&1), eq(&2)]);
}

/// Guards against a target that gets most requests because it fails fast and so looks idle, and against ejection of
/// all targets.
#[gtest]
fn ejects_failing_targets_but_never_the_last_one() {
    let mut harness = Harness::new(targets(&[4, 4]));
    for request_id in 0..20 {
        harness.submit(ticket(request_id, 0, 60 * SECOND));
        let outcome = match harness.target_of(request_id) {
            Some("t0") => DispatchOutcome::Failed,
            _ => DispatchOutcome::Completed,
        };
        harness.finish(request_id, outcome, SECOND);
    }
    let failed = harness.grants.iter().filter(|grant| grant.target == "t0").count();
    expect_that!(failed, eq(3));
    for request_id in 20..40 {
        harness.submit(ticket(request_id, 0, 60 * SECOND));
        harness.finish(request_id, DispatchOutcome::Failed, SECOND);
    }
    expect_that!(harness.grants.len(), eq(40));
}

/// Guards against full load on a target right after its re-admission.
#[gtest]
fn readmits_an_ejected_target_gradually() {
    let mut harness = Harness::new(targets(&[8, 1]));
    for request_id in 0..3 {
        harness.submit(ticket(request_id, 0, 60 * SECOND));
        harness.finish(request_id, DispatchOutcome::Failed, SECOND);
    }
    harness.advance(2 * SECOND);
    for request_id in 10..20 {
        harness.submit(ticket(request_id, 0, 600 * SECOND));
    }
    let on_t0 = |harness: &Harness| harness.scheduler.snapshot(harness.now).targets[0].in_flight;
    expect_that!(on_t0(&harness), eq(1), "one probe");
    let probe = harness.grants.iter().rfind(|grant| grant.target == "t0").map(|g| g.request_id);
    harness.finish(probe.unwrap_or_default(), DispatchOutcome::Completed, SECOND);
    expect_that!(on_t0(&harness), all![ge(1), le(2)]);
}

/// Guards against ejection for slowness of more than half of the targets, which would overload the others.
#[gtest]
fn ejects_at_most_half_of_the_pool_for_slowness() {
    let mut harness = Harness::new(targets(&[4, 4, 4, 4, 4]));
    for _ in 0..20 {
        for target in ["t0", "t1", "t2", "t3"] {
            let token_gap = Some(Duration::from_millis(500));
            let report = LoadReport { running: 1, token_gap, ..LoadReport::default() };
            harness.handle_event(PoolEvent::Report { target: target.into(), report });
        }
    }
    let snapshot = harness.scheduler.snapshot(harness.now);
    let ejected = snapshot.targets.iter().filter(|target| !target.usable).count();
    expect_that!(ejected, eq(2));
}
