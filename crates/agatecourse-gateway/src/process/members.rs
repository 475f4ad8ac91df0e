use super::{Heartbeat, NodeCapacity};
use agatecourse_types::{NodeId, rendezvous_owner, stable_hash};
use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::net::Ipv4Addr;
use std::time::{Duration, Instant};

/// Shortest time without a heartbeat after which a node owns no queues; five heartbeat periods of a small deployment.
const MIN_SUSPECT_AFTER: Duration = Duration::from_millis(1_200);
/// Heartbeat periods without a heartbeat after which a node owns no queues; the loss of two does not make a node suspect.
const SUSPECT_AFTER_PERIODS: u32 = 3;
/// Addition for delays of the last of them.
const SUSPECT_MARGIN: Duration = Duration::from_millis(200);
/// Minimum period of heartbeats, for a node that knows no others.
const HEARTBEAT_PERIOD: Duration = Duration::from_millis(200);
/// Addition to the heartbeat period per known node; bounds the number of heartbeats that a node sends per second.
const HEARTBEAT_PERIOD_PER_NODE: Duration = Duration::from_millis(3);
/// Gap between two heartbeats of a node from which on this node may have missed what they listed; a few periods of a large deployment.
const MAX_LISTING_GAP: Duration = Duration::from_secs(4);
/// Nodes up to which each one follows the source of documents itself.
const MAX_NODES_WITHOUT_RELAYS: usize = 32;
/// Nodes that follow the source for all in a larger deployment.
const SOURCE_RELAYS: usize = 8;
/// Nodes on larger VMs that suffice to follow the source for all; the links of smaller ones carry fewer announcements.
const LARGE_SOURCE_RELAYS: usize = 5;
/// Other nodes that must follow the source before a node relies on them; the source may refuse some of them without their knowledge.
const MIN_SOURCE_RELAYS: usize = 4;
/// Name under which the nodes that follow the source agree on its sentinel.
const SENTINEL_DUTY: &str = "source sentinel";
/// Time without a heartbeat after which a node is lost: it is only probed, at a bounded rate.
const LOST_AFTER: Duration = Duration::from_secs(15);
/// Time without a heartbeat for which a lost node may still be live behind a partition and keeps its share of the quotas. Regions lose each other for
/// minutes; a node that was taken away for good without a signal costs its share for this time.
pub(super) const LOST_SHARE_TIME: Duration = Duration::from_hours(1);
/// Period within which each lost node gets a probe, so that nodes find each other within seconds after a partition.
const PROBE_PERIOD: Duration = Duration::from_secs(2);
/// Maximum number of probes of lost nodes beside one heartbeat. With hundreds of lost nodes a round takes longer, but each node that is found lists others.
const MAX_PROBES: usize = 8;
/// Maximum number of lost nodes that are kept; the one that was heard least recently makes room.
const MAX_LOST: usize = 1_024;

#[derive(Debug, Clone)]
struct Member {
    address: Ipv4Addr,
    last_heartbeat: Option<Instant>,
    added: Instant,
    /// Start of the time in which heartbeats have arrived without a long gap.
    heard_since: Instant,
    started_unix_ms: u64,
    is_stopping: bool,
    capacity: NodeCapacity,
    follows_source: bool,
    serves_tunnels: bool,
}

/// Node that has been silent for long. It may have been taken away, or be live behind a partition.
#[derive(Debug, Clone, Copy)]
struct LostMember {
    address: Ipv4Addr,
    /// Last time at which any node is known to have heard it; `None` if none is known to have, as for a seed or a row of the platform.
    heard: Option<Instant>,
    /// Start of its process in Unix milliseconds; 0 if unknown.
    started_unix_ms: u64,
}

impl LostMember {
    fn keeps_share(&self, now: Instant) -> bool {
        self.heard.is_some_and(|heard| now.saturating_duration_since(heard) < LOST_SHARE_TIME)
    }
}

/// Membership list: the other nodes of the deployment that this node knows.
///
/// A node that is silent for long is lost. Lost nodes own nothing, but they get probes for as long as this process runs, so that the parts of a
/// partition find each other whenever it ends, and they keep their shares of the quotas for a time, because they may be live. A node that announced
/// that it stops is not lost but gone.
#[derive(Debug, Clone, Default)]
pub struct Members {
    known: BTreeMap<NodeId, Member>,
    lost: BTreeMap<NodeId, LostMember>,
    /// Position of the next probe among the lost nodes.
    next_probe: usize,
    /// Position of the next lost node in a heartbeat.
    next_listed: usize,
}

