use agatecourse_types::stable_hash;
use agatecourse_wire::process::{Alert, AlertKey};
use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::ops::Bound;

/// Longest origin, and longest name or pair of names in a key.
const MAX_NAME_BYTES: usize = 128;
/// Longer reasons are truncated, which bounds the size of an alert.
pub(super) const MAX_REASON_BYTES: usize = 200;

#[derive(Debug, Clone)]
struct AlertEntry {
    alert: Alert,
    /// Position in the order of insertion.
    insertion: u64,
    /// Gossip datagrams that remain to be sent with this alert.
    remaining_sends: u32,
}

/// Bounded map of alerts by key.
///
/// When the table is full, a new alert evicts the oldest of the least important alerts. In order of increasing
/// importance: inactive alerts, suspects, leaving targets, drained targets, quarantines, stopped versions.
#[derive(Debug, Clone)]
pub(super) struct AlertTable {
    entries: BTreeMap<AlertKey, AlertEntry>,
    limit: usize,
    insertions: u64,
    hash: u64,
}

impl AlertTable {
    pub fn new(limit: usize) -> Self {
        Self { entries: BTreeMap::new(), limit, insertions: 0, hash: 0 }
    }

    pub fn get(&self, key: &AlertKey) -> Option<&Alert> {
        self.entries.get(key).map(|entry| &entry.alert)
    }

    pub fn alerts(&self) -> impl Iterator<Item = &Alert> {
        self.entries.values().map(|entry| &entry.alert)
    }

    /// Returns a hash over all alerts, independent of their order of insertion.
    pub fn hash(&self) -> u64 {
        self.hash
    }

    /// Stores an alert if it is newer than the known one, and queues it to be gossiped `send_count` times. Returns
    /// whether it was stored.
    pub fn merge(&mut self, alert: &Alert, send_count: u32) -> bool {
        if !is_valid(alert) {
            return false;
        }
        if self.get(&alert.key).is_some_and(|known| precedence(known) >= precedence(alert)) {
            return false;
        }
        if !self.entries.contains_key(&alert.key) && self.entries.len() >= self.limit {
            self.evict();
        }
        self.insertions += 1;
        let mut alert = alert.clone();
        truncate(&mut alert.reason);
        let entry = AlertEntry { alert, insertion: self.insertions, remaining_sends: send_count };
        self.hash ^= entry_hash(&entry.alert);
        if let Some(previous) = self.entries.insert(entry.alert.key.clone(), entry) {
            self.hash ^= entry_hash(&previous.alert);
        }
        true
    }

    pub fn has_pending(&self) -> bool {
        self.entries.values().any(|entry| entry.remaining_sends > 0)
    }

    /// Returns up to `count` alerts that remain to be gossiped, the least often sent first.
    pub fn pending(&self, count: usize) -> Vec<Alert> {
        let mut pending: Vec<&AlertEntry> =
            self.entries.values().filter(|entry| entry.remaining_sends > 0).collect();
        pending.sort_by_key(|entry| (Reverse(entry.remaining_sends), entry.insertion));
        pending.into_iter().take(count).map(|entry| entry.alert.clone()).collect()
    }

    /// Records that an alert was sent in one datagram.
    pub fn record_sent(&mut self, key: &AlertKey) {
        if let Some(entry) = self.entries.get_mut(key) {
            entry.remaining_sends = entry.remaining_sends.saturating_sub(1);
        }
    }

    /// Returns up to `limit` alerts with keys above `after` and up to and including `until` that are absent from
    /// `known` or have a higher precedence than there.
    pub fn missing_from(
        &self,
        known: &BTreeMap<&AlertKey, u64>,
        after: Option<&AlertKey>,
        until: Option<&AlertKey>,
        limit: usize,
    ) -> Vec<Alert> {
        if after.zip(until).is_some_and(|(after, until)| after >= until) {
            return Vec::new();
        }
        let lower = after.map_or(Bound::Unbounded, Bound::Excluded);
        let upper = until.map_or(Bound::Unbounded, Bound::Included);
        let range = self.entries.range::<AlertKey, _>((lower, upper));
        let is_newer = |entry: &&AlertEntry| {
            known.get(&entry.alert.key).is_none_or(|known| *known < precedence(&entry.alert))
        };
        range
            .map(|(_, entry)| entry)
            .filter(is_newer)
            .take(limit)
            .map(|entry| entry.alert.clone())
            .collect()
    }

    fn evict(&mut self) {
        let least = self.entries.values().min_by_key(|entry| eviction_order(entry));
        if let Some(key) = least.map(|entry| entry.alert.key.clone())
            && let Some(entry) = self.entries.remove(&key)
        {
            self.hash ^= entry_hash(&entry.alert);
        }
    }
}

/// Returns the precedence among alerts with the same key: by generation, then active over inactive.
pub(super) fn precedence(alert: &Alert) -> u64 {
    alert.generation.saturating_mul(2).saturating_add(u64::from(alert.active))
}

/// Returns the sort key of an entry for eviction: the lowest is evicted first.
fn eviction_order(entry: &AlertEntry) -> (bool, u8, u64) {
    let kind = match entry.alert.key {
        AlertKey::Suspect { .. } => 0,
        AlertKey::TargetLeaving { .. } => 1,
        AlertKey::TargetDrained { .. } => 2,
        AlertKey::Quarantine { .. } => 3,
        AlertKey::VersionStopped { .. } => 4,
    };
    (entry.alert.active, kind, entry.insertion)
}

fn is_valid(alert: &Alert) -> bool {
    let (name_bytes, is_latch) = match &alert.key {
        AlertKey::VersionStopped { route, version } => (route.len() + version.len(), true),
        AlertKey::TargetLeaving { target } | AlertKey::TargetDrained { target } => {
            (target.len(), false)
        }
        AlertKey::Suspect { .. } | AlertKey::Quarantine { .. } => (0, false),
    };
    name_bytes <= MAX_NAME_BYTES && alert.origin.len() <= MAX_NAME_BYTES && (alert.active || !is_latch)
        // A generation near the maximum would leave no higher one to clear the alert with.
        && alert.generation < u64::MAX / 4
}

fn truncate(reason: &mut String) {
    let mut end = MAX_REASON_BYTES.min(reason.len());
    while !reason.is_char_boundary(end) {
        end -= 1;
    }
    reason.truncate(end);
}

fn entry_hash(alert: &Alert) -> u64 {
    let generation = alert.generation.to_le_bytes();
    let active = [u8::from(alert.active)];
    match &alert.key {
        AlertKey::VersionStopped { route, version } => {
            stable_hash(&[b"stopped", route.as_bytes(), version.as_bytes(), &generation, &active])
        }
        AlertKey::Suspect { fingerprint } => {
            stable_hash(&[b"suspect", &fingerprint.to_le_bytes(), &generation, &active])
        }
        AlertKey::Quarantine { fingerprint } => {
            stable_hash(&[b"quarantine", &fingerprint.to_le_bytes(), &generation, &active])
        }
        AlertKey::TargetLeaving { target } => {
            stable_hash(&[b"leaving", target.as_bytes(), &generation, &active])
        }
        AlertKey::TargetDrained { target } => {
            stable_hash(&[b"drained", target.as_bytes(), &generation, &active])
        }
    }
}
