//! Message handling, candidate addresses and updates of the local record.

use super::{
    Duration, Envelope, Incarnation, MAX_CANDIDATES, MIN_PUSH_INTERVAL, MemberState, MemberUpdate,
    Membership, MembershipAction, MergeOutcome, PRESSURE_INTERVAL, PRESSURE_INTERVAL_PER_MEMBER,
    PUSH_FANOUT, PeerMessage, SYNC_DELAY_AFTER_CHANGE, SmallVec, SocketAddr, VmObservation,
    encode_datagram, jittered, sample,
};
use std::time::Instant;

/// Candidates that are pinged per interval while joining; the others follow in the next intervals.
const MAX_JOIN_CONTACTS: usize = 3;

impl Membership {
    pub(super) fn merge_updates(
        &mut self,
        now: Instant,
        updates: &[MemberUpdate],
        actions: &mut Vec<MembershipAction>,
    ) {
        for update in updates {
            if update.node == self.table.local_member().update.node {
                self.refute(update, actions);
                continue;
            }
            let outcome = self.table.merge(now, update);
            self.report_change(now, outcome, &update.node, actions);
        }
    }

    pub(super) fn report_change(
        &mut self,
        now: Instant,
        outcome: MergeOutcome,
        node: &str,
        actions: &mut Vec<MembershipAction>,
    ) {
        let Some(member) = self.table.get(node) else { return };
        let (address, update) = (member.address, member.update.clone());
        if outcome == MergeOutcome::Unchanged {
            return;
        }
        let version = update.config_version;
        if version > self.table.local_member().update.config_version {
            actions.push(MembershipAction::HigherConfig { address, version });
        }
        if let MergeOutcome::StateChanged { previous } = outcome {
            self.is_push_due = true;
            let next_sync = now + jittered(SYNC_DELAY_AFTER_CHANGE, &mut self.rng);
            self.next_sync = self.next_sync.min(next_sync);
            actions.push(MembershipAction::MemberChanged { member: update, previous });
        }
    }

    pub(super) fn observe_sender(
        &mut self,
        address: SocketAddr,
        envelope: &Envelope,
        actions: &mut Vec<MembershipAction>,
    ) {
        let Envelope { from, incarnation, config_version, .. } = envelope;
        self.table.set_config_version(from, *incarnation, *config_version);
        if *config_version > self.table.local_member().update.config_version {
            let version = *config_version;
            actions.push(MembershipAction::HigherConfig { address, version });
        }
        // While joining, the member list is requested from each contact, because a response may be lost.
        let is_unknown = self.table.get(from).is_none();
        let may_request_members = !matches!(envelope.body, PeerMessage::Members { .. });
        if may_request_members && (is_unknown || !self.joined) {
            self.fetch_members(address, actions);
        }
    }

    pub(super) fn on_ack(&mut self, sequence: u64, actions: &mut Vec<MembershipAction>) {
        let (alive, requester) = self.prober.record_ack(sequence);
        let leaving = alive.filter(|node| {
            let member = self.table.get(node);
            member.is_some_and(|member| member.update.state == MemberState::Leaving)
        });
        if let Some(node) = leaving {
            self.table.set_suspected_at(&node, None);
        }
        if let Some((address, sequence)) = requester {
            let message = self
                .build_message_with_updates(None, |updates| PeerMessage::Ack { sequence, updates });
            actions.push(MembershipAction::Send { address, message });
        }
    }

    pub(super) fn relay_probe(
        &mut self,
        now: Instant,
        requester: SocketAddr,
        sequence: u64,
        target: &str,
        actions: &mut Vec<MembershipAction>,
    ) {
        let Some(address) = self.table.get(target).map(|member| member.address) else { return };
        let sequence = self.prober.start_relay(now, target.to_string(), requester, sequence);
        if let Some(sequence) = sequence {
            let message = self.ping(sequence, Some(target));
            actions.push(MembershipAction::Send { address, message });
        }
    }

