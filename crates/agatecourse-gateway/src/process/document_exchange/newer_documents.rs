use crate::process::{DocumentId, NodeCapacity};
use agatecourse_types::stable_hash;
use smallvec::{SmallVec, smallvec};
use std::cell::{Cell, RefCell};
use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::net::Ipv4Addr;
use std::time::{Duration, Instant};

/// Time that the node's own source has to deliver a newer document before it is fetched from a peer.
const SOURCE_HEAD_START: Duration = Duration::from_millis(300);
/// Time in which all nodes that follow the source announce a new document, so that those that rely on them are spread over them.
const ANNOUNCEMENT_TIME: Duration = Duration::from_millis(60);
/// Minimum time between two fetches of the same document that succeed.
const FETCH_INTERVAL: Duration = Duration::from_millis(300);
/// Time for which a document may be older than that of a peer before the node logs it.
const LATE_AFTER: Duration = Duration::from_secs(1);
/// Time after which a fetch counts as ended although nothing was recorded; longer than any fetch takes.
const MAX_FETCH_TIME: Duration = Duration::from_secs(3);
/// Time for which a peer whose fetch has failed is asked only if no other one has the document.
const FAILED_PEER_PAUSE: Duration = Duration::from_secs(1);
/// Longest pause before the next peer is asked.
const NEXT_PEER_PAUSE: Duration = Duration::from_millis(40);
/// Pause before a peer is asked again that alone has the document; doubles with each failure up to the limit.
const SAME_PEER_PAUSE: Duration = Duration::from_millis(50);
const MAX_SAME_PEER_PAUSE: Duration = Duration::from_millis(800);
/// Maximum number of nodes that are remembered to have a version.
const MAX_HOLDERS: usize = 64;

/// Why a node fetches documents from peers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(in crate::process) enum PeerNeed {
    /// The source is expected to deliver them, and is late.
    Late,
    /// Other nodes follow the source for this one.
    Relayed,
    /// The source is unreachable.
    SourceLost,
}

/// Document that is due to be fetched from a peer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(in crate::process) struct DueFetch {
    pub(in crate::process) id: DocumentId,
    pub(in crate::process) peer: Ipv4Addr,
    /// True if the fetch before has failed.
    pub(in crate::process) is_repeat: bool,
}

/// How a fetch has ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(in crate::process) enum FetchEnd {
    /// The document was received.
    Taken { version: u64 },
    /// The peer's link is busy with documents for `retry_after`; the holders have got the version from the peer.
    Busy { version: u64, retry_after: Duration, holders: SmallVec<[Ipv4Addr; 4]> },
    /// No complete document was received, or none that is newer than this node's.
    Failed,
}

/// Node that has a version of a document.
#[derive(Debug, Clone, Copy)]
struct Holder {
    address: Ipv4Addr,
    /// Capacity of its VM; the lowest for one that only another node has named.
    capacity: NodeCapacity,
    /// Time until which it is asked only if no other holder is left.
    avoided_until: Option<Instant>,
}

impl Holder {
    fn is_avoided(&self, now: Instant) -> bool {
        self.avoided_until.is_some_and(|until| until > now)
    }
}

#[derive(Debug, Clone)]
struct NewerDocument {
    holders: SmallVec<[Holder; 8]>,
    version: u64,
    /// Time since which peers are known to have a newer version than this node.
    since: Instant,
    is_late_logged: bool,
    /// Earliest time of the next fetch after one that did not succeed.
    retry_at: Option<Instant>,
    /// Fetches that have failed since the last one that succeeded.
    failures: u32,
}

/// Fetch that has not ended.
#[derive(Debug, Clone, Copy)]
struct OpenFetch {
    /// Version that the peer is known to have.
    wanted: u64,
    since: Instant,
}

/// Document that has been older than that of a peer for a while.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(in crate::process) struct LateDocument {
    pub(in crate::process) id: DocumentId,
    pub(in crate::process) version: u64,
    pub(in crate::process) age: Duration,
    pub(in crate::process) holders: usize,
}

/// Documents that are newer on a peer than on this node.
#[derive(Debug)]
pub(in crate::process) struct NewerDocuments {
    /// Address of this node; differs between nodes, and so do the peers that they choose and their pauses.
    own_address: Ipv4Addr,
    newer: RefCell<BTreeMap<DocumentId, NewerDocument>>,
    fetching: RefCell<BTreeMap<DocumentId, OpenFetch>>,
    /// Times before which documents that were fetched are not fetched again.
    next_fetch: RefCell<BTreeMap<DocumentId, Instant>>,
    only_without_source: RefCell<Vec<DocumentId>>,
    fetch_count: Cell<u64>,
}

