use agatecourse_types::{NodeId, VersionId, stable_hash};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// Share of a service's requests that the new version gets while it is judged; the users allow a tenth.
const TRIAL_SHARE: f64 = 0.06;
/// Resolution of the share.
const SHARE_STEPS: u64 = 10_000;
/// Part of the order's time after which a version without fault is accepted, so that the record is written before the
/// deadline.
const ACCEPT_AFTER: f64 = 0.75;
/// Bad answers from which a version may be rolled back; the users allow fifty.
const SMALLEST_BAD: u32 = 6;
/// Share of bad answers beyond that of the old version from which a version is rolled back.
const BAD_MARGIN: f64 = 0.1;
/// Requests of the new version without which it is not accepted before the deadline.
const ENOUGH_REQUESTS: u32 = 10;
/// Times the old version's mean from which an answer counts as slow; bad versions are several times slower.
const SLOW_FACTOR: f64 = 3.0;
/// Answers shorter than this are never slow, because queueing alone may take as long.
const SLOW_FLOOR: Duration = Duration::from_millis(60);
/// Weight of the newest answer in the old version's mean.
const LEARNING_RATE: f64 = 0.05;

/// Outcome of an order to move a service to a new version.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum RolloutState {
    /// The new version is judged.
    InProgress,
    /// The new version serves the service.
    Complete,
    /// The new version is taken out of service.
    Reverted,
}

/// Answers that a node has seen since the order.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RolloutCounts {
    /// Answers of the new version.
    pub new_answers: u32,
    /// Bad ones among them.
    pub new_bad: u32,
    /// Answers of other versions.
    pub old_answers: u32,
    /// Bad ones among them.
    pub old_bad: u32,
}

/// Judges a new version of a service by the answers that all nodes see.
///
/// The outcome is a latch: a version that was rolled back on one node is rolled back on all that hear of it, and an outcome
/// never changes.
#[derive(Debug, Clone, PartialEq)]
pub struct Rollout {
    /// Version that the service moves to.
    pub to: VersionId,
    /// Number of the order; a larger one replaces a smaller one.
    pub order: u64,
    started: Instant,
    duration: Duration,
    state: RolloutState,
    own: RolloutCounts,
    peers: BTreeMap<NodeId, RolloutCounts>,
    old_mean_s: BTreeMap<u64, f64>,
}

impl Rollout {
    /// Creates a judgement that begins now.
    pub fn new(now: Instant, to: impl Into<VersionId>, order: u64, duration: Duration) -> Self {
        Self {
            to: to.into(),
            order,
            started: now,
            duration,
            state: RolloutState::InProgress,
            own: RolloutCounts::default(),
            peers: BTreeMap::new(),
            old_mean_s: BTreeMap::new(),
        }
    }

    /// Returns the outcome so far.
    pub fn state(&self) -> RolloutState {
        self.state
    }

    /// Returns what this node has seen.
    pub fn own_counts(&self) -> RolloutCounts {
        self.own
    }

    /// Returns what all nodes have seen.
    pub fn counts(&self) -> RolloutCounts {
        self.peers.values().fold(self.own, |sum, counts| RolloutCounts {
            new_answers: sum.new_answers + counts.new_answers,
            new_bad: sum.new_bad + counts.new_bad,
            old_answers: sum.old_answers + counts.old_answers,
            old_bad: sum.old_bad + counts.old_bad,
        })
    }

    /// Returns whether a request goes to the new version; all nodes choose the same for one id.
    pub fn is_canary_request(&self, request_id: &str) -> bool {
        let point = stable_hash(&[self.to.as_bytes(), request_id.as_bytes()]) % SHARE_STEPS;
        self.state == RolloutState::InProgress && (point as f64) < TRIAL_SHARE * SHARE_STEPS as f64
    }

    /// Returns whether requests that are not on trial must stay away from the new version.
    pub fn is_new_version_avoided(&self) -> bool {
        self.state != RolloutState::Complete
    }

    /// Records an answer for a kind of request.
    pub fn record(&mut self, version: &VersionId, kind: u64, has_failed: bool, elapsed: Duration) {
        let elapsed_s = elapsed.as_secs_f64();
        if *version == self.to {
            let mean_s = self.old_mean_s.get(&kind).copied().unwrap_or(f64::INFINITY);
            let is_slow = elapsed > SLOW_FLOOR && elapsed_s > mean_s * SLOW_FACTOR;
            self.own.new_answers += 1;
            self.own.new_bad += u32::from(has_failed || is_slow);
        } else {
            let mean_s = self.old_mean_s.entry(kind).or_insert(elapsed_s);
            let is_slow = elapsed > SLOW_FLOOR && elapsed_s > *mean_s * SLOW_FACTOR;
            *mean_s += LEARNING_RATE * (elapsed_s - *mean_s);
            self.own.old_answers += 1;
            self.own.old_bad += u32::from(has_failed || is_slow);
        }
    }

    /// Records what a peer has seen and decided about the same order.
    pub fn record_peer(&mut self, node: &NodeId, counts: RolloutCounts, state: RolloutState) {
        self.peers.insert(node.clone(), counts);
        if self.state == RolloutState::InProgress {
            self.state = state;
        }
    }

    /// Takes an outcome that was recorded before this process began.
    pub fn adopt(&mut self, state: RolloutState) {
        if self.state == RolloutState::InProgress {
            self.state = state;
        }
    }

    /// Decides by the evidence; `has_new_targets` tells whether targets of the new version are known.
    pub fn decide(&mut self, now: Instant, has_new_targets: bool) -> RolloutState {
        if self.state != RolloutState::InProgress {
            return self.state;
        }
        let counts = self.counts();
        let share = |bad: u32, answers: u32| f64::from(bad) / f64::from(answers.max(1));
        let old_share = share(counts.old_bad, counts.old_answers);
        let is_bad = counts.new_bad >= SMALLEST_BAD
            && share(counts.new_bad, counts.new_answers)
                > old_share * SLOW_FACTOR.min(2.0) + BAD_MARGIN;
        let passed = now.saturating_duration_since(self.started).as_secs_f64()
            / self.duration.as_secs_f64().max(0.1);
        let is_tried = counts.new_answers >= ENOUGH_REQUESTS;
        if is_bad {
            self.state = RolloutState::Reverted;
        } else if passed >= ACCEPT_AFTER
            && has_new_targets
            && (is_tried || passed >= f64::midpoint(ACCEPT_AFTER, 1.0))
        {
            self.state = RolloutState::Complete;
        } else if passed >= 1.0 {
            self.state = RolloutState::Reverted;
        }
        self.state
    }
}
