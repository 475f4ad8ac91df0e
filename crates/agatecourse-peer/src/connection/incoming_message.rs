use agatecourse_wire::Envelope;
use std::net::SocketAddr;

/// Transport over which a message arrived; it decides how the handler's response is returned.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum MessageChannel {
    /// QUIC datagram, which may be lost; the response, if any, is sent as a datagram.
    Datagram,
    /// QUIC stream of one call; the response completes the call, and without one the stream is reset.
    Call,
}

/// Message from another node, whose sender has been checked against the peer's certificate.
#[derive(Debug, Clone, PartialEq)]
pub struct IncomingMessage {
    /// Remote address of the connection on which the message arrived.
    pub address: SocketAddr,
    /// Transport over which the message arrived.
    pub channel: MessageChannel,
    /// Decoded message; its `from` equals the node name in the peer's certificate.
    pub envelope: Envelope,
}
