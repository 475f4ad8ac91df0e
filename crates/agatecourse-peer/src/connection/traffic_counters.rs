use serde::Serialize;
use std::sync::atomic::{AtomicU64, Ordering};

/// Counters of an endpoint since its start.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default, Serialize)]
pub struct TrafficCounters {
    /// Bytes sent in UDP payloads, with the overhead of QUIC.
    pub sent_bytes: u64,
    /// Bytes received in UDP payloads, with the overhead of QUIC.
    pub received_bytes: u64,
    /// Connections opened or accepted.
    pub connections: u64,
    /// Connections that are open.
    pub open_connections: u64,
    /// Connections dropped because the peer fell silent.
    pub silent_connections: u64,
    /// Calls that were sent again on a new connection.
    pub retries: u64,
    /// Messages dropped because they could not be decoded.
    pub malformed: u64,
    /// Messages dropped because their sender differs from the peer's certificate.
    pub wrong_sender: u64,
}

#[derive(Debug, Default)]
pub(super) struct Counters {
    pub sent_bytes: AtomicU64,
    pub received_bytes: AtomicU64,
    pub connections: AtomicU64,
    pub silent_connections: AtomicU64,
    pub retries: AtomicU64,
    pub malformed: AtomicU64,
    pub wrong_sender: AtomicU64,
}

impl Counters {
    pub fn increment(counter: &AtomicU64) {
        counter.fetch_add(1, Ordering::Relaxed);
    }

    /// Returns the counters; bytes of open connections are added by the caller.
    pub fn read(&self) -> TrafficCounters {
        let read = |counter: &AtomicU64| counter.load(Ordering::Relaxed);
        TrafficCounters {
            sent_bytes: read(&self.sent_bytes),
            received_bytes: read(&self.received_bytes),
            connections: read(&self.connections),
            open_connections: 0,
            silent_connections: read(&self.silent_connections),
            retries: read(&self.retries),
            malformed: read(&self.malformed),
            wrong_sender: read(&self.wrong_sender),
        }
    }
}
