use super::ledger::{CRASHES_UNTIL_QUARANTINE, LATE_CRASHES_UNTIL_QUARANTINE};

/// Which suspects of a crash are considered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Evidence {
    /// Whole requests, and parts of prompts whose answer had not gone on after its first events.
    Early,
    /// Also the parts of prompts whose answer had gone on. A target runs many such requests, so more crashes are needed.
    Any,
}

impl Evidence {
    /// All kinds of evidence, that which needs the fewest crashes first.
    pub(super) const ALL: [Self; 2] = [Self::Early, Self::Any];

    /// Returns the number of crashes from which a key is refused.
    pub(super) fn crashes_until_quarantine(self) -> u32 {
        match self {
            Self::Early => CRASHES_UNTIL_QUARANTINE,
            Self::Any => LATE_CRASHES_UNTIL_QUARANTINE,
        }
    }
}
