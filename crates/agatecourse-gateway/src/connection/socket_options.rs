use std::time::Duration;
use tokio::net::TcpStream;

/// TCP user timeout: bytes that stay unacknowledged, or a window that stays closed, for this time end the connection.
const TCP_USER_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Idle time before the first TCP keep-alive probe, and interval between probes.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Unanswered keep-alive probes after which the connection is closed.
const MAX_UNANSWERED_PROBES: u32 = 2;

/// Sets no-delay and keep-alive, as on all TCP connections of a node.
///
/// The kernel then ends a connection whose peer is gone only while no bytes are on their way; a
/// [`PeerWatch`](super::peer_watch::PeerWatch) notices it otherwise.
///
/// # Errors
///
/// Returns the error of the kernel, for example for a connection that has failed.
pub(crate) fn set_socket_options(stream: &TcpStream) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let keep_alive = socket2::TcpKeepalive::new()
        .with_time(KEEP_ALIVE_INTERVAL)
        .with_interval(KEEP_ALIVE_INTERVAL)
        .with_retries(MAX_UNANSWERED_PROBES);
    socket2::SockRef::from(stream).set_tcp_keepalive(&keep_alive)
}

/// Sets whether the kernel ends a connection whose peer acknowledges nothing, or keeps its window closed, for [`TCP_USER_TIMEOUT`].
///
/// Only for peers that read promptly, such as nodes and the store, and for messages that fit any window.
///
/// # Errors
///
/// Returns the error of the kernel, for example for a connection that has failed.
pub(crate) fn set_user_timeout(stream: &TcpStream, is_on: bool) -> std::io::Result<()> {
    socket2::SockRef::from(stream).set_tcp_user_timeout(is_on.then_some(TCP_USER_TIMEOUT))
}
