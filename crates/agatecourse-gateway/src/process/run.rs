use super::document_exchange::serve_document;
use super::gateway_paths::subscribe_path_probes;
use super::tunnel_server::serve_tunnel;
use super::{Gateway, GatewayError, peers};
use crate::connection::{
    CompleteResponse, RequestHead, parse_request_head, read_some, serve_caller, set_socket_options,
};
use bytes::BytesMut;
use slog::{info, warn};
use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::signal::unix::{SignalKind, signal};

/// Minimum duration of the shutdown; the load balancer removes a node after two failed probes, which are a second apart.
const MIN_DRAIN_TIME: Duration = Duration::from_secs(3);
/// Time before the forced termination at which the process exits by itself.
const EXIT_MARGIN: Duration = Duration::from_millis(400);
/// Time before the exit at which requests that are still open are ended, so that their responses can be sent.
const FINAL_RESPONSE_MARGIN: Duration = Duration::from_millis(300);
/// Period in which a node that shuts down checks whether it may exit.
const DRAIN_CHECK_PERIOD: Duration = Duration::from_millis(50);
/// Longest wait for callers' connections to close after all requests have ended; a caller may have sent a part of a request.
const MAX_CLOSING_TIME: Duration = Duration::from_secs(1);
/// Read and write timeout of a request on the ready, operator or peer address.
const INTERNAL_TIMEOUT: Duration = Duration::from_secs(2);
/// Period of closing idle connections to targets.
const PRUNE_PERIOD: Duration = Duration::from_millis(500);
/// Maximum number of connections that wait to be accepted.
const BACKLOG: u32 = 1_024;
/// Bytes of a caller that each direction of its socket buffers; a link of 1 ms carries 400 Mbit/s with it.
const SOCKET_BUFFER_BYTES: usize = 64 * 1024;
/// Shortest time between two log lines about what was refused for lack of memory or sockets.
const REFUSAL_LOG_PERIOD: Duration = Duration::from_secs(10);
/// Maximum size of a request head on an internal address, in bytes.
const MAX_INTERNAL_HEAD_BYTES: usize = 8 * 1024;

struct InternalResponse {
    status: u16,
    content_type: &'static str,
    body: Vec<u8>,
}

impl InternalResponse {
    fn new(status: u16, content_type: &'static str, body: Vec<u8>) -> Self {
        Self { status, content_type, body }
    }
}

/// Runs the node until a SIGTERM or SIGINT and the end of the open requests or of the grace period; calls `reload` on SIGHUP.
///
/// # Errors
///
/// Returns a [`GatewayError`] when an address can't be bound or signals can't be handled.
pub async fn run_gateway(
    gateway: Rc<Gateway>,
    reload: impl Fn(&Gateway),
) -> Result<(), GatewayError> {
    let started = Instant::now();
    let settings = gateway.settings.clone();
    let callers = listen(settings.caller_address)?;
    bound_socket_buffers(&callers);
    let ready = listen(settings.ready_address)?;
    let operators = listen(settings.operator_address)?;
    let documents = listen(SocketAddr::new(settings.ip.into(), settings.peer_port))?;
    let mut terminate =
        signal(SignalKind::terminate()).map_err(|source| GatewayError::Signals { source })?;
    let mut interrupt =
        signal(SignalKind::interrupt()).map_err(|source| GatewayError::Signals { source })?;
    let mut hang_up =
        signal(SignalKind::hangup()).map_err(|source| GatewayError::Signals { source })?;
    serve_internal(&gateway, ready, ready_response);
    serve_internal(&gateway, operators, operator_response);
    serve_peers(&gateway, documents);
    actix_rt::spawn(peers::receive_messages(Rc::clone(&gateway)));
    peers::subscribe_timers(&gateway);
    subscribe_pruning(&gateway);
    subscribe_path_probes(&gateway);
    peers::send_heartbeats(&gateway, Instant::now());
    let timers = Rc::clone(&gateway);
    actix_rt::spawn(async move { timers.timers.run(&timers.log).await });
    accept_callers(&gateway, callers);
    info!(gateway.log, "node started"; "version" => env!("CARGO_PKG_VERSION"), "zone" => &settings.zone,
        "callers" => settings.caller_address.to_string(), "start_ms" => started.elapsed().as_millis() as u64);
    loop {
        tokio::select! {
            _ = terminate.recv() => break,
            _ = interrupt.recv() => break,
            _ = hang_up.recv() => reload(&gateway),
        }
    }
    drain(&gateway).await;
    Ok(())
}

