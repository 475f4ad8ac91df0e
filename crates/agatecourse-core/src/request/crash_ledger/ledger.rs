use super::crash::Crash;
use super::{
    CrashReport, CrashVerdict, Evidence, QuarantinedKey, SuspectKey, SuspectKeys, TargetHash,
};
use smallvec::SmallVec;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// Number of crashes from which a key is refused. One crash may be a coincidence, and so may two; users tolerate three for one
/// request and five for a part.
pub(super) const CRASHES_UNTIL_QUARANTINE: u32 = 3;
/// The same for a part of prompts whose answers had gone on. Below the users' five, as two crashes of one target at most count.
pub(super) const LATE_CRASHES_UNTIL_QUARANTINE: u32 = 4;
/// Number of crashes from which requests with such a part run one after the other, so that each crash tells most.
const LATE_CRASHES_UNTIL_TRIAL: u32 = 2;
/// Number of crashes without a second suspect that show that it is not the cause. A target may also have ended by itself once.
const CRASHES_TO_RULE_OUT: usize = 2;
/// Number of crashes of one target that count for a key; others may be due to the target.
const MAX_CRASHES_PER_TARGET: usize = 2;
/// Time for which an unexplained crash counts.
const CRASH_LIFETIME: Duration = Duration::from_mins(5);
/// Upper bound of the unexplained crashes kept; the oldest is dropped first.
const MAX_CRASHES: usize = 128;
/// Upper bound of the quarantined keys kept; the one with the oldest crash is dropped first.
const MAX_QUARANTINED_KEYS: usize = 1_000;
/// Upper bound of the cleared keys kept, to ignore late reports of earlier crashes.
const MAX_CLEARED_KEYS: usize = 1_000;

/// Attributes crashes of targets to the keys of the requests that ran on them.
#[derive(Debug, Clone, Default)]
pub struct CrashLedger {
    /// Unexplained crashes, oldest first.
    crashes: Vec<Crash>,
    quarantined: BTreeMap<SuspectKey, QuarantinedKey>,
    /// Keys quarantined since they were last taken.
    newly_quarantined: Vec<QuarantinedKey>,
    /// Time at which an answer to a request with the key was last complete, for keys that were suspects.
    cleared: BTreeMap<SuspectKey, Instant>,
}

impl CrashLedger {
    /// Creates an empty ledger.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records that a target crashed with a request on it; returns whether the report adds something.
    pub fn record(&mut self, now: Instant, mut report: CrashReport) -> bool {
        self.expire(now);
        let cleared = &self.cleared;
        report.keys.retain(|key| cleared.get(key).is_none_or(|cleared| *cleared < report.ended));
        if report.keys.is_empty()
            || now.saturating_duration_since(report.ended) >= CRASH_LIFETIME
            || self.is_explained(&report)
        {
            return false;
        }
        let known = self.crashes.iter_mut().find(|crash| crash.is_reported_by(&report));
        let has_changed = if let Some(crash) = known {
            crash.add_suspects(&report)
        } else {
            if self.crashes.len() >= MAX_CRASHES {
                self.crashes.remove(0);
            }
            let at = self.crashes.partition_point(|crash| crash.ended <= report.ended);
            self.crashes.insert(at, Crash::new(&report));
            true
        };
        if has_changed {
            self.quarantine_causes(&report.keys);
        }
        has_changed
    }

    /// Clears the keys of a request whose answer is complete; returns those that were suspects.
    pub fn clear(&mut self, now: Instant, keys: &[SuspectKey]) -> SuspectKeys {
        if self.crashes.is_empty() && self.quarantined.is_empty() {
            return SuspectKeys::new();
        }
        let (mut changed, mut beside) = (SuspectKeys::new(), SuspectKeys::new());
        for key in keys {
            let mut was_suspect = self.quarantined.remove(key).is_some();
            for crash in &mut self.crashes {
                if crash.remove(*key) {
                    was_suspect = true;
                    beside.extend(crash.suspects(Evidence::Any));
                }
            }
            if was_suspect {
                changed.push(*key);
                self.record_cleared(now, *key);
            }
        }
        if !changed.is_empty() {
            self.crashes.retain(|crash| !crash.is_empty());
            beside.sort_unstable();
            beside.dedup();
            // What was cleared may have been the other explanation of their crashes.
            self.quarantine_causes(&beside);
        }
        changed
    }

