use crate::process::{JournalActor, PeerJournalMessage};
use agatecourse_types::{NodeId, RequestId};
use agatecourse_wire::PeerMessage;
use agatecourse_wire::request::{Reservation, ReservationOutcome};
use std::time::Duration;
use tokio::sync::oneshot;

// Closed calls are removed once the table has this many entries; the peer connections bound the open ones.
const CALL_CLEANUP_THRESHOLD: usize = 4_096;
// Longer than a round trip; lost messages are sent again after 250 ms in any case.
const PEER_TIMEOUT: Duration = Duration::from_secs(1);

/// Message exchange with the journals of other nodes.
impl JournalActor {
    /// Sends a message to another node without a guarantee of delivery: reservations, outcomes and releases are sent
    /// again until they are answered.
    pub(super) fn send_to_peer(&self, node: NodeId, message: PeerMessage) {
        let (Some(state), Some(address)) = (self.state.upgrade(), self.address.clone()) else {
            return;
        };
        state.clone().runtime.spawn(async move {
            let answer = state.cluster.call(&node, message, PEER_TIMEOUT).await;
            if let Ok(body @ (PeerMessage::ReserveReply { .. } | PeerMessage::Recorded { .. })) =
                answer
            {
                address.do_send(PeerJournalMessage { from: node, body, answer: None });
            }
        });
    }

    /// Answers another node through its open call or, when that is closed, with a separate message.
    pub(super) fn answer_peer(
        &mut self,
        node: NodeId,
        request_id: RequestId,
        message: PeerMessage,
    ) {
        let unsent = match self.calls.remove(&(node.clone(), request_id)) {
            Some(call) => call.send(message).err(),
            None => Some(message),
        };
        if let Some(message) = unsent {
            self.send_to_peer(node, message);
        }
    }

    /// Keeps the open call of a reservation, outcome or release until it can be answered.
    pub(super) fn register_call(
        &mut self,
        node: NodeId,
        body: &PeerMessage,
        call: oneshot::Sender<PeerMessage>,
    ) {
        let (PeerMessage::Reserve { reservation: Reservation { request_id, .. }, .. }
        | PeerMessage::Outcome { outcome: ReservationOutcome { request_id, .. }, .. }
        | PeerMessage::Release { request_id, .. }) = body
        else {
            return;
        };
        if self.calls.len() >= CALL_CLEANUP_THRESHOLD {
            self.calls.retain(|_, call| !call.is_closed());
        }
        self.calls.insert((node, *request_id), call);
    }
}
