use super::rows::{BatchRecord, RecordKind};
use agatecourse_types::{Epoch, NodeId, RequestId};
use agatecourse_wire::request::KnownOutcome;

/// Epoch and sequence number of a batch.
pub(super) type BatchId = (Epoch, u64);

/// State of an idempotency key in the index.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum KeyState {
    /// The intent is pending or part of the outstanding commit.
    Reserving {
        /// Whether the node released the reservation while the commit was outstanding.
        released: bool,
    },
    /// The intent is durable and its node is expected to report an outcome.
    Running,
    /// The intent is durable, but its node is considered dead or a former owner of the shard recorded the intent, so
    /// an outcome may never arrive.
    Unresolved,
    /// The outcome is known; it is durable unless [`KeyEntry::end_pending`] is set.
    Ended(KnownOutcome),
}

/// Request that holds an idempotency key, with its state.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct KeyEntry {
    pub(super) request_id: RequestId,
    pub(super) body_hash: u64,
    pub(super) node: NodeId,
    pub(super) state: KeyState,
    /// Whether an outcome or release of the request is not durable yet.
    pub(super) end_pending: bool,
    /// Batch of the last durable record; the entry expires with that batch.
    pub(super) batch: BatchId,
}

impl KeyEntry {
    pub(super) fn record(&self, key: &str, kind: RecordKind) -> BatchRecord {
        BatchRecord {
            key: key.to_string(),
            request_id: self.request_id,
            body_hash: self.body_hash,
            node: self.node.clone(),
            kind,
        }
    }
}
