use crate::KeyError;
use agatecourse_types::NodeId;
use agatecourse_wire::CodecError;
use snafu::Snafu;
use std::net::SocketAddr;
use std::time::Duration;

/// Reports a message between nodes that was not delivered or not answered.
///
/// Except for [`PeerError::BackOff`], [`PeerError::Codec`] and [`PeerError::Unreachable`], the peer may have
/// handled the message.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum PeerError {
    /// The socket can't be opened.
    #[snafu(display("can't open {address} for messages between nodes: {source}"))]
    Bind {
        /// Address of the socket.
        address: SocketAddr,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// The keys can't be used.
    #[snafu(display("can't use the node's keys: {source}"))]
    Keys {
        /// What is wrong with the keys.
        source: KeyError,
    },
    /// The last attempts to connect failed, and the next one is not due yet.
    #[snafu(display("connecting to {address} failed; next attempt in {remaining:?}"))]
    BackOff {
        /// Address of the peer.
        address: SocketAddr,
        /// Time until the next attempt.
        remaining: Duration,
    },
    /// No connection could be opened.
    #[snafu(display("can't connect to {address}: {message}"))]
    Unreachable {
        /// Address of the peer.
        address: SocketAddr,
        /// What the transport reported.
        message: String,
    },
    /// The connection was lost before the answer arrived.
    #[snafu(display("the connection to {address} was lost: {message}"))]
    ConnectionLost {
        /// Address of the peer.
        address: SocketAddr,
        /// What the transport reported.
        message: String,
    },
    /// The peer rejected the call or has no answer to it.
    #[snafu(display("{address} did not answer the call"))]
    NoAnswer {
        /// Address of the peer.
        address: SocketAddr,
    },
    /// No answer arrived in time.
    #[snafu(display("no answer from {address} within {timeout:?}"))]
    TimedOut {
        /// Address of the peer.
        address: SocketAddr,
        /// Time that the caller allowed.
        timeout: Duration,
    },
    /// The message can't be encoded, or the answer can't be decoded.
    #[snafu(display("{source}"))]
    Codec {
        /// Error of the codec.
        source: CodecError,
    },
    /// The answer names another sender than the peer's certificate.
    #[snafu(display(
        "{address} is {certified} by its certificate, but its answer is from {claimed}"
    ))]
    WrongSender {
        /// Address of the peer.
        address: SocketAddr,
        /// Name in the certificate.
        certified: NodeId,
        /// Name in the message.
        claimed: NodeId,
    },
}
