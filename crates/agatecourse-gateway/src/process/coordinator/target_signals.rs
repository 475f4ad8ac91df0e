use super::{Coordinator, CoordinatorAction};
use crate::process::LimitNotice;
use agatecourse_core::request::dispatch::{DispatchTarget, NamedLimit};
use agatecourse_types::{NodeId, TargetId};
use std::time::{Duration, Instant};

/// Maximum number of targets' limits in one status, so that the message fits a datagram.
const MAX_STATUS_LIMITS: usize = 32;

/// Limits that targets name in their responses.
impl Coordinator {
    /// Records the request limit that a response of a target names, `None` if it names none, and reports a change to the owner of the
    /// target's queue; returns whether it has changed.
    pub fn record_limit(
        &mut self,
        now: Instant,
        target: &TargetId,
        sent_at: Instant,
        per_s: Option<f64>,
        actions: &mut Vec<CoordinatorAction>,
    ) -> bool {
        if !self.limits.record(now, target, sent_at, per_s) {
            return false;
        }
        let is_in = |targets: &[DispatchTarget]| targets.iter().any(|spec| spec.id == *target);
        let queue = self.targets.iter().find(|(_, targets)| is_in(targets));
        if let Some(queue) = queue.map(|(queue, _)| queue.clone()) {
            let owner = self.owner(now, &queue, actions);
            self.send_status(now, &queue, &owner, actions);
        }
        true
    }

    /// Passes the limits of a node's status to the queue.
    pub(super) fn on_limits(
        &mut self,
        now: Instant,
        from: &NodeId,
        queue: &str,
        limits: &[LimitNotice],
        actions: &mut Vec<CoordinatorAction>,
    ) {
        let mut decisions = Vec::new();
        for notice in limits {
            let age = Duration::from_millis(notice.age_ms);
            let named_at = now.checked_sub(age).unwrap_or(now);
            let limit = NamedLimit { per_s: notice.per_s, named_at };
            self.dispatcher(now, from, queue).set_limit(now, &notice.target, limit, &mut decisions);
        }
        self.send_decisions(now, decisions, actions);
    }

    /// Returns the limits that targets of a queue have named to this node, the newest first.
    pub(super) fn limit_notices(&self, now: Instant, queue: &str) -> Vec<LimitNotice> {
        let queue_targets = self.targets.get(queue).map_or(&[][..], Vec::as_slice);
        let mut limits: Vec<(&TargetId, NamedLimit)> = queue_targets
            .iter()
            .filter_map(|target| Some((&target.id, self.limits.get(&target.id)?)))
            .collect();
        limits.sort_by_key(|(_, limit)| std::cmp::Reverse(limit.named_at));
        let notices =
            limits.into_iter().take(MAX_STATUS_LIMITS).map(|(target, limit)| LimitNotice {
                target: target.clone(),
                per_s: limit.per_s,
                age_ms: now.saturating_duration_since(limit.named_at).as_millis() as u64,
            });
        notices.collect()
    }
}
