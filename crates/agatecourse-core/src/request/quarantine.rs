use agatecourse_types::{Fingerprint, NodeId, TargetId};
use agatecourse_wire::process::{Alert, AlertKey};
use serde::Serialize;
use std::collections::BTreeMap;

/// Number of fingerprints kept by default.
const DEFAULT_LIMIT: usize = 4_096;

/// Whether and how requests with a fingerprint may run.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Admission {
    /// The fingerprint is neither suspected nor quarantined.
    #[default]
    Free,
    /// The request runs on a target without other requests.
    Isolated,
    /// The request is refused before dispatch.
    Refused,
}

/// Input of a [`Quarantine`].
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum QuarantineEvent {
    /// A target's connections died while it ran requests, and it refuses new connections.
    TargetCrashed {
        /// Id of the crashed target.
        target: TargetId,
        /// Fingerprints of this node's requests that ran on the target.
        running: Vec<Fingerprint>,
        /// Whether it is certain that no other request ran on the target, from this node or another. It holds for
        /// a request that was granted in isolation; in doubt it must be false, so that a request that didn't cause
        /// the crash isn't quarantined.
        alone: bool,
    },
    /// A request ended while its target kept running.
    Finished {
        /// Fingerprint of the finished request.
        fingerprint: Fingerprint,
    },
    /// An alert about a fingerprint was received from another node or read from the table.
    Received(Alert),
    /// An operator releases a fingerprint from quarantine.
    Release {
        /// Fingerprint to release.
        fingerprint: Fingerprint,
        /// Name of the operator, for the alert.
        operator: String,
    },
}

/// State of one alert; a higher generation replaces a lower one.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Serialize)]
struct AlertState {
    generation: u64,
    active: bool,
}

/// Suspicion and quarantine of one fingerprint; `sequence` orders fingerprints by their first alert.
#[derive(Debug, Clone, Copy, Default, Serialize)]
struct FingerprintState {
    suspect: AlertState,
    quarantine: AlertState,
    sequence: u64,
}

impl FingerprintState {
    fn admission(&self) -> Admission {
        match (self.quarantine.active, self.suspect.active) {
            (true, _) => Admission::Refused,
            (false, true) => Admission::Isolated,
            (false, false) => Admission::Free,
        }
    }
}

/// Fingerprints that are suspected of crashing targets or are known to crash them.
///
/// A request that ran alone on a target that crashed is quarantined at once. When several ran, each is a suspect and
/// runs in isolation next time; it is cleared when it finishes, and quarantined when its target crashes again.
/// Raised alerts are returned for gossip. At most 4,096 fingerprints are kept; at the bound, a cleared one is
/// dropped first, then the oldest suspect, then the oldest quarantined one.
///
/// ```
/// use agatecourse_core::request::{Admission, Quarantine, QuarantineEvent};
///
/// let mut quarantine = Quarantine::new("node-a".to_string());
/// let (target, running) = ("engine-1".to_string(), vec![42]);
/// quarantine.on_event(QuarantineEvent::TargetCrashed { target, running, alone: true });
/// assert_eq!(quarantine.admission(42), Admission::Refused);
/// ```
#[derive(Debug, Clone, Serialize)]
pub struct Quarantine {
    node: NodeId,
    limit: usize,
    marks: BTreeMap<Fingerprint, FingerprintState>,
    next_sequence: u64,
}

impl Quarantine {
    /// Creates an empty quarantine.
    pub fn new(node: NodeId) -> Self {
        Self { node, limit: DEFAULT_LIMIT, marks: BTreeMap::new(), next_sequence: 0 }
    }

    /// Sets the largest number of fingerprints.
    #[must_use]
    pub fn with_limit(mut self, limit: usize) -> Self {
        self.limit = limit;
        self
    }

    /// Returns whether and how requests with a fingerprint may run.
    pub fn admission(&self, fingerprint: Fingerprint) -> Admission {
        self.marks.get(&fingerprint).map_or(Admission::Free, FingerprintState::admission)
    }

    /// Processes one event and returns the alerts to send to all nodes.
    #[must_use]
    pub fn on_event(&mut self, event: QuarantineEvent) -> Vec<Alert> {
        match event {
            QuarantineEvent::TargetCrashed { target, running, alone } => {
                self.record_crash(&target, &running, alone)
            }
            QuarantineEvent::Finished { fingerprint } => {
                let reason = "the request finished in isolation".to_string();
                self.set_alert(AlertKey::Suspect { fingerprint }, false, reason)
                    .into_iter()
                    .collect()
            }
            QuarantineEvent::Received(alert) => {
                let received = AlertState { generation: alert.generation, active: alert.active };
                if let Some(own) = self.alert_state_mut(&alert.key) {
                    *own = received.max(*own);
                }
                Vec::new()
            }
            QuarantineEvent::Release { fingerprint, operator } => {
                let keys =
                    [AlertKey::Quarantine { fingerprint }, AlertKey::Suspect { fingerprint }];
                keys.into_iter()
                    .filter_map(|key| self.set_alert(key, false, format!("released by {operator}")))
                    .collect()
            }
        }
    }

    fn record_crash(&mut self, target: &str, running: &[Fingerprint], alone: bool) -> Vec<Alert> {
        let is_certain = alone && running.len() == 1;
        let raise = |fingerprint: &Fingerprint| {
            let fingerprint = *fingerprint;
            let (key, count) = if is_certain {
                (AlertKey::Quarantine { fingerprint }, "alone")
            } else {
                (AlertKey::Suspect { fingerprint }, "with others")
            };
            self.set_alert(key, true, format!("target {target} crashed while running it {count}"))
        };
        running.iter().filter_map(raise).collect()
    }

    /// Changes an alert state and returns the alert, or `None` if the state has this value already.
    fn set_alert(&mut self, key: AlertKey, active: bool, reason: String) -> Option<Alert> {
        let known = match &key {
            AlertKey::Suspect { fingerprint } | AlertKey::Quarantine { fingerprint } => {
                self.marks.contains_key(fingerprint)
            }
            _ => false,
        };
        if !known && !active {
            return None;
        }
        let state = self.alert_state_mut(&key)?;
        if state.active == active {
            return None;
        }
        *state = AlertState { generation: state.generation + 1, active };
        let generation = state.generation;
        Some(Alert { key, generation, active, origin: self.node.clone(), reason })
    }

    /// Returns the state that an alert key refers to; `None` for alerts that don't concern a fingerprint.
    fn alert_state_mut(&mut self, key: &AlertKey) -> Option<&mut AlertState> {
        let (AlertKey::Suspect { fingerprint } | AlertKey::Quarantine { fingerprint }) = key else {
            return None;
        };
        if !self.marks.contains_key(fingerprint) {
            self.evict_to_limit();
            let sequence = self.next_sequence;
            self.next_sequence += 1;
            self.marks
                .insert(*fingerprint, FingerprintState { sequence, ..FingerprintState::default() });
        }
        let mark = self.marks.get_mut(fingerprint)?;
        Some(match key {
            AlertKey::Suspect { .. } => &mut mark.suspect,
            _ => &mut mark.quarantine,
        })
    }

    fn evict_to_limit(&mut self) {
        while self.marks.len() >= self.limit.max(1) {
            let evicted = self.marks.iter().min_by_key(|(_, mark)| {
                (mark.quarantine.active, mark.suspect.active, mark.sequence)
            });
            let Some(fingerprint) = evicted.map(|(fingerprint, _)| *fingerprint) else { return };
            self.marks.remove(&fingerprint);
        }
    }
}

#[cfg(test)]
mod tests;
