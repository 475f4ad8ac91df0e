use agatecourse_types::TargetId;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// Most targets whose signals are kept; more than a deployment has, so that a flood of short-lived targets is bounded.
const MAX_TARGETS: usize = 2_048;
/// Time after its last response for which the signals of a target are kept. A row of a target that has left may come back from a store
/// that was out of reach for minutes.
const KEPT_FOR: Duration = Duration::from_mins(10);

/// Limit that one of a target's responses named: of the requests that it takes, or of those that it can turn away.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct NamedLimit {
    /// Requests per second of all nodes together; `None` once the target names no limit any more.
    pub per_s: Option<f64>,
    /// Time at which the response arrived.
    pub named_at: Instant,
}

/// What one response of a target says about the requests that it takes from now on.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct TargetSignal {
    /// Requests per second that the target takes from all nodes together; `None` if the response names no limit.
    pub limit_per_s: Option<f64>,
    /// Requests per second that the target can turn away for want of room before it falls over; `None` if the response does not say that it is brittle.
    pub brittle_per_s: Option<f64>,
    /// Time for which the target wants no request of the node that got the response; zero for none.
    pub pause: Duration,
    /// True if the target's process is about to leave.
    pub is_leaving: bool,
}

/// Which of a target's signals a response has changed.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
#[allow(clippy::struct_excessive_bools, reason = "each signal changes independently of the others")]
pub struct SignalChange {
    /// The limit has another value.
    pub limit: bool,
    /// The number of requests that the target can turn away has another value.
    pub brittleness: bool,
    /// The pause ends later than before.
    pub pause: bool,
    /// The target has become one that leaves.
    pub leaving: bool,
}

impl SignalChange {
    /// Returns whether anything has changed.
    pub fn any(self) -> bool {
        self.limit || self.brittleness || self.pause || self.leaving
    }
}

/// Why a node sends a target no requests at present.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Closure {
    /// The target leaves; it takes no requests any more.
    Leaving,
    /// The target has asked this node for a pause until this time.
    Paused(Instant),
    /// The operator has evacuated the target's zone.
    Evacuated,
}

#[derive(Debug, Clone, PartialEq)]
struct Record {
    started_unix_ms: u64,
    limit: Option<NamedLimit>,
    brittleness: Option<NamedLimit>,
    paused_until: Option<Instant>,
    is_leaving: bool,
    updated: Instant,
}

/// Signals of targets in their responses to one node.
///
/// A record belongs to one process of a target: a process that starts later under the same id begins without signals, while the record
/// outlives the target's row, so that a stale row does not lift it.
#[derive(Debug, Clone, Default)]
pub struct TargetSignals {
    by_target: BTreeMap<TargetId, Record>,
}

impl TargetSignals {
    /// Creates an empty record.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records the signals of a response to a request that was sent at `sent_at`; returns what has changed.
    ///
    /// A response without a limit lifts it only if its request was sent after the limit was named, because responses on different
    /// connections may arrive out of order. A pause only ends by time, and a target that leaves stays one.
    pub fn record(
        &mut self,
        now: Instant,
        target: &TargetId,
        started_unix_ms: u64,
        sent_at: Instant,
        signal: TargetSignal,
    ) -> SignalChange {
        let is_known = self.get(target, started_unix_ms).is_some();
        if !is_known && signal == TargetSignal::default() {
            return SignalChange::default();
        }
        if !is_known {
            self.make_room(now);
            let record = Record {
                started_unix_ms,
                limit: None,
                brittleness: None,
                paused_until: None,
                is_leaving: false,
                updated: now,
            };
            self.by_target.insert(target.clone(), record);
        }
        let Some(record) = self.by_target.get_mut(target) else { return SignalChange::default() };
        record.updated = now;
        let mut change = SignalChange {
            limit: update_limit(&mut record.limit, now, sent_at, signal.limit_per_s),
            brittleness: update_limit(&mut record.brittleness, now, sent_at, signal.brittle_per_s),
            ..SignalChange::default()
        };
        let paused_until = now + signal.pause;
        if !signal.pause.is_zero() && record.paused_until.is_none_or(|until| until < paused_until) {
            change.pause = true;
            record.paused_until = Some(paused_until);
        }
        change.leaving = signal.is_leaving && !record.is_leaving;
        record.is_leaving |= signal.is_leaving;
        change
    }

    /// Returns the limit of a target, if its process has ever named one.
    pub fn limit(&self, target: &TargetId, started_unix_ms: u64) -> Option<NamedLimit> {
        self.get(target, started_unix_ms)?.limit
    }

    /// Returns how many requests a target can turn away in a second, if its process has ever said that it is brittle.
    pub fn brittleness(&self, target: &TargetId, started_unix_ms: u64) -> Option<NamedLimit> {
        self.get(target, started_unix_ms)?.brittleness
    }

    /// Returns why this node may not send requests to a target, `None` if it may.
    pub fn closure(
        &self,
        now: Instant,
        target: &TargetId,
        started_unix_ms: u64,
    ) -> Option<Closure> {
        let record = self.get(target, started_unix_ms)?;
        if record.is_leaving {
            return Some(Closure::Leaving);
        }
        record.paused_until.filter(|until| now < *until).map(Closure::Paused)
    }

    fn get(&self, target: &TargetId, started_unix_ms: u64) -> Option<&Record> {
        self.by_target.get(target).filter(|record| record.started_unix_ms == started_unix_ms)
    }

    /// Removes records of targets that have not answered for long, and the oldest one if there are too many.
    fn make_room(&mut self, now: Instant) {
        if self.by_target.len() < MAX_TARGETS {
            return;
        }
        self.by_target.retain(|_, record| now.saturating_duration_since(record.updated) < KEPT_FOR);
        if self.by_target.len() >= MAX_TARGETS {
            let oldest = self.by_target.iter().min_by_key(|(_, record)| record.updated);
            if let Some(target) = oldest.map(|(target, _)| target.clone()) {
                self.by_target.remove(&target);
            }
        }
    }
}

/// Takes over the limit that a response names; returns whether its value is another one. A response without a limit to a request that was sent before the limit was
/// named changes nothing.
fn update_limit(
    known: &mut Option<NamedLimit>,
    now: Instant,
    sent_at: Instant,
    per_s: Option<f64>,
) -> bool {
    if per_s.is_none() && known.is_none_or(|known| sent_at <= known.named_at) {
        return false;
    }
    let before = known.replace(NamedLimit { per_s, named_at: now });
    before.and_then(|before| before.per_s) != per_s
}
