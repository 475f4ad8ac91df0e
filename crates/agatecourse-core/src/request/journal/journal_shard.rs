use super::key_entry::{BatchId, KeyState};
use super::key_index::KeyIndex;
use super::ownership::{OwnershipClaim, OwnershipPhase};
use super::pending::{InFlightBatch, PendingRecord};
use super::{JournalAction, JournalEvent, TableCallId, TableRequest, TableResult};
use crate::process::{BackOff, jittered};
use agatecourse_types::{Epoch, Incarnation, NodeId, RequestId, ShardId, stable_hash};
use agatecourse_wire::request::{Reservation, ReserveReply, ReserveResult};
use rand_chacha::ChaCha8Rng;
use rand_core::SeedableRng;
use serde::Serialize;
use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::time::{Duration, Instant};

// Two shards share the default budget of 150 commits/s.
const DEFAULT_COMMIT_INTERVAL: Duration = Duration::from_nanos(13_333_334);
const DEFAULT_RETENTION: Duration = Duration::from_hours(24);
const DEFAULT_INDEX_LIMIT: usize = 1_000_000;
// A response that takes longer is considered lost; the row is then read to determine whether the call was applied.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);
const INITIAL_RETRY_DELAY: Duration = Duration::from_millis(50);
// After an outage the table is used again within 2 s, well within the limit of 5 s for a takeover.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(2);
// Maximum number of reservations that wait while the shard is claimed; senders resend those that are dropped.
const BACKLOG_LIMIT: usize = 4_096;

/// Table request that has not been answered yet.
#[derive(Debug, Clone, Copy)]
pub(super) struct OutstandingCall {
    call: TableCallId,
    times_out_at: Instant,
}

/// State of a journal shard as shown by `/dump`.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize)]
pub struct JournalSnapshot {
    /// Shard of the journal, from 0.
    pub shard: ShardId,
    /// Epoch that this node claimed; absent unless it owns the shard.
    pub epoch: Option<Epoch>,
    /// Number of idempotency keys in the index.
    pub keys: usize,
    /// Number of batch rows within the retention period.
    pub batches: usize,
    /// Number of records that wait for the next batch.
    pub pending: usize,
    /// Number of successful commits since this node became the owner.
    pub commits: u64,
}

/// Owner of one journal shard: records intents, outcomes and releases of idempotency keys in the table.
///
/// The shard performs no I/O: [`on_event`](Self::on_event) takes an event and the current time and returns table
/// requests and replies as actions. At most one table request is outstanding at a time. Reservations that wait for a
/// commit count towards the index limit; at the limit new ones are refused with [`ReserveResult::Full`]. While the
/// shard is being claimed, at most 4,096 reservations wait; further ones are dropped, and their senders
/// resend them.
///
/// ```
/// use agatecourse_core::request::journal::{JournalAction, JournalEvent, JournalShard};
/// use std::time::Instant;
///
/// let mut shard = JournalShard::new(0, "node-a".to_string(), 7);
/// let mut actions = Vec::new();
/// shard.on_event(Instant::now(), JournalEvent::BecomeOwner, &mut actions);
/// assert!(matches!(actions[0], JournalAction::Table { .. }));
/// ```
#[derive(Debug, Clone)]
pub struct JournalShard {
    pub(super) shard: ShardId,
    pub(super) node: NodeId,
    pub(super) incarnation: Incarnation,
    pub(super) commit_interval: Duration,
    pub(super) retention: Duration,
    pub(super) index_limit: usize,
    wall_clock: Option<(Instant, u64)>,
    pub(super) phase: OwnershipPhase,
    pub(super) index: KeyIndex,
    pub(super) pending: VecDeque<PendingRecord>,
    pub(super) in_flight: Option<InFlightBatch>,
    pub(super) deletions: VecDeque<BatchId>,
    pub(super) backlog: VecDeque<(NodeId, Reservation, Instant)>,
    pub(super) waiters: BTreeMap<Arc<str>, Vec<(NodeId, RequestId)>>,
    pub(super) waiter_count: usize,
    pub(super) next_commit_at: Option<Instant>,
    pub(super) retry_at: Option<Instant>,
    back_off: BackOff,
    rng: ChaCha8Rng,
    pub(super) commits: u64,
    outstanding_call: Option<OutstandingCall>,
    next_call: TableCallId,
}

