use crate::PeerError;
use crate::connection::peer_error::{NoResponseSnafu, TimedOutSnafu, WrongSenderSnafu};
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

/// A connection is silent when no packet arrives for this long after a message was sent on it. QUIC
/// acknowledges within 25 ms, so one second tolerates several lost packets.
pub(super) const SILENCE_TIMEOUT: Duration = Duration::from_secs(1);
/// Interval of liveness probes while a call waits for its response; shorter than [`SILENCE_TIMEOUT`].
const PROBE_INTERVAL: Duration = Duration::from_millis(500);

/// QUIC connection to another node, with the times that detect a silent peer.
#[derive(Debug)]
pub(super) struct PeerConnection {
    pub quic: quinn::Connection,
    /// Node name in the peer's certificate.
    pub node: NodeId,
    /// Whether this node opened the connection, rather than the peer.
    pub is_outbound: bool,
    pub opened_at: Instant,
    activity: Mutex<ConnectionActivity>,
}

#[derive(Debug, Clone, Copy)]
struct ConnectionActivity {
    last_used: Instant,
    /// When the oldest message without any later packet from the peer was sent, and how many packets had been
    /// received by then.
    unacknowledged: Option<(Instant, u64)>,
}

impl PeerConnection {
    /// Wraps an established connection; returns `None` when the peer's certificate has no common name.
    pub fn new(quic: quinn::Connection, is_outbound: bool) -> Option<Self> {
        let chain = quic.peer_identity()?.downcast::<Vec<CertificateDer<'static>>>().ok()?;
        let node = common_name(chain.first()?)?;
        let opened_at = Instant::now();
        let activity =
            Mutex::new(ConnectionActivity { last_used: opened_at, unacknowledged: None });
        Some(Self { quic, node, is_outbound, opened_at, activity })
    }

    pub fn address(&self) -> SocketAddr {
        self.quic.remote_address()
    }

    pub fn is_open(&self) -> bool {
        self.quic.close_reason().is_none()
    }

    pub fn last_used(&self) -> Instant {
        self.activity.lock().unwrap_or_else(PoisonError::into_inner).last_used
    }

    /// Returns whether a message was sent more than [`SILENCE_TIMEOUT`] ago and no packet has arrived since.
    pub fn is_silent(&self, now: Instant) -> bool {
        let received = self.received_packets();
        let activity = self.activity.lock().unwrap_or_else(PoisonError::into_inner);
        activity
            .unacknowledged
            .is_some_and(|(since, count)| count == received && now - since > SILENCE_TIMEOUT)
    }

    pub fn close(&self, reason: &'static str) {
        self.quic.close(VarInt::from_u32(0), reason.as_bytes());
    }

    pub fn send_datagram(&self, bytes: Vec<u8>) -> Result<(), PeerError> {
        self.record_send();
        self.quic.send_datagram(Bytes::from(bytes)).map_err(|error| self.connection_lost(&error))
    }

    /// Sends a request and returns the response; fails before the timeout when the connection is silent.
    pub async fn call(&self, bytes: &[u8], timeout: Duration) -> Result<Vec<u8>, PeerError> {
        tokio::select! {
            response = self.send_request(bytes) => response,
            () = self.wait_until_silent() => Err(self.connection_lost(&"the peer is silent")),
            () = tokio::time::sleep(timeout) => {
                TimedOutSnafu { address: self.address(), timeout }.fail()
            }
        }
    }

    /// Checks that the sender of a message equals the node name in the peer's certificate.
    pub fn check_sender(&self, envelope: &Envelope) -> Result<(), PeerError> {
        let (address, certified, claimed) = (self.address(), &self.node, &envelope.from);
        ensure!(certified == claimed, WrongSenderSnafu { address, certified, claimed });
        Ok(())
    }

    async fn send_request(&self, bytes: &[u8]) -> Result<Vec<u8>, PeerError> {
        let connection_lost = |error: &dyn std::fmt::Display| self.connection_lost(error);
        let (mut send, mut receive) =
            self.quic.open_bi().await.map_err(|error| connection_lost(&error))?;
        self.record_send();
        match send.write_all(bytes).await {
            Err(WriteError::ConnectionLost(error)) => return Err(connection_lost(&error)),
            // The peer may stop reading a request that it rejects; reading its response below gives the result.
            Err(_) => {}
            // The stream was opened above and is finished only once, so this can't fail.
            Ok(()) => drop(send.finish()),
        }
        let response = match receive.read_to_end(STREAM_LIMIT_BYTES).await {
            Err(ReadToEndError::Read(ReadError::ConnectionLost(error))) => {
                Err(connection_lost(&error))
            }
            Err(_) => NoResponseSnafu { address: self.address() }.fail(),
            Ok(response) => Ok(response),
        }?;
        // When the peer's handler panics, its stream finishes without data.
        ensure!(!response.is_empty(), NoResponseSnafu { address: self.address() });
        Ok(response)
    }

    /// Sends empty datagrams as liveness probes until the connection is silent.
    ///
    /// A call that waits for its response causes no traffic by itself, so silence would go unnoticed without them.
    async fn wait_until_silent(&self) {
        loop {
            tokio::time::sleep(PROBE_INTERVAL).await;
            if self.is_silent(Instant::now()) {
                return;
            }
            // If the probe fails, the connection is closed, which also ends the call.
            let _ = self.send_datagram(Vec::new());
        }
    }

    fn record_send(&self) {
        let (now, received) = (Instant::now(), self.received_packets());
        let mut activity = self.activity.lock().unwrap_or_else(PoisonError::into_inner);
        activity.last_used = now;
        if activity.unacknowledged.is_none_or(|(_, count)| count != received) {
            activity.unacknowledged = Some((now, received));
        }
    }

    fn received_packets(&self) -> u64 {
        self.quic.stats().udp_rx.datagrams
    }

    fn connection_lost(&self, message: &(impl std::fmt::Display + ?Sized)) -> PeerError {
        PeerError::ConnectionLost { address: self.address(), message: message.to_string() }
    }
}
