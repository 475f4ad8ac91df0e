use super::JournalAction;
use super::journal_shard::{JournalShard, reply};
use super::key_entry::{KeyEntry, KeyState};
use super::ownership::OwnershipPhase;
use super::pending::{PendingKind, PendingRecord};
use agatecourse_types::{NodeId, RequestId};
use agatecourse_wire::request::{KnownOutcome, Reservation, ReservationOutcome, ReserveResult};
use std::sync::Arc;
use std::time::Instant;

// Requests above the limit are not notified of the outcome; their nodes resend the reservations until the deadline.
const WAITER_LIMIT: usize = 4_096;
// Of a larger body only the hash is stored.
const MAX_STORED_BODY_BYTES: usize = 4 * 1024;

impl JournalShard {
    pub(super) fn reserve(
        &mut self,
        node: NodeId,
        reservation: Reservation,
        deadline: Instant,
        actions: &mut Vec<JournalAction>,
    ) {
        let request_id = reservation.request_id;
        match self.index.get(&reservation.key) {
            Some(entry) => {
                let result = result_for_known_key(entry, &node, &reservation);
                if matches!(result, Some(ReserveResult::Running { .. })) {
                    self.add_waiter(&reservation.key, &node, request_id);
                }
                if let Some(result) = result {
                    reply(actions, node, request_id, result);
                }
            }
            None if self.index.len() >= self.index_limit => {
                reply(actions, node, request_id, ReserveResult::Full);
            }
            None => self.add_intent(node, reservation, deadline),
        }
    }

    fn add_intent(&mut self, node: NodeId, reservation: Reservation, deadline: Instant) {
        let Reservation { request_id, key, body_hash, .. } = reservation;
        let key: Arc<str> = key.into();
        let kind = PendingKind::Intent { node: node.clone(), deadline };
        self.pending.push_back(PendingRecord { key: key.clone(), request_id, kind });
        let state = KeyState::Reserving { released: false };
        let entry =
            KeyEntry { request_id, body_hash, node, state, end_pending: false, batch: (0, 0) };
        self.index.insert(key, entry);
    }

    fn add_waiter(&mut self, key: &str, node: &str, request_id: RequestId) {
        let waiter = (node.to_string(), request_id);
        let waiting = self.waiters.entry(key.into()).or_default();
        if self.waiter_count < WAITER_LIMIT && !waiting.contains(&waiter) {
            waiting.push(waiter);
            self.waiter_count += 1;
        }
    }

    pub(super) fn answer_waiters(&mut self, key: &str, actions: &mut Vec<JournalAction>) {
        let waiting = self.waiters.remove(key).unwrap_or_default();
        self.waiter_count -= waiting.len();
        let Some(KeyEntry { request_id: earlier, state: KeyState::Ended(outcome), .. }) =
            self.index.get(key)
        else {
            return;
        };
        for (node, request_id) in waiting {
            let result = ReserveResult::Ended { request_id: *earlier, outcome: outcome.clone() };
            reply(actions, node, request_id, result);
        }
    }

    /// Queues an outcome for the next batch and sends it to the requests that wait with the same key.
    ///
    /// The outcome may be sent before it is durable, because the dispatching node has observed it. If the owner fails
    /// before the commit, later requests get `Unknown`, which is consistent with it. A report is confirmed without
    /// effect if the key is not in the index or belongs to another request: the key has expired or was released, so
    /// the reporting node can stop resending.
    pub(super) fn record_outcome(
        &mut self,
        node: NodeId,
        report: ReservationOutcome,
        actions: &mut Vec<JournalAction>,
    ) {
        if !matches!(self.phase, OwnershipPhase::Owning { .. }) {
            return;
        }
        let ReservationOutcome { request_id, key, outcome } = report;
        match self.index.get(&key).filter(|entry| entry.request_id == request_id) {
            Some(entry) if entry.end_pending => {}
            Some(entry) if can_accept_outcome(&entry.state, &outcome) => {
                let outcome = drop_large_body(outcome);
                self.index.set_outcome(&key, &outcome);
                self.answer_waiters(&key, actions);
                let kind = PendingKind::Ended { reporter: node, outcome };
                self.pending.push_back(PendingRecord { key: key.into(), request_id, kind });
            }
            _ => actions.push(JournalAction::Recorded { node, request_id }),
        }
    }

