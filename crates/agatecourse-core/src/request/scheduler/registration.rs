use super::dispatch::OUTCOME_GRACE;
use super::in_flight_table::IN_FLIGHT_LIMIT;
use super::pool_scheduler::PoolScheduler;
use super::request_state::RunningRequest;
use agatecourse_types::{NodeId, RequestId};
use agatecourse_wire::request::{Grant, InFlight, Registration};
use std::collections::BTreeSet;
use std::time::{Duration, Instant};

/// Age up to which a grant that the node doesn't list is kept, because it may not have reached the node when the node
/// sent its registration.
const MAX_GRANT_TRANSIT: Duration = Duration::from_secs(1);

impl PoolScheduler {
    /// Takes over the waiting and running requests of a node, and drops grants that the node doesn't list.
    pub(super) fn register(&mut self, now: Instant, node: &NodeId, registration: Registration) {
        self.take_over.stop_awaiting(node);
        let listed: BTreeSet<RequestId> =
            registration.in_flight.iter().map(|in_flight| in_flight.ticket.request_id).collect();
        let unlisted: Vec<RequestId> = self
            .in_flight
            .values()
            .filter(|running| running.node == *node)
            .filter(|running| now.saturating_duration_since(running.granted_at) > MAX_GRANT_TRANSIT)
            .map(|running| running.ticket.request_id)
            .filter(|request_id| !listed.contains(request_id))
            .collect();
        for request_id in unlisted {
            if let Some(running) = self.in_flight.remove(request_id) {
                self.release_grant(now, &running, running.charged_tokens);
            }
        }
        for in_flight in registration.in_flight {
            self.register_running(now, node, in_flight);
        }
        for ticket in registration.waiting {
            let request_id = ticket.request_id;
            let known = self.in_flight.get(request_id).is_some();
            if !known && self.queue.len() < self.limits.queue_limit {
                let waiting = self.waiting_request(now, node.clone(), ticket);
                if !self.queue.contains(request_id) {
                    self.enqueue(waiting);
                }
            }
        }
    }

    /// Removes the waiting requests of a dead node; its running ones occupy their target until their expected end.
    pub(super) fn remove_node(&mut self, now: Instant, node: &NodeId) {
        self.take_over.stop_awaiting(node);
        for request_id in self.queue.ids_where(|waiting| waiting.node == *node) {
            self.cancel_waiting(request_id);
        }
        let ends: Vec<(RequestId, Instant)> = self
            .in_flight
            .values()
            .filter(|running| running.node == *node)
            .map(|running| {
                let expected_end = running.granted_at + running.grant.expected;
                (running.ticket.request_id, expected_end.max(now).min(running.drop_at))
            })
            .collect();
        for (request_id, end) in ends {
            self.in_flight.set_drop_at(request_id, end);
        }
    }

    /// Adds a request that an earlier pool owner granted, unless the request is known or its target is unknown.
    fn register_running(&mut self, now: Instant, node: &NodeId, in_flight: InFlight) {
        let InFlight { ticket, target, version, running_for, written_tokens } = in_flight;
        let request_id = ticket.request_id;
        let known = self.in_flight.get(request_id).is_some();
        let Some(slot) = self.slot_of(&target).filter(|_| !known) else { return };
        if self.in_flight.len() >= IN_FLIGHT_LIMIT {
            return;
        }
        self.cancel_waiting(request_id);
        let waiting = self.waiting_request(now, node.clone(), ticket);
        self.organisations.add_active(waiting.organisation);
        let state = &mut self.targets[slot];
        state.add_in_flight(now);
        state.runs_suspect |= waiting.ticket.suspect.is_some();
        let expected = running_for + Duration::from_secs_f64(waiting.cost_s.clamp(0.0, 86_400.0));
        let reason = "taken over from an earlier pool owner".to_string();
        self.in_flight.insert(RunningRequest {
            grant: Grant { request_id, target, version, expected, reason },
            batch_integral: state.batch_integral(now),
            node: waiting.node,
            organisation: waiting.organisation,
            slot,
            granted_at: now.checked_sub(running_for).unwrap_or(now),
            drop_at: waiting.deadline + OUTCOME_GRACE,
            charged_tokens: 0.0,
            read_wait: Duration::MAX,
            read: Duration::ZERO,
            first_token_seen: true,
            write_tokens: waiting.write_tokens.max(written_tokens),
            ticket: waiting.ticket,
        });
    }
}
