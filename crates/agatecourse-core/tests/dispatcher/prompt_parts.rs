//! Tests of the placement of prompts whose parts targets keep.

use crate::simulation::{drafting_kinds, job};
use agatecourse_core::request::dispatch::{
    Decision, DispatchTarget, Dispatcher, Job, JobKey, PromptPart, RunEnd, RunReport,
};
use googletest::prelude::*;
use smallvec::SmallVec;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::{Duration, Instant};

/// Tokens of the part that all prompts of a kind share, and of the part that the prompts of one session share.
const KIND_TOKENS: u32 = 60;
const SESSION_TOKENS: u32 = 3_000;
const RUN_TIME: Duration = Duration::from_millis(300);

fn targets(count: usize, slots: u32, started_unix_ms: u64) -> Vec<DispatchTarget> {
    let target = |index: usize| DispatchTarget {
        id: format!("t-{index:02}"),
        slots,
        zone: "a".to_string(),
        version: "v1".to_string(),
        started_unix_ms,
    };
    (0..count).map(target).collect()
}

fn prompt_job(number: u64, session: u64, now: Instant) -> Job {
    let prompt_parts = SmallVec::from_slice(&[
        PromptPart { part: 1, tokens: KIND_TOKENS },
        PromptPart { part: 1_000 + session, tokens: SESSION_TOKENS },
    ]);
    let key = JobKey { node: "n".to_string(), number };
    let prompt_tokens = KIND_TOKENS + SESSION_TOKENS;
    Job { prompt_parts, prompt_tokens, ..job(key, 0, &drafting_kinds()[0], now) }
}

/// Submits a job and returns the target that it is granted.
fn place(dispatcher: &mut Dispatcher, now: Instant, job: Job) -> Option<String> {
    let (key, mut decisions) = (job.key.clone(), Vec::new());
    dispatcher.submit(now, job, &mut decisions);
    decisions.into_iter().find_map(|decision| match decision {
        Decision::Grant { key: granted, target } if granted == key => Some(target),
        _ => None,
    })
}

fn finish(dispatcher: &mut Dispatcher, now: Instant, number: u64) {
    let key = JobKey { node: "n".to_string(), number };
    let report = RunReport { end: RunEnd::Answered, elapsed: RUN_TIME };
    dispatcher.finish(now, &key, report, &mut Vec::new());
}

/// Pattern: sessions that come back every second at half of the capacity of many targets. Guards against prompts that are read again
/// because only their first part, or none, decides the placement; the users' largest days read nine tenths of such tokens again.
#[gtest]
fn sessions_come_back_to_the_targets_that_keep_their_prompts() {
    let start = Instant::now();
    let mut dispatcher = Dispatcher::new();
    dispatcher.set_targets(start, targets(20, 4, 1), &mut Vec::new());
    let mut kept: BTreeMap<u64, BTreeSet<String>> = BTreeMap::new();
    let (mut repeats, mut hits, mut running) = (0, 0, VecDeque::new());
    for number in 0..2_600_u64 {
        let now = start + Duration::from_micros(7_700) * number as u32;
        while let Some((until, ended)) = running.front().copied()
            && until <= now
        {
            running.pop_front();
            finish(&mut dispatcher, now, ended);
        }
        // A hash in place of the number itself, so that sessions do not come back in a fixed order.
        let session = number.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 57;
        let target = place(&mut dispatcher, now, prompt_job(number, session, now));
        let target = target.expect("half of the slots are free");
        running.push_back((now + RUN_TIME, number));
        let holders = kept.entry(session).or_default();
        repeats += u32::from(!holders.is_empty());
        hits += u32::from(holders.contains(&target));
        holders.insert(target);
    }
    expect_that!(repeats, ge(2_000));
    expect_that!(hits, ge(repeats * 9 / 10), "{hits} of {repeats}");
}

/// Pattern: one session sends as many prompts at once as all targets have slots. Guards against a hot prompt that waits for the target
/// which keeps it while others are free.
#[gtest]
fn hot_prompt_is_spread_over_all_targets() {
    let now = Instant::now();
    let mut dispatcher = Dispatcher::new();
    dispatcher.set_targets(now, targets(5, 4, 1), &mut Vec::new());
    for number in 0..20 {
        expect_that!(place(&mut dispatcher, now, prompt_job(number, 7, now)), some(anything()));
    }
}

/// Guards against prompts that go to a target for what its former process kept.
#[gtest]
fn restarted_target_keeps_nothing() {
    let now = Instant::now();
    let mut dispatcher = Dispatcher::new();
    dispatcher.set_targets(now, targets(2, 4, 1), &mut Vec::new());
    let excluded = SmallVec::from_vec(vec!["t-00".to_string()]);
    let first = Job { excluded, ..prompt_job(2, 2, now) };
    expect_that!(place(&mut dispatcher, now, first), some(eq("t-01")));
    finish(&mut dispatcher, now, 2);
    expect_that!(place(&mut dispatcher, now, prompt_job(3, 2, now)), some(eq("t-01")));
    finish(&mut dispatcher, now, 3);
    let mut restarted = targets(2, 4, 1);
    restarted[1].started_unix_ms = 2;
    dispatcher.set_targets(now, restarted, &mut Vec::new());
    expect_that!(place(&mut dispatcher, now, prompt_job(4, 2, now)), some(eq("t-00")));
}
