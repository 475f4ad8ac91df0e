use crate::connection::connection_table::ConnectionTable;
use crate::connection::dispatcher::{self, DispatcherInput};
use crate::connection::incoming_message::IncomingMessage;
use crate::connection::peer_connection::PeerConnection;
use crate::connection::peer_error::{BackOffSnafu, BindSnafu, CodecSnafu, KeysSnafu};
use crate::connection::traffic_counters::{AtomicTrafficCounters, TrafficCounters};
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

/// QUIC idle timeout. With 360 nodes, a pair of nodes exchanges a membership probe every 90 s on average; a timeout
/// below that would cost a handshake of about 4 KB for each probe.
const IDLE_TIMEOUT_MS: u32 = 300_000;
/// Maximum number of concurrent calls of one peer; further calls wait at the peer.
const MAX_CALLS_PER_CONNECTION: u32 = 256;
/// Size of the send buffer and of the receive buffer of each connection for datagrams.
const DATAGRAM_BUFFER_BYTES: usize = 64 * 1024;
/// Timeout of the QUIC handshake.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Maximum wait for peers to confirm closed connections. A peer that is gone never confirms, and QUIC then waits
/// for a multiple of the round-trip time, which has no upper bound on a busy machine.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(1);

/// QUIC endpoint of a node, which sends calls and datagrams to other nodes and handles theirs.
///
/// Two nodes share one connection, which is opened on demand and closed when idle. A connection on which no packet
/// arrives for one second after a message was sent is replaced; its pending calls are retried within a retry
/// budget, so handlers must be idempotent.
#[derive(Debug, Clone)]
pub struct PeerEndpoint {
    state: Arc<EndpointState>,
}

#[derive(Debug)]
pub(super) struct EndpointState {
    pub node: NodeId,
    pub endpoint: Endpoint,
    client_config: Mutex<quinn::ClientConfig>,
    pub counters: AtomicTrafficCounters,
    connection_table: Mutex<ConnectionTable>,
    rng: Mutex<ChaCha8Rng>,
    retry_budget: Mutex<RetryBudget>,
    /// Passes new connections to the dispatcher, which serves the peer's messages on them. The channel needs no
    /// bound, because the numbers of concurrent handshakes and open connections are limited.
    new_connections: mpsc::UnboundedSender<Arc<PeerConnection>>,
}

impl PeerEndpoint {
    /// Binds the UDP socket and starts to serve messages with `handler` on the current tokio runtime.
    ///
    /// The handler receives each message whose sender equals the name in the peer's certificate. Its response
    /// completes a call or is sent as a datagram; a call without a response fails at the caller.
    ///
    /// # Errors
    ///
    /// Returns [`PeerError::Bind`] when the socket can't be opened, and [`PeerError::Keys`] when the TLS
    /// configuration can't be built from the keys.
    pub fn bind<H, F>(address: SocketAddr, keys: &NodeKeys, handler: H) -> Result<Self, PeerError>
    where
        H: Fn(IncomingMessage) -> F + Clone + Send + 'static,
        F: Future<Output = Option<Envelope>> + Send + 'static,
    {
        let transport = transport_config();
        let server = server_config(keys, &transport).context(KeysSnafu)?;
        let client = client_config(keys, &transport).context(KeysSnafu)?;
        let endpoint = Endpoint::server(server, address).context(BindSnafu { address })?;
        let (new_connections, receiver) = mpsc::unbounded_channel();
        let state = Arc::new(EndpointState {
            node: keys.node().to_string(),
            endpoint,
            client_config: Mutex::new(client),
            counters: AtomicTrafficCounters::default(),
            connection_table: Mutex::default(),
            rng: Mutex::new(ChaCha8Rng::seed_from_u64(jitter_seed(keys.node()))),
            retry_budget: Mutex::new(RetryBudget::new()),
            new_connections,
        });
        let input = DispatcherInput::new(receiver, handler);
        tokio::spawn(dispatcher::run(Arc::downgrade(&state), state.endpoint.clone(), input));
        Ok(Self { state })
    }

    /// Returns the local address of the socket, with the port that the operating system chose for port 0.
    ///
    /// # Errors
    ///
    /// Returns the error of the operating system when the address can't be read.
    pub fn local_address(&self) -> std::io::Result<SocketAddr> {
        self.state.endpoint.local_addr()
    }

