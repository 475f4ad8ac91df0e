use super::DocumentId;
use agatecourse_types::{NodeId, rendezvous_owner};
use smallvec::{SmallVec, smallvec};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// Time that the node's own source has to deliver a newer document before it is fetched from a peer.
const SOURCE_HEAD_START: Duration = Duration::from_millis(300);
/// Time in which all nodes that follow the source announce a new document, so that those that rely on them are spread over them.
const ANNOUNCEMENT_TIME: Duration = Duration::from_millis(60);
/// Minimum time between two fetches of the same document.
const FETCH_INTERVAL: Duration = Duration::from_millis(300);

/// Why a node fetches documents from peers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum PeerNeed {
    /// The source is expected to deliver them, and is late.
    Late,
    /// Other nodes follow the source for this one.
    Relayed,
    /// The source is unreachable.
    SourceLost,
}

#[derive(Debug, Clone)]
struct NewerDocument {
    /// Nodes that have the version.
    peers: SmallVec<[NodeId; 8]>,
    version: u64,
    since: Instant,
}

/// Documents that are newer on a peer than on this node.
#[derive(Debug, Default)]
pub(crate) struct PeerDocuments {
    newer: RefCell<BTreeMap<DocumentId, NewerDocument>>,
    fetching: RefCell<BTreeMap<DocumentId, Instant>>,
    only_without_source: RefCell<Vec<DocumentId>>,
}

impl PeerDocuments {
    /// Restricts a document to be fetched from peers only while the source is unreachable.
    pub(crate) fn limit_fetch_to_outages(&self, id: DocumentId) {
        self.only_without_source.borrow_mut().push(id);
    }

    /// Records the version that a peer has.
    pub(crate) fn record_version(
        &self,
        id: DocumentId,
        version: u64,
        own: u64,
        peer: &NodeId,
        now: Instant,
    ) {
        let mut newer = self.newer.borrow_mut();
        if version <= own {
            if newer.get(&id).is_some_and(|known| known.version <= own) {
                newer.remove(&id);
            }
            return;
        }
        match newer.get_mut(&id) {
            Some(known) if known.version > version => {}
            Some(known) if known.version == version => {
                if !known.peers.contains(peer) {
                    known.peers.push(peer.clone());
                }
            }
            known => {
                let since = known.map_or(now, |known| known.since);
                newer.insert(id, NewerDocument { peers: smallvec![peer.clone()], version, since });
            }
        }
    }

    /// Returns the version that peers have had of a document for a while, if it is newer than this node's version `own`: the node's own source
    /// should have delivered it since.
    pub(crate) fn overdue_version(&self, id: DocumentId, own: u64, now: Instant) -> Option<u64> {
        let newer = self.newer.borrow();
        let known = newer.get(&id)?;
        let is_overdue = now.saturating_duration_since(known.since) >= SOURCE_HEAD_START;
        (known.version > own && is_overdue).then_some(known.version)
    }

    /// Returns a document that is due to be fetched and the peer that this node fetches it from, and marks the fetch as started.
    pub(crate) fn start_due_fetch(
        &self,
        now: Instant,
        need: PeerNeed,
        node: &NodeId,
    ) -> Option<(DocumentId, NodeId)> {
        let wait = match need {
            PeerNeed::Late => SOURCE_HEAD_START,
            PeerNeed::Relayed => ANNOUNCEMENT_TIME,
            PeerNeed::SourceLost => Duration::ZERO,
        };
        let newer = self.newer.borrow();
        let mut fetching = self.fetching.borrow_mut();
        // Documents with higher numbers restrict what those before them allow, so a node that starts without the source takes them first.
        let (id, known) = newer.iter().rev().find(|(id, known)| {
            let is_allowed =
                need != PeerNeed::Late || !self.only_without_source.borrow().contains(id);
            let has_waited = now.saturating_duration_since(known.since) >= wait;
            is_allowed && has_waited && fetching.get(id).is_none_or(|again| *again <= now)
        })?;
        fetching.insert(*id, now + FETCH_INTERVAL);
        // The choice differs between nodes, so that they do not all fetch from the first that announces a document.
        let peer = rendezvous_owner(node, known.peers.iter().map(String::as_str))?;
        Some((*id, peer.to_string()))
    }

    /// Removes the record after a fetch; a later heartbeat adds it again if the peer's document is still newer.
    pub(crate) fn remove(&self, id: DocumentId) {
        self.newer.borrow_mut().remove(&id);
    }
}
