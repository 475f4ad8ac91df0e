use crate::process::gossip_send_count;
use agatecourse_types::{ConfigVersion, Incarnation, NodeId, stable_hash};
use agatecourse_wire::process::{MemberState, MemberUpdate};
use smallvec::SmallVec;
use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Bound of the table: almost three times the 360 nodes that the deployment is designed to grow to.
const MAX_MEMBERS: usize = 1_024;
/// Dead members are kept this long, so that a delayed update that reports them alive is recognised as old.
const DEAD_RETENTION: Duration = Duration::from_mins(5);
/// Longest name of a node or a zone.
const MAX_NAME_BYTES: usize = 63;
/// Pool pressures in one update; more would leave no room for other updates in a datagram.
pub(super) const MAX_PRESSURES: usize = 4;
/// Messages in which each node sends a load update. It then reaches 95 of 100 nodes, and newer updates follow.
const LOAD_UPDATE_SENDS: u32 = 3;
/// Maximum number of updates in one message.
const MAX_UPDATES: usize = 6;

/// Effect of an update on the table.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum MergeOutcome {
    /// The update is old, equal or invalid.
    Unchanged,
    /// The load or the configuration version changed.
    PayloadChanged,
    /// The member is new, restarted or changed its state.
    StateChanged { previous: Option<MemberState> },
}

#[derive(Debug, Clone)]
pub(super) struct Member {
    pub update: MemberUpdate,
    pub address: SocketAddr,
    changed_at: Instant,
    /// Messages that remain to be sent with this member's update.
    remaining_sends: u32,
    /// Whether the pending update changes the state; such updates are sent before load updates.
    is_state_change: bool,
}

/// All known members, including this node, and their updates that remain to be sent.
///
/// When the table is full, a new member evicts the member that has been dead for longest. Without a dead member,
/// the new one is ignored.
#[derive(Debug, Clone)]
pub(super) struct MemberTable {
    local_node: NodeId,
    members: BTreeMap<NodeId, Member>,
    /// Members that do not respond, each with the time of the suspicion.
    suspects: BTreeMap<NodeId, Instant>,
}

impl MemberTable {
    pub fn new(record: MemberUpdate, address: SocketAddr, now: Instant) -> Self {
        let name = record.node.clone();
        let mut table =
            Self { local_node: name.clone(), members: BTreeMap::new(), suspects: BTreeMap::new() };
        table.members.insert(name, Member::new(record, address, now));
        table.enqueue_update(&table.local_node.clone(), true);
        table
    }

    pub fn local_member(&self) -> &Member {
        &self.members[&self.local_node]
    }

    /// Changes the record of this node and queues the update for gossip.
    pub fn update_local(&mut self, is_state_change: bool, change: impl FnOnce(&mut MemberUpdate)) {
        let node = self.local_node.clone();
        if let Some(member) = self.members.get_mut(&node) {
            change(&mut member.update);
            member.update.revision += 1;
        }
        self.enqueue_update(&node, is_state_change);
    }

    /// Queues the record of this node for gossip again.
    pub fn requeue_local_update(&mut self) {
        self.enqueue_update(&self.local_node.clone(), true);
    }

    /// Sets the active configuration version of this node. Envelopes contain the version, so no update is queued.
    pub fn set_local_config_version(&mut self, version: ConfigVersion) {
        let node = self.local_node.clone();
        if let Some(member) = self.members.get_mut(&node) {
            member.update.config_version = version;
            member.update.revision += 1;
        }
    }

