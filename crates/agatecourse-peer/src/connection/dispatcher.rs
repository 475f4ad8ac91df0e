use crate::connection::incoming_message::{IncomingMessage, MessageChannel};
use crate::connection::link::Link;
use crate::connection::peer_endpoint::Shared;
use crate::connection::traffic_counters::Counters;
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

/// A displaced connection stays open this long, so that calls in flight on it can end.
const DISPLACED_GRACE: Duration = Duration::from_secs(10);
/// A peer must send its request within this time, so that unfinished calls don't hold streams.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);
/// Handshakes in progress; further ones are refused, and the peer tries again.
const MAX_HANDSHAKES: usize = 64;

/// Connections to serve and the handler of their messages.
pub(super) struct Inbox<H> {
    links: mpsc::UnboundedReceiver<Arc<Link>>,
    handler: H,
}

impl<H> Inbox<H> {
    pub fn new(links: mpsc::UnboundedReceiver<Arc<Link>>, handler: H) -> Self {
        Self { links, handler }
    }
}

/// Accepts connections and serves all connections until the endpoint is closed or dropped.
pub(super) async fn run<H, F>(shared: Weak<Shared>, endpoint: Endpoint, mut inbox: Inbox<H>)
where
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
                        let accepted = accept(shared.clone(), incoming);
                        tokio::spawn(async move {
                            accepted.await;
                            drop(permit);
                        });
                    }
                    Err(_) => incoming.refuse(),
                }
            }
            link = inbox.links.recv() => {
                // All senders are gone when the last `PeerEndpoint` was dropped.
                let (Some(link), Some(shared)) = (link, shared.upgrade()) else {
                    endpoint.close(quinn::VarInt::from_u32(0), b"dropped");
                    return;
                };
                tokio::spawn(serve_datagrams(Arc::downgrade(&shared), link.clone(), inbox.handler.clone()));
                tokio::spawn(serve_calls(Arc::downgrade(&shared), link, inbox.handler.clone()));
            }
        }
    }
}

async fn accept(shared: Weak<Shared>, incoming: quinn::Incoming) {
    // A failed handshake, for example with a foreign certificate, is reported to the peer by QUIC.
    let Ok(connection) = incoming.await else { return };
    let (Some(shared), Some(link)) = (shared.upgrade(), Link::new(connection, false)) else {
        return;
    };
    shared.adopt(Arc::new(link));
}

async fn serve_datagrams<H, F>(shared: Weak<Shared>, link: Arc<Link>, handler: H)
where
    H: Fn(IncomingMessage) -> F,
    F: Future<Output = Option<Envelope>>,
{
    while let Ok(bytes) = link.connection.read_datagram().await {
        // Empty datagrams are probes of waiting calls.
        if bytes.is_empty() {
            continue;
        }
        let Some(incoming) =
            check(&shared, &link, MessageChannel::Datagram, decode_datagram(&bytes))
        else {
            continue;
        };
        if let Some(answer) = handler(incoming).await
            && let Ok(bytes) = encode_datagram(&answer)
        {
            // A lost answer is equal to a lost datagram.
            let _ = link.send_datagram(bytes);
        }
    }
}

async fn serve_calls<H, F>(shared: Weak<Shared>, link: Arc<Link>, handler: H)
where
    H: Fn(IncomingMessage) -> F + Clone + Send + 'static,
    F: Future<Output = Option<Envelope>> + Send + 'static,
{
    let mut closing = std::pin::pin!(close_if_displaced(shared.clone(), link.clone()));
    let mut checked = false;
    loop {
        tokio::select! {
            stream = link.connection.accept_bi() => {
                let Ok((send, receive)) = stream else { break };
                let (shared, link, handler) = (shared.clone(), link.clone(), handler.clone());
                tokio::spawn(async move { answer(shared, link, handler, send, receive).await });
            }
            () = &mut closing, if !checked => checked = true,
        }
    }
    if let Some(shared) = shared.upgrade() {
        let stats = link.connection.stats();
        let mut table = shared.table();
        shared.counters.sent_bytes.fetch_add(stats.udp_tx.bytes, Ordering::Relaxed);
        shared.counters.received_bytes.fetch_add(stats.udp_rx.bytes, Ordering::Relaxed);
        table.remove(&link);
    }
}

async fn close_if_displaced(shared: Weak<Shared>, link: Arc<Link>) {
    loop {
        tokio::time::sleep(DISPLACED_GRACE).await;
        let Some(shared) = shared.upgrade() else { return };
        if shared.table().is_displaced(&link) {
            link.close("replaced by another connection");
            return;
        }
    }
}

async fn answer<H, F>(
    shared: Weak<Shared>,
    link: Arc<Link>,
    handler: H,
    mut send: SendStream,
    mut receive: RecvStream,
) where
    H: Fn(IncomingMessage) -> F,
    F: Future<Output = Option<Envelope>>,
{
    // A stream that is dropped would end as an empty answer, so a call without an answer is reset.
    if let Some(reply) = reply(&shared, &link, handler, &mut receive).await {
        // An error means that the caller has gone.
        let _ = send.write_all(&reply).await;
        let _ = send.finish();
    } else {
        let _ = send.reset(quinn::VarInt::from_u32(1));
    }
}

async fn reply<H, F>(
    shared: &Weak<Shared>,
    link: &Link,
    handler: H,
    receive: &mut RecvStream,
) -> Option<Vec<u8>>
where
    H: Fn(IncomingMessage) -> F,
    F: Future<Output = Option<Envelope>>,
{
    let request = receive.read_to_end(STREAM_LIMIT_BYTES);
    let bytes = tokio::time::timeout(REQUEST_TIMEOUT, request).await.ok()?.ok()?;
    let incoming = check(shared, link, MessageChannel::Call, decode_stream(&bytes))?;
    encode_stream(&handler(incoming).await?).ok()
}

/// Drops and counts messages that can't be decoded or claim another sender.
fn check(
    shared: &Weak<Shared>,
    link: &Link,
    channel: MessageChannel,
    decoded: Result<Envelope, CodecError>,
) -> Option<IncomingMessage> {
    let shared = shared.upgrade()?;
    let Ok(envelope) = decoded else {
        Counters::increment(&shared.counters.malformed);
        return None;
    };
    if link.check_sender(&envelope).is_err() {
        Counters::increment(&shared.counters.wrong_sender);
        return None;
    }
    Some(IncomingMessage { address: link.address(), channel, envelope })
}
