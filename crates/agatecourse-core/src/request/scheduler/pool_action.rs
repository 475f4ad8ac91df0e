use agatecourse_types::{NodeId, RequestId, TargetId};
use agatecourse_wire::request::{Grant, Refusal};

/// Decision of a pool owner that is sent to an entry node.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum PoolAction {
    /// The node may dispatch the request to the target once.
    Grant {
        /// Node that submitted the request.
        node: NodeId,
        /// Request, target and expected time to finish.
        grant: Grant,
    },
    /// The request is refused before dispatch.
    Refuse {
        /// Node that submitted the request.
        node: NodeId,
        /// Request, result code, reason and time after which a retry is useful.
        refusal: Refusal,
    },
    /// The node cancels the request at the target.
    CancelRunning {
        /// Node that dispatched the request.
        node: NodeId,
        /// Request whose grant was dropped for lack of an outcome.
        request_id: RequestId,
        /// Target that runs the request.
        target: TargetId,
    },
}
