use agatecourse_types::{RequestId, ResultCode, ShardId, stable_hash};
use agatecourse_wire::PeerMessage;
use agatecourse_wire::request::{
    KnownOutcome, Reservation, ReservationOutcome, ReserveReply, ReserveResult,
};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::{Duration, Instant};

// Allows several attempts within the shortest usual deadlines; 3,000 waiting requests send at most 12,000 messages/s.
const RESEND_INTERVAL: Duration = Duration::from_millis(250);
// A report that no owner has confirmed by then is dropped. The key then stays reserved, which is safe.
const REPORT_TIMEOUT: Duration = Duration::from_mins(10);
// Above the limit the oldest refusal is removed. A late grant for it is then ignored, which is safe.
const MAX_REMEMBERED_REFUSALS: usize = 16_384;

/// Returns the journal shard that stores a key, from 0; a journal without shards is treated as one shard.
pub fn shard_of_key(key: &str, shards: u32) -> ShardId {
    (stable_hash(&[b"journal", key.as_bytes()]) % u64::from(shards.max(1))) as ShardId
}

/// Output of a [`ReservationClient`].
#[derive(Debug, Clone, PartialEq)]
pub enum ReservationAction {
    /// Send a message to the current owner of a shard, which may be this node.
    Send {
        /// Shard that stores the key of the request.
        shard: ShardId,
        /// Reservation, outcome or release for the owner.
        message: Box<PeerMessage>,
    },
    /// Dispatch the request, at most once. Report its end with [`ReservationClient::report_outcome`] or release it with
    /// [`ReservationClient::release_undispatched`].
    Dispatch {
        /// Request whose reservation was granted.
        request_id: RequestId,
    },
    /// Answer the request with the outcome of an earlier request with the same key.
    Answer {
        /// Request to answer.
        request_id: RequestId,
        /// Earlier request, which was dispatched.
        earlier: RequestId,
        /// Outcome of the earlier request.
        outcome: KnownOutcome,
    },
    /// Refuse the request, which was not dispatched.
    Refuse {
        /// Request to refuse.
        request_id: RequestId,
        /// Reason for the refusal, as sent to the caller.
        code: ResultCode,
    },
}

/// State of a reservation at the entry node of its request.
#[derive(Debug, Clone, PartialEq)]
enum RequestState {
    /// Not granted yet; `earlier_running` is set once an owner replies that an earlier request holds the key.
    Waiting { deadline: Instant, earlier_running: bool },
    /// [`ReservationAction::Dispatch`] was returned for the request.
    Dispatched,
    /// The outcome is resent until the owner confirms it or the time `until`.
    Reporting { outcome: KnownOutcome, until: Instant },
    /// The release is resent until the owner confirms it or the time `until`; the request is never dispatched.
    Releasing { until: Instant },
}

/// Request whose reservation or report is in progress.
#[derive(Debug, Clone, PartialEq)]
struct TrackedRequest {
    key: String,
    body_hash: u64,
    state: RequestState,
    next_send: Instant,
}

/// Client of the journal at an entry node: requests reservations and reports the outcomes of the requests.
///
/// [`ReservationAction::Dispatch`] is returned at most once for a request id, even if the network duplicates messages:
/// only the first `Granted` in the waiting state returns it, and no other state leads back to the waiting state. A
/// release is sent only for a request that was not dispatched, or of which no byte was sent to the target.
///
/// The node's limit on concurrent requests bounds the number of tracked requests; reports that no owner confirms are
/// dropped after 10 minutes.
#[derive(Debug, Clone)]
pub struct ReservationClient {
    shards: u32,
    requests: BTreeMap<RequestId, TrackedRequest>,
    /// Keys of requests that were refused or released without a dispatch. A grant that arrives later is released.
    /// `refused_order` lists the requests in the order of their refusal.
    refused: BTreeMap<RequestId, String>,
    refused_order: VecDeque<RequestId>,
}

impl ReservationClient {
    /// Creates a client for a journal with the given number of shards.
    pub fn new(shards: u32) -> Self {
        let (requests, refused) = (BTreeMap::new(), BTreeMap::new());
        Self { shards, requests, refused, refused_order: VecDeque::new() }
    }

    /// Returns the number of requests that wait for a grant, are running or have an unconfirmed report.
    pub fn len(&self) -> usize {
        self.requests.len()
    }

