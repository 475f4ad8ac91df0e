use super::Gateway;
use super::gateway::gauge_value;
use super::peers::send_heartbeats;
use crate::connection::{TargetConnection, TunnelTarget};
use crate::version::Target;
use agatecourse_core::request::{PathChange, TargetPath, TargetPaths};
use agatecourse_types::{NodeId, TargetId, stable_hash};
use slog::{info, warn};
use smallvec::SmallVec;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Nodes that are asked for a tunnel before a target counts as unreachable; some may have lost their links without knowing it yet.
pub(crate) const MAX_TUNNEL_NODES: usize = 3;
/// Time for which a node that has opened no tunnel comes after all others.
const AVOID_TIME: Duration = Duration::from_secs(1);
/// Most tunnels that a node serves at a time; each holds two buffers and two sockets.
const MAX_SERVED_TUNNELS: usize = 512;
/// Period in which a node checks whether a direct connection is due to be tried.
const PROBE_CHECK_PERIOD: Duration = Duration::from_millis(100);

/// A node that may open a tunnel.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct TunnelNode {
    pub(crate) name: NodeId,
    pub(crate) address: SocketAddr,
}

/// Paths of this node to the targets, and the tunnels that run through other nodes.
#[derive(Debug, Default)]
pub(super) struct PathStates {
    paths: RefCell<TargetPaths>,
    /// Open tunnels of this node by the node through which they run.
    open_tunnels: RefCell<BTreeMap<NodeId, Rc<Cell<usize>>>>,
    /// Nodes that have opened no tunnel lately, with the time until which they come last.
    avoided: RefCell<BTreeMap<NodeId, Instant>>,
    /// Tunnels that this node serves.
    served_tunnels: Cell<usize>,
}

/// Counts a served tunnel until it is dropped.
pub(super) struct ServedTunnel<'a>(&'a Gateway);

impl Drop for ServedTunnel<'_> {
    fn drop(&mut self) {
        let served = &self.0.path_states.served_tunnels;
        served.set(served.get().saturating_sub(1));
        self.0.metrics.paths.served_tunnels.set(gauge_value(served.get()));
    }
}

/// Paths to targets: direct connections, and tunnels through other nodes while this one does not reach them.
impl Gateway {
    /// Returns how this node connects to a target at present.
    pub(crate) fn target_path(&self, target: &TargetId) -> TargetPath {
        self.path_states.paths.borrow().path(Instant::now(), target)
    }

    /// Returns whether this node has lost its links to all targets.
    pub fn is_cut_off(&self) -> bool {
        self.path_states.paths.borrow().is_cut_off()
    }

    /// Records that bytes of a target arrived.
    pub(crate) fn record_heard(&self, now: Instant, target: &TargetId) {
        self.path_states.paths.borrow_mut().record_heard(now, target);
    }

    /// Returns whether another target was heard since a time. Without that, a run that got no answer says nothing about its target, as this node may have
    /// lost its own links.
    pub(crate) fn has_heard_other(&self, since: Instant, target: &TargetId) -> bool {
        self.path_states.paths.borrow().has_heard_other(since, target)
    }

    /// Records that a direct connection to a target was established.
    pub(crate) fn record_direct(&self, now: Instant, target: &TargetId) {
        let change = self.path_states.paths.borrow_mut().record_direct(now, target);
        self.apply_path_change(now, change, target);
    }

    /// Records that a target was reached through another node; `has_failed_directly` if a direct connection has just failed.
    pub(crate) fn record_detour(&self, now: Instant, target: &TargetId, has_failed_directly: bool) {
        if !has_failed_directly {
            self.path_states.paths.borrow_mut().record_detour_use(now, target);
            return;
        }
        let known = self.targets.borrow().len();
        let change = self.path_states.paths.borrow_mut().record_detour(now, target, known);
        self.pool.borrow_mut().remove_target(target);
        self.metrics.paths.detours.set(gauge_value(self.path_states.paths.borrow().detour_count()));
        if change.is_none() && !self.is_cut_off() {
            info!(self.log, "target reached through another node only"; "target" => target);
        }
        self.apply_path_change(now, change, target);
    }

    fn apply_path_change(&self, now: Instant, change: Option<PathChange>, target: &TargetId) {
        let Some(change) = change else { return };
        match change {
            PathChange::CutOff => {
                let nodes = self.tunnel_nodes(now).len();
                warn!(self.log, "links to targets lost"; "last_target" => target, "tunnel_nodes" => nodes);
            }
            PathChange::Restored { after } => {
                info!(self.log, "links to targets restored"; "target" => target,
                    "after_ms" => after.as_millis() as u64);
            }
        }
        // Idle connections on the former path are not used any more.
        self.pool.borrow_mut().close_idle();
        self.metrics.paths.cut_off.set(i64::from(self.is_cut_off()));
        self.metrics.paths.detours.set(gauge_value(self.path_states.paths.borrow().detour_count()));
        // Nodes that look for a tunnel learn at once whether this one may serve it.
        send_heartbeats(self, now);
    }

