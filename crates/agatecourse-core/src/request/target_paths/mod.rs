use agatecourse_types::TargetId;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// Targets that only other nodes reach, without a direct connection to any target in between, from which on this node is cut off from all.
const CUT_OFF_TARGETS: usize = 3;
/// Time for which a target is reached through other nodes after a direct connection to it has failed.
const DETOUR_TIME: Duration = Duration::from_secs(5);
/// Shortest time between two probes that find out whether a direct connection works again.
const PROBE_PERIOD: Duration = Duration::from_millis(500);
/// Time after its last use for which a detour is probed; nobody waits for the others.
const PROBED_AFTER_USE: Duration = Duration::from_secs(10);

/// How this node connects to a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TargetPath {
    /// With a connection of its own.
    Direct,
    /// Through another node that reaches the target.
    Detour,
}

/// Change of the paths to all targets.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PathChange {
    /// This node has lost its links to all targets.
    CutOff,
    /// A direct connection works again.
    Restored {
        /// Time for which the node was cut off.
        after: Duration,
    },
}

#[derive(Debug, Clone, Copy)]
struct Detour {
    /// Last time at which a direct connection failed and another node reached the target.
    confirmed: Instant,
    used: Instant,
    /// True if no direct connection to another target has worked since the detour began.
    is_unanswered: bool,
}

/// Which targets this node reaches by itself, and which only through other nodes.
///
/// Whether a target is reachable is a fact of a pair of node and target. A target that this node can't connect to, but another node can, is sound;
/// a node that loses several targets in this way and reaches none has lost its own links.
#[derive(Debug, Clone, Default)]
pub struct TargetPaths {
    detours: BTreeMap<TargetId, Detour>,
    cut_off_since: Option<Instant>,
    last_probe: Option<Instant>,
    last_probed: TargetId,
    /// The two targets that were heard last, the latest first.
    heard: [Option<(TargetId, Instant)>; 2],
}

impl TargetPaths {
    /// Creates paths that are all direct.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the path to a target.
    pub fn path(&self, now: Instant, target: &TargetId) -> TargetPath {
        let is_detour = self.is_cut_off()
            || self.detours.get(target).is_some_and(|detour| {
                now.saturating_duration_since(detour.confirmed) < DETOUR_TIME
            });
        if is_detour { TargetPath::Detour } else { TargetPath::Direct }
    }

    /// Returns whether the node has lost its links to all targets.
    pub fn is_cut_off(&self) -> bool {
        self.cut_off_since.is_some()
    }

    /// Returns the number of targets that are reached through other nodes only.
    pub fn detour_count(&self) -> usize {
        self.detours.len()
    }

    /// Records that a direct connection to a target was established.
    pub fn record_direct(&mut self, now: Instant, target: &TargetId) -> Option<PathChange> {
        self.record_heard(now, target);
        if let Some(since) = self.cut_off_since.take() {
            self.detours.clear();
            return Some(PathChange::Restored { after: now.saturating_duration_since(since) });
        }
        self.detours.remove(target);
        for detour in self.detours.values_mut() {
            detour.is_unanswered = false;
        }
        None
    }

    /// Records that a direct connection to a target failed, one of `known_targets`, while another node reached it.
    pub fn record_detour(
        &mut self,
        now: Instant,
        target: &TargetId,
        known_targets: usize,
    ) -> Option<PathChange> {
        self.detours.retain(|_, detour| {
            now.saturating_duration_since(detour.confirmed.max(detour.used)) < PROBED_AFTER_USE
        });
        let detour = Detour { confirmed: now, used: now, is_unanswered: true };
        self.detours.insert(target.clone(), detour);
        let lost = self.detours.values().filter(|detour| {
            detour.is_unanswered && now.saturating_duration_since(detour.confirmed) < DETOUR_TIME
        });
        if self.is_cut_off() || lost.count() < CUT_OFF_TARGETS.min(known_targets.max(1)) {
            return None;
        }
        self.cut_off_since = Some(now);
        // The first probe follows after a period, since a connection has just failed.
        self.last_probe = Some(now);
        Some(PathChange::CutOff)
    }

    /// Records that a target was reached through another node.
    pub fn record_detour_use(&mut self, now: Instant, target: &TargetId) {
        if self.is_cut_off() && !self.detours.contains_key(target) {
            let detour = Detour { confirmed: now, used: now, is_unanswered: true };
            self.detours.insert(target.clone(), detour);
        } else if let Some(detour) = self.detours.get_mut(target) {
            detour.used = now;
        }
    }

    /// Returns a target to which a direct connection is due to be tried, in turn.
    pub fn take_due_probe(&mut self, now: Instant) -> Option<TargetId> {
        let is_due = |last: Instant| now.saturating_duration_since(last) >= PROBE_PERIOD;
        if self.detours.is_empty() || !self.last_probe.is_none_or(is_due) {
            return None;
        }
        let is_used =
            |detour: &Detour| now.saturating_duration_since(detour.used) < PROBED_AFTER_USE;
        let mut used = self.detours.iter().filter(|(_, detour)| is_used(detour));
        let next = used.clone().find(|(target, _)| **target > self.last_probed);
        let target = next.or_else(|| used.next()).map(|(target, _)| target.clone())?;
        self.last_probe = Some(now);
        self.last_probed.clone_from(&target);
        Some(target)
    }

    /// Records that bytes of a target arrived, or a connection to it was established, on any path.
    pub fn record_heard(&mut self, now: Instant, target: &TargetId) {
        let [latest, earlier] = &mut self.heard;
        match latest {
            Some((heard, at)) if heard == target => *at = now,
            _ => {
                std::mem::swap(latest, earlier);
                *latest = Some((target.clone(), now));
            }
        }
    }

    /// Returns whether another target than this one was heard since a time, which shows that the links of this node work.
    pub fn has_heard_other(&self, since: Instant, target: &TargetId) -> bool {
        self.heard.iter().flatten().any(|(heard, at)| heard != target && *at >= since)
    }
}

#[cfg(test)]
mod tests;
