use crate::PeerMessage;
use agatecourse_types::{ConfigVersion, Incarnation, NodeId};
use serde::{Deserialize, Serialize};

/// Message with its sender and the sender's active configuration version.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Envelope {
    /// Node that sent the message.
    pub from: NodeId,
    /// Incarnation of the sender; receivers drop messages of an older one.
    pub incarnation: Incarnation,
    /// Active configuration version of the sender; 0 before it has a configuration.
    pub config_version: ConfigVersion,
    /// Message to the receiver.
    pub body: PeerMessage,
}

impl Envelope {
    /// Creates an envelope with [`PeerMessage::Received`] as its body.
    pub fn new(from: impl Into<NodeId>, incarnation: Incarnation) -> Self {
        let body = PeerMessage::Received;
        Self { from: from.into(), incarnation, config_version: 0, body }
    }

    /// Sets the active configuration version of the sender.
    #[must_use]
    pub fn with_config_version(mut self, config_version: ConfigVersion) -> Self {
        self.config_version = config_version;
        self
    }

    /// Sets the message to the receiver.
    #[must_use]
    pub fn with_body(mut self, body: PeerMessage) -> Self {
        self.body = body;
        self
    }
}
