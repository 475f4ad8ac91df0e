use super::TableResult;
use agatecourse_types::{NodeId, RequestId};
use agatecourse_wire::request::{Reservation, ReservationOutcome};

/// Number that pairs a table request with its result.
pub type TableCallId = u64;

/// Input of a [`JournalShard`](super::JournalShard).
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum JournalEvent {
    /// Membership assigns the shard to this node.
    BecomeOwner,
    /// Membership assigns the shard to another node, or this node shuts down.
    Resign,
    /// A node asks for the exclusive right to dispatch the request of a key.
    Reserve {
        /// The asking node.
        node: NodeId,
        /// The reservation.
        reservation: Reservation,
    },
    /// A node reports how a request ended; resent until [`JournalAction::Recorded`](super::JournalAction).
    Outcome {
        /// The reporting node.
        node: NodeId,
        /// The outcome.
        outcome: ReservationOutcome,
    },
    /// A node gives back a reservation whose request it never dispatched and never will; resent until
    /// [`JournalAction::Recorded`](super::JournalAction).
    Release {
        /// The node.
        node: NodeId,
        /// The request.
        request_id: RequestId,
        /// Organisation and idempotency key, joined by `/`.
        key: String,
    },
    /// Membership declares a node dead, so it will not report outcomes.
    NodeGone {
        /// The dead node.
        node: NodeId,
    },
    /// The table answered a call.
    TableResponse {
        /// The call.
        call: TableCallId,
        /// Its result.
        result: TableResult,
    },
    /// Time passed; due at [`JournalShard::next_wakeup`](super::JournalShard::next_wakeup).
    Tick,
}
