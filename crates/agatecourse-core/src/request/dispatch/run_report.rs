use serde::{Deserialize, Serialize};
use std::time::Duration;

/// How a run at a target ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum RunEnd {
    /// The target answered in full.
    Answered,
    /// The target answered with a failure of its own.
    Failed,
    /// The target reported that it did not run the request.
    Rejected,
    /// The connection broke or its bytes were not an answer.
    Broken,
    /// No connection could be opened, or nothing came back in time.
    Unreachable,
    /// The caller disconnected or the deadline passed while the target was processing the request.
    Abandoned,
    /// The grant was not used.
    Unused,
}

/// Result and duration of a run, reported by the node that sent the request.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct RunReport {
    /// How the run ended.
    pub end: RunEnd,
    /// Time from the grant to the end of the answer.
    pub elapsed: Duration,
}
