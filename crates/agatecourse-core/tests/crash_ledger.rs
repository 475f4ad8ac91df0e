//! Tests of the refusal of requests that crash their targets.

use agatecourse_core::request::{
    CrashLedger, CrashReport, CrashVerdict, QuarantinedKey, SuspectKey, SuspectKeys, TargetHash,
};
use googletest::prelude::*;
use std::time::{Duration, Instant};

/// Time from the start of a run to the crash of its target.
const RUN_TIME: Duration = Duration::from_millis(100);
/// Prompt part that sound requests share with the deadly ones.
const SHARED: SuspectKey = 1;
/// Prompt part on which targets crash.
const DEADLY: SuspectKey = 2;

fn report(ended: Instant, target: TargetHash, keys: &[SuspectKey]) -> CrashReport {
    let keys = SuspectKeys::from_slice(keys);
    let started = ended.checked_sub(RUN_TIME).unwrap_or(ended);
    CrashReport { target, started, ended, keys, is_late: false }
}

/// Records a crash of target `number` in the second `number`.
fn crash(ledger: &mut CrashLedger, start: Instant, number: u32, keys: &[SuspectKey]) {
    let ended = start + Duration::from_secs(u64::from(number));
    ledger.record(ended, report(ended, number, keys));
}

fn is_quarantined(ledger: &CrashLedger, now: Instant, keys: &[SuspectKey]) -> bool {
    matches!(ledger.verdict(now, keys), CrashVerdict::Quarantined { .. })
}

/// Guards against a request that keeps crashing targets because different nodes see the crashes.
#[gtest]
fn request_is_refused_after_it_crashed_three_targets() {
    let now = Instant::now() + Duration::from_secs(5);
    let (mut own, mut peer) = (CrashLedger::new(), CrashLedger::new());
    crash(&mut own, now, 1, &[7]);
    crash(&mut peer, now, 2, &[7]);
    crash(&mut peer, now, 3, &[7]);
    let now = now + Duration::from_secs(3);
    expect_that!(is_quarantined(&own, now, &[7]), eq(false));
    for report in peer.reports(false, 10, 0) {
        own.record(now, report);
    }
    expect_that!(is_quarantined(&own, now, &[7]), eq(true));
    expect_that!(is_quarantined(&own, now, &[8]), eq(false));
    expect_that!(is_quarantined(&own, now + Duration::from_secs(601), &[7]), eq(false));
}

/// Guards against a request that crashes one target after the other in mid-stream, and is never refused because each of its answers
/// went on before. Requests with its keys wait for each other only until then.
#[gtest]
fn answer_that_goes_on_ends_the_trial_and_keeps_the_crashes() {
    let start = Instant::now();
    let mut ledger = CrashLedger::new();
    for number in 1..=3 {
        let now = start + Duration::from_secs(u64::from(number));
        expect_that!(is_quarantined(&ledger, now, &[7]), eq(false));
        crash(&mut ledger, start, number, &[7, 100 + u64::from(number)]);
        if number < 3 {
            expect_that!(
                ledger.verdict(now, &[7]),
                matches_pattern!(CrashVerdict::Suspect(len(eq(1))))
            );
            expect_that!(ledger.record_progress(&[7]).to_vec(), elements_are![eq(&7)]);
            expect_that!(ledger.verdict(now, &[7]), eq(&CrashVerdict::Clear));
            expect_that!(ledger.record_progress(&[7]).to_vec(), is_empty());
        }
    }
    expect_that!(is_quarantined(&ledger, start + Duration::from_secs(4), &[7]), eq(true));
}

/// Records a crash of target `number` in the second `number`, in the middle of answers to requests with these parts.
fn late_crash(ledger: &mut CrashLedger, start: Instant, number: u32, parts: &[&[SuspectKey]]) {
    let ended = start + Duration::from_secs(u64::from(number));
    for keys in parts {
        ledger.record(ended, CrashReport { is_late: true, ..report(ended, number, keys) });
    }
}

/// Guards against a part that crashes targets in the middle of answers and is never refused, because no two requests with it are alike.
#[gtest]
fn part_that_crashes_targets_in_mid_answer_is_refused() {
    let start = Instant::now();
    let mut ledger = CrashLedger::new();
    for number in 1..=4 {
        let now = start + Duration::from_secs(u64::from(number));
        expect_that!(is_quarantined(&ledger, now, &[200, DEADLY]), eq(false));
        let beside = 300 + u64::from(number);
        late_crash(&mut ledger, start, number, &[&[SHARED, DEADLY], &[SHARED, beside]]);
        // Sound requests with the shared part are complete all the time.
        ledger.clear(now + Duration::from_millis(200), &[500, SHARED]);
    }
    let now = start + Duration::from_secs(5);
    expect_that!(is_quarantined(&ledger, now, &[200, SHARED, DEADLY]), eq(true));
    for sound in [SHARED, 301, 304] {
        expect_that!(ledger.verdict(now, &[201, sound]), eq(&CrashVerdict::Clear), "{sound}");
    }
}

