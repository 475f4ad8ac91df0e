use super::PoolAction;
use super::in_flight_table::IN_FLIGHT_LIMIT;
use super::placement::{Placement, TargetChoice};
use super::pool_scheduler::PoolScheduler;
use super::request_state::{RunningRequest, WaitingRequest};
use super::slot_view::SlotViews;
use agatecourse_types::RequestId;
use agatecourse_wire::request::Grant;
use std::time::{Duration, Instant};

/// Largest number of requests considered in one queue scan, which bounds the time of a decision; the others are
/// considered at the next event.
const MAX_REQUESTS_PER_SCAN: usize = 16;
/// Largest number of requests of one organisation and tier considered in one queue scan.
const MAX_REQUESTS_PER_ORGANISATION: usize = 4;
/// Time after the deadline at which a grant without an outcome is dropped.
pub(super) const OUTCOME_GRACE: Duration = Duration::from_secs(2);

/// Result of one scan of the first requests in the queue.
#[derive(Debug, Default)]
struct QueueScan {
    grant: Option<(RequestId, TargetChoice)>,
    cannot_finish: Vec<RequestId>,
    without_credit: Vec<RequestId>,
    /// First suspect request that can run only once a target is idle.
    suspect_waits: Option<RequestId>,
}

impl PoolScheduler {
    /// Grants waiting requests until no target has room or no considered request can start.
    pub(super) fn dispatch(&mut self, now: Instant, actions: &mut Vec<PoolAction>) {
        if self.take_over.is_waiting(now) {
            return;
        }
        while self.queue.len() > 0
            && self.in_flight.len() < IN_FLIGHT_LIMIT
            && self.targets.iter().any(super::target_state::TargetState::has_room)
        {
            let scan = self.scan_queue(now);
            for request_id in &scan.without_credit {
                self.refuse_without_credit(*request_id, actions);
            }
            for request_id in &scan.cannot_finish {
                self.refuse_or_park(*request_id, actions);
            }
            if let Some(request_id) = scan.suspect_waits {
                self.reserve_target(request_id);
            }
            if let Some((request_id, choice)) = scan.grant {
                self.grant_request(now, request_id, choice, actions);
            } else if scan.cannot_finish.is_empty() && scan.without_credit.is_empty() {
                break;
            }
        }
    }

    /// Searches the queue in priority order for a request that can start now.
    ///
    /// Within a tier, a request that is placed on the target with its longest cached prefix may overtake others that
    /// are not urgent.
    fn scan_queue(&self, now: Instant) -> QueueScan {
        let mut scan = QueueScan::default();
        let views = self.slot_views(now);
        let mut requests_left = MAX_REQUESTS_PER_SCAN;
        for tier in self.queue.ready_tiers() {
            for organisation in self.queue.serving_order(tier, &self.organisations) {
                for waiting in
                    self.queue.ready(tier, organisation).take(MAX_REQUESTS_PER_ORGANISATION)
                {
                    if requests_left == 0 || self.evaluate_request(now, &views, waiting, &mut scan)
                    {
                        return scan;
                    }
                    requests_left -= 1;
                }
            }
            if scan.grant.is_some() {
                break;
            }
        }
        scan
    }

    /// Searches a target for one request and records the result; returns whether the scan ends.
    fn evaluate_request(
        &self,
        now: Instant,
        views: &SlotViews<'_>,
        waiting: &WaitingRequest,
        scan: &mut QueueScan,
    ) -> bool {
        let request_id = waiting.ticket.request_id;
        match self.find_target(now, views, waiting) {
            Placement::Grant(choice) => {
                let first = scan.grant.is_none();
                let better = |best: TargetChoice| {
                    choice.cached_elsewhere_tokens < best.cached_elsewhere_tokens
                };
                if first || scan.grant.is_some_and(|(_, best)| better(best)) {
                    scan.grant = Some((request_id, choice));
                }
                // No later request can be better than one for which no target caches a longer prefix.
                return (first && choice.urgent) || choice.cached_elsewhere_tokens == 0;
            }
            Placement::CannotFinish => scan.cannot_finish.push(request_id),
            Placement::NoCredit => scan.without_credit.push(request_id),
            Placement::Wait if waiting.ticket.suspect.is_some() => {
                scan.suspect_waits = scan.suspect_waits.or(Some(request_id));
            }
            Placement::Wait | Placement::NoTarget => {}
        }
        false
    }

    /// Reserves the least loaded target for a suspect request.
    ///
    /// There is one reservation at a time, so that suspects don't block several targets for other requests.
    fn reserve_target(&mut self, request_id: RequestId) {
        if self.reservation.is_some() {
            return;
        }
        let usable = self.targets.iter().enumerate().filter(|(_, target)| target.is_usable());
        let least = usable.min_by_key(|(_, target)| target.batch()).map(|(slot, _)| slot);
        self.reservation = least.map(|slot| (slot, request_id));
    }

    /// Releases the reservation that a request holds, if any.
    pub(super) fn release_reservation(&mut self, request_id: RequestId) {
        self.reservation = self.reservation.filter(|(_, holder)| *holder != request_id);
    }

    /// Removes a request from the queue and grants it on the chosen target.
    fn grant_request(
        &mut self,
        now: Instant,
        request_id: RequestId,
        choice: TargetChoice,
        actions: &mut Vec<PoolAction>,
    ) {
        let Some(waiting) = self.queue.dequeue(request_id, &self.organisations) else { return };
        self.release_reservation(request_id);
        let running = self.start_request(now, waiting, choice);
        actions
            .push(PoolAction::Grant { node: running.node.clone(), grant: running.grant.clone() });
        self.in_flight.insert(running);
    }

    /// Charges a granted request to its target and provider, and returns it as a running request.
    fn start_request(
        &mut self,
        now: Instant,
        waiting: WaitingRequest,
        choice: TargetChoice,
    ) -> RunningRequest {
        let slot = choice.slot;
        let ticket = waiting.ticket;
        for hash in &ticket.prefix_hashes {
            self.prefixes.insert(slot, *hash);
        }
        let charged_tokens = f64::from(ticket.read_tokens) + f64::from(waiting.write_tokens);
        let target = &mut self.targets[slot];
        self.credits.charge(now, target.spec.provider.as_ref(), charged_tokens);
        let read_wait = target.reading_until.saturating_duration_since(now);
        let unread = f64::from(ticket.read_tokens.saturating_sub(choice.cached_tokens));
        let read = Duration::from_secs_f64(target.speed().read_s(unread).min(3_600.0));
        target.add_unread_prompt(now, read);
        target.add_in_flight(now);
        target.runs_suspect |= ticket.suspect.is_some();
        let reason = format!(
            "smallest expected finish {:.3} s after {} ms in the queue, {} of {} prompt tokens cached",
            choice.finish_s,
            now.saturating_duration_since(waiting.submitted).as_millis(),
            choice.cached_tokens,
            ticket.read_tokens
        );
        RunningRequest {
            grant: Grant {
                request_id: ticket.request_id,
                target: target.spec.target.clone(),
                version: target.spec.version.clone(),
                expected: Duration::from_secs_f64(choice.finish_s.clamp(0.0, 86_400.0)),
                reason,
            },
            batch_integral: target.batch_integral(now),
            ticket,
            node: waiting.node,
            organisation: waiting.organisation,
            slot,
            granted_at: now,
            drop_at: waiting.deadline + OUTCOME_GRACE,
            charged_tokens,
            read_wait,
            read,
            first_token_seen: false,
            write_tokens: waiting.write_tokens,
        }
    }
}
