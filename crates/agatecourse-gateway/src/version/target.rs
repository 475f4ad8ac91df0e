use super::ServiceId;
use agatecourse_types::{TargetId, VersionId, ZoneId};
use std::net::SocketAddr;
use std::time::Duration;

/// A running target as discovery reports it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Target {
    /// Id under which the target is registered; a restarted target may keep it.
    pub id: TargetId,
    /// Service that the target belongs to.
    pub service: ServiceId,
    /// Address on which it accepts requests.
    pub address: SocketAddr,
    /// Availability zone that the target states; ties are broken in favour of the submitting node's zone.
    pub zone: ZoneId,
    /// Version of its software; a rollout compares the responses of the new version with those of the other versions.
    pub version: VersionId,
    /// Number of requests that it processes concurrently.
    pub slots: u32,
    /// True when it is draining and accepts no new requests.
    pub is_draining: bool,
    /// Start of its process in Unix milliseconds, 0 when unknown; distinguishes processes that use the same id in turn.
    pub started_unix_ms: u64,
    /// Time from the receipt of the report for which it is still cold after its start.
    pub cold_remaining: Duration,
}
