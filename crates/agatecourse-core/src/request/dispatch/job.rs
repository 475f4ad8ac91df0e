use super::PromptParts;
use crate::request::SuspectKey;
use agatecourse_types::{NodeId, TargetId, VersionId, ZoneId};
use serde::{Deserialize, Serialize};
use smallvec::SmallVec;
use std::time::{Duration, Instant};

/// Number of a request attempt on its node, unique while the node's process lives.
pub type JobNumber = u64;

/// Identifies one attempt of a request in the queue of a service.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct JobKey {
    /// Node that holds the caller's connection.
    pub node: NodeId,
    /// Number of the attempt on that node.
    pub number: JobNumber,
}

/// One attempt of a request that waits for a target.
#[derive(Debug, Clone, PartialEq)]
pub struct Job {
    /// Identifies the attempt over all nodes.
    pub key: JobKey,
    /// Hash of the request's kind; requests of one kind share learned durations.
    pub kind: u64,
    /// Urgency; 0 is served first.
    pub rank: u32,
    /// Time at which the caller's request arrived.
    pub arrived: Instant,
    /// Time until which the first byte of an answer meets the latency objective.
    pub objective: Instant,
    /// Time after which the caller no longer uses an answer.
    pub deadline: Instant,
    /// Expected size of the run relative to the mean of its kind.
    pub relative_size: f64,
    /// Tokens that the prompt holds, 0 for plain requests.
    pub prompt_tokens: u32,
    /// Parts of the prompt, which targets keep for later prompts that begin with them; empty for plain requests.
    pub prompt_parts: PromptParts,
    /// Availability zone of the node, to prefer near targets.
    pub zone: String,
    /// Targets that already failed this request.
    pub excluded: SmallVec<[TargetId; 2]>,
    /// True for an attempt after the first, which draws on the retry budget.
    pub is_retry: bool,
    /// Version that the target must run; empty for any.
    pub version: VersionId,
    /// Version that the target must not run; empty for none.
    pub avoided_version: VersionId,
    /// Keys of the request that may have crashed targets; requests that share one run one after the other.
    pub suspects: SmallVec<[SuspectKey; 2]>,
    /// Availability zones of which the target must be in one; empty for any.
    pub home_zones: SmallVec<[ZoneId; 2]>,
}

/// Decision of the dispatcher about an attempt.
#[derive(Debug, Clone, PartialEq)]
pub enum Decision {
    /// The attempt may be sent to the target now.
    Grant {
        /// Key of the decided attempt.
        key: JobKey,
        /// Target whose slot the attempt occupies.
        target: TargetId,
    },
    /// The attempt can't be served in time.
    Refuse {
        /// Key of the decided attempt.
        key: JobKey,
        /// Delay after which the caller should retry.
        retry_after: Duration,
        /// Wait that was predicted for the attempt.
        predicted_wait: Duration,
    },
}
