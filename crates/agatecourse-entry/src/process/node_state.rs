use crate::process::{
    Cluster, DegradedPlacements, DrainGate, ExplanationRing, FleetView, HistoryLog,
    IdempotencyKeys, JournalActor, Metrics, NodeGroup, OrganisationLimits, PoolOwnership,
    PoolSchedulers, Quarantine,
};
use crate::request::JobTable;
use crate::version::OutputLengthEstimator;
use actix::{Addr, ArbiterHandle};
use agatecourse_config::NodeSettings;
use agatecourse_types::{Incarnation, RequestId, stable_hash};
use slog::Logger;
use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, OnceLock, PoisonError, RwLock};
use tokio::runtime::Handle;

/// Actors and schedulers that a node starts before it creates its [`NodeState`].
pub(crate) struct Actors {
    pub(crate) pools: Arc<PoolSchedulers>,
    pub(crate) journal: Addr<JournalActor>,
    pub(crate) config_tasks: ArbiterHandle,
}

/// State that all threads of a node use.
pub(crate) struct NodeState {
    pub(crate) settings: NodeSettings,
    pub(crate) incarnation: Incarnation,
    pub(crate) gate: Arc<DrainGate>,
    pub(crate) limits: Arc<OrganisationLimits>,
    pub(crate) quarantine: Quarantine,
    pub(crate) explanations: ExplanationRing,
    pub(crate) output_lengths: OutputLengthEstimator,
    pub(crate) metrics: Metrics,
    pub(crate) history: Arc<HistoryLog>,
    pub(crate) log: Logger,
    pub(crate) pools: Arc<PoolSchedulers>,
    pub(crate) journal: Addr<JournalActor>,
    pub(crate) keys: IdempotencyKeys,
    pub(crate) ownership: PoolOwnership,
    pub(crate) cluster: Cluster,
    pub(crate) jobs: JobTable,
    pub(crate) degraded_placements: DegradedPlacements,
    /// Runs background tasks that do not belong to a request.
    pub(crate) runtime: Handle,
    /// Thread on which the configuration is read from the table.
    pub(crate) config_tasks: ArbiterHandle,
    group: OnceLock<NodeGroup>,
    /// Number of live nodes, including this one.
    pub(crate) live_nodes: AtomicU32,
    view: RwLock<Option<Arc<FleetView>>>,
    /// Hash of the node name and the incarnation, the upper half of each request id.
    id_prefix: u64,
    next_id: AtomicU64,
}

impl NodeState {
    pub(crate) fn new(
        settings: NodeSettings,
        incarnation: Incarnation,
        log: Logger,
        history: Arc<HistoryLog>,
        metrics: Metrics,
        actors: Actors,
    ) -> Self {
        Self {
            cluster: Cluster::new(&settings.name, incarnation, settings.peer_address),
            ownership: PoolOwnership::default(),
            jobs: JobTable::default(),
            degraded_placements: DegradedPlacements::default(),
            runtime: Handle::current(),
            config_tasks: actors.config_tasks,
            group: OnceLock::new(),
            id_prefix: stable_hash(&[settings.name.as_bytes(), &incarnation.to_le_bytes()]),
            settings,
            incarnation,
            gate: Arc::default(),
            limits: Arc::default(),
            quarantine: Quarantine::default(),
            explanations: ExplanationRing::default(),
            output_lengths: OutputLengthEstimator::default(),
            metrics,
            history,
            log,
            pools: actors.pools,
            journal: actors.journal,
            keys: IdempotencyKeys::default(),
            live_nodes: AtomicU32::new(1),
            view: RwLock::default(),
            next_id: AtomicU64::new(0),
        }
    }

    /// Sets the group once the address for messages between nodes is known; later calls have no effect.
    pub(crate) fn set_group(&self, group: NodeGroup) {
        let _ = self.group.set(group);
    }

    /// Returns the membership, alerts and configuration of this node.
    ///
    /// # Panics
    ///
    /// Panics before [`Self::set_group`] is called, which happens while the node starts.
    pub(crate) fn group(&self) -> &NodeGroup {
        self.group.get().expect("the group is set when the node starts")
    }

    /// Returns the active configuration; `None` until the first one has been read.
    pub(crate) fn view(&self) -> Option<Arc<FleetView>> {
        self.view.read().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Activates a configuration if its version is higher than that of the active one; returns whether it did.
    pub(crate) fn set_view(&self, view: Arc<FleetView>) -> bool {
        let mut current = self.view.write().unwrap_or_else(PoisonError::into_inner);
        let newer = current.as_ref().is_none_or(|current| view.version > current.version);
        if newer {
            *current = Some(view);
        }
        newer
    }

    /// Returns whether the node accepts requests: it knows the other nodes, has a configuration and is not shutting
    /// down.
    pub(crate) fn is_ready(&self) -> bool {
        !self.gate.is_closed() && self.view().is_some() && self.cluster.is_joined()
    }

    /// Returns an id that is unique across nodes and incarnations.
    pub(crate) fn new_request_id(&self) -> RequestId {
        let count = self.next_id.fetch_add(1, Ordering::Relaxed);
        (u128::from(self.id_prefix) << 64) | u128::from(count)
    }
}