/// Nodes that [`Members::remove_silent`] has removed from the members.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RemovedMembers {
    /// Nodes that may be live behind a partition.
    pub lost: Vec<NodeId>,
    /// Nodes that had announced that they stop.
    pub stopped: Vec<NodeId>,
}

impl Members {
    /// Creates an empty list.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the period of heartbeats, which grows with the number of known nodes.
    pub fn heartbeat_period(&self) -> Duration {
        HEARTBEAT_PERIOD + HEARTBEAT_PERIOD_PER_NODE * self.known.len() as u32
    }

    /// Returns the time without a heartbeat after which a node is suspected to have died.
    pub fn suspect_after(&self) -> Duration {
        MIN_SUSPECT_AFTER.max(self.heartbeat_period() * SUSPECT_AFTER_PERIODS + SUSPECT_MARGIN)
    }

    /// Returns the capacities of the nodes with a heartbeat.
    pub fn capacities(&self) -> impl Iterator<Item = (&NodeId, NodeCapacity)> {
        self.known.iter().map(|(node, member)| (node, member.capacity))
    }

    /// Adds a node listed by another node or by a row of the platform; returns true if it is new.
    pub fn add(&mut self, now: Instant, node: &NodeId, address: Ipv4Addr) -> bool {
        let suspect_after = self.suspect_after();
        if let Some(lost) = self.lost.get_mut(node) {
            lost.address = address;
            return false;
        }
        if let Some(member) = self.known.get_mut(node) {
            let is_silent = member
                .last_heartbeat
                .is_none_or(|time| now.saturating_duration_since(time) > suspect_after);
            if is_silent {
                member.address = address;
            }
            return false;
        }
        let member = Member {
            address,
            last_heartbeat: None,
            added: now,
            heard_since: now,
            started_unix_ms: 0,
            is_stopping: false,
            capacity: NodeCapacity::default(),
            follows_source: false,
            serves_tunnels: false,
        };
        self.known.insert(node.clone(), member);
        true
    }

    /// Adds a node that another one has recently heard. A lost node stays lost until this node hears it, and is probed.
    pub fn add_heard_elsewhere(&mut self, now: Instant, node: &NodeId, address: Ipv4Addr) {
        if let Some(lost) = self.lost.get_mut(node) {
            *lost = LostMember { address, heard: Some(now), ..*lost };
            return;
        }
        self.add(now, node, address);
    }

    /// Returns the time for which a node has been heard without a long gap, so that none of its lists was missed; zero for an unknown one.
    pub fn known_for(&self, now: Instant, node: &NodeId) -> Duration {
        self.known
            .get(node)
            .map_or(Duration::ZERO, |member| now.saturating_duration_since(member.heard_since))
    }

    /// Returns whether a node is lost.
    pub fn is_lost(&self, node: &NodeId) -> bool {
        self.lost.contains_key(node)
    }

    /// Records a heartbeat; returns true if it comes from a new process of the node.
    pub fn record_heartbeat(
        &mut self,
        now: Instant,
        node: &NodeId,
        address: Ipv4Addr,
        heartbeat: &Heartbeat,
    ) -> bool {
        // The node may have been added by its address alone, under a placeholder name.
        self.known.retain(|name, member| {
            name == node || member.address != address || member.last_heartbeat.is_some()
        });
        // Another name at the same address belongs to a node that this one has replaced.
        let lost = self.lost.remove(node);
        self.lost.retain(|_, lost| lost.address != address);
        self.add(now, node, address);
        let Some(member) = self.known.get_mut(node) else { return false };
        let known_start = lost.map_or(member.started_unix_ms, |lost| lost.started_unix_ms);
        let is_new = known_start != heartbeat.started_unix_ms;
        let has_gap = member
            .last_heartbeat
            .is_none_or(|time| now.saturating_duration_since(time) > MAX_LISTING_GAP);
        *member = Member {
            address,
            last_heartbeat: Some(now),
            added: member.added,
            heard_since: if has_gap || is_new { now } else { member.heard_since },
            started_unix_ms: heartbeat.started_unix_ms,
            is_stopping: heartbeat.is_stopping,
            capacity: heartbeat.capacity,
            follows_source: heartbeat.follows_source,
            serves_tunnels: heartbeat.serves_tunnels,
        };
        is_new
    }

    /// Returns the nodes with a recent heartbeat that are not shutting down.
    pub fn live(&self, now: Instant) -> Vec<NodeId> {
        self.live_members(now).map(|(node, _)| node.clone()).collect()
    }

