use agatecourse_types::{NodeId, RequestId, TargetId};
use serde::{Deserialize, Serialize};

/// Record of where the request of an idempotency key on a model route runs.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct KeyRecord {
    /// Hash of the body; a request with another body is refused.
    pub body_hash: u64,
    /// Id of the request, which is also the stream id at the target.
    pub request_id: RequestId,
    /// Node that dispatched the request.
    pub node: NodeId,
    /// Target that runs the request, once it was dispatched.
    pub target: Option<TargetId>,
}
