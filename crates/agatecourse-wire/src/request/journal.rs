use agatecourse_types::{NodeId, RequestId};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Asks for the exclusive right to dispatch the request of an idempotency key.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Reservation {
    /// Id of the request; a resent message has the same id.
    pub request_id: RequestId,
    /// Organisation and idempotency key, joined by `/`.
    pub key: String,
    /// Hash of route and body; a request with another body is refused.
    pub body_hash: u64,
    /// Time left until the deadline when the message was sent.
    pub deadline_in: Duration,
}

/// Known outcome of a reserved request.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum KnownOutcome {
    /// The target answered with this status and body; bodies above 4 KiB are kept only as a hash.
    Answered {
        /// HTTP status of the answer.
        status: u16,
        /// Content type of the answer.
        content_type: String,
        /// Body of the answer, if it was small enough to keep.
        body: Option<Vec<u8>>,
        /// Hash of the whole body.
        body_hash: u64,
    },
    /// The request may have run and its outcome is not known.
    Unknown,
}

/// Result of a reservation.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum ReserveResult {
    /// The intent is durable; the asking node alone may dispatch the request.
    Granted,
    /// An earlier request with the key was reserved by `node` and has no outcome yet.
    Running {
        /// Id of the earlier request.
        request_id: RequestId,
        /// Node that dispatches the earlier request.
        node: NodeId,
    },
    /// An earlier request with the key has ended.
    Ended {
        /// Id of the earlier request.
        request_id: RequestId,
        /// Outcome of the earlier request.
        outcome: KnownOutcome,
    },
    /// The key was used with another body.
    OtherBody,
    /// The shard is full and the intent was not recorded.
    Full,
    /// The receiver does not own the shard; the sender asks the owner again.
    NotOwner,
}

/// Answers a [`Reservation`].
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ReserveReply {
    /// Id of the request.
    pub request_id: RequestId,
    /// Whether the reservation was granted, or why not.
    pub result: ReserveResult,
}

/// Reports how a reserved request ended.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ReservationOutcome {
    /// Id of the request.
    pub request_id: RequestId,
    /// Organisation and idempotency key, joined by `/`.
    pub key: String,
    /// Outcome to record.
    pub outcome: KnownOutcome,
}
