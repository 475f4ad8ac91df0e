use crate::process::back_off::jittered;
use crate::process::member_table::{MAX_PRESSURES, Member, MemberTable, MergeOutcome};
use crate::process::prober::{ProbeTimeout, Prober};
use crate::process::{
    MembershipAction, MembershipEvent, MembershipSnapshot, OwnerAssignment, VmObservation, sample,
};
use agatecourse_types::{Incarnation, NodeId, ZoneId};
use agatecourse_wire::process::{MemberState, MemberUpdate, PoolPressure};
use agatecourse_wire::{Envelope, PeerMessage, encode_datagram, encode_stream};
use rand_chacha::ChaCha8Rng;
use rand_core::SeedableRng;
use smallvec::SmallVec;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Two probes are sent per 500 ms: one along the ring and one in shuffled order.
const PROBE_INTERVAL: Duration = Duration::from_millis(250);
/// Time from the suspicion of a member until it is declared dead. With up to 500 ms until the first probe and
/// 400 ms for its timeouts, all nodes detect a death in under 3 s.
const SUSPICION_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Members that are asked to probe a node that missed a direct probe.
const INDIRECT_PROBES: usize = 3;
const PUSH_FANOUT: usize = 3;
/// Bounds the messages caused by a burst of state changes, for example when a zone fails.
const MIN_PUSH_INTERVAL: Duration = Duration::from_millis(50);
/// Interval between pings to candidate addresses until one has responded.
const JOIN_INTERVAL: Duration = Duration::from_millis(500);
/// Interval between pings to unknown and dead nodes after joining. An attempt to connect to a dead node costs
/// about 2.5 KB.
const CONTACT_INTERVAL: Duration = Duration::from_secs(3);
/// Longest interval between two syncs of the member list with a random member.
const SYNC_INTERVAL: Duration = Duration::from_secs(30);
/// A sync follows a membership change after at most this, to recover lost updates.
const SYNC_DELAY_AFTER_CHANGE: Duration = Duration::from_secs(2);
/// A node that gets no response from any candidate for this long assumes that it is the only one.
const JOIN_TIMEOUT: Duration = Duration::from_secs(2);
/// A timer that fires this late shows that the process was paused, so that missing acks prove no failure.
const PAUSE_THRESHOLD: Duration = Duration::from_millis(600);
/// After a pause of this length others may have declared this node dead. It may never receive that update,
/// because it refutes the suspicion first.
const PRESUMED_DEAD_THRESHOLD: Duration = SUSPICION_TIMEOUT;
/// Bound of the addresses taken from the seeds and from the VM list, each.
const MAX_CANDIDATES: usize = 2_048;
/// Shortest interval between two load updates of this node.
const PRESSURE_INTERVAL: Duration = Duration::from_secs(1);
/// Added per member: large deployments publish load less often, to leave room for state changes in messages.
const PRESSURE_INTERVAL_PER_MEMBER: Duration = Duration::from_millis(25);

/// Membership and failure detection by the SWIM protocol with suspicion and indirect probes.
///
/// The caller passes in events, messages and timer ticks and executes the actions. It wraps the message of an
/// action with [`Membership::envelope`].
#[derive(Debug, Clone)]
pub struct Membership {
    table: MemberTable,
    prober: Prober,
    rng: ChaCha8Rng,
    seeds: BTreeSet<SocketAddr>,
    vms: BTreeSet<SocketAddr>,
    /// Leaving VMs by address, with the node and incarnation that were marked as leaving there.
    leaving_vms: BTreeMap<SocketAddr, Option<(NodeId, Incarnation)>>,
    leaving: bool,
    /// Lowest incarnation under which this node may own resources; a death of a lower one is already handled.
    ownership_since: Incarnation,
    joined: bool,
    join_deadline: Instant,
    pressures: Vec<PoolPressure>,
    is_push_due: bool,
    next_push: Instant,
    next_probe: Instant,
    next_contact: Instant,
    next_sync: Instant,
    next_pressure: Instant,
    last_contacted: Option<SocketAddr>,
}

