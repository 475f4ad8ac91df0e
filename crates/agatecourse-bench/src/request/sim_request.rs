use agatecourse_types::{OrganisationId, RequestId, Tier};
use smallvec::SmallVec;
use std::time::Duration;

/// Size of a prompt block in tokens, the unit of prefix caching.
pub const BLOCK_TOKENS: u32 = 256;

/// Simulated request of a caller. Schedulers don't see `write_tokens`, `disconnects_after` and `patience`.
#[derive(Debug, Clone)]
pub struct SimRequest {
    /// Id of the request: its index in the load plus 1.
    pub request_id: RequestId,
    /// Arrival time at the entry node, from the start of the run.
    pub at: Duration,
    /// Index of the entry node that the load balancer chose.
    pub node: usize,
    /// Tier of the request; 0 is the highest.
    pub tier: Tier,
    /// Organisation (customer) of the caller.
    pub organisation: OrganisationId,
    /// Length of the prompt in tokens.
    pub read_tokens: u32,
    /// Length of the complete response in tokens.
    pub write_tokens: u32,
    /// Time from arrival to the deadline.
    pub deadline: Duration,
    /// Time from arrival after which the caller disconnects unconditionally, if it does.
    pub disconnects_after: Option<Duration>,
    /// Time from arrival after which the caller disconnects if no token has arrived.
    pub patience: Option<Duration>,
    /// Hashes of the leading blocks that other prompts share; each hash covers its block and all blocks before it.
    pub blocks: SmallVec<[u64; 8]>,
}

impl SimRequest {
    /// Returns the number of prompt tokens that other prompts share.
    pub fn shared_tokens(&self) -> u32 {
        self.read_tokens.min(BLOCK_TOKENS * self.blocks.len() as u32)
    }

    /// Returns the latest time at which the response is useful, from the start of the run.
    pub fn useful_until(&self) -> Duration {
        self.at + self.disconnects_after.map_or(self.deadline, |delay| delay.min(self.deadline))
    }
}
