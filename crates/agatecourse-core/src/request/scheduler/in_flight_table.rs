use super::request_state::RunningRequest;
use agatecourse_types::RequestId;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Instant;

/// Largest number of granted requests; at the bound, the pool grants nothing and takes over no grants.
pub(super) const IN_FLIGHT_LIMIT: usize = 65_536;
/// Largest number of ended requests kept to ignore late duplicates of their tickets; at the bound, the oldest is
/// removed.
const ENDED_LIMIT: usize = 4_096;

/// Granted requests of a pool, indexed by id and by the time at which the grant is dropped.
#[derive(Debug, Clone, Default)]
pub(super) struct InFlightTable {
    running: BTreeMap<RequestId, RunningRequest>,
    by_drop_at: BTreeSet<(Instant, RequestId)>,
    ended: BTreeSet<RequestId>,
    ended_order: VecDeque<RequestId>,
}

impl InFlightTable {
    /// Returns the number of requests in flight.
    pub(super) fn len(&self) -> usize {
        self.running.len()
    }

    /// Returns a granted request, or `None` if it has ended or was never granted.
    pub(super) fn get(&self, request_id: RequestId) -> Option<&RunningRequest> {
        self.running.get(&request_id)
    }

    /// Returns a granted request for changes; `drop_at` is changed by [`Self::set_drop_at`] only, which updates
    /// the index.
    pub(super) fn get_mut(&mut self, request_id: RequestId) -> Option<&mut RunningRequest> {
        self.running.get_mut(&request_id)
    }

    /// Returns all granted requests in the order of their ids.
    pub(super) fn values(&self) -> impl Iterator<Item = &RunningRequest> {
        self.running.values()
    }

    /// Adds a granted request under its id and its `drop_at`.
    pub(super) fn insert(&mut self, running: RunningRequest) {
        let request_id = running.ticket.request_id;
        self.by_drop_at.insert((running.drop_at, request_id));
        self.running.insert(request_id, running);
    }

    /// Removes a granted request from both indexes.
    pub(super) fn remove(&mut self, request_id: RequestId) -> Option<RunningRequest> {
        let running = self.running.remove(&request_id)?;
        self.by_drop_at.remove(&(running.drop_at, request_id));
        Some(running)
    }

    /// Changes the time at which a grant without an outcome is dropped.
    pub(super) fn set_drop_at(&mut self, request_id: RequestId, drop_at: Instant) {
        if let Some(running) = self.running.get_mut(&request_id) {
            self.by_drop_at.remove(&(running.drop_at, request_id));
            running.drop_at = drop_at;
            self.by_drop_at.insert((drop_at, request_id));
        }
    }

    /// Returns the request whose grant is dropped first, with the time.
    pub(super) fn earliest_drop(&self) -> Option<(Instant, RequestId)> {
        self.by_drop_at.first().copied()
    }

    /// Records that a request has ended, so that late duplicates of its ticket are ignored.
    pub(super) fn record_ended(&mut self, request_id: RequestId) {
        if self.ended.insert(request_id) {
            self.ended_order.push_back(request_id);
        }
        if self.ended_order.len() > ENDED_LIMIT
            && let Some(oldest) = self.ended_order.pop_front()
        {
            self.ended.remove(&oldest);
        }
    }

    /// Returns whether a request is among the last ended ones.
    pub(super) fn has_ended(&self, request_id: RequestId) -> bool {
        self.ended.contains(&request_id)
    }
}
