use super::key_entry::BatchId;
use super::rows::Batch;
use agatecourse_types::{NodeId, RequestId};
use agatecourse_wire::request::KnownOutcome;
use std::sync::Arc;
use std::time::Instant;

/// Record that waits for the next batch.
#[derive(Debug, Clone)]
pub(super) struct PendingRecord {
    pub(super) key: Arc<str>,
    pub(super) request_id: RequestId,
    pub(super) kind: PendingKind,
}

/// Change of a key that a [`PendingRecord`] will record.
#[derive(Debug, Clone)]
pub(super) enum PendingKind {
    /// An intent. It is dropped after its deadline, because the node has then refused the request.
    Intent { node: NodeId, deadline: Instant },
    /// An outcome that a node reported.
    Ended { reporter: NodeId, outcome: KnownOutcome },
    /// A release that a node reported.
    Released { reporter: NodeId },
}

/// Batch whose commit is outstanding. Its bytes never change, so that a delayed first attempt and a retry write the
/// same row.
#[derive(Debug, Clone)]
pub(super) struct InFlightBatch {
    pub(super) seq: u64,
    pub(super) batch: Batch,
    pub(super) value: Vec<u8>,
    pub(super) deletions: Vec<BatchId>,
    /// Nodes and requests to confirm after the commit with [`JournalAction::Recorded`](super::JournalAction::Recorded).
    pub(super) reporters: Vec<(NodeId, RequestId)>,
    /// Whether the batch row must be read next, because an attempt may have been applied.
    pub(super) read_back: bool,
    /// Whether an attempt failed with a conflict. If the batch row does not exist then, the owner row has changed.
    pub(super) conflicted: bool,
}