    pub(super) fn ping(&mut self, sequence: u64, receiver: Option<&str>) -> PeerMessage {
        let first = receiver.filter(|node| self.has_to_refute(node)).map(ToString::to_string);
        self.build_message_with_updates(first.as_deref(), |updates| PeerMessage::Ping {
            sequence,
            updates,
        })
    }

    pub(super) fn ack(&mut self, sequence: u64, receiver: &str) -> PeerMessage {
        let first = Some(receiver).filter(|node| self.has_to_refute(node));
        self.build_message_with_updates(first, |updates| PeerMessage::Ack { sequence, updates })
    }

    /// Returns whether a member is recorded as not alive, so that it has to receive that record to refute it.
    fn has_to_refute(&self, node: &str) -> bool {
        self.table.get(node).is_some_and(|member| member.update.state != MemberState::Alive)
    }

    /// Builds a message with as many pending updates as fit into a datagram, the one about `first` before others.
    pub(super) fn build_message_with_updates(
        &mut self,
        first: Option<&str>,
        build: impl Fn(Vec<MemberUpdate>) -> PeerMessage,
    ) -> PeerMessage {
        let mut updates = self.table.take_updates(first);
        loop {
            let message = build(updates.clone());
            let fits = encode_datagram(&self.envelope(message.clone())).is_ok();
            if fits || updates.pop().is_none() {
                return message;
            }
        }
    }

    /// Sends pending state changes to a few members without waiting for the next probe.
    pub(super) fn push_state_changes(&mut self, now: Instant, actions: &mut Vec<MembershipAction>) {
        if !self.is_push_due || now < self.next_push {
            return;
        }
        self.is_push_due = false;
        self.next_push = now + MIN_PUSH_INTERVAL;
        let mut receivers = sample(&self.live_addresses(), PUSH_FANOUT, &mut self.rng);
        // A live suspect can refute the suspicion only after it has received it.
        for address in self.table.pending_suspect_addresses() {
            if !receivers.contains(&address) {
                receivers.push(address);
            }
        }
        for address in receivers {
            let message = self.build_message_with_updates(None, |updates| PeerMessage::Ack {
                sequence: 0,
                updates,
            });
            actions.push(MembershipAction::Send { address, message });
        }
    }

    pub(super) fn fetch_members(
        &mut self,
        address: SocketAddr,
        actions: &mut Vec<MembershipAction>,
    ) {
        let message = PeerMessage::FetchMembers { known: self.table.hash() };
        let call = MembershipAction::Call { address, message };
        if !actions.contains(&call) {
            actions.push(call);
        }
    }

    /// Returns the candidate addresses without a live member, and those of dead members, which may have restarted.
    pub(super) fn addresses_to_contact(&self) -> Vec<SocketAddr> {
        let mut known = self.live_addresses();
        known.push(self.table.local_member().address);
        let dead = self.table.members().filter(|member| member.update.state == MemberState::Dead);
        let dead = dead.map(|member| member.address);
        let candidates = self.seeds.iter().chain(&self.vms).copied().chain(dead);
        let mut addresses: Vec<SocketAddr> =
            candidates.filter(|address| !known.contains(address)).collect();
        addresses.sort();
        addresses.dedup();
        addresses
    }

    /// Pings the next candidates in turn, so that the sides of a healed partition find each other again.
    pub(super) fn ping_candidates(&mut self, actions: &mut Vec<MembershipAction>) {
        let mut addresses = self.addresses_to_contact();
        let last = self.last_contacted;
        let start = addresses.partition_point(|address| last.is_some_and(|last| *address <= last));
        let start = if start < addresses.len() { start } else { 0 };
        addresses.rotate_left(start);
        addresses.truncate(if self.joined { 1 } else { MAX_JOIN_CONTACTS });
        let local_node = self.table.local_member().update.node.clone();
        for address in addresses {
            self.last_contacted = Some(address);
            let dead = self.table.members().find(|member| member.address == address);
            let first = dead.map_or(local_node.clone(), |member| member.update.node.clone());
            let sequence = self.prober.next_sequence();
            let message = self.build_message_with_updates(Some(&first), |updates| {
                PeerMessage::Ping { sequence, updates }
            });
            actions.push(MembershipAction::Send { address, message });
        }
    }

