use super::{BudgetLimits, CallerSlot, Eviction, SocketPermit};
use prometheus::IntCounterVec;
use snafu::Snafu;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::sync::Notify;

/// Bytes of a caller's connection that neither a buffer nor a request accounts for: its task and its entries in the kernel.
const CONNECTION_BYTES: usize = 6 * 1024;
/// Time without an advance after which a body or an answer may be given up for another large one. Callers that send or read slowly advance
/// several times in it.
const STALL_TIME: Duration = Duration::from_secs(1);
/// Size from which on a body or an answer is large.
const LARGE_BYTES: usize = 64 * 1024;
/// Eighths of the budget that each use may fill, so that large bodies leave room for small ones, and both for the answers.
const LARGE_BODY_EIGHTHS: usize = 5;
const SMALL_BODY_EIGHTHS: usize = 6;
const LARGE_ANSWER_EIGHTHS: usize = 7;
const EIGHTHS: usize = 8;

/// Reasons for which something is refused or given up.
const REASONS: [&str; 5] =
    ["connection", "target connection", "memory", "stalled transfer", "idle connection"];

/// Error when the budget has no room.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
#[snafu(display("node holds as many bytes for others as its memory bears"))]
pub(crate) struct BudgetFull;

/// What bytes are held for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ByteUse {
    /// A request; `total_bytes` is its size so far.
    Request { total_bytes: usize },
    /// An answer; `total_bytes` is its size so far.
    Answer { total_bytes: usize },
}

impl ByteUse {
    fn is_large(self) -> bool {
        let (Self::Request { total_bytes } | Self::Answer { total_bytes }) = self;
        total_bytes > LARGE_BYTES
    }

    fn eighths(self) -> usize {
        match self {
            Self::Request { .. } if self.is_large() => LARGE_BODY_EIGHTHS,
            Self::Request { .. } => SMALL_BODY_EIGHTHS,
            Self::Answer { .. } if self.is_large() => LARGE_ANSWER_EIGHTHS,
            Self::Answer { .. } => EIGHTHS,
        }
    }
}

/// Phase of a caller's connection, with what decides when it is given up.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Phase {
    /// Waits for the head of a request.
    Waiting { is_known: bool, since: Instant },
    /// Sends the body of a request or reads an answer.
    Transferring { is_answer: bool, advanced: Instant },
    /// Has a request in the queue or at a target.
    AtWork,
}

/// State of a caller's connection that the budget and the connection share.
#[derive(Debug)]
pub(super) struct SlotState {
    number: u64,
    phase: Cell<Phase>,
    held_bytes: Cell<usize>,
    pub(super) eviction: Cell<Option<Eviction>>,
    pub(super) evicted: Notify,
}

impl SlotState {
    /// Returns whether a body or an answer may be given up: an answer, whose request has run, only once it has stalled, and a body too if
    /// `must_have_stalled`.
    fn may_be_evicted(&self, now: Instant, must_have_stalled: bool) -> bool {
        match self.phase.get() {
            Phase::Transferring { is_answer, advanced } => {
                (!is_answer && !must_have_stalled)
                    || now.saturating_duration_since(advanced) >= STALL_TIME
            }
            Phase::Waiting { .. } | Phase::AtWork => false,
        }
    }
}

/// Order of waiting connections: callers without a known key first, then those that have waited longest.
type WaitingKey = (bool, Instant, u64);
/// Order of transferring connections: those that have not advanced for the longest time first.
type TransferKey = (Instant, u64);

/// Budget of the bytes and the sockets that a node holds for callers and targets.
#[derive(Debug)]
pub(crate) struct ResourceBudget {
    limits: BudgetLimits,
    /// Counts what was refused or given up, by reason.
    refusals: IntCounterVec,
    /// Number of refusals since it was last taken.
    refusal_count: Cell<u64>,
    held_bytes: Cell<usize>,
    high_water_bytes: Cell<usize>,
    caller_sockets: Cell<usize>,
    target_sockets: Cell<usize>,
    next_number: Cell<u64>,
    waiting: RefCell<BTreeMap<WaitingKey, Rc<SlotState>>>,
    transferring: RefCell<BTreeMap<TransferKey, Rc<SlotState>>>,
}

impl ResourceBudget {
    /// Creates a budget that counts refusals by reason in `refusals`.
    pub(crate) fn new(limits: BudgetLimits, refusals: IntCounterVec) -> Rc<Self> {
        for reason in REASONS {
            // The series exist from the start, so that a rate shows the first refusal.
            refusals.with_label_values(&[reason]).inc_by(0);
        }
        Rc::new(Self {
            limits,
            refusals,
            refusal_count: Cell::new(0),
            held_bytes: Cell::new(0),
            high_water_bytes: Cell::new(0),
            caller_sockets: Cell::new(0),
            target_sockets: Cell::new(0),
            next_number: Cell::new(0),
            waiting: RefCell::default(),
            transferring: RefCell::default(),
        })
    }

