use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

/// Number of crashed targets from which a request is refused. One crash may be a coincidence, and so may two when a target
/// crashes with several requests; users tolerate three.
const CRASHES_UNTIL_QUARANTINE: usize = 3;
/// Time for which a crash counts; callers that retry do so within seconds.
const CRASH_LIFETIME: Duration = Duration::from_mins(1);
/// Bound of the fingerprints kept; the one with the oldest crash is dropped first.
const MAX_FINGERPRINTS: usize = 1_000;

/// Hash of a request's route, path, organisation and body.
pub type CrashFingerprint = u64;
/// Hash of a target's id.
pub type TargetHash = u32;

/// Records which requests ran on which targets when these crashed, on all nodes.
///
/// A target that crashes with several requests counts once for each of them. The number of different targets that crashed
/// while running a request decides whether the request is refused.
#[derive(Debug, Clone, Default)]
pub struct CrashLedger {
    crashes: BTreeMap<CrashFingerprint, (Instant, BTreeSet<TargetHash>)>,
}

impl CrashLedger {
    /// Creates an empty ledger.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records that a target crashed while it ran a request; returns whether the pair is new.
    pub fn record(
        &mut self,
        now: Instant,
        fingerprint: CrashFingerprint,
        target: TargetHash,
    ) -> bool {
        self.crashes.retain(|_, (last, _)| now.saturating_duration_since(*last) < CRASH_LIFETIME);
        if self.crashes.len() >= MAX_FINGERPRINTS
            && !self.crashes.contains_key(&fingerprint)
            && let Some(oldest) =
                self.crashes.iter().min_by_key(|(_, (last, _))| *last).map(|(key, _)| *key)
        {
            self.crashes.remove(&oldest);
        }
        let (last, targets) =
            self.crashes.entry(fingerprint).or_insert_with(|| (now, BTreeSet::new()));
        let is_new = targets.insert(target);
        if is_new {
            *last = now;
        }
        is_new
    }

    /// Returns how many targets crashed while running a request; 0 if its last new crash is over a minute ago.
    pub fn count(&self, now: Instant, fingerprint: CrashFingerprint) -> usize {
        self.crashes
            .get(&fingerprint)
            .filter(|(last, _)| now.saturating_duration_since(*last) < CRASH_LIFETIME)
            .map_or(0, |(_, targets)| targets.len())
    }

    /// Returns whether a request has crashed enough targets to be refused.
    pub fn is_quarantined(&self, now: Instant, fingerprint: CrashFingerprint) -> bool {
        self.count(now, fingerprint) >= CRASHES_UNTIL_QUARANTINE
    }

    /// Returns up to `limit` crashes for peers, those of the most recently crashing fingerprints first.
    pub fn newest(&self, limit: usize) -> Vec<(CrashFingerprint, TargetHash)> {
        let mut entries: Vec<_> = self.crashes.iter().collect();
        entries.sort_by_key(|(_, (last, _))| std::cmp::Reverse(*last));
        entries
            .into_iter()
            .flat_map(|(fingerprint, (_, targets))| {
                targets.iter().map(move |target| (*fingerprint, *target))
            })
            .take(limit)
            .collect()
    }
}
