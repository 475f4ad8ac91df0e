use crate::process::NodeState;
use actix::prelude::*;
use agatecourse_config::JournalConfig;
use agatecourse_core::request::journal::JournalSnapshot;
use agatecourse_types::{NodeId, RequestId, ResultCode};
use agatecourse_wire::PeerMessage;
use agatecourse_wire::request::{KnownOutcome, Reservation};
use serde::Serialize;
use std::sync::Weak;
use tokio::sync::oneshot;

/// Result of asking for the reservation of an idempotency key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum ReservationResult {
    /// The request may be dispatched.
    Granted,
    /// An earlier request with the key has ended with this outcome.
    Ended(KnownOutcome),
    /// The request must be refused with this result code.
    Refused(ResultCode),
}

/// Reserves an idempotency key, which gives one request the right to be dispatched.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub(crate) struct ReserveKey {
    pub(crate) reservation: Reservation,
    pub(crate) reply: oneshot::Sender<ReservationResult>,
}

/// Reports the end of a request that asked for a reservation.
///
/// The outcome is `None` when no byte of the request was sent to a target.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub(crate) struct EndReservation {
    pub(crate) request_id: RequestId,
    pub(crate) outcome: Option<KnownOutcome>,
}

/// Passes the journal settings of a new configuration.
///
/// Only the first one sets the number of shards: a different number would map keys to shards that have no record of
/// them.
#[derive(Message)]
#[rtype(result = "()")]
pub(crate) struct ConfigureJournal {
    pub(crate) config: JournalConfig,
    pub(crate) state: Weak<NodeState>,
}

/// Carries a journal message from another node.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub(crate) struct PeerJournalMessage {
    pub(crate) from: NodeId,
    pub(crate) body: PeerMessage,
    /// Answers the open call of the sender; when it is closed or absent, the answer is sent as a separate message.
    pub(crate) answer: Option<oneshot::Sender<PeerMessage>>,
}

/// Reports that the live nodes have changed.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub(super) struct LiveNodesChanged;

/// Asks for a [`JournalDump`].
#[derive(Debug, Message)]
#[rtype(result = "JournalDump")]
pub(crate) struct SnapshotJournal;

/// State of the journal as `/dump` returns it.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, MessageResponse)]
pub(crate) struct JournalDump {
    pub(crate) shards: Vec<JournalSnapshot>,
    /// Number of requests of this node that wait for a reservation, are running, or whose outcome is being recorded.
    pub(crate) open_requests: usize,
}
