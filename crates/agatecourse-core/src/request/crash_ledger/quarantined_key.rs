use super::SuspectKey;
use std::time::{Duration, Instant};

/// Time after the last crash for which a key is refused. The users' days last under a minute; an engine may be repaired in between.
const QUARANTINE_TIME: Duration = Duration::from_mins(10);
/// Doublings of [`QUARANTINE_TIME`] by further crashes; the longest quarantine is 21 hours.
const MAX_DOUBLINGS: u32 = 7;
/// Time after the last crash after which a key is forgotten.
const MEMORY_TIME: Duration = Duration::from_hours(24);

/// A key that crashes the targets that run a request with it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct QuarantinedKey {
    /// The key.
    pub key: SuspectKey,
    /// Number of crashes that are attributed to the key.
    pub crashes: u32,
    /// Time of the last of them.
    pub last_crash: Instant,
}

impl QuarantinedKey {
    /// Returns the remaining time for which requests with the key are refused; zero if the next one may show whether targets
    /// still crash.
    pub(super) fn remaining(&self, now: Instant) -> Duration {
        let doublings = self.crashes.saturating_sub(super::ledger::CRASHES_UNTIL_QUARANTINE);
        let time = QUARANTINE_TIME * 2_u32.pow(doublings.min(MAX_DOUBLINGS));
        time.saturating_sub(now.saturating_duration_since(self.last_crash))
    }

    /// Returns whether the key is so old that it is forgotten.
    pub(super) fn is_outdated(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.last_crash) >= MEMORY_TIME
    }
}
