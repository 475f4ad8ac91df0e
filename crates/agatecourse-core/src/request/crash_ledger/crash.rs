use super::{CrashReport, SuspectKey, SuspectKeys, TargetHash};
use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

/// Difference of the times at which nodes see one crash; a target takes longer to start again.
const SAME_CRASH_TOLERANCE: Duration = Duration::from_secs(1);
/// Upper bound of the suspects of one crash; a target runs up to 64 requests at once, whose keys are shared in part.
const MAX_SUSPECTS: usize = 128;

/// Crash of a target that no quarantined key explains.
#[derive(Debug, Clone)]
pub(super) struct Crash {
    pub(super) target: TargetHash,
    pub(super) ended: Instant,
    /// Keys of the requests on the target whose answer was not complete, with the latest start of such a request.
    pub(super) starts: BTreeMap<SuspectKey, Instant>,
    /// Suspects on which an answer at another target has gone on after its first events since the crash.
    progressed: BTreeSet<SuspectKey>,
}

impl Crash {
    pub(super) fn new(report: &CrashReport) -> Self {
        let mut crash = Self {
            target: report.target,
            ended: report.ended,
            starts: BTreeMap::new(),
            progressed: BTreeSet::new(),
        };
        crash.add_suspects(report);
        crash
    }

    /// Returns whether a report is about this crash.
    pub(super) fn is_reported_by(&self, report: &CrashReport) -> bool {
        let difference = report
            .ended
            .saturating_duration_since(self.ended)
            .max(self.ended.saturating_duration_since(report.ended));
        self.target == report.target && difference < SAME_CRASH_TOLERANCE
    }

    /// Adds the suspects of another request on the target; returns whether one is new.
    pub(super) fn add_suspects(&mut self, report: &CrashReport) -> bool {
        let before = self.starts.len();
        for key in &report.keys {
            if let Some(started) = self.starts.get_mut(key) {
                *started = report.started.max(*started);
            } else if self.starts.len() < MAX_SUSPECTS {
                self.starts.insert(*key, report.started);
            }
        }
        self.starts.len() > before
    }

    /// Records that an answer to a request with the key has gone on; returns whether that is new.
    pub(super) fn record_progress(&mut self, key: SuspectKey) -> bool {
        self.starts.contains_key(&key) && self.progressed.insert(key)
    }

    /// Returns whether the key is a suspect on which no answer has gone on since the crash.
    pub(super) fn awaits_trial(&self, key: SuspectKey) -> bool {
        self.starts.contains_key(&key) && !self.progressed.contains(&key)
    }

    /// Returns the crash as reports, one for each start of a request.
    pub(super) fn reports(&self) -> Vec<CrashReport> {
        let mut keys_by_start: BTreeMap<Instant, SuspectKeys> = BTreeMap::new();
        for (key, started) in &self.starts {
            keys_by_start.entry(*started).or_default().push(*key);
        }
        keys_by_start
            .into_iter()
            .map(|(started, keys)| CrashReport {
                target: self.target,
                started,
                ended: self.ended,
                keys,
            })
            .collect()
    }
}
