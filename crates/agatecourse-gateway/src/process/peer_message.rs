use super::DocumentId;
use agatecourse_core::request::dispatch::{
    CallerKey, JobNumber, OrganisationKey, PromptParts, RunReport,
};
use agatecourse_core::request::{RankReports, SuspectKey, SuspectKeys, TargetHash};
use agatecourse_core::version::{RolloutCounts, RolloutState, RouteHash};
use agatecourse_types::{NodeId, TargetId, VersionId, ZoneId};
use serde::{Deserialize, Serialize};
use smallvec::SmallVec;
use std::net::Ipv4Addr;

/// Class of a VM's processor and link, 0 for the smallest; queues are owned by nodes of the highest class that is live.
pub type NodeCapacity = u8;

/// Maximum size of an encoded message in bytes; fits the links between nodes without IP fragmentation.
pub(crate) const MAX_MESSAGE_BYTES: usize = 1_400;
/// Size of the buffer for received messages in bytes.
pub(crate) const RECEIVE_BUFFER_BYTES: usize = MAX_MESSAGE_BYTES * 4;
/// Maximum size in bytes of an encoded message that its receivers decode, those of earlier versions too.
pub(crate) const MAX_DECODED_BYTES: usize = RECEIVE_BUFFER_BYTES - DECODE_PADDING_BYTES;
/// Zero bytes added to a received message, from which the fields decode that nodes of earlier versions do not send.
const DECODE_PADDING_BYTES: usize = 16;

/// State that a node sends to all others periodically.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[allow(
    clippy::struct_excessive_bools,
    reason = "nodes of earlier versions fix the encoding of each flag"
)]
pub struct Heartbeat {
    /// Start of the process in Unix milliseconds.
    pub started_unix_ms: u64,
    /// Time since the start of the process in milliseconds.
    pub uptime_ms: u32,
    /// True once the node shuts down; it then owns no queues.
    pub is_stopping: bool,
    /// Some of the nodes from which the sender has recently received a heartbeat, and the sender itself.
    pub members: Vec<(NodeId, Ipv4Addr)>,
    /// Versions of the documents that the sender has stored.
    pub documents: SmallVec<[(DocumentId, u64); 2]>,
    /// Use of organisations in the quota window.
    pub usage: Vec<OrganisationUse>,
    /// Crashes as nodes of earlier versions count them; always empty, as `crash_notices` has their place.
    pub crashes: Vec<(SuspectKey, TargetHash)>,
    /// Reports of the sender on the rollouts that it knows.
    pub rollouts: SmallVec<[RolloutReport; 1]>,
    // Nodes of earlier versions end a heartbeat here; they ignore what follows, and theirs decode with empty values.
    /// Version of the stored quota bounds that the sender knows.
    pub quota_bounds_version: u64,
    /// Further values of the organisations in `usage`, in the same order.
    pub quota_reports: Vec<QuotaReport>,
    /// True if an organisation missing from `usage` has used nothing, as far as the sender knows; false if the sender does
    /// not know the organisations yet.
    pub is_usage_complete: bool,
    /// Some of the unexplained crashes of targets that the sender knows.
    pub crash_notices: Vec<CrashNotice>,
    /// Some of the quarantined keys that the sender knows.
    pub quarantine_notices: Vec<QuarantineNotice>,
    /// Capacity of the sender's VM for work on behalf of other nodes.
    pub capacity: NodeCapacity,
    /// True if the sender follows the source of documents itself, and reaches it.
    pub follows_source: bool,
    /// Some of the nodes that the sender has lost and that may be live behind a partition.
    pub lost_members: Vec<LostNotice>,
    /// `None` if `usage` lists all organisations that have used something. If they don't fit the message, they go in turn, and this is the largest growth of the
    /// own use of an organisation since it was listed, of those that are missing, in millionths of its limit.
    pub unlisted_growth_ppm: Option<u32>,
    /// Demand by rank of some of the organisations that are near their limit.
    pub rank_demands: Vec<RankDemand>,
    /// True if the sender opens tunnels to targets for nodes that have lost their links to them.
    pub serves_tunnels: bool,
    // Nodes before the evidence of late crashes end a heartbeat here.
    /// Some of the crashes in the middle of answers; nodes that do not know them would take their keys for suspects of the begin of an answer.
    pub late_crash_notices: Vec<CrashNotice>,
}

/// What the ranks of an organisation have asked for on the sending node in the quota window.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RankDemand {
    /// Hash of the organisation's name.
    pub organisation: u64,
    /// Values of the ranks, the most urgent first.
    pub ranks: RankReports,
}

/// A node that has been silent for long, with an age in place of a time because the clocks of nodes differ.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LostNotice {
    /// Name of the node.
    pub node: NodeId,
    /// Last known address of the node.
    pub address: Ipv4Addr,
    /// Time since the node was last heard, in seconds.
    pub silent_s: u32,
}

