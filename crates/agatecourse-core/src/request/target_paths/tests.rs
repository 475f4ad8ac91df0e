use super::*;
use googletest::prelude::*;

const KNOWN_TARGETS: usize = 8;

fn at(start: Instant, millis: u64) -> Instant {
    start + Duration::from_millis(millis)
}

fn id(number: usize) -> TargetId {
    format!("t-{number}")
}

/// Loses three targets in succession; returns the change that the last one brings.
fn lose_three(paths: &mut TargetPaths, now: Instant) -> Option<PathChange> {
    expect_that!(paths.record_detour(now, &id(0), KNOWN_TARGETS), none());
    expect_that!(paths.record_detour(now, &id(1), KNOWN_TARGETS), none());
    paths.record_detour(now, &id(2), KNOWN_TARGETS)
}

/// Guards against a node that keeps trying direct connections to one target after another although it has lost its own links.
#[gtest]
fn node_that_loses_several_targets_in_a_row_is_cut_off_from_all() {
    let (start, mut paths) = (Instant::now(), TargetPaths::new());
    expect_that!(lose_three(&mut paths, start), some(eq(PathChange::CutOff)));
    expect_that!(paths.path(start, &id(7)), eq(TargetPath::Detour));
}

/// Guards against a node that is taken for cut off because it can't reach some targets while it reaches others.
#[gtest]
fn lost_paths_to_some_targets_leave_the_others_direct() {
    let (start, mut paths) = (Instant::now(), TargetPaths::new());
    for number in 0..KNOWN_TARGETS - 1 {
        expect_that!(paths.record_detour(start, &id(number), KNOWN_TARGETS), none());
        expect_that!(paths.record_direct(start, &id(7)), none());
    }
    expect_that!(paths.path(start, &id(0)), eq(TargetPath::Detour));
    expect_that!(paths.path(start, &id(7)), eq(TargetPath::Direct));
}

/// Guards against a detour that stays after its cause has gone.
#[gtest]
fn direct_connection_ends_the_detours() {
    let (start, mut paths) = (Instant::now(), TargetPaths::new());
    lose_three(&mut paths, start);
    let later = at(start, 900);
    let restored = PathChange::Restored { after: Duration::from_millis(900) };
    expect_that!(paths.record_direct(later, &id(1)), some(eq(restored)));
    expect_that!(paths.path(later, &id(0)), eq(TargetPath::Direct));
    expect_that!(paths.take_due_probe(at(later, 10_000)), none());
}

/// Guards against a target that is reached through other nodes for ever after one failed connection.
#[gtest]
fn detour_to_a_single_target_expires() {
    let (start, mut paths) = (Instant::now(), TargetPaths::new());
    paths.record_detour(start, &id(0), KNOWN_TARGETS);
    expect_that!(paths.path(at(start, 100), &id(0)), eq(TargetPath::Detour));
    expect_that!(paths.path(at(start, 6_000), &id(0)), eq(TargetPath::Direct));
}

/// Guards against a crowd of probes from a node that is cut off, and against one that probes a single target, which may be down.
#[gtest]
fn one_target_at_a_time_is_probed_in_turn() {
    let (start, mut paths) = (Instant::now(), TargetPaths::new());
    lose_three(&mut paths, start);
    let mut probed = Vec::new();
    for step in 0..100 {
        probed.extend(paths.take_due_probe(at(start, step * 20)));
    }
    expect_that!(probed, elements_are![eq(&id(0)), eq(&id(1)), eq(&id(2))]);
}

/// Guards against a node that blames a target for the loss of its own links, and against one that blames none because only that target answers.
#[gtest]
fn only_other_targets_show_that_the_links_work() {
    let (start, mut paths) = (Instant::now(), TargetPaths::new());
    paths.record_heard(start, &id(0));
    paths.record_heard(at(start, 10), &id(1));
    paths.record_heard(at(start, 20), &id(1));
    expect_that!(paths.has_heard_other(start, &id(1)), eq(true));
    expect_that!(paths.has_heard_other(at(start, 5), &id(1)), eq(false));
    expect_that!(paths.has_heard_other(at(start, 5), &id(0)), eq(true));
    expect_that!(paths.has_heard_other(at(start, 21), &id(0)), eq(false));
}