impl Membership {
    /// Creates the membership of one node that knows no other node yet.
    ///
    /// `incarnation` is the start time of the process in microseconds since the Unix epoch.
    pub fn new(
        node: impl Into<NodeId>,
        zone: impl Into<ZoneId>,
        peer_address: SocketAddr,
        incarnation: Incarnation,
        now: Instant,
        seed: u64,
    ) -> Self {
        let record = MemberUpdate {
            node: node.into(),
            incarnation,
            state: MemberState::Alive,
            zone: zone.into(),
            peer_address: peer_address.to_string(),
            revision: 0,
            config_version: 0,
            pressures: SmallVec::new(),
        };
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        Self {
            table: MemberTable::new(record, peer_address, now),
            prober: Prober::default(),
            seeds: BTreeSet::new(),
            vms: BTreeSet::new(),
            leaving_vms: BTreeMap::new(),
            leaving: false,
            ownership_since: incarnation,
            joined: false,
            join_deadline: now + JOIN_TIMEOUT,
            pressures: Vec::new(),
            is_push_due: false,
            next_push: now,
            next_probe: now + jittered(PROBE_INTERVAL, &mut rng),
            next_contact: now,
            next_sync: now + jittered(SYNC_INTERVAL, &mut rng),
            next_pressure: now,
            last_contacted: None,
            rng,
        }
    }

    /// Handles an event and appends the resulting actions.
    pub fn on_event(
        &mut self,
        now: Instant,
        event: MembershipEvent,
        actions: &mut Vec<MembershipAction>,
    ) {
        match event {
            MembershipEvent::Seeds(seeds) => {
                self.seeds.extend(seeds.into_iter().take(MAX_CANDIDATES));
            }
            MembershipEvent::Vms(vms) => self.observe_vms(now, &vms, actions),
            MembershipEvent::ConfigInForce(version) => {
                self.table.set_local_config_version(version);
            }
            MembershipEvent::Pressures(mut pressures) => {
                pressures.truncate(MAX_PRESSURES);
                self.pressures = pressures;
            }
            MembershipEvent::Leave => self.leave(),
            MembershipEvent::Tick => {}
        }
        self.run_timers(now, actions);
    }

    /// Handles a message from `address`: a datagram, or the response to a call.
    pub fn on_message(
        &mut self,
        now: Instant,
        address: SocketAddr,
        envelope: &Envelope,
        actions: &mut Vec<MembershipAction>,
    ) {
        self.recover_after_pause(now, actions);
        let (PeerMessage::Ping { updates, .. }
        | PeerMessage::Ack { updates, .. }
        | PeerMessage::PingReq { updates, .. }) = &envelope.body
        else {
            if let PeerMessage::Members { members } = &envelope.body {
                self.next_sync = now + jittered(SYNC_INTERVAL, &mut self.rng);
                self.merge_updates(now, members, actions);
                self.joined = true;
            }
            self.observe_sender(address, envelope, actions);
            self.push_state_changes(now, actions);
            return;
        };
        self.merge_updates(now, updates, actions);
        self.observe_sender(address, envelope, actions);
        match &envelope.body {
            PeerMessage::Ping { sequence, .. } => {
                let ack = self.ack(*sequence, &envelope.from);
                actions.push(MembershipAction::Send { address, message: ack });
            }
            PeerMessage::Ack { sequence, .. } => self.on_ack(*sequence, actions),
            PeerMessage::PingReq { sequence, target, .. } => {
                self.relay_probe(now, address, *sequence, target, actions);
            }
            _ => {}
        }
        self.push_state_changes(now, actions);
    }

    /// Returns the response to a call of another node, or `None` for messages that do not concern membership.
    pub fn on_call(&mut self, envelope: &Envelope) -> Option<PeerMessage> {
        let PeerMessage::FetchMembers { known } = envelope.body else { return None };
        if known == self.table.hash() {
            return Some(PeerMessage::Members { members: Vec::new() });
        }
        let live = self.table.members().filter(|member| member.update.state != MemberState::Dead);
        let mut members: Vec<MemberUpdate> = live.map(|member| member.update.clone()).collect();
        // Starts at a random member, so that different members are sent each time if not all fit.
        let start = sample(&(0..members.len()).collect::<Vec<_>>(), 1, &mut self.rng);
        members.rotate_left(start.first().copied().unwrap_or(0));
        loop {
            let message = PeerMessage::Members { members: members.clone() };
            if members.is_empty() || encode_stream(&self.envelope(message.clone())).is_ok() {
                return Some(message);
            }
            members.truncate(members.len() * 3 / 4);
        }
    }

