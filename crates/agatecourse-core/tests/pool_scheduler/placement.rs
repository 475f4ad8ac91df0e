use crate::harness::{Harness, targets, ticket};
use agatecourse_core::request::scheduler::{
    LoadReport, PoolEvent, ProviderCredit, TargetSpec, VersionShare,
};
use agatecourse_types::ResultCode;
use agatecourse_wire::request::{DispatchOutcome, Ticket};
use googletest::prelude::*;
use smallvec::smallvec;
use std::time::Duration;

const SECOND: Duration = Duration::from_secs(1);

/// Guards against placement that ignores learned speeds: both targets are idle, and only their speeds differ.
#[gtest]
fn prefers_the_target_with_the_faster_learned_speed() {
    let mut harness = Harness::new(targets(&[4, 4]));
    for request_id in (0..20).step_by(2) {
        harness.submit(ticket(request_id, 0, 60 * SECOND));
        harness.submit(ticket(request_id + 1, 0, 60 * SECOND));
        for request_id in [request_id, request_id + 1] {
            let slow = harness.target_of(request_id) == Some("t0");
            let elapsed = if slow { 4 * SECOND } else { SECOND };
            harness.finish(request_id, DispatchOutcome::Completed, elapsed);
        }
    }
    harness.submit(ticket(100, 0, 60 * SECOND));
    harness.submit(ticket(101, 0, 60 * SECOND));
    expect_that!(harness.target_of(100), some(eq("t1")));
    expect_that!(harness.target_of(101), some(eq("t1")));
}

/// Guards against a cached prefix that is ignored, and against one that draws all requests to a loaded target.
#[gtest]
fn prefix_affinity_yields_to_load() {
    let mut harness = Harness::new(targets(&[4, 4]));
    let prompt = |request_id| Ticket {
        read_tokens: 2_000,
        write_tokens: 10,
        prefix_hashes: smallvec![11, 12],
        prefix_block_tokens: 900,
        ..ticket(request_id, 0, 60 * SECOND)
    };
    for hash in [11, 12] {
        harness.handle_event(PoolEvent::Cached { target: "t1".into(), prefix_hash: hash });
    }
    harness.submit(prompt(1));
    expect_that!(harness.target_of(1), some(eq("t1")));
    for request_id in 2..=6 {
        harness.submit(prompt(request_id));
    }
    let loaded = (2..=6).filter(|id| harness.target_of(*id) == Some("t1")).count();
    expect_that!(loaded, le(3));
}

/// Guards against overload of a target whose last load report doesn't include the latest grants.
#[gtest]
fn corrects_load_reports_by_later_grants() {
    let mut harness = Harness::new(targets(&[4]));
    harness.submit(ticket(1, 0, 60 * SECOND));
    harness.now += SECOND;
    harness.submit(ticket(2, 0, 60 * SECOND));
    harness.now += SECOND;
    let report = LoadReport { running: 3, age: 1_500 * SECOND / 1_000, ..LoadReport::default() };
    harness.handle_event(PoolEvent::Report { target: "t0".into(), report });
    // Of the three reported requests, one is this owner's and two are others'. The second grant came after the
    // measurement, so four requests run.
    expect_that!(harness.scheduler.snapshot(harness.now).targets[0].batch, eq(4));
}

/// Guards against grants on a leaving target, and against requests that wait in a pool without usable targets
/// instead of being refused.
#[gtest]
fn leaving_targets_get_no_new_requests() {
    let mut harness = Harness::new(targets(&[4, 4]));
    harness.handle_event(PoolEvent::TargetLeaving { target: "t0".into() });
    for request_id in 1..=4 {
        harness.submit(ticket(request_id, 0, 60 * SECOND));
        expect_that!(harness.target_of(request_id), some(eq("t1")));
    }
    harness.handle_event(PoolEvent::TargetLeaving { target: "t1".into() });
    harness.submit(ticket(5, 0, 60 * SECOND));
    expect_that!(harness.refused_codes(), elements_are![eq(&(5, ResultCode::NoTarget))]);
}

/// Guards against requests outside of the version share on the new version, and against grants on a stopped
/// version.
#[gtest]
fn the_share_slot_decides_the_version() {
    let new = TargetSpec::new("t1", "v2").with_concurrency(100);
    let old = TargetSpec::new("t0", "v1").with_concurrency(100);
    let mut harness = Harness::new(vec![old, new]);
    let share =
        VersionShare { route: "drafts".into(), from: "v1".into(), to: "v2".into(), share: 500 };
    harness.handle_event(PoolEvent::VersionShares(vec![share]));
    for (request_id, share_slot, target) in [(1, 499, "t1"), (2, 500, "t0"), (3, 9_999, "t0")] {
        harness.submit(Ticket { share_slot, ..ticket(request_id, 0, 60 * SECOND) });
        expect_that!(harness.target_of(request_id), some(eq(target)));
    }
    let (route, version) = ("drafts".into(), "v2".into());
    harness.handle_event(PoolEvent::VersionStopped { route, version });
    harness.submit(Ticket { share_slot: 0, ..ticket(4, 0, 60 * SECOND) });
    expect_that!(harness.target_of(4), some(eq("t0")));
}

/// Guards against grants on a provider without credit, and against credit that expires unused because another one
/// is spent first.
#[gtest]
fn spends_the_credit_that_expires_first_and_none_that_is_used_up() {
    let spec = |target: &str, provider: &str| {
        TargetSpec::new(target, "v1").with_concurrency(100).with_provider(provider)
    };
    let mut harness = Harness::new(vec![spec("t0", "late"), spec("t1", "early")]);
    let credit = |provider: &str, tokens_left, days: u64| ProviderCredit {
        provider: provider.into(),
        tokens_left,
        ends_in: Duration::from_hours(24 * days),
    };
    let credits = vec![credit("late", 1_000_000, 30), credit("early", 1_000_000, 2)];
    harness.handle_event(PoolEvent::Credits(credits));
    harness.submit(ticket(1, 0, 60 * SECOND));
    expect_that!(harness.target_of(1), some(eq("t1")));
    harness.handle_event(PoolEvent::Credits(vec![credit("late", 200, 30), credit("early", 0, 2)]));
    harness.submit(ticket(2, 0, 60 * SECOND));
    expect_that!(harness.target_of(2), some(eq("t0")));
    harness.submit(ticket(3, 0, 60 * SECOND));
    harness.submit(ticket(4, 0, 60 * SECOND));
    expect_that!(harness.refused_codes(), elements_are![eq(&(4, ResultCode::CreditsExhausted))]);
}

/// Guards against a suspect request that shares a target with others, and against one that never starts because
/// other requests keep all targets busy.
#[gtest]
fn suspects_run_alone() {
    let mut harness = Harness::new(targets(&[4]));
    harness.submit(ticket(1, 0, 60 * SECOND));
    harness.submit(Ticket { suspect: Some(9), ..ticket(2, 0, 60 * SECOND) });
    harness.submit(ticket(3, 0, 60 * SECOND));
    expect_that!(harness.granted_ids(), elements_are![eq(&1)]);
    harness.finish(1, DispatchOutcome::Completed, SECOND);
    expect_that!(harness.granted_ids(), elements_are![eq(&1), eq(&2)]);
    harness.finish(2, DispatchOutcome::Completed, SECOND);
    expect_that!(harness.granted_ids(), elements_are![eq(&1), eq(&2), eq(&3)]);
}
