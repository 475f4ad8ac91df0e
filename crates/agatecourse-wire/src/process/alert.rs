use agatecourse_types::{Fingerprint, NodeId, RouteId, TargetId, VersionId};
use serde::{Deserialize, Serialize};

/// Identifies the condition that an alert reports.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum AlertKey {
    /// A version gets no new requests on a route. The condition is never cleared.
    VersionStopped {
        /// Route on which the version is stopped.
        route: RouteId,
        /// Version that gets no new requests.
        version: VersionId,
    },
    /// Requests with the fingerprint run in isolation, because one of them may have crashed a target.
    Suspect {
        /// Fingerprint of the suspected requests.
        fingerprint: Fingerprint,
    },
    /// Requests with the fingerprint are refused.
    Quarantine {
        /// Fingerprint of the refused requests.
        fingerprint: Fingerprint,
    },
    /// A target is leaving and gets no new requests.
    TargetLeaving {
        /// Target that is about to leave.
        target: TargetId,
    },
    /// An operator drains a target.
    TargetDrained {
        /// Target that gets no new requests until the drain ends.
        target: TargetId,
    },
}

/// Condition that nodes propagate to each other without the table.
///
/// For one key the highest generation wins; at equal generations an active alert wins over an inactive one.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Alert {
    /// Condition that the alert reports.
    pub key: AlertKey,
    /// Increases each time the condition is set or cleared.
    pub generation: u64,
    /// Whether the condition is set.
    pub active: bool,
    /// Node that set or cleared the condition.
    pub origin: NodeId,
    /// Reason shown to operators.
    pub reason: String,
}
