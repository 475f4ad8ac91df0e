use super::SuspectKey;
use smallvec::SmallVec;
use std::time::Duration;

/// What the crashes of targets say about a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CrashVerdict {
    /// Nothing speaks against the request.
    Clear,
    /// The request has keys that may have crashed targets; its run shows whether they did.
    Suspect(SmallVec<[SuspectKey; 2]>),
    /// The request would crash its target.
    Quarantined {
        /// Key that crashed targets.
        key: SuspectKey,
        /// Number of crashes that are attributed to the key.
        crashes: u32,
        /// Time until a request with the key may run again.
        retry_after: Duration,
    },
}
