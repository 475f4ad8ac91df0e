use super::resource_budget::{Phase, SlotState};
use super::{BudgetFull, ByteUse, HeldBytes, ResourceBudget};
use std::rc::Rc;
use std::time::Instant;

/// Why the budget ended what it held for a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Eviction {
    /// Its bytes are needed for others.
    Memory,
    /// Its socket is needed for others; the connection is closed at once.
    Socket,
}

/// Place of a caller's connection in the budget; given up on drop.
///
/// The phases decide which connections are given up first: those without a request, then those that advance least. A connection whose request
/// is at work is never given up.
#[derive(Debug)]
pub(crate) struct CallerSlot {
    budget: Rc<ResourceBudget>,
    state: Rc<SlotState>,
}

impl CallerSlot {
    pub(super) fn new(budget: &Rc<ResourceBudget>, state: Rc<SlotState>) -> Rc<Self> {
        Rc::new(Self { budget: Rc::clone(budget), state })
    }

    /// Returns a holder of bytes for this connection, with none at first.
    pub(crate) fn hold(self: &Rc<Self>) -> HeldBytes {
        HeldBytes::new(Rc::clone(self))
    }

    /// Marks the connection as waiting for a request. `is_known` says whether it has sent one with a valid key, or on a public route.
    pub(crate) fn wait_for_request(&self, now: Instant, is_known: bool) {
        self.budget.set_phase(&self.state, Phase::Waiting { is_known, since: now });
    }

    /// Marks the connection as sending a body that has just advanced.
    pub(crate) fn advance_body(&self, now: Instant) {
        self.budget.set_phase(&self.state, Phase::Transferring { is_answer: false, advanced: now });
    }

    /// Marks the connection as reading an answer that has just advanced.
    pub(crate) fn advance_answer(&self, now: Instant) {
        self.budget.set_phase(&self.state, Phase::Transferring { is_answer: true, advanced: now });
    }

    /// Marks the connection as one whose request is at work.
    pub(crate) fn begin_work(&self) {
        self.budget.set_phase(&self.state, Phase::AtWork);
    }

    /// Returns why the connection was given up; `None` while it was not.
    pub(crate) fn eviction(&self) -> Option<Eviction> {
        self.state.eviction.get()
    }

    /// Waits until the connection is given up, and returns why.
    pub(crate) async fn evicted(&self) -> Eviction {
        loop {
            if let Some(eviction) = self.eviction() {
                return eviction;
            }
            self.state.evicted.notified().await;
        }
    }

    pub(super) fn take_bytes(&self, bytes: usize, byte_use: ByteUse) -> Result<(), BudgetFull> {
        self.budget.take_bytes(&self.state, bytes, byte_use)
    }

    pub(super) fn give_back_bytes(&self, bytes: usize) {
        self.budget.give_back_bytes(&self.state, bytes);
    }
}

impl Drop for CallerSlot {
    fn drop(&mut self) {
        self.budget.remove_caller(&self.state);
    }
}
