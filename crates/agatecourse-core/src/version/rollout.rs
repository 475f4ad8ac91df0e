use agatecourse_types::{NodeId, VersionId, stable_hash};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// Share of a service's requests that the new version gets during the rollout; users allow a tenth.
const CANARY_SHARE: f64 = 0.06;
/// Number of hash buckets into which requests are divided to select those for the new version.
const SHARE_STEPS: u64 = 10_000;
/// Share of the rollout's duration after which a version that isn't bad is accepted; less than 1, so that the result is
/// recorded before the deadline.
const ACCEPT_AFTER_SHARE: f64 = 0.75;
/// Number of failed or slow answers from which a version may be rolled back; users allow fifty.
const MIN_BAD_ANSWERS: u32 = 6;
/// Margin by which the share of bad answers must exceed twice that of the old version for a rollback.
const BAD_MARGIN: f64 = 0.1;
/// Answers of the new version required for acceptance at [`ACCEPT_AFTER_SHARE`]; with fewer it is accepted halfway from
/// there to the deadline.
const MIN_NEW_ANSWERS: u32 = 10;
/// Multiple of the old version's mean above which an answer is slow; bad versions are several times slower.
const SLOW_FACTOR: f64 = 3.0;
/// Answers up to this time are never slow, because queueing alone may take as long.
const MIN_SLOW_TIME: Duration = Duration::from_millis(60);
/// Weight of the newest answer in the moving average of the old version.
const LEARNING_RATE: f64 = 0.05;

/// State of a rollout of a new version of a service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum RolloutState {
    /// The new version receives a share of the requests and is being evaluated.
    InProgress,
    /// The new version is accepted and may receive all requests.
    Complete,
    /// The new version is rolled back and receives no requests.
    Reverted,
}

/// Answers that a node has received since the start of the rollout.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RolloutCounts {
    /// Answers of the new version.
    pub new_answers: u32,
    /// Failed or slow answers of the new version.
    pub new_bad: u32,
    /// Answers of other versions.
    pub old_answers: u32,
    /// Failed or slow answers of other versions.
    pub old_bad: u32,
}

/// Evaluates a new version of a service by the answers that all nodes receive.
///
/// A decision is final: it never changes, and the other nodes adopt it when they receive it.
#[derive(Debug, Clone, PartialEq)]
pub struct Rollout {
    /// Version that is rolled out.
    pub to: VersionId,
    /// Sequence number of the rollout order; a larger one replaces a smaller one.
    pub order: u64,
    started: Instant,
    duration: Duration,
    state: RolloutState,
    own: RolloutCounts,
    peers: BTreeMap<NodeId, RolloutCounts>,
    old_mean_s: BTreeMap<u64, f64>,
}

impl Rollout {
    /// Creates a rollout that starts now and must be decided within `duration`.
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

    /// Returns the present state.
    pub fn state(&self) -> RolloutState {
        self.state
    }

    /// Returns the answers that this node has counted.
    pub fn own_counts(&self) -> RolloutCounts {
        self.own
    }

    /// Returns the sum of the answers that all nodes have counted.
    pub fn counts(&self) -> RolloutCounts {
        self.peers.values().fold(self.own, |sum, counts| RolloutCounts {
            new_answers: sum.new_answers + counts.new_answers,
            new_bad: sum.new_bad + counts.new_bad,
            old_answers: sum.old_answers + counts.old_answers,
            old_bad: sum.old_bad + counts.old_bad,
        })
    }

    /// Returns whether a request is sent to the new version for its evaluation; every node returns the same for a request
    /// id. False after the decision.
    pub fn is_canary_request(&self, request_id: &str) -> bool {
        let point = stable_hash(&[self.to.as_bytes(), request_id.as_bytes()]) % SHARE_STEPS;
        self.state == RolloutState::InProgress && (point as f64) < CANARY_SHARE * SHARE_STEPS as f64
    }

    /// Returns whether requests other than canary requests must avoid the new version; false once it is accepted.
    pub fn is_new_version_avoided(&self) -> bool {
        self.state != RolloutState::Complete
    }

    /// Counts an answer of a version; `kind` selects the mean run time that it is compared with.
    pub fn record(&mut self, version: &VersionId, kind: u64, has_failed: bool, elapsed: Duration) {
        let elapsed_s = elapsed.as_secs_f64();
        if *version == self.to {
            let mean_s = self.old_mean_s.get(&kind).copied().unwrap_or(f64::INFINITY);
            let is_slow = elapsed > MIN_SLOW_TIME && elapsed_s > mean_s * SLOW_FACTOR;
            self.own.new_answers += 1;
            self.own.new_bad += u32::from(has_failed || is_slow);
        } else {
            let mean_s = self.old_mean_s.entry(kind).or_insert(elapsed_s);
            let is_slow = elapsed > MIN_SLOW_TIME && elapsed_s > *mean_s * SLOW_FACTOR;
            *mean_s += LEARNING_RATE * (elapsed_s - *mean_s);
            self.own.old_answers += 1;
            self.own.old_bad += u32::from(has_failed || is_slow);
        }
    }

    /// Records the counts and state that a peer reports for the same rollout.
    pub fn record_peer(&mut self, node: &NodeId, counts: RolloutCounts, state: RolloutState) {
        self.peers.insert(node.clone(), counts);
        if self.state == RolloutState::InProgress {
            self.state = state;
        }
    }

    /// Restores a state that was recorded before this process started.
    pub fn adopt(&mut self, state: RolloutState) {
        if self.state == RolloutState::InProgress {
            self.state = state;
        }
    }

    /// Updates the state by the answers that all nodes have counted and by the elapsed time.
    ///
    /// A version is rolled back as soon as `MIN_BAD_ANSWERS` are bad and their share exceeds twice that of the old version
    /// by `BAD_MARGIN`. Otherwise it is accepted after `ACCEPT_AFTER_SHARE` of the duration, or halfway from there to the
    /// deadline with fewer than `MIN_NEW_ANSWERS`. A version without known targets (`has_new_targets`) isn't accepted, and
    /// is rolled back at the deadline.
    pub fn decide(&mut self, now: Instant, has_new_targets: bool) -> RolloutState {
        if self.state != RolloutState::InProgress {
            return self.state;
        }
        let counts = self.counts();
        let share = |bad: u32, answers: u32| f64::from(bad) / f64::from(answers.max(1));
        let old_share = share(counts.old_bad, counts.old_answers);
        let is_bad = counts.new_bad >= MIN_BAD_ANSWERS
            && share(counts.new_bad, counts.new_answers)
                > old_share * SLOW_FACTOR.min(2.0) + BAD_MARGIN;
        let elapsed_share = now.saturating_duration_since(self.started).as_secs_f64()
            / self.duration.as_secs_f64().max(0.1);
        let has_enough_answers = counts.new_answers >= MIN_NEW_ANSWERS;
        if is_bad {
            self.state = RolloutState::Reverted;
        } else if elapsed_share >= ACCEPT_AFTER_SHARE
            && has_new_targets
            && (has_enough_answers || elapsed_share >= f64::midpoint(ACCEPT_AFTER_SHARE, 1.0))
        {
            self.state = RolloutState::Complete;
        } else if elapsed_share >= 1.0 {
            self.state = RolloutState::Reverted;
        }
        self.state
    }
}
