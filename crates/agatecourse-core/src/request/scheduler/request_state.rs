use agatecourse_types::{NodeId, RequestId, Tier};
use agatecourse_wire::request::{Grant, Ticket};
use std::time::{Duration, Instant};

/// Request that waits for a grant.
#[derive(Debug, Clone)]
pub(super) struct WaitingRequest {
    pub ticket: Ticket,
    pub node: NodeId,
    /// Index in the organisation table.
    pub organisation: u32,
    pub deadline: Instant,
    pub submitted: Instant,
    /// Expected answer length in tokens.
    pub write_tokens: u32,
    /// Answer length in tokens that must fit before the deadline, or the request is refused; 1 without an estimate.
    pub admission_tokens: u32,
    /// Answer length in tokens that nearly all similar answers don't exceed.
    pub upper_bound_tokens: u32,
    /// Expected work on an average target, in slot-seconds.
    pub cost_s: f64,
}

impl WaitingRequest {
    /// Returns the sort key among the requests of an organisation: earliest deadline first.
    pub(super) fn key(&self) -> (Instant, RequestId) {
        (self.deadline, self.ticket.request_id)
    }

    /// Returns the tier from the ticket; 0 is the highest.
    pub(super) fn tier(&self) -> Tier {
        self.ticket.tier
    }
}

/// Request that was granted and has not ended.
#[derive(Debug, Clone)]
pub(super) struct RunningRequest {
    pub ticket: Ticket,
    pub node: NodeId,
    /// Index in the organisation table.
    pub organisation: u32,
    /// Index of the target.
    pub slot: usize,
    pub grant: Grant,
    pub granted_at: Instant,
    /// Time at which the grant is dropped if no outcome has arrived.
    pub drop_at: Instant,
    /// Expected tokens that were charged to the target's provider at the grant.
    pub charged_tokens: f64,
    /// Integral of the target's batch size over time at the grant, in request-seconds.
    pub batch_integral: f64,
    /// Expected time from the grant until the target starts to read the prompt.
    pub read_wait: Duration,
    /// Expected time to read the uncached part of the prompt.
    pub read: Duration,
    /// Whether the time to the first token was already recorded, or can't be for a request that was taken over.
    pub first_token_seen: bool,
    /// Expected answer length in tokens; raised when more tokens have arrived.
    pub write_tokens: u32,
}
