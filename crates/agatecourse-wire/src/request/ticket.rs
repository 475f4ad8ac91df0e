use agatecourse_types::{Fingerprint, OrganisationId, RequestId, RouteId, Tier};
use serde::{Deserialize, Serialize};
use smallvec::SmallVec;
use std::time::Duration;

/// Description of a request for the scheduler, without the body.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Ticket {
    /// Id of the request.
    pub request_id: RequestId,
    /// Route of the request.
    pub route: RouteId,
    /// Organisation that pays for the request.
    pub organisation: OrganisationId,
    /// Tier of the request; 0 is the highest.
    pub tier: Tier,
    /// Time left until the deadline when the message was sent.
    pub deadline_in: Duration,
    /// Estimated number of prompt tokens.
    pub read_tokens: u32,
    /// Estimated number of answer tokens.
    pub write_tokens: u32,
    /// Hashes of the prompt's leading blocks; each hash covers all blocks up to its own.
    pub prefix_hashes: SmallVec<[u64; 8]>,
    /// Number of tokens in one prompt block.
    pub prefix_block_tokens: u32,
    /// Position of the request in 0..10,000 for the traffic share of a new version.
    pub share_slot: u16,
    /// Fingerprint, set when the request is suspected of crashing a target and must run alone.
    pub suspect: Option<Fingerprint>,
}
