use crate::connection::connection_table::ConnectionTable;
use crate::connection::dispatcher::{self, Inbox};
use crate::connection::incoming_message::IncomingMessage;
use crate::connection::link::Link;
use crate::connection::peer_error::{BackOffSnafu, BindSnafu, CodecSnafu, KeysSnafu};
use crate::connection::traffic_counters::{Counters, TrafficCounters};
use crate::{KeyError, NodeKeys, PeerError};
use agatecourse_core::process::RetryBudget;
use agatecourse_types::{NodeId, stable_hash};
use agatecourse_wire::{Envelope, decode_stream, encode_datagram, encode_stream};
use quinn::{Endpoint, IdleTimeout, TransportConfig, VarInt};
use rand_chacha::ChaCha8Rng;
use rand_core::SeedableRng;
use snafu::ResultExt;
use std::future::Future;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant, SystemTime};
use tokio::sync::mpsc;

/// Idle connections are closed after this time. At 360 nodes a pair exchanges a probe every 90 s on average;
/// closing earlier would cost a handshake of about 4 KB for each probe.
const IDLE_TIMEOUT_MS: u32 = 300_000;
/// Calls that one peer may have open at once; further ones wait at the peer.
const MAX_CALLS_PER_CONNECTION: u32 = 256;
const DATAGRAM_BUFFER_BYTES: usize = 64 * 1024;
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Time that peers get to confirm that connections are closed; a peer that is gone never does, and the wait for it is a multiple
/// of the round trip, which has no bound on a busy machine.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(1);

/// QUIC endpoint of a node: calls and datagrams to other nodes, and a handler for theirs.
///
/// There is one connection per pair of nodes, opened on demand and closed when idle. A connection on which
/// nothing arrives for one second after a message was sent is replaced; a call that waits on it is sent
/// again within a retry budget, so handlers must be idempotent.
#[derive(Debug, Clone)]
pub struct PeerEndpoint {
    shared: Arc<Shared>,
}

#[derive(Debug)]
pub(super) struct Shared {
    pub node: NodeId,
    pub endpoint: Endpoint,
    client: Mutex<quinn::ClientConfig>,
    pub counters: Counters,
    table: Mutex<ConnectionTable>,
    rng: Mutex<ChaCha8Rng>,
    retries: Mutex<RetryBudget>,
    /// Hands opened connections to the dispatcher, which serves the peer's messages on them. The queue needs
    /// no limit of its own, because handshakes and open connections are limited.
    opened: mpsc::UnboundedSender<Arc<Link>>,
}

impl PeerEndpoint {
    /// Opens the endpoint and starts to serve messages with `handler` on the current tokio runtime.
    ///
    /// The handler gets each message whose sender equals the name in its certificate. Its answer ends a call
    /// or is sent back as a datagram; a call without an answer fails at the caller.
    ///
    /// # Errors
    ///
    /// Returns [`PeerError::Bind`] or [`PeerError::Keys`].
    pub fn bind<H, F>(address: SocketAddr, keys: &NodeKeys, handler: H) -> Result<Self, PeerError>
    where
        H: Fn(IncomingMessage) -> F + Clone + Send + 'static,
        F: Future<Output = Option<Envelope>> + Send + 'static,
    {
        let transport = transport();
        let server = server_config(keys, &transport).context(KeysSnafu)?;
        let client = client_config(keys, &transport).context(KeysSnafu)?;
        let endpoint = Endpoint::server(server, address).context(BindSnafu { address })?;
        let (opened, inbox) = mpsc::unbounded_channel();
        let shared = Arc::new(Shared {
            node: keys.node().to_string(),
            endpoint,
            client: Mutex::new(client),
            counters: Counters::default(),
            table: Mutex::default(),
            rng: Mutex::new(ChaCha8Rng::seed_from_u64(jitter_seed(keys.node()))),
            retries: Mutex::new(RetryBudget::new()),
            opened,
        });
        let inbox = Inbox::new(inbox, handler);
        tokio::spawn(dispatcher::run(Arc::downgrade(&shared), shared.endpoint.clone(), inbox));
        Ok(Self { shared })
    }

    /// Returns the address of the socket.
    ///
    /// # Errors
    ///
    /// Returns the error of the operating system.
    pub fn local_address(&self) -> std::io::Result<SocketAddr> {
        self.shared.endpoint.local_addr()
    }

