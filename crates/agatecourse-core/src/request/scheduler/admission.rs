use super::PoolAction;
use super::pool_scheduler::PoolScheduler;
use super::request_state::WaitingRequest;
use agatecourse_types::{NodeId, RequestId, ResultCode, Tier};
use agatecourse_wire::request::{Refusal, Ticket};
use std::time::{Duration, Instant};

/// Fraction of the estimated queueing time that must fit before a deadline. Estimates are means and shedding is
/// irreversible, so a request is shed only when the queue is clearly too long.
const SHED_WAIT_FACTOR: f64 = 0.7;
/// Shortest `retry_after` of a refusal.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(100);
/// Longest `retry_after` of a refusal.
const MAX_RETRY_AFTER: Duration = Duration::from_mins(1);
/// Longest time from submission to deadline; longer ones are clamped so that adding times can't overflow.
const MAX_TIME_LEFT: Duration = Duration::from_hours(24);

impl PoolScheduler {
    /// Admits a request to the queue or refuses it.
    ///
    /// A ticket of a request in flight gets the same grant again; one of a request that waits or has ended is
    /// ignored.
    pub(super) fn submit(
        &mut self,
        now: Instant,
        node: NodeId,
        ticket: Ticket,
        actions: &mut Vec<PoolAction>,
    ) {
        let request_id = ticket.request_id;
        if let Some(running) = self.in_flight.get(request_id) {
            actions.push(PoolAction::Grant { node, grant: running.grant.clone() });
            return;
        }
        if self.queue.contains(request_id) || self.in_flight.has_ended(request_id) {
            return;
        }
        let waiting = self.waiting_request(now, node, ticket);
        if let Some((code, retry_after, reason)) = self.admission_refusal(now, &waiting) {
            actions.push(refusal_action(&waiting, code, retry_after, reason));
            return;
        }
        if self.queue.len() >= self.limits.queue_limit && !self.evict_lower_tier(&waiting, actions)
        {
            return;
        }
        self.enqueue(waiting);
    }

    /// Removes a waiting request without sending a refusal.
    pub(super) fn cancel_waiting(&mut self, request_id: RequestId) {
        if let Some(waiting) = self.queue.remove(request_id) {
            self.release_reservation(request_id);
            self.organisations.remove_active(waiting.organisation);
        }
    }

    /// Adds a request to the queue and counts it as active for its organisation.
    pub(super) fn enqueue(&mut self, waiting: WaitingRequest) {
        self.organisations.add_active(waiting.organisation);
        self.queue.insert(waiting);
    }

    /// Creates a waiting request from a ticket and this owner's estimates of length and cost.
    pub(super) fn waiting_request(
        &mut self,
        now: Instant,
        node: NodeId,
        ticket: Ticket,
    ) -> WaitingRequest {
        let learned =
            self.lengths.estimate(&ticket.route, &ticket.organisation, ticket.read_tokens);
        let write_tokens = learned.map_or(ticket.write_tokens, |learned| learned.mean).max(1);
        // Without an estimate, a request is not refused for its length: a refused request yields no length sample.
        let admission_tokens = learned.map_or(1, |learned| learned.mean);
        let upper_bound_tokens = learned.map_or(write_tokens, |learned| learned.upper_bound);
        let organisation = self.organisations.index_or_insert(&ticket.organisation);
        let deadline = now + ticket.deadline_in.min(MAX_TIME_LEFT);
        let cost_s = self.current_rates().cost_s(ticket.read_tokens, write_tokens);
        WaitingRequest {
            ticket,
            node,
            organisation,
            deadline,
            submitted: now,
            write_tokens,
            admission_tokens,
            upper_bound_tokens,
            cost_s,
        }
    }

    /// Returns code, retry time and reason if a new request must be refused.
    fn admission_refusal(
        &self,
        now: Instant,
        waiting: &WaitingRequest,
    ) -> Option<(ResultCode, Option<Duration>, String)> {
        let organisation = waiting.organisation;
        if !self.organisations.has_room(organisation) {
            let limit = self.organisations.concurrency(organisation);
            let reason = format!("{limit} requests of the organisation wait or run in the pool");
            return Some((
                ResultCode::OrganisationLimit,
                Some(self.retry_after(waiting.tier())),
                reason,
            ));
        }
        if !self.targets.iter().any(|target| target.listed && !target.leaving) {
            let reason = "the pool has no target".to_string();
            return Some((ResultCode::NoTarget, Some(Duration::from_secs(1)), reason));
        }
        if waiting.deadline <= now {
            let reason = "the deadline has passed".to_string();
            return Some((ResultCode::ExpiredWaiting, None, reason));
        }
        let views = self.slot_views(now);
        if views.slots.is_empty() && views.without_credit {
            let reason = "the credits of all providers are used up or ended".to_string();
            return Some((ResultCode::CreditsExhausted, None, reason));
        }
        let needed_s = self.current_rates().best_run_s(waiting);
        let left_s = waiting.deadline.saturating_duration_since(now).as_secs_f64();
        (needed_s > left_s).then(|| {
            let reason = format!("needs {needed_s:.3} s on an idle target, {left_s:.3} s left");
            (ResultCode::CannotFinish, None, reason)
        })
    }

