//! Bench `goodput`: work completed before its deadline under load bursts and with a slow engine.

use crate::process::{
    EngineModel, FleetStats, PlacementPolicy, capacity_bound_s, ratio, simulate_fleet,
};
use crate::request::{DeploymentProfile, LoadShape, SlowEngine, TierOutcome, generate};
use serde::Serialize;
use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

/// Result of one placement policy.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct PolicyResult {
    /// Numbers of requests by tier and result.
    pub tiers: Vec<TierOutcome>,
    /// Fraction of all requests that ended on time.
    pub on_time_ratio: f64,
    /// Least work of the requests that ended on time, in seconds of an engine of speed 1.
    pub on_time_work_s: f64,
}

/// Result of the bench `goodput`.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct GoodputResult {
    /// Name of the bench, `goodput`.
    pub name: &'static str,
    /// Name of the deployment profile that the load was generated from.
    pub deployment: &'static str,
    /// Seed of the load.
    pub seed: u64,
    /// Results by name of the placement policy.
    pub arms: BTreeMap<&'static str, PolicyResult>,
    /// On-time work of `agatecourse` divided by the upper bound for any schedule.
    pub capacity_bound_ratio: f64,
    /// On-time work of `agatecourse` divided by that of `least_reported_load`.
    pub on_time_work_ratio: f64,
    /// Fraction of the highest tier's requests that ended on time with `agatecourse`.
    pub highest_tier_on_time_ratio: f64,
    /// Number of requests that `agatecourse` shed while a request of a lower tier waited.
    pub tier_inversions: u64,
}

/// Returns the load shape: two bursts to twice the capacity, and one of the fastest engines at a fifth of its speed
/// from the middle of the first burst to the middle of the second.
pub fn load_shape(deployment: DeploymentProfile) -> LoadShape {
    let seconds = Duration::from_secs;
    LoadShape {
        deployment,
        duration: seconds(360),
        base_load: 0.8,
        burst_load: 2.0,
        burst_periods: vec![(seconds(60), seconds(150)), (seconds(210), seconds(300))],
        prefixes_per_organisation: 6,
        disconnect_ratio: 0.02,
        max_patience_ratio: None,
        slow_engine: Some(SlowEngine {
            engine: 0,
            speed_factor: 0.2,
            period: (seconds(100), seconds(250)),
        }),
    }
}

/// Simulates all placement policies on the same load; returns the result and the statistics of each for a report.
pub fn goodput(
    deployment: DeploymentProfile,
    seed: u64,
) -> (GoodputResult, BTreeMap<PlacementPolicy, FleetStats>) {
    let shape = load_shape(deployment);
    let model = EngineModel::default();
    let requests = generate(&shape, seed);
    let stats: BTreeMap<PlacementPolicy, FleetStats> = PlacementPolicy::ALL
        .map(|arm| (arm, simulate_fleet(arm, &shape, &model, &requests, seed)))
        .into();
    let bound_s = capacity_bound_s(&shape, &model, &requests);
    let agatecourse = &stats[&PlacementPolicy::Agatecourse];
    let highest = agatecourse.tiers.values().next().copied().unwrap_or_default();
    let result = GoodputResult {
        name: "goodput",
        deployment: deployment.name(),
        seed,
        arms: stats.iter().map(|(arm, stats)| (arm.name(), PolicyResult::new(stats))).collect(),
        capacity_bound_ratio: ratio(agatecourse.on_time_work_s, bound_s),
        on_time_work_ratio: ratio(
            agatecourse.on_time_work_s,
            stats[&PlacementPolicy::LeastReportedLoad].on_time_work_s,
        ),
        highest_tier_on_time_ratio: ratio(highest.on_time as f64, highest.offered as f64),
        tier_inversions: agatecourse.tier_inversions,
    };
    (result, stats)
}

impl PolicyResult {
    fn new(stats: &FleetStats) -> Self {
        Self {
            tiers: stats.tiers.values().copied().collect(),
            on_time_ratio: stats.on_time_ratio(),
            on_time_work_s: stats.on_time_work_s,
        }
    }
}

impl fmt::Display for GoodputResult {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "goodput, deployment {}, seed {}\n", self.deployment, self.seed)?;
        writeln!(
            f,
            "{:<20} {:>4} {:>8} {:>8} {:>7} {:>8} {:>6} {:>8}",
            "arm", "tier", "offered", "on time", "shed", "expired", "left", "on time"
        )?;
        for (arm, result) in &self.arms {
            for tier in &result.tiers {
                writeln!(
                    f,
                    "{arm:<20} {:>4} {:>8} {:>8} {:>7} {:>8} {:>6} {:>7.2}%",
                    tier.tier,
                    tier.offered,
                    tier.on_time,
                    tier.shed,
                    tier.expired,
                    tier.left,
                    100.0 * ratio(tier.on_time as f64, tier.offered as f64)
                )?;
            }
            writeln!(f, "{arm:<20} on-time work {:.1} engine-seconds", result.on_time_work_s)?;
        }
        writeln!(f, "\non-time work / least_reported_load  {:.3}", self.on_time_work_ratio)?;
        writeln!(f, "on-time work / capacity bound       {:.3}", self.capacity_bound_ratio)?;
        write!(f, "tier inversions                     {}", self.tier_inversions)
    }
}
