use crate::process::alert_table::{AlertTable, precedence};
use crate::process::back_off::jittered;
use crate::process::{AlertAction, AlertEvent, gossip_send_count, sample};
use agatecourse_types::NodeId;
use agatecourse_wire::process::{Alert, AlertKey};
use agatecourse_wire::{Envelope, PeerMessage, encode_datagram};
use rand_chacha::ChaCha8Rng;
use rand_core::SeedableRng;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Default bound of a set, active and inactive alerts together.
const MAX_ALERTS: usize = 4_096;
const GOSSIP_INTERVAL: Duration = Duration::from_millis(200);
/// A new alert is gossiped immediately unless the last gossip was less than this ago.
const MIN_GOSSIP_INTERVAL: Duration = Duration::from_millis(50);
const GOSSIP_FANOUT: usize = 3;
/// Datagrams to one node per interval; further pending alerts wait for the next interval.
const MAX_DATAGRAMS_PER_NODE: usize = 4;
/// Pending alerts sent to one node per interval; a datagram usually holds eight.
const MAX_GOSSIP_ALERTS: usize = 32;
/// Longest interval between two anti-entropy syncs; jitter shortens it down to half.
const SYNC_INTERVAL: Duration = Duration::from_millis(6_600);
/// Sync interval until the first response, which may be lost, has arrived.
const FIRST_SYNC_INTERVAL: Duration = Duration::from_millis(500);
/// Keys in one digest. With names of the maximum length a digest stays below 64 KiB.
const MAX_DIGEST_KEYS: usize = 350;
/// Alerts in one response. With names and reasons of the maximum length a response stays below 64 KiB.
const MAX_RESPONSE_ALERTS: usize = 120;

/// Alerts of the deployment, which reach all nodes within 2 s without the table.
///
/// New alerts are gossiped to random members. In addition an anti-entropy sync with one random member runs
/// about every 5 s: it compares hashes of the sets and exchanges digests when the hashes differ. The set holds
/// at most 4,096 alerts by default; when it is full, the oldest alert of the least important kind is evicted.
#[derive(Debug, Clone)]
pub struct AlertSet {
    node: NodeId,
    table: AlertTable,
    members: Vec<SocketAddr>,
    rng: ChaCha8Rng,
    has_synced: bool,
    next_gossip: Instant,
    earliest_gossip: Instant,
    next_sync: Instant,
}

