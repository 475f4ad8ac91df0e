use crate::simulation::{drafting_kinds, job};
use agatecourse_core::request::dispatch::{
    Decision, DispatchTarget, Dispatcher, JobKey, RunEnd, RunReport,
};
use googletest::prelude::*;
use std::collections::BTreeSet;
use std::time::{Duration, Instant};

fn key(node: &str, number: u64) -> JobKey {
    JobKey { node: node.to_string(), number }
}

fn target(id: &str, zone: &str) -> DispatchTarget {
    DispatchTarget {
        id: id.to_string(),
        slots: 1,
        zone: zone.to_string(),
        version: "v1".to_string(),
    }
}

fn one_slot(now: Instant) -> Dispatcher {
    let mut dispatcher = Dispatcher::new();
    dispatcher.set_targets(now, vec![target("only", "a")], &mut Vec::new());
    dispatcher
}

fn granted(decisions: &[Decision]) -> Vec<(u64, String)> {
    decisions
        .iter()
        .filter_map(|decision| match decision {
            Decision::Grant { key, target } => Some((key.number, target.clone())),
            Decision::Refuse { .. } => None,
        })
        .collect()
}

/// Guards against a second slot for an attempt that is submitted again because its grant was lost.
#[gtest]
fn repeated_submission_gets_the_same_target() {
    let now = Instant::now();
    let (mut dispatcher, mut decisions) = (one_slot(now), Vec::new());
    let kind = drafting_kinds()[0];
    for _ in 0..2 {
        dispatcher.submit(now, job(key("n", 1), 0, &kind, now), &mut decisions);
    }
    expect_that!(
        granted(&decisions),
        elements_are![eq(&(1, "only".to_string())), eq(&(1, "only".to_string()))]
    );
    expect_that!(dispatcher.snapshot().running, eq(1));
}

/// Guards against a slot that stays occupied after the message about the end of a run was lost.
#[gtest]
fn status_without_a_run_frees_its_slot() {
    let now = Instant::now();
    let (mut dispatcher, mut decisions) = (one_slot(now), Vec::new());
    let kind = drafting_kinds()[0];
    dispatcher.submit(now, job(key("n", 1), 0, &kind, now), &mut decisions);
    dispatcher.submit(now, job(key("n", 2), 0, &kind, now), &mut decisions);
    decisions.clear();
    let later = now + Duration::from_secs(1);
    let node = "n".to_string();
    dispatcher.reconcile(later, &node, &BTreeSet::from([2]), &[], later, &mut decisions);
    expect_that!(granted(&decisions), elements_are![eq(&(2, "only".to_string()))]);
}

/// Guards against a new queue owner that grants slots which are occupied by runs that the previous owner granted.
#[gtest]
fn status_of_a_node_occupies_the_slots_of_its_runs() {
    let now = Instant::now();
    let (mut dispatcher, mut decisions) = (one_slot(now), Vec::new());
    let node = "n".to_string();
    let running = [(7, "only".to_string())];
    dispatcher.reconcile(now, &node, &BTreeSet::from([7]), &running, now, &mut decisions);
    dispatcher.submit(now, job(key("m", 1), 0, &drafting_kinds()[0], now), &mut decisions);
    expect_that!(granted(&decisions), is_empty());
    dispatcher.forget_node(now, &node, &mut decisions);
    expect_that!(granted(&decisions), elements_are![eq(&(1, "only".to_string()))]);
}

/// Guards against a retry at the target that has already failed the request.
#[gtest]
fn retry_goes_to_another_target() {
    let now = Instant::now();
    let (mut dispatcher, mut decisions) = (Dispatcher::new(), Vec::new());
    dispatcher.set_targets(now, vec![target("first", "a"), target("second", "b")], &mut decisions);
    let mut again = job(key("n", 1), 0, &drafting_kinds()[0], now);
    again.excluded.push("first".to_string());
    dispatcher.submit(now, again, &mut decisions);
    expect_that!(granted(&decisions), elements_are![eq(&(1, "second".to_string()))]);
}

/// Guards against traffic between availability zones when an equal target is free in the node's zone.
#[gtest]
fn equal_targets_are_chosen_in_the_same_zone() {
    let now = Instant::now();
    let (mut dispatcher, mut decisions) = (Dispatcher::new(), Vec::new());
    dispatcher.set_targets(now, vec![target("far", "b"), target("near", "a")], &mut decisions);
    dispatcher.submit(now, job(key("n", 1), 0, &drafting_kinds()[0], now), &mut decisions);
    expect_that!(granted(&decisions), elements_are![eq(&(1, "near".to_string()))]);
}

/// Guards against a request that waits forever after its only target was unreachable.
#[gtest]
fn unreachable_target_is_tried_again_after_its_pause() {
    let now = Instant::now();
    let (mut dispatcher, mut decisions) = (one_slot(now), Vec::new());
    let kind = drafting_kinds()[0];
    dispatcher.submit(now, job(key("n", 1), 0, &kind, now), &mut decisions);
    let report = RunReport { end: RunEnd::Unreachable, elapsed: Duration::from_millis(400) };
    dispatcher.finish(now, &key("n", 1), report, &mut decisions);
    decisions.clear();
    dispatcher.submit(now, job(key("n", 2), 0, &kind, now), &mut decisions);
    expect_that!(decisions, is_empty());
    let wakeup = dispatcher.next_wakeup(now);
    assert_that!(wakeup, some(anything()));
    dispatcher.on_timer(wakeup.unwrap_or(now), &mut decisions);
    expect_that!(granted(&decisions), elements_are![eq(&(2, "only".to_string()))]);
}

/// Guards against requests that reach the new version of a rollout although they aren't canary requests.
#[gtest]
fn required_and_avoided_versions_are_respected() {
    let now = Instant::now();
    let (mut dispatcher, mut decisions) = (Dispatcher::new(), Vec::new());
    let mut new = target("new", "a");
    new.version = "v2".to_string();
    dispatcher.set_targets(now, vec![new, target("old", "a")], &mut decisions);
    let kind = drafting_kinds()[0];
    let mut canary = job(key("n", 1), 0, &kind, now);
    canary.version = "v2".to_string();
    let mut others = job(key("n", 2), 0, &kind, now);
    others.avoided_version = "v2".to_string();
    let mut more = job(key("n", 3), 0, &kind, now);
    more.avoided_version = "v2".to_string();
    for attempt in [others, more, canary] {
        dispatcher.submit(now, attempt, &mut decisions);
    }
    expect_that!(
        granted(&decisions),
        elements_are![eq(&(2, "old".to_string())), eq(&(1, "new".to_string()))]
    );
}
