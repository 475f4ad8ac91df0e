use super::key_entry::{BatchId, KeyState};
use super::key_index::KeyIndex;
use super::ownership::{Claim, Phase};
use super::pending::{FrozenBatch, PendingRecord};
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

// Two shards at the default of 150 commits per second in all.
const DEFAULT_INTERVAL: Duration = Duration::from_nanos(13_333_334);
const DEFAULT_RETENTION: Duration = Duration::from_hours(24);
const DEFAULT_INDEX_LIMIT: usize = 1_000_000;
// A table answer that takes longer counts as lost; the row is read back then.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);
const FIRST_RETRY: Duration = Duration::from_millis(50);
// A returning table is used again within 2 s, well before the 5 s that a take-over may take.
const LONGEST_RETRY: Duration = Duration::from_secs(2);
// Bounds the reservations that wait for a claim; senders resend what is dropped.
const BACKLOG_LIMIT: usize = 4_096;

/// Table call whose result is outstanding.
#[derive(Debug, Clone, Copy)]
pub(super) struct OpenCall {
    call: TableCallId,
    due: Instant,
}

/// State of a shard for `/dump`.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize)]
pub struct JournalSnapshot {
    /// The shard.
    pub shard: ShardId,
    /// Epoch of the ownership, if this node owns the shard.
    pub epoch: Option<Epoch>,
    /// Keys in the index.
    pub keys: usize,
    /// Batch rows that are retained in the table.
    pub batches: usize,
    /// Records that wait for a commit.
    pub pending: usize,
    /// Commits that succeeded in this ownership.
    pub commits: u64,
}

/// Owner of one journal shard: records intents, outcomes and releases of idempotency keys in the table.
///
/// Events and the present time go in, table requests and answers come out. One table call is outstanding at a
/// time. Reservations that wait for a commit count towards the index limit; at the limit new ones get
/// [`ReserveResult::Full`]. While the shard claims its ownership at most 4,096 reservations wait and further ones
/// are dropped, because their senders resend them.
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
    pub(super) interval: Duration,
    pub(super) retention: Duration,
    pub(super) index_limit: usize,
    clock: Option<(Instant, u64)>,
    pub(super) phase: Phase,
    pub(super) index: KeyIndex,
    pub(super) pending: VecDeque<PendingRecord>,
    pub(super) frozen: Option<FrozenBatch>,
    pub(super) deletions: VecDeque<BatchId>,
    pub(super) backlog: VecDeque<(NodeId, Reservation, Instant)>,
    pub(super) waiters: BTreeMap<Arc<str>, Vec<(NodeId, RequestId)>>,
    pub(super) waiter_count: usize,
    pub(super) next_commit_at: Option<Instant>,
    pub(super) retry_at: Option<Instant>,
    back_off: BackOff,
    rng: ChaCha8Rng,
    pub(super) commits: u64,
    open_call: Option<OpenCall>,
    next_call: TableCallId,
}

impl JournalShard {
    /// Creates a shard that this node does not own yet.
    pub fn new(shard: ShardId, node: NodeId, incarnation: Incarnation) -> Self {
        let seed = [&shard.to_le_bytes()[..], node.as_bytes(), &incarnation.to_le_bytes()];
        Self {
            shard,
            incarnation,
            interval: DEFAULT_INTERVAL,
            retention: DEFAULT_RETENTION,
            index_limit: DEFAULT_INDEX_LIMIT,
            clock: None,
            phase: Phase::Idle,
            index: KeyIndex::default(),
            pending: VecDeque::new(),
            frozen: None,
            deletions: VecDeque::new(),
            backlog: VecDeque::new(),
            waiters: BTreeMap::new(),
            waiter_count: 0,
            next_commit_at: None,
            retry_at: None,
            back_off: BackOff::new(FIRST_RETRY, LONGEST_RETRY),
            rng: ChaCha8Rng::seed_from_u64(stable_hash(&seed)),
            commits: 0,
            open_call: None,
            next_call: 0,
            node,
        }
    }

    /// Sets the shortest time between two commits.
    #[must_use]
    pub fn with_commit_interval(mut self, interval: Duration) -> Self {
        self.interval = interval;
        self
    }

    /// Sets how long keys are kept. It must exceed the longest deadline of a request, because a key that is
    /// forgotten while its request runs could be granted again.
    #[must_use]
    pub fn with_retention(mut self, retention: Duration) -> Self {
        self.retention = retention;
        self
    }