    /// Records that the answer to a request with these keys has gone on after its first events; returns the suspects for which that
    /// is new since the last crash.
    ///
    /// Requests with such a suspect do not wait for each other any more. Its crashes still count, because the request may crash its
    /// target later in its run.
    pub fn record_progress(&mut self, keys: &[SuspectKey]) -> SuspectKeys {
        let mut changed = SuspectKeys::new();
        for key in keys.iter().filter(|key| !self.quarantined.contains_key(key)) {
            let mut is_new = false;
            for crash in &mut self.crashes {
                is_new |= crash.record_progress(*key);
            }
            if is_new {
                changed.push(*key);
            }
        }
        changed
    }

    /// Takes over a quarantined key that a peer or an earlier process knows, unless it was cleared since.
    pub fn adopt(&mut self, now: Instant, entry: QuarantinedKey) {
        let is_cleared =
            self.cleared.get(&entry.key).is_some_and(|cleared| *cleared >= entry.last_crash);
        if !is_cleared && !entry.is_outdated(now) {
            self.insert_quarantined(entry);
        }
    }

    /// Forgets crashes and keys that are too old to count.
    pub fn expire(&mut self, now: Instant) {
        let is_recent = |at: Instant| now.saturating_duration_since(at) < CRASH_LIFETIME;
        self.crashes.retain(|crash| is_recent(crash.ended));
        self.cleared.retain(|_, cleared| is_recent(*cleared));
        self.quarantined.retain(|_, entry| !entry.is_outdated(now));
    }

    /// Returns the keys that were quarantined since the last call.
    pub fn take_newly_quarantined(&mut self) -> Vec<QuarantinedKey> {
        std::mem::take(&mut self.newly_quarantined)
    }

    /// Returns what the crashes say about a request with these keys.
    pub fn verdict(&self, now: Instant, keys: &[SuspectKey]) -> CrashVerdict {
        let mut suspects: SmallVec<[(u32, SuspectKey); 2]> = SmallVec::new();
        for key in keys {
            if let Some(entry) = self.quarantined.get(key) {
                let remaining = entry.remaining(now);
                if !remaining.is_zero() {
                    return quarantined(entry.key, entry.crashes, remaining);
                }
                suspects.push((entry.crashes, *key));
                continue;
            }
            // While others may be the cause as well, only a request that lacks one of them can tell.
            for evidence in Evidence::ALL {
                let crashes = self.count(*key, evidence);
                if crashes >= evidence.crashes_until_quarantine()
                    && self.other_causes(*key, evidence).all(|other| keys.contains(&other))
                {
                    return quarantined(*key, crashes, CRASH_LIFETIME);
                }
            }
            let crashes = self.count(*key, Evidence::Any);
            let is_late_suspect = crashes >= LATE_CRASHES_UNTIL_TRIAL
                && self.crashes.iter().any(|crash| crash.is_late_suspect(*key));
            if is_late_suspect || self.crashes.iter().any(|crash| crash.awaits_trial(*key)) {
                suspects.push((crashes, *key));
            }
        }
        if suspects.is_empty() {
            return CrashVerdict::Clear;
        }
        suspects.sort_unstable_by_key(|(crashes, key)| (std::cmp::Reverse(*crashes), *key));
        CrashVerdict::Suspect(suspects.iter().map(|(_, key)| *key).take(2).collect())
    }

    /// Returns reports of up to `limit` unexplained crashes with early or with late suspects: the newest ones, and older ones from
    /// `offset` on.
    pub fn reports(&self, is_late: bool, limit: usize, offset: usize) -> Vec<CrashReport> {
        let crashes: Vec<&Crash> =
            self.crashes.iter().filter(|crash| crash.has_suspects(is_late)).collect();
        let newest = limit.div_ceil(2).min(crashes.len());
        let (older, newest) = crashes.split_at(crashes.len() - newest);
        let older_limit = older.len().min(limit - newest.len());
        let start = if older.is_empty() { 0 } else { offset % older.len() };
        let selected = older.iter().cycle().skip(start).take(older_limit);
        newest.iter().chain(selected).flat_map(|crash| crash.reports(is_late)).collect()
    }

    /// Returns up to `limit` quarantined keys, starting at `offset`.
    pub fn quarantined(&self, limit: usize, offset: usize) -> Vec<QuarantinedKey> {
        let count = self.quarantined.len();
        let start = if count == 0 { 0 } else { offset % count };
        self.quarantined.values().cycle().skip(start).take(count.min(limit)).copied().collect()
    }

    /// Returns the number of unexplained crashes and of quarantined keys.
    pub fn sizes(&self) -> (usize, usize) {
        (self.crashes.len(), self.quarantined.len())
    }

