use super::POOL_TARGET_LIMIT;
use super::credit_ledger::SpendRank;
use super::pool_scheduler::PoolScheduler;
use smallvec::SmallVec;
use std::time::Instant;

/// Data of one usable target for the search for a target.
///
/// Views are computed once for each queue scan, because a scan compares many requests with each target.
#[derive(Debug, Clone, Copy)]
pub(super) struct SlotView<'a> {
    /// Index of the target.
    pub slot: usize,
    pub version: &'a str,
    pub has_room: bool,
    /// Spending order of the provider's credit.
    pub rank: SpendRank,
    /// Number of running requests, including those of other owners.
    pub batch: f64,
    /// Expected time between tokens of a request that starts now, in seconds.
    pub gap_s: f64,
    /// Expected time until the prompts of all granted requests are read, in seconds.
    pub reading_s: f64,
    /// Time to read one prompt token, in seconds.
    pub read_token_s: f64,
}

/// Usable targets of a pool at a point in time.
#[derive(Debug, Clone, Default)]
pub(super) struct SlotViews<'a> {
    pub slots: SmallVec<[SlotView<'a>; POOL_TARGET_LIMIT]>,
    /// Whether a usable target is excluded because its provider has no credit.
    pub without_credit: bool,
}

impl PoolScheduler {
    /// Returns the usable targets whose providers have credit.
    pub(super) fn slot_views(&self, now: Instant) -> SlotViews<'_> {
        let mut views = SlotViews::default();
        // With a queue, free capacity is used at once, so a new request will run in a full batch.
        let queued = self.queue.len() > 1;
        for (slot, target) in self.targets.iter().enumerate() {
            if !target.is_usable() {
                continue;
            }
            let Some(rank) = self.credits.rank(now, target.spec.provider.as_ref()) else {
                views.without_credit = true;
                continue;
            };
            let speed = target.speed();
            let capacity = f64::from(target.capacity().max(1));
            let after_grant = f64::from(target.batch() + 1);
            let batch = if queued { capacity } else { after_grant.min(capacity) };
            views.slots.push(SlotView {
                slot,
                version: &target.spec.version,
                has_room: target.has_room(),
                rank,
                batch: f64::from(target.batch()),
                gap_s: speed.gap_s(batch),
                reading_s: target.reading_until.saturating_duration_since(now).as_secs_f64(),
                read_token_s: speed.read_s(1.0),
            });
        }
        views
    }
}
