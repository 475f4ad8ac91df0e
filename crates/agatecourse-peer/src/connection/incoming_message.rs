use agatecourse_wire::Envelope;
use std::net::SocketAddr;

/// How a message arrived.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum MessageChannel {
    /// As a datagram; an answer of the handler is sent back as a datagram.
    Datagram,
    /// As a call; the handler's answer ends the call.
    Call,
}

/// Message from another node whose sender was checked against its certificate.
#[derive(Debug, Clone, PartialEq)]
pub struct IncomingMessage {
    /// Address of the sender.
    pub address: SocketAddr,
    /// How the message arrived.
    pub channel: MessageChannel,
    /// The message; `from` equals the name in the sender's certificate.
    pub envelope: Envelope,
}
