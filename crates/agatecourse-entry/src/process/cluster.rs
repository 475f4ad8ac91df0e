use agatecourse_peer::{PeerEndpoint, PeerError};
use agatecourse_types::{ConfigVersion, Incarnation, NodeId, rendezvous_owner};
use agatecourse_wire::{Envelope, PeerMessage};
use snafu::Snafu;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, OnceLock, PoisonError, RwLock};
use std::time::Duration;
use tokio::sync::watch;

/// Addresses for messages between nodes, by the name of the live node.
pub(crate) type LiveNodes = BTreeMap<NodeId, SocketAddr>;

/// Reports why a call to another node returned no answer.
#[derive(Debug, Snafu)]
pub(crate) enum CallError {
    /// The node is not a live member, or this node has no endpoint yet.
    #[snafu(display("node {node:?} is not a live member"))]
    UnknownNode { node: NodeId },
    /// The endpoint could not complete the call.
    #[snafu(display("{source}"), context(false))]
    Peer { source: PeerError },
}

/// View of the live nodes and client for messages to them.
///
/// The live nodes always contain this node.
#[derive(Debug)]
pub(crate) struct Cluster {
    node: NodeId,
    incarnation: AtomicU64,
    joined: AtomicBool,
    config_version: AtomicU64,
    live: RwLock<Arc<LiveNodes>>,
    changes: watch::Sender<u64>,
    endpoint: OnceLock<PeerEndpoint>,
}

impl Cluster {
    /// Creates a cluster whose only live node is this one, with `address` as its peer address.
    pub(crate) fn new(node: &str, incarnation: Incarnation, address: SocketAddr) -> Self {
        Self {
            node: node.to_string(),
            incarnation: AtomicU64::new(incarnation),
            joined: AtomicBool::new(false),
            config_version: AtomicU64::new(0),
            live: RwLock::new(Arc::new(LiveNodes::from([(node.to_string(), address)]))),
            changes: watch::Sender::new(0),
            endpoint: OnceLock::new(),
        }
    }

    /// Sets the endpoint for messages between nodes; later calls have no effect.
    pub(crate) fn set_endpoint(&self, endpoint: PeerEndpoint) {
        let _ = self.endpoint.set(endpoint);
    }

    pub(crate) fn endpoint(&self) -> Option<&PeerEndpoint> {
        self.endpoint.get()
    }

    /// Replaces the live nodes, notifies the subscribers of a change, and returns whether there was one.
    pub(crate) fn set_live(&self, live: LiveNodes) -> bool {
        let mut current = self.live.write().unwrap_or_else(PoisonError::into_inner);
        if **current == live {
            return false;
        }
        *current = Arc::new(live);
        drop(current);
        self.changes.send_modify(|count| *count += 1);
        true
    }

    pub(crate) fn live(&self) -> Arc<LiveNodes> {
        self.live.read().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Subscribes to changes of the live nodes and of whether this node has joined.
    pub(crate) fn changes(&self) -> watch::Receiver<u64> {
        self.changes.subscribe()
    }

    /// Returns the live node that owns a pool, a journal shard or another named resource.
    ///
    /// The name is empty until this node has joined: without the other members it would take ownership of resources
    /// that belong to nodes it does not know yet.
    pub(crate) fn owner_of(&self, resource: &str) -> NodeId {
        if !self.is_joined() {
            return NodeId::new();
        }
        let live = self.live();
        let owner = rendezvous_owner(resource, live.keys().map(String::as_str));
        owner.unwrap_or(&self.node).to_string()
    }

    pub(crate) fn is_self(&self, node: &str) -> bool {
        self.node == node
    }

    /// Sets the incarnation, which rises when other nodes report this one as suspect, leaving or dead.
    pub(crate) fn set_incarnation(&self, incarnation: Incarnation) {
        self.incarnation.store(incarnation, Ordering::Relaxed);
    }

    /// Sets whether this node knows the other members, notifies the subscribers of a change, and returns whether there
    /// was one.
    pub(crate) fn set_joined(&self, joined: bool) -> bool {
        let changed = self.joined.swap(joined, Ordering::Relaxed) != joined;
        if changed {
            self.changes.send_modify(|count| *count += 1);
        }
        changed
    }

    /// Returns whether this node knows the other members. Before that it owns no resource and is not ready.
    pub(crate) fn is_joined(&self) -> bool {
        self.joined.load(Ordering::Relaxed)
    }

    pub(crate) fn set_config_version(&self, version: ConfigVersion) {
        self.config_version.store(version, Ordering::Relaxed);
    }

    /// Wraps a message in an envelope with the name, incarnation and configuration version of this node.
    pub(crate) fn envelope(&self, body: PeerMessage) -> Envelope {
        Envelope::new(self.node.clone(), self.incarnation.load(Ordering::Relaxed))
            .with_config_version(self.config_version.load(Ordering::Relaxed))
            .with_body(body)
    }

    /// Sends a message to a live node once and returns its answer.
    ///
    /// # Errors
    ///
    /// Returns [`CallError::UnknownNode`] when the node is not live, and [`CallError::Peer`] when the call fails or is
    /// not answered within `timeout`.
    pub(crate) async fn call(
        &self,
        node: &str,
        body: PeerMessage,
        timeout: Duration,
    ) -> Result<PeerMessage, CallError> {
        let address = self.live().get(node).copied();
        let (Some(address), Some(endpoint)) = (address, self.endpoint()) else {
            return UnknownNodeSnafu { node }.fail();
        };
        let envelope = self.envelope(body);
        Ok(endpoint.call_message(address, &envelope, timeout).await?.body)
    }

    /// Sends a message again until it is answered; `None` when the node is not live or `timeout` has passed.
    pub(crate) async fn call_with_retry(
        &self,
        node: &str,
        body: PeerMessage,
        timeout: Duration,
    ) -> Option<PeerMessage> {
        let attempts = async {
            loop {
                match self.call(node, body.clone(), ATTEMPT_TIMEOUT).await {
                    Ok(answer) => return Some(answer),
                    Err(CallError::UnknownNode { .. }) => return None,
                    Err(CallError::Peer { .. }) => tokio::time::sleep(RETRY_INTERVAL).await,
                }
            }
        };
        tokio::time::timeout(timeout, attempts).await.ok().flatten()
    }
}

const ATTEMPT_TIMEOUT: Duration = Duration::from_secs(1);
// Shorter intervals would only add load to a node that is slow to answer.
const RETRY_INTERVAL: Duration = Duration::from_millis(200);
