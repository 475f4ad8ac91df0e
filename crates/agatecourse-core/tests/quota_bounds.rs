//! Tests of the stored bounds of quota use.

use agatecourse_core::request::{BoundDemand, BoundEntry, QuotaBounds};
use googletest::prelude::*;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

const LIMIT: u64 = 800;

fn demand(used: u64, wanted: u64) -> [BoundDemand; 1] {
    [BoundDemand {
        organisation: "org".to_string(),
        used,
        wanted,
        limit: LIMIT,
        is_raised_ahead: true,
    }]
}

fn entries(stored: u64, enforced: u64) -> BTreeMap<String, BoundEntry> {
    [("org".to_string(), BoundEntry { stored, enforced })].into()
}

/// Guards against use beyond a bound before the bound is stored: a plan alone changes nothing.
#[gtest]
fn raised_bound_is_enforced_once_it_is_stored() {
    let now = Instant::now();
    let mut bounds = QuotaBounds::new();
    expect_that!(bounds.enforced("org", LIMIT), eq(400));
    let plan = bounds.plan(now, &demand(350, 0), false);
    expect_that!(plan.is_raise, eq(true));
    expect_that!(plan.bounds.get("org"), some(eq(&550)));
    expect_that!(bounds.enforced("org", LIMIT), eq(400));
    bounds.record_stored(7, plan.bounds);
    expect_that!((bounds.version(), bounds.enforced("org", LIMIT)), eq((7, 550)));
}

/// Guards against organisations that are refused below their quota: a refused request raises the bound as far as it needs,
/// and never above the quota.
#[gtest]
fn refused_request_raises_the_bound() {
    let now = Instant::now();
    let mut bounds = QuotaBounds::new();
    let plan = bounds.plan(now, &demand(100, 600), false);
    expect_that!(plan.bounds.get("org"), some(eq(&700)));
    let plan = bounds.plan(now, &demand(790, 5_000), false);
    expect_that!(plan.bounds.get("org"), some(eq(&LIMIT)));
    bounds.record_stored(1, plan.bounds);
    expect_that!(bounds.plan(now, &demand(800, 5_000), false).is_raise, eq(false));
}

/// Guards against a bound that is stored lower than nodes still use: a lower bound is enforced for a while before it is
/// stored, and a higher one if the use grows meanwhile.
#[gtest]
fn lower_bound_is_enforced_before_it_is_stored() {
    let start = Instant::now();
    let at = |millis: u64| start + Duration::from_millis(millis);
    let mut bounds = QuotaBounds::new();
    bounds.record_stored(1, [("org".to_string(), 800)].into());
    for millis in [0, 2_900] {
        let plan = bounds.plan(at(millis), &demand(300, 0), true);
        expect_that!(plan.bounds.get("org"), some(eq(&800)));
        expect_that!(bounds.enforced("org", LIMIT), eq(800));
    }
    let plan = bounds.plan(at(3_100), &demand(300, 0), true);
    expect_that!(plan.bounds.get("org"), some(eq(&800)));
    expect_that!(bounds.entry("org"), eq(BoundEntry { stored: 800, enforced: 500 }));
    // The use grows, and a bound that fits it is enforced from now on.
    let plan = bounds.plan(at(4_000), &demand(450, 0), true);
    expect_that!(plan.is_raise, eq(false));
    expect_that!(plan.bounds.get("org"), some(eq(&800)));
    expect_that!(bounds.entry("org"), eq(BoundEntry { stored: 800, enforced: 650 }));
    let plan = bounds.plan(at(5_900), &demand(450, 0), true);
    expect_that!(plan.bounds.get("org"), some(eq(&800)));
    let plan = bounds.plan(at(6_000), &demand(450, 0), true);
    expect_that!(plan.bounds.get("org"), some(eq(&650)));
}

/// Guards against two nodes that both store bounds: the newer version holds, and of one version the lower bound.
#[gtest]
fn newest_bounds_of_other_nodes_are_enforced() {
    let now = Instant::now();
    let mut bounds = QuotaBounds::new();
    expect_that!(bounds.adopt(now, 5, &entries(700, 700)), eq(true));
    expect_that!(bounds.adopt(now, 4, &entries(800, 800)), eq(false));
    expect_that!(bounds.enforced("org", LIMIT), eq(700));
    expect_that!(bounds.adopt(now, 5, &entries(700, 600)), eq(true));
    expect_that!(bounds.entry("org"), eq(BoundEntry { stored: 700, enforced: 600 }));
    expect_that!(bounds.adopt(now, 5, &entries(700, 700)), eq(true));
    expect_that!(bounds.enforced("org", LIMIT), eq(600));
    // A write for another organisation keeps the stored bound, not the lower one that is only enforced.
    expect_that!(bounds.plan(now, &demand(100, 0), false).bounds.get("org"), some(eq(&700)));
    expect_that!(bounds.adopt(now, 6, &BTreeMap::new()), eq(true));
    expect_that!(bounds.enforced("org", LIMIT), eq(400));
}
