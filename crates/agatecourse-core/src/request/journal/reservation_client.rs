use agatecourse_types::{RequestId, ResultCode, ShardId, stable_hash};
use agatecourse_wire::PeerMessage;
use agatecourse_wire::request::{
    KnownOutcome, Reservation, ReservationOutcome, ReserveReply, ReserveResult,
};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::{Duration, Instant};

// Several attempts fit into the shortest usual deadlines; 3,000 waiting requests send 12,000 messages/s at worst.
const RESEND_INTERVAL: Duration = Duration::from_millis(250);
// A report that no owner has taken by then is dropped; its key stays blocked, which is safe.
const REPORT_TIME: Duration = Duration::from_mins(10);
// At the bound the oldest is forgotten; a late grant for it is ignored, which is safe.
const REFUSED_LIMIT: usize = 16_384;

/// Returns the journal shard of a key.
pub fn shard_of_key(key: &str, shards: u32) -> ShardId {
    (stable_hash(&[b"journal", key.as_bytes()]) % u64::from(shards.max(1))) as ShardId
}

/// Output of a [`ReservationClient`].
#[derive(Debug, Clone, PartialEq)]
pub enum ReservationAction {
    /// Send a message to the owner of a shard, which may be this node.
    Send {
        /// The shard.
        shard: ShardId,
        /// The message.
        message: Box<PeerMessage>,
    },
    /// The request may be dispatched, once. The caller reports its end or gives it back.
    Dispatch {
        /// The request.
        request_id: RequestId,
    },
    /// An earlier request with the key has ended with this outcome, which answers the request.
    Answer {
        /// The request.
        request_id: RequestId,
        /// The earlier request.
        earlier: RequestId,
        /// Its outcome.
        outcome: KnownOutcome,
    },
    /// The request is refused and was not dispatched.
    Refuse {
        /// The request.
        request_id: RequestId,
        /// Result code.
        code: ResultCode,
    },
}

/// Where a reserved request stands at its entry node.
#[derive(Debug, Clone, PartialEq)]
enum Stage {
    /// No grant yet; `earlier_runs` after an owner said that an earlier request holds the key.
    Waiting { deadline: Instant, earlier_runs: bool },
    /// The request was handed out for dispatch.
    Dispatched,
    /// The outcome is resent until it is recorded.
    Reporting { outcome: KnownOutcome, until: Instant },
    /// The release is resent until it is recorded; the request was not and will not be dispatched.
    Releasing { until: Instant },
}

/// One reserved request.
#[derive(Debug, Clone, PartialEq)]
struct Open {
    key: String,
    body_hash: u64,
    stage: Stage,
    next_send: Instant,
}

/// Entry node's side of the journal: asks for reservations and reports how the requests ended.
///
/// A request id is handed out for dispatch at most once, whatever the network repeats: only the first `Granted` in
/// the waiting stage does so, and no stage leads back to it. A release is sent only for a request that never was
/// handed out, or that its caller gave back before any byte was sent.
///
/// The number of open requests is bounded by the node's limit on concurrent requests; reports that wait for an owner
/// are dropped after 10 minutes.
#[derive(Debug, Clone)]
pub struct ReservationClient {
    shards: u32,
    open: BTreeMap<RequestId, Open>,
    /// Requests that were refused undispatched, with their keys, in the order of their refusal. A grant that arrives
    /// later is given back.
    refused: BTreeMap<RequestId, String>,
    refused_order: VecDeque<RequestId>,
}

impl ReservationClient {
    /// Creates a client for a journal with the given number of shards.
    pub fn new(shards: u32) -> Self {
        let (open, refused) = (BTreeMap::new(), BTreeMap::new());
        Self { shards, open, refused, refused_order: VecDeque::new() }
    }

    /// Returns the number of requests that wait, run or are being reported.
    pub fn len(&self) -> usize {
        self.open.len()
    }

    /// Returns whether no request is open.
    pub fn is_empty(&self) -> bool {
        self.open.is_empty()
    }

