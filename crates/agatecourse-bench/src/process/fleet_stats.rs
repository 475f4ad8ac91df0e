use crate::request::{BLOCK_TOKENS, RequestEnd, SimRequest, TierOutcome};
use agatecourse_types::Tier;
use serde::Serialize;
use std::collections::{BTreeMap, BTreeSet};

/// Cumulative results by tier and the queue length by tier at one point in time.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct StatsSample {
    /// Virtual time from the start of the run in seconds.
    pub at_s: f64,
    /// Results by tier since the start of the run.
    pub tiers: Vec<TierOutcome>,
    /// Number of waiting requests, indexed by tier.
    pub waiting: Vec<u64>,
}

/// Statistics of one placement policy over a run.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct FleetStats {
    /// Results by tier.
    pub tiers: BTreeMap<Tier, TierOutcome>,
    /// Least work of the requests that ended on time, in seconds of an engine of speed 1.
    pub on_time_work_s: f64,
    /// Prompt tokens that engines read, excluding those found in prefix caches.
    pub prefill_tokens: u64,
    /// Prompt tokens that engines read for requests that did not end on time.
    pub wasted_prefill_tokens: u64,
    /// Prompt tokens that engines found in their prefix caches.
    pub cached_tokens: u64,
    /// Prompt tokens that a single engine with an unlimited prefix cache would have found for the same requests.
    pub unlimited_cached_tokens: u64,
    /// Prompt tokens of the requests that engines ran.
    pub prompt_tokens: u64,
    /// Number of requests shed while a request of a lower tier waited.
    pub tier_inversions: u64,
    /// One sample for each second of virtual time.
    pub samples: Vec<StatsSample>,
    /// Content of the unlimited prefix cache.
    seen_blocks: BTreeSet<u64>,
}

impl FleetStats {
    /// Counts how a request ended for its caller.
    pub fn count_end(&mut self, request: &SimRequest, end: RequestEnd, least_work_s: f64) {
        let tier = request.tier;
        let outcome = self
            .tiers
            .entry(tier)
            .or_insert_with(|| TierOutcome { tier, ..TierOutcome::default() });
        outcome.count(end);
        if end == RequestEnd::OnTime {
            self.on_time_work_s += least_work_s;
        }
    }

    /// Counts the prompt tokens of a request that an engine ran; does nothing for a request that did not start.
    pub fn count_prefill(&mut self, request: &SimRequest, cached: u32, prefilled: u32) {
        if cached + prefilled == 0 {
            return;
        }
        self.prefill_tokens += u64::from(prefilled);
        self.cached_tokens += u64::from(cached);
        self.prompt_tokens += u64::from(cached + prefilled);
        let seen = request.blocks.iter().take_while(|block| self.seen_blocks.contains(block));
        let unlimited = (BLOCK_TOKENS * seen.count() as u32).min(cached + prefilled);
        self.unlimited_cached_tokens += u64::from(unlimited);
        self.seen_blocks.extend(&request.blocks);
    }

    /// Returns the fraction of the prompt tokens that was found in prefix caches.
    pub fn prefix_hit_ratio(&self) -> f64 {
        ratio(self.cached_tokens as f64, self.prompt_tokens as f64)
    }

    /// Returns the fraction that a single engine with an unlimited prefix cache would have found.
    pub fn unlimited_hit_ratio(&self) -> f64 {
        ratio(self.unlimited_cached_tokens as f64, self.prompt_tokens as f64)
    }

    /// Returns the fraction of the requests that ended on time.
    pub fn on_time_ratio(&self) -> f64 {
        let sum = |field: fn(&TierOutcome) -> u64| self.tiers.values().map(field).sum::<u64>();
        ratio(sum(|tier| tier.on_time) as f64, sum(|tier| tier.offered) as f64)
    }
}

/// Returns `part / whole`, or 0 when `whole` is not positive.
pub fn ratio(part: f64, whole: f64) -> f64 {
    if whole > 0.0 { part / whole } else { 0.0 }
}