    /// Sets the largest number of keys in the index.
    #[must_use]
    pub fn with_index_limit(mut self, index_limit: usize) -> Self {
        self.index_limit = index_limit;
        self
    }

    /// Sets the wall-clock time at an instant. Without it batches carry no time and are never deleted.
    #[must_use]
    pub fn with_wall_clock(mut self, at: Instant, unix_ms: u64) -> Self {
        self.clock = Some((at, unix_ms));
        self
    }

    /// Takes one event and appends the actions that follow from it.
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
                self.accept_reservation(node, reservation, deadline, actions);
            }
            JournalEvent::Outcome { node, outcome } => self.outcome(node, outcome, actions),
            JournalEvent::Release { node, request_id, key } => {
                self.release(node, request_id, &key, actions);
            }
            JournalEvent::NodeGone { node } => self.node_gone(&node),
            JournalEvent::TableResponse { call, result } => {
                // The number tells apart the answer of a call that already counts as lost.
                if self.open_call.is_some_and(|open| open.call == call) {
                    self.open_call = None;
                    self.table_result(now, result, actions);
                }
            }
            JournalEvent::Tick => {}
        }
        self.advance(now, actions);
    }

    /// Returns when the next [`JournalEvent::Tick`] is due.
    pub fn next_wakeup(&self) -> Option<Instant> {
        if let Some(open) = self.open_call {
            return Some(open.due);
        }
        match self.phase {
            Phase::Idle => None,
            Phase::Owning { .. } if !self.has_work() => None,
            _ => self.retry_at.max(self.next_commit_at),
        }
    }

    /// Returns the state for `/dump`.
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

    pub(super) fn claim(&self) -> Option<&Claim> {
        match &self.phase {
            Phase::Owning { claim, .. } => Some(claim),
            _ => None,
        }
    }

    pub(super) fn unix_ms(&self, now: Instant) -> u64 {
        self.clock.map_or(0, |(at, unix_ms)| {
            unix_ms + now.saturating_duration_since(at).as_millis() as u64
        })
    }

    pub(super) fn call(
        &mut self,
        now: Instant,
        request: TableRequest,
        actions: &mut Vec<JournalAction>,
    ) {
        let call = self.next_call;
        self.next_call += 1;
        self.open_call = Some(OpenCall { call, due: now + CALL_TIMEOUT });
        actions.push(JournalAction::Table { call, request });
    }

    pub(super) fn forget_open_call(&mut self) {
        self.open_call = None;
    }

    pub(super) fn retry_later(&mut self, now: Instant) {
        self.retry_at = Some(now + self.back_off.next_delay(&mut self.rng));
    }

    pub(super) fn retry_after(&mut self, now: Instant, longest: Duration) {
        self.retry_at = Some(now + jittered(longest, &mut self.rng));
    }

    pub(super) fn end_retries(&mut self) {
        self.back_off.reset();
        self.retry_at = None;
    }

    fn table_result(
        &mut self,
        now: Instant,
        result: TableResult,
        actions: &mut Vec<JournalAction>,
    ) {
        match self.phase {
            Phase::Idle => {}
            Phase::Owning { .. } => self.commit_result(now, result, actions),
            _ => self.claim_result(now, result, actions),
        }
    }

    fn advance(&mut self, now: Instant, actions: &mut Vec<JournalAction>) {
        if let Some(open) = self.open_call {
            if now < open.due {
                return;
            }
            self.open_call = None;
            self.table_result(now, TableResult::OutcomeUnknown, actions);
        }
        if self.open_call.is_some() || self.retry_at.is_some_and(|at| now < at) {
            return;
        }
        match self.phase {
            Phase::Idle => {}
            Phase::Owning { .. } => self.advance_commit(now, actions),
            _ => self.advance_claim(now, actions),
        }
    }

    pub(super) fn accept_reservation(
        &mut self,
        node: NodeId,
        reservation: Reservation,
        deadline: Instant,
        actions: &mut Vec<JournalAction>,
    ) {
        match self.phase {
            Phase::Idle => {
                reply(actions, node, reservation.request_id, ReserveResult::NotOwner);
            }
            Phase::Owning { .. } => self.reserve(node, reservation, deadline, actions),
            _ if self.backlog.len() < BACKLOG_LIMIT => {
                self.backlog.push_back((node, reservation, deadline));
            }
            _ => {}
        }
    }

    fn node_gone(&mut self, node: &str) {
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