    /// Returns the limits of the budget.
    pub(crate) fn limits(&self) -> BudgetLimits {
        self.limits
    }

    /// Returns the bytes held now.
    pub(crate) fn held_bytes(&self) -> usize {
        self.held_bytes.get()
    }

    /// Returns the most bytes that were held at a time.
    pub(crate) fn high_water_bytes(&self) -> usize {
        self.high_water_bytes.get()
    }

    /// Returns the sockets of callers and of targets.
    pub(crate) fn sockets(&self) -> (usize, usize) {
        (self.caller_sockets.get(), self.target_sockets.get())
    }

    /// Counts something that was refused or given up.
    pub(crate) fn count_refusal(&self, reason: &str) {
        self.refusals.with_label_values(&[reason]).inc();
        self.refusal_count.set(self.refusal_count.get() + 1);
    }

    /// Returns the number of refusals since the last call.
    pub(crate) fn take_refusal_count(&self) -> u64 {
        self.refusal_count.take()
    }

    /// Makes room for a caller's connection, if need be by giving up another; `None` if none can be given up.
    pub(crate) fn accept_caller(self: &Rc<Self>, now: Instant) -> Option<Rc<CallerSlot>> {
        if self.is_out_of_caller_sockets() && !self.evict_for_socket() {
            self.count_refusal("connection");
            return None;
        }
        let number = self.next_number.get();
        self.next_number.set(number + 1);
        let phase = Phase::Waiting { is_known: false, since: now };
        let state = Rc::new(SlotState {
            number,
            phase: Cell::new(phase),
            held_bytes: Cell::new(0),
            eviction: Cell::new(None),
            evicted: Notify::new(),
        });
        self.caller_sockets.set(self.caller_sockets.get() + 1);
        let slot = CallerSlot::new(self, Rc::clone(&state));
        let byte_use = ByteUse::Request { total_bytes: CONNECTION_BYTES };
        // On failure, dropping the slot gives the socket back.
        self.take_bytes(&state, CONNECTION_BYTES, byte_use).ok()?;
        self.set_phase(&state, phase);
        Some(slot)
    }

    /// Makes room for a socket to a target, if need be by giving up a caller's connection; `None` if none can be given up.
    pub(crate) fn open_target_socket(self: &Rc<Self>) -> Option<SocketPermit> {
        if self.is_out_of_sockets() && !self.evict_for_socket() {
            self.count_refusal("target connection");
            return None;
        }
        Some(SocketPermit::new(self))
    }

    /// Returns whether callers and targets have as many sockets as they may have.
    pub(crate) fn is_out_of_sockets(&self) -> bool {
        self.shared_sockets() >= self.limits.shared_sockets
    }

    /// Returns whether a further caller's connection needs the socket of another.
    pub(crate) fn is_out_of_caller_sockets(&self) -> bool {
        self.caller_sockets.get() >= self.limits.caller_sockets || self.is_out_of_sockets()
    }

    fn shared_sockets(&self) -> usize {
        self.caller_sockets.get() + self.target_sockets.get()
    }

    pub(super) fn count_target_socket(&self, change: isize) {
        self.target_sockets.set(self.target_sockets.get().saturating_add_signed(change));
    }

    pub(super) fn set_phase(&self, state: &Rc<SlotState>, phase: Phase) {
        if state.eviction.get().is_some() {
            return;
        }
        self.unlist(state);
        state.phase.set(phase);
        let number = state.number;
        match phase {
            Phase::Waiting { is_known, since } => {
                self.waiting.borrow_mut().insert((is_known, since, number), Rc::clone(state));
            }
            Phase::Transferring { advanced, .. } => {
                self.transferring.borrow_mut().insert((advanced, number), Rc::clone(state));
            }
            Phase::AtWork => {}
        }
    }

    fn unlist(&self, state: &SlotState) {
        match state.phase.get() {
            Phase::Waiting { is_known, since } => {
                self.waiting.borrow_mut().remove(&(is_known, since, state.number));
            }
            Phase::Transferring { advanced, .. } => {
                self.transferring.borrow_mut().remove(&(advanced, state.number));
            }
            Phase::AtWork => {}
        }
    }