    pub(super) fn observe_vms(
        &mut self,
        now: Instant,
        vms: &[VmObservation],
        actions: &mut Vec<MembershipAction>,
    ) {
        let live = vms.iter().filter(|vm| !vm.leaving).map(|vm| vm.peer_address);
        self.vms = live.take(MAX_CANDIDATES).collect();
        let leaving: Vec<SocketAddr> =
            vms.iter().filter(|vm| vm.leaving).map(|vm| vm.peer_address).collect();
        self.leaving_vms.retain(|address, _| leaving.contains(address));
        for address in leaving {
            self.mark_leaving(now, address, actions);
        }
    }

    /// Marks the node on a leaving VM once. The VM list lags, so a node that refutes the mark is the replacement of
    /// the one that the list refers to.
    fn mark_leaving(
        &mut self,
        now: Instant,
        address: SocketAddr,
        actions: &mut Vec<MembershipAction>,
    ) {
        let member = self.table.live_peers().find(|member| member.address == address);
        let Some(node) = member.map(|member| member.update.node.clone()) else { return };
        let incarnation = self.table.get(&node).map_or(0, |member| member.update.incarnation);
        let marked = self.leaving_vms.entry(address).or_default();
        if marked.is_none() {
            *marked = Some((node.clone(), incarnation));
            self.set_state(now, &node, MemberState::Leaving, actions);
        }
    }

    /// Adopts a higher incarnation if another node reports this one as suspected, leaving or dead.
    fn refute(&mut self, update: &MemberUpdate, actions: &mut Vec<MembershipAction>) {
        let record = &self.table.local_member().update;
        if (update.incarnation, update.state) < (record.incarnation, record.state) {
            // The sender missed the latest update about this node, so it is sent again.
            self.table.requeue_local_update();
        }
        let record = &self.table.local_member().update;
        let incarnation = if (update.incarnation, update.state) > (record.incarnation, record.state)
        {
            update.incarnation.saturating_add(1)
        } else {
            record.incarnation
        };
        let was_dead =
            update.state == MemberState::Dead && update.incarnation >= self.ownership_since;
        if was_dead || incarnation > record.incarnation {
            self.adopt_incarnation(incarnation, was_dead, actions);
        }
    }

    pub(super) fn adopt_incarnation(
        &mut self,
        incarnation: Incarnation,
        was_dead: bool,
        actions: &mut Vec<MembershipAction>,
    ) {
        if was_dead {
            self.ownership_since = incarnation;
        }
        self.table.update_local(true, |record| record.incarnation = incarnation);
        self.is_push_due = true;
        actions.push(MembershipAction::IncarnationChanged { incarnation, was_dead });
    }

    pub(super) fn leave(&mut self) {
        if !self.leaving {
            self.leaving = true;
            self.is_push_due = true;
            self.table.update_local(true, |record| record.state = MemberState::Leaving);
        }
    }

    pub(super) fn publish_pressures(&mut self, now: Instant) {
        let published = &self.table.local_member().update.pressures;
        if now < self.next_pressure || published.as_slice() == self.pressures.as_slice() {
            return;
        }
        let members = u32::try_from(self.table.members().count()).unwrap_or(u32::MAX);
        let interval: Duration = PRESSURE_INTERVAL + PRESSURE_INTERVAL_PER_MEMBER * members;
        self.next_pressure = now + interval;
        let pressures = SmallVec::from_vec(self.pressures.clone());
        self.table.update_local(false, |record| record.pressures = pressures);
    }
}
