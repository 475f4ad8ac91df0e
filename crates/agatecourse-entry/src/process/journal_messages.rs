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

/// Answer to a reservation.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum ReservationResult {
    /// The request may be dispatched.
    Granted,
    /// An earlier request with the key has ended with this outcome.
    Ended(KnownOutcome),
    /// The request is refused.
    Refused(ResultCode),
}

/// Asks for the right to dispatch the request of an idempotency key.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub(crate) struct ReserveKey {
    pub(crate) reservation: Reservation,
    pub(crate) reply: oneshot::Sender<ReservationResult>,
}

/// Reports the end of a request that asked for a reservation; `None` states that no byte of it was sent.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub(crate) struct EndReservation {
    pub(crate) request_id: RequestId,
    pub(crate) outcome: Option<KnownOutcome>,
}

/// Sets the limits of the journal. The number of shards is taken from the first configuration only, because another
/// number would move keys to shards that do not know them.
#[derive(Message)]
#[rtype(result = "()")]
pub(crate) struct ConfigureJournal {
    pub(crate) config: JournalConfig,
    pub(crate) state: Weak<NodeState>,
}

/// Passes on a journal message of another node.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub(crate) struct PeerJournalMessage {
    pub(crate) from: NodeId,
    pub(crate) body: PeerMessage,
    /// Takes the answer if it is known soon; later answers are messages of their own.
    pub(crate) answer: Option<oneshot::Sender<PeerMessage>>,
}

/// Tells that the live nodes have changed.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub(super) struct LiveNodesChanged;

/// Asks for the state of the journal.
#[derive(Debug, Message)]
#[rtype(result = "JournalDump")]
pub(crate) struct SnapshotJournal;

/// State of the journal for `/dump`.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, MessageResponse)]
pub(crate) struct JournalDump {
    pub(crate) shards: Vec<JournalSnapshot>,
    /// Requests of this node that wait for a reservation, run, or are being reported.
    pub(crate) open_requests: usize,
}
