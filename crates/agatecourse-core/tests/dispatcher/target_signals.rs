//! Tests of what targets say in their responses: that they leave, or that a node shall pause.

use crate::simulation::{drafting_kinds, job};
use agatecourse_core::request::dispatch::{
    Closure, Decision, DispatchTarget, Dispatcher, JobKey, TargetSignal, TargetSignals,
};
use googletest::prelude::*;
use std::time::{Duration, Instant};

const SECOND: Duration = Duration::from_secs(1);

fn target(started_unix_ms: u64) -> DispatchTarget {
    DispatchTarget {
        id: "t".to_string(),
        slots: 4,
        zone: "a".to_string(),
        version: "v1".to_string(),
        started_unix_ms,
    }
}

fn submit(dispatcher: &mut Dispatcher, now: Instant, node: &str, number: u64) -> Vec<Decision> {
    let mut decisions = Vec::new();
    let key = JobKey { node: node.to_string(), number };
    dispatcher.submit(now, job(key, 0, &drafting_kinds()[0], now), &mut decisions);
    decisions
}

/// Guards against a stale or a renewed row that lifts what a target has said, and against signals that outlive its process.
#[gtest]
fn signals_belong_to_one_process_of_a_target() {
    let now = Instant::now();
    let id = "t".to_string();
    let mut signals = TargetSignals::new();
    let leaving = TargetSignal { is_leaving: true, ..TargetSignal::default() };
    expect_that!(signals.record(now, &id, 1, now, leaving).leaving, eq(true));
    expect_that!(signals.record(now, &id, 1, now, TargetSignal::default()).any(), eq(false));
    expect_that!(signals.closure(now + SECOND * 60, &id, 1), some(eq(Closure::Leaving)));
    expect_that!(signals.closure(now, &id, 2), none());
}

/// Guards against a shorter pause that ends a longer one, and against a pause that never ends.
#[gtest]
fn longest_pause_counts_and_ends() {
    let now = Instant::now();
    let id = "t".to_string();
    let mut signals = TargetSignals::new();
    for pause in [SECOND * 3, SECOND] {
        signals.record(now, &id, 1, now, TargetSignal { pause, ..TargetSignal::default() });
    }
    let end = now + SECOND * 3;
    expect_that!(signals.closure(now + SECOND * 2, &id, 1), some(eq(Closure::Paused(end))));
    expect_that!(signals.closure(end, &id, 1), none());
}

/// Pattern: a rolling restart of targets under their ids. Guards against a target that stays closed because its former process left,
/// and against a report about the former process that arrives late.
#[gtest]
fn restarted_target_is_granted_again() {
    let now = Instant::now();
    let (mut dispatcher, mut decisions) = (Dispatcher::new(), Vec::new());
    dispatcher.set_targets(now, vec![target(1)], &mut decisions);
    dispatcher.set_leaving(&"t".to_string(), 1);
    expect_that!(submit(&mut dispatcher, now, "n", 1), is_empty());
    dispatcher.set_targets(now, vec![target(2)], &mut decisions);
    expect_that!(decisions, len(eq(1)));
    dispatcher.set_leaving(&"t".to_string(), 1);
    expect_that!(submit(&mut dispatcher, now, "n", 2), len(eq(1)));
}

/// Pattern: each target asks the node that got its refusal for a pause longer than the deadline. Guards against attempts of that node
/// that wait in vain, and against attempts of other nodes that are refused with them.
#[gtest]
fn attempt_that_waits_only_for_pauses_is_refused_with_their_end() {
    let now = Instant::now();
    let mut dispatcher = Dispatcher::new();
    dispatcher.set_targets(now, vec![target(1)], &mut Vec::new());
    let id = "t".to_string();
    dispatcher.pause_node(now, &id, 1, &"paused".to_string(), now + SECOND * 30);
    match &submit(&mut dispatcher, now, "paused", 1)[..] {
        [Decision::Refuse { predicted_wait, .. }] => {
            expect_that!(*predicted_wait, eq(SECOND * 30));
        }
        other => panic!("expected a refusal, got {other:?}"),
    }
    match &submit(&mut dispatcher, now, "other", 1)[..] {
        [Decision::Grant { target, .. }] => expect_that!(target, eq(&id)),
        other => panic!("expected a grant, got {other:?}"),
    }
}
