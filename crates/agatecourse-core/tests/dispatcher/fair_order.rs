//! Tests of the order between organisations of a rank, and of the places of refused callers.

use crate::simulation::{RankCounts, RequestKind, Simulation, TargetBehaviour, job};
use agatecourse_core::request::dispatch::{
    Decision, DispatchTarget, Dispatcher, Job, JobKey, RunEnd, RunReport,
};
use googletest::prelude::*;
use std::time::{Duration, Instant};

const HALF_MINUTE: Duration = Duration::from_secs(30);
/// Time in which one organisation sends five times its usual.
const FLOOD: std::ops::Range<u64> = 5..20;

fn targets(count: usize) -> Vec<TargetBehaviour> {
    vec![TargetBehaviour::Slowness(1.0); count]
}

/// Returns the short answers of one of four organisations, which together use 0.7 of 60 slots.
fn organisation(organisation: u64, share: f64) -> RequestKind {
    let millis = Duration::from_millis;
    RequestKind {
        rank: 18,
        arrivals_per_s: 42.0 * share,
        run: millis(1_000),
        objective: millis(1_200),
        deadline: millis(10_000),
        organisation,
        // The quota of each is six times its usual.
        weight: (42.0 * share * 6.0 * 1_400.0) as u32,
        prompt_tokens: 1_170,
        returns: true,
        recognised: true,
    }
}

fn organisations() -> Vec<RequestKind> {
    vec![organisation(1, 0.4), organisation(2, 0.3), organisation(3, 0.2), organisation(4, 0.1)]
}

fn play(flooding: Option<usize>, kinds: &[RequestKind]) -> Simulation {
    let mut simulation = Simulation::new(5, &targets(12), kinds);
    simulation.run_kinds(HALF_MINUTE, |kind, at| {
        if Some(kind) == flooding && FLOOD.contains(&at.as_secs()) { 5.0 } else { 1.0 }
    });
    simulation
}

/// Pattern: one organisation of a rank sends five times its usual for 15 s, inside its quota. Guards against others of the rank that
/// are pushed aside: their served share and their waits stay within 5% of the same day without the flood, waits also within a
/// twentieth of the objective, because they are near zero on a calm day.
#[gtest]
fn flood_of_one_organisation_leaves_others_of_its_rank_alone() {
    let kinds = organisations();
    let calm = play(None, &kinds);
    for flooding in [0, 3] {
        let day = play(Some(flooding), &kinds);
        for other in (0..kinds.len()).filter(|index| *index != flooding) {
            let (counts, usual) = (&day.counts_by_kind[&other], &calm.counts_by_kind[&other]);
            let share = counts.served_share() / usual.served_share();
            expect_that!(share, ge(0.95), "{other} beside {flooding}: {counts:?}");
            let allowed_s =
                (usual.mean_wait_s() * 1.05).max(kinds[other].objective.as_secs_f64() / 20.0);
            expect_that!(counts.mean_wait_s(), le(allowed_s), "{other} beside {flooding}");
        }
        expect_that!(day.idle_while_waiting, eq(0));
    }
}

/// Pattern: the same flood while the others send nothing. Guards against an organisation that is held to its share of a rank that
/// nobody else uses, and against a claim that the others bring from their idle time.
#[gtest]
fn organisation_alone_uses_everything_and_idle_ones_have_no_claim() {
    let kinds = organisations();
    let mut simulation = Simulation::new(5, &targets(12), &kinds[..2]);
    // The second organisation begins at 10 s, both then ask for more than there is.
    simulation.run_kinds(HALF_MINUTE, |kind, at| match (kind, at.as_secs()) {
        (1, 0..10) => 0.02,
        _ => 6.0,
    });
    expect_that!(simulation.idle_while_waiting, eq(0));
    let [first, second] = [0, 1].map(|kind| simulation.counts_by_kind[&kind]);
    let served = |counts: RankCounts| f64::from(counts.on_time + counts.late);
    // 20 s at 4 to 3 and the backlog after it for the second, 10 s more for the first.
    expect_that!(served(second) / served(first), all![ge(0.35), le(0.55)], "{first:?} {second:?}");
}

/// Returns the day of one organisation of which the load is `flood` times the usual from the fifth second on for `flood_s` seconds.
fn flooded_day(flood: f64, flood_s: u64, recognised: bool) -> RankCounts {
    let kinds = [RequestKind { recognised, ..organisation(0, 1.0) }];
    let mut simulation = Simulation::new(5, &targets(12), &kinds);
    simulation.run_load(HALF_MINUTE, |at| {
        if (4..4 + flood_s).contains(&at.as_secs()) { flood } else { 1.0 }
    });
    simulation.counts_by_kind[&0]
}

