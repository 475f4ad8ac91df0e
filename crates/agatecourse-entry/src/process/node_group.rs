use crate::process::{
    ConfigureJournal, FleetView, LiveNodes, NodeState, PoolOwnership, Verdict, spawn_config_read,
};
use agatecourse_config::NodeSettings;
use agatecourse_core::process::{
    AlertAction, AlertEvent, AlertSet, ConfigAction, ConfigEvent, ConfigFollower, Membership,
    MembershipAction, MembershipEvent, MembershipSnapshot, VmObservation,
};
use agatecourse_core::request::scheduler::PoolEvent;
use agatecourse_history::HistoryEvent;
use agatecourse_peer::{IncomingMessage, MessageChannel};
use agatecourse_types::{ConfigVersion, Incarnation, stable_hash};
use agatecourse_wire::process::{Alert, AlertKey, MemberState};
use agatecourse_wire::{Envelope, PeerMessage};
use slog::{info, warn};
use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// Membership, alerts and configuration of this node, which the nodes replicate by gossip.
///
/// The state machines of the core crate do no I/O. The group passes them messages and timer events, and performs the
/// resulting actions on the node's runtime after it has released the lock.
#[derive(Debug)]
pub(crate) struct NodeGroup {
    inner: Mutex<GroupState>,
    /// Locked while an alert is applied to the quarantine or the pools.
    applying: Mutex<()>,
}

#[derive(Debug)]
struct GroupState {
    membership: Membership,
    alerts: AlertSet,
    config: ConfigFollower,
}

#[derive(Debug, Default)]
struct PendingActions {
    membership: Vec<MembershipAction>,
    alerts: Vec<AlertAction>,
    config: Vec<ConfigAction>,
}

impl NodeGroup {
    /// Creates a group whose only member is this node, with `address` as its peer address.
    pub(crate) fn new(
        settings: &NodeSettings,
        address: SocketAddr,
        incarnation: Incarnation,
    ) -> Self {
        let now = Instant::now();
        let seed = stable_hash(&[settings.name.as_bytes(), &incarnation.to_le_bytes()]);
        let (name, zone) = (settings.name.clone(), settings.zone.clone());
        let membership = Membership::new(name, zone, address, incarnation, now, seed);
        let alerts = AlertSet::new(settings.name.clone(), now, seed.wrapping_add(1));
        let config = ConfigFollower::new(now, seed.wrapping_add(2));
        Self {
            inner: Mutex::new(GroupState { membership, alerts, config }),
            applying: Mutex::default(),
        }
    }

    pub(crate) fn snapshot(&self) -> MembershipSnapshot {
        self.lock().membership.snapshot()
    }

    pub(crate) fn alerts(&self) -> Vec<Alert> {
        self.lock().alerts.alerts().cloned().collect()
    }

    /// Processes expired timers of membership, alerts and configuration.
    pub(crate) fn tick(&self, state: &Arc<NodeState>) {
        self.update_state(state, |inner, now, actions| {
            inner.membership.on_event(now, MembershipEvent::Tick, &mut actions.membership);
            let members = inner.membership.live_addresses();
            inner.alerts.on_event(now, AlertEvent::Members(members), &mut actions.alerts);
            inner.config.on_event(now, ConfigEvent::Tick, &mut actions.config);
        });
    }

    /// Passes an event to the membership and performs the resulting actions.
    pub(crate) fn member_event(&self, state: &Arc<NodeState>, event: MembershipEvent) {
        self.update_state(state, |inner, now, actions| {
            inner.membership.on_event(now, event, &mut actions.membership);
        });
    }

    /// Passes an event to the configuration follower and performs the resulting actions.
    pub(crate) fn config_event(&self, state: &Arc<NodeState>, event: ConfigEvent) {
        self.update_state(state, |inner, now, actions| {
            inner.config.on_event(now, event, &mut actions.config);
        });
    }

    /// Raises or clears an alert; gossip distributes it to all nodes.
    pub(crate) fn set_alert(
        &self,
        state: &Arc<NodeState>,
        key: AlertKey,
        active: bool,
        reason: &str,
    ) {
        let reason = reason.to_string();
        let event = if active {
            AlertEvent::Raise { key, reason }
        } else {
            AlertEvent::Clear { key, reason }
        };
        self.update_state(state, |inner, now, actions| {
            inner.alerts.on_event(now, event, &mut actions.alerts);
        });
    }

    /// Handles a message from another node; `None` for a datagram and for a call that the group does not answer.
    pub(crate) fn handle_incoming(
        &self,
        state: &Arc<NodeState>,
        incoming: &IncomingMessage,
    ) -> Option<PeerMessage> {
        let envelope = &incoming.envelope;
        if incoming.channel == MessageChannel::Datagram {
            self.on_message(state, incoming.address, envelope);
            return None;
        }
        let mut inner = self.lock();
        let body = &envelope.body;
        let answer = inner.membership.on_call(envelope);
        answer.or_else(|| inner.alerts.on_call(body)).or_else(|| inner.config.on_call(body))
    }