/// Guards against the refusal of a sound part that was beside a deadly one on three targets, and against sound requests that wait for
/// each other because one target crashed while their answers were on their way. After two crashes they are tried one by one, until
/// an answer is complete; that it goes on proves nothing.
#[gtest]
fn parts_of_answers_that_were_cut_are_tried_and_not_refused() {
    let start = Instant::now();
    let mut ledger = CrashLedger::new();
    let verdict =
        |ledger: &CrashLedger| ledger.verdict(start + Duration::from_secs(4), &[200, SHARED]);
    late_crash(&mut ledger, start, 1, &[&[SHARED]]);
    expect_that!(verdict(&ledger), eq(&CrashVerdict::Clear));
    for number in 2..=3 {
        late_crash(&mut ledger, start, number, &[&[SHARED]]);
        expect_that!(ledger.record_progress(&[SHARED]).to_vec(), is_empty());
        expect_that!(verdict(&ledger), matches_pattern!(CrashVerdict::Suspect(len(eq(1)))));
    }
    expect_that!(ledger.clear(start + Duration::from_secs(4), &[SHARED]).len(), eq(1));
    expect_that!(verdict(&ledger), eq(&CrashVerdict::Clear));
}

/// Guards against evidence that is split: a part that crashes targets before an answer begins and in the middle of answers.
#[gtest]
fn early_and_late_crashes_of_a_part_add_up() {
    let start = Instant::now();
    let mut ledger = CrashLedger::new();
    crash(&mut ledger, start, 1, &[101, DEADLY]);
    late_crash(&mut ledger, start, 2, &[&[DEADLY]]);
    crash(&mut ledger, start, 3, &[103, DEADLY]);
    let now = start + Duration::from_secs(4);
    expect_that!(is_quarantined(&ledger, now, &[200, DEADLY]), eq(false));
    late_crash(&mut ledger, start, 4, &[&[DEADLY]]);
    expect_that!(is_quarantined(&ledger, now, &[200, DEADLY]), eq(true));
}

/// Guards against evidence of the middle of answers that other nodes take for that of their begin, or do not get at all.
#[gtest]
fn late_crashes_are_reported_as_such() {
    let start = Instant::now();
    let (mut own, mut peer) = (CrashLedger::new(), CrashLedger::new());
    for number in 1..=4 {
        late_crash(&mut own, start, number, &[&[DEADLY, 300 + u64::from(number)]]);
        if number < 4 {
            crash(&mut peer, start, number, &[100 + u64::from(number)]);
        }
    }
    let now = start + Duration::from_secs(5);
    expect_that!(own.reports(true, 10, 0), is_empty());
    expect_that!(own.quarantined(10, 0), elements_are![field!(QuarantinedKey.key, eq(&DEADLY))]);
    for number in 1..=3 {
        late_crash(&mut own, start, 10 + number, &[&[7]]);
    }
    for report in own.reports(true, 10, 0) {
        expect_that!(report.is_late, eq(true));
        peer.record(now, report);
    }
    expect_that!(is_quarantined(&peer, now, &[7]), eq(false));
    late_crash(&mut peer, start, 20, &[&[7]]);
    expect_that!(is_quarantined(&peer, start + Duration::from_secs(21), &[7]), eq(true));
}

/// Guards against the refusal of identical requests because one target crashed while running all of them.
#[gtest]
fn one_crashed_target_counts_once() {
    let now = Instant::now();
    let mut ledger = CrashLedger::new();
    for _ in 0..10 {
        ledger.record(now, report(now, 1, &[7]));
    }
    expect_that!(ledger.sizes(), eq((1, 0)));
    expect_that!(is_quarantined(&ledger, now, &[7]), eq(false));
}

/// Guards against a ledger that grows without bound when callers send ever new parts.
#[gtest]
fn oldest_crashes_and_keys_are_dropped() {
    let start = Instant::now();
    let mut ledger = CrashLedger::new();
    for number in 0..1_500_u64 {
        let ended = start + Duration::from_millis(number);
        ledger.record(ended, report(ended, number as u32, &[number]));
    }
    let now = start + Duration::from_millis(1_500);
    expect_that!(ledger.sizes(), eq((128, 0)));
    expect_that!(ledger.verdict(now, &[0]), eq(&CrashVerdict::Clear));
    expect_that!(
        ledger.verdict(now, &[1_499]),
        matches_pattern!(CrashVerdict::Suspect(len(eq(1))))
    );
    for key in 0..1_500 {
        let last_crash = start + Duration::from_millis(key);
        ledger.adopt(now, QuarantinedKey { key, crashes: 3, last_crash });
    }
    expect_that!(ledger.sizes().1, eq(1_000));
    expect_that!(is_quarantined(&ledger, now, &[499]), eq(false));
    expect_that!(is_quarantined(&ledger, now, &[500]), eq(true));
}