    /// Replaces the keys for new connections; open connections continue.
    ///
    /// # Errors
    ///
    /// Returns a [`KeyError`] and keeps the earlier keys when the new ones can't be used.
    pub fn replace_keys(&self, keys: &NodeKeys) -> Result<(), KeyError> {
        let transport = transport();
        let client = client_config(keys, &transport)?;
        let server = server_config(keys, &transport)?;
        self.shared.endpoint.set_server_config(Some(server));
        *self.shared.client.lock().unwrap_or_else(PoisonError::into_inner) = client;
        Ok(())
    }

    /// Sends bytes on a stream of their own and returns the answer.
    ///
    /// # Errors
    ///
    /// Returns a [`PeerError`] when no answer arrives within `timeout`.
    pub async fn call(
        &self,
        address: SocketAddr,
        bytes: &[u8],
        timeout: Duration,
    ) -> Result<Vec<u8>, PeerError> {
        self.exchange(address, bytes, timeout).await.map(|(answer, _)| answer)
    }

    /// Sends a message as a call and returns the answer after checking its sender.
    ///
    /// # Errors
    ///
    /// Returns a [`PeerError`] when no valid answer arrives within `timeout`.
    pub async fn call_message(
        &self,
        address: SocketAddr,
        message: &Envelope,
        timeout: Duration,
    ) -> Result<Envelope, PeerError> {
        let bytes = encode_stream(message).context(CodecSnafu)?;
        let (answer, link) = self.exchange(address, &bytes, timeout).await?;
        let answer = decode_stream(&answer).context(CodecSnafu)?;
        link.check_sender(&answer)?;
        Ok(answer)
    }

    /// Sends bytes that may be lost, after opening a connection when there is none.
    ///
    /// # Errors
    ///
    /// Returns a [`PeerError`] when there is no connection or the bytes exceed a datagram.
    pub async fn send_datagram(
        &self,
        address: SocketAddr,
        bytes: Vec<u8>,
    ) -> Result<(), PeerError> {
        self.shared.link(address).await?.send_datagram(bytes)
    }

    /// Sends a message as a datagram.
    ///
    /// # Errors
    ///
    /// Returns a [`PeerError`] when there is no connection or the message exceeds a datagram.
    pub async fn send_message(
        &self,
        address: SocketAddr,
        message: &Envelope,
    ) -> Result<(), PeerError> {
        self.send_datagram(address, encode_datagram(message).context(CodecSnafu)?).await
    }

    /// Returns the counters of the endpoint.
    pub fn traffic(&self) -> TrafficCounters {
        // The lock is taken first: a connection that ends moves its bytes to the counters under it.
        let table = self.shared.table();
        let mut traffic = self.shared.counters.read();
        table.add_open(&mut traffic);
        traffic
    }

    /// Closes all connections and waits until the peers have been told, for one second at most.
    pub async fn close(&self) {
        self.shared.endpoint.close(VarInt::from_u32(0), b"shutdown");
        // The close was sent at once, and peers that missed it find the connection dead by themselves.
        let _ = tokio::time::timeout(CLOSE_TIMEOUT, self.shared.endpoint.wait_idle()).await;
    }

    async fn exchange(
        &self,
        address: SocketAddr,
        bytes: &[u8],
        timeout: Duration,
    ) -> Result<(Vec<u8>, Arc<Link>), PeerError> {
        let deadline = Instant::now() + timeout;
        self.shared.retries().record_attempt();
        loop {
            let remaining = deadline.saturating_duration_since(Instant::now());
            let link = tokio::time::timeout(remaining, self.shared.link(address))
                .await
                .map_err(|_| PeerError::TimedOut { address, timeout })??;
            let remaining = deadline.saturating_duration_since(Instant::now());
            match link.call(bytes, remaining).await {
                Err(PeerError::ConnectionLost { .. }) if self.shared.may_retry(&link) => {}
                Err(PeerError::TimedOut { .. }) => {
                    return Err(PeerError::TimedOut { address, timeout });
                }
                result => return result.map(|answer| (answer, link)),
            }
        }
    }
}