    /// Handles a datagram, or the answer to a call.
    fn on_message(&self, state: &Arc<NodeState>, address: SocketAddr, envelope: &Envelope) {
        self.update_state(state, |inner, now, actions| {
            inner.membership.on_message(now, address, envelope, &mut actions.membership);
            inner.alerts.on_message(address, &envelope.body, &mut actions.alerts);
            inner.config.on_message(now, address, &envelope.body, &mut actions.config);
        });
    }

    /// Applies the latest state of an alert.
    ///
    /// The lock serializes reading and applying, so that one thread can't apply an older state after another thread has
    /// applied a newer one.
    fn apply_latest_alert(&self, state: &NodeState, key: &AlertKey) {
        let _guard = self.applying.lock().unwrap_or_else(PoisonError::into_inner);
        let newest = self.lock().alerts.alerts().find(|alert| alert.key == *key).cloned();
        if let Some(alert) = newest {
            apply_alert(state, &alert);
        }
    }

    /// Applies all active alerts again, for pools that this node has just taken over.
    pub(crate) fn reapply_alerts(&self, state: &NodeState) {
        let _guard = self.applying.lock().unwrap_or_else(PoisonError::into_inner);
        for alert in self.alerts().iter().filter(|alert| alert.active) {
            apply_alert(state, alert);
        }
    }

    /// Changes the state under the lock, publishes the live nodes if they changed, and performs the resulting actions.
    fn update_state(
        &self,
        state: &Arc<NodeState>,
        change: impl FnOnce(&mut GroupState, Instant, &mut PendingActions),
    ) {
        let mut actions = PendingActions::default();
        let mut inner = self.lock();
        change(&mut inner, Instant::now(), &mut actions);
        // Without seeds and VM list this node can't discover others, so it does not wait for them.
        let is_single_node =
            state.settings.seeds.is_empty() && state.settings.vm_list_address.is_none();
        let joined = is_single_node || inner.membership.is_joined();
        let members_changed = actions.membership.iter().any(|action| {
            matches!(
                action,
                MembershipAction::MemberChanged { .. }
                    | MembershipAction::IncarnationChanged { .. }
            )
        });
        // Must happen under the lock: otherwise, of two threads that change the members, the one with the older state
        // could set the live nodes last.
        state.cluster.set_incarnation(inner.membership.incarnation());
        let live_changed = state.cluster.set_joined(joined) || members_changed;
        if live_changed {
            state.cluster.set_live(live_nodes(&inner.membership));
        }
        drop(inner);
        if live_changed {
            apply_live_nodes(state);
        }
        self.perform_actions(state, actions);
    }

    fn perform_actions(&self, state: &Arc<NodeState>, actions: PendingActions) {
        for action in actions.membership {
            match action {
                MembershipAction::Send { address, message } => send(state, address, message),
                MembershipAction::Call { address, message } => call(state, address, message),
                MembershipAction::HigherConfig { address, version } => {
                    self.config_event(state, ConfigEvent::HigherConfig { address, version });
                }
                MembershipAction::MemberChanged { member, previous } => {
                    info!(state.log, "member changed"; "member" => member.node,
                        "state" => format!("{:?}", member.state).to_lowercase(),
                        "previous" => format!("{previous:?}").to_lowercase());
                }
                MembershipAction::IncarnationChanged { incarnation, was_dead } => {
                    warn!(state.log, "incarnation of this node raised";
                        "incarnation" => incarnation, "was_dead" => was_dead);
                    if was_dead {
                        PoolOwnership::drop_all(state);
                        PoolOwnership::update(state);
                    }
                }
            }
        }
        for action in actions.alerts {
            match action {
                AlertAction::Send { address, message } => send(state, address, message),
                AlertAction::Call { address, message } => call(state, address, message),
                AlertAction::Changed(alert) => {
                    info!(state.log, "alert changed"; "alert" => format!("{:?}", alert.key),
                        "active" => alert.active, "origin" => &alert.origin, "reason" => &alert.reason);
                    self.apply_latest_alert(state, &alert.key);
                }
            }
        }
        for action in actions.config {
            match action {
                ConfigAction::PollTable { above } => spawn_config_read(state, above),
                ConfigAction::Call { address, message } => call(state, address, message),
                ConfigAction::Apply { version, config } => {
                    let view = FleetView::new(version, *config);
                    activate_config(state, version, view);
                    self.member_event(state, MembershipEvent::ConfigInForce(version));
                }
                ConfigAction::Rejected { version, faults } => {
                    state.metrics.config_errors.inc();
                    warn!(state.log, "configuration is not valid"; "version" => version,
                        "reason" => faults.to_string());
                }
            }
        }
    }

