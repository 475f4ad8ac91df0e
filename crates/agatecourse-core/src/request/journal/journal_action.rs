use super::{RowError, TableCallId, TableRequest};
use agatecourse_types::{NodeId, RequestId};
use agatecourse_wire::request::ReserveReply;

/// Output of a [`JournalShard`](super::JournalShard).
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum JournalAction {
    /// Send a table request and pass its result to the shard with the same call id.
    Table {
        /// Id to return in [`JournalEvent::TableResponse`](super::JournalEvent).
        call: TableCallId,
        /// Operation to perform; its conditions and writes must be sent unchanged.
        request: TableRequest,
    },
    /// Send the result of a reservation to the node that requested it.
    Reply {
        /// Entry node that requested the reservation.
        node: NodeId,
        /// Result and the request id that it applies to.
        reply: ReserveReply,
    },
    /// Notify the reporting node that it can stop resending the outcome or release of a request.
    Recorded {
        /// Node that sent the report.
        node: NodeId,
        /// Request that the report was about.
        request_id: RequestId,
    },
    /// The owner row has changed, so this node no longer owns the shard. Send
    /// [`JournalEvent::BecomeOwner`](super::JournalEvent) to claim it again.
    OwnershipLost,
    /// A row cannot be decoded or has unexpected content. This node does not own the shard until the row can be read,
    /// because skipping it could grant a key a second time.
    UnreadableRow {
        /// Reason, with the key of the row.
        error: RowError,
    },
}
