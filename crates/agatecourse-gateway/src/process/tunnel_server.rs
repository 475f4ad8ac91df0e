use super::Gateway;
use crate::connection::{
    NODE_HEADER, NODE_START_HEADER, RequestHead, TARGET_START_HEADER, TUNNEL_PATH_PREFIX,
    TargetConnection, TunnelTarget, set_socket_options, wait_until_lost,
};
use slog::{info, warn};
use std::cell::Cell;
use std::io::ErrorKind;
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::net::tcp::{ReadHalf, WriteHalf};

/// Buffer of each direction of a tunnel, in bytes.
const BUFFER_BYTES: usize = 8 * 1024;
/// Longest wait for the node to close a tunnel whose target has ended; closing it with unread bytes could discard the end of the answer.
const LINGER_TIME: Duration = Duration::from_secs(1);

/// Time that the answer to a request which the target has not read to its end has to reach the node before the tunnel is reset.
const RESET_DELAY: Duration = Duration::from_millis(200);

/// How one direction of a tunnel stopped.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Stop {
    /// The sender has ended its bytes in order.
    Ended,
    /// The sender's connection failed.
    ReadFailed,
    /// The receiver's connection failed.
    WriteFailed,
    /// The receiver acknowledges nothing any more.
    ReceiverLost,
}

/// How a tunnel ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum TunnelEnd {
    /// The node closed it.
    NodeLeft,
    /// The target closed its connection in order.
    TargetEnded,
    /// The target's connection failed.
    TargetFailed,
    /// The target's connection failed before it had read all of a request. Its answer may be whole, if it says where it ends.
    RequestCut,
}

/// Bytes that a tunnel has forwarded.
#[derive(Debug, Default)]
struct ForwardedBytes {
    to_target: Cell<u64>,
    to_node: Cell<u64>,
}

/// Opens a tunnel to the target that a request names, and forwards bytes in both directions until either end closes.
///
/// Tunnels only ever end at targets, and a node that is cut off itself serves none, so no request passes through more than two nodes.
pub(super) async fn serve_tunnel(gateway: &Gateway, mut stream: TcpStream, head: &RequestHead) {
    let node = head.headers.get(NODE_HEADER).unwrap_or_default();
    let _served = gateway.count_served_tunnel();
    let opened = match open(gateway, &stream, head).await {
        Ok(opened) => opened,
        Err((status, reason)) => {
            gateway.metrics.paths.tunnels.with_label_values(&["refused"]).inc();
            info!(gateway.log, "tunnel refused"; "member" => node, "status" => status, "reason" => reason);
            let _ = stream.write_all(answer(gateway, status).as_bytes()).await;
            return;
        }
    };
    gateway.metrics.paths.tunnels.with_label_values(&["served"]).inc();
    let (opened_at, bytes) = (Instant::now(), ForwardedBytes::default());
    let mut connection = opened.connection;
    let Ok(target) = connection.stream.forwarding_socket() else { return };
    if stream.write_all(answer(gateway, 200).as_bytes()).await.is_err() {
        return;
    }
    let end = forward_both(&mut stream, target, &bytes).await;
    info!(gateway.log, "tunnel ended"; "member" => node, "target" => &opened.target_id,
        "end" => format!("{end:?}"), "bytes_to_target" => bytes.to_target.get(),
        "bytes_to_node" => bytes.to_node.get(), "elapsed_ms" => opened_at.elapsed().as_millis() as u64);
    drop(connection);
    match end {
        TunnelEnd::NodeLeft => {}
        TunnelEnd::TargetEnded => {
            let _ = stream.shutdown().await;
            let _ = tokio::time::timeout(LINGER_TIME, discard(&mut stream)).await;
        }
        // The node must be able to tell a connection that broke from one that ended. A reset may overtake an answer that is whole, with which
        // the node closes the tunnel.
        TunnelEnd::TargetFailed | TunnelEnd::RequestCut => {
            if end == TunnelEnd::RequestCut {
                let _ = tokio::time::timeout(RESET_DELAY, discard(&mut stream)).await;
            }
            let _ = socket2::SockRef::from(&stream).set_linger(Some(Duration::ZERO));
        }
    }
}

/// Connection of a tunnel to its target.
struct OpenedTunnel {
    target_id: String,
    connection: TargetConnection,
}