    /// Returns whether a node with this capacity gets the documents of the source from others: the deployment is large, enough other nodes
    /// follow the source, and the node is not one of those that do so for all.
    pub fn has_source_relays(&self, now: Instant, node: &NodeId, capacity: NodeCapacity) -> bool {
        if !self.is_large(now) {
            return false;
        }
        let order = |node: &NodeId, capacity: NodeCapacity| {
            (Reverse(capacity), stable_hash(&[b"source relay", node.as_bytes()]))
        };
        let own = order(node, capacity);
        let is_ahead = |other: &NodeId, member: &Member| order(other, member.capacity) < own;
        let ahead = self.live_members(now).filter(|(other, member)| is_ahead(other, member));
        let larger = self.live_members(now).filter(|(_, member)| member.capacity > capacity);
        let following = self.live_members(now).filter(|(_, member)| member.follows_source);
        let has_relays = ahead.count() >= SOURCE_RELAYS || larger.count() >= LARGE_SOURCE_RELAYS;
        has_relays && following.count() >= MIN_SOURCE_RELAYS
    }

    /// Returns whether a live node of a large deployment does not follow the source of documents, so that it waits for others to announce
    /// new ones.
    pub fn has_relying_nodes(&self, now: Instant) -> bool {
        self.is_large(now) && self.live_members(now).any(|(_, member)| !member.follows_source)
    }

    /// Returns whether `node`, which follows the source of documents, is the one of all that do so that keeps checking whether the source
    /// answers.
    pub fn is_source_sentinel(&self, now: Instant, node: &NodeId) -> bool {
        let following = self.live_members(now).filter(|(_, member)| member.follows_source);
        let candidates = following.map(|(other, _)| other.as_str()).chain([node.as_str()]);
        rendezvous_owner(SENTINEL_DUTY, candidates) == Some(node.as_str())
    }

    /// Returns the live nodes that open tunnels to targets for others, with their addresses.
    pub fn tunnel_nodes(&self, now: Instant) -> impl Iterator<Item = (&NodeId, Ipv4Addr)> {
        let serving = self.live_members(now).filter(|(_, member)| member.serves_tunnels);
        serving.map(|(node, member)| (node, member.address))
    }

    /// Returns whether a node opens tunnels to targets for others, as its last heartbeat says.
    pub fn serves_tunnels(&self, node: &NodeId) -> bool {
        self.known.get(node).is_some_and(|member| member.serves_tunnels)
    }

    /// Returns whether there are so many live nodes, with this one, that not all follow the source of documents.
    fn is_large(&self, now: Instant) -> bool {
        self.live_members(now).count() >= MAX_NODES_WITHOUT_RELAYS
    }

    fn live_members(&self, now: Instant) -> impl Iterator<Item = (&NodeId, &Member)> {
        self.known
            .iter()
            .filter(move |(_, member)| !member.is_stopping && self.is_recent(now, member))
    }

    /// Returns all known nodes with their addresses.
    pub fn addresses(&self) -> impl Iterator<Item = (&NodeId, Ipv4Addr)> {
        self.known.iter().map(|(node, member)| (node, member.address))
    }

    /// Returns the address of a node, or `None` if the node is unknown.
    pub fn address(&self, node: &NodeId) -> Option<Ipv4Addr> {
        self.known.get(node).map(|member| member.address)
    }

    /// Returns the known node at an address.
    pub(super) fn node_at(&self, address: Ipv4Addr) -> Option<&NodeId> {
        let found = self.known.iter().find(|(_, member)| member.address == address);
        found.map(|(node, _)| node)
    }

    /// Returns the nodes with a recent heartbeat and their addresses, for the list in a heartbeat.
    pub fn recent_addresses(&self, now: Instant) -> Vec<(NodeId, Ipv4Addr)> {
        self.known
            .iter()
            .filter(|(_, member)| self.is_recent(now, member))
            .map(|(node, member)| (node.clone(), member.address))
            .collect()
    }

    /// Moves nodes without a heartbeat for `LOST_AFTER` to the lost ones, and removes those of them that had announced their stop.
    pub fn remove_silent(&mut self, now: Instant) -> RemovedMembers {
        let is_silent = |member: &Member| {
            now.saturating_duration_since(member.last_heartbeat.unwrap_or(member.added))
                > LOST_AFTER
        };
        let silent: Vec<NodeId> = self
            .known
            .iter()
            .filter(|(_, member)| is_silent(member))
            .map(|(node, _)| node.clone())
            .collect();
        let mut removed = RemovedMembers::default();
        for node in silent {
            let Some(member) = self.known.remove(&node) else { continue };
            if member.is_stopping {
                removed.stopped.push(node);
                continue;
            }
            let lost = LostMember {
                address: member.address,
                heard: member.last_heartbeat,
                started_unix_ms: member.started_unix_ms,
            };
            self.add_lost(node.clone(), lost);
            removed.lost.push(node);
        }
        removed
    }