impl NewerDocuments {
    /// Creates the state of the node at an address.
    pub(in crate::process) fn new(own_address: Ipv4Addr) -> Self {
        Self {
            own_address,
            newer: RefCell::default(),
            fetching: RefCell::default(),
            next_fetch: RefCell::default(),
            only_without_source: RefCell::default(),
            fetch_count: Cell::default(),
        }
    }

    /// Restricts a document to be fetched from peers only while the source is unreachable.
    pub(in crate::process) fn limit_fetch_to_outages(&self, id: DocumentId) {
        self.only_without_source.borrow_mut().push(id);
    }

    /// Records the version that a peer has.
    pub(in crate::process) fn record_version(
        &self,
        id: DocumentId,
        version: u64,
        own: u64,
        (address, capacity): (Ipv4Addr, NodeCapacity),
        now: Instant,
    ) {
        if version <= own {
            self.record_own_version(id, own);
            return;
        }
        let holder = Holder { address, capacity, avoided_until: None };
        let mut newer = self.newer.borrow_mut();
        match newer.get_mut(&id) {
            Some(known) if known.version > version => {}
            Some(known) if known.version == version => {
                let listed = known.holders.iter_mut().find(|holder| holder.address == address);
                if let Some(listed) = listed {
                    listed.capacity = listed.capacity.max(capacity);
                } else if known.holders.len() < MAX_HOLDERS {
                    known.holders.push(holder);
                }
            }
            Some(known) => {
                let avoided = known.holders.iter().find(|holder| holder.address == address);
                let avoided_until = avoided.and_then(|holder| holder.avoided_until);
                known.holders = smallvec![Holder { avoided_until, ..holder }];
                known.version = version;
            }
            None => {
                let document = NewerDocument {
                    holders: smallvec![holder],
                    version,
                    since: now,
                    is_late_logged: false,
                    retry_at: None,
                    failures: 0,
                };
                newer.insert(id, document);
            }
        }
    }

    /// Forgets that peers had newer versions than `own`, once this node has one that is as new.
    pub(in crate::process) fn record_own_version(&self, id: DocumentId, own: u64) {
        let mut newer = self.newer.borrow_mut();
        if newer.get(&id).is_some_and(|known| known.version <= own) {
            newer.remove(&id);
        }
    }

    /// Returns the version that peers have had of a document for a while, if it is newer than this node's version `own`: the node's own source
    /// should have delivered it since.
    pub(in crate::process) fn overdue_version(
        &self,
        id: DocumentId,
        own: u64,
        now: Instant,
    ) -> Option<u64> {
        let newer = self.newer.borrow();
        let known = newer.get(&id)?;
        let is_overdue = now.saturating_duration_since(known.since) >= SOURCE_HEAD_START;
        (known.version > own && is_overdue).then_some(known.version)
    }

    /// Returns a document that is due to be fetched, and marks the fetch as started. Each document
    /// is fetched from one peer at a time.
    pub(in crate::process) fn start_due_fetch(
        &self,
        now: Instant,
        need: PeerNeed,
    ) -> Option<DueFetch> {
        let wait = match need {
            PeerNeed::Late => SOURCE_HEAD_START,
            PeerNeed::Relayed => ANNOUNCEMENT_TIME,
            PeerNeed::SourceLost => Duration::ZERO,
        };
        let newer = self.newer.borrow();
        let next_fetch = self.next_fetch.borrow();
        // Documents with higher numbers restrict what those before them allow, so a node that starts without the source takes them first.
        let (id, known) = newer.iter().rev().find(|(id, known)| {
            let is_allowed =
                need != PeerNeed::Late || !self.only_without_source.borrow().contains(id);
            let has_waited = now.saturating_duration_since(known.since) >= wait;
            let pauses = next_fetch.get(id).copied().max(known.retry_at);
            is_allowed
                && has_waited
                && !self.is_fetching(**id, now)
                && pauses.is_none_or(|until| until <= now)
        })?;
        // Larger VMs bear more requests. Among equal ones the choice differs between nodes and fetches.
        let number = self.fetch_count.get().wrapping_add(1);
        let peer = known.holders.iter().max_by_key(|holder| {
            let (own, other) = (self.own_address.octets(), holder.address.octets());
            let hash = stable_hash(&[&own, &other, &number.to_be_bytes()]);
            (Reverse(holder.is_avoided(now)), holder.capacity, hash)
        })?;
        self.fetch_count.set(number);
        let fetch = OpenFetch { wanted: known.version, since: now };
        self.fetching.borrow_mut().insert(*id, fetch);
        Some(DueFetch { id: *id, peer: peer.address, is_repeat: known.failures > 0 })
    }

