use super::request_state::RunningRequest;
use agatecourse_types::RequestId;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Instant;

/// Largest number of granted requests; at the bound, no further grants are given or taken over.
pub(super) const IN_FLIGHT_LIMIT: usize = 65_536;
/// Number of ended requests that are remembered, so that a late duplicate of their ticket is ignored; at the
/// bound, the oldest is forgotten.
const ENDED_LIMIT: usize = 4_096;

/// Granted requests of a pool.
#[derive(Debug, Clone, Default)]
pub(super) struct InFlightTable {
    running: BTreeMap<RequestId, RunningRequest>,
    by_drop_at: BTreeSet<(Instant, RequestId)>,
    ended: BTreeSet<RequestId>,
    ended_order: VecDeque<RequestId>,
}

impl InFlightTable {
    /// Returns the number of granted requests.
    pub(super) fn len(&self) -> usize {
        self.running.len()
    }

    /// Returns a granted request.
    pub(super) fn get(&self, request_id: RequestId) -> Option<&RunningRequest> {
        self.running.get(&request_id)
    }

    /// Returns a granted request for changes other than of its `drop_at`.
    pub(super) fn get_mut(&mut self, request_id: RequestId) -> Option<&mut RunningRequest> {
        self.running.get_mut(&request_id)
    }

    /// Returns all granted requests.
    pub(super) fn values(&self) -> impl Iterator<Item = &RunningRequest> {
        self.running.values()
    }

    /// Adds a granted request.
    pub(super) fn insert(&mut self, running: RunningRequest) {
        let request_id = running.ticket.request_id;
        self.by_drop_at.insert((running.drop_at, request_id));
        self.running.insert(request_id, running);
    }

    /// Removes a granted request.
    pub(super) fn remove(&mut self, request_id: RequestId) -> Option<RunningRequest> {
        let running = self.running.remove(&request_id)?;
        self.by_drop_at.remove(&(running.drop_at, request_id));
        Some(running)
    }

    /// Changes the time at which a grant is taken back.
    pub(super) fn set_drop_at(&mut self, request_id: RequestId, drop_at: Instant) {
        if let Some(running) = self.running.get_mut(&request_id) {
            self.by_drop_at.remove(&(running.drop_at, request_id));
            running.drop_at = drop_at;
            self.by_drop_at.insert((drop_at, request_id));
        }
    }

    /// Returns the granted request that is taken back first.
    pub(super) fn earliest_drop(&self) -> Option<(Instant, RequestId)> {
        self.by_drop_at.first().copied()
    }

    /// Remembers that a request has ended.
    pub(super) fn remember_ended(&mut self, request_id: RequestId) {
        if self.ended.insert(request_id) {
            self.ended_order.push_back(request_id);
        }
        if self.ended_order.len() > ENDED_LIMIT
            && let Some(oldest) = self.ended_order.pop_front()
        {
            self.ended.remove(&oldest);
        }
    }

    /// Returns whether a request is known to have ended.
    pub(super) fn has_ended(&self, request_id: RequestId) -> bool {
        self.ended.contains(&request_id)
    }
}
