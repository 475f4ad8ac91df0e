use crate::KeyError;
use agatecourse_types::NodeId;
use agatecourse_wire::CodecError;
use snafu::Snafu;
use std::net::SocketAddr;
use std::time::Duration;

/// Error of a call or datagram to another node, or of opening the endpoint.
///
/// The peer may have handled the message, except after [`PeerError::BackOff`], [`PeerError::Codec`] and
/// [`PeerError::Unreachable`].
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum PeerError {
    /// The UDP socket can't be opened.
    #[snafu(display("can't bind the UDP socket for peer messages to {address}: {source}"))]
    Bind {
        /// Configured local address.
        address: SocketAddr,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// The TLS configuration can't be built from the node's keys.
    #[snafu(display("can't use the node's keys: {source}"))]
    Keys {
        /// Error of the certificate, the key or the TLS library.
        source: KeyError,
    },
    /// The last connection attempts failed, and the backoff hasn't expired.
    #[snafu(display(
        "recent connection attempts to {address} failed; next attempt in {remaining:?}"
    ))]
    BackOff {
        /// Address of the peer.
        address: SocketAddr,
        /// Time until the next attempt is allowed.
        remaining: Duration,
    },
    /// The connection attempt failed.
    #[snafu(display("can't connect to {address}: {message}"))]
    Unreachable {
        /// Address of the peer.
        address: SocketAddr,
        /// Error of the QUIC library, or the reason for giving up the connection.
        message: String,
    },
    /// The connection was closed or silent before the response arrived, or refused a datagram.
    #[snafu(display("lost the connection to {address}: {message}"))]
    ConnectionLost {
        /// Address of the peer.
        address: SocketAddr,
        /// Error of the QUIC library, or the reason for giving up the connection.
        message: String,
    },
    /// The peer rejected the call, or its handler returned no response.
    #[snafu(display("{address} ended the call without a response"))]
    NoResponse {
        /// Address of the peer.
        address: SocketAddr,
    },
    /// No response arrived within the timeout of the caller.
    #[snafu(display("no response from {address} within {timeout:?}"))]
    TimedOut {
        /// Address of the peer.
        address: SocketAddr,
        /// Timeout that the caller set for the whole call, including retries.
        timeout: Duration,
    },
    /// The message can't be encoded, or the response can't be decoded.
    #[snafu(display("{source}"))]
    Codec {
        /// Size or format error of the codec.
        source: CodecError,
    },
    /// The response names another sender than the peer's certificate.
    #[snafu(display(
        "wrong sender in the response from {address}: expected {certified} as in its certificate, found {claimed}"
    ))]
    WrongSender {
        /// Address of the peer.
        address: SocketAddr,
        /// Node name in the certificate.
        certified: NodeId,
        /// Sender named in the response.
        claimed: NodeId,
    },
}
