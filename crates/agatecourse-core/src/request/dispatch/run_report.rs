use serde::{Deserialize, Serialize};
use std::time::Duration;

/// How a run at a target ended; decides how the run changes the target's failure share and pause.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum RunEnd {
    /// A complete answer arrived; ends the target's pause and updates the learned run times.
    Answered,
    /// The target answered with a failure of its own; raises its failure share.
    Failed,
    /// The target reported that it did not run the request; its failure share and pause stay as they are.
    Rejected,
    /// The connection broke or its bytes were not an answer; raises the target's failure share.
    Broken,
    /// No connection could be opened, or nothing came back in time; raises the target's failure share and pauses it.
    Unreachable,
    /// The caller disconnected or the deadline passed while the target was processing the request.
    Abandoned,
    /// The attempt was not sent under this grant: it ended while it waited, moved to another queue owner, or already had a
    /// slot from another owner.
    Unused,
}

/// Result and duration of a run, reported by the node that sent the request.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct RunReport {
    /// End of the run; run times are learned from [`RunEnd::Answered`] only.
    pub end: RunEnd,
    /// Time from the grant to the end of the run; zero for a run without a grant.
    pub elapsed: Duration,
}
