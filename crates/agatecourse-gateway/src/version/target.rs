use super::ServiceId;
use agatecourse_types::{TargetId, VersionId, ZoneId};
use std::net::SocketAddr;

/// A running target as discovery reports it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Target {
    /// Id of this incarnation; a restarted target gets another one.
    pub id: TargetId,
    /// Service that the target belongs to.
    pub service: ServiceId,
    /// Address on which it accepts requests.
    pub address: SocketAddr,
    /// Availability zone of its host.
    pub zone: ZoneId,
    /// Software version, which rollouts compare.
    pub version: VersionId,
    /// Number of requests that it processes concurrently.
    pub slots: u32,
    /// True when it is draining and accepts no new requests.
    pub is_draining: bool,
    /// Start of the incarnation in Unix milliseconds, 0 when unknown.
    pub started_unix_ms: u64,
}