impl AlertSet {
    /// Creates an empty set for one node.
    pub fn new(node: impl Into<NodeId>, now: Instant, seed: u64) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        Self {
            node: node.into(),
            table: AlertTable::new(MAX_ALERTS),
            members: Vec::new(),
            has_synced: false,
            next_gossip: now + jittered(GOSSIP_INTERVAL, &mut rng),
            earliest_gossip: now,
            next_sync: now,
            rng,
        }
    }

    /// Sets the maximum number of alerts, active and inactive together.
    #[must_use]
    pub fn with_limit(mut self, limit: usize) -> Self {
        self.table = AlertTable::new(limit);
        self
    }

    /// Handles an event and appends the resulting actions.
    pub fn on_event(&mut self, now: Instant, event: AlertEvent, actions: &mut Vec<AlertAction>) {
        match event {
            AlertEvent::Raise { key, reason } => self.set_active(now, key, true, reason, actions),
            AlertEvent::Clear { key, reason } => self.set_active(now, key, false, reason, actions),
            AlertEvent::Members(members) => self.members = members,
            AlertEvent::Tick => {}
        }
        if now >= self.next_gossip {
            self.next_gossip = now + GOSSIP_INTERVAL;
            self.earliest_gossip = now + MIN_GOSSIP_INTERVAL;
            self.gossip(actions);
        }
        if now >= self.next_sync && !self.members.is_empty() {
            let interval = if self.has_synced { SYNC_INTERVAL } else { FIRST_SYNC_INTERVAL };
            self.next_sync = now + jittered(interval, &mut self.rng);
            if let Some(address) = sample(&self.members, 1, &mut self.rng).pop() {
                self.start_sync(address, actions);
            }
        }
    }

    /// Handles a datagram from `address`, or its response to a call.
    pub fn on_message(
        &mut self,
        address: SocketAddr,
        message: &PeerMessage,
        actions: &mut Vec<AlertAction>,
    ) {
        match message {
            PeerMessage::Gossip { alerts } => {
                self.merge_alerts(alerts, actions);
            }
            PeerMessage::Alerts { alerts } => {
                self.has_synced = true;
                // A response holds a limited number of alerts, so the sync repeats until one changes nothing.
                if self.merge_alerts(alerts, actions) {
                    self.start_sync(address, actions);
                }
            }
            PeerMessage::Received => self.has_synced = true,
            PeerMessage::AlertHash { .. } => self.send_digests(address, actions),
            _ => {}
        }
    }

    /// Returns the response to a call of another node, or `None` for messages that do not concern alerts.
    pub fn on_call(&self, message: &PeerMessage) -> Option<PeerMessage> {
        match message {
            PeerMessage::AlertHash { hash } if *hash == self.table.hash() => {
                Some(PeerMessage::Received)
            }
            PeerMessage::AlertHash { .. } => {
                Some(PeerMessage::AlertHash { hash: self.table.hash() })
            }
            PeerMessage::AlertDigest { known, after, until } => {
                let known: BTreeMap<&AlertKey, u64> =
                    known.iter().map(|(key, precedence)| (key, *precedence)).collect();
                let (after, until) = (after.as_ref(), until.as_ref());
                let alerts = self.table.missing_from(&known, after, until, MAX_RESPONSE_ALERTS);
                Some(PeerMessage::Alerts { alerts })
            }
            _ => None,
        }
    }

    /// Returns when the next [`AlertEvent::Tick`] is due.
    pub fn next_wakeup(&self) -> Instant {
        if self.table.has_pending() { self.next_gossip.min(self.next_sync) } else { self.next_sync }
    }

    /// Returns whether the alert with this key is active.
    pub fn is_active(&self, key: &AlertKey) -> bool {
        self.table.get(key).is_some_and(|alert| alert.active)
    }

    /// Returns all alerts, including inactive ones, ordered by key.
    pub fn alerts(&self) -> impl Iterator<Item = &Alert> {
        self.table.alerts()
    }

    fn set_active(
        &mut self,
        now: Instant,
        key: AlertKey,
        active: bool,
        reason: String,
        actions: &mut Vec<AlertAction>,
    ) {
        let known = self.table.get(&key);
        if known.is_some_and(|alert| alert.active) == active {
            return;
        }
        let generation = known.map_or(0, |alert| alert.generation) + 1;
        let alert = Alert { key, generation, active, origin: self.node.clone(), reason };
        if self.merge_alerts(&[alert], actions) {
            self.next_gossip = now.max(self.earliest_gossip);
        }
    }

    fn merge_alerts(&mut self, alerts: &[Alert], actions: &mut Vec<AlertAction>) -> bool {
        let send_count = gossip_send_count(self.members.len() + 1);
        let mut changed = false;
        for alert in alerts {
            if self.table.merge(alert, send_count) {
                changed = true;
                actions.extend(self.table.get(&alert.key).cloned().map(AlertAction::Changed));
            }
        }
        changed
    }

    fn gossip(&mut self, actions: &mut Vec<AlertAction>) {
        for address in sample(&self.members, GOSSIP_FANOUT, &mut self.rng) {
            let mut pending = self.table.pending(MAX_GOSSIP_ALERTS);
            for _ in 0..MAX_DATAGRAMS_PER_NODE {
                let alerts = self.take_datagram_batch(&mut pending);
                if alerts.is_empty() {
                    break;
                }
                let message = PeerMessage::Gossip { alerts };
                actions.push(AlertAction::Send { address, message });
            }
        }
    }

    /// Removes the alerts that fit into one datagram from `pending` and counts them as sent.
    fn take_datagram_batch(&mut self, pending: &mut Vec<Alert>) -> Vec<Alert> {
        // The largest incarnation and version have the longest encoding, so the real envelope is no longer.
        let envelope = Envelope::new(self.node.clone(), u64::MAX).with_config_version(u64::MAX);
        let mut count = pending.len();
        let fits = |count: usize| {
            let body = PeerMessage::Gossip { alerts: pending[..count].to_vec() };
            encode_datagram(&envelope.clone().with_body(body)).is_ok()
        };
        while count > 0 && !fits(count) {
            count -= 1;
        }
        let alerts: Vec<Alert> = pending.drain(..count).collect();
        for alert in &alerts {
            self.table.record_sent(&alert.key);
        }
        alerts
    }

    fn start_sync(&self, address: SocketAddr, actions: &mut Vec<AlertAction>) {
        let message = PeerMessage::AlertHash { hash: self.table.hash() };
        actions.push(AlertAction::Call { address, message });
    }

    fn send_digests(&self, address: SocketAddr, actions: &mut Vec<AlertAction>) {
        let known: Vec<(AlertKey, u64)> =
            self.table.alerts().map(|alert| (alert.key.clone(), precedence(alert))).collect();
        let chunks = known.len().div_ceil(MAX_DIGEST_KEYS).max(1);
        let mut after = None;
        for index in 0..chunks {
            let start = index * MAX_DIGEST_KEYS;
            let end = known.len().min(start + MAX_DIGEST_KEYS);
            let known = known[start..end].to_vec();
            let is_last = index + 1 == chunks;
            let until = known.last().map(|(key, _)| key.clone()).filter(|_| !is_last);
            let message = PeerMessage::AlertDigest { known, after, until: until.clone() };
            actions.push(AlertAction::Call { address, message });
            after = until;
        }
    }
}

#[cfg(test)]
mod tests;
