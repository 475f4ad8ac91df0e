//! QUIC connections between nodes: opening, serving, replacing and closing them.

mod connection_table;
mod dispatcher;
mod incoming_message;
mod peer_connection;
mod peer_endpoint;
mod peer_error;
mod traffic_counters;

pub use incoming_message::{IncomingMessage, MessageChannel};
pub use peer_endpoint::PeerEndpoint;
pub use peer_error::PeerError;
pub use traffic_counters::TrafficCounters;
