use crate::process::{
    ConfigureJournal, FleetView, LiveNodes, NodeState, PoolOwnership, Verdict, follow_table,
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

/// Membership, alerts and configuration of this node: the parts that nodes keep in agreement by gossip.
///
/// The cores decide without I/O. The group feeds them from messages and timers, and carries out their actions on the
/// node's runtime, after the lock is released.
#[derive(Debug)]
pub(crate) struct NodeGroup {
    inner: Mutex<Inner>,
    /// Held while a fact is applied to the parts of the node.
    applying: Mutex<()>,
}

#[derive(Debug)]
struct Inner {
    membership: Membership,
    alerts: AlertSet,
    config: ConfigFollower,
}

#[derive(Debug, Default)]
struct Actions {
    membership: Vec<MembershipAction>,
    alerts: Vec<AlertAction>,
    config: Vec<ConfigAction>,
}

impl NodeGroup {
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
        Self { inner: Mutex::new(Inner { membership, alerts, config }), applying: Mutex::default() }
    }

    pub(crate) fn snapshot(&self) -> MembershipSnapshot {
        self.lock().membership.snapshot()
    }

    pub(crate) fn alerts(&self) -> Vec<Alert> {
        self.lock().alerts.alerts().cloned().collect()
    }

    /// Lets time pass.
    pub(crate) fn tick(&self, state: &Arc<NodeState>) {
        self.update(state, |inner, now, actions| {
            inner.membership.on_event(now, MembershipEvent::Tick, &mut actions.membership);
            let members = inner.membership.live_addresses();
            inner.alerts.on_event(now, AlertEvent::Members(members), &mut actions.alerts);
            inner.config.on_event(now, ConfigEvent::Tick, &mut actions.config);
        });
    }

    /// Handles an event of the membership.
    pub(crate) fn member_event(&self, state: &Arc<NodeState>, event: MembershipEvent) {
        self.update(state, |inner, now, actions| {
            inner.membership.on_event(now, event, &mut actions.membership);
        });
    }

    /// Handles an event of the configuration.
    pub(crate) fn config_event(&self, state: &Arc<NodeState>, event: ConfigEvent) {
        self.update(state, |inner, now, actions| {
            inner.config.on_event(now, event, &mut actions.config);
        });
    }

    /// Raises or clears a fact on all nodes.
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
        self.update(state, |inner, now, actions| {
            inner.alerts.on_event(now, event, &mut actions.alerts);
        });
    }

    /// Handles a message of another node and returns the answer of a call.
    pub(crate) fn on_incoming(
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
        self.update(state, |inner, now, actions| {
            inner.membership.on_message(now, address, envelope, &mut actions.membership);
            inner.alerts.on_message(address, &envelope.body, &mut actions.alerts);
            inner.config.on_message(now, address, &envelope.body, &mut actions.config);
        });
    }

    /// Applies the newest state of a fact. Threads take turns, so that an older state that another thread has
    /// taken from the set can't be applied after a newer one.
    fn apply_newest(&self, state: &NodeState, key: &AlertKey) {
        let _turn = self.applying.lock().unwrap_or_else(PoisonError::into_inner);
        let newest = self.lock().alerts.alerts().find(|alert| alert.key == *key).cloned();
        if let Some(alert) = newest {
            apply_alert(state, &alert);
        }
    }

    /// Passes the facts that hold to pools that this node has just taken over.
    pub(crate) fn repeat_alerts(&self, state: &NodeState) {
        let _turn = self.applying.lock().unwrap_or_else(PoisonError::into_inner);
        for alert in self.alerts().iter().filter(|alert| alert.active) {
            apply_alert(state, alert);
        }
    }

    fn update(
        &self,
        state: &Arc<NodeState>,
        change: impl FnOnce(&mut Inner, Instant, &mut Actions),
    ) {
        let mut actions = Actions::default();
        let mut inner = self.lock();
        change(&mut inner, Instant::now(), &mut actions);
        // Without addresses to contact, no other node can be found.
        let alone = state.settings.seeds.is_empty() && state.settings.vm_list_address.is_none();
        let joined = alone || inner.membership.is_joined();
        let members_changed = actions.membership.iter().any(|action| {
            matches!(
                action,
                MembershipAction::MemberChanged { .. }
                    | MembershipAction::IncarnationChanged { .. }
            )
        });
        // Set under the lock: of two threads that change the members, the later one must set the live nodes last.
        state.cluster.set_incarnation(inner.membership.incarnation());
        let live_changed = state.cluster.set_joined(joined) || members_changed;
        if live_changed {
            state.cluster.set_live(live_nodes(&inner.membership));
        }
        drop(inner);
        if live_changed {
            follow_live(state);
        }
        self.carry_out(state, actions);
    }

    fn carry_out(&self, state: &Arc<NodeState>, actions: Actions) {
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
                    warn!(state.log, "this node continues under a higher incarnation";
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
                    self.apply_newest(state, &alert.key);
                }
            }
        }
        for action in actions.config {
            match action {
                ConfigAction::PollTable { above } => follow_table(state, above),
                ConfigAction::Call { address, message } => call(state, address, message),
                ConfigAction::Apply { version, config } => {
                    let view = FleetView::new(version, *config);
                    put_in_force(state, version, view);
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

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn live_nodes(membership: &Membership) -> LiveNodes {
    let takes_duties =
        |state: MemberState| matches!(state, MemberState::Alive | MemberState::Suspect);
    let members = membership.members().filter(|member| takes_duties(member.state));
    members
        .filter_map(|member| Some((member.node.clone(), member.peer_address.parse().ok()?)))
        .collect()
}

/// Adapts limits and pool owners to the live nodes.
fn follow_live(state: &Arc<NodeState>) {
    let nodes = u32::try_from(state.cluster.live().len()).unwrap_or(u32::MAX).max(1);
    if state.live_nodes.swap(nodes, Ordering::Relaxed) != nodes
        && let Some(view) = state.view()
    {
        state.limits.configure(&view.config, nodes);
    }
    PoolOwnership::update(state);
}

/// Puts a configuration in force if its version is the highest.
fn put_in_force(state: &Arc<NodeState>, version: ConfigVersion, view: FleetView) {
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
            state.history.write(|| target_event(target.clone(), active));
            let event = if active {
                PoolEvent::TargetLeaving { target }
            } else {
                PoolEvent::TargetReturned { target }
            };
            state.pools.event_to_all(&[event]);
        }
    }
}

fn target_event(target: String, leaving: bool) -> HistoryEvent {
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
        // A lost datagram is repeated by the protocol.
        let _ = endpoint.send_message(address, &envelope).await;
    });
}

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

/// Describes the VMs of the platform's list that run nodes.
pub(crate) fn observation(peer_address: SocketAddr, leaving: bool) -> VmObservation {
    VmObservation { peer_address, leaving }
}