    /// Returns whether nothing is known of any crash.
    pub fn is_empty(&self) -> bool {
        self.crashes.is_empty() && self.quarantined.is_empty()
    }

    /// Returns the number of crashes that count for a key.
    ///
    /// A crash counts only if the request was sent after the crash that was counted before, so that targets which end together,
    /// for example with their failure domain, count once.
    fn count(&self, key: SuspectKey, evidence: Evidence) -> u32 {
        let mut counted: SmallVec<[(TargetHash, Instant); 4]> = SmallVec::new();
        for crash in &self.crashes {
            let Some(started) = crash.start(key, evidence) else { continue };
            let same_target = counted.iter().filter(|(target, _)| *target == crash.target).count();
            let is_separate = counted.last().is_none_or(|(_, ended)| started >= *ended);
            if is_separate && same_target < MAX_CRASHES_PER_TARGET {
                counted.push((crash.target, crash.ended));
            }
        }
        counted.len() as u32
    }

    /// Returns the suspects that may have caused all crashes of a key in its place; some may come twice.
    fn other_causes(
        &self,
        key: SuspectKey,
        evidence: Evidence,
    ) -> impl Iterator<Item = SuspectKey> {
        let crashes =
            move || self.crashes.iter().filter(move |crash| crash.start(key, evidence).is_some());
        // Such a suspect is missing on fewer crashes than are looked at here.
        let candidates =
            crashes().take(CRASHES_TO_RULE_OUT).flat_map(move |crash| crash.suspects(evidence));
        candidates.filter(move |other| {
            let mut lacking = crashes().filter(|crash| crash.start(*other, evidence).is_none());
            *other != key && lacking.nth(CRASHES_TO_RULE_OUT - 1).is_none()
        })
    }

    /// Quarantines those of the keys that are the only explanation of enough crashes; these crashes are then explained.
    fn quarantine_causes(&mut self, keys: &[SuspectKey]) {
        for key in keys {
            for evidence in Evidence::ALL {
                let crashes = self.count(*key, evidence);
                if crashes < evidence.crashes_until_quarantine()
                    || self.other_causes(*key, evidence).next().is_some()
                {
                    continue;
                }
                let is_on = |crash: &&Crash| crash.start(*key, evidence).is_some();
                if let Some(last_crash) = self.crashes.iter().rfind(is_on).map(|crash| crash.ended)
                {
                    self.insert_quarantined(QuarantinedKey { key: *key, crashes, last_crash });
                }
            }
        }
    }

    /// Inserts a quarantined key, or updates it by later crashes, and drops the crashes that it explains.
    fn insert_quarantined(&mut self, entry: QuarantinedKey) {
        self.crashes.retain(|crash| crash.start(entry.key, Evidence::Any).is_none());
        if !self.quarantined.contains_key(&entry.key) {
            self.newly_quarantined.push(entry);
            let oldest = self.quarantined.values().min_by_key(|entry| entry.last_crash);
            if self.quarantined.len() >= MAX_QUARANTINED_KEYS
                && let Some(oldest) = oldest.map(|entry| entry.key)
            {
                self.quarantined.remove(&oldest);
            }
        }
        let known = self.quarantined.entry(entry.key).or_insert(entry);
        known.crashes = known.crashes.max(entry.crashes);
        known.last_crash = known.last_crash.max(entry.last_crash);
    }

    /// Returns whether a quarantined key explains a crash. A crash after the key's quarantine prolongs the next one.
    fn is_explained(&mut self, report: &CrashReport) -> bool {
        let known = report.keys.iter().find(|key| self.quarantined.contains_key(key));
        let Some(entry) = known.and_then(|key| self.quarantined.get_mut(key)) else {
            return false;
        };
        if entry.remaining(report.ended).is_zero() {
            entry.crashes += 1;
        }
        entry.last_crash = entry.last_crash.max(report.ended);
        true
    }

    fn record_cleared(&mut self, now: Instant, key: SuspectKey) {
        if self.cleared.len() >= MAX_CLEARED_KEYS
            && let Some(oldest) =
                self.cleared.iter().min_by_key(|(_, at)| **at).map(|(key, _)| *key)
        {
            self.cleared.remove(&oldest);
        }
        self.cleared.insert(key, now);
    }
}

fn quarantined(key: SuspectKey, crashes: u32, retry_after: Duration) -> CrashVerdict {
    CrashVerdict::Quarantined { key, crashes, retry_after }
}
