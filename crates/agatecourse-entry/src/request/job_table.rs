use crate::process::PoolReply;
use agatecourse_types::{NodeId, PoolId, RequestId, TargetId, VersionId};
use agatecourse_wire::request::{InFlight, Registration, Ticket};
use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Instant;
use tokio::sync::mpsc;

/// A request of this node, with the data that a new pool owner needs.
#[derive(Debug)]
struct JobEntry {
    pool: PoolId,
    ticket: Ticket,
    deadline: Instant,
    replies: mpsc::Sender<PoolReply>,
    /// Target, version and time of the dispatch; absent while the request waits for a grant.
    dispatched: Option<(TargetId, VersionId, Instant)>,
}

/// Requests of this node that wait for a grant or run at a target.
///
/// The concurrency limits of the organisations bound its size.
#[derive(Debug, Default)]
pub(crate) struct JobTable(Mutex<HashMap<RequestId, JobEntry>>);

impl JobTable {
    /// Adds a request that waits for a grant, or replaces its entry when its ticket is submitted again.
    pub(crate) fn add_waiting(
        &self,
        pool: &PoolId,
        ticket: Ticket,
        deadline: Instant,
        replies: mpsc::Sender<PoolReply>,
    ) {
        let (request_id, pool) = (ticket.request_id, pool.clone());
        let entry = JobEntry { pool, ticket, deadline, replies, dispatched: None };
        self.lock().insert(request_id, entry);
    }

    /// Records the dispatch of a request.
    pub(crate) fn record_dispatch(&self, request_id: RequestId, target: &str, version: &str) {
        if let Some(entry) = self.lock().get_mut(&request_id) {
            entry.dispatched = Some((target.to_string(), version.to_string(), Instant::now()));
        }
    }

    pub(crate) fn remove(&self, request_id: RequestId) {
        self.lock().remove(&request_id);
    }

    /// Returns the pool of a request; `None` when the request is not in the table.
    pub(crate) fn pool_of(&self, request_id: RequestId) -> Option<PoolId> {
        self.lock().get(&request_id).map(|entry| entry.pool.clone())
    }

    /// Delivers a pool owner's reply to the task of a request; returns whether the reply was accepted.
    ///
    /// A reply to a dispatched request, other than a cancellation, is a repetition: it is accepted and dropped.
    pub(crate) fn deliver_reply(&self, request_id: RequestId, reply: PoolReply) -> bool {
        let table = self.lock();
        let Some(entry) = table.get(&request_id) else { return false };
        let repeated = entry.dispatched.is_some() && !matches!(reply, PoolReply::CancelRunning(_));
        repeated || entry.replies.try_send(reply).is_ok()
    }

    /// Lists the waiting and in-flight requests of a pool, to register them with its new owner.
    pub(crate) fn registration(&self, pool: &str) -> Registration {
        let now = Instant::now();
        let mut registration = Registration::default();
        for entry in self.lock().values().filter(|entry| entry.pool == pool) {
            let deadline_in = entry.deadline.saturating_duration_since(now);
            let ticket = Ticket { deadline_in, ..entry.ticket.clone() };
            match &entry.dispatched {
                None => registration.waiting.push(ticket),
                Some((target, version, at)) => registration.in_flight.push(InFlight {
                    ticket,
                    target: target.clone(),
                    version: version.clone(),
                    running_for: now.saturating_duration_since(*at),
                    written_tokens: 0,
                }),
            }
        }
        registration
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<RequestId, JobEntry>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Requests of this node that are registered with the new owner of a pool.
#[derive(Debug)]
pub(crate) struct PoolRegistration {
    pub(crate) pool: PoolId,
    pub(crate) owner: NodeId,
    pub(crate) registration: Registration,
}