    /// Frees the key of a request that was never dispatched.
    ///
    /// Only the node in the intent can release it, and an outcome is never replaced by a release. An intent that is not
    /// part of a commit yet is dropped; one in the outstanding commit is released by the next batch.
    pub(super) fn release_reservation(
        &mut self,
        node: NodeId,
        request_id: RequestId,
        key: &str,
        actions: &mut Vec<JournalAction>,
    ) {
        if !matches!(self.phase, OwnershipPhase::Owning { .. }) {
            return;
        }
        let in_flight = self.is_in_commit(request_id);
        let entry = self
            .index
            .get_mut(key)
            .filter(|entry| entry.request_id == request_id && entry.node == node);
        match entry.map(|entry| (&mut entry.state, &mut entry.end_pending)) {
            Some((KeyState::Reserving { released }, _)) if in_flight => *released = true,
            Some((KeyState::Reserving { .. }, _)) => {
                self.pending.retain(|record| record.request_id != request_id);
                self.index.remove(key);
                actions.push(JournalAction::Recorded { node, request_id });
            }
            Some((KeyState::Running | KeyState::Unresolved, end_pending)) => {
                if !std::mem::replace(end_pending, true) {
                    self.add_release(key, request_id, node);
                }
            }
            Some((KeyState::Ended(_), _)) | None => {
                actions.push(JournalAction::Recorded { node, request_id });
            }
        }
    }

    pub(super) fn add_release(&mut self, key: &str, request_id: RequestId, reporter: NodeId) {
        let kind = PendingKind::Released { reporter };
        self.pending.push_back(PendingRecord { key: key.into(), request_id, kind });
    }

    fn is_in_commit(&self, request_id: RequestId) -> bool {
        let records = self.in_flight.iter().flat_map(|in_flight| &in_flight.batch.records);
        records.into_iter().any(|record| record.request_id == request_id)
    }

    /// Drops pending intents whose deadline has passed: their nodes have refused the requests, and the intents are
    /// neither durable nor part of the outstanding commit.
    pub(super) fn drop_expired_intents(&mut self, now: Instant) {
        let mut dropped = Vec::new();
        self.pending.retain(|record| {
            let expired =
                matches!(&record.kind, PendingKind::Intent { deadline, .. } if *deadline <= now);
            if expired {
                dropped.push(record.key.clone());
            }
            !expired
        });
        for key in dropped {
            self.index.remove(&key);
            let waiting = self.waiters.remove(&key).unwrap_or_default();
            self.waiter_count -= waiting.len();
        }
    }
}

/// Returns the result of a reservation whose key is in the index, or `None` if its own intent is not committed yet.
///
/// A resent reservation by the node and request in the intent is granted again, also by a successor: the intent is
/// durable and contains this node, which dispatches the request id once. No other request is granted the key.
fn result_for_known_key(
    entry: &KeyEntry,
    node: &str,
    reservation: &Reservation,
) -> Option<ReserveResult> {
    let is_same_request = entry.request_id == reservation.request_id && entry.node == node;
    let request_id = entry.request_id;
    match &entry.state {
        _ if entry.body_hash != reservation.body_hash => Some(ReserveResult::OtherBody),
        KeyState::Reserving { .. } if is_same_request => None,
        KeyState::Running | KeyState::Unresolved if is_same_request => Some(ReserveResult::Granted),
        KeyState::Reserving { .. } | KeyState::Running => {
            Some(ReserveResult::Running { request_id, node: entry.node.clone() })
        }
        KeyState::Unresolved => {
            Some(ReserveResult::Ended { request_id, outcome: KnownOutcome::Unknown })
        }
        KeyState::Ended(outcome) => {
            Some(ReserveResult::Ended { request_id, outcome: outcome.clone() })
        }
    }
}

/// Returns whether a reported outcome replaces the state of a key. An answer is final; an unknown outcome can still be
/// replaced by an answer.
fn can_accept_outcome(state: &KeyState, outcome: &KnownOutcome) -> bool {
    match state {
        KeyState::Running | KeyState::Unresolved => true,
        KeyState::Ended(KnownOutcome::Unknown) => *outcome != KnownOutcome::Unknown,
        KeyState::Ended(KnownOutcome::Answered { .. }) | KeyState::Reserving { .. } => false,
    }
}

fn drop_large_body(mut outcome: KnownOutcome) -> KnownOutcome {
    if let KnownOutcome::Answered { body, .. } = &mut outcome {
        body.take_if(|body| body.len() > MAX_STORED_BODY_BYTES);
    }
    outcome
}