/// Use of an organisation in the quota window, as known to a node.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrganisationUse {
    /// Hash of the organisation's name.
    pub organisation: u64,
    /// Use on the sending node.
    pub own: u64,
    /// Use on all nodes, including processes that have ended.
    pub total: u64,
}

/// Values of an organisation that a node needs to record quota use.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuotaReport {
    /// Amount that the sending node has sent to targets since its start.
    pub sent_total: u64,
    /// Stored bound of the use on all nodes; 0 for the default.
    pub stored_bound: u64,
    /// Bound that the sending node enforces; 0 for the default.
    pub enforced_bound: u64,
}

/// Report of a node on the rollout of a new version of a service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RolloutReport {
    /// Hash of the service's name.
    pub service: u64,
    /// Number of the rollout order; a larger one is newer.
    pub order: u64,
    /// Counts of the responses that the node has seen.
    pub counts: RolloutCounts,
    /// State of the rollout on the node.
    pub state: RolloutState,
}

/// A crash of a target, with ages in place of times because the clocks of nodes differ.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashNotice {
    /// Target that crashed.
    pub target: TargetHash,
    /// Time since the request was sent to the target, in milliseconds.
    pub started_age_ms: u64,
    /// Time since the target crashed, in milliseconds.
    pub ended_age_ms: u64,
    /// Keys of requests on the target whose answer was not complete.
    pub keys: SuspectKeys,
}

/// A key whose requests are refused, because targets crashed on them.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuarantineNotice {
    /// The key.
    pub key: SuspectKey,
    /// Number of crashes that are attributed to the key.
    pub crashes: u32,
    /// Time since the last of them in milliseconds.
    pub age_ms: u64,
}

/// A limit that a target has named, with an age in place of a time because the clocks of nodes differ.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LimitNotice {
    /// Target that has named the limit.
    pub target: TargetId,
    /// Requests per second of all nodes together; `None` once the target names no limit any more.
    pub per_s: Option<f64>,
    /// Time since the target named it, in milliseconds.
    pub age_ms: u64,
}

/// A target that takes no requests of a node, with the rest of a pause in place of a time because the clocks of nodes differ.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClosureNotice {
    /// Target that is closed.
    pub target: TargetId,
    /// Start of the process that said so, in Unix milliseconds.
    pub started_unix_ms: u64,
    /// Rest of the pause that the target has asked the sender for, in milliseconds; `None` if the target leaves.
    pub pause_ms: Option<u64>,
}

/// An attempt as submitted to the owner of its queue; times are relative because the clocks of nodes differ.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct WireJob {
    /// Hash of the request's kind.
    pub kind: u64,
    /// Priority rank; 0 is served first.
    pub rank: u32,
    /// Time since the request arrived, in milliseconds.
    pub waited_ms: u32,
    /// Objective for the first byte, in milliseconds after the arrival.
    pub objective_ms: u32,
    /// Time until the deadline, in milliseconds after the arrival.
    pub deadline_ms: u32,
    /// Expected size relative to the mean of the kind.
    pub relative_size: f32,
    /// Number of tokens in the prompt.
    pub prompt_tokens: u32,
    /// Hash of the first part of the prompt, for nodes of earlier versions.
    pub shared_part: u64,
    /// Availability zone of the submitting node.
    pub zone: ZoneId,
    /// Targets on which earlier attempts of this request failed.
    pub excluded: SmallVec<[TargetId; 2]>,
    /// True for an attempt after the first.
    pub is_retry: bool,
    /// Version that the target must run; empty for any.
    pub version: VersionId,
    /// Version that the target must not run; empty for none.
    pub avoided_version: VersionId,
    // Nodes of earlier versions end a job here.
    /// Keys of the request that may have crashed targets.
    pub suspects: SmallVec<[SuspectKey; 2]>,
    /// Parts of the prompt.
    pub prompt_parts: PromptParts,
    /// Zones of which the target must be in one; empty for any.
    pub home_zones: SmallVec<[ZoneId; 2]>,
    // Nodes before the fair order end a job here.
    /// Hash of the caller's organisation, 0 when it is not known.
    pub organisation: OrganisationKey,
    /// Share of the organisation relative to others of its rank, 0 when it is not known.
    pub weight: u32,
    /// Identifies repeats of the caller's request, 0 when they can't be recognised.
    pub caller: CallerKey,
}