    fn lock(&self) -> MutexGuard<'_, GroupState> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Returns the members that can own pools and journal shards: those that are alive or suspect.
fn live_nodes(membership: &Membership) -> LiveNodes {
    let can_own = |state: MemberState| matches!(state, MemberState::Alive | MemberState::Suspect);
    let members = membership.members().filter(|member| can_own(member.state));
    members
        .filter_map(|member| Some((member.node.clone(), member.peer_address.parse().ok()?)))
        .collect()
}

/// Updates the limits of organisations and the pool owners after a change of the live nodes.
fn apply_live_nodes(state: &Arc<NodeState>) {
    let nodes = u32::try_from(state.cluster.live().len()).unwrap_or(u32::MAX).max(1);
    if state.live_nodes.swap(nodes, Ordering::Relaxed) != nodes
        && let Some(view) = state.view()
    {
        state.limits.configure(&view.config, nodes);
    }
    PoolOwnership::update(state);
}

/// Activates a configuration if its version is higher than that of the active one.
fn activate_config(state: &Arc<NodeState>, version: ConfigVersion, view: FleetView) {
    let view = Arc::new(view);
    if !state.set_view(view.clone()) {
        return;
    }
    let nodes = state.live_nodes.load(Ordering::Relaxed);
    state.limits.configure(&view.config, nodes);
    state.cluster.set_config_version(version);
    PoolOwnership::update(state);
    state.journal.do_send(ConfigureJournal {
        config: view.config.journal.clone(),
        state: Arc::downgrade(state),
    });
    state.metrics.config_version.set(i64::try_from(version).unwrap_or(i64::MAX));
    let subject = state.settings.name.clone();
    state.history.write(|| HistoryEvent::ConfigInForce { subject, version });
    info!(state.log, "configuration in force"; "version" => version);
}

/// Applies the state of an alert to the quarantine or the pools of this node.
fn apply_alert(state: &NodeState, alert: &Alert) {
    let active = alert.active;
    let verdict = |verdict| active.then_some(verdict);
    match &alert.key {
        AlertKey::Quarantine { fingerprint } => {
            state.quarantine.set(*fingerprint, verdict(Verdict::Quarantined));
        }
        AlertKey::Suspect { fingerprint } => {
            if state.quarantine.verdict(*fingerprint) != Some(Verdict::Quarantined) {
                state.quarantine.set(*fingerprint, verdict(Verdict::Suspect));
            }
        }
        AlertKey::VersionStopped { route, version } => {
            let (route, version) = (route.clone(), version.clone());
            state.pools.event_to_all(&[PoolEvent::VersionStopped { route, version }]);
        }
        AlertKey::TargetLeaving { target } | AlertKey::TargetDrained { target } => {
            let target = target.clone();
            state.history.write(|| target_history_event(target.clone(), active));
            let event = if active {
                PoolEvent::TargetLeaving { target }
            } else {
                PoolEvent::TargetReturned { target }
            };
            state.pools.event_to_all(&[event]);
        }
    }
}

fn target_history_event(target: String, leaving: bool) -> HistoryEvent {
    if leaving {
        HistoryEvent::TargetLeaving { target }
    } else {
        HistoryEvent::TargetReturned { target }
    }
}

fn send(state: &Arc<NodeState>, address: SocketAddr, message: PeerMessage) {
    let Some(endpoint) = state.cluster.endpoint().cloned() else { return };
    let envelope = state.cluster.envelope(message);
    state.runtime.spawn(async move {
        // The gossip protocol sends the content of a lost datagram again.
        let _ = endpoint.send_message(address, &envelope).await;
    });
}

/// Calls another node in the background. The answer is handled like a message; a failure is reported to the
/// configuration follower, which may have sent the call.
fn call(state: &Arc<NodeState>, address: SocketAddr, message: PeerMessage) {
    let Some(endpoint) = state.cluster.endpoint().cloned() else { return };
    let envelope = state.cluster.envelope(message);
    let state = state.clone();
    state.clone().runtime.spawn(async move {
        match endpoint.call_message(address, &envelope, CALL_TIMEOUT).await {
            Ok(answer) => state.group().on_message(&state, address, &answer),
            Err(_) => state.group().config_event(&state, ConfigEvent::CallFailed { address }),
        }
    });
}

/// Describes a VM of the platform's list that runs a node.
pub(crate) fn vm_observation(peer_address: SocketAddr, leaving: bool) -> VmObservation {
    VmObservation { peer_address, leaving }
}
