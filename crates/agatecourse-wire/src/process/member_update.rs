use agatecourse_types::{ConfigVersion, Incarnation, NodeId, PoolId, Tier, ZoneId};
use serde::{Deserialize, Serialize};
use smallvec::SmallVec;
use std::time::Duration;

/// State of a member as observed by another node.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum MemberState {
    /// The member answers.
    Alive,
    /// The member did not answer and may be dead.
    Suspect,
    /// The member shuts down gracefully and takes no new duties.
    Leaving,
    /// The member is dead.
    Dead,
}

/// Load of one pool as its owner publishes it.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct PoolPressure {
    /// Pool that the load belongs to.
    pub pool: PoolId,
    /// Lowest-priority tier that currently receives grants.
    pub lowest_granted_tier: Tier,
    /// Expected waiting time of a new request in that tier.
    pub queue_delay: Duration,
}

/// State and load of a member, as propagated by gossip.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct MemberUpdate {
    /// Name of the member.
    pub node: NodeId,
    /// Incarnation that the state belongs to.
    pub incarnation: Incarnation,
    /// State of the member.
    pub state: MemberState,
    /// Zone of the member.
    pub zone: ZoneId,
    /// Address for messages between nodes, as `ip:port`.
    pub peer_address: String,
    /// Increases in one incarnation with each change of `config_version` or `pressures`.
    pub revision: u64,
    /// Active configuration version of the member.
    pub config_version: ConfigVersion,
    /// Load of the pools that the member owns.
    pub pressures: SmallVec<[PoolPressure; 2]>,
}