impl JournalShard {
    /// Creates a shard that is not owned by this node until [`JournalEvent::BecomeOwner`] and a successful claim.
    pub fn new(shard: ShardId, node: NodeId, incarnation: Incarnation) -> Self {
        let seed = [&shard.to_le_bytes()[..], node.as_bytes(), &incarnation.to_le_bytes()];
        Self {
            shard,
            incarnation,
            commit_interval: DEFAULT_COMMIT_INTERVAL,
            retention: DEFAULT_RETENTION,
            index_limit: DEFAULT_INDEX_LIMIT,
            wall_clock: None,
            phase: OwnershipPhase::Idle,
            index: KeyIndex::default(),
            pending: VecDeque::new(),
            in_flight: None,
            deletions: VecDeque::new(),
            backlog: VecDeque::new(),
            waiters: BTreeMap::new(),
            waiter_count: 0,
            next_commit_at: None,
            retry_at: None,
            back_off: BackOff::new(INITIAL_RETRY_DELAY, MAX_RETRY_DELAY),
            rng: ChaCha8Rng::seed_from_u64(stable_hash(&seed)),
            commits: 0,
            outstanding_call: None,
            next_call: 0,
            node,
        }
    }

    /// Sets the minimum time between the starts of two commits; 13.3 ms by default.
    #[must_use]
    pub fn with_commit_interval(mut self, commit_interval: Duration) -> Self {
        self.commit_interval = commit_interval;
        self
    }

    /// Sets how long keys are kept; 24 hours by default. It must exceed the longest deadline of a request, because a
    /// key that expires while its request is running could be granted again.
    #[must_use]
    pub fn with_retention(mut self, retention: Duration) -> Self {
        self.retention = retention;
        self
    }

    /// Sets the maximum number of keys in the index; 1,000,000 by default.
    #[must_use]
    pub fn with_index_limit(mut self, index_limit: usize) -> Self {
        self.index_limit = index_limit;
        self
    }

    /// Sets the wall-clock time of an instant. Without it batches have no timestamp and are never deleted.
    #[must_use]
    pub fn with_wall_clock(mut self, at: Instant, unix_ms: u64) -> Self {
        self.wall_clock = Some((at, unix_ms));
        self
    }

    /// Handles an event and appends the resulting actions.
    pub fn on_event(
        &mut self,
        now: Instant,
        event: JournalEvent,
        actions: &mut Vec<JournalAction>,
    ) {
        match event {
            JournalEvent::BecomeOwner => self.start_claim(),
            JournalEvent::Resign => self.resign(actions),
            JournalEvent::Reserve { node, reservation } => {
                let deadline = now + reservation.deadline_in;
                self.handle_reservation(node, reservation, deadline, actions);
            }
            JournalEvent::Outcome { node, outcome } => self.record_outcome(node, outcome, actions),
            JournalEvent::Release { node, request_id, key } => {
                self.release_reservation(node, request_id, &key, actions);
            }
            JournalEvent::NodeGone { node } => self.handle_node_gone(&node),
            JournalEvent::TableResponse { call, result } => {
                // Ignores the late response of a call that has timed out.
                if self.outstanding_call.is_some_and(|outstanding| outstanding.call == call) {
                    self.outstanding_call = None;
                    self.handle_table_result(now, result, actions);
                }
            }
            JournalEvent::Tick => {}
        }
        self.advance(now, actions);
    }

    /// Returns when the next [`JournalEvent::Tick`] is due.
    pub fn next_wakeup(&self) -> Option<Instant> {
        if let Some(outstanding) = self.outstanding_call {
            return Some(outstanding.times_out_at);
        }
        match self.phase {
            OwnershipPhase::Idle => None,
            OwnershipPhase::Owning { .. } if !self.has_work() => None,
            _ => self.retry_at.max(self.next_commit_at),
        }
    }

