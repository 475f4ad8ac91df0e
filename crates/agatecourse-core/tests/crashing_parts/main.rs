//! Simulation of requests with a prompt part that crashes targets, on several nodes in virtual time.
//!
//! Each node has a `CrashLedger`; crashes and cleared keys reach the others after a delay and may be lost. One `Dispatcher` owns
//! the queue. The bounds are the users': from `STABLE_WINDOW` after the fifth crash, at most three more requests with the part
//! may reach targets, and sound requests that share its first part are served at least half as often as others.

mod simulation;

use googletest::prelude::*;
use simulation::{ANSWER_TIME, Counts, Day, Simulation};
use std::time::Duration;

/// Requests with the part that the users tolerate later than a stable window after the fifth crash.
const MAX_LATE_REQUESTS: u32 = 3;

fn day() -> Day {
    Day {
        nodes: 9,
        targets: 9,
        requests_per_s: 30.0,
        deadly_share: 0.05,
        crash_delay: None,
        repeats: false,
        loss: 0.0,
        has_restarts: false,
        own_crashes_per_s: 0.0,
    }
}

/// Checks the users' bounds on a day with the deadly part.
fn expect_contained(day: Day, seed: u64) {
    let end = Simulation::new(day, seed).run();
    let share = |counts: Counts| f64::from(counts.begun) / f64::from(counts.offered.max(1));
    expect_that!(end.late_requests, le(MAX_LATE_REQUESTS), "seed {seed}, {day:?}");
    if end.sharing.offered >= 20 {
        expect_that!(
            share(end.sharing),
            ge(share(end.others) / 2.0),
            "seed {seed}, {day:?}: {:?}",
            end.sharing
        );
    }
    expect_that!(share(end.others), ge(0.9), "seed {seed}, {day:?}: {:?}", end.others);
}

/// Pattern: one in twenty requests has the deadly part, on few nodes and targets. Guards against targets that crash until the end of
/// the fault (rule BUDGET), and against sound requests that are refused with the deadly ones (rule LOST).
#[gtest]
fn deadly_part_is_contained_on_a_small_deployment() {
    for seed in 0..40 {
        expect_contained(day(), seed);
    }
}

/// Pattern: a request that comes again crashes targets after its answer has gone on for a while, among streams that run longer. Guards
/// against an answer that is taken for sound before its end, so that the request is never found.
#[gtest]
fn request_that_crashes_targets_in_mid_stream_is_contained() {
    for seed in 0..20 {
        let crash_delay = Some(Duration::from_millis(100));
        expect_contained(Day { crash_delay, repeats: true, ..day() }, seed);
    }
}

/// Pattern: a fifth of the requests has the deadly part. Guards against many crashes while nodes learn of the part.
#[gtest]
fn deadly_part_in_many_requests_is_contained() {
    for seed in 0..20 {
        expect_contained(Day { deadly_share: 0.2, ..day() }, seed);
    }
}

/// Pattern: as many nodes, targets and requests as on the grown deployments. Guards against nodes that learn of the part each on
/// its own.
#[gtest]
fn deadly_part_is_contained_on_a_large_deployment() {
    for seed in 0..4 {
        let large = Day { nodes: 80, targets: 90, requests_per_s: 250.0, ..day() };
        expect_contained(large, seed);
    }
}

/// Pattern: all nodes are replaced in turn, and a tenth of the messages between them is lost. Guards against knowledge of the part
/// that goes with the nodes that have it.
#[gtest]
fn deadly_part_is_contained_while_nodes_are_replaced() {
    for seed in 0..20 {
        expect_contained(Day { has_restarts: true, loss: 0.1, deadly_share: 0.1, ..day() }, seed);
    }
}

/// Pattern: targets end by themselves beside those that the part crashes. Guards against sound requests that are blamed for these.
#[gtest]
fn deadly_part_is_found_among_targets_that_end_by_themselves() {
    for seed in 0..20 {
        let end = Simulation::new(Day { own_crashes_per_s: 0.5, ..day() }, seed).run();
        let refused = f64::from(end.sharing.quarantined) / f64::from(end.sharing.offered.max(1));
        expect_that!(refused, le(0.5), "seed {seed}: {:?}", end.sharing);
        expect_that!(
            end.others.quarantined,
            le(end.others.offered / 50),
            "seed {seed}: {:?}",
            end.others
        );
    }
}

/// Pattern: a target a second ends by itself and no request is deadly. Guards against requests that are refused because targets
/// end.
#[gtest]
fn crashes_of_targets_alone_refuse_nobody() {
    for seed in 0..20 {
        let day = Day { own_crashes_per_s: 1.0, deadly_share: 0.0, targets: 20, ..day() };
        let end = Simulation::new(day, seed).run();
        expect_that!((end.sharing.quarantined, end.others.quarantined), eq((0, 0)), "seed {seed}");
        expect_that!(
            end.ledgers.iter().map(|ledger| ledger.sizes().1).max(),
            some(eq(0)),
            "seed {seed}"
        );
    }
}

/// Pattern: a part crashes targets in the middle of answers, early or late in them, in one request a second and in ten, no two of them alike. Guards
/// against a part that is never refused (rule BUDGET), and against sound parts that are refused because their answers were cut.
#[gtest]
fn part_that_crashes_targets_in_mid_answer_is_contained() {
    for crash_delay in [Duration::from_millis(25), ANSWER_TIME / 2] {
        for deadly_per_s in [1.0, 10.0] {
            let mut sums = [0_u32; 6];
            for seed in 0..20 {
                let deadly_share = deadly_per_s / 30.0;
                let day = Day { crash_delay: Some(crash_delay), deadly_share, ..day() };
                let end = Simulation::new(day, seed).run();
                expect_that!(end.late_requests, le(MAX_LATE_REQUESTS), "seed {seed}, {day:?}");
                let sound = [end.sharing, end.others];
                let sum = |value: fn(&Counts) -> u32| sound.iter().map(value).sum::<u32>();
                let quarantined = sum(|counts| counts.quarantined);
                expect_that!(quarantined, eq(0), "seed {seed}, {day:?}");
                let figures = [
                    sum(|counts| counts.offered),
                    quarantined,
                    sum(|counts| counts.refused),
                    sum(|counts| counts.cut),
                    end.crashes.len() as u32,
                    end.late_requests,
                ];
                sums.iter_mut().zip(figures).for_each(|(sum, figure)| *sum += figure);
            }
            let [offered, quarantined, refused, cut, crashes, late] = sums;
            println!(
                "{deadly_per_s} a second, {} ms into the answer: {crashes} crashes, {late} late requests; of {offered} sound requests \
                 {cut} cut, {refused} refused by the queue, {quarantined} quarantined",
                crash_delay.as_millis()
            );
        }
    }
}

/// Pattern: targets end by themselves beside those that a part crashes in the middle of answers. Guards against sound requests that are
/// blamed for these.
#[gtest]
fn part_in_mid_answer_is_found_among_targets_that_end_by_themselves() {
    let crash_delay = Some(ANSWER_TIME / 2);
    for seed in 0..20 {
        let day = Day { crash_delay, own_crashes_per_s: 0.5, ..day() };
        let end = Simulation::new(day, seed).run();
        let refused = end.sharing.quarantined + end.others.quarantined;
        let offered = end.sharing.offered + end.others.offered;
        expect_that!(refused, le(offered / 50), "seed {seed}: {:?} {:?}", end.sharing, end.others);
    }
}