    /// Adds a lost node that another node lists, which was last heard `silence` ago.
    pub fn add_lost_elsewhere(
        &mut self,
        now: Instant,
        node: &NodeId,
        address: Ipv4Addr,
        silence: Duration,
    ) {
        let is_known = self.known.contains_key(node)
            || self
                .known
                .values()
                .any(|member| member.address == address && member.last_heartbeat.is_some());
        if is_known {
            return;
        }
        let known = self.lost.get(node);
        let heard = now.checked_sub(silence).max(known.and_then(|lost| lost.heard));
        let started_unix_ms = known.map_or(0, |lost| lost.started_unix_ms);
        self.add_lost(node.clone(), LostMember { address, heard, started_unix_ms });
    }

    fn add_lost(&mut self, node: NodeId, lost: LostMember) {
        // An address has one node, the one that was heard last.
        let is_older =
            |other: &LostMember| other.address == lost.address && other.heard > lost.heard;
        if self.lost.iter().any(|(name, other)| *name != node && is_older(other)) {
            return;
        }
        self.lost.retain(|name, other| *name == node || other.address != lost.address);
        self.lost.insert(node, lost);
        if self.lost.len() > MAX_LOST {
            let oldest = self.lost.iter().min_by_key(|(_, lost)| lost.heard);
            if let Some(oldest) = oldest.map(|(node, _)| node.clone()) {
                self.lost.remove(&oldest);
            }
        }
    }

    /// Returns the nodes that are silent but may be live behind a partition, so that they keep their shares of the quotas.
    pub fn lost_with_share(&self, now: Instant) -> impl Iterator<Item = &NodeId> {
        self.lost.iter().filter(move |(_, lost)| lost.keeps_share(now)).map(|(node, _)| node)
    }

    /// Returns the number of lost nodes.
    pub fn lost_count(&self) -> usize {
        self.lost.len()
    }

    /// Returns the addresses of the lost nodes whose turn it is to get a probe beside a heartbeat.
    pub fn take_probes(&mut self) -> Vec<Ipv4Addr> {
        let heartbeats = PROBE_PERIOD.as_secs_f64() / self.heartbeat_period().as_secs_f64();
        let due = (self.lost.len() as f64 / heartbeats).ceil() as usize;
        let count = due.min(MAX_PROBES).min(self.lost.len());
        let start = self.next_probe;
        self.next_probe = start.wrapping_add(count);
        self.rotated_lost(start).take(count).map(|(_, lost)| lost.address).collect()
    }

    /// Returns up to `max` of the lost nodes that keep their shares, with the time for which they have been silent; each call returns others.
    pub fn list_lost(&mut self, now: Instant, max: usize) -> Vec<(NodeId, Ipv4Addr, Duration)> {
        let start = self.next_listed;
        self.next_listed = start.wrapping_add(max);
        let listed = self.rotated_lost(start).filter(|(_, lost)| lost.keeps_share(now));
        let with_silence = listed.filter_map(|(node, lost)| {
            Some((node.clone(), lost.address, now.saturating_duration_since(lost.heard?)))
        });
        with_silence.take(max).collect()
    }

    fn rotated_lost(&self, start: usize) -> impl Iterator<Item = (&NodeId, &LostMember)> {
        let start = start % self.lost.len().max(1);
        self.lost.iter().skip(start).chain(self.lost.iter().take(start))
    }

    /// Resets the heartbeat time of all nodes that were live before this process paused, so that none is suspected for the pause.
    pub fn reset_heartbeat_times(&mut self, now: Instant, pause: Duration) {
        let suspect_after = self.suspect_after();
        for member in self.known.values_mut() {
            if let Some(last_heartbeat) = member.last_heartbeat
                && now.saturating_duration_since(last_heartbeat) < suspect_after + pause
            {
                member.last_heartbeat = Some(now);
                member.heard_since = now;
            }
        }
    }

    fn is_recent(&self, now: Instant, member: &Member) -> bool {
        let suspect_after = self.suspect_after();
        member
            .last_heartbeat
            .is_some_and(|time| now.saturating_duration_since(time) < suspect_after)
    }
}