    /// Closes the idle tunnels through a node that serves none any more, for example because it stops, so that no request is sent on them.
    pub(super) fn close_tunnels_of(&self, node: &NodeId) {
        self.pool.borrow_mut().close_tunnels(node);
    }

    /// Returns a connection that may be reused to the pool, unless it does not run on the present path to the target or its node serves no tunnels any more.
    pub(crate) fn pool_connection(
        &self,
        target: &TargetId,
        connection: TargetConnection,
        stated_idle: Option<Duration>,
    ) {
        let is_on_path = match &connection.tunnel {
            None => self.target_path(target) == TargetPath::Direct,
            Some(link) => {
                self.target_path(target) == TargetPath::Detour
                    && self.members.borrow().serves_tunnels(&link.node)
            }
        };
        if is_on_path {
            self.pool.borrow_mut().put(target, connection, stated_idle, Instant::now());
        }
    }

    /// Returns how a tunnel names a target.
    pub(crate) fn tunnel_target(target: &Target) -> TunnelTarget {
        TunnelTarget {
            id_hash: stable_hash(&[target.id.as_bytes()]),
            started_unix_ms: target.started_unix_ms,
        }
    }

    /// Returns the target that a tunnel names, `None` if this node does not know its process or may not use it.
    pub(super) fn target_of_tunnel(&self, named: TunnelTarget) -> Option<Rc<Target>> {
        let targets = self.targets.borrow();
        targets.values().find(|target| Self::tunnel_target(target) == named).cloned()
    }

    /// Returns whether this node opens tunnels to targets for others.
    pub(crate) fn serves_tunnels(&self) -> bool {
        !self.is_cut_off()
            && self.stopping_since().is_none()
            && self.has_usable_targets()
            && self.path_states.served_tunnels.get() < MAX_SERVED_TUNNELS
    }

    /// Counts a tunnel that this node serves until the returned value is dropped.
    pub(super) fn count_served_tunnel(&self) -> ServedTunnel<'_> {
        let served = &self.path_states.served_tunnels;
        served.set(served.get() + 1);
        self.metrics.paths.served_tunnels.set(gauge_value(served.get()));
        ServedTunnel(self)
    }

    /// Returns the number of tunnels that this node serves.
    pub(super) fn served_tunnels(&self) -> usize {
        self.path_states.served_tunnels.get()
    }

    /// Returns the nodes that serve tunnels, those with the fewest tunnels of this node first. Among equals the order differs between nodes,
    /// so that nodes that are cut off together spread their tunnels.
    pub(crate) fn tunnel_nodes(&self, now: Instant) -> SmallVec<[TunnelNode; 8]> {
        let avoided = self.path_states.avoided.borrow();
        let open = self.path_states.open_tunnels.borrow();
        let members = self.members.borrow();
        let port = self.settings.peer_port;
        let mut nodes: SmallVec<[TunnelNode; 8]> = members
            .tunnel_nodes(now)
            .map(|(node, ip)| TunnelNode {
                name: node.clone(),
                address: SocketAddr::new(ip.into(), port),
            })
            .collect();
        nodes.sort_by_cached_key(|TunnelNode { name, .. }| {
            let is_avoided = avoided.get(name).is_some_and(|until| *until > now);
            let count = open.get(name).map_or(0, |count| count.get());
            (is_avoided, count, stable_hash(&[self.settings.node.as_bytes(), name.as_bytes()]))
        });
        nodes
    }

    /// Returns the counter of the tunnels of this node through another one.
    pub(crate) fn open_tunnels(&self, node: &NodeId) -> Rc<Cell<usize>> {
        Rc::clone(self.path_states.open_tunnels.borrow_mut().entry(node.clone()).or_default())
    }

    /// Puts a node behind the others for a while, because it has opened no tunnel.
    pub(crate) fn avoid_tunnels_of(&self, now: Instant, node: &NodeId) {
        let mut avoided = self.path_states.avoided.borrow_mut();
        avoided.retain(|_, until| *until > now);
        avoided.insert(node.clone(), now + AVOID_TIME);
    }

    fn take_due_path_probe(&self, now: Instant) -> Option<Rc<Target>> {
        let target = self.path_states.paths.borrow_mut().take_due_probe(now)?;
        self.target(&target)
    }
}

/// Subscribes the probes that find out whether direct connections work again to the timer service.
pub(super) fn subscribe_path_probes(gateway: &Rc<Gateway>) {
    let weak = Rc::downgrade(gateway);
    gateway.timers.subscribe(PROBE_CHECK_PERIOD, move |now| {
        let Some(gateway) = weak.upgrade() else { return };
        let Some(target) = gateway.take_due_path_probe(now) else { return };
        actix_rt::spawn(async move {
            let Some(permit) = gateway.open_target_socket() else { return };
            if let Ok(connection) = TargetConnection::connect(target.address, permit).await {
                gateway.record_direct(Instant::now(), &target.id);
                gateway.pool_connection(&target.id, connection, None);
            }
        });
    });
}