    /// Starts a reservation.
    pub fn reserve(
        &mut self,
        now: Instant,
        reservation: Reservation,
        actions: &mut Vec<ReservationAction>,
    ) {
        let Reservation { request_id, key, body_hash, deadline_in } = reservation;
        let stage = Stage::Waiting { deadline: now + deadline_in, earlier_runs: false };
        self.open.entry(request_id).or_insert(Open { key, body_hash, stage, next_send: now });
        self.tick(now, actions);
    }

    /// Reports the end of a request that was dispatched.
    pub fn report_outcome(
        &mut self,
        now: Instant,
        request_id: RequestId,
        outcome: KnownOutcome,
        actions: &mut Vec<ReservationAction>,
    ) {
        let until = now + REPORT_TIME;
        self.report(now, request_id, Stage::Reporting { outcome, until }, actions);
    }

    /// Gives back a request that was handed out for dispatch, but of which no byte was sent.
    pub fn release_undispatched(
        &mut self,
        now: Instant,
        request_id: RequestId,
        actions: &mut Vec<ReservationAction>,
    ) {
        self.report(now, request_id, Stage::Releasing { until: now + REPORT_TIME }, actions);
    }

    fn report(
        &mut self,
        now: Instant,
        request_id: RequestId,
        stage: Stage,
        actions: &mut Vec<ReservationAction>,
    ) {
        let Some(open) = self.open.get_mut(&request_id) else { return };
        if open.stage != Stage::Dispatched {
            return;
        }
        let released = matches!(stage, Stage::Releasing { .. });
        open.stage = stage;
        open.next_send = now;
        if released {
            let key = open.key.clone();
            self.remember_refused(request_id, key);
        }
        self.tick(now, actions);
    }

    /// Withdraws a request whose caller left before a grant.
    pub fn withdraw(
        &mut self,
        now: Instant,
        request_id: RequestId,
        actions: &mut Vec<ReservationAction>,
    ) {
        let waits = |open: &Open| matches!(open.stage, Stage::Waiting { .. });
        if self.open.get(&request_id).is_some_and(waits) {
            self.start_release(now, request_id);
            self.tick(now, actions);
        }
    }

    /// Takes the answer of a shard owner.
    pub fn on_reply(
        &mut self,
        now: Instant,
        reply: ReserveReply,
        actions: &mut Vec<ReservationAction>,
    ) {
        let ReserveReply { request_id, result } = reply;
        let Some(open) = self.open.get_mut(&request_id) else {
            self.give_back_late_grant(now, request_id, &result, actions);
            return;
        };
        let Stage::Waiting { deadline, earlier_runs } = &mut open.stage else { return };
        if now >= *deadline {
            return self.tick(now, actions);
        }
        match result {
            ReserveResult::Granted => {
                open.stage = Stage::Dispatched;
                actions.push(ReservationAction::Dispatch { request_id });
            }
            ReserveResult::Running { .. } => *earlier_runs = true,
            ReserveResult::Ended { request_id: earlier, outcome } => {
                // A request that saw its own outcome was dispatched; only a stale owner can say so here.
                if earlier != request_id {
                    self.open.remove(&request_id);
                    actions.push(ReservationAction::Answer { request_id, earlier, outcome });
                }
            }
            ReserveResult::OtherBody => self.refuse(request_id, ResultCode::KeyReused, actions),
            ReserveResult::Full => {
                self.refuse(request_id, ResultCode::JournalUnavailable, actions);
            }
            // The owner may have moved; the next attempt goes to the owner that is known then.
            ReserveResult::NotOwner => {}
        }
    }

    /// Takes the confirmation that an outcome or a release is durable or needless.
    pub fn on_recorded(&mut self, request_id: RequestId) {
        let reports =
            |open: &Open| matches!(open.stage, Stage::Reporting { .. } | Stage::Releasing { .. });
        if self.open.get(&request_id).is_some_and(reports) {
            self.open.remove(&request_id);
        }
    }

    /// Sends what is due and refuses requests whose deadline has passed.
    pub fn tick(&mut self, now: Instant, actions: &mut Vec<ReservationAction>) {
        let due: BTreeSet<RequestId> = self
            .open
            .iter()
            .filter(|(_, open)| open.due_at().is_some_and(|at| at <= now))
            .map(|(request_id, _)| *request_id)
            .collect();
        for request_id in due {
            self.tick_one(now, request_id, actions);
        }
    }

