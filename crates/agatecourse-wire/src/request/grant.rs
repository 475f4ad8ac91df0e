use agatecourse_types::{RequestId, ResultCode, TargetId, VersionId};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Allows the entry node to dispatch one request to one target, once.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Grant {
    /// Id of the request.
    pub request_id: RequestId,
    /// Target that runs the request.
    pub target: TargetId,
    /// Version that the target is expected to run.
    pub version: VersionId,
    /// Expected time from dispatch to the end of the answer.
    pub expected: Duration,
    /// Reason for the choice of target, shown by `explain`.
    pub reason: String,
}

/// Refuses a request before dispatch.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Refusal {
    /// Id of the request.
    pub request_id: RequestId,
    /// Result code; its run state is always `no`.
    pub code: ResultCode,
    /// Time after which the caller may retry; `None` when no retry time is suggested.
    pub retry_after: Option<Duration>,
    /// Reason for the refusal, shown by `explain`.
    pub reason: String,
}

/// Outcome of one dispatch as the entry node saw it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum DispatchOutcome {
    /// The complete answer was received.
    Completed,
    /// The target answered with an error.
    Failed,
    /// The connection was refused before any byte of the request was sent.
    NotSent,
    /// The connection was lost while the target ran the request.
    Broken,
    /// The caller disconnected and the request was cancelled.
    Cancelled,
    /// The deadline passed and the request was cancelled.
    Expired,
}

/// Reports the end of a dispatch to the pool owner.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Finished {
    /// Id of the request.
    pub request_id: RequestId,
    /// Target that ran the request.
    pub target: TargetId,
    /// Version that ran the request.
    pub version: VersionId,
    /// How the dispatch ended.
    pub outcome: DispatchOutcome,
    /// Tokens of the prompt.
    pub read_tokens: u32,
    /// Tokens of the prompt that the target found in its prefix cache.
    pub cached_tokens: u32,
    /// Tokens of the answer.
    pub written_tokens: u32,
    /// Time from dispatch to the first token or byte, if one arrived.
    pub first_token: Option<Duration>,
    /// Time from dispatch to the end.
    pub elapsed: Duration,
}
