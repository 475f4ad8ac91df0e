use super::Placement;
use crate::process::PeerMessage;
use agatecourse_core::request::dispatch::JobNumber;
use agatecourse_types::NodeId;

/// Side effect that a [`Coordinator`](super::Coordinator) requests from its node.
#[derive(Debug, Clone, PartialEq)]
pub enum CoordinatorAction {
    /// Send a message to a node.
    Send {
        /// Node that receives the message.
        to: NodeId,
        /// Message to send, which the network may lose.
        message: PeerMessage,
    },
    /// Pass the decision to the request that waits for it.
    Place {
        /// Number of the attempt on this node.
        number: JobNumber,
        /// Decision of the queue's owner.
        placement: Placement,
    },
    /// Log that the owner of a queue has changed.
    OwnerChanged {
        /// Name of the queue, `service/index`.
        queue: String,
        /// Previous owner; empty when the queue had none.
        from: NodeId,
        /// New owner.
        to: NodeId,
    },
}