    /// Wraps a message in an envelope with the name, incarnation and configuration version of this node.
    pub fn envelope(&self, body: PeerMessage) -> Envelope {
        let record = &self.table.local_member().update;
        Envelope::new(record.node.clone(), record.incarnation)
            .with_config_version(record.config_version)
            .with_body(body)
    }

    /// Returns whether a message comes from the newest known incarnation of its sender, or from an unknown sender.
    pub fn is_current_incarnation(&self, envelope: &Envelope) -> bool {
        let known = self.table.get(&envelope.from);
        known.is_none_or(|member| member.update.incarnation <= envelope.incarnation)
    }

    /// Returns when the next [`MembershipEvent::Tick`] is due.
    pub fn next_wakeup(&self) -> Instant {
        let suspicions = self.table.suspects().values().map(|at| *at + SUSPICION_TIMEOUT);
        let push = self.is_push_due.then_some(self.next_push);
        let timers = [self.next_probe, self.next_contact, self.next_sync];
        let due = suspicions.chain(self.prober.next_deadline()).chain(push).chain(timers);
        due.min().unwrap_or(self.next_probe)
    }

    /// Returns the record of a member.
    pub fn member(&self, node: &str) -> Option<&MemberUpdate> {
        self.table.get(node).map(|member| &member.update)
    }

    /// Returns the records of all members, including this node.
    pub fn members(&self) -> impl Iterator<Item = &MemberUpdate> {
        self.table.members().map(|member| &member.update)
    }

    /// Returns the addresses of the other nodes that are not dead.
    pub fn live_addresses(&self) -> Vec<SocketAddr> {
        self.table.live_peers().map(|member| member.address).collect()
    }

    /// Returns the assignment of resources to the current members.
    pub fn owner_assignment(&self) -> OwnerAssignment {
        OwnerAssignment::new(self.members())
    }

    /// Returns the incarnation of this node.
    pub fn incarnation(&self) -> Incarnation {
        self.table.local_member().update.incarnation
    }

    /// Returns whether this node has received the member list of another node or concluded that there is none.
    ///
    /// Until then it must not own resources, because it would take over those of nodes that it does not know yet.
    pub fn is_joined(&self) -> bool {
        self.joined
    }

    /// Returns the state as shown to operators.
    pub fn snapshot(&self) -> MembershipSnapshot {
        MembershipSnapshot {
            incarnation: self.incarnation(),
            joined: self.joined,
            members: self.members().cloned().collect(),
            unknown_candidates: self.addresses_to_contact(),
        }
    }

    fn run_timers(&mut self, now: Instant, actions: &mut Vec<MembershipAction>) {
        self.recover_after_pause(now, actions);
        self.joined |= now >= self.join_deadline;
        self.publish_pressures(now);
        for timeout in self.prober.take_timed_out(now) {
            self.handle_probe_timeout(now, timeout, actions);
        }
        self.declare_dead(now, actions);
        if now >= self.next_probe {
            self.next_probe = now + PROBE_INTERVAL;
            self.probe(now, actions);
        }
        if now >= self.next_contact {
            let interval = if self.joined { CONTACT_INTERVAL } else { JOIN_INTERVAL };
            self.next_contact = now + jittered(interval, &mut self.rng);
            self.ping_candidates(actions);
        }
        if now >= self.next_sync {
            // The response sets the long interval; if it is lost, the sync repeats after the short one.
            self.next_sync = now + jittered(SYNC_DELAY_AFTER_CHANGE, &mut self.rng);
            self.table.remove_dead(now);
            let addresses = self.live_addresses();
            if let Some(address) = sample(&addresses, 1, &mut self.rng).pop() {
                self.fetch_members(address, actions);
            }
        }
        self.push_state_changes(now, actions);
    }

