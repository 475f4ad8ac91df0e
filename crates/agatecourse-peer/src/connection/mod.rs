//! Connections to other nodes.

mod connection_table;
mod dispatcher;
mod incoming_message;
mod link;
mod peer_endpoint;
mod peer_error;
mod traffic_counters;

pub use incoming_message::{IncomingMessage, MessageChannel};
pub use peer_endpoint::PeerEndpoint;
pub use peer_error::PeerError;
pub use traffic_counters::TrafficCounters;