    /// Returns when [`ReservationClient::tick`] is due.
    pub fn next_wakeup(&self) -> Option<Instant> {
        self.open.values().filter_map(Open::due_at).min()
    }

    fn tick_one(
        &mut self,
        now: Instant,
        request_id: RequestId,
        actions: &mut Vec<ReservationAction>,
    ) {
        let Some(open) = self.open.get(&request_id) else { return };
        match &open.stage {
            Stage::Waiting { deadline, earlier_runs } if now >= *deadline => {
                let code = if *earlier_runs {
                    ResultCode::EarlierRunning
                } else {
                    ResultCode::JournalUnavailable
                };
                actions.push(ReservationAction::Refuse { request_id, code });
                self.start_release(now, request_id);
            }
            Stage::Reporting { until, .. } | Stage::Releasing { until } if now >= *until => {
                self.open.remove(&request_id);
                return;
            }
            _ => {}
        }
        self.send(now, request_id, actions);
    }

    fn send(&mut self, now: Instant, request_id: RequestId, actions: &mut Vec<ReservationAction>) {
        let Some(open) = self.open.get_mut(&request_id) else { return };
        open.next_send = now + RESEND_INTERVAL;
        let shard = shard_of_key(&open.key, self.shards);
        let (key, body_hash) = (open.key.clone(), open.body_hash);
        let message = match &open.stage {
            Stage::Waiting { deadline, .. } => {
                let deadline_in = deadline.saturating_duration_since(now);
                let reservation = Reservation { request_id, key, body_hash, deadline_in };
                PeerMessage::Reserve { shard, reservation }
            }
            Stage::Reporting { outcome, .. } => {
                let outcome = outcome.clone();
                PeerMessage::Outcome {
                    shard,
                    outcome: ReservationOutcome { request_id, key, outcome },
                }
            }
            Stage::Releasing { .. } => PeerMessage::Release { shard, request_id, key },
            Stage::Dispatched => return,
        };
        actions.push(ReservationAction::Send { shard, message: Box::new(message) });
    }

    fn refuse(
        &mut self,
        request_id: RequestId,
        code: ResultCode,
        actions: &mut Vec<ReservationAction>,
    ) {
        if let Some(open) = self.open.remove(&request_id) {
            self.remember_refused(request_id, open.key);
        }
        actions.push(ReservationAction::Refuse { request_id, code });
    }

    fn start_release(&mut self, now: Instant, request_id: RequestId) {
        let Some(open) = self.open.get_mut(&request_id) else { return };
        open.stage = Stage::Releasing { until: now + REPORT_TIME };
        open.next_send = now;
        let key = open.key.clone();
        self.remember_refused(request_id, key);
    }

    fn remember_refused(&mut self, request_id: RequestId, key: String) {
        if self.refused.insert(request_id, key).is_none() {
            self.refused_order.push_back(request_id);
        }
        if self.refused_order.len() > REFUSED_LIMIT
            && let Some(oldest) = self.refused_order.pop_front()
        {
            self.refused.remove(&oldest);
        }
    }

    /// A grant for a request that is not remembered as refused is ignored: it may repeat the grant of a request that
    /// ran, and a release would let its key run again.
    fn give_back_late_grant(
        &mut self,
        now: Instant,
        request_id: RequestId,
        result: &ReserveResult,
        actions: &mut Vec<ReservationAction>,
    ) {
        let Some(key) = self.refused.get(&request_id).filter(|_| *result == ReserveResult::Granted)
        else {
            return;
        };
        let stage = Stage::Releasing { until: now + REPORT_TIME };
        let open = Open { key: key.clone(), body_hash: 0, stage, next_send: now };
        self.open.insert(request_id, open);
        self.send(now, request_id, actions);
    }
}

impl Open {
    fn due_at(&self) -> Option<Instant> {
        match self.stage {
            Stage::Waiting { deadline, .. } => Some(deadline.min(self.next_send)),
            Stage::Dispatched => None,
            Stage::Reporting { .. } | Stage::Releasing { .. } => Some(self.next_send),
        }
    }
}
