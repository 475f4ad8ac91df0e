use super::DocumentId;
use agatecourse_types::NodeId;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// Time that the node's own source has to deliver a newer document before it is fetched from a peer.
const SOURCE_HEAD_START: Duration = Duration::from_millis(300);
/// Minimum time between two fetches of the same document.
const FETCH_INTERVAL: Duration = Duration::from_millis(300);

#[derive(Debug, Clone)]
struct NewerDocument {
    peer: NodeId,
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
        if version > own {
            let since = newer.get(&id).map_or(now, |known| known.since);
            let known_version = newer.get(&id).map_or(0, |known| known.version);
            if version > known_version {
                newer.insert(id, NewerDocument { peer: peer.clone(), version, since });
            }
        } else if newer.get(&id).is_some_and(|known| known.version <= own) {
            newer.remove(&id);
        }
    }

    /// Returns a document that is due to be fetched and the peer that has it, and marks the fetch as started.
    pub(crate) fn start_due_fetch(
        &self,
        now: Instant,
        is_source_lost: bool,
    ) -> Option<(DocumentId, NodeId)> {
        let newer = self.newer.borrow();
        let mut fetching = self.fetching.borrow_mut();
        let (id, known) = newer.iter().find(|(id, known)| {
            let is_allowed = is_source_lost || !self.only_without_source.borrow().contains(id);
            let has_waited =
                is_source_lost || now.saturating_duration_since(known.since) >= SOURCE_HEAD_START;
            is_allowed && has_waited && fetching.get(id).is_none_or(|again| *again <= now)
        })?;
        fetching.insert(*id, now + FETCH_INTERVAL);
        Some((*id, known.peer.clone()))
    }

    /// Removes the record after a fetch; a later heartbeat adds it again if the peer's document is still newer.
    pub(crate) fn remove(&self, id: DocumentId) {
        self.newer.borrow_mut().remove(&id);
    }
}
