use crate::request::Ticket;
use agatecourse_types::{TargetId, VersionId};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Dispatched request that has not finished.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct InFlight {
    /// Ticket under which the request was submitted.
    pub ticket: Ticket,
    /// Target that runs the request.
    pub target: TargetId,
    /// Version that runs the request.
    pub version: VersionId,
    /// Time since dispatch.
    pub running_for: Duration,
    /// Tokens of the answer that arrived so far.
    pub written_tokens: u32,
}

/// Waiting and running requests of one entry node, for a new pool owner.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Registration {
    /// Requests without a grant.
    pub waiting: Vec<Ticket>,
    /// Requests that were dispatched.
    pub in_flight: Vec<InFlight>,
}
