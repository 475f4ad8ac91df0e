use agatecourse_wire::PeerMessage;
use agatecourse_wire::process::{Alert, AlertKey};
use std::net::SocketAddr;

/// Input of [`AlertSet`](crate::process::AlertSet).
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AlertEvent {
    /// Activates an alert on all nodes.
    Raise {
        /// Condition that the alert reports.
        key: AlertKey,
        /// Reason shown to operators.
        reason: String,
    },
    /// Deactivates an alert on all nodes. Has no effect on a stopped version, which stays stopped.
    Clear {
        /// Condition that no longer holds.
        key: AlertKey,
        /// Reason shown to operators.
        reason: String,
    },
    /// Replaces the addresses of the other live nodes.
    Members(Vec<SocketAddr>),
    /// Runs the timers that are due; sent at [`AlertSet::next_wakeup`](crate::process::AlertSet::next_wakeup).
    Tick,
}

/// Output of [`AlertSet`](crate::process::AlertSet).
#[derive(Debug, Clone, PartialEq)]
pub enum AlertAction {
    /// Send a datagram.
    Send {
        /// Peer address of the node that gets the datagram.
        address: SocketAddr,
        /// Body of the datagram.
        message: PeerMessage,
    },
    /// Send a call and pass its response to [`AlertSet::on_message`](crate::process::AlertSet::on_message).
    Call {
        /// Peer address of the node to call.
        address: SocketAddr,
        /// Body of the call.
        message: PeerMessage,
    },
    /// An alert was activated, deactivated or replaced by a newer generation, by this node or by another one.
    Changed(Alert),
}