/// Guards against requests that crash one target after the other because they share a part and nothing else.
#[gtest]
fn requests_that_share_a_part_add_up() {
    let start = Instant::now();
    let mut ledger = CrashLedger::new();
    for number in 1..=3 {
        crash(&mut ledger, start, number, &[100 + u64::from(number), DEADLY]);
    }
    let now = start + Duration::from_secs(4);
    expect_that!(is_quarantined(&ledger, now, &[200, DEADLY]), eq(true));
    expect_that!(is_quarantined(&ledger, now, &[101, 102, 103]), eq(false));
    let quarantined = ledger.take_newly_quarantined();
    expect_that!(
        quarantined,
        elements_are![matches_pattern!(QuarantinedKey { key: eq(&DEADLY), crashes: eq(&3), .. })]
    );
}

/// Guards against the refusal of sound requests that share a part or the caller with deadly ones, while crashes alone do not
/// tell which of the parts is deadly.
#[gtest]
fn part_that_is_always_beside_the_deadly_one_is_tried_and_cleared() {
    let start = Instant::now();
    let mut ledger = CrashLedger::new();
    for number in 1..=3 {
        crash(&mut ledger, start, number, &[100 + u64::from(number), SHARED, DEADLY]);
    }
    let now = start + Duration::from_secs(4);
    expect_that!(is_quarantined(&ledger, now, &[200, SHARED, DEADLY]), eq(true));
    expect_that!(
        ledger.verdict(now, &[201, SHARED]),
        matches_pattern!(CrashVerdict::Suspect(elements_are![eq(&SHARED)]))
    );
    expect_that!(ledger.clear(now, &[201, SHARED]).to_vec(), elements_are![eq(&SHARED)]);
    expect_that!(ledger.verdict(now, &[202, SHARED]), eq(&CrashVerdict::Clear));
    expect_that!(is_quarantined(&ledger, now, &[203, SHARED, DEADLY]), eq(true));
    expect_that!(is_quarantined(&ledger, now, &[203, DEADLY]), eq(true));
    expect_that!(ledger.sizes(), eq((0, 1)));
}

/// Guards against the refusal of a sound part because a target ended by itself while it ran a request with the part.
#[gtest]
fn target_that_ends_by_itself_does_not_convict_a_sound_part() {
    let start = Instant::now();
    let mut ledger = CrashLedger::new();
    for number in 1..=3 {
        crash(&mut ledger, start, number, &[100 + u64::from(number), SHARED, DEADLY]);
    }
    crash(&mut ledger, start, 4, &[300, SHARED]);
    let now = start + Duration::from_secs(5);
    expect_that!(is_quarantined(&ledger, now, &[301, SHARED]), eq(false));
    expect_that!(is_quarantined(&ledger, now, &[302, SHARED, DEADLY]), eq(true));
}

/// Guards against requests that are blamed because the targets of a failure domain ended together, or because one target ended
/// again and again.
#[gtest]
fn targets_that_end_by_themselves_blame_nobody() {
    let start = Instant::now() + RUN_TIME;
    let mut domain = CrashLedger::new();
    for target in 0..20 {
        let ended = start + Duration::from_millis(u64::from(target));
        domain.record(ended, report(ended, target, &[u64::from(target) + 100, SHARED]));
    }
    expect_that!(is_quarantined(&domain, start, &[200, SHARED]), eq(false));
    let mut flapping = CrashLedger::new();
    for number in 0..20 {
        let ended = start + Duration::from_secs(number * 5);
        flapping.record(ended, report(ended, 9, &[number + 100, SHARED]));
    }
    let now = start + Duration::from_secs(96);
    expect_that!(is_quarantined(&flapping, now, &[200, SHARED]), eq(false));
}

/// Guards against a caller that gets the part of others refused: a part whose answers begin elsewhere is cleared each time.
#[gtest]
fn part_on_which_answers_begin_is_not_refused() {
    let start = Instant::now();
    let mut ledger = CrashLedger::new();
    for number in 1..=20 {
        crash(&mut ledger, start, number, &[100 + u64::from(number), SHARED]);
        let now = start + Duration::from_secs(u64::from(number)) + Duration::from_millis(500);
        ledger.clear(now, &[500, SHARED]);
        expect_that!(ledger.verdict(now, &[501, SHARED]), eq(&CrashVerdict::Clear));
    }
}