impl Shared {
    pub fn table(&self) -> MutexGuard<'_, ConnectionTable> {
        self.table.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn retries(&self) -> MutexGuard<'_, RetryBudget> {
        self.retries.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns an open connection that is not silent.
    async fn link(&self, address: SocketAddr) -> Result<Arc<Link>, PeerError> {
        if let Some(link) = self.usable(address) {
            return Ok(link);
        }
        let dialing = self.table().dialing(address);
        let _one_attempt = dialing.lock().await;
        if let Some(link) = self.usable(address) {
            return Ok(link);
        }
        if let Some(remaining) = self.table().remaining_back_off(address, Instant::now()) {
            return BackOffSnafu { address, remaining }.fail();
        }
        let result = self.dial(address).await;
        if result.is_err() {
            let mut rng = self.rng.lock().unwrap_or_else(PoisonError::into_inner);
            self.table().record_failure(address, Instant::now(), &mut rng);
        }
        result
    }

    fn usable(&self, address: SocketAddr) -> Option<Arc<Link>> {
        let link = self.table().link(address)?;
        if !link.is_open() {
            return None;
        }
        let silent = link.is_silent(Instant::now());
        if silent {
            self.drop_silent(&link);
        }
        (!silent).then_some(link)
    }

    async fn dial(&self, address: SocketAddr) -> Result<Arc<Link>, PeerError> {
        let unreachable = |message: String| PeerError::Unreachable { address, message };
        let client = self.client.lock().unwrap_or_else(PoisonError::into_inner).clone();
        let connecting = self
            .endpoint
            .connect_with(client, address, NodeKeys::server_name())
            .map_err(|error| unreachable(error.to_string()))?;
        let connection = tokio::time::timeout(CONNECT_TIMEOUT, connecting)
            .await
            .map_err(|_| unreachable("no answer to the handshake".to_string()))?
            .map_err(|error| unreachable(error.to_string()))?;
        let link = Link::new(connection, true)
            .ok_or_else(|| unreachable("the certificate carries no node name".to_string()))?;
        Ok(self.adopt(Arc::new(link)))
    }

    /// Registers a connection and starts to serve it; returns the one in use for the address.
    pub fn adopt(&self, link: Arc<Link>) -> Arc<Link> {
        Counters::increment(&self.counters.connections);
        let kept = self.table().register(link.clone(), &self.node);
        // The dispatcher ends only together with the endpoint.
        let _ = self.opened.send(link);
        kept
    }

    fn drop_silent(&self, link: &Arc<Link>) {
        Counters::increment(&self.counters.silent_connections);
        link.close("silent");
    }

    fn may_retry(&self, link: &Arc<Link>) -> bool {
        if link.is_open() && link.is_silent(Instant::now()) {
            self.drop_silent(link);
        }
        let allowed = !link.is_open() && self.retries().try_retry();
        if allowed {
            Counters::increment(&self.counters.retries);
        }
        allowed
    }
}

fn transport() -> Arc<TransportConfig> {
    let mut transport = TransportConfig::default();
    transport
        .max_idle_timeout(Some(IdleTimeout::from(VarInt::from_u32(IDLE_TIMEOUT_MS))))
        .max_concurrent_bidi_streams(VarInt::from_u32(MAX_CALLS_PER_CONNECTION))
        .max_concurrent_uni_streams(VarInt::from_u32(0))
        .datagram_receive_buffer_size(Some(DATAGRAM_BUFFER_BYTES))
        .datagram_send_buffer_size(DATAGRAM_BUFFER_BYTES)
        // Probes for a larger MTU would double the bytes of a new connection, and messages are small.
        .mtu_discovery_config(None);
    Arc::new(transport)
}

fn server_config(
    keys: &NodeKeys,
    transport: &Arc<TransportConfig>,
) -> Result<quinn::ServerConfig, KeyError> {
    let mut config = quinn::ServerConfig::with_crypto(Arc::new(keys.server_config()?));
    config.transport_config(transport.clone()).migration(false);
    Ok(config)
}

fn client_config(
    keys: &NodeKeys,
    transport: &Arc<TransportConfig>,
) -> Result<quinn::ClientConfig, KeyError> {
    let mut config = quinn::ClientConfig::new(Arc::new(keys.client_config()?));
    config.transport_config(transport.clone());
    Ok(config)
}

/// Nodes that start together must not retry in step, so the seed depends on node and time.
fn jitter_seed(node: &str) -> u64 {
    let elapsed = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
    stable_hash(&[node.as_bytes(), &elapsed.as_nanos().to_le_bytes()])
}
