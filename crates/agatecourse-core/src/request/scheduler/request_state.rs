use agatecourse_types::{NodeId, RequestId, Tier};
use agatecourse_wire::request::{Grant, Ticket};
use std::time::{Duration, Instant};

/// A request that waits for a grant.
#[derive(Debug, Clone)]
pub(super) struct WaitingRequest {
    pub ticket: Ticket,
    pub node: NodeId,
    pub organisation: u32,
    pub deadline: Instant,
    pub submitted: Instant,
    /// Expected answer length.
    pub write_tokens: u32,
    /// Answer length below which the request is refused when it can't end in time; 1 before any was learned.
    pub admission_tokens: u32,
    /// Answer length that nearly all answers of the kind stay below.
    pub upper_bound_tokens: u32,
    /// Expected time in one slot of an average target, in seconds.
    pub cost_s: f64,
}

impl WaitingRequest {
    /// Returns the position of the request among those of its organisation: earliest deadline first.
    pub(super) fn key(&self) -> (Instant, RequestId) {
        (self.deadline, self.ticket.request_id)
    }

    /// Returns the tier of the request.
    pub(super) fn tier(&self) -> Tier {
        self.ticket.tier
    }
}

/// A request that was granted and has not ended.
#[derive(Debug, Clone)]
pub(super) struct RunningRequest {
    pub ticket: Ticket,
    pub node: NodeId,
    pub organisation: u32,
    pub slot: usize,
    pub grant: Grant,
    pub granted_at: Instant,
    /// Time at which the grant is taken back when no outcome arrives.
    pub drop_at: Instant,
    /// Tokens that were charged to the target's provider.
    pub charged_tokens: f64,
    /// Value of the target's batch integral at the grant.
    pub batch_integral: f64,
    /// Expected time until the target would start to read the prompt.
    pub read_wait: Duration,
    /// Expected time to read the prompt.
    pub read: Duration,
    /// Whether the time to the first token was taken into account.
    pub first_token_seen: bool,
    /// Expected answer length, raised when more tokens have arrived.
    pub write_tokens: u32,
}