    /// Returns whether no request waits for a grant, is running or has an unconfirmed report.
    pub fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }

    /// Requests a reservation; it is resent until a reply arrives or its deadline passes.
    pub fn reserve(
        &mut self,
        now: Instant,
        reservation: Reservation,
        actions: &mut Vec<ReservationAction>,
    ) {
        let Reservation { request_id, key, body_hash, deadline_in } = reservation;
        let state = RequestState::Waiting { deadline: now + deadline_in, earlier_running: false };
        self.requests.entry(request_id).or_insert(TrackedRequest {
            key,
            body_hash,
            state,
            next_send: now,
        });
        self.tick(now, actions);
    }

    /// Reports the outcome of a dispatched request; it is resent until the owner confirms it.
    pub fn report_outcome(
        &mut self,
        now: Instant,
        request_id: RequestId,
        outcome: KnownOutcome,
        actions: &mut Vec<ReservationAction>,
    ) {
        let until = now + REPORT_TIMEOUT;
        self.start_report(now, request_id, RequestState::Reporting { outcome, until }, actions);
    }

    /// Releases the reservation of a granted request of which no byte was sent to the target.
    pub fn release_undispatched(
        &mut self,
        now: Instant,
        request_id: RequestId,
        actions: &mut Vec<ReservationAction>,
    ) {
        self.start_report(
            now,
            request_id,
            RequestState::Releasing { until: now + REPORT_TIMEOUT },
            actions,
        );
    }

    fn start_report(
        &mut self,
        now: Instant,
        request_id: RequestId,
        state: RequestState,
        actions: &mut Vec<ReservationAction>,
    ) {
        let Some(tracked) = self.requests.get_mut(&request_id) else { return };
        if tracked.state != RequestState::Dispatched {
            return;
        }
        let released = matches!(state, RequestState::Releasing { .. });
        tracked.state = state;
        tracked.next_send = now;
        if released {
            let key = tracked.key.clone();
            self.remember_refused(request_id, key);
        }
        self.tick(now, actions);
    }

    /// Withdraws a request whose caller disconnected before the reservation was granted.
    pub fn withdraw(
        &mut self,
        now: Instant,
        request_id: RequestId,
        actions: &mut Vec<ReservationAction>,
    ) {
        let is_waiting =
            |tracked: &TrackedRequest| matches!(tracked.state, RequestState::Waiting { .. });
        if self.requests.get(&request_id).is_some_and(is_waiting) {
            self.start_release(now, request_id);
            self.tick(now, actions);
        }
    }

    /// Handles the reply of a shard owner.
    pub fn on_reply(
        &mut self,
        now: Instant,
        reply: ReserveReply,
        actions: &mut Vec<ReservationAction>,
    ) {
        let ReserveReply { request_id, result } = reply;
        let Some(tracked) = self.requests.get_mut(&request_id) else {
            self.release_late_grant(now, request_id, &result, actions);
            return;
        };
        let RequestState::Waiting { deadline, earlier_running } = &mut tracked.state else {
            return;
        };
        if now >= *deadline {
            return self.tick(now, actions);
        }
        match result {
            ReserveResult::Granted => {
                tracked.state = RequestState::Dispatched;
                actions.push(ReservationAction::Dispatch { request_id });
            }
            ReserveResult::Running { .. } => *earlier_running = true,
            ReserveResult::Ended { request_id: earlier, outcome } => {
                // A request with an outcome was dispatched, so it is no longer waiting; only an outdated owner can
                // reply with the request's own outcome in this state.
                if earlier != request_id {
                    self.requests.remove(&request_id);
                    actions.push(ReservationAction::Answer { request_id, earlier, outcome });
                }
            }
            ReserveResult::OtherBody => self.refuse(request_id, ResultCode::KeyReused, actions),
            ReserveResult::Full => {
                self.refuse(request_id, ResultCode::JournalUnavailable, actions);
            }
            // The next attempt goes to the node that membership then names as the owner.
            ReserveResult::NotOwner => {}
        }
    }

    /// Handles the confirmation that an outcome or release is durable or has no effect.
    pub fn on_recorded(&mut self, request_id: RequestId) {
        let is_reporting = |tracked: &TrackedRequest| {
            matches!(tracked.state, RequestState::Reporting { .. } | RequestState::Releasing { .. })
        };
        if self.requests.get(&request_id).is_some_and(is_reporting) {
            self.requests.remove(&request_id);
        }
    }

    /// Sends due messages, refuses requests whose deadline has passed and drops reports that have timed out.
    pub fn tick(&mut self, now: Instant, actions: &mut Vec<ReservationAction>) {
        let due: BTreeSet<RequestId> = self
            .requests
            .iter()
            .filter(|(_, tracked)| tracked.due_at().is_some_and(|at| at <= now))
            .map(|(request_id, _)| *request_id)
            .collect();
        for request_id in due {
            self.tick_request(now, request_id, actions);
        }
    }

    /// Returns when the next call of [`ReservationClient::tick`] is due.
    pub fn next_wakeup(&self) -> Option<Instant> {
        self.requests.values().filter_map(TrackedRequest::due_at).min()
    }

    fn tick_request(
        &mut self,
        now: Instant,
        request_id: RequestId,
        actions: &mut Vec<ReservationAction>,
    ) {
        let Some(tracked) = self.requests.get(&request_id) else { return };
        match &tracked.state {
            RequestState::Waiting { deadline, earlier_running } if now >= *deadline => {
                let code = if *earlier_running {
                    ResultCode::EarlierRunning
                } else {
                    ResultCode::JournalUnavailable
                };
                actions.push(ReservationAction::Refuse { request_id, code });
                self.start_release(now, request_id);
            }
            RequestState::Reporting { until, .. } | RequestState::Releasing { until }
                if now >= *until =>
            {
                self.requests.remove(&request_id);
                return;
            }
            _ => {}
        }
        self.send_message(now, request_id, actions);
    }

    fn send_message(
        &mut self,
        now: Instant,
        request_id: RequestId,
        actions: &mut Vec<ReservationAction>,
    ) {
        let Some(tracked) = self.requests.get_mut(&request_id) else { return };
        tracked.next_send = now + RESEND_INTERVAL;
        let shard = shard_of_key(&tracked.key, self.shards);
        let (key, body_hash) = (tracked.key.clone(), tracked.body_hash);
        let message = match &tracked.state {
            RequestState::Waiting { deadline, .. } => {
                let deadline_in = deadline.saturating_duration_since(now);
                let reservation = Reservation { request_id, key, body_hash, deadline_in };
                PeerMessage::Reserve { shard, reservation }
            }
            RequestState::Reporting { outcome, .. } => {
                let outcome = outcome.clone();
                PeerMessage::Outcome {
                    shard,
                    outcome: ReservationOutcome { request_id, key, outcome },
                }
            }
            RequestState::Releasing { .. } => PeerMessage::Release { shard, request_id, key },
            RequestState::Dispatched => return,
        };
        actions.push(ReservationAction::Send { shard, message: Box::new(message) });
    }

    fn refuse(
        &mut self,
        request_id: RequestId,
        code: ResultCode,
        actions: &mut Vec<ReservationAction>,
    ) {
        if let Some(tracked) = self.requests.remove(&request_id) {
            self.remember_refused(request_id, tracked.key);
        }
        actions.push(ReservationAction::Refuse { request_id, code });
    }

    fn start_release(&mut self, now: Instant, request_id: RequestId) {
        let Some(tracked) = self.requests.get_mut(&request_id) else { return };
        tracked.state = RequestState::Releasing { until: now + REPORT_TIMEOUT };
        tracked.next_send = now;
        let key = tracked.key.clone();
        self.remember_refused(request_id, key);
    }

    fn remember_refused(&mut self, request_id: RequestId, key: String) {
        if self.refused.insert(request_id, key).is_none() {
            self.refused_order.push_back(request_id);
        }
        if self.refused_order.len() > MAX_REMEMBERED_REFUSALS
            && let Some(oldest) = self.refused_order.pop_front()
        {
            self.refused.remove(&oldest);
        }
    }

    /// Releases a grant that arrives after its request was refused. A grant for any other request is ignored: it may be
    /// a duplicate for a request that was dispatched, and a release would allow a second run with its key.
    fn release_late_grant(
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
        let state = RequestState::Releasing { until: now + REPORT_TIMEOUT };
        let tracked = TrackedRequest { key: key.clone(), body_hash: 0, state, next_send: now };
        self.requests.insert(request_id, tracked);
        self.send_message(now, request_id, actions);
    }
}

impl TrackedRequest {
    fn due_at(&self) -> Option<Instant> {
        match self.state {
            RequestState::Waiting { deadline, .. } => Some(deadline.min(self.next_send)),
            RequestState::Dispatched => None,
            RequestState::Reporting { .. } | RequestState::Releasing { .. } => Some(self.next_send),
        }
    }
}
