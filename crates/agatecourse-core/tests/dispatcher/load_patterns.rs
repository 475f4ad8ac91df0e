//! Tests of the dispatcher under load patterns; the bounds are the requirements of the users.

use crate::simulation::{RequestKind, Simulation, TargetBehaviour, drafting_kinds};
use googletest::prelude::*;
use std::time::Duration;

const MINUTE: Duration = Duration::from_mins(1);

fn healthy(count: usize) -> Vec<TargetBehaviour> {
    vec![TargetBehaviour::Slowness(1.0); count]
}

/// Pattern: constant load at two thirds of the capacity. Guards against refusals and waits while slots are free.
#[gtest]
fn moderate_load_is_served_in_time_without_refusals() {
    let mut simulation = Simulation::new(5, &healthy(9), &drafting_kinds());
    simulation.run_load(MINUTE, |_| 1.0);
    for counts in simulation.counts_by_rank.values() {
        expect_that!((counts.refused, counts.late), eq((0, 0)));
        expect_that!(counts.on_time, eq(counts.offered));
    }
    expect_that!(simulation.idle_while_waiting, eq(0));
}

/// Pattern: bursts of 2.2 times the usual load, five seconds in twenty. Guards against a less urgent kind that is served
/// better than a more urgent one, for which users allow a difference of at most 5 in 100.
#[gtest]
fn burst_of_twice_the_capacity_serves_urgent_kinds_first() {
    let mut simulation = Simulation::new(5, &healthy(9), &drafting_kinds());
    simulation.run_load(MINUTE, |at| if at.as_secs() % 20 < 5 { 2.2 } else { 1.0 });
    let served = |rank: u32| simulation.counts_by_rank[&rank].served_share();
    expect_that!(served(0), ge(served(1) - 0.05));
    expect_that!(served(1), ge(served(2) - 0.05));
    expect_that!(
        simulation.counts_by_rank[&0].on_time,
        ge(simulation.counts_by_rank[&0].offered * 99 / 100)
    );
    expect_that!(simulation.idle_while_waiting, eq(0));
}

/// Pattern: sustained overload in which the two urgent kinds alone fill all slots. Guards against a kind that is served
/// less than a quarter as often as all requests, which violates a requirement of the users.
#[gtest]
fn sustained_overload_still_serves_the_least_urgent_kind() {
    let mut simulation = Simulation::new(5, &healthy(9), &drafting_kinds());
    simulation.run_load(MINUTE, |_| 4.0);
    let (offered, served) = simulation
        .counts_by_rank
        .values()
        .fold((0, 0), |sum, counts| (sum.0 + counts.offered, sum.1 + counts.on_time + counts.late));
    let overall = f64::from(served) / f64::from(offered);
    expect_that!(simulation.counts_by_rank[&2].served_share(), ge(overall / 4.0));
    expect_that!(
        simulation.counts_by_rank[&0].served_share(),
        ge(simulation.counts_by_rank[&2].served_share())
    );
}

/// Pattern: a quarter of the targets is unreachable. Guards against repeated attempts at these: each may get one attempt
/// for each of its slots and then one after each pause.
#[gtest]
fn unreachable_quarter_of_the_targets_gets_few_attempts() {
    let mut targets = healthy(9);
    targets.extend([TargetBehaviour::Unreachable; 3]);
    let mut simulation = Simulation::new(5, &targets, &drafting_kinds());
    simulation.run_load(Duration::from_secs(20), |_| 1.0);
    for index in 9..12 {
        let attempts = simulation.runs.get(&format!("target-{index}")).copied().unwrap_or(0);
        expect_that!(attempts, le(5 + 15), "target-{} got {} attempts", index, attempts);
    }
}

/// Pattern: one target fails each request at once. Guards against a failing target that looks fast and idle and attracts
/// the traffic; it may get no more than the mean of the others.
#[gtest]
fn fast_failing_target_does_not_attract_traffic() {
    let mut targets = healthy(8);
    targets.push(TargetBehaviour::FailsFast);
    let mut simulation = Simulation::new(5, &targets, &drafting_kinds());
    simulation.run_load(MINUTE, |_| 1.0);
    let total: u32 = simulation.runs.values().sum();
    let failing = simulation.runs.get("target-8").copied().unwrap_or(0);
    expect_that!(failing, le(total / 9));
}

/// Pattern: twice the capacity of nine targets, of which one fails or resets each request at once. Guards against a target that is the only
/// one with free slots because it serves nothing, and therefore gets the requests that wait for the others: each may cost it some failures
/// and then one request after each pause.
#[gtest]
fn fast_failing_target_gets_few_requests_in_an_overload() {
    let length = Duration::from_secs(20);
    for behaviour in [TargetBehaviour::FailsFast, TargetBehaviour::ResetsFast] {
        let mut targets = healthy(8);
        targets.push(behaviour);
        let mut simulation = Simulation::new(5, &targets, &drafting_kinds());
        simulation.run_load(length, |_| 2.2);
        let failing = simulation.runs.get("target-8").copied().unwrap_or(0);
        expect_that!(failing, le(20 + 15), "{behaviour:?}");
    }
}

/// Pattern: a third of the targets is four times as slow. Guards against a placement that ignores speed: at half load the
/// fast targets get more than two thirds of the runs.
#[gtest]
fn slow_third_of_the_targets_gets_less_work() {
    let targets: Vec<TargetBehaviour> = (0..9)
        .map(|index| TargetBehaviour::Slowness(if index % 3 == 2 { 2.7 } else { 0.68 }))
        .collect();
    let mut simulation = Simulation::new(5, &targets, &drafting_kinds());
    simulation.run_load(MINUTE, |_| 0.7);
    let total: u32 = simulation.runs.values().sum();
    let slow: u32 =
        [2, 5, 8].iter().filter_map(|index| simulation.runs.get(&format!("target-{index}"))).sum();
    expect_that!(slow, lt(total / 3));
    expect_that!(simulation.counts_by_rank[&0].on_time, eq(simulation.counts_by_rank[&0].offered));
}

/// Pattern: a plain service at three times its capacity with short deadlines. Guards against late refusals: once the run
/// times are learned, a request that can't be served is refused within an eighth of its objective.
#[gtest]
fn overloaded_plain_service_refuses_at_once() {
    let millis = Duration::from_millis;
    let kinds = [RequestKind {
        rank: 0,
        arrivals_per_s: 1_800.0,
        run: millis(30),
        objective: millis(150),
        deadline: millis(1_000),
        ..RequestKind::default()
    }];
    let mut simulation = Simulation::new(6, &healthy(3), &kinds);
    simulation.run_load(Duration::from_secs(10), |_| 1.0);
    let counts = simulation.counts_by_rank[&0];
    expect_that!(counts.refused, gt(0));
    expect_that!(counts.refused_late, le(counts.refused / 10), "{:?}", counts);
}
