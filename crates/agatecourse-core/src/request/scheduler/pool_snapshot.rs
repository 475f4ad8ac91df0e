use agatecourse_types::{PoolId, TargetId, Tier, VersionId};
use serde::Serialize;
use std::time::Duration;

/// State of a pool scheduler, for `/dump` and for the pressure that the owner publishes.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct PoolSnapshot {
    /// Pool that the scheduler decides for.
    pub pool: PoolId,
    /// Requests that wait for a grant by tier, highest tier first; without parked ones.
    pub tiers: Vec<TierSnapshot>,
    /// Number of parked requests: they can't finish in time and are refused once no lower tier waits.
    pub parked: usize,
    /// Number of granted requests that have not ended.
    pub in_flight: usize,
    /// Lowest tier whose requests don't wait behind a higher tier; 255 if no request waits.
    pub lowest_granted_tier: Tier,
    /// Expected waiting time of a new request of the lowest tier.
    pub queue_delay: Duration,
    /// Whether a new owner delays grants until all nodes have registered.
    pub taking_over: bool,
    /// Number of grants dropped since the start because no outcome arrived.
    pub grants_dropped: u64,
    /// Number of listed targets that get no requests because the pool has no free slot.
    pub targets_ignored: usize,
    /// Targets by slot, including removed ones until their slot is reused.
    pub targets: Vec<TargetSnapshot>,
}

/// Queue length and queued work of one tier.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct TierSnapshot {
    /// Tier of the requests; 0 is the highest.
    pub tier: Tier,
    /// Number of requests that wait for a grant, without parked ones.
    pub waiting: usize,
    /// Expected work of these requests in slot-seconds.
    pub work_s: f64,
}

/// State of one target as the pool scheduler sees it.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct TargetSnapshot {
    /// Name of the target in the configuration.
    pub target: TargetId,
    /// Version that the target runs.
    pub version: VersionId,
    /// Whether the target is listed, doesn't leave and is not ejected.
    pub usable: bool,
    /// Whether the target leaves or is drained.
    pub leaving: bool,
    /// State of the circuit breaker: `open`, `probing`, `ejected for failures` or `ejected for slowness`.
    pub admittance: String,
    /// Number of requests of this pool that were granted and have not ended.
    pub in_flight: u32,
    /// Number of running requests, including those that this owner did not grant.
    pub batch: u32,
    /// Current adaptive concurrency limit in requests.
    pub limit: u32,
    /// Expected time between tokens at the current batch size.
    pub token_gap: Duration,
    /// Number of prefixes that the target probably caches.
    pub prefixes: usize,
}
