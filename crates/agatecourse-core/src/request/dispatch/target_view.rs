use super::cold_start::ColdLimiter;
use super::prefix_index::TargetNumber;
use super::rejection_guard::RejectionGuard;
use super::{JobKey, NamedLimit, RunEnd, RunReport};
use crate::request::{SuspectKey, TokenBucket};
use agatecourse_types::{NodeId, TargetId};
use smallvec::SmallVec;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// Weight of the newest run in a target's learned slowness and failure share.
const LEARNING_RATE: f64 = 0.15;
/// Bounds of a slowness sample; the users' replicas differ by less than a factor of ten.
const SLOWNESS_RANGE: (f64, f64) = (0.2, 8.0);
/// First pause after a target was unreachable; a crashed replica restarts within seconds.
const FIRST_PAUSE: Duration = Duration::from_millis(400);
/// Longest pause between attempts at an unreachable target.
const MAX_PAUSE: Duration = Duration::from_secs(3);

/// Runs that failed quickly without an answer in between after which a target is treated as unreachable; a target that fails half of its
/// requests reaches it about once in 8,000 runs.
const MAX_FAILURES_IN_A_ROW: u32 = 12;
/// Run time from which on a failure is not counted among them: a target that fails slowly has no free slots that attract requests, and
/// in an overload sound targets may answer too late.
const QUICK_FAILURE: Duration = Duration::from_millis(250);
/// Failed runs for which one counts that ended without an answer, as users see no reason of the target for it.
const BROKEN_RUN_FAILURES: u32 = 3;

/// Time within which a run shows whether it crashes its target; longer than the first event of a stream takes under load.
const TRIAL_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Requests per second that a target gets at least, so that its responses show when it lifts a limit of 0.
const MIN_LIMIT_PER_S: f64 = 0.25;
/// Time whose requests a limited target may get at once after it had none.
const LIMIT_BURST: Duration = Duration::from_millis(500);

/// Configuration of a target that may get requests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DispatchTarget {
    /// Id that is unique among the targets of the service.
    pub id: TargetId,
    /// Number of requests that the target processes concurrently.
    pub slots: u32,
    /// Availability zone of the target; targets in the node's zone are preferred.
    pub zone: String,
    /// Software version, matched against a job's required and avoided versions.
    pub version: String,
    /// Start of its process in Unix milliseconds, 0 when unknown; a process that starts later under the same id is another one.
    pub started_unix_ms: u64,
}

/// An attempt that holds a slot of a target, with what is needed to learn from its run time.
#[derive(Debug, Clone)]
pub(super) struct Run {
    pub(super) kind: u64,
    pub(super) relative_size: f64,
    pub(super) granted: Instant,
    /// Expected run time in seconds on a target of mean speed; 0 for a run taken over from another queue owner.
    pub(super) expected_s: f64,
    /// Keys of the request that may crash the target.
    pub(super) suspects: SmallVec<[SuspectKey; 2]>,
}

impl Run {
    /// Returns whether the run is still expected to show whether a suspect crashes its target.
    pub(super) fn is_trial(&self, now: Instant) -> bool {
        !self.suspects.is_empty() && now.saturating_duration_since(self.granted) < TRIAL_TIMEOUT
    }
}

/// State and learned performance of a target.
#[derive(Debug, Clone)]
pub(super) struct TargetView {
    pub(super) spec: DispatchTarget,
    pub(super) runs: BTreeMap<JobKey, Run>,
    /// Run time relative to a target of mean speed.
    pub(super) slowness: f64,
    /// Moving average of failed runs, from 0 to 1.
    pub(super) failure_share: f64,
    /// Failed runs since the last answer.
    failures_in_a_row: u32,
    paused_until: Option<Instant>,
    pause: Duration,
    /// Number of the target's process, under which the index of prompt parts knows it.
    pub(super) number: TargetNumber,
    /// Newest limit that the target has named to a node.
    limit: Option<NamedLimit>,
    /// Enforces the limit; `None` while there is none.
    bucket: Option<TokenBucket>,
    /// Keeps the requests below what the target turns away, if that brings it down.
    rejections: RejectionGuard,
    /// Keeps the requests below what the target takes while it is cold.
    pub(super) cold: ColdLimiter,
    /// True once the target has told a node that it leaves.
    is_leaving: bool,
    /// Nodes that the target has asked for a pause, with its end.
    paused_nodes: BTreeMap<NodeId, Instant>,
}

impl TargetView {
    pub(super) fn new(spec: DispatchTarget, number: TargetNumber) -> Self {
        Self {
            spec,
            runs: BTreeMap::new(),
            slowness: 1.0,
            failure_share: 0.0,
            failures_in_a_row: 0,
            paused_until: None,
            pause: Duration::ZERO,
            number,
            limit: None,
            bucket: None,
            rejections: RejectionGuard::default(),
            cold: ColdLimiter::default(),
            is_leaving: false,
            paused_nodes: BTreeMap::new(),
        }
    }

    /// Returns how many more requests the target may get now; 0 while it is paused, at the limit that it has named, or at that of a cold
    /// target.
    pub(super) fn free_slots(&self, now: Instant) -> u32 {
        if self.is_leaving
            || self.paused_until.is_some_and(|until| now < until)
            || self.bucket.is_some_and(|bucket| bucket.available(now) < 1.0)
            || !self.cold.has_room(now)
        {
            return 0;
        }
        // After a pause a single request probes whether the target is reachable again.
        let granted = self.runs.values().map(|run| run.granted);
        let slots = self.rejections.most_runs(now, self.spec.slots, granted);
        let slots = if self.pause.is_zero() { slots } else { slots.min(1) };
        slots.saturating_sub(self.runs.len() as u32)
    }

