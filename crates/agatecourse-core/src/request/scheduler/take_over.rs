use agatecourse_types::NodeId;
use std::collections::BTreeSet;
use std::time::Instant;

/// Wait of a new pool owner for the registrations of the live nodes, with a timeout.
#[derive(Debug, Clone, Default)]
pub(super) struct TakeOver {
    awaited: BTreeSet<NodeId>,
    until: Option<Instant>,
}

impl TakeOver {
    /// Creates a wait for the given nodes that ends at `until` at the latest.
    pub(super) fn start(until: Instant, awaited: BTreeSet<NodeId>) -> Self {
        Self { awaited, until: Some(until) }
    }

    /// Removes a node that has registered or is dead from the awaited ones.
    pub(super) fn stop_awaiting(&mut self, node: &NodeId) {
        self.awaited.remove(node);
    }

    /// Returns whether grants are delayed.
    pub(super) fn is_waiting(&self, now: Instant) -> bool {
        !self.awaited.is_empty() && self.until.is_some_and(|until| now < until)
    }

    /// Returns the timeout while a node is awaited.
    pub(super) fn until(&self) -> Option<Instant> {
        self.until.filter(|_| !self.awaited.is_empty())
    }

    /// Ends the wait if its timeout has passed.
    pub(super) fn end_if_due(&mut self, now: Instant) {
        if self.until.is_some_and(|until| until <= now) {
            self.until = None;
            self.awaited.clear();
        }
    }
}
