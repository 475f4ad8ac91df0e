//! Tests of the refusal of requests that crash their targets.

use agatecourse_core::request::CrashLedger;
use googletest::prelude::*;
use std::time::{Duration, Instant};

/// Guards against a request that keeps crashing targets because different nodes see the crashes.
#[gtest]
fn request_is_refused_after_it_crashed_three_targets() {
    let now = Instant::now();
    let (mut own, mut peer) = (CrashLedger::new(), CrashLedger::new());
    own.record(now, 7, 1);
    peer.record(now, 7, 2);
    peer.record(now, 7, 3);
    expect_that!(own.is_quarantined(now, 7), eq(false));
    for (fingerprint, target) in peer.newest(10) {
        own.record(now, fingerprint, target);
    }
    expect_that!(own.is_quarantined(now, 7), eq(true));
    expect_that!(own.is_quarantined(now, 8), eq(false));
    expect_that!(own.is_quarantined(now + Duration::from_secs(61), 7), eq(false));
}

/// Guards against the refusal of identical requests because one target crashed while running all of them.
#[gtest]
fn one_crashed_target_counts_once() {
    let now = Instant::now();
    let mut ledger = CrashLedger::new();
    for _ in 0..10 {
        ledger.record(now, 7, 1);
    }
    expect_that!(ledger.count(now, 7), eq(1));
    expect_that!(ledger.is_quarantined(now, 7), eq(false));
}

/// Guards against a ledger that grows without bound.
#[gtest]
fn oldest_fingerprints_are_dropped() {
    let start = Instant::now();
    let mut ledger = CrashLedger::new();
    for fingerprint in 0..1_500 {
        ledger.record(start + Duration::from_millis(fingerprint), fingerprint, 1);
    }
    let now = start + Duration::from_millis(1_500);
    expect_that!(ledger.count(now, 0), eq(0));
    expect_that!(ledger.count(now, 1_499), eq(1));
    expect_that!(ledger.newest(5).len(), eq(5));
}