    /// Returns the state that `/dump` shows.
    pub fn snapshot(&self) -> JournalSnapshot {
        JournalSnapshot {
            shard: self.shard,
            epoch: self.claim().map(|claim| claim.epoch),
            keys: self.index.len(),
            batches: self.index.batch_count(),
            pending: self.pending.len(),
            commits: self.commits,
        }
    }

    pub(super) fn claim(&self) -> Option<&OwnershipClaim> {
        match &self.phase {
            OwnershipPhase::Owning { claim, .. } => Some(claim),
            _ => None,
        }
    }

    pub(super) fn unix_ms(&self, now: Instant) -> u64 {
        self.wall_clock.map_or(0, |(at, unix_ms)| {
            unix_ms + now.saturating_duration_since(at).as_millis() as u64
        })
    }

    pub(super) fn send_table_request(
        &mut self,
        now: Instant,
        request: TableRequest,
        actions: &mut Vec<JournalAction>,
    ) {
        let call = self.next_call;
        self.next_call += 1;
        self.outstanding_call = Some(OutstandingCall { call, times_out_at: now + CALL_TIMEOUT });
        actions.push(JournalAction::Table { call, request });
    }

    pub(super) fn discard_outstanding_call(&mut self) {
        self.outstanding_call = None;
    }

    pub(super) fn retry_with_backoff(&mut self, now: Instant) {
        self.retry_at = Some(now + self.back_off.next_delay(&mut self.rng));
    }

    pub(super) fn retry_after_delay(&mut self, now: Instant, max_delay: Duration) {
        self.retry_at = Some(now + jittered(max_delay, &mut self.rng));
    }

    pub(super) fn reset_backoff(&mut self) {
        self.back_off.reset();
        self.retry_at = None;
    }

    fn handle_table_result(
        &mut self,
        now: Instant,
        result: TableResult,
        actions: &mut Vec<JournalAction>,
    ) {
        match self.phase {
            OwnershipPhase::Idle => {}
            OwnershipPhase::Owning { .. } => self.handle_commit_result(now, result, actions),
            _ => self.handle_claim_result(now, result, actions),
        }
    }

    fn advance(&mut self, now: Instant, actions: &mut Vec<JournalAction>) {
        if let Some(outstanding) = self.outstanding_call {
            if now < outstanding.times_out_at {
                return;
            }
            self.outstanding_call = None;
            self.handle_table_result(now, TableResult::OutcomeUnknown, actions);
        }
        if self.outstanding_call.is_some() || self.retry_at.is_some_and(|at| now < at) {
            return;
        }
        match self.phase {
            OwnershipPhase::Idle => {}
            OwnershipPhase::Owning { .. } => self.advance_commit(now, actions),
            _ => self.advance_claim(now, actions),
        }
    }

    pub(super) fn handle_reservation(
        &mut self,
        node: NodeId,
        reservation: Reservation,
        deadline: Instant,
        actions: &mut Vec<JournalAction>,
    ) {
        match self.phase {
            OwnershipPhase::Idle => {
                reply(actions, node, reservation.request_id, ReserveResult::NotOwner);
            }
            OwnershipPhase::Owning { .. } => self.reserve(node, reservation, deadline, actions),
            _ if self.backlog.len() < BACKLOG_LIMIT => {
                self.backlog.push_back((node, reservation, deadline));
            }
            _ => {}
        }
    }

    fn handle_node_gone(&mut self, node: &str) {
        for entry in self.index.values_mut() {
            if entry.node == node && entry.state == KeyState::Running {
                entry.state = KeyState::Unresolved;
            }
        }
    }
}

pub(super) fn reply(
    actions: &mut Vec<JournalAction>,
    node: NodeId,
    request_id: RequestId,
    result: ReserveResult,
) {
    actions.push(JournalAction::Reply { node, reply: ReserveReply { request_id, result } });
}