    /// Replaces the keys for new connections; open connections keep theirs.
    ///
    /// # Errors
    ///
    /// Returns a [`KeyError`] when the new keys can't be used; the previous keys stay in use.
    pub fn replace_keys(&self, keys: &NodeKeys) -> Result<(), KeyError> {
        let transport = transport_config();
        let client = client_config(keys, &transport)?;
        let server = server_config(keys, &transport)?;
        self.state.endpoint.set_server_config(Some(server));
        *self.state.client_config.lock().unwrap_or_else(PoisonError::into_inner) = client;
        Ok(())
    }

    /// Sends a request on its own stream and returns the response, both as raw bytes.
    ///
    /// # Errors
    ///
    /// Returns a [`PeerError`] when no response arrives within `timeout`.
    pub async fn call(
        &self,
        address: SocketAddr,
        bytes: &[u8],
        timeout: Duration,
    ) -> Result<Vec<u8>, PeerError> {
        self.call_with_retry(address, bytes, timeout).await.map(|(response, _)| response)
    }

    /// Sends a message as a call and returns the response after checking its sender.
    ///
    /// # Errors
    ///
    /// Returns a [`PeerError`] when the message can't be encoded or no valid response arrives within `timeout`.
    pub async fn call_message(
        &self,
        address: SocketAddr,
        message: &Envelope,
        timeout: Duration,
    ) -> Result<Envelope, PeerError> {
        let bytes = encode_stream(message).context(CodecSnafu)?;
        let (response, connection) = self.call_with_retry(address, &bytes, timeout).await?;
        let response = decode_stream(&response).context(CodecSnafu)?;
        connection.check_sender(&response)?;
        Ok(response)
    }

    /// Sends bytes as a datagram, which may be lost; opens a connection if there is none.
    ///
    /// # Errors
    ///
    /// Returns a [`PeerError`] when no connection can be opened or the bytes exceed the size of a datagram.
    pub async fn send_datagram(
        &self,
        address: SocketAddr,
        bytes: Vec<u8>,
    ) -> Result<(), PeerError> {
        self.state.connection(address).await?.send_datagram(bytes)
    }

    /// Sends a message as a datagram, which may be lost.
    ///
    /// # Errors
    ///
    /// Returns a [`PeerError`] when no connection can be opened or the message exceeds the size of a datagram.
    pub async fn send_message(
        &self,
        address: SocketAddr,
        message: &Envelope,
    ) -> Result<(), PeerError> {
        self.send_datagram(address, encode_datagram(message).context(CodecSnafu)?).await
    }

    /// Returns the traffic counters, including the bytes of open connections.
    pub fn traffic(&self) -> TrafficCounters {
        // The lock comes first: a closed connection adds its bytes to the counters while holding it, so they are
        // counted exactly once.
        let table = self.state.connection_table();
        let mut traffic = self.state.counters.snapshot();
        table.add_open_connections(&mut traffic);
        traffic
    }

    /// Closes all connections and waits at most one second for the peers to confirm.
    pub async fn close(&self) {
        self.state.endpoint.close(VarInt::from_u32(0), b"shutdown");
        // The close frames have been sent; peers that missed them detect the closed connection by its silence.
        let _ = tokio::time::timeout(CLOSE_TIMEOUT, self.state.endpoint.wait_idle()).await;
    }

    async fn call_with_retry(
        &self,
        address: SocketAddr,
        bytes: &[u8],
        timeout: Duration,
    ) -> Result<(Vec<u8>, Arc<PeerConnection>), PeerError> {
        let deadline = Instant::now() + timeout;
        self.state.retry_budget().record_attempt();
        loop {
            let remaining = deadline.saturating_duration_since(Instant::now());
            let connection = tokio::time::timeout(remaining, self.state.connection(address))
                .await
                .map_err(|_| PeerError::TimedOut { address, timeout })??;
            let remaining = deadline.saturating_duration_since(Instant::now());
            match connection.call(bytes, remaining).await {
                Err(PeerError::ConnectionLost { .. })
                    if self.state.try_charge_retry(&connection) => {}
                Err(PeerError::TimedOut { .. }) => {
                    return Err(PeerError::TimedOut { address, timeout });
                }
                result => return result.map(|response| (response, connection)),
            }
        }
    }
}

