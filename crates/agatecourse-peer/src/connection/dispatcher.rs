use crate::connection::incoming_message::{IncomingMessage, MessageChannel};
use crate::connection::peer_connection::PeerConnection;
use crate::connection::peer_endpoint::EndpointState;
use crate::connection::traffic_counters::AtomicTrafficCounters;
use agatecourse_wire::{
    CodecError, Envelope, STREAM_LIMIT_BYTES, decode_datagram, decode_stream, encode_datagram,
    encode_stream,
};
use quinn::{Endpoint, RecvStream, SendStream};
use std::future::Future;
use std::sync::atomic::Ordering;
use std::sync::{Arc, Weak};
use std::time::Duration;
use tokio::sync::mpsc;

/// Interval at which a connection checks whether it has been superseded and then closes. The delay lets in-flight
/// calls on it complete.
const SUPERSEDED_CHECK_INTERVAL: Duration = Duration::from_secs(10);
/// Timeout for reading a whole request, so that incomplete requests don't occupy streams.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);
/// Maximum number of concurrent incoming handshakes; further ones are refused, and the peer retries.
const MAX_HANDSHAKES: usize = 64;

/// Input of the dispatcher: established connections to serve, and the handler for their messages.
pub(super) struct DispatcherInput<H> {
    new_connections: mpsc::UnboundedReceiver<Arc<PeerConnection>>,
    handler: H,
}

impl<H> DispatcherInput<H> {
    pub fn new(new_connections: mpsc::UnboundedReceiver<Arc<PeerConnection>>, handler: H) -> Self {
        Self { new_connections, handler }
    }
}

/// Accepts incoming connections, and serves messages on all connections until the endpoint is closed or dropped.
pub(super) async fn run<H, F>(
    state: Weak<EndpointState>,
    endpoint: Endpoint,
    mut input: DispatcherInput<H>,
) where
    H: Fn(IncomingMessage) -> F + Clone + Send + 'static,
    F: Future<Output = Option<Envelope>> + Send + 'static,
{
    let handshakes = Arc::new(tokio::sync::Semaphore::new(MAX_HANDSHAKES));
    loop {
        tokio::select! {
            incoming = endpoint.accept() => {
                let Some(incoming) = incoming else { return };
                match handshakes.clone().try_acquire_owned() {
                    Ok(permit) => {
                        let accepted = accept_connection(state.clone(), incoming);
                        tokio::spawn(async move {
                            accepted.await;
                            drop(permit);
                        });
                    }
                    Err(_) => incoming.refuse(),
                }
            }
            connection = input.new_connections.recv() => {
                // The channel is closed once the last `PeerEndpoint` has been dropped.
                let (Some(connection), Some(state)) = (connection, state.upgrade()) else {
                    endpoint.close(quinn::VarInt::from_u32(0), b"dropped");
                    return;
                };
                tokio::spawn(serve_datagrams(Arc::downgrade(&state), connection.clone(), input.handler.clone()));
                tokio::spawn(serve_calls(Arc::downgrade(&state), connection, input.handler.clone()));
            }
        }
    }
}

async fn accept_connection(state: Weak<EndpointState>, incoming: quinn::Incoming) {
    // QUIC reports a failed handshake to the peer, for example one with a certificate of another deployment.
    let Ok(quic) = incoming.await else { return };
    let (Some(state), Some(connection)) = (state.upgrade(), PeerConnection::new(quic, false))
    else {
        return;
    };
    state.register_connection(Arc::new(connection));
}

async fn serve_datagrams<H, F>(
    state: Weak<EndpointState>,
    connection: Arc<PeerConnection>,
    handler: H,
) where
    H: Fn(IncomingMessage) -> F,
    F: Future<Output = Option<Envelope>>,
{
    while let Ok(bytes) = connection.quic.read_datagram().await {
        // Empty datagrams are liveness probes that the peer sends while it waits for a response.
        if bytes.is_empty() {
            continue;
        }
        let Some(incoming) =
            verify_message(&state, &connection, MessageChannel::Datagram, decode_datagram(&bytes))
        else {
            continue;
        };
        if let Some(response) = handler(incoming).await
            && let Ok(bytes) = encode_datagram(&response)
        {
            // Datagrams are unreliable, so a response that can't be sent is handled like a lost one.
            let _ = connection.send_datagram(bytes);
        }
    }
}

