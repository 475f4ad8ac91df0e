use agatecourse_core::request::dispatch::Refusal;
use agatecourse_types::{NodeId, TargetId};
use std::time::Duration;

/// Decision of a queue's owner about an attempt.
#[derive(Debug, Clone, PartialEq)]
pub enum Placement {
    /// The attempt may be sent to the target.
    Granted {
        /// Target whose slot is reserved for the attempt.
        target: TargetId,
        /// Owner of the queue, which made the decision.
        owner: NodeId,
    },
    /// The attempt can't be served in time.
    Refused {
        /// Time after which the caller should retry.
        retry_after: Duration,
        /// Predicted time in the queue.
        predicted_wait: Duration,
        /// Causes of that wait, and whether the caller has a place when it returns.
        refusal: Refusal,
        /// Owner of the queue, which made the decision.
        owner: NodeId,
    },
}
