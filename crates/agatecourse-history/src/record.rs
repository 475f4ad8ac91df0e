use crate::HistoryEvent;
use agatecourse_types::{Incarnation, NodeId};
use serde::{Deserialize, Serialize};

/// Line of a history: an event with its time and the process that recorded it.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Record {
    /// Time in microseconds on a clock that all writers of the history share.
    pub at_us: u64,
    /// Process that recorded the event: an entry node, a stand-in or a test driver.
    pub node: NodeId,
    /// Incarnation of the process; 0 for processes that have none.
    #[serde(default)]
    pub incarnation: Incarnation,
    /// Event, whose fields are at the top level of the JSON object.
    #[serde(flatten)]
    pub event: HistoryEvent,
}

impl Record {
    /// Creates a record of a process without an incarnation.
    pub fn new(at_us: u64, node: impl Into<NodeId>, event: HistoryEvent) -> Self {
        Self { at_us, node: node.into(), incarnation: 0, event }
    }

    /// Sets the incarnation of the process that recorded the event.
    #[must_use]
    pub fn with_incarnation(mut self, incarnation: Incarnation) -> Self {
        self.incarnation = incarnation;
        self
    }
}
