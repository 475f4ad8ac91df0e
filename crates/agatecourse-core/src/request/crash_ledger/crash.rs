use super::{CrashReport, Evidence, SuspectKey, SuspectKeys, TargetHash};
use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

/// Difference of the times at which nodes see one crash; a target takes longer to start again.
const SAME_CRASH_TOLERANCE: Duration = Duration::from_secs(1);
/// Difference of the starts of one run as nodes know them, which messages with ages cause.
const SAME_START_TOLERANCE: Duration = Duration::from_millis(50);
/// Upper bound of the suspects of one crash; a target runs up to 64 requests at once, whose keys are shared in part.
const MAX_SUSPECTS: usize = 128;

/// Crash of a target that no quarantined key explains.
#[derive(Debug, Clone)]
pub(super) struct Crash {
    pub(super) target: TargetHash,
    pub(super) ended: Instant,
    /// Keys of the requests on the target whose answer was not complete, with the latest start of such a request. Parts of a prompt are
    /// among them only if the answer had not gone on.
    early_starts: BTreeMap<SuspectKey, Instant>,
    /// The same for the parts of prompts whose answer had gone on.
    late_starts: BTreeMap<SuspectKey, Instant>,
    /// Suspects on which an answer at another target has gone on after its first events since the crash.
    progressed: BTreeSet<SuspectKey>,
}

impl Crash {
    pub(super) fn new(report: &CrashReport) -> Self {
        let mut crash = Self {
            target: report.target,
            ended: report.ended,
            early_starts: BTreeMap::new(),
            late_starts: BTreeMap::new(),
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

    /// Adds the suspects of another request on the target; returns whether one is new or was sent later than known.
    pub(super) fn add_suspects(&mut self, report: &CrashReport) -> bool {
        let starts = if report.is_late { &mut self.late_starts } else { &mut self.early_starts };
        let mut has_changed = false;
        for key in &report.keys {
            if let Some(started) = starts.get_mut(key) {
                if report.started > *started + SAME_START_TOLERANCE {
                    *started = report.started;
                    has_changed = true;
                }
            } else if starts.len() < MAX_SUSPECTS {
                starts.insert(*key, report.started);
                has_changed = true;
            }
        }
        has_changed
    }

    /// Returns the latest start of a request with the key, if the evidence makes the key a suspect.
    pub(super) fn start(&self, key: SuspectKey, evidence: Evidence) -> Option<Instant> {
        let early = self.early_starts.get(&key).copied();
        match evidence {
            Evidence::Early => early,
            Evidence::Any => early.max(self.late_starts.get(&key).copied()),
        }
    }

    /// Returns whether the key is a part of a prompt whose answer had gone on.
    pub(super) fn is_late_suspect(&self, key: SuspectKey) -> bool {
        self.late_starts.contains_key(&key)
    }

    /// Returns the suspects by the evidence; some may come twice.
    pub(super) fn suspects(&self, evidence: Evidence) -> impl Iterator<Item = SuspectKey> {
        let late = (evidence == Evidence::Any).then_some(&self.late_starts);
        self.early_starts.keys().chain(late.into_iter().flat_map(BTreeMap::keys)).copied()
    }

    /// Removes a suspect; returns whether it was one.
    pub(super) fn remove(&mut self, key: SuspectKey) -> bool {
        let was_late = self.late_starts.remove(&key).is_some();
        self.early_starts.remove(&key).is_some() || was_late
    }

    /// Returns whether there are no suspects any more.
    pub(super) fn is_empty(&self) -> bool {
        self.early_starts.is_empty() && self.late_starts.is_empty()
    }

    /// Records that an answer to a request with the key has gone on; returns whether that is new.
    pub(super) fn record_progress(&mut self, key: SuspectKey) -> bool {
        self.early_starts.contains_key(&key) && self.progressed.insert(key)
    }

    /// Returns whether the key is a suspect on which no answer has gone on since the crash.
    pub(super) fn awaits_trial(&self, key: SuspectKey) -> bool {
        self.early_starts.contains_key(&key) && !self.progressed.contains(&key)
    }

    /// Returns the early or the late suspects as reports, one for each start of a request.
    pub(super) fn reports(&self, is_late: bool) -> Vec<CrashReport> {
        let mut keys_by_start: BTreeMap<Instant, SuspectKeys> = BTreeMap::new();
        for (key, started) in self.starts(is_late) {
            keys_by_start.entry(*started).or_default().push(*key);
        }
        keys_by_start
            .into_iter()
            .map(|(started, keys)| CrashReport {
                target: self.target,
                started,
                ended: self.ended,
                keys,
                is_late,
            })
            .collect()
    }

    /// Returns whether there are early or late suspects.
    pub(super) fn has_suspects(&self, is_late: bool) -> bool {
        !self.starts(is_late).is_empty()
    }

    fn starts(&self, is_late: bool) -> &BTreeMap<SuspectKey, Instant> {
        if is_late { &self.late_starts } else { &self.early_starts }
    }
}