/// Pattern: short answers at one and a half times the capacity for ten seconds, and callers that come back once when they are told. Guards
/// against callers that are refused twice although their turn would come before their deadline, and against places that cost
/// newcomers their answers: no fewer callers are served than without places, and nearly as many within the objective.
#[gtest]
fn promised_places_serve_more_callers() {
    let [without, with] = [false, true].map(|recognised| flooded_day(2.2, 10, recognised));
    expect_that!(without.refused_twice, gt(0));
    expect_that!(with.refused_twice, lt(without.refused_twice), "{with:?} {without:?}");
    expect_that!(with.on_time + with.late, gt(without.on_time + without.late));
    expect_that!(with.on_time, ge(without.on_time * 9 / 10), "{with:?} {without:?}");
}

/// Pattern: the same at five times the usual for 15 s, far more than can be served. Guards against places that are promised beyond the
/// capacity of the targets, of which none would be kept.
#[gtest]
fn promises_in_a_hopeless_flood_take_nothing_from_others() {
    let [without, with] = [false, true].map(|recognised| flooded_day(5.0, 15, recognised));
    expect_that!(with.on_time + with.late, ge(without.on_time + without.late));
    expect_that!(with.on_time, ge(without.on_time * 9 / 10), "{with:?} {without:?}");
}

fn decide(act: impl FnOnce(&mut Vec<Decision>)) -> Vec<Decision> {
    let mut decisions = Vec::new();
    act(&mut decisions);
    decisions
}

/// Guards against a promise that doesn't hold, and against one that an early return takes: of two callers that are refused, the one that
/// returns in time goes before a newcomer, the one that returns early waits like a newcomer.
#[gtest]
fn caller_that_returns_in_time_goes_before_newcomers() {
    let now = Instant::now();
    let kind = RequestKind { deadline: Duration::from_secs(3), ..organisation(0, 1.0) };
    let mut dispatcher = Dispatcher::new();
    let target = DispatchTarget {
        id: "only".to_string(),
        slots: 2,
        zone: "a".to_string(),
        version: "v1".to_string(),
        started_unix_ms: 1,
    };
    dispatcher.set_targets(now, vec![target], &mut Vec::new());
    let attempt = |number: u64, caller: u64, at: Instant| {
        let key = JobKey { node: "n".to_string(), number };
        Job { caller, deadline: now + kind.deadline * 4, ..job(key, 0, &kind, at) }
    };
    let short = |number: u64, caller: u64| Job {
        deadline: now + kind.deadline,
        ..attempt(number, caller, now)
    };
    // Runs of an unknown kind count as half a second; fourteen fill the two slots until the deadline of the refused ones.
    for number in 1..=14 {
        decide(|decisions| dispatcher.submit(now, attempt(number, 0, now), decisions));
    }
    let refusal = |decisions: Vec<Decision>| match &decisions[..] {
        [Decision::Refuse { retry_after, refusal, .. }] => (*retry_after, refusal.has_place),
        other => panic!("expected a refusal, got {other:?}"),
    };
    let (first_delay, has_place) =
        refusal(decide(|decisions| dispatcher.submit(now, short(21, 77), decisions)));
    expect_that!(has_place, eq(true));
    expect_that!(first_delay, le(kind.deadline / 3));
    // A caller that comes back at once is told the same time again.
    let early = now + first_delay / 4;
    let again = decide(|decisions| {
        dispatcher.submit(early, Job { arrived: early, ..short(22, 77) }, decisions);
    });
    expect_that!(refusal(again).0, eq(first_delay.saturating_sub(first_delay / 4)));
    let due = now + first_delay;
    let returned = Job { arrived: due, objective: due + kind.objective, ..short(23, 77) };
    expect_that!(decide(|decisions| dispatcher.submit(due, returned, decisions)), is_empty());
    let report = RunReport { end: RunEnd::Answered, elapsed: first_delay };
    let ended = JobKey { node: "n".to_string(), number: 1 };
    let granted = decide(|decisions| dispatcher.finish(due, &ended, report, decisions));
    let numbers: Vec<u64> = granted
        .iter()
        .filter_map(|decision| match decision {
            Decision::Grant { key, .. } => Some(key.number),
            Decision::Refuse { .. } => None,
        })
        .collect();
    expect_that!(numbers, elements_are![eq(&23)]);
}
