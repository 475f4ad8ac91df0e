use agatecourse_types::{Fingerprint, TargetId};
use std::collections::{BTreeMap, HashMap};
use std::sync::{Mutex, PoisonError};

/// Maximum number of suspect and quarantined fingerprints; one more drops the numerically smallest.
const MAX_FINGERPRINTS: usize = 4_096;

/// Suspicion that requests with a fingerprint crash targets.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(crate) enum Verdict {
    /// One of several requests that ran on a target when it crashed.
    Suspect,
    /// The only request on a target when it crashed.
    Quarantined,
}

/// Fingerprints of requests that may crash targets, and the fingerprints that this node currently runs on each target.
#[derive(Debug, Default)]
pub(crate) struct Quarantine(Mutex<QuarantineState>);

#[derive(Debug, Default)]
struct QuarantineState {
    verdicts: BTreeMap<Fingerprint, Verdict>,
    running: HashMap<TargetId, Vec<Fingerprint>>,
}

impl Quarantine {
    /// Returns the verdict on a fingerprint; `None` when there is no suspicion.
    pub(crate) fn verdict(&self, fingerprint: Fingerprint) -> Option<Verdict> {
        self.lock().verdicts.get(&fingerprint).copied()
    }

    /// Sets or, with `None`, clears the verdict on a fingerprint.
    pub(crate) fn set(&self, fingerprint: Fingerprint, verdict: Option<Verdict>) {
        let verdicts = &mut self.lock().verdicts;
        match verdict {
            Some(verdict) => {
                verdicts.insert(fingerprint, verdict);
                if verdicts.len() > MAX_FINGERPRINTS {
                    verdicts.pop_first();
                }
            }
            None => {
                verdicts.remove(&fingerprint);
            }
        }
    }

    /// Records that this node runs a request on a target.
    pub(crate) fn started(&self, target: &str, fingerprint: Fingerprint) {
        self.lock().running.entry(target.to_string()).or_default().push(fingerprint);
    }

    /// Records the end of a request; if it completed, the verdict [`Verdict::Suspect`] on its fingerprint is cleared.
    pub(crate) fn ended(&self, target: &str, fingerprint: Fingerprint, completed: bool) {
        let mut inner = self.lock();
        if let Some(running) = inner.running.get_mut(target) {
            if let Some(position) = running.iter().position(|known| *known == fingerprint) {
                running.swap_remove(position);
            }
            if running.is_empty() {
                inner.running.remove(target);
            }
        }
        if completed && inner.verdicts.get(&fingerprint) == Some(&Verdict::Suspect) {
            inner.verdicts.remove(&fingerprint);
        }
    }

    /// Records a crash of a target and returns the new verdict on each request that ran there.
    ///
    /// `ran_alone` must be true only if certainly no request of another node ran there; otherwise a request that did
    /// not cause the crash could be quarantined.
    ///
    /// All requests of the target count as ended. Otherwise a second report of the same crash could find a single
    /// remaining request and quarantine it.
    pub(crate) fn crashed(&self, target: &str, ran_alone: bool) -> Vec<(Fingerprint, Verdict)> {
        let running = self.lock().running.remove(target).unwrap_or_default();
        let ran_alone = ran_alone && running.len() == 1;
        let mut verdicts = Vec::with_capacity(running.len());
        for fingerprint in running {
            let has_verdict = self.verdict(fingerprint).is_some();
            let verdict =
                if ran_alone || has_verdict { Verdict::Quarantined } else { Verdict::Suspect };
            self.set(fingerprint, Some(verdict));
            verdicts.push((fingerprint, verdict));
        }
        verdicts
    }

    /// Returns all verdicts with the fingerprint in hexadecimal, as `/dump` contains them.
    pub(crate) fn verdicts(&self) -> Vec<(String, &'static str)> {
        let name = |verdict| match verdict {
            Verdict::Suspect => "suspect",
            Verdict::Quarantined => "quarantined",
        };
        let inner = self.lock();
        inner
            .verdicts
            .iter()
            .map(|(key, verdict)| (format!("{key:016x}"), name(*verdict)))
            .collect()
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, QuarantineState> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

#[cfg(test)]
mod tests;
