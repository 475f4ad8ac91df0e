use super::{Coordinator, CoordinatorAction};
use crate::process::{ClosureNotice, LimitNotice};
use agatecourse_core::request::dispatch::{
    Closure, DispatchTarget, NamedLimit, SignalChange, TargetSignal, TargetSignals,
};
use agatecourse_types::{NodeId, TargetId};
use std::time::{Duration, Instant};

/// Maximum number of targets' limits, and of closed targets, in one status, so that the message fits a datagram. A grant of a closed target
/// that a status leaves out is not used, because the node checks it again before it sends.
const MAX_STATUS_NOTICES: usize = 24;
/// Longest pause that is taken over from another node.
const MAX_PAUSE: Duration = Duration::from_hours(1);

/// Signals of targets in their responses: request limits, pauses and departures.
impl Coordinator {
    /// Records what a response of a target says about later requests, and reports a change to the owner of the target's queue.
    pub fn record_signal(
        &mut self,
        now: Instant,
        (target, started_unix_ms): (&TargetId, u64),
        sent_at: Instant,
        signal: TargetSignal,
        actions: &mut Vec<CoordinatorAction>,
    ) -> SignalChange {
        let change = self.signals.record(now, target, started_unix_ms, sent_at, signal);
        if !change.any() {
            return change;
        }
        let is_in = |targets: &[DispatchTarget]| targets.iter().any(|spec| spec.id == *target);
        let queue = self.targets.iter().find(|(_, targets)| is_in(targets));
        if let Some(queue) = queue.map(|(queue, _)| queue.clone()) {
            let owner = self.owner(now, &queue, actions);
            self.send_status(now, &queue, &owner, actions);
        }
        change
    }

    /// Returns why this node may not send requests to a target, `None` if it may.
    pub fn closure(
        &self,
        now: Instant,
        target: &TargetId,
        started_unix_ms: u64,
    ) -> Option<Closure> {
        self.signals.closure(now, target, started_unix_ms)
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
            let limit = decode_limit(now, notice);
            self.dispatcher(now, from, queue).set_limit(now, &notice.target, limit, &mut decisions);
        }
        self.send_decisions(now, decisions, actions);
    }

    /// Passes the brittle targets of a node's status to the queue.
    pub(super) fn on_brittleness(
        &mut self,
        now: Instant,
        from: &NodeId,
        queue: &str,
        brittle: &[LimitNotice],
    ) {
        for notice in brittle {
            let named = decode_limit(now, notice);
            self.dispatcher(now, from, queue).set_brittleness(&notice.target, named);
        }
    }

    /// Passes the closed targets of a node's status to the queue.
    pub(super) fn on_closures(
        &mut self,
        now: Instant,
        from: &NodeId,
        queue: &str,
        closures: &[ClosureNotice],
    ) {
        for notice in closures {
            let ClosureNotice { target, started_unix_ms, pause_ms } = notice;
            let dispatcher = self.dispatcher(now, from, queue);
            match pause_ms {
                None => dispatcher.set_leaving(target, *started_unix_ms),
                Some(pause_ms) => {
                    let until = now + Duration::from_millis(*pause_ms).min(MAX_PAUSE);
                    dispatcher.pause_node(now, target, *started_unix_ms, from, until);
                }
            }
        }
    }

    /// Returns the limits that targets of a queue have named to this node, the newest first.
    pub(super) fn limit_notices(&self, now: Instant, queue: &str) -> Vec<LimitNotice> {
        self.notices(now, queue, TargetSignals::limit)
    }

    /// Returns the targets of a queue that have told this node that they are brittle, or no longer are, the newest first.
    pub(super) fn brittleness_notices(&self, now: Instant, queue: &str) -> Vec<LimitNotice> {
        self.notices(now, queue, TargetSignals::brittleness)
    }

    fn notices(
        &self,
        now: Instant,
        queue: &str,
        named: impl Fn(&TargetSignals, &TargetId, u64) -> Option<NamedLimit>,
    ) -> Vec<LimitNotice> {
        let mut limits: Vec<(&TargetId, NamedLimit)> = self
            .queue_targets(queue)
            .iter()
            .filter_map(|target| {
                Some((&target.id, named(&self.signals, &target.id, target.started_unix_ms)?))
            })
            .collect();
        limits.sort_by_key(|(_, limit)| std::cmp::Reverse(limit.named_at));
        let notices =
            limits.into_iter().take(MAX_STATUS_NOTICES).map(|(target, limit)| LimitNotice {
                target: target.clone(),
                per_s: limit.per_s,
                age_ms: now.saturating_duration_since(limit.named_at).as_millis() as u64,
            });
        notices.collect()
    }

    /// Returns the targets of a queue that are closed to this node.
    pub(super) fn closure_notices(&self, now: Instant, queue: &str) -> Vec<ClosureNotice> {
        let closed = self.queue_targets(queue).iter().filter_map(|target| {
            let pause_ms = match self.closure(now, &target.id, target.started_unix_ms)? {
                Closure::Leaving | Closure::Evacuated => None,
                Closure::Paused(until) => {
                    Some(until.saturating_duration_since(now).as_millis() as u64)
                }
            };
            Some(ClosureNotice {
                target: target.id.clone(),
                started_unix_ms: target.started_unix_ms,
                pause_ms,
            })
        });
        closed.take(MAX_STATUS_NOTICES).collect()
    }

    fn queue_targets(&self, queue: &str) -> &[DispatchTarget] {
        self.targets.get(queue).map_or(&[][..], Vec::as_slice)
    }
}

fn decode_limit(now: Instant, notice: &LimitNotice) -> NamedLimit {
    let age = Duration::from_millis(notice.age_ms);
    NamedLimit { per_s: notice.per_s, named_at: now.checked_sub(age).unwrap_or(now) }
}
