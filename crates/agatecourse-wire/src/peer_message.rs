use crate::process::{Alert, AlertKey, MemberUpdate};
use crate::request::{
    Finished, Grant, KeyRecord, Refusal, Registration, Reservation, ReservationOutcome,
    ReserveReply, Ticket,
};
use agatecourse_types::{ConfigVersion, NodeId, PoolId, RequestId, ShardId};
use serde::{Deserialize, Serialize};

/// Message between two entry nodes.
///
/// `Ping`, `Ack`, `PingReq` and `Gossip` are sent as datagrams and may be lost, duplicated or reordered. All
/// other messages are sent on streams; they are idempotent by request id, because a sender resends them until it
/// receives an answer or the deadline passes.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[allow(missing_docs, reason = "each field is documented by its type or by the variant")]
pub enum PeerMessage {
    /// Acknowledges a stream message that has no other answer.
    Received,
    /// Probes a member; `sequence` is repeated in the answer.
    Ping { sequence: u64, updates: Vec<MemberUpdate> },
    /// Answers a probe; with sequence 0 it answers no probe and only propagates updates.
    Ack { sequence: u64, updates: Vec<MemberUpdate> },
    /// Asks the receiver to probe `target` on behalf of the sender.
    PingReq { sequence: u64, target: NodeId, updates: Vec<MemberUpdate> },
    /// Propagates alerts.
    Gossip { alerts: Vec<Alert> },
    /// Asks the pool owner for a grant.
    Submit { pool: PoolId, ticket: Ticket },
    /// Allows the receiver to dispatch one request to one target.
    Grant { pool: PoolId, grant: Grant },
    /// Refuses a request before dispatch.
    Refuse { pool: PoolId, refusal: Refusal },
    /// Withdraws a waiting request.
    Cancel { pool: PoolId, request_id: RequestId },
    /// Asks an entry node to cancel a request at its target.
    CancelRunning { pool: PoolId, request_id: RequestId },
    /// Reports the end of a dispatch, which releases its grant.
    Finished { pool: PoolId, finished: Finished },
    /// Reports the sender's waiting and running requests to a new pool owner.
    Register { pool: PoolId, registration: Registration },
    /// Asks the owner of a journal shard to record an intent.
    Reserve { shard: ShardId, reservation: Reservation },
    /// Answers a reservation.
    ReserveReply { shard: ShardId, reply: ReserveReply },
    /// Reports the outcome of a reserved request.
    Outcome { shard: ShardId, outcome: ReservationOutcome },
    /// Releases a reservation whose request was provably not dispatched.
    Release { shard: ShardId, request_id: RequestId, key: String },
    /// Asks the owner of an idempotency key of a model route where its request runs.
    KeyLookup { key: String },
    /// Reports where the request of a key runs; `None` when the owner has no record of the key. Sent to the key
    /// owner, it claims the key for a request of the sender; the owner answers with the record that holds the key.
    KeyRecord { key: String, record: Option<KeyRecord> },
    /// Asks for the part of the configuration at `offset_bytes` if the receiver has at least this version.
    FetchConfig { at_least: ConfigVersion, offset_bytes: u32 },
    /// Carries the part of a configuration that starts at `offset_bytes`; a configuration of full size exceeds
    /// one message.
    Config { version: ConfigVersion, size_bytes: u32, offset_bytes: u32, text: String },
    /// Lists the sender's alerts with keys above `after` and up to `until`, each with its rank:
    /// twice the generation, plus one if the alert is active.
    AlertDigest { known: Vec<(AlertKey, u64)>, after: Option<AlertKey>, until: Option<AlertKey> },
    /// Carries alerts that the receiver lacks.
    Alerts { alerts: Vec<Alert> },
    /// Asks for the explanation of a request.
    Explain { request_id: RequestId },
    /// Carries the explanation of a request as text.
    Explanation { request_id: RequestId, text: Option<String> },
    /// Confirms that the outcome or release of a request is durable or needs no record.
    Recorded { shard: ShardId, request_id: RequestId },
    /// Asks for the members that the receiver knows, unless the hash of its members is `known`.
    FetchMembers { known: u64 },
    /// Lists the members that the sender knows, without dead ones; empty when the hash was equal.
    Members { members: Vec<MemberUpdate> },
    /// Asks whether the receiver has the same alerts; it answers `Received` if so, else its own hash.
    AlertHash { hash: u64 },
    /// Frees the key of a model request whose stream can't be joined.
    KeyRelease { key: String, request_id: RequestId },
}
