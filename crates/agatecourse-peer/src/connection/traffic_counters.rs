use serde::Serialize;
use std::sync::atomic::{AtomicU64, Ordering};

/// Counters of an endpoint since its start; `open_connections` is the current number.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default, Serialize)]
pub struct TrafficCounters {
    /// Bytes of sent UDP payloads, including the overhead of QUIC.
    pub sent_bytes: u64,
    /// Bytes of received UDP payloads, including the overhead of QUIC.
    pub received_bytes: u64,
    /// Connections opened by this node or accepted from peers.
    pub connections: u64,
    /// Connections that are open now, including superseded ones that are about to close.
    pub open_connections: u64,
    /// Connections closed because no packet arrived for one second after a message was sent.
    pub silent_connections: u64,
    /// Calls retried on a new connection.
    pub retries: u64,
    /// Received messages dropped because they couldn't be decoded.
    pub malformed: u64,
    /// Received messages dropped because their sender differs from the name in the peer's certificate.
    pub wrong_sender: u64,
}

/// Counters that connection tasks update concurrently.
#[derive(Debug, Default)]
pub(super) struct AtomicTrafficCounters {
    pub sent_bytes: AtomicU64,
    pub received_bytes: AtomicU64,
    pub connections: AtomicU64,
    pub silent_connections: AtomicU64,
    pub retries: AtomicU64,
    pub malformed: AtomicU64,
    pub wrong_sender: AtomicU64,
}

impl AtomicTrafficCounters {
    pub fn increment(counter: &AtomicU64) {
        counter.fetch_add(1, Ordering::Relaxed);
    }

    /// Returns the counters without open connections, which the caller adds.
    pub fn snapshot(&self) -> TrafficCounters {
        let load = |counter: &AtomicU64| counter.load(Ordering::Relaxed);
        TrafficCounters {
            sent_bytes: load(&self.sent_bytes),
            received_bytes: load(&self.received_bytes),
            connections: load(&self.connections),
            open_connections: 0,
            silent_connections: load(&self.silent_connections),
            retries: load(&self.retries),
            malformed: load(&self.malformed),
            wrong_sender: load(&self.wrong_sender),
        }
    }
}
