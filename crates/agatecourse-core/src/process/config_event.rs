use agatecourse_config::{ConfigFaults, FleetConfig};
use agatecourse_types::ConfigVersion;
use agatecourse_wire::PeerMessage;
use std::net::SocketAddr;

/// Input of [`ConfigFollower`](crate::process::ConfigFollower).
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ConfigEvent {
    /// The table holds a version above the one that was polled for.
    TableConfig {
        /// Version of the row in the table.
        version: ConfigVersion,
        /// Configuration file text, which is not validated yet.
        text: String,
    },
    /// The table holds no version above the one that was polled for.
    TableUnchanged,
    /// The table did not respond.
    TableUnavailable,
    /// Another node has activated a higher version, which can be fetched from it.
    HigherConfig {
        /// Peer address of the other node.
        address: SocketAddr,
        /// Version that is active on the other node.
        version: ConfigVersion,
    },
    /// A call to a node failed.
    CallFailed {
        /// Peer address of the node that was called.
        address: SocketAddr,
    },
    /// Runs the timers that are due; sent at
    /// [`ConfigFollower::next_wakeup`](crate::process::ConfigFollower::next_wakeup).
    Tick,
}

/// Output of [`ConfigFollower`](crate::process::ConfigFollower).
#[derive(Debug, Clone, PartialEq)]
#[allow(clippy::large_enum_variant, reason = "few actions exist at a time, and only briefly")]
pub enum ConfigAction {
    /// Read the current configuration from the table if its version is above `above`.
    PollTable {
        /// Highest version that this node has already activated or rejected.
        above: ConfigVersion,
    },
    /// Send a call and pass its response to
    /// [`ConfigFollower::on_message`](crate::process::ConfigFollower::on_message).
    Call {
        /// Peer address of the node to call.
        address: SocketAddr,
        /// Body of the call.
        message: PeerMessage,
    },
    /// Activate a configuration.
    Apply {
        /// Version to report as active.
        version: ConfigVersion,
        /// Parsed and validated configuration.
        config: Box<FleetConfig>,
    },
    /// A configuration is invalid and was not activated.
    Rejected {
        /// Version that was rejected and is not read again.
        version: ConfigVersion,
        /// Validation errors.
        faults: ConfigFaults,
    },
}
