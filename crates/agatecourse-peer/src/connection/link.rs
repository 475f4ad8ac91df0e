use crate::PeerError;
use crate::connection::peer_error::{NoAnswerSnafu, TimedOutSnafu, WrongSenderSnafu};
use crate::process::common_name;
use agatecourse_types::NodeId;
use agatecourse_wire::{Envelope, STREAM_LIMIT_BYTES};
use bytes::Bytes;
use quinn::{ReadError, ReadToEndError, VarInt, WriteError};
use rustls::pki_types::CertificateDer;
use snafu::ensure;
use std::net::SocketAddr;
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

/// A connection is silent when nothing arrives for this long after something was sent on it. QUIC
/// acknowledges within 25 ms, so one second leaves room for several lost packets.
pub(super) const SILENCE: Duration = Duration::from_secs(1);
const PROBE_INTERVAL: Duration = Duration::from_millis(500);

/// One open connection to another node.
#[derive(Debug)]
pub(super) struct Link {
    pub connection: quinn::Connection,
    /// Name in the peer's certificate.
    pub node: NodeId,
    /// Whether this node opened the connection.
    pub opened_here: bool,
    pub opened_at: Instant,
    activity: Mutex<Activity>,
}

#[derive(Debug, Clone, Copy)]
struct Activity {
    last_used: Instant,
    /// Time of the oldest message since the last packet arrived, and the packets received by then.
    unanswered: Option<(Instant, u64)>,
}

impl Link {
    /// Wraps a connection; returns `None` when the certificate carries no node name.
    pub fn new(connection: quinn::Connection, opened_here: bool) -> Option<Self> {
        let chain = connection.peer_identity()?.downcast::<Vec<CertificateDer<'static>>>().ok()?;
        let node = common_name(chain.first()?)?;
        let opened_at = Instant::now();
        let activity = Mutex::new(Activity { last_used: opened_at, unanswered: None });
        Some(Self { connection, node, opened_here, opened_at, activity })
    }

    pub fn address(&self) -> SocketAddr {
        self.connection.remote_address()
    }

    pub fn is_open(&self) -> bool {
        self.connection.close_reason().is_none()
    }

    pub fn last_used(&self) -> Instant {
        self.activity.lock().unwrap_or_else(PoisonError::into_inner).last_used
    }

    /// Returns whether nothing arrived since a message that was sent longer than [`SILENCE`] ago.
    pub fn is_silent(&self, now: Instant) -> bool {
        let received = self.received();
        let activity = self.activity.lock().unwrap_or_else(PoisonError::into_inner);
        activity.unanswered.is_some_and(|(since, count)| count == received && now - since > SILENCE)
    }

    pub fn close(&self, reason: &'static str) {
        self.connection.close(VarInt::from_u32(0), reason.as_bytes());
    }

    pub fn send_datagram(&self, bytes: Vec<u8>) -> Result<(), PeerError> {
        self.record_sent();
        self.connection.send_datagram(Bytes::from(bytes)).map_err(|error| self.lost(&error))
    }

    /// Sends one call and returns its answer; ends early when the connection is silent.
    pub async fn call(&self, bytes: &[u8], timeout: Duration) -> Result<Vec<u8>, PeerError> {
        tokio::select! {
            answer = self.exchange(bytes) => answer,
            () = self.wait_for_silence() => Err(self.lost(&"the peer is silent")),
            () = tokio::time::sleep(timeout) => {
                TimedOutSnafu { address: self.address(), timeout }.fail()
            }
        }
    }

    /// Checks that a message comes from the node that the certificate names.
    pub fn check_sender(&self, envelope: &Envelope) -> Result<(), PeerError> {
        let (address, certified, claimed) = (self.address(), &self.node, &envelope.from);
        ensure!(certified == claimed, WrongSenderSnafu { address, certified, claimed });
        Ok(())
    }

    async fn exchange(&self, bytes: &[u8]) -> Result<Vec<u8>, PeerError> {
        let lost = |error: &dyn std::fmt::Display| self.lost(error);
        let (mut send, mut receive) =
            self.connection.open_bi().await.map_err(|error| lost(&error))?;
        self.record_sent();
        match send.write_all(bytes).await {
            Err(WriteError::ConnectionLost(error)) => return Err(lost(&error)),
            // The peer stops reading a request that it rejects; the reason is in the answer.
            Err(_) => {}
            // The stream was opened here and is finished once, so this can't fail.
            Ok(()) => drop(send.finish()),
        }
        let answer = match receive.read_to_end(STREAM_LIMIT_BYTES).await {
            Err(ReadToEndError::Read(ReadError::ConnectionLost(error))) => Err(lost(&error)),
            Err(_) => NoAnswerSnafu { address: self.address() }.fail(),
            Ok(answer) => Ok(answer),
        }?;
        // A handler that panics ends its stream without any byte.
        ensure!(!answer.is_empty(), NoAnswerSnafu { address: self.address() });
        Ok(answer)
    }

    /// Probes with empty datagrams while a call waits, because a waiting call itself causes no traffic.
    async fn wait_for_silence(&self) {
        loop {
            tokio::time::sleep(PROBE_INTERVAL).await;
            if self.is_silent(Instant::now()) {
                return;
            }
            // A failed probe means that the connection is closed, which ends the call by itself.
            let _ = self.send_datagram(Vec::new());
        }
    }

    fn record_sent(&self) {
        let (now, received) = (Instant::now(), self.received());
        let mut activity = self.activity.lock().unwrap_or_else(PoisonError::into_inner);
        activity.last_used = now;
        if activity.unanswered.is_none_or(|(_, count)| count != received) {
            activity.unanswered = Some((now, received));
        }
    }

    fn received(&self) -> u64 {
        self.connection.stats().udp_rx.datagrams
    }

    fn lost(&self, message: &(impl std::fmt::Display + ?Sized)) -> PeerError {
        PeerError::ConnectionLost { address: self.address(), message: message.to_string() }
    }
}