/// Guards against crashes that peers report again after a key was cleared, which would make it a suspect for good.
#[gtest]
fn late_reports_of_earlier_crashes_are_ignored() {
    let start = Instant::now() + RUN_TIME;
    let mut ledger = CrashLedger::new();
    ledger.record(start, report(start, 1, &[SHARED]));
    let now = start + Duration::from_secs(1);
    ledger.clear(now, &[SHARED]);
    expect_that!(ledger.record(now, report(start, 2, &[SHARED])), eq(false));
    let entry = QuarantinedKey { key: SHARED, crashes: 3, last_crash: start };
    ledger.adopt(now, entry);
    expect_that!(ledger.verdict(now, &[SHARED]), eq(&CrashVerdict::Clear));
}

/// Guards against a part that is refused for ever after its engine was repaired, and against many crashes by its next chances.
#[gtest]
fn quarantined_part_gets_one_chance_after_a_time_that_grows() {
    let start = Instant::now();
    let mut ledger = CrashLedger::new();
    for number in 1..=3 {
        crash(&mut ledger, start, number, &[100 + u64::from(number), DEADLY]);
    }
    let mut last_crash = start + Duration::from_secs(3);
    for (chance, quarantine_min) in [(4, 10), (5, 20), (6, 40)] {
        let shortly_before = last_crash + Duration::from_secs(quarantine_min * 60 - 1);
        expect_that!(is_quarantined(&ledger, shortly_before, &[200, DEADLY]), eq(true));
        let end = last_crash + Duration::from_mins(quarantine_min);
        expect_that!(
            ledger.verdict(end, &[200, DEADLY]),
            matches_pattern!(CrashVerdict::Suspect(_))
        );
        last_crash = end + RUN_TIME;
        ledger.record(last_crash, report(last_crash, chance, &[200, DEADLY]));
        expect_that!(is_quarantined(&ledger, last_crash, &[201, DEADLY]), eq(true));
    }
    ledger.clear(last_crash + Duration::from_secs(1), &[DEADLY]);
    expect_that!(ledger.verdict(last_crash, &[201, DEADLY]), eq(&CrashVerdict::Clear));
}

/// Guards against nodes that restart one after the other until none knows the deadly parts, when there are hundreds of them:
/// repeated notices must reach all of them.
#[gtest]
fn notices_of_a_few_entries_cover_all_in_turn() {
    let start = Instant::now();
    let (mut old, mut new) = (CrashLedger::new(), CrashLedger::new());
    for key in 0..300 {
        old.adopt(start, QuarantinedKey { key, crashes: 3, last_crash: start });
    }
    for number in 1..=30 {
        crash(&mut old, start, number, &[1_000 + u64::from(number), 2_000 + u64::from(number)]);
    }
    let now = start + Duration::from_secs(31);
    for round in 0..25 {
        for entry in old.quarantined(12, round * 12) {
            new.adopt(now, entry);
        }
        for report in old.reports(false, 4, round * 2) {
            new.record(now, report);
        }
    }
    expect_that!(new.sizes(), eq((30, 300)));
}

/// Guards against a sum of waits: with suspects, the verdict names the one with most crashes first, under which requests wait
/// for each other.
#[gtest]
fn suspects_with_more_crashes_come_first() {
    let start = Instant::now();
    let mut ledger = CrashLedger::new();
    crash(&mut ledger, start, 1, &[10, DEADLY]);
    crash(&mut ledger, start, 2, &[11, DEADLY]);
    let now = start + Duration::from_secs(3);
    let CrashVerdict::Suspect(suspects) = ledger.verdict(now, &[10, 11, DEADLY]) else {
        panic!("the keys are suspects");
    };
    expect_that!(suspects.to_vec(), elements_are![eq(&DEADLY), eq(&10)]);
}

/// Guards against requests that are refused for ever, because two keys that are on all crashes alike are never told apart.
#[gtest]
fn unexplained_crashes_expire() {
    let start = Instant::now();
    let mut ledger = CrashLedger::new();
    for number in 1..=3 {
        crash(&mut ledger, start, number, &[100 + u64::from(number), SHARED, DEADLY]);
    }
    let now = start + Duration::from_secs(3 + 300);
    expect_that!(is_quarantined(&ledger, start, &[200, SHARED, DEADLY]), eq(true));
    ledger.expire(now);
    expect_that!(ledger.verdict(now, &[200, SHARED, DEADLY]), eq(&CrashVerdict::Clear));
}
