use agatecourse_core::process::{
    AlertAction, AlertEvent, AlertSet, ConfigAction, ConfigEvent, ConfigFollower, Membership,
    MembershipAction, MembershipEvent,
};
use agatecourse_types::{ConfigVersion, NodeId};
use agatecourse_wire::process::MemberState;
use agatecourse_wire::{Envelope, PeerMessage};
use std::net::SocketAddr;
use std::time::Instant;

/// Request of a node to the simulated network.
#[derive(Debug)]
pub enum NodeOutput {
    Datagram { to: SocketAddr, message: PeerMessage },
    Call { to: SocketAddr, message: PeerMessage },
    PollTable { above: ConfigVersion },
}

/// Simulated node process.
#[derive(Debug)]
pub struct Node {
    pub membership: Membership,
    pub alerts: AlertSet,
    pub config: ConfigFollower,
    /// Nodes that this process recorded as dead, in order of time.
    pub observed_deaths: Vec<NodeId>,
    /// Whether this process was notified that others declared it dead.
    pub was_dead: bool,
}

impl Node {
    pub fn start(
        name: &str,
        address: SocketAddr,
        seeds: Vec<SocketAddr>,
        incarnation: u64,
        now: Instant,
        seed: u64,
    ) -> Self {
        let mut membership = Membership::new(name, "a", address, incarnation, now, seed);
        membership.on_event(now, MembershipEvent::Seeds(seeds), &mut Vec::new());
        let alerts = AlertSet::new(name, now, seed);
        let config = ConfigFollower::new(now, seed);
        Self { membership, alerts, config, observed_deaths: Vec::new(), was_dead: false }
    }

    pub fn tick(&mut self, now: Instant) -> Vec<NodeOutput> {
        let mut outputs = self.membership_event(now, MembershipEvent::Tick);
        outputs.extend(self.alert_event(now, AlertEvent::Tick));
        outputs.extend(self.config_event(now, ConfigEvent::Tick));
        outputs
    }

    pub fn membership_event(&mut self, now: Instant, event: MembershipEvent) -> Vec<NodeOutput> {
        let mut actions = Vec::new();
        self.membership.on_event(now, event, &mut actions);
        self.execute_membership_actions(now, actions)
    }

    pub fn alert_event(&mut self, now: Instant, event: AlertEvent) -> Vec<NodeOutput> {
        let mut actions = Vec::new();
        self.alerts.on_event(now, event, &mut actions);
        execute_alert_actions(actions)
    }

    pub fn config_event(&mut self, now: Instant, event: ConfigEvent) -> Vec<NodeOutput> {
        let mut actions = Vec::new();
        self.config.on_event(now, event, &mut actions);
        self.execute_config_actions(now, actions)
    }

    pub fn receive(
        &mut self,
        now: Instant,
        from: SocketAddr,
        envelope: &Envelope,
    ) -> Vec<NodeOutput> {
        let (mut members, mut alerts, mut configs) = (Vec::new(), Vec::new(), Vec::new());
        self.membership.on_message(now, from, envelope, &mut members);
        self.alerts.on_message(from, &envelope.body, &mut alerts);
        self.config.on_message(now, from, &envelope.body, &mut configs);
        let mut outputs = self.execute_membership_actions(now, members);
        outputs.extend(execute_alert_actions(alerts));
        outputs.extend(self.execute_config_actions(now, configs));
        outputs
    }

    pub fn on_call(&mut self, envelope: &Envelope) -> Option<PeerMessage> {
        let members = self.membership.on_call(envelope);
        members
            .or_else(|| self.alerts.on_call(&envelope.body))
            .or_else(|| self.config.on_call(&envelope.body))
    }

    pub fn state_of(&self, name: &str) -> Option<MemberState> {
        self.membership.member(name).map(|member| member.state)
    }

    fn execute_membership_actions(
        &mut self,
        now: Instant,
        actions: Vec<MembershipAction>,
    ) -> Vec<NodeOutput> {
        let mut outputs = Vec::new();
        for action in actions {
            match action {
                MembershipAction::Send { address, message } => {
                    outputs.push(NodeOutput::Datagram { to: address, message });
                }
                MembershipAction::Call { address, message } => {
                    outputs.push(NodeOutput::Call { to: address, message });
                }
                MembershipAction::MemberChanged { member, .. } => {
                    if member.state == MemberState::Dead {
                        self.observed_deaths.push(member.node);
                    }
                    let members = self.membership.live_addresses();
                    outputs.extend(self.alert_event(now, AlertEvent::Members(members)));
                }
                MembershipAction::IncarnationChanged { was_dead, .. } => self.was_dead |= was_dead,
                MembershipAction::HigherConfig { address, version } => {
                    let event = ConfigEvent::HigherConfig { address, version };
                    outputs.extend(self.config_event(now, event));
                }
            }
        }
        outputs
    }

    fn execute_config_actions(
        &mut self,
        now: Instant,
        actions: Vec<ConfigAction>,
    ) -> Vec<NodeOutput> {
        let mut outputs = Vec::new();
        for action in actions {
            match action {
                ConfigAction::PollTable { above } => outputs.push(NodeOutput::PollTable { above }),
                ConfigAction::Call { address, message } => {
                    outputs.push(NodeOutput::Call { to: address, message });
                }
                ConfigAction::Apply { version, config } => {
                    let known = self.membership.envelope(PeerMessage::Received).config_version;
                    assert!(
                        version > known,
                        "configuration reverted from version {known} to {version}"
                    );
                    assert_eq!(
                        config.name,
                        format!("v{version}"),
                        "text of another version was applied"
                    );
                    let event = MembershipEvent::ConfigInForce(version);
                    outputs.extend(self.membership_event(now, event));
                }
                ConfigAction::Rejected { version, faults } => {
                    panic!("valid configuration {version} was rejected: {faults}");
                }
            }
        }
        outputs
    }
}

fn execute_alert_actions(actions: Vec<AlertAction>) -> Vec<NodeOutput> {
    let to_output = |action| match action {
        AlertAction::Send { address, message } => {
            Some(NodeOutput::Datagram { to: address, message })
        }
        AlertAction::Call { address, message } => Some(NodeOutput::Call { to: address, message }),
        AlertAction::Changed(_) => None,
    };
    actions.into_iter().filter_map(to_output).collect()
}