    pub(super) fn take_bytes(
        &self,
        state: &Rc<SlotState>,
        bytes: usize,
        byte_use: ByteUse,
    ) -> Result<(), BudgetFull> {
        if state.eviction.get().is_some() {
            return Err(BudgetFull);
        }
        let limit = self.limits.held_bytes / EIGHTHS * byte_use.eighths();
        while self.held_bytes.get() + bytes > limit {
            // What still advances, or only waits, is not given up if that would make too little room.
            let excess = self.held_bytes.get() + bytes - limit;
            let is_evicted = self.evict_stalled(state)
                || (excess <= self.evictable_bytes(state, byte_use)
                    && self.evict_for_bytes(state, byte_use));
            if !is_evicted {
                self.count_refusal("memory");
                return Err(BudgetFull);
            }
        }
        state.held_bytes.set(state.held_bytes.get() + bytes);
        self.held_bytes.set(self.held_bytes.get() + bytes);
        self.high_water_bytes.set(self.high_water_bytes.get().max(self.held_bytes.get()));
        Ok(())
    }

    /// Gives bytes back; an evicted connection has given back all of its bytes already.
    pub(super) fn give_back_bytes(&self, state: &SlotState, bytes: usize) {
        let given = bytes.min(state.held_bytes.get());
        state.held_bytes.set(state.held_bytes.get() - given);
        self.held_bytes.set(self.held_bytes.get().saturating_sub(given));
    }

    /// Gives up the body or answer that has not advanced for the longest time, or else a connection without a request; returns false if there is
    /// none. A large body or answer displaces only those that have stalled.
    fn evict_for_bytes(&self, wanting: &SlotState, byte_use: ByteUse) -> bool {
        let is_other = |state: &Rc<SlotState>| state.number != wanting.number;
        if let Some(state) = self.least_advanced(byte_use.is_large(), is_other) {
            self.evict(&state, Eviction::Memory);
            return true;
        }
        if byte_use.is_large() {
            return false;
        }
        let idle = self.waiting.borrow().values().find(|state| is_other(state)).cloned();
        if let Some(state) = &idle {
            self.evict(state, Eviction::Socket);
        }
        idle.is_some()
    }

    /// Gives up the body or answer that has stalled for the longest time; returns false if there is none.
    fn evict_stalled(&self, wanting: &SlotState) -> bool {
        let stalled = self.least_advanced(true, |state| state.number != wanting.number);
        if let Some(state) = &stalled {
            self.evict(state, Eviction::Memory);
        }
        stalled.is_some()
    }

    /// Returns the bytes of the connections that [`Self::evict_for_bytes`] may give up.
    fn evictable_bytes(&self, wanting: &SlotState, byte_use: ByteUse) -> usize {
        let now = Instant::now();
        let others = |state: &&Rc<SlotState>| state.number != wanting.number;
        let transferring = self.transferring.borrow();
        let idle_slots = self.waiting.borrow();
        let transfers = transferring.values().filter(others);
        let may_evict = |state: &&Rc<SlotState>| state.may_be_evicted(now, byte_use.is_large());
        let idle = idle_slots.values().filter(others).filter(|_| !byte_use.is_large());
        transfers.filter(may_evict).chain(idle).map(|state| state.held_bytes.get()).sum()
    }

    /// Gives up the connection that has waited longest without a request, or else the one that has not advanced for the longest time;
    /// returns false if there is none.
    fn evict_for_socket(&self) -> bool {
        let waiting = self.waiting.borrow().values().next().cloned();
        let given_up = waiting.or_else(|| self.least_advanced(false, |_| true));
        if let Some(state) = &given_up {
            self.evict(state, Eviction::Socket);
        }
        given_up.is_some()
    }

    /// Returns the connection that has not advanced for the longest time. An answer, whose request has run, is given up only once it has stalled,
    /// and a body too if `must_have_stalled`.
    fn least_advanced(
        &self,
        must_have_stalled: bool,
        is_eligible: impl Fn(&Rc<SlotState>) -> bool,
    ) -> Option<Rc<SlotState>> {
        let now = Instant::now();
        let transferring = self.transferring.borrow();
        let mut eligible = transferring.values().filter(|state| is_eligible(state));
        eligible.find(|state| state.may_be_evicted(now, must_have_stalled)).cloned()
    }

    /// Ends what is held for a connection. Its bytes, and its socket if that is needed, count as given back at once; its task gives them up
    /// when it runs next.
    fn evict(&self, state: &SlotState, eviction: Eviction) {
        self.unlist(state);
        state.phase.set(Phase::AtWork);
        state.eviction.set(Some(eviction));
        self.give_back_bytes(state, state.held_bytes.get());
        let reason = match eviction {
            Eviction::Memory => "stalled transfer",
            Eviction::Socket => {
                self.caller_sockets.set(self.caller_sockets.get().saturating_sub(1));
                "idle connection"
            }
        };
        self.count_refusal(reason);
        state.evicted.notify_one();
    }

    pub(super) fn remove_caller(&self, state: &SlotState) {
        self.unlist(state);
        self.give_back_bytes(state, state.held_bytes.get());
        if state.eviction.get() != Some(Eviction::Socket) {
            self.caller_sockets.set(self.caller_sockets.get().saturating_sub(1));
        }
    }
}
