use super::{RowError, TableCallId, TableRequest};
use agatecourse_types::{NodeId, RequestId};
use agatecourse_wire::request::ReserveReply;

/// Output of a [`JournalShard`](super::JournalShard).
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum JournalAction {
    /// Perform a table request and return its result with the same call number.
    Table {
        /// The call.
        call: TableCallId,
        /// The request.
        request: TableRequest,
    },
    /// Answer a reservation.
    Reply {
        /// The node that asked.
        node: NodeId,
        /// The answer.
        reply: ReserveReply,
    },
    /// The outcome or release of a request needs no further resending.
    Recorded {
        /// The node that reported.
        node: NodeId,
        /// The request.
        request_id: RequestId,
    },
    /// Another node owns the shard; [`JournalEvent::BecomeOwner`](super::JournalEvent) claims it again.
    OwnershipLost,
    /// A row can't be read. The shard stays without an owner until the row is repaired, because skipping it
    /// could grant a key a second time.
    UnreadableRow {
        /// What is wrong.
        error: RowError,
    },
}
