//! Runs journal owners and entry nodes with generated schedules of faults and checks the invariants of the histories.
//!
//! `AGATECOURSE_SCHEDULES` sets the number of schedules and `PROPTEST_RNG_SEED` the seed; the default seed is fixed.

mod support;

use agatecourse_history::{CheckLimits, HistoryEvent, Record, check_all};
use proptest::prelude::*;
use proptest::strategy::ValueTree;
use proptest::test_runner::{RngSeed, TestRunner};
use support::InjectedBug;
use support::journal_simulation::JournalSimulation;
use support::schedule::{Schedule, schedule};

const SCHEDULES: u32 = 256;
const SEED: u64 = 20_261_204;

fn config() -> ProptestConfig {
    let number = |name: &str| std::env::var(name).ok().and_then(|text| text.parse().ok());
    let cases = number("AGATECOURSE_SCHEDULES").map_or(SCHEDULES, |count| count as u32);
    let rng_seed = RngSeed::Fixed(number("PROPTEST_RNG_SEED").unwrap_or(SEED));
    ProptestConfig { cases, rng_seed, failure_persistence: None, ..ProptestConfig::default() }
}

fn run(schedule: &Schedule, bug: InjectedBug) -> JournalSimulation {
    let mut simulation = JournalSimulation::new(schedule, bug);
    simulation.run();
    simulation
}

fn violations(history: &[Record]) -> Vec<String> {
    let violations = check_all(history, &CheckLimits::default());
    violations.iter().map(ToString::to_string).collect()
}

fn is_delivered(history: &[Record], wanted: u128) -> bool {
    history.iter().any(|record| {
        matches!(record.event, HistoryEvent::Delivered { request_id, whole: true, .. } if request_id == wanted)
    })
}

proptest! {
    #![proptest_config(config())]

    /// Guards against a second run of a request, a wrong `run: no` and an answer delivered to the wrong request under two
    /// or more faults, and against a journal that stays unavailable after the faults end.
    #[test]
    fn faults_break_no_invariant_and_the_journal_recovers(schedule in schedule()) {
        let simulation = run(&schedule, InjectedBug::None);
        let found = violations(&simulation.history);
        prop_assert!(found.is_empty(), "{}", found.join("\n"));
        prop_assert!(!simulation.recovery_requests.is_empty());
        for request_id in &simulation.recovery_requests {
            prop_assert!(
                is_delivered(&simulation.history, *request_id),
                "request {request_id}, sent after the last fault, got no complete answer"
            );
        }
    }
}

/// Guards against a checker or schedules that do not detect an owner that replies before its commit, a table that
/// accepts commits of former owners, or a successor that does not read the batches.
#[test]
fn planted_faults_are_found() {
    for bug in
        [InjectedBug::AnswerBeforeCommit, InjectedBug::IgnoreConditions, InjectedBug::HideBatches]
    {
        let mut runner = TestRunner::new(config());
        let mut found = 0;
        for _ in 0..SCHEDULES {
            let drawn = schedule()
                .new_tree(&mut runner)
                .expect("the strategy must generate a schedule without rejections");
            let simulation = run(&drawn.current(), bug);
            let broken = violations(&simulation.history);
            found += u32::from(broken.iter().any(|text| text.starts_with("run_at_most_once")));
        }
        println!("{bug:?}: {found} of {SCHEDULES} schedules break run_at_most_once");
        assert!(found > 0, "no schedule breaks run_at_most_once with {bug:?}");
    }
}

/// Guards against schedules that pass only because few requests run or are affected by a fault.
#[test]
fn schedules_exercise_the_journal() {
    let mut runner = TestRunner::new(config());
    let (mut sent, mut ran, mut joined, mut unknown) = (0, 0, 0, 0);
    for _ in 0..64 {
        let drawn = schedule()
            .new_tree(&mut runner)
            .expect("the strategy must generate a schedule without rejections");
        for record in run(&drawn.current(), InjectedBug::None).history {
            match record.event {
                HistoryEvent::Accepted { .. } => sent += 1,
                HistoryEvent::Ran { .. } => ran += 1,
                HistoryEvent::Delivered { request_id, produced_by, .. } => {
                    joined += u32::from(request_id != produced_by);
                }
                HistoryEvent::Refused { run: agatecourse_types::RunState::Unknown, .. } => {
                    unknown += 1;
                }
                _ => {}
            }
        }
    }
    println!(
        "{sent} requests, {ran} runs, {joined} answers of earlier requests, {unknown} unknown"
    );
    assert!(ran >= 256 && joined >= 256 && unknown >= 64);
}
