use crate::simulation::{drafting_kinds, job};
use agatecourse_core::request::dispatch::{
    Decision, DispatchTarget, Dispatcher, Job, JobKey, RunEnd, RunReport,
};
use googletest::prelude::*;
use smallvec::SmallVec;
use std::collections::{BTreeMap, BTreeSet};
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
        started_unix_ms: 1,
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

/// Returns an attempt that may crash its target with the key.
fn suspect_job(number: u64, suspect: u64, now: Instant) -> Job {
    let suspects = SmallVec::from_slice(&[suspect]);
    Job { suspects, ..job(key("n", number), 0, &drafting_kinds()[0], now) }
}

fn many_targets(now: Instant, count: usize) -> Dispatcher {
    let mut dispatcher = Dispatcher::new();
    let targets =
        (0..count).map(|index| DispatchTarget { slots: 4, ..target(&format!("t-{index}"), "a") });
    dispatcher.set_targets(now, targets.collect(), &mut Vec::new());
    dispatcher
}

/// Guards against several targets that crash at once, because requests with a part that may be deadly run beside each other.
#[gtest]
fn attempts_that_share_a_suspect_run_one_after_the_other() {
    let now = Instant::now();
    let (mut dispatcher, mut decisions) = (many_targets(now, 3), Vec::new());
    for number in 1..=3 {
        dispatcher.submit(now, suspect_job(number, 7, now), &mut decisions);
    }
    dispatcher.submit(now, suspect_job(4, 8, now), &mut decisions);
    dispatcher.submit(now, job(key("n", 5), 0, &drafting_kinds()[0], now), &mut decisions);
    let numbers = |decisions: &[Decision]| -> Vec<u64> {
        granted(decisions).iter().map(|(number, _)| *number).collect()
    };
    expect_that!(numbers(&decisions), elements_are![eq(&1), eq(&4), eq(&5)]);
    decisions.clear();
    let report = RunReport { end: RunEnd::Unreachable, elapsed: Duration::from_millis(100) };
    dispatcher.finish(now, &key("n", 1), report, &mut decisions);
    expect_that!(numbers(&decisions), elements_are![eq(&2)]);
    decisions.clear();
    dispatcher.clear_suspects(now, &[7], &mut decisions);
    expect_that!(numbers(&decisions), elements_are![eq(&3)]);
}

/// Guards against requests that wait for good because a run shows nothing, for example while its target hangs.
#[gtest]
fn attempt_waits_for_a_trial_for_a_limited_time() {
    let now = Instant::now();
    let (mut dispatcher, mut decisions) = (many_targets(now, 3), Vec::new());
    dispatcher.submit(now, suspect_job(1, 7, now), &mut decisions);
    dispatcher.submit(now, suspect_job(2, 7, now), &mut decisions);
    expect_that!(granted(&decisions), len(eq(1)));
    dispatcher.on_timer(now + Duration::from_millis(1_500), &mut decisions);
    expect_that!(granted(&decisions), len(eq(2)));
}

/// Guards against sound requests that are lost with the target of a request that crashes it: such a request runs where the fewest
/// others run, and others avoid its target until its answer has begun.
#[gtest]
fn suspect_runs_apart_from_other_requests() {
    let now = Instant::now();
    let (mut dispatcher, mut decisions) = (many_targets(now, 3), Vec::new());
    let kind = drafting_kinds()[0];
    for number in 1..=4 {
        dispatcher.submit(now, job(key("n", number), 0, &kind, now), &mut decisions);
    }
    let loads: BTreeMap<String, usize> =
        granted(&decisions).into_iter().fold(BTreeMap::new(), |mut loads, (_, target)| {
            *loads.entry(target).or_default() += 1;
            loads
        });
    decisions.clear();
    dispatcher.submit(now, suspect_job(10, 7, now), &mut decisions);
    let trial_target = granted(&decisions)[0].1.clone();
    let trial_load = loads.get(&trial_target).copied().unwrap_or_default();
    expect_that!(loads.values().copied().max(), some(gt(trial_load)));
    decisions.clear();
    for number in 11..=15 {
        dispatcher.submit(now, job(key("n", number), 0, &kind, now), &mut decisions);
    }
    let targets: Vec<String> = granted(&decisions).into_iter().map(|(_, target)| target).collect();
    expect_that!(targets, each(not(eq(&trial_target))));
}
