use super::engine_model::EngineModel;
use crate::request::ENGINE_SPEEDS;
use agatecourse_core::request::scheduler::{
    PoolAction, PoolEvent, PoolScheduler, SchedulerLimits, TargetSpec,
};
use agatecourse_types::{RequestId, ResultCode, Tier};
use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

/// Pool owner of the policy `agatecourse`: runs the scheduler of the core and counts its tier inversions.
#[derive(Debug)]
pub struct PoolOwner {
    scheduler: PoolScheduler,
    /// Real time that corresponds to virtual time zero.
    start: Instant,
    /// Waiting requests by tier.
    waiting: BTreeMap<Tier, BTreeSet<RequestId>>,
    /// Tiers of the waiting requests.
    tiers: BTreeMap<RequestId, Tier>,
    /// Number of requests shed while a request of a lower tier waited.
    pub tier_inversions: u64,
}

impl PoolOwner {
    /// Creates the owner of a pool with all engines, whose configured speeds are equal although their real ones differ.
    pub fn new(model: &EngineModel, seed: u64) -> Self {
        let start = Instant::now();
        let spec = |index| {
            // Half the speed of the fastest engine is the middle of the range that the hardware generations span.
            let write_tokens_per_s = 1.0 / model.step_time_s(1, 0) / 2.0;
            TargetSpec::new(engine_name(index), "v1")
                .with_concurrency(model.max_batch_requests as u32)
                .with_speed(model.read_tokens_per_s as u32 / 2, write_tokens_per_s as u32)
        };
        let limits =
            SchedulerLimits { token_gap: Duration::from_millis(100), ..SchedulerLimits::default() };
        let scheduler = PoolScheduler::new("drafts/0", seed)
            .with_limits(limits)
            .with_targets(start, (0..ENGINE_SPEEDS.len()).map(spec).collect());
        let (waiting, tiers) = (BTreeMap::new(), BTreeMap::new());
        Self { scheduler, start, waiting, tiers, tier_inversions: 0 }
    }

    /// Passes an event to the scheduler and returns the resulting actions.
    pub fn handle_event(&mut self, at: Duration, event: PoolEvent) -> Vec<PoolAction> {
        match &event {
            PoolEvent::Submit { ticket, .. } => self.add_waiting(ticket.request_id, ticket.tier),
            PoolEvent::Cancel { request_id } => self.remove_waiting(*request_id),
            _ => {}
        }
        let mut actions = Vec::new();
        self.scheduler.on_event(self.start + at, event, &mut actions);
        for action in &actions {
            self.track_action(action);
        }
        actions
    }

    /// Returns the virtual time at which the scheduler needs its next tick.
    pub fn next_wakeup(&self) -> Option<Duration> {
        self.scheduler.next_wakeup().map(|at| at.saturating_duration_since(self.start))
    }

    fn add_waiting(&mut self, request_id: RequestId, tier: Tier) {
        self.tiers.insert(request_id, tier);
        self.waiting.entry(tier).or_default().insert(request_id);
    }

    fn remove_waiting(&mut self, request_id: RequestId) {
        if let Some(tier) = self.tiers.remove(&request_id)
            && let Some(waiting) = self.waiting.get_mut(&tier)
        {
            waiting.remove(&request_id);
        }
    }

    fn track_action(&mut self, action: &PoolAction) {
        match action {
            PoolAction::Grant { grant, .. } => self.remove_waiting(grant.request_id),
            PoolAction::Refuse { refusal, .. } => {
                let tier = self.tiers.get(&refusal.request_id).copied();
                self.remove_waiting(refusal.request_id);
                let is_shed = matches!(
                    refusal.code,
                    ResultCode::Shed | ResultCode::QueueFull | ResultCode::CannotFinish
                );
                let has_lower_tier_waiting =
                    |tier: Tier| self.waiting.range(tier + 1..).any(|(_, w)| !w.is_empty());
                self.tier_inversions +=
                    u64::from(is_shed && tier.is_some_and(has_lower_tier_waiting));
            }
            PoolAction::CancelRunning { .. } => {}
        }
    }
}

/// Returns the target name of an engine.
pub fn engine_name(index: usize) -> String {
    format!("engine-{index}")
}
