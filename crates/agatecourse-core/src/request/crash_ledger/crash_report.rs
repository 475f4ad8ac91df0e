use super::{SuspectKeys, TargetHash};
use std::time::Instant;

/// A target crashed while it ran a request whose answer was not complete.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CrashReport {
    /// Target that crashed.
    pub target: TargetHash,
    /// Time at which the request was sent to the target.
    pub started: Instant,
    /// Time at which the connection to the target broke.
    pub ended: Instant,
    /// Keys of the request.
    pub keys: SuspectKeys,
    /// True if the keys are parts of the prompt and the answer had gone on after its first events, which makes them weaker suspects.
    pub is_late: bool,
}