/// Connects to the target of a tunnel; returns the status and the reason of a refusal.
async fn open(
    gateway: &Gateway,
    stream: &TcpStream,
    head: &RequestHead,
) -> Result<OpenedTunnel, (u16, String)> {
    let named = tunnel_target(head).ok_or((400, "no target is named".to_string()))?;
    if !gateway.serves_tunnels() {
        return Err((503, "this node serves no tunnels at present".to_string()));
    }
    set_socket_options(stream).map_err(|error| (503, error.to_string()))?;
    let target =
        gateway.target_of_tunnel(named).ok_or((404, "target is not known here".to_string()))?;
    let permit = gateway.open_target_socket().ok_or((503, "all sockets are in use".to_string()))?;
    match TargetConnection::connect(target.address, permit).await {
        Ok(connection) => {
            gateway.record_direct(Instant::now(), &target.id);
            Ok(OpenedTunnel { target_id: target.id.clone(), connection })
        }
        Err(error) => {
            warn!(gateway.log, "target of a tunnel unreachable"; "target" => &target.id, "error" => error.to_string());
            Err((502, error.to_string()))
        }
    }
}

/// Returns the target that the request for a tunnel names.
fn tunnel_target(head: &RequestHead) -> Option<TunnelTarget> {
    let id_hash = head.path.strip_prefix(TUNNEL_PATH_PREFIX)?;
    let id_hash = u64::from_str_radix(id_hash, 16).ok()?;
    let started_unix_ms = head.headers.get(TARGET_START_HEADER)?.parse().ok()?;
    Some(TunnelTarget { id_hash, started_unix_ms })
}

fn answer(gateway: &Gateway, status: u16) -> String {
    let started = gateway.settings.started_unix_ms;
    let length = if status == 200 { "" } else { "Content-Length: 0\r\n" };
    format!("HTTP/1.1 {status} Tunnel\r\n{NODE_START_HEADER}: {started}\r\n{length}\r\n")
}

/// Forwards bytes in both directions until either end closes or is lost.
///
/// Each end may read slowly: the target a request, and the node an answer that its caller reads slowly.
async fn forward_both(
    node: &mut TcpStream,
    target: &mut TcpStream,
    bytes: &ForwardedBytes,
) -> TunnelEnd {
    let (mut node_read, node_write) = node.split();
    let (mut target_read, target_write) = target.split();
    let to_target = forward(&mut node_read, &target_write, &bytes.to_target);
    let to_node = forward(&mut target_read, &node_write, &bytes.to_node);
    tokio::pin!(to_node);
    let first = tokio::select! {
        biased;
        stop = &mut to_node => return end_of_answers(stop),
        stop = to_target => stop,
    };
    match first {
        Stop::Ended | Stop::ReadFailed => TunnelEnd::NodeLeft,
        Stop::ReceiverLost => TunnelEnd::TargetFailed,
        // A target may answer and close before it has read all of a request. The failed write has taken the reset of the connection, which
        // the end of the answers hides.
        Stop::WriteFailed => match to_node.await {
            Stop::Ended | Stop::ReadFailed => TunnelEnd::RequestCut,
            stop => end_of_answers(stop),
        },
    }
}

fn end_of_answers(stop: Stop) -> TunnelEnd {
    match stop {
        Stop::Ended => TunnelEnd::TargetEnded,
        Stop::ReadFailed => TunnelEnd::TargetFailed,
        Stop::WriteFailed | Stop::ReceiverLost => TunnelEnd::NodeLeft,
    }
}

/// Forwards bytes in one direction until either end closes or the receiver is lost.
async fn forward(from: &mut ReadHalf<'_>, to: &WriteHalf<'_>, forwarded: &Cell<u64>) -> Stop {
    let copy = async {
        let mut buffer = vec![0_u8; BUFFER_BYTES];
        loop {
            let read = match from.read(&mut buffer).await {
                Ok(0) => return Stop::Ended,
                Ok(read) => read,
                Err(_) => return Stop::ReadFailed,
            };
            if write_all(to, &buffer[..read]).await.is_err() {
                return Stop::WriteFailed;
            }
            forwarded.set(forwarded.get() + read as u64);
        }
    };
    tokio::select! {
        biased;
        stop = copy => stop,
        () = wait_until_lost(to.as_ref()) => Stop::ReceiverLost,
    }
}

/// Writes all bytes through a shared reference, so that the socket can be watched meanwhile.
async fn write_all(to: &WriteHalf<'_>, mut bytes: &[u8]) -> std::io::Result<()> {
    while !bytes.is_empty() {
        match to.try_write(bytes) {
            Ok(written) => bytes = &bytes[written..],
            Err(error) if error.kind() == ErrorKind::WouldBlock => to.writable().await?,
            Err(error) => return Err(error),
        }
    }
    Ok(())
}

/// Reads and discards bytes until the connection ends.
async fn discard(stream: &mut TcpStream) {
    let mut buffer = vec![0_u8; BUFFER_BYTES];
    while matches!(stream.read(&mut buffer).await, Ok(read) if read > 0) {}
}
