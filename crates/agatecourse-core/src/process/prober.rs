use crate::process::sample;
use agatecourse_types::{NodeId, stable_hash};
use rand_chacha::ChaCha8Rng;
use rand_core::Rng;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Timeout of a direct probe, and again of the indirect probes that follow it. Covers twice the round-trip time
/// between regions.
pub(super) const ACK_TIMEOUT: Duration = Duration::from_millis(200);
/// Maximum number of pending probes on behalf of other nodes; further ones are dropped.
const MAX_RELAYS: usize = 256;

/// Next step after the timeout of a probe.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum ProbeTimeout {
    /// Ask other members to probe the node.
    ProbeIndirectly { sequence: u64, node: NodeId },
    /// Neither this node nor another member reached the node.
    Failed { node: NodeId },
}

#[derive(Debug, Clone)]
struct Probe {
    node: NodeId,
    deadline: Instant,
    is_indirect: bool,
}

/// Probe on behalf of another node, which gets the ack under its own sequence number.
#[derive(Debug, Clone)]
struct RelayedProbe {
    node: NodeId,
    requester: SocketAddr,
    sequence: u64,
    deadline: Instant,
}

/// Chooses which member to probe and tracks the probes that wait for an ack.
#[derive(Debug, Clone, Default)]
pub(super) struct Prober {
    last_sequence: u64,
    is_ring_probe_next: bool,
    shuffled_nodes: Vec<NodeId>,
    probes: BTreeMap<u64, Probe>,
    relays: BTreeMap<u64, RelayedProbe>,
}

impl Prober {
    /// Returns the next member to probe.
    ///
    /// Every second probe goes to the successor on a hash ring of the responsive members, so that each member is
    /// probed by its predecessor once per two probe intervals. The other probes follow a shuffled order of all
    /// peers, which also detects dead members whose predecessor died with them. While members are suspected, one
    /// of them is probed instead of the next in that order, so that a lost refutation does not cause a false
    /// death. `responsive` holds the peers that are not suspected.
    pub fn next_node(
        &mut self,
        local_node: &str,
        peers: &[NodeId],
        responsive: &[NodeId],
        suspects: &[NodeId],
        rng: &mut ChaCha8Rng,
    ) -> Option<NodeId> {
        self.is_ring_probe_next = !self.is_ring_probe_next;
        if self.is_ring_probe_next
            && let Some(successor) = ring_successor(local_node, responsive)
        {
            return Some(successor);
        }
        if !suspects.is_empty() && !self.is_ring_probe_next {
            return sample(suspects, 1, rng).pop();
        }
        while let Some(node) = self.shuffled_nodes.pop() {
            if peers.contains(&node) {
                return Some(node);
            }
        }
        self.shuffled_nodes = peers.to_vec();
        shuffle(&mut self.shuffled_nodes, rng);
        self.shuffled_nodes.pop()
    }

    /// Registers a direct probe and returns its sequence number.
    pub fn start_probe(&mut self, now: Instant, node: NodeId) -> u64 {
        let sequence = self.next_sequence();
        self.probes
            .insert(sequence, Probe { node, deadline: now + ACK_TIMEOUT, is_indirect: false });
        sequence
    }

    /// Registers a probe on behalf of another node, or returns `None` if [`MAX_RELAYS`] are pending.
    pub fn start_relay(
        &mut self,
        now: Instant,
        node: NodeId,
        requester: SocketAddr,
        sequence: u64,
    ) -> Option<u64> {
        if self.relays.len() >= MAX_RELAYS {
            return None;
        }
        let own_sequence = self.next_sequence();
        let relay = RelayedProbe { node, requester, sequence, deadline: now + ACK_TIMEOUT };
        self.relays.insert(own_sequence, relay);
        Some(own_sequence)
    }

    pub fn next_sequence(&mut self) -> u64 {
        self.last_sequence += 1;
        self.last_sequence
    }

    /// Handles an ack. Returns the node that sent it and, for a relayed probe, the address and the sequence number
    /// of the requester.
    pub fn record_ack(&mut self, sequence: u64) -> (Option<NodeId>, Option<(SocketAddr, u64)>) {
        if let Some(probe) = self.probes.remove(&sequence) {
            return (Some(probe.node), None);
        }
        match self.relays.remove(&sequence) {
            Some(relay) => (Some(relay.node), Some((relay.requester, relay.sequence))),
            None => (None, None),
        }
    }

    /// Returns the next step for each own probe that timed out, and drops relayed probes that timed out.
    pub fn take_timed_out(&mut self, now: Instant) -> Vec<ProbeTimeout> {
        self.relays.retain(|_, relay| relay.deadline > now);
        let timed_out: Vec<u64> = self
            .probes
            .iter()
            .filter(|(_, probe)| probe.deadline <= now)
            .map(|(id, _)| *id)
            .collect();
        timed_out.into_iter().filter_map(|sequence| self.escalate(now, sequence)).collect()
    }

    /// Drops pending probes, whose acks may have been lost while this process was paused.
    pub fn clear_probes(&mut self) {
        self.probes.clear();
    }

    pub fn next_deadline(&self) -> Option<Instant> {
        self.probes.values().map(|probe| probe.deadline).min()
    }

    fn escalate(&mut self, now: Instant, sequence: u64) -> Option<ProbeTimeout> {
        let probe = self.probes.get_mut(&sequence)?;
        if probe.is_indirect {
            return self
                .probes
                .remove(&sequence)
                .map(|probe| ProbeTimeout::Failed { node: probe.node });
        }
        probe.is_indirect = true;
        probe.deadline = now + ACK_TIMEOUT;
        Some(ProbeTimeout::ProbeIndirectly { sequence, node: probe.node.clone() })
    }
}

fn ring_successor(local_node: &str, nodes: &[NodeId]) -> Option<NodeId> {
    let position = |node: &str| stable_hash(&[b"ring", node.as_bytes()]);
    let own_position = position(local_node);
    nodes.iter().min_by_key(|node| position(node).wrapping_sub(own_position)).cloned()
}

fn shuffle<T>(items: &mut [T], rng: &mut ChaCha8Rng) {
    for last in (1..items.len()).rev() {
        items.swap(last, rng.next_u32() as usize % (last + 1));
    }
}