    fn recover_after_pause(&mut self, now: Instant, actions: &mut Vec<MembershipAction>) {
        let delay = now.saturating_duration_since(self.next_wakeup());
        if delay < PAUSE_THRESHOLD {
            return;
        }
        self.next_probe = now;
        self.next_contact = now;
        self.next_sync = now;
        self.prober.clear_probes();
        let suspects: Vec<NodeId> = self.table.suspects().keys().cloned().collect();
        for node in suspects {
            self.table.set_suspected_at(&node, Some(now));
        }
        if delay >= PRESUMED_DEAD_THRESHOLD {
            let incarnation = self.incarnation().saturating_add(1);
            self.adopt_incarnation(incarnation, true, actions);
        }
    }

    fn probe(&mut self, now: Instant, actions: &mut Vec<MembershipAction>) {
        let node_names = |members: Vec<&Member>| -> Vec<NodeId> {
            members.into_iter().map(|member| member.update.node.clone()).collect()
        };
        let peers = node_names(self.table.live_peers().collect());
        let responsive = node_names(
            self.table.live_peers().filter(|member| !self.is_suspected(member)).collect(),
        );
        let local_node = self.table.local_member().update.node.clone();
        let suspects: Vec<NodeId> = self.table.suspects().keys().cloned().collect();
        let node =
            self.prober.next_node(&local_node, &peers, &responsive, &suspects, &mut self.rng);
        let Some(node) = node else { return };
        let Some(address) = self.table.get(&node).map(|member| member.address) else { return };
        let sequence = self.prober.start_probe(now, node.clone());
        let message = self.ping(sequence, Some(&node));
        actions.push(MembershipAction::Send { address, message });
    }

    fn handle_probe_timeout(
        &mut self,
        now: Instant,
        timeout: ProbeTimeout,
        actions: &mut Vec<MembershipAction>,
    ) {
        match timeout {
            ProbeTimeout::ProbeIndirectly { sequence, node } => {
                let relays = self
                    .table
                    .live_peers()
                    .filter(|member| !self.is_suspected(member) && member.update.node != node);
                let relays: Vec<SocketAddr> = relays.map(|member| member.address).collect();
                for address in sample(&relays, INDIRECT_PROBES, &mut self.rng) {
                    let target = node.clone();
                    let message = self.build_message_with_updates(None, |updates| {
                        PeerMessage::PingReq { sequence, target: target.clone(), updates }
                    });
                    actions.push(MembershipAction::Send { address, message });
                }
            }
            ProbeTimeout::Failed { node } => self.suspect(now, &node, actions),
        }
    }

    fn is_suspected(&self, member: &Member) -> bool {
        self.table.suspects().contains_key(&member.update.node)
    }

    fn suspect(&mut self, now: Instant, node: &str, actions: &mut Vec<MembershipAction>) {
        let Some(member) = self.table.get(node) else { return };
        match member.update.state {
            MemberState::Alive => self.set_state(now, node, MemberState::Suspect, actions),
            // A leaving member stays leaving until it is dead, because as a suspect it would own resources again.
            MemberState::Leaving if !self.is_suspected(member) => {
                self.table.set_suspected_at(node, Some(now));
            }
            _ => {}
        }
    }

    fn declare_dead(&mut self, now: Instant, actions: &mut Vec<MembershipAction>) {
        let due = self.table.suspects().iter().filter(|(_, at)| now >= **at + SUSPICION_TIMEOUT);
        let dead: Vec<NodeId> = due.map(|(node, _)| node.clone()).collect();
        for node in dead {
            self.set_state(now, &node, MemberState::Dead, actions);
        }
    }

    fn set_state(
        &mut self,
        now: Instant,
        node: &str,
        state: MemberState,
        actions: &mut Vec<MembershipAction>,
    ) {
        let outcome = self.table.set_state(now, node, state);
        self.report_change(now, outcome, node, actions);
    }
}

mod exchange;