impl EndpointState {
    pub fn connection_table(&self) -> MutexGuard<'_, ConnectionTable> {
        self.connection_table.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn retry_budget(&self) -> MutexGuard<'_, RetryBudget> {
        self.retry_budget.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns an open connection that isn't silent, after connecting if there is none.
    async fn connection(&self, address: SocketAddr) -> Result<Arc<PeerConnection>, PeerError> {
        if let Some(connection) = self.usable_connection(address) {
            return Ok(connection);
        }
        let connect_lock = self.connection_table().connect_lock(address);
        let _one_attempt = connect_lock.lock().await;
        if let Some(connection) = self.usable_connection(address) {
            return Ok(connection);
        }
        if let Some(remaining) = self.connection_table().remaining_back_off(address, Instant::now())
        {
            return BackOffSnafu { address, remaining }.fail();
        }
        let result = self.connect(address).await;
        if result.is_err() {
            let mut rng = self.rng.lock().unwrap_or_else(PoisonError::into_inner);
            self.connection_table().record_connect_failure(address, Instant::now(), &mut rng);
        }
        result
    }

    fn usable_connection(&self, address: SocketAddr) -> Option<Arc<PeerConnection>> {
        let connection = self.connection_table().get(address)?;
        if !connection.is_open() {
            return None;
        }
        let is_silent = connection.is_silent(Instant::now());
        if is_silent {
            self.close_silent_connection(&connection);
        }
        (!is_silent).then_some(connection)
    }

    async fn connect(&self, address: SocketAddr) -> Result<Arc<PeerConnection>, PeerError> {
        let unreachable = |message: String| PeerError::Unreachable { address, message };
        let client = self.client_config.lock().unwrap_or_else(PoisonError::into_inner).clone();
        let connecting = self
            .endpoint
            .connect_with(client, address, NodeKeys::server_name())
            .map_err(|error| unreachable(error.to_string()))?;
        let quic = tokio::time::timeout(CONNECT_TIMEOUT, connecting)
            .await
            .map_err(|_| unreachable("handshake timed out".to_string()))?
            .map_err(|error| unreachable(error.to_string()))?;
        let connection = PeerConnection::new(quic, true)
            .ok_or_else(|| unreachable("the peer's certificate has no node name".to_string()))?;
        Ok(self.register_connection(Arc::new(connection)))
    }

    /// Registers a connection, starts to serve it, and returns the one to use for the address.
    pub fn register_connection(&self, connection: Arc<PeerConnection>) -> Arc<PeerConnection> {
        AtomicTrafficCounters::increment(&self.counters.connections);
        let kept = self.connection_table().register(connection.clone(), &self.node);
        // Sending fails only when the dispatcher has ended, and it ends only with the endpoint.
        let _ = self.new_connections.send(connection);
        kept
    }

    fn close_silent_connection(&self, connection: &Arc<PeerConnection>) {
        AtomicTrafficCounters::increment(&self.counters.silent_connections);
        connection.close("silent");
    }

    /// Charges the retry budget and returns whether a call that failed on this connection may be retried.
    ///
    /// A silent connection is closed first; a retry needs a closed connection, so that it uses a new one.
    fn try_charge_retry(&self, connection: &Arc<PeerConnection>) -> bool {
        if connection.is_open() && connection.is_silent(Instant::now()) {
            self.close_silent_connection(connection);
        }
        let is_allowed = !connection.is_open() && self.retry_budget().try_retry();
        if is_allowed {
            AtomicTrafficCounters::increment(&self.counters.retries);
        }
        is_allowed
    }
}

fn transport_config() -> Arc<TransportConfig> {
    let mut transport = TransportConfig::default();
    transport
        .max_idle_timeout(Some(IdleTimeout::from(VarInt::from_u32(IDLE_TIMEOUT_MS))))
        .max_concurrent_bidi_streams(VarInt::from_u32(MAX_CALLS_PER_CONNECTION))
        .max_concurrent_uni_streams(VarInt::from_u32(0))
        .datagram_receive_buffer_size(Some(DATAGRAM_BUFFER_BYTES))
        .datagram_send_buffer_size(DATAGRAM_BUFFER_BYTES)
        // MTU discovery would double the bytes of a new connection, and messages are small.
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

/// Returns a seed from node name and time, so that nodes that start together don't retry at the same times.
fn jitter_seed(node: &str) -> u64 {
    let elapsed = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
    stable_hash(&[node.as_bytes(), &elapsed.as_nanos().to_le_bytes()])
}
