//! Tests of the retry budget, the organisation limiter and the pool directory.

use agatecourse_config::OrganisationConfig;
use agatecourse_core::process::RetryBudget;
use agatecourse_core::request::{OrganisationLimitError, OrganisationLimiter, PoolDirectory};
use agatecourse_types::RouteId;
use agatecourse_wire::process::PoolPressure;
use googletest::prelude::*;
use std::time::{Duration, Instant};

/// Guards against retries that exceed a tenth of the first attempts beyond the burst.
#[gtest]
fn retries_are_a_tenth_of_first_attempts_after_the_burst() {
    let mut budget = RetryBudget::new();
    let burst = (0..20).filter(|_| budget.try_retry()).count();
    let mut retries = 0;
    for _ in 0..1_000 {
        budget.record_attempt();
        retries += usize::from(budget.try_retry());
    }
    expect_that!((burst, retries), eq((10, 100)));
}

/// Guards against nodes that together retry more than a deployment allows: in ten seconds, 58 retries and in addition a
/// fifth of the requests.
#[gtest]
fn budgets_of_nine_nodes_stay_within_the_deployments() {
    let mut budgets = vec![RetryBudget::new().with_limits(0.2 * 0.75, 58.0 * 0.75 / 9.0); 9];
    let mut retries = 0;
    for request in 0..180 {
        let budget = &mut budgets[request % 9];
        budget.record_attempt();
        retries += usize::from(budget.try_retry());
    }
    expect_that!(retries, le(58 + 180 / 5));
    expect_that!(retries, ge(40));
}

/// Guards against a node that applies the limits of all nodes instead of its share, and against requests that stay counted
/// after their end.
#[gtest]
fn organisations_get_their_share_of_rate_and_concurrency() {
    let now = Instant::now();
    let north = "north".to_string();
    let config =
        OrganisationConfig { name: north.clone(), weight: 1, rate_per_s: 90, concurrency: 27 };
    let mut limiter = OrganisationLimiter::new();
    limiter.configure(&[config], 9);
    let started = (0..20).filter(|_| limiter.try_start(now, &north).is_ok()).count();
    expect_that!(started, eq(3));
    let concurrency = OrganisationLimitError::Concurrency { organisation: north.clone(), limit: 3 };
    expect_that!(limiter.try_start(now, &north), err(eq(&concurrency)));
    let mut more = 0;
    for _ in 0..50 {
        limiter.finish(&north);
        more += usize::from(limiter.try_start(now, &north).is_ok());
    }
    expect_that!(more, eq(7), "the bucket of ten is empty");
    limiter.finish(&north);
    expect_that!(limiter.try_start(now + Duration::from_millis(101), &north), ok(anything()));
    expect_that!(limiter.try_start(now, &"other".to_string()), err(anything()));
}

/// Guards against pools that are too large, lose targets, or differ between nodes.
#[gtest]
fn pools_hold_all_targets_and_at_most_sixteen_each() {
    let route: RouteId = "drafts".into();
    for count in [1_usize, 10, 16, 17, 55, 880] {
        let names: Vec<String> = (0..count).map(|index| format!("t{index}")).collect();
        let (mut directory, mut reversed) = (PoolDirectory::new(), PoolDirectory::new());
        directory.set_route("drafts", names.clone());
        reversed.set_route("drafts", names.into_iter().rev());
        expect_that!(directory, eq(&reversed));
        let pools = directory.pools(&route);
        expect_that!(pools.len(), eq(count.div_ceil(16)));
        let sizes: Vec<usize> = pools.iter().map(|pool| directory.targets(pool).len()).collect();
        expect_that!(sizes.iter().sum::<usize>(), eq(count));
        expect_that!(sizes.iter().max(), some(le(&16)));
    }
}

/// Guards against a choice that ignores the published pressure or always takes the same pool.
#[gtest]
fn requests_choose_the_less_loaded_of_two_pools() {
    let route: RouteId = "drafts".into();
    let mut directory = PoolDirectory::new();
    directory.set_route("drafts", (0..160).map(|index| format!("t{index}")));
    let loaded = PoolPressure {
        pool: "drafts/3".into(),
        lowest_granted_tier: 0,
        queue_delay: Duration::from_secs(5),
    };
    let mut chosen = std::collections::BTreeMap::new();
    for request_id in 0..2_000 {
        let pressure = |pool: &String| (*pool == loaded.pool).then_some(&loaded);
        let pool = directory.choose(&route, request_id, 1, pressure).cloned();
        *chosen.entry(pool.unwrap_or_default()).or_insert(0) += 1;
    }
    expect_that!(chosen.get("drafts/3"), none());
    expect_that!(chosen.len(), eq(9));
    expect_that!(chosen.values().min(), some(ge(&150)));
}

/// Guards against two pools that each grant all slots of the same targets, so that routes aren't ordered by tier together.
#[gtest]
fn routes_with_the_same_targets_share_their_pools() {
    let (quotes, notes, plans) = ("quotes".to_string(), "notes".to_string(), "plans".to_string());
    let mut directory = PoolDirectory::new();
    directory.set_route(notes.clone(), ["engine-1", "engine-2"]);
    directory.set_route(plans.clone(), ["engine-1", "engine-3"]);
    directory.set_route(quotes.clone(), ["engine-2", "engine-1"]);
    expect_that!(directory.pools(&quotes), eq(directory.pools(&notes)));
    expect_that!(directory.pools(&plans), not(eq(directory.pools(&notes))));
    directory.remove_route(&notes);
    expect_that!(directory.targets(&directory.pools(&quotes)[0]).len(), eq(2));
    expect_that!(directory.all_pools().count(), eq(2));
}