/// Returns whether a request that has arrived and ends by `deadline` may be started: the node does not shut down, has begun to only a short
/// while ago, so that callers may still be sent here, or ends its open requests after the deadline.
pub(crate) fn may_start_request(gateway: &Gateway, arrived: Instant, deadline: Instant) -> bool {
    let Some(stopping_since) = gateway.stopping_since() else { return true };
    let grace = gateway.settings.grace;
    let ends_requests_at =
        stopping_since + grace.saturating_sub(EXIT_MARGIN).saturating_sub(FINAL_RESPONSE_MARGIN);
    arrived < stopping_since + shortest_drain_time(grace) || deadline <= ends_requests_at
}

/// Returns the minimum duration of the shutdown.
fn shortest_drain_time(grace: Duration) -> Duration {
    MIN_DRAIN_TIME.min(grace / 2)
}

/// Marks the node as unready and waits until the open requests have ended or the grace period is over.
async fn drain(gateway: &Rc<Gateway>) {
    let now = Instant::now();
    gateway.begin_shutdown(now);
    peers::send_heartbeats(gateway, now);
    let open = gateway.metrics.open_requests.get();
    info!(gateway.log, "node stops"; "open_requests" => open, "grace_ms" => gateway.settings.grace.as_millis() as u64);
    let end = now + gateway.settings.grace.saturating_sub(EXIT_MARGIN);
    let shortest = shortest_drain_time(gateway.settings.grace);
    let mut closing_since = None;
    loop {
        tokio::time::sleep(DRAIN_CHECK_PERIOD).await;
        let now_open = gateway.metrics.open_requests.get();
        let open_tunnels = gateway.served_tunnels();
        if Instant::now() + FINAL_RESPONSE_MARGIN >= end {
            gateway.end_requests();
        }
        // Requests may still arrive: first no connections are accepted, then those without a request are closed, and only then the process
        // exits, so that none is cut off after it was read.
        if now.elapsed() >= shortest && now_open == 0 && closing_since.is_none() {
            gateway.close_callers();
            closing_since = Some(Instant::now());
        }
        let is_drained = closing_since.is_some_and(|since| {
            now_open == 0
                && open_tunnels == 0
                && (gateway.caller_connections() == 0 || since.elapsed() >= MAX_CLOSING_TIME)
        });
        if is_drained || Instant::now() >= end {
            info!(gateway.log, "node stopped"; "open_requests" => now_open,
                "open_tunnels" => open_tunnels, "elapsed_ms" => now.elapsed().as_millis() as u64);
            // Gives the log thread time to write the last lines.
            tokio::time::sleep(Duration::from_millis(20)).await;
            return;
        }
    }
}

fn listen(address: SocketAddr) -> Result<TcpListener, GatewayError> {
    let bound = tokio::net::TcpSocket::new_v4().and_then(|socket| {
        socket.set_reuseaddr(true)?;
        socket.bind(address)?;
        socket.listen(BACKLOG)
    });
    bound.map_err(|source| GatewayError::Listen { address, source })
}

/// Bounds the buffers of callers' sockets, which connections inherit. They count toward the memory of the VM.
fn bound_socket_buffers(listener: &TcpListener) {
    let socket = socket2::SockRef::from(listener);
    // A socket whose buffers can't be bounded serves callers as well.
    let _ = socket.set_recv_buffer_size(SOCKET_BUFFER_BYTES);
    let _ = socket.set_send_buffer_size(SOCKET_BUFFER_BYTES);
}

fn accept_callers(gateway: &Rc<Gateway>, listener: TcpListener) {
    let gateway = Rc::clone(gateway);
    actix_rt::spawn(async move {
        loop {
            let accepted = tokio::select! {
                biased;
                accepted = listener.accept() => accepted,
                // Connections that wait to be accepted come first, because closing the listener resets them.
                () = gateway.wait_for_closing() => return,
            };
            match accepted {
                Ok((stream, _)) => {
                    if let Some(slot) = gateway.budget.accept_caller(Instant::now()) {
                        actix_rt::spawn(serve_caller(Rc::clone(&gateway), stream, slot));
                    }
                    if gateway.budget.is_out_of_caller_sockets() {
                        // Lets the tasks of connections that were given up close their sockets.
                        tokio::task::yield_now().await;
                    }
                }
                Err(error) => {
                    warn!(gateway.log, "accepting a connection failed"; "error" => error.to_string());
                    tokio::time::sleep(Duration::from_millis(10)).await;
                }
            }
        }
    });
}

fn subscribe_pruning(gateway: &Rc<Gateway>) {
    let weak = Rc::downgrade(gateway);
    gateway.timers.subscribe(REFUSAL_LOG_PERIOD, move |_now| {
        if let Some(gateway) = weak.upgrade() {
            gateway.log_refusals();
        }
    });
    let weak = Rc::downgrade(gateway);
    gateway.timers.subscribe(PRUNE_PERIOD, move |now| {
        if let Some(gateway) = weak.upgrade() {
            gateway.update_budget_metrics();
            gateway.metrics.ready.set(i64::from(gateway.is_ready()));
            gateway.pool.borrow_mut().prune(now, |target| gateway.target(target).is_some());
        }
    });
}

