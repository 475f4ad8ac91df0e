use crate::request_id_text;
use agatecourse_types::{
    ConfigVersion, NodeId, PoolId, RequestId, RouteId, RunState, TargetId, Tier, VersionId,
};
use serde::{Deserialize, Serialize};

/// Event of a history line: the field `event` names the variant, and its fields are next to it.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(tag = "event", rename_all = "snake_case")]
pub enum HistoryEvent {
    /// An entry node accepted a request from a caller.
    Accepted {
        /// Id that the entry node assigned.
        #[serde(with = "request_id_text")]
        request_id: RequestId,
        /// Route that the request matched.
        route: RouteId,
        /// Whether requests of the route may run more than once.
        idempotent: bool,
        /// Organisation and idempotency key, joined by `/`; absent without a key.
        #[serde(default)]
        key: Option<String>,
        /// Hash of route and body.
        body_hash: u64,
    },
    /// An entry node is about to send the first byte of a request to a target.
    Dispatched {
        /// Request that is sent.
        #[serde(with = "request_id_text")]
        request_id: RequestId,
        /// Route that the request matched.
        route: RouteId,
        /// Target to which the request is sent.
        target: TargetId,
        /// Version that the target runs.
        version: VersionId,
    },
    /// The target refused the connection of the latest dispatch, so no byte of the request was sent.
    NotSent {
        /// Request that was dispatched.
        #[serde(with = "request_id_text")]
        request_id: RequestId,
        /// Target that refused the connection.
        target: TargetId,
    },
    /// A target began to run a request; recorded on the target's side.
    Ran {
        /// Request that runs.
        #[serde(with = "request_id_text")]
        request_id: RequestId,
        /// Target that runs it.
        target: TargetId,
    },
    /// A target produced the complete answer of a request; recorded on the target's side.
    Produced {
        /// Request that was answered.
        #[serde(with = "request_id_text")]
        request_id: RequestId,
        /// Hash of the complete response body.
        answer_hash: u64,
    },
    /// A caller received the end of an answer; recorded by the caller or by its entry node.
    Delivered {
        /// Request of the caller.
        #[serde(with = "request_id_text")]
        request_id: RequestId,
        /// Request that produced the answer: the same one, or an earlier one with the same idempotency key.
        #[serde(with = "request_id_text")]
        produced_by: RequestId,
        /// Hash of the response body that was delivered.
        answer_hash: u64,
        /// Whether the answer was delivered as complete.
        whole: bool,
    },
    /// A caller received a refusal.
    Refused {
        /// Request of the caller.
        #[serde(with = "request_id_text")]
        request_id: RequestId,
        /// Number of the result code.
        code: u16,
        /// Run state that the refusal reports.
        run: RunState,
    },
    /// A caller disconnected before its answer ended.
    CallerLeft {
        /// Request of the caller.
        #[serde(with = "request_id_text")]
        request_id: RequestId,
    },
    /// A pool owner added a request to its queue.
    Queued {
        /// Pool whose queue holds the request.
        pool: PoolId,
        /// Request that waits.
        #[serde(with = "request_id_text")]
        request_id: RequestId,
        /// Tier of the request; 0 is the highest.
        tier: Tier,
    },
    /// A pool owner removed a request from its queue for a reason other than shedding.
    Unqueued {
        /// Pool whose queue held the request.
        pool: PoolId,
        /// Request that was removed.
        #[serde(with = "request_id_text")]
        request_id: RequestId,
    },
    /// A pool owner shed a request under overload.
    Shed {
        /// Pool whose queue held the request.
        pool: PoolId,
        /// Request that was shed.
        #[serde(with = "request_id_text")]
        request_id: RequestId,
        /// Tier of the request; 0 is the highest.
        tier: Tier,
    },
    /// A version is faulty on a route from this time on; recorded by the process that injects the fault.
    VersionBad {
        /// Route on which the fault applies.
        route: RouteId,
        /// Version that is faulty.
        version: VersionId,
    },
    /// There is enough evidence to detect that a version is faulty on a route.
    FaultShown {
        /// Route on which the fault applies.
        route: RouteId,
        /// Version that is faulty.
        version: VersionId,
    },
    /// A target announced that it leaves, or was ordered to leave.
    TargetLeaving {
        /// Target that must receive no further requests.
        target: TargetId,
    },
    /// A target that had left accepts requests again.
    TargetReturned {
        /// Target that may receive requests again.
        target: TargetId,
    },
    /// A target crashed or was killed.
    TargetDied {
        /// Target whose in-flight requests may end early.
        target: TargetId,
    },
    /// A node became ready to accept requests.
    NodeReady {
        /// Node that became ready.
        subject: NodeId,
    },
    /// A node crashed or was killed.
    NodeDied {
        /// Node whose process ended without a shutdown.
        subject: NodeId,
    },
    /// A node's process was suspended.
    NodePaused {
        /// Node that was suspended.
        subject: NodeId,
    },
    /// A suspended node continued to run.
    NodeResumed {
        /// Node that was suspended before.
        subject: NodeId,
    },
    /// A node began its graceful shutdown.
    ShutdownBegan {
        /// Node that shuts down.
        subject: NodeId,
    },
    /// A node completed its graceful shutdown and exits.
    ShutdownEnded {
        /// Node that shut down.
        subject: NodeId,
    },
    /// The table accepted a configuration.
    ConfigAccepted {
        /// Version of the accepted configuration.
        version: ConfigVersion,
    },
    /// A node applied a configuration.
    ConfigInForce {
        /// Node that applied it.
        subject: NodeId,
        /// Version of the applied configuration.
        version: ConfigVersion,
    },
}
