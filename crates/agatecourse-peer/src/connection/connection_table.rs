use crate::connection::peer_connection::PeerConnection;
use crate::connection::traffic_counters::TrafficCounters;
use agatecourse_core::process::BackOff;
use rand_chacha::ChaCha8Rng;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Allows one connection to each of 360 nodes; beyond this limit the least recently used one is closed.
const MAX_CONNECTIONS: usize = 512;
/// When both sides open a connection within this time, it counts as a simultaneous open.
const SIMULTANEOUS_OPEN_WINDOW: Duration = Duration::from_secs(3);
/// Base delay of the backoff between connection attempts to an address.
const BACK_OFF_BASE: Duration = Duration::from_millis(100);
/// Maximum of the backoff; a longer one would delay how soon a restarted node rejoins the membership.
const BACK_OFF_LIMIT: Duration = Duration::from_secs(2);

/// Connections and connect backoff by peer address.
#[derive(Debug, Default)]
pub(super) struct ConnectionTable {
    entries: BTreeMap<SocketAddr, AddressEntry>,
    /// Open connections that were superseded by another one to the same address; they close at their next check.
    superseded: Vec<Arc<PeerConnection>>,
}

#[derive(Debug)]
struct AddressEntry {
    /// Connection in use, which may have been closed.
    connection: Option<Arc<PeerConnection>>,
    /// Held during a connection attempt.
    connect_lock: Arc<tokio::sync::Mutex<()>>,
    back_off: BackOff,
    /// Earliest time of the next attempt after a failed one.
    retry_at: Option<Instant>,
    /// Last time that the entry was requested for a connect or a registration.
    last_requested: Instant,
}

impl AddressEntry {
    fn new(now: Instant) -> Self {
        let back_off = BackOff::new(BACK_OFF_BASE, BACK_OFF_LIMIT);
        Self {
            connection: None,
            connect_lock: Arc::default(),
            back_off,
            retry_at: None,
            last_requested: now,
        }
    }

    fn last_used(&self) -> Instant {
        self.connection.as_ref().map_or(self.last_requested, |connection| {
            connection.last_used().max(self.last_requested)
        })
    }
}

impl ConnectionTable {
    pub fn get(&self, address: SocketAddr) -> Option<Arc<PeerConnection>> {
        self.entries.get(&address)?.connection.clone()
    }

    /// Returns the lock that limits an address to one connection attempt at a time.
    pub fn connect_lock(&mut self, address: SocketAddr) -> Arc<tokio::sync::Mutex<()>> {
        self.entry(address).connect_lock.clone()
    }

    /// Returns the time until the next connection attempt is allowed; `None` when it is allowed now.
    pub fn remaining_back_off(&self, address: SocketAddr, now: Instant) -> Option<Duration> {
        let retry_at = self.entries.get(&address)?.retry_at?;
        retry_at.checked_duration_since(now).filter(|remaining| !remaining.is_zero())
    }

    pub fn record_connect_failure(
        &mut self,
        address: SocketAddr,
        now: Instant,
        rng: &mut ChaCha8Rng,
    ) {
        let entry = self.entry(address);
        entry.retry_at = Some(now + entry.back_off.next_delay(rng));
    }

    /// Registers an open connection and returns the one to use for the address.
    ///
    /// `local_node` is the name of this node. When both sides open a connection at the same time, both keep the
    /// one opened by the node whose name sorts first. Otherwise the newer connection supersedes the older one,
    /// because the peer has probably restarted.
    pub fn register(
        &mut self,
        connection: Arc<PeerConnection>,
        local_node: &str,
    ) -> Arc<PeerConnection> {
        let entry = self.entry(connection.address());
        entry.back_off.reset();
        entry.retry_at = None;
        let Some(previous) = entry.connection.take().filter(|previous| previous.is_open()) else {
            entry.connection = Some(connection.clone());
            return connection;
        };
        let (kept, superseded) = select_connection(connection, previous, local_node);
        entry.connection = Some(kept.clone());
        self.superseded.push(superseded);
        kept
    }

    /// Removes a closed connection, whether it was in use for its address or superseded.
    pub fn remove(&mut self, connection: &Arc<PeerConnection>) {
        self.superseded.retain(|other| !Arc::ptr_eq(other, connection));
        if let Some(entry) = self.entries.get_mut(&connection.address())
            && entry.connection.as_ref().is_some_and(|current| Arc::ptr_eq(current, connection))
        {
            entry.connection = None;
        }
    }

    /// Adds the number and the bytes of open connections to the counters.
    pub fn add_open_connections(&self, traffic: &mut TrafficCounters) {
        for connection in self
            .entries
            .values()
            .filter_map(|entry| entry.connection.as_ref())
            .chain(&self.superseded)
        {
            let stats = connection.quic.stats();
            traffic.sent_bytes += stats.udp_tx.bytes;
            traffic.received_bytes += stats.udp_rx.bytes;
            traffic.open_connections += 1;
        }
    }

    pub fn is_superseded(&self, connection: &Arc<PeerConnection>) -> bool {
        self.superseded.iter().any(|other| Arc::ptr_eq(other, connection))
    }

    fn entry(&mut self, address: SocketAddr) -> &mut AddressEntry {
        let now = Instant::now();
        if !self.entries.contains_key(&address) && self.entries.len() >= MAX_CONNECTIONS {
            self.evict_least_recently_used();
        }
        let entry = self.entries.entry(address).or_insert_with(|| AddressEntry::new(now));
        entry.last_requested = now;
        entry
    }

    fn evict_least_recently_used(&mut self) {
        let oldest = self.entries.iter().min_by_key(|(_, entry)| entry.last_used());
        if let Some(address) = oldest.map(|(address, _)| *address)
            && let Some(connection) =
                self.entries.remove(&address).and_then(|entry| entry.connection)
        {
            connection.close("least recently used");
        }
    }
}

/// Returns the connection to keep and the superseded one.
fn select_connection(
    new: Arc<PeerConnection>,
    previous: Arc<PeerConnection>,
    local_node: &str,
) -> (Arc<PeerConnection>, Arc<PeerConnection>) {
    let is_simultaneous_open = new.is_outbound != previous.is_outbound
        && new.opened_at.saturating_duration_since(previous.opened_at) < SIMULTANEOUS_OPEN_WINDOW;
    let is_new_from_lower_name = new.is_outbound == (local_node < new.node.as_str());
    if is_simultaneous_open && !is_new_from_lower_name { (previous, new) } else { (new, previous) }
}
