use super::TableResult;
use agatecourse_types::{NodeId, RequestId};
use agatecourse_wire::request::{Reservation, ReservationOutcome};

/// Identifies a table request within a shard, so that its result can be matched to it.
pub type TableCallId = u64;

/// Input of a [`JournalShard`](super::JournalShard).
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum JournalEvent {
    /// Membership assigns the shard to this node.
    BecomeOwner,
    /// Membership assigns the shard to another node, or this node is shutting down.
    Resign,
    /// A node requests the exclusive right to dispatch a request with an idempotency key.
    Reserve {
        /// Entry node of the request; receives the reply.
        node: NodeId,
        /// Request id, key, hash of the body and remaining time of the request.
        reservation: Reservation,
    },
    /// A node reports how a request ended; resent until [`JournalAction::Recorded`](super::JournalAction).
    Outcome {
        /// Node that sent the report and receives the confirmation.
        node: NodeId,
        /// Outcome with its request id and key.
        outcome: ReservationOutcome,
    },
    /// A node releases a reservation whose request it has not dispatched and will not dispatch; resent until
    /// [`JournalAction::Recorded`](super::JournalAction).
    Release {
        /// Releasing node; the release has no effect unless this is the node in the intent.
        node: NodeId,
        /// Request that holds the reservation.
        request_id: RequestId,
        /// Organisation and idempotency key in the form `<organisation>/<key>`.
        key: String,
    },
    /// Membership considers a node dead, so no outcomes are expected from it.
    NodeGone {
        /// Node that is considered dead.
        node: NodeId,
    },
    /// A table request has completed or its response was lost.
    TableResponse {
        /// Id from [`JournalAction::Table`](super::JournalAction).
        call: TableCallId,
        /// Result of the request; ignored if the call has timed out.
        result: TableResult,
    },
    /// Timer event, due at [`JournalShard::next_wakeup`](super::JournalShard::next_wakeup).
    Tick,
}
