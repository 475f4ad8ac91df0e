use agatecourse_types::{ConfigVersion, Incarnation};
use agatecourse_wire::PeerMessage;
use agatecourse_wire::process::{MemberState, MemberUpdate, PoolPressure};
use serde::Serialize;
use std::net::SocketAddr;

/// Entry of the platform's VM list.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize)]
pub struct VmObservation {
    /// Peer address of the node on the VM.
    pub peer_address: SocketAddr,
    /// Whether the platform has announced that the VM will be removed.
    pub leaving: bool,
}

/// Input of [`Membership`](crate::process::Membership).
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum MembershipEvent {
    /// Addresses to contact, from the settings of this node.
    Seeds(Vec<SocketAddr>),
    /// The platform's list of VMs. Because it lags, it only adds addresses to contact and marks leaving nodes;
    /// it never declares a node dead.
    Vms(Vec<VmObservation>),
    /// This node has activated a configuration.
    ConfigInForce(ConfigVersion),
    /// Load of the pools that this node owns.
    Pressures(Vec<PoolPressure>),
    /// This node shuts down and gives up the resources that it owns.
    Leave,
    /// Runs the timers that are due; sent at [`Membership::next_wakeup`](crate::process::Membership::next_wakeup).
    Tick,
}

/// Output of [`Membership`](crate::process::Membership).
#[derive(Debug, Clone, PartialEq)]
pub enum MembershipAction {
    /// Send a datagram, in an envelope of this node.
    Send {
        /// Peer address of the node that gets the datagram.
        address: SocketAddr,
        /// Body of the datagram.
        message: PeerMessage,
    },
    /// Send a call, in an envelope of this node, and pass its response to
    /// [`Membership::on_message`](crate::process::Membership::on_message).
    Call {
        /// Peer address of the node to call.
        address: SocketAddr,
        /// Body of the call.
        message: PeerMessage,
    },
    /// A member joined, restarted or changed its state.
    MemberChanged {
        /// Record of the member after the change.
        member: MemberUpdate,
        /// State before the change, or `None` for a new member.
        previous: Option<MemberState>,
    },
    /// This node has adopted a higher incarnation to refute a suspicion or a death that others reported.
    IncarnationChanged {
        /// Incarnation to use from now on.
        incarnation: Incarnation,
        /// Whether others declared this node dead and took over its resources, so that it must release them.
        was_dead: bool,
    },
    /// A member has activated a higher configuration version than this node.
    HigherConfig {
        /// Peer address of the member.
        address: SocketAddr,
        /// Version that is active on the member.
        version: ConfigVersion,
    },
}

/// State of the membership as shown to operators.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct MembershipSnapshot {
    /// Current incarnation of this node; initially its start time in microseconds since the Unix epoch.
    pub incarnation: Incarnation,
    /// Whether this node has received the member list of another node or concluded that there is none.
    pub joined: bool,
    /// Records of all members, including this node.
    pub members: Vec<MemberUpdate>,
    /// Addresses that are contacted because no live member has them.
    pub unknown_candidates: Vec<SocketAddr>,
}
