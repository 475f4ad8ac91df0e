//! Bench `prefill`: prompt tokens that engines read for requests that fail, or read again despite the prefix cache.

use crate::process::{EngineModel, FleetStats, PlacementPolicy, ratio, simulate_fleet};
use crate::request::{DeploymentProfile, LoadShape, generate};
use serde::Serialize;
use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

/// Result of one placement policy.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct PolicyResult {
    /// Prompt tokens that engines read, excluding those found in prefix caches.
    pub prefill_tokens: u64,
    /// Prompt tokens that engines read for requests that did not end on time.
    pub wasted_prefill_tokens: u64,
    /// Fraction of the prompt tokens that was found in prefix caches.
    pub prefix_hit_ratio: f64,
    /// Fraction that a single engine with an unlimited prefix cache would have found for the same requests.
    pub unlimited_prefix_hit_ratio: f64,
    /// Fraction of all requests that ended on time.
    pub on_time_ratio: f64,
}

/// Result of the bench `prefill`.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct PrefillResult {
    /// Name of the bench, `prefill`.
    pub name: &'static str,
    /// Name of the deployment profile that the load was generated from.
    pub deployment: &'static str,
    /// Seed of the load.
    pub seed: u64,
    /// Results by name of the placement policy.
    pub arms: BTreeMap<&'static str, PolicyResult>,
    /// Wasted fraction of the prefill tokens of `agatecourse`.
    pub wasted_ratio: f64,
    /// Wasted prefill tokens of `agatecourse` divided by those of `least_reported_load`.
    pub wasted_relative: f64,
    /// Prefix hit ratio of `agatecourse` divided by that of a single engine with an unlimited prefix cache.
    pub hits_relative: f64,
}

/// Returns the load shape: shared prefixes that exceed the prefix cache of an engine, impatient callers and one burst.
pub fn load_shape(deployment: DeploymentProfile) -> LoadShape {
    let seconds = Duration::from_secs;
    LoadShape {
        deployment,
        duration: seconds(240),
        base_load: 0.8,
        burst_load: 1.5,
        burst_periods: vec![(seconds(90), seconds(150))],
        prefixes_per_organisation: 12,
        disconnect_ratio: 0.01,
        max_patience_ratio: Some(0.6),
        slow_engine: None,
    }
}

/// Simulates all placement policies on the same load; returns the result and the statistics of each for a report.
pub fn prefill(
    deployment: DeploymentProfile,
    seed: u64,
) -> (PrefillResult, BTreeMap<PlacementPolicy, FleetStats>) {
    let shape = load_shape(deployment);
    let model = EngineModel::default();
    let requests = generate(&shape, seed);
    let stats: BTreeMap<PlacementPolicy, FleetStats> = PlacementPolicy::ALL
        .map(|arm| (arm, simulate_fleet(arm, &shape, &model, &requests, seed)))
        .into();
    let agatecourse = &stats[&PlacementPolicy::Agatecourse];
    let wasted = agatecourse.wasted_prefill_tokens as f64;
    let result = PrefillResult {
        name: "prefill",
        deployment: deployment.name(),
        seed,
        arms: stats.iter().map(|(arm, stats)| (arm.name(), PolicyResult::new(stats))).collect(),
        wasted_ratio: ratio(wasted, agatecourse.prefill_tokens as f64),
        wasted_relative: ratio(
            wasted,
            stats[&PlacementPolicy::LeastReportedLoad].wasted_prefill_tokens as f64,
        ),
        hits_relative: ratio(agatecourse.prefix_hit_ratio(), agatecourse.unlimited_hit_ratio()),
    };
    (result, stats)
}

impl PolicyResult {
    fn new(stats: &FleetStats) -> Self {
        Self {
            prefill_tokens: stats.prefill_tokens,
            wasted_prefill_tokens: stats.wasted_prefill_tokens,
            prefix_hit_ratio: stats.prefix_hit_ratio(),
            unlimited_prefix_hit_ratio: stats.unlimited_hit_ratio(),
            on_time_ratio: stats.on_time_ratio(),
        }
    }
}

impl fmt::Display for PrefillResult {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "prefill, deployment {}, seed {}\n", self.deployment, self.seed)?;
        writeln!(
            f,
            "{:<20} {:>12} {:>10} {:>9} {:>10} {:>8}",
            "arm", "prefill", "wasted", "hits", "unlimited", "on time"
        )?;
        for (arm, result) in &self.arms {
            writeln!(
                f,
                "{arm:<20} {:>12} {:>10} {:>8.2}% {:>9.2}% {:>7.2}%",
                result.prefill_tokens,
                result.wasted_prefill_tokens,
                100.0 * result.prefix_hit_ratio,
                100.0 * result.unlimited_prefix_hit_ratio,
                100.0 * result.on_time_ratio
            )?;
        }
        writeln!(f, "\nwasted / all prefill            {:.4}", self.wasted_ratio)?;
        writeln!(f, "wasted / least_reported_load    {:.4}", self.wasted_relative)?;
        write!(f, "hits / one unlimited engine     {:.4}", self.hits_relative)
    }
}
