//! Integration tests of the benches in virtual time.

use agatecourse_bench::goodput::{self, goodput};
use agatecourse_bench::prefill::prefill;
use agatecourse_bench::process::{EngineModel, PlacementPolicy, PrefixCache, capacity_bound_s};
use agatecourse_bench::report::write_report;
use agatecourse_bench::request::{DeploymentProfile, generate};
use googletest::prelude::*;

/// Guards against results that depend on anything but the seed, and against missing fields in the JSON output.
#[gtest]
fn goodput_is_reproducible_and_complete() {
    let (first, _) = goodput(DeploymentProfile::Association, 3);
    let (second, _) = goodput(DeploymentProfile::Association, 3);
    expect_that!(second, eq(&first));
    let json = serde_json::to_value(&first).unwrap_or_default();
    for arm in PlacementPolicy::ALL {
        let tiers = &json["arms"][arm.name()]["tiers"];
        for field in ["tier", "offered", "on_time", "shed", "expired"] {
            expect_that!(tiers[0][field].is_u64(), is_true(), "{field} of {arm:?}");
        }
        expect_that!(json["arms"][arm.name()]["on_time_ratio"].is_f64(), is_true());
    }
    expect_that!(json["capacity_bound_ratio"].is_f64(), is_true());
    expect_that!(json["tier_inversions"].is_u64(), is_true());
}

/// Guards against requests that get lost in the simulation, and against an upper bound that a policy exceeds.
#[gtest]
fn every_request_ends_once_and_no_policy_exceeds_the_bound() {
    for deployment in [DeploymentProfile::Kaewkla, DeploymentProfile::Association] {
        let shape = goodput::load_shape(deployment);
        let requests = generate(&shape, 5);
        let bound_s = capacity_bound_s(&shape, &EngineModel::default(), &requests);
        let (_, stats) = goodput(deployment, 5);
        for (arm, stats) in stats {
            let ends: u64 =
                stats.tiers.values().map(|t| t.on_time + t.shed + t.expired + t.left).sum();
            expect_that!(ends, eq(requests.len() as u64), "{arm:?}");
            expect_that!(stats.on_time_work_s, lt(bound_s), "{arm:?}");
            expect_that!(stats.tier_inversions, eq(0));
        }
    }
}

/// Guards against a scheduler that wastes more prefill tokens than the baseline, and against inconsistent counts.
#[gtest]
fn prefill_counts_are_consistent_and_better_than_the_baseline() {
    let (result, stats) = prefill(DeploymentProfile::Kaewkla, 4);
    let wasted = |arm: PlacementPolicy| result.arms[arm.name()].wasted_prefill_tokens;
    expect_that!(
        wasted(PlacementPolicy::Agatecourse),
        lt(wasted(PlacementPolicy::LeastReportedLoad))
    );
    for stats in stats.values() {
        expect_that!(stats.prefill_tokens + stats.cached_tokens, eq(stats.prompt_tokens));
        expect_that!(stats.wasted_prefill_tokens, le(stats.prefill_tokens));
    }
}

/// Guards against a cache that exceeds its capacity or evicts recently used blocks.
#[gtest]
fn prefix_cache_evicts_least_recently_used_blocks() {
    let mut cache = PrefixCache::new(300);
    for block in [1, 2, 3] {
        cache.insert(block, 100);
    }
    expect_that!(cache.match_blocks(&[1, 2, 9]), eq(2));
    cache.insert(4, 100);
    expect_that!(cache.take_evicted(), elements_are![eq(&3)]);
    expect_that!(cache.match_blocks(&[3]), eq(0));
    expect_that!(cache.match_blocks(&[1, 2]), eq(2));
}

/// Guards against a report without plots or with references to external resources.
#[gtest]
fn report_is_self_contained() -> Result<()> {
    let (result, stats) = prefill(DeploymentProfile::Association, 1);
    let path = std::env::temp_dir().join(format!("agatecourse-report-{}.html", std::process::id()));
    write_report(&path, "prefill", &result.to_string(), &stats)?;
    let html = std::fs::read_to_string(&path)?;
    std::fs::remove_file(&path)?;
    expect_that!(html.matches("<svg").count(), eq(9));
    expect_that!(html, not(contains_substring("href=\"http")));
    Ok(())
}