/// A message between nodes.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum PeerMessage {
    /// Periodic state of the sender.
    Heartbeat(Box<Heartbeat>),
    /// Submits an attempt to the owner of the queue.
    Submit {
        /// Queue of a service.
        queue: String,
        /// Number of the attempt on the sender.
        number: JobNumber,
        /// Properties that the owner decides by.
        job: Box<WireJob>,
    },
    /// The owner has queued the attempt.
    Queued {
        /// Number of the attempt on the receiver.
        number: JobNumber,
    },
    /// The attempt may be sent to the target.
    Granted {
        /// Number of the attempt on the receiver.
        number: JobNumber,
        /// Target whose slot is reserved for the attempt.
        target: TargetId,
    },
    /// The attempt can't be served in time.
    Refused {
        /// Number of the attempt on the receiver.
        number: JobNumber,
        /// Time after which the caller should retry, in milliseconds.
        retry_after_ms: u32,
        /// Predicted wait in milliseconds.
        predicted_wait_ms: u32,
        // Nodes before the fair order end a refusal here.
        /// Part of the predicted wait that is due to more urgent ranks and running attempts, in milliseconds.
        urgent_wait_ms: u32,
        /// Part of the predicted wait that is due to the caller's own organisation, in milliseconds.
        own_wait_ms: u32,
        /// True if the caller has a place in the order when it returns after `retry_after_ms`.
        has_place: bool,
    },
    /// A run has ended, or a waiting attempt was cancelled.
    Ended {
        /// Queue of a service.
        queue: String,
        /// Number of the attempt on the sender.
        number: JobNumber,
        /// Outcome of the run on the sender.
        report: RunReport,
    },
    /// Lists the attempts of the sender in the queue, so that the owner can reconcile its state.
    Status {
        /// Queue of a service.
        queue: String,
        /// Numbers of the waiting attempts.
        waiting: Vec<JobNumber>,
        /// Numbers of the running attempts with their targets.
        running: Vec<(JobNumber, TargetId)>,
        // Nodes of earlier versions end a status here.
        /// Limits that targets of the queue have named to the sender.
        limits: Vec<LimitNotice>,
        /// Targets of the queue that take no requests of the sender.
        closures: Vec<ClosureNotice>,
        // Nodes before brittle targets end a status here.
        /// Targets of the queue that are brittle, with the requests per second that they can turn away.
        brittle: Vec<LimitNotice>,
    },
    /// A target crashed with a request of the sender on it.
    Crash(CrashNotice),
    /// Answers to requests with these keys were complete since targets crashed with them.
    Cleared {
        /// Keys that are no longer suspects.
        keys: SuspectKeys,
    },
    // Nodes of earlier versions can't decode what follows, and drop it.
    /// Answers to requests with these keys have gone on after their first events since targets crashed with them.
    Progressed {
        /// Suspects under which requests no longer wait for each other.
        keys: SuspectKeys,
    },
    /// Counts of the sender by route, for the evaluation of a new version; sent beside heartbeats while a rollout is in progress.
    RolloutRoutes {
        /// Hash of the service's name.
        service: u64,
        /// Number of the rollout order.
        order: u64,
        /// Some of the routes, with all answers that the sender has counted on them.
        routes: Vec<(RouteHash, RolloutCounts)>,
    },
    /// A target crashed with a request of the sender on it whose answer had gone on; the keys are the parts of its prompt.
    LateCrash(CrashNotice),
}

impl PeerMessage {
    /// Returns the name of the kind of message, for logs.
    pub(crate) fn kind(&self) -> &'static str {
        match self {
            Self::Heartbeat(_) => "heartbeat",
            Self::Submit { .. } => "submit",
            Self::Queued { .. } => "queued",
            Self::Granted { .. } => "granted",
            Self::Refused { .. } => "refused",
            Self::Ended { .. } => "ended",
            Self::Status { .. } => "status",
            Self::Crash(_) => "crash",
            Self::Cleared { .. } => "cleared",
            Self::Progressed { .. } => "progressed",
            Self::RolloutRoutes { .. } => "rollout routes",
            Self::LateCrash(_) => "late crash",
        }
    }
}

/// Datagram between nodes: a message with the name of its sender.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(crate) struct PeerEnvelope {
    pub(crate) from: NodeId,
    pub(crate) message: PeerMessage,
}

impl PeerEnvelope {
    /// Decodes a datagram of `length` bytes at the start of the buffer; overwrites the bytes after it.
    ///
    /// # Errors
    ///
    /// Returns an error if the datagram is not a message between nodes or fills the whole buffer.
    pub(crate) fn decode(buffer: &mut [u8], length: usize) -> Result<Self, postcard::Error> {
        let padding = buffer
            .get_mut(length..length + DECODE_PADDING_BYTES)
            .ok_or(postcard::Error::DeserializeUnexpectedEnd)?;
        padding.fill(0);
        postcard::from_bytes(&buffer[..length + DECODE_PADDING_BYTES])
    }
}

#[cfg(test)]
mod tests;