    fn is_fetching(&self, id: DocumentId, now: Instant) -> bool {
        let fetch = self.fetching.borrow().get(&id).copied();
        fetch.is_some_and(|fetch| now.saturating_duration_since(fetch.since) < MAX_FETCH_TIME)
    }

    /// Records the end of a fetch. `own` is the version that this node has since.
    pub(in crate::process) fn finish_fetch(
        &self,
        now: Instant,
        id: DocumentId,
        from: Ipv4Addr,
        end: &FetchEnd,
        own: u64,
    ) {
        let fetch = self.fetching.borrow_mut().remove(&id);
        let wanted = fetch.map_or(0, |fetch| fetch.wanted);
        self.record_own_version(id, own);
        match end {
            FetchEnd::Taken { version } => {
                self.next_fetch.borrow_mut().insert(id, now + FETCH_INTERVAL);
                if let Some(known) = self.newer.borrow_mut().get_mut(&id) {
                    known.since = now;
                    known.is_late_logged = false;
                    known.failures = 0;
                    let (is_older, is_refused) = (*version < wanted, own < *version);
                    if is_older || is_refused {
                        avoid(known, from, now + FAILED_PEER_PAUSE);
                    }
                }
            }
            FetchEnd::Busy { version, retry_after, holders } => {
                for holder in holders.iter().filter(|holder| **holder != self.own_address) {
                    self.record_version(id, *version, own, (*holder, NodeCapacity::MIN), now);
                }
                self.pause_fetches(now, id, from, *retry_after);
            }
            FetchEnd::Failed => {
                let mut newer = self.newer.borrow_mut();
                let Some(known) = newer.get_mut(&id) else { return };
                known.failures += 1;
                let doublings = known.failures.saturating_sub(1).min(u32::BITS - 1);
                let pause = SAME_PEER_PAUSE.saturating_mul(1 << doublings).min(MAX_SAME_PEER_PAUSE);
                avoid(known, from, now + FAILED_PEER_PAUSE);
                drop(newer);
                self.pause_fetches(now, id, from, pause);
            }
        }
    }

    /// Sets the time of the next fetch: soon if another peer has the document, after `pause` from the same one otherwise. The pause is drawn, so
    /// that nodes which ask a peer at the same time do not do so again.
    fn pause_fetches(&self, now: Instant, id: DocumentId, from: Ipv4Addr, pause: Duration) {
        let mut newer = self.newer.borrow_mut();
        let Some(known) = newer.get_mut(&id) else { return };
        let is_avoided = known
            .holders
            .iter()
            .any(|holder| holder.address == from && holder.is_avoided(now + pause));
        if !is_avoided {
            avoid(known, from, now + pause);
        }
        let number = self.fetch_count.get().to_be_bytes();
        let drawn = stable_hash(&[&self.own_address.octets(), &[id], &number]) as f64;
        let share = drawn / u64::MAX as f64;
        let has_other = known.holders.iter().any(|holder| !holder.is_avoided(now));
        let wait = if has_other {
            NEXT_PEER_PAUSE.mul_f64(share)
        } else {
            pause.mul_f64(0.5 + share / 2.0)
        };
        known.retry_at = Some(now + wait);
    }

    /// Returns the time for which peers have had a newer version of any document, zero if they have none.
    pub(in crate::process) fn lag(&self, now: Instant) -> Duration {
        let newer = self.newer.borrow();
        let oldest = newer.values().map(|known| known.since).min();
        oldest.map_or(Duration::ZERO, |since| now.saturating_duration_since(since))
    }

    /// Returns the documents that have become late since the last call.
    pub(in crate::process) fn take_late(&self, now: Instant) -> SmallVec<[LateDocument; 2]> {
        let mut late = SmallVec::new();
        for (id, known) in self.newer.borrow_mut().iter_mut() {
            let age = now.saturating_duration_since(known.since);
            if age >= LATE_AFTER && !known.is_late_logged {
                known.is_late_logged = true;
                let (version, holders) = (known.version, known.holders.len());
                late.push(LateDocument { id: *id, version, age, holders });
            }
        }
        late
    }
}

fn avoid(document: &mut NewerDocument, address: Ipv4Addr, until: Instant) {
    let holder = document.holders.iter_mut().find(|holder| holder.address == address);
    if let Some(holder) = holder {
        holder.avoided_until = Some(until);
    }
}