async fn serve_calls<H, F>(state: Weak<EndpointState>, connection: Arc<PeerConnection>, handler: H)
where
    H: Fn(IncomingMessage) -> F + Clone + Send + 'static,
    F: Future<Output = Option<Envelope>> + Send + 'static,
{
    let mut closing = std::pin::pin!(close_if_superseded(state.clone(), connection.clone()));
    let mut is_superseded_check_done = false;
    loop {
        tokio::select! {
            stream = connection.quic.accept_bi() => {
                let Ok((send, receive)) = stream else { break };
                let (state, connection, handler) = (state.clone(), connection.clone(), handler.clone());
                tokio::spawn(async move { serve_call(state, connection, handler, send, receive).await });
            }
            () = &mut closing, if !is_superseded_check_done => is_superseded_check_done = true,
        }
    }
    if let Some(state) = state.upgrade() {
        let quic_stats = connection.quic.stats();
        let mut table = state.connection_table();
        state.counters.sent_bytes.fetch_add(quic_stats.udp_tx.bytes, Ordering::Relaxed);
        state.counters.received_bytes.fetch_add(quic_stats.udp_rx.bytes, Ordering::Relaxed);
        table.remove(&connection);
    }
}

async fn close_if_superseded(state: Weak<EndpointState>, connection: Arc<PeerConnection>) {
    loop {
        tokio::time::sleep(SUPERSEDED_CHECK_INTERVAL).await;
        let Some(state) = state.upgrade() else { return };
        if state.connection_table().is_superseded(&connection) {
            connection.close("replaced by another connection");
            return;
        }
    }
}

async fn serve_call<H, F>(
    state: Weak<EndpointState>,
    connection: Arc<PeerConnection>,
    handler: H,
    mut send: SendStream,
    mut receive: RecvStream,
) where
    H: Fn(IncomingMessage) -> F,
    F: Future<Output = Option<Envelope>>,
{
    // Dropping the stream would finish it as an empty response, so a call without a response is reset.
    if let Some(response) = handle_call(&state, &connection, handler, &mut receive).await {
        // A write error means that the caller has cancelled the call or disconnected.
        let _ = send.write_all(&response).await;
        let _ = send.finish();
    } else {
        let _ = send.reset(quinn::VarInt::from_u32(1));
    }
}

async fn handle_call<H, F>(
    state: &Weak<EndpointState>,
    connection: &PeerConnection,
    handler: H,
    receive: &mut RecvStream,
) -> Option<Vec<u8>>
where
    H: Fn(IncomingMessage) -> F,
    F: Future<Output = Option<Envelope>>,
{
    let request = receive.read_to_end(STREAM_LIMIT_BYTES);
    let bytes = tokio::time::timeout(REQUEST_TIMEOUT, request).await.ok()?.ok()?;
    let incoming = verify_message(state, connection, MessageChannel::Call, decode_stream(&bytes))?;
    encode_stream(&handler(incoming).await?).ok()
}

/// Returns the message, or counts it and returns `None` when it can't be decoded or names another sender than the
/// certificate.
fn verify_message(
    state: &Weak<EndpointState>,
    connection: &PeerConnection,
    channel: MessageChannel,
    decoded: Result<Envelope, CodecError>,
) -> Option<IncomingMessage> {
    let state = state.upgrade()?;
    let Ok(envelope) = decoded else {
        AtomicTrafficCounters::increment(&state.counters.malformed);
        return None;
    };
    if connection.check_sender(&envelope).is_err() {
        AtomicTrafficCounters::increment(&state.counters.wrong_sender);
        return None;
    }
    Some(IncomingMessage { address: connection.address(), channel, envelope })
}