    /// Takes over a limit that the target has named to a node, unless a newer one is known.
    pub(super) fn set_limit(&mut self, now: Instant, limit: NamedLimit) {
        if self.limit.is_some_and(|known| known.named_at >= limit.named_at) {
            return;
        }
        self.limit = Some(limit);
        let Some(per_s) = limit.per_s else {
            self.bucket = None;
            return;
        };
        let rate_per_s = per_s.max(MIN_LIMIT_PER_S);
        let burst = (rate_per_s * LIMIT_BURST.as_secs_f64()).max(1.0);
        // An empty bucket, because the requests that the target got before it named the limit are not known here.
        let bucket = self.bucket.get_or_insert(TokenBucket::new(now, rate_per_s, burst));
        bucket.set_rate(now, rate_per_s, burst);
    }

    /// Takes over how many requests the target may turn away in a second, unless something newer is known.
    pub(super) fn set_brittleness(&mut self, named: NamedLimit) {
        self.rejections.set_named(named);
    }

    /// Marks the target as leaving; it gets no requests any more.
    pub(super) fn set_leaving(&mut self) {
        self.is_leaving = true;
    }

    /// Keeps the requests of a node away from the target until a time.
    pub(super) fn pause_node(&mut self, now: Instant, node: &NodeId, until: Instant) {
        self.paused_nodes.retain(|_, end| now < *end);
        let end = self.paused_nodes.entry(node.clone()).or_insert(until);
        *end = (*end).max(until);
    }

    /// Returns when the target's pause for a node ends, `None` if the node may send it requests.
    pub(super) fn node_pause_end(&self, now: Instant, node: &NodeId) -> Option<Instant> {
        if self.paused_nodes.is_empty() {
            return None;
        }
        self.paused_nodes.get(node).copied().filter(|until| now < *until)
    }

    /// Returns whether the target may get requests, now or later.
    pub(super) fn is_staying(&self) -> bool {
        !self.is_leaving
    }

    /// Counts a request against the target's limits.
    pub(super) fn take_token(&mut self, now: Instant) {
        self.cold.take(now);
        if let Some(bucket) = &mut self.bucket {
            bucket.take(now);
        }
    }

    /// Returns the work that the target completes, in slot-seconds per second on a target of mean speed, if its requests take
    /// `mean_run_s` on average; 0 while it is paused.
    pub(super) fn capacity(&self, now: Instant, mean_run_s: f64) -> f64 {
        if self.is_leaving || self.pause_end(now).is_some() {
            return 0.0;
        }
        let by_slots = f64::from(self.spec.slots) / self.slowness.max(0.1);
        let by_limit = self.bucket.map_or(f64::INFINITY, |bucket| bucket.rate_per_s() * mean_run_s);
        by_slots.min(by_limit).min(self.cold.rate_per_s(now) * mean_run_s)
    }

    /// Returns whether a request on the target may crash it.
    pub(super) fn has_trial(&self, now: Instant) -> bool {
        self.runs.values().any(|run| run.is_trial(now))
    }

    /// Returns when the pause ends, if the target is paused.
    pub(super) fn pause_end(&self, now: Instant) -> Option<Instant> {
        self.paused_until.filter(|until| *until > now)
    }

    /// Returns whether the target has answered since it was last unreachable.
    pub(super) fn is_reachable(&self) -> bool {
        self.pause.is_zero()
    }

    /// Updates the failure share and the pause by the end of a run.
    ///
    /// A target that fails all its requests at once always has free slots, so that in an overload it would get every request for which the
    /// sound targets have none. After some failures in a row it gets a single request after each pause, like an unreachable one.
    pub(super) fn record_end(&mut self, now: Instant, report: RunReport) {
        let is_quick = report.elapsed < QUICK_FAILURE;
        let added = match report.end {
            RunEnd::Answered => {
                if !self.is_reachable() {
                    self.cold.suspect_restart(now);
                }
                self.pause = Duration::ZERO;
                self.paused_until = None;
                self.failures_in_a_row = 0;
                self.failure_share -= LEARNING_RATE * self.failure_share;
                return;
            }
            RunEnd::Failed if is_quick => 1,
            RunEnd::Broken if is_quick => BROKEN_RUN_FAILURES,
            RunEnd::Failed | RunEnd::Broken => 0,
            RunEnd::Unreachable => MAX_FAILURES_IN_A_ROW,
            RunEnd::Unused => {
                self.cold.refund();
                if let Some(bucket) = &mut self.bucket {
                    bucket.refund();
                }
                return;
            }
            RunEnd::Rejected => {
                self.rejections.record_rejection(now, self.runs.len());
                return;
            }
            RunEnd::Abandoned => return,
        };
        self.failure_share += LEARNING_RATE * (1.0 - self.failure_share);
        self.failures_in_a_row = (self.failures_in_a_row + added).min(MAX_FAILURES_IN_A_ROW);
        if added > 0 && self.failures_in_a_row == MAX_FAILURES_IN_A_ROW {
            self.pause = (self.pause * 2).clamp(FIRST_PAUSE, MAX_PAUSE);
            self.paused_until = Some(now + self.pause);
        }
    }

    pub(super) fn learn_slowness(&mut self, expected_s: f64, elapsed: Duration) {
        if expected_s > 0.0 {
            let sample =
                (elapsed.as_secs_f64() / expected_s).clamp(SLOWNESS_RANGE.0, SLOWNESS_RANGE.1);
            self.slowness += LEARNING_RATE * (sample - self.slowness);
        }
    }
}