fn serve_internal(
    gateway: &Rc<Gateway>,
    listener: TcpListener,
    respond: fn(&Gateway, &RequestHead) -> InternalResponse,
) {
    let gateway = Rc::clone(gateway);
    actix_rt::spawn(async move {
        loop {
            match listener.accept().await {
                Ok((stream, _)) => {
                    let gateway = Rc::clone(&gateway);
                    actix_rt::spawn(async move { serve_requests(&gateway, stream, respond).await });
                }
                Err(error) => {
                    warn!(gateway.log, "accepting an internal connection failed"; "error" => error.to_string());
                    tokio::time::sleep(Duration::from_millis(10)).await;
                }
            }
        }
    });
}

/// Serves documents and tunnels to other nodes.
fn serve_peers(gateway: &Rc<Gateway>, listener: TcpListener) {
    let gateway = Rc::clone(gateway);
    actix_rt::spawn(async move {
        loop {
            match listener.accept().await {
                Ok((stream, address)) => {
                    let gateway = Rc::clone(&gateway);
                    actix_rt::spawn(async move { serve_peer(&gateway, stream, address).await });
                }
                Err(error) => {
                    warn!(gateway.log, "accepting an internal connection failed"; "error" => error.to_string());
                    tokio::time::sleep(Duration::from_millis(10)).await;
                }
            }
        }
    });
}

/// Serves the requests of another node for documents until it closes the connection, a timeout expires, or it asks for a tunnel.
async fn serve_peer(gateway: &Gateway, mut stream: TcpStream, address: SocketAddr) {
    let IpAddr::V4(peer) = address.ip() else { return };
    // A connection whose options can't be set serves as well.
    let _ = set_socket_options(&stream);
    let mut buffer = BytesMut::new();
    while let Some(head) = read_internal_request(&mut stream, &mut buffer).await {
        if head.method == "CONNECT" && buffer.is_empty() {
            return serve_tunnel(gateway, stream, &head).await;
        }
        if !serve_document(gateway, &mut stream, &head, peer).await {
            return;
        }
    }
}

/// Serves requests without a body until the client closes the connection or a timeout expires.
async fn serve_requests(
    gateway: &Gateway,
    mut stream: TcpStream,
    respond: fn(&Gateway, &RequestHead) -> InternalResponse,
) {
    let mut buffer = BytesMut::new();
    while let Some(head) = read_internal_request(&mut stream, &mut buffer).await {
        let reply = respond(gateway, &head);
        let lines = format!("Content-Type: {}\r\n", reply.content_type);
        let reason = if reply.status == 200 { "OK" } else { "Unavailable" };
        let bytes = CompleteResponse::new(reply.status, reason, lines.as_bytes(), &reply.body)
            .serialize(&head.method);
        let written = tokio::time::timeout(INTERNAL_TIMEOUT, stream.write_all(&bytes)).await;
        if head.closes || !matches!(written, Ok(Ok(()))) {
            return;
        }
    }
}

/// Reads the head of the next request on an internal address; `None` if the client has closed the connection, is too slow or sends no request.
async fn read_internal_request(
    stream: &mut TcpStream,
    buffer: &mut BytesMut,
) -> Option<RequestHead> {
    loop {
        match parse_request_head(buffer) {
            Ok(Some((head, length))) => {
                let _head_bytes = buffer.split_to(length);
                return Some(head);
            }
            Ok(None) if buffer.len() < MAX_INTERNAL_HEAD_BYTES => {
                let read = read_some(stream, buffer);
                match tokio::time::timeout(INTERNAL_TIMEOUT, read).await {
                    Ok(Ok(read)) if read > 0 => {}
                    _ => return None,
                }
            }
            _ => return None,
        }
    }
}

fn ready_response(gateway: &Gateway, _head: &RequestHead) -> InternalResponse {
    let status = if gateway.is_ready() { 200 } else { 503 };
    InternalResponse::new(status, "text/plain", Vec::new())
}

fn operator_response(gateway: &Gateway, head: &RequestHead) -> InternalResponse {
    match head.path.split('?').next().unwrap_or_default() {
        "/metrics" => {
            let cold = gateway.cold_target_count(Instant::now());
            gateway.metrics.cold_targets.set(i64::try_from(cold).unwrap_or(i64::MAX));
            gateway.update_budget_metrics();
            gateway.update_document_metrics(Instant::now());
            InternalResponse::new(200, "text/plain; version=0.0.4", gateway.metrics.render())
        }
        "/dump" => InternalResponse::new(
            200,
            "application/json",
            gateway.dump(Instant::now()).to_string().into_bytes(),
        ),
        "/healthz" => InternalResponse::new(200, "text/plain", Vec::new()),
        "/readyz" => ready_response(gateway, head),
        _ => InternalResponse::new(404, "text/plain", Vec::new()),
    }
}
