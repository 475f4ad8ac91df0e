use agatecourse_types::{RequestId, TargetId};
use agatecourse_wire::request::KeyRecord;
use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

/// Number of keys kept by default.
const DEFAULT_LIMIT: usize = 100_000;
/// Longer than the deadlines of model requests, so that a repeated request finds the stream of the first.
const DEFAULT_RETENTION: Duration = Duration::from_mins(10);

/// How a request with an idempotency key proceeds, given the record that holds the key.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum KeyDecision {
    /// This request holds the key and is dispatched.
    Dispatch,
    /// The response is relayed from the node that runs the earlier request.
    Attach(KeyRecord),
    /// The node of the earlier request is no longer live; its stream is resumed from the target.
    Resume {
        /// Id of the earlier request, which is also the stream id.
        request_id: RequestId,
        /// Target that runs the earlier request.
        target: TargetId,
    },
    /// The key was used with a different body.
    OtherBody,
    /// Node and target of the earlier request are no longer live, or it is unknown whether it was dispatched.
    Unknown,
}

/// Decides how the request of `own` proceeds when `holder` holds the key.
pub fn decide_key(
    own: &KeyRecord,
    holder: KeyRecord,
    node_is_live: impl Fn(&str) -> bool,
    target_is_live: impl Fn(&str) -> bool,
) -> KeyDecision {
    if holder.request_id == own.request_id {
        return KeyDecision::Dispatch;
    }
    if holder.body_hash != own.body_hash {
        return KeyDecision::OtherBody;
    }
    if node_is_live(&holder.node) {
        return KeyDecision::Attach(holder);
    }
    match holder.target {
        Some(target) if target_is_live(&target) => {
            KeyDecision::Resume { request_id: holder.request_id, target }
        }
        _ => KeyDecision::Unknown,
    }
}

/// Record of a claimed key, with the time of its last claim.
#[derive(Debug, Clone)]
struct ClaimedRecord {
    record: KeyRecord,
    last_claimed: Instant,
}

/// In-memory idempotency keys of model requests for which this node is the key owner.
///
/// The first claim of a key wins. Records are dropped after the retention, and at the bound (default 100,000) the
/// oldest one is dropped; a later request with a dropped key runs again, which model routes allow.
///
/// ```
/// use agatecourse_core::request::KeyOwner;
/// use agatecourse_wire::request::KeyRecord;
/// use std::time::Instant;
///
/// let mut owner = KeyOwner::new();
/// let first = KeyRecord { body_hash: 1, request_id: 7, node: "a".to_string(), target: None };
/// let second = KeyRecord { request_id: 8, ..first.clone() };
/// let now = Instant::now();
/// assert_eq!(owner.claim(now, "org/k", first).request_id, 7);
/// assert_eq!(owner.claim(now, "org/k", second).request_id, 7);
/// ```
#[derive(Debug, Clone)]
pub struct KeyOwner {
    limit: usize,
    retention: Duration,
    records: BTreeMap<String, ClaimedRecord>,
    order: VecDeque<(String, RequestId)>,
}

impl Default for KeyOwner {
    fn default() -> Self {
        Self::new()
    }
}

impl KeyOwner {
    /// Creates an owner without keys.
    pub fn new() -> Self {
        let (records, order) = (BTreeMap::new(), VecDeque::new());
        Self { limit: DEFAULT_LIMIT, retention: DEFAULT_RETENTION, records, order }
    }

    /// Sets the largest number of keys.
    #[must_use]
    pub fn with_limit(mut self, limit: usize) -> Self {
        self.limit = limit;
        self
    }

    /// Sets how long a key is kept after its last claim.
    #[must_use]
    pub fn with_retention(mut self, retention: Duration) -> Self {
        self.retention = retention;
        self
    }

    /// Returns the number of keys, including expired ones that aren't dropped yet.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Returns whether no key is held.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Returns the record that holds a key.
    pub fn lookup(&self, key: &str) -> Option<&KeyRecord> {
        self.records.get(key).map(|held| &held.record)
    }

    /// Claims a key and returns the record that holds it: the claimed one, or an earlier one. A further claim of the
    /// holding request adds its target.
    pub fn claim(&mut self, now: Instant, key: &str, record: KeyRecord) -> KeyRecord {
        self.drop_expired(now);
        if let Some(held) = self.records.get_mut(key) {
            held.last_claimed = now;
            if held.record.request_id == record.request_id && record.target.is_some() {
                held.record.target = record.target;
            }
            return held.record.clone();
        }
        self.order.push_back((key.to_string(), record.request_id));
        self.records
            .insert(key.to_string(), ClaimedRecord { record: record.clone(), last_claimed: now });
        record
    }

    /// Releases the key of a request that was not dispatched; has no effect if another request holds it.
    pub fn release(&mut self, key: &str, request_id: RequestId) {
        if self.lookup(key).is_some_and(|record| record.request_id == request_id) {
            self.records.remove(key);
        }
    }

    /// Drops expired records in order of creation, and the oldest ones until one more fits the limit.
    fn drop_expired(&mut self, now: Instant) {
        while let Some((key, request_id)) = self.order.pop_front() {
            let held = self.records.get(&key).filter(|held| held.record.request_id == request_id);
            let Some(last_claimed) = held.map(|held| held.last_claimed) else { continue };
            let full = self.records.len() >= self.limit.max(1);
            if !full && now.saturating_duration_since(last_claimed) < self.retention {
                self.order.push_front((key, request_id));
                return;
            }
            self.records.remove(&key);
        }
    }
}

#[cfg(test)]
mod tests;
