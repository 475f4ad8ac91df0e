use super::target_connection::TargetConnection;
use super::{parse_response_head, read_some};
use crate::budget::SocketPermit;
use agatecourse_types::NodeId;
use bytes::BytesMut;
use snafu::Snafu;
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

/// Time in which a node opens a tunnel; a node that reaches the target needs a few milliseconds.
const TUNNEL_TIMEOUT: Duration = Duration::from_millis(200);
/// Largest answer of a node to the request for a tunnel, in bytes.
const MAX_ANSWER_BYTES: usize = 4 * 1024;
/// Header with the start of the target's process, so that a tunnel does not end at another one.
pub(crate) const TARGET_START_HEADER: &str = "Target-Start";
/// Header with the name of the node that asks for a tunnel, for the log of the one that serves it.
pub(crate) const NODE_HEADER: &str = "Node";
/// Header with the start of the process that serves a tunnel.
pub(crate) const NODE_START_HEADER: &str = "Node-Start";
/// Prefix of the path that names the target of a tunnel.
pub(crate) const TUNNEL_PATH_PREFIX: &str = "/targets/";

/// Error when a node opens no tunnel to a target; no byte of a request was sent.
#[derive(Debug, Snafu)]
pub(crate) enum TunnelError {
    /// The node can't be reached, or serves no tunnels at present.
    #[snafu(display("node {node} serves no tunnel: {reason}"))]
    NodeUnavailable { node: NodeId, reason: String },
    /// The node can't connect to the target either.
    #[snafu(display("node {node} does not reach the target"))]
    TargetUnreachable { node: NodeId },
}

/// Target of a tunnel as its request names it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct TunnelTarget {
    /// Hash of the target's id.
    pub(crate) id_hash: u64,
    /// Start of the target's process in Unix milliseconds.
    pub(crate) started_unix_ms: u64,
}

/// Node through which a connection to a target runs; counts it among the open tunnels until it is dropped.
#[derive(Debug)]
pub(crate) struct TunnelLink {
    /// Name of the node.
    pub(crate) node: NodeId,
    /// Start of the node's process in Unix milliseconds.
    pub(crate) started_unix_ms: u64,
    open_tunnels: Rc<Cell<usize>>,
}

impl TunnelLink {
    fn new(node: NodeId, started_unix_ms: u64, open_tunnels: Rc<Cell<usize>>) -> Self {
        open_tunnels.set(open_tunnels.get() + 1);
        Self { node, started_unix_ms, open_tunnels }
    }
}

impl Drop for TunnelLink {
    fn drop(&mut self) {
        self.open_tunnels.set(self.open_tunnels.get().saturating_sub(1));
    }
}

/// Connects to a target through a node within [`TUNNEL_TIMEOUT`]; the bytes on the connection are those of the target from then on.
pub(crate) async fn connect_through(
    own_node: &NodeId,
    node: NodeId,
    address: SocketAddr,
    target: TunnelTarget,
    open_tunnels: Rc<Cell<usize>>,
    permit: SocketPermit,
) -> Result<TargetConnection, TunnelError> {
    let unavailable = |reason: String| TunnelError::NodeUnavailable { node: node.clone(), reason };
    let opened =
        tokio::time::timeout(TUNNEL_TIMEOUT, request_tunnel(own_node, address, target)).await;
    let (stream, buffer, status, started_unix_ms) = opened
        .map_err(|_| unavailable(format!("no answer in {} ms", TUNNEL_TIMEOUT.as_millis())))?
        .map_err(|error| unavailable(error.to_string()))?;
    match status {
        200 => {
            let connection = TargetConnection::new(stream, permit)
                .map_err(|error| unavailable(error.to_string()))?;
            let link = TunnelLink::new(node, started_unix_ms, open_tunnels);
            Ok(connection.with_tunnel(link, buffer))
        }
        502 => Err(TunnelError::TargetUnreachable { node }),
        _ => Err(unavailable(format!("status {status}"))),
    }
}

/// Requests a tunnel; returns the connection with what was read beyond the answer, and the answer's status and process start.
async fn request_tunnel(
    own_node: &NodeId,
    address: SocketAddr,
    target: TunnelTarget,
) -> std::io::Result<(TcpStream, BytesMut, u16, u64)> {
    let mut stream = TcpStream::connect(address).await?;
    let request = format!(
        "CONNECT {TUNNEL_PATH_PREFIX}{:016x} HTTP/1.1\r\n{TARGET_START_HEADER}: {}\r\n{NODE_HEADER}: {own_node}\r\n\r\n",
        target.id_hash, target.started_unix_ms
    );
    stream.write_all(request.as_bytes()).await?;
    let mut buffer = BytesMut::new();
    loop {
        let parsed = parse_response_head(&buffer, "CONNECT").map_err(std::io::Error::other)?;
        if let Some((head, length)) = parsed {
            let _head_bytes = buffer.split_to(length);
            let started = head.headers.get(NODE_START_HEADER).and_then(|text| text.parse().ok());
            return Ok((stream, buffer, head.status, started.unwrap_or_default()));
        }
        if buffer.len() > MAX_ANSWER_BYTES {
            return Err(std::io::Error::other("answer is too long"));
        }
        if read_some(&mut stream, &mut buffer).await? == 0 {
            return Err(std::io::ErrorKind::UnexpectedEof.into());
        }
    }
}