    /// Evicts a request of a lower tier from a full queue, or refuses the new request if there is none.
    ///
    /// Returns whether the new request may be queued.
    fn evict_lower_tier(
        &mut self,
        waiting: &WaitingRequest,
        actions: &mut Vec<PoolAction>,
    ) -> bool {
        let lowest = self.queue.lowest_tier().unwrap_or(waiting.tier());
        let evicted = self.queue.parked(lowest).next().or_else(|| {
            self.queue.ready_by_deadline(lowest).last().map(|waiting| waiting.ticket.request_id)
        });
        let reason = format!("{} requests wait in the pool", self.queue.len());
        if let Some(evicted) = evicted.filter(|_| lowest > waiting.tier()) {
            self.refuse_waiting(evicted, ResultCode::QueueFull, reason, actions);
            return true;
        }
        let retry_after = Some(self.retry_after(waiting.tier()));
        actions.push(refusal_action(waiting, ResultCode::QueueFull, retry_after, reason));
        false
    }

    /// Refuses waiting requests whose deadline has passed.
    pub(super) fn refuse_expired(&mut self, now: Instant, actions: &mut Vec<PoolAction>) {
        while let Some((deadline, request_id)) = self.queue.first_deadline()
            && deadline <= now
        {
            let reason = "the deadline passed in the queue".to_string();
            self.refuse_waiting(request_id, ResultCode::ExpiredWaiting, reason, actions);
        }
    }

    /// Refuses a request that no target can finish in time, or parks it while a lower tier waits, because the
    /// lowest tier is shed first.
    pub(super) fn refuse_or_park(&mut self, request_id: RequestId, actions: &mut Vec<PoolAction>) {
        let Some(tier) = self.queue.get(request_id).map(WaitingRequest::tier) else { return };
        if self.queue.lowest_tier().is_some_and(|lowest| lowest > tier) {
            self.queue.park(request_id);
            self.release_reservation(request_id);
        } else {
            let reason = "no target can finish it before the deadline".to_string();
            self.refuse_waiting(request_id, ResultCode::CannotFinish, reason, actions);
        }
    }

    /// Refuses a waiting request because no provider of a usable target has credit.
    pub(super) fn refuse_without_credit(
        &mut self,
        request_id: RequestId,
        actions: &mut Vec<PoolAction>,
    ) {
        let reason = "the credits of all providers are used up or ended".to_string();
        self.refuse_waiting(request_id, ResultCode::CreditsExhausted, reason, actions);
    }

    /// Sheds requests of the lowest waiting tier that are parked or that the work queued before them makes late.
    pub(super) fn shed_late_requests(&mut self, now: Instant, actions: &mut Vec<PoolAction>) {
        while let Some(tier) = self.queue.lowest_tier() {
            let parked: Vec<RequestId> = self.queue.parked(tier).collect();
            for request_id in parked {
                let reason = "no target can finish it before the deadline".to_string();
                self.refuse_waiting(request_id, ResultCode::CannotFinish, reason, actions);
            }
            for request_id in self.late_in_tier(now, tier) {
                let reason = "the queue leaves no time before the deadline".to_string();
                self.refuse_waiting(request_id, ResultCode::Shed, reason, actions);
            }
            // A tier may be shed only when no lower tier waits.
            if self.queue.lowest_tier() == Some(tier) {
                break;
            }
        }
    }

    /// Returns the requests of a tier that would start too late behind the work before them.
    fn late_in_tier(&self, now: Instant, tier: Tier) -> Vec<RequestId> {
        let rates = self.current_rates();
        let above_s = tier.checked_sub(1).map_or(0.0, |above| self.queue.work_through_s(above));
        let mut ahead_s = above_s;
        let mut late = Vec::new();
        for waiting in self.queue.ready_by_deadline(tier) {
            let start_s = SHED_WAIT_FACTOR * rates.drain_s(ahead_s);
            let left_s = waiting.deadline.saturating_duration_since(now).as_secs_f64();
            if start_s + rates.best_run_s(waiting) > left_s {
                late.push(waiting.ticket.request_id);
            } else {
                ahead_s += waiting.cost_s;
            }
        }
        late
    }

    /// Removes a waiting request and refuses it; does nothing if the request doesn't wait.
    fn refuse_waiting(
        &mut self,
        request_id: RequestId,
        code: ResultCode,
        reason: String,
        actions: &mut Vec<PoolAction>,
    ) {
        let Some(waiting) = self.queue.remove(request_id) else { return };
        self.release_reservation(request_id);
        self.organisations.remove_active(waiting.organisation);
        let retry =
            matches!(code, ResultCode::Shed | ResultCode::QueueFull | ResultCode::CannotFinish);
        let retry_after = retry.then(|| self.retry_after(waiting.tier()));
        actions.push(refusal_action(&waiting, code, retry_after, reason));
    }

    /// Returns the expected time to finish the queued work of a tier and of higher ones.
    fn retry_after(&self, tier: Tier) -> Duration {
        let drain = self.current_rates().drain_time(self.queue.work_through_s(tier));
        drain.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER)
    }
}

fn refusal_action(
    waiting: &WaitingRequest,
    code: ResultCode,
    retry_after: Option<Duration>,
    reason: String,
) -> PoolAction {
    let request_id = waiting.ticket.request_id;
    let refusal = Refusal { request_id, code, retry_after, reason };
    PoolAction::Refuse { node: waiting.node.clone(), refusal }
}
