use crate::connection::link::Link;
use crate::connection::traffic_counters::TrafficCounters;
use agatecourse_core::process::BackOff;
use rand_chacha::ChaCha8Rng;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Enough for one connection to each of 360 nodes; at the bound the least recently used one is closed.
const MAX_CONNECTIONS: usize = 512;
/// Connections opened by both sides within this time are taken as a simultaneous open.
const SIMULTANEOUS: Duration = Duration::from_secs(3);
const BACK_OFF_BASE: Duration = Duration::from_millis(100);
/// Longer waits would delay the return of a restarted node to the membership.
const BACK_OFF_LIMIT: Duration = Duration::from_secs(2);

/// Open connections by address, and addresses whose last attempts failed.
#[derive(Debug, Default)]
pub(super) struct ConnectionTable {
    slots: BTreeMap<SocketAddr, Slot>,
    /// Connections that lost against another one to the same address and close soon.
    displaced: Vec<Arc<Link>>,
}

#[derive(Debug)]
struct Slot {
    link: Option<Arc<Link>>,
    dialing: Arc<tokio::sync::Mutex<()>>,
    back_off: BackOff,
    retry_at: Option<Instant>,
    touched: Instant,
}

impl Slot {
    fn new(now: Instant) -> Self {
        let back_off = BackOff::new(BACK_OFF_BASE, BACK_OFF_LIMIT);
        Self { link: None, dialing: Arc::default(), back_off, retry_at: None, touched: now }
    }

    fn last_used(&self) -> Instant {
        self.link.as_ref().map_or(self.touched, |link| link.last_used().max(self.touched))
    }
}

impl ConnectionTable {
    pub fn link(&self, address: SocketAddr) -> Option<Arc<Link>> {
        self.slots.get(&address)?.link.clone()
    }

    /// Returns the lock that allows one attempt at a time for an address.
    pub fn dialing(&mut self, address: SocketAddr) -> Arc<tokio::sync::Mutex<()>> {
        self.slot(address).dialing.clone()
    }

    /// Returns the time until the next attempt to connect is due.
    pub fn remaining_back_off(&self, address: SocketAddr, now: Instant) -> Option<Duration> {
        let retry_at = self.slots.get(&address)?.retry_at?;
        retry_at.checked_duration_since(now).filter(|remaining| !remaining.is_zero())
    }

    pub fn record_failure(&mut self, address: SocketAddr, now: Instant, rng: &mut ChaCha8Rng) {
        let slot = self.slot(address);
        slot.retry_at = Some(now + slot.back_off.next_delay(rng));
    }

    /// Registers an open connection; returns the one that remains in use for the address.
    ///
    /// `local` is the name of this node. When both sides open a connection at the same time, both keep the
    /// one that the lower name opened. Otherwise the newer one replaces the older one, whose peer has
    /// probably restarted.
    pub fn register(&mut self, link: Arc<Link>, local: &str) -> Arc<Link> {
        let slot = self.slot(link.address());
        slot.back_off.reset();
        slot.retry_at = None;
        let Some(previous) = slot.link.take().filter(|previous| previous.is_open()) else {
            slot.link = Some(link.clone());
            return link;
        };
        let (kept, displaced) = choose(link, previous, local);
        slot.link = Some(kept.clone());
        self.displaced.push(displaced);
        kept
    }

    /// Removes a connection when it is the one in use for its address.
    pub fn remove(&mut self, link: &Arc<Link>) {
        self.displaced.retain(|other| !Arc::ptr_eq(other, link));
        if let Some(slot) = self.slots.get_mut(&link.address())
            && slot.link.as_ref().is_some_and(|current| Arc::ptr_eq(current, link))
        {
            slot.link = None;
        }
    }

    /// Adds the bytes of open connections to the counters.
    pub fn add_open(&self, traffic: &mut TrafficCounters) {
        for link in self.slots.values().filter_map(|slot| slot.link.as_ref()).chain(&self.displaced)
        {
            let stats = link.connection.stats();
            traffic.sent_bytes += stats.udp_tx.bytes;
            traffic.received_bytes += stats.udp_rx.bytes;
            traffic.open_connections += 1;
        }
    }

    pub fn is_displaced(&self, link: &Arc<Link>) -> bool {
        self.displaced.iter().any(|other| Arc::ptr_eq(other, link))
    }

    fn slot(&mut self, address: SocketAddr) -> &mut Slot {
        let now = Instant::now();
        if !self.slots.contains_key(&address) && self.slots.len() >= MAX_CONNECTIONS {
            self.evict();
        }
        let slot = self.slots.entry(address).or_insert_with(|| Slot::new(now));
        slot.touched = now;
        slot
    }

    fn evict(&mut self) {
        let oldest = self.slots.iter().min_by_key(|(_, slot)| slot.last_used());
        if let Some(address) = oldest.map(|(address, _)| *address)
            && let Some(link) = self.slots.remove(&address).and_then(|slot| slot.link)
        {
            link.close("least recently used");
        }
    }
}

fn choose(new: Arc<Link>, previous: Arc<Link>, local: &str) -> (Arc<Link>, Arc<Link>) {
    let simultaneous = new.opened_here != previous.opened_here
        && new.opened_at.saturating_duration_since(previous.opened_at) < SIMULTANEOUS;
    let lower_opened_new = new.opened_here == (local < new.node.as_str());
    if simultaneous && !lower_opened_new { (previous, new) } else { (new, previous) }
}