    pub fn get(&self, node: &str) -> Option<&Member> {
        self.members.get(node)
    }

    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.members.values()
    }

    /// Returns the members that are not dead, without this node.
    pub fn live_peers(&self) -> impl Iterator<Item = &Member> {
        let live = self.members().filter(|member| member.update.state != MemberState::Dead);
        live.filter(|member| member.update.node != self.local_node)
    }

    /// Merges an update about another node if it is newer than the known record.
    pub fn merge(&mut self, now: Instant, update: &MemberUpdate) -> MergeOutcome {
        let Ok(address) = update.peer_address.parse::<SocketAddr>() else {
            return MergeOutcome::Unchanged;
        };
        let has_valid_names = (1..=MAX_NAME_BYTES).contains(&update.node.len())
            && update.zone.len() <= MAX_NAME_BYTES;
        if update.node == self.local_node || !has_valid_names {
            return MergeOutcome::Unchanged;
        }
        let outcome = if let Some(member) = self.members.get_mut(&update.node) {
            member.merge(now, update, address)
        } else if update.state == MemberState::Dead || !self.ensure_capacity() {
            MergeOutcome::Unchanged
        } else {
            let member = Member::new(update.clone(), address, now);
            self.members.insert(update.node.clone(), member);
            MergeOutcome::StateChanged { previous: None }
        };
        if let MergeOutcome::StateChanged { .. } = outcome {
            let suspected_at = (update.state == MemberState::Suspect).then_some(now);
            self.set_suspected_at(&update.node, suspected_at);
        }
        if outcome != MergeOutcome::Unchanged {
            self.enqueue_update(&update.node, outcome != MergeOutcome::PayloadChanged);
        }
        outcome
    }

    /// Changes the state of a member within its current incarnation.
    pub fn set_state(&mut self, now: Instant, node: &str, state: MemberState) -> MergeOutcome {
        let Some(member) = self.members.get(node) else { return MergeOutcome::Unchanged };
        let update = MemberUpdate { state, ..member.update.clone() };
        self.merge(now, &update)
    }

    /// Sets the time of the suspicion of a member, or clears the suspicion.
    pub fn set_suspected_at(&mut self, node: &str, suspected_at: Option<Instant>) {
        match suspected_at {
            Some(at) => self.suspects.insert(node.to_string(), at),
            None => self.suspects.remove(node),
        };
    }

    /// Returns the members that do not respond, each with the time of the suspicion.
    pub fn suspects(&self) -> &BTreeMap<NodeId, Instant> {
        &self.suspects
    }

    /// Sets the configuration version from the envelope of a member. Returns whether it exceeds the known version.
    pub fn set_config_version(
        &mut self,
        node: &str,
        incarnation: Incarnation,
        version: ConfigVersion,
    ) -> bool {
        let Some(member) = self.members.get_mut(node) else { return false };
        let is_higher =
            member.update.incarnation == incarnation && member.update.config_version < version;
        if is_higher {
            member.update.config_version = version;
        }
        is_higher
    }

    /// Returns the most urgent pending updates, at most [`MAX_UPDATES`], and counts them as sent.
    ///
    /// The update about `first` precedes all others and is included even if it was sent often enough.
    pub fn take_updates(&mut self, first: Option<&str>) -> Vec<MemberUpdate> {
        let mut pending: Vec<&mut Member> = self
            .members
            .values_mut()
            .filter(|member| {
                member.remaining_sends > 0 || Some(member.update.node.as_str()) == first
            })
            .collect();
        pending.sort_by_key(|member| {
            let is_first = Some(member.update.node.as_str()) == first;
            (!is_first, !member.is_state_change, Reverse(member.remaining_sends))
        });
        pending.truncate(MAX_UPDATES);
        pending
            .into_iter()
            .map(|member| {
                member.remaining_sends = member.remaining_sends.saturating_sub(1);
                member.update.clone()
            })
            .collect()
    }

    /// Returns the addresses of the suspects whose updates remain to be sent.
    pub fn pending_suspect_addresses(&self) -> SmallVec<[SocketAddr; 4]> {
        let is_pending_suspect = |member: &&Member| {
            member.remaining_sends > 0 && member.update.state == MemberState::Suspect
        };
        self.members().filter(is_pending_suspect).map(|member| member.address).collect()
    }

    /// Removes members that have been dead for longer than [`DEAD_RETENTION`].
    pub fn remove_dead(&mut self, now: Instant) {
        self.members.retain(|_, member| {
            member.update.state != MemberState::Dead
                || now.saturating_duration_since(member.changed_at) < DEAD_RETENTION
        });
    }

    /// Returns a hash over the names and incarnations of the members that are not dead; equal tables have equal hashes.
    pub fn hash(&self) -> u64 {
        let mut bytes = Vec::new();
        for member in self.members().filter(|member| member.update.state != MemberState::Dead) {
            bytes.extend_from_slice(member.update.node.as_bytes());
            bytes.extend_from_slice(&member.update.incarnation.to_le_bytes());
        }
        stable_hash(&[&bytes])
    }

    fn enqueue_update(&mut self, node: &str, is_state_change: bool) {
        // Half the count used for alerts is enough, because state changes are also pushed and synced.
        let send_count = gossip_send_count(self.members.len()).div_ceil(2);
        let count = if is_state_change { send_count } else { LOAD_UPDATE_SENDS.min(send_count) };
        if let Some(member) = self.members.get_mut(node) {
            member.is_state_change =
                is_state_change || (member.is_state_change && member.remaining_sends > 0);
            member.remaining_sends = member.remaining_sends.max(count);
        }
    }

    /// Evicts the longest dead member if the table is full. Returns whether there is room for another member.
    fn ensure_capacity(&mut self) -> bool {
        if self.members.len() < MAX_MEMBERS {
            return true;
        }
        let dead = self.members().filter(|member| member.update.state == MemberState::Dead);
        let oldest = dead.min_by_key(|member| member.changed_at);
        let oldest = oldest.map(|member| member.update.node.clone());
        oldest.is_some_and(|node| self.members.remove(&node).is_some())
    }
}

impl Member {
    fn new(update: MemberUpdate, address: SocketAddr, now: Instant) -> Self {
        Self { update, address, changed_at: now, remaining_sends: 0, is_state_change: true }
    }

    fn merge(&mut self, now: Instant, update: &MemberUpdate, address: SocketAddr) -> MergeOutcome {
        let known = &self.update;
        let previous = known.state;
        let is_restart = update.incarnation > known.incarnation;
        let is_state_newer = (update.incarnation, update.state) > (known.incarnation, known.state);
        let is_payload_newer =
            (update.incarnation, update.revision) > (known.incarnation, known.revision);
        if is_payload_newer || is_restart {
            let state = if is_state_newer { update.state } else { known.state };
            self.update = MemberUpdate { state, ..update.clone() };
            self.update.pressures.truncate(MAX_PRESSURES);
            self.address = address;
        }
        if is_state_newer {
            self.update.state = update.state;
            self.changed_at = now;
            MergeOutcome::StateChanged { previous: Some(previous) }
        } else if is_payload_newer {
            MergeOutcome::PayloadChanged
        } else {
            MergeOutcome::Unchanged
        }
    }
}
