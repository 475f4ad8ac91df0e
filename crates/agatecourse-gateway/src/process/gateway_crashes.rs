use super::peers::broadcast;
use super::{CrashNotice, CrashNotices, Gateway, Heartbeat, PeerMessage, QuarantineNotice};
use agatecourse_core::request::{
    CrashReport, CrashVerdict, QuarantinedKey, SuspectKey, SuspectKeys,
};
use agatecourse_types::NodeId;
use slog::{info, warn};
use std::time::{Duration, Instant};

/// Maximum number of crashes in a heartbeat, so that the message fits a datagram.
const MAX_HEARTBEAT_CRASHES: usize = 4;
/// Maximum number of suspects in the crashes of a heartbeat, so that the message fits a datagram; a request has up to 64, and
/// the other requests of its crash follow in later heartbeats.
const MAX_HEARTBEAT_SUSPECTS: usize = 48;
/// The same for crashes in the middle of answers, whose suspects are more and matter less.
const MAX_HEARTBEAT_LATE_SUSPECTS: usize = 16;
/// Maximum number of quarantined keys in a heartbeat, so that the message fits a datagram.
const MAX_HEARTBEAT_KEYS: usize = 12;

/// Detection of requests that crash targets, from the crashes and answers that all nodes have seen.
impl Gateway {
    /// Returns what the crashes of targets say about a request with these keys.
    pub(crate) fn crash_verdict(&self, now: Instant, keys: &[SuspectKey]) -> CrashVerdict {
        self.crashes.borrow().verdict(now, keys)
    }

    /// Waits until a request with these keys is quarantined.
    pub(crate) async fn wait_for_quarantine(&self, keys: &[SuspectKey]) -> CrashVerdict {
        let mut changes = self.crash_changes.subscribe();
        loop {
            let verdict = self.crash_verdict(Instant::now(), keys);
            // The gateway owns the sender, so the wait can't fail while `self` is borrowed.
            if matches!(verdict, CrashVerdict::Quarantined { .. })
                || changes.changed().await.is_err()
            {
                return verdict;
            }
        }
    }

    /// Records that a target crashed with a request of this node, and tells the other nodes.
    pub(crate) fn record_crash(&self, now: Instant, report: CrashReport) {
        let (notice, is_late) = (to_notice(now, &report), report.is_late);
        if self.record_report(now, &self.settings.node, report) {
            broadcast(
                self,
                if is_late { PeerMessage::LateCrash(notice) } else { PeerMessage::Crash(notice) },
            );
        }
    }

    /// Records a crash that a peer has seen; `is_late` says whether it was in the middle of an answer.
    pub(crate) fn record_peer_crash(
        &self,
        now: Instant,
        from: &NodeId,
        notice: &CrashNotice,
        is_late: bool,
    ) {
        self.record_report(now, from, from_notice(now, notice, is_late));
    }

    /// Records the crashes and quarantined keys of a peer's heartbeat.
    pub(crate) fn record_peer_crashes(&self, now: Instant, from: &NodeId, heartbeat: &Heartbeat) {
        for notice in &heartbeat.crash_notices {
            self.record_peer_crash(now, from, notice, false);
        }
        for notice in &heartbeat.late_crash_notices {
            self.record_peer_crash(now, from, notice, true);
        }
        self.adopt_quarantined(now, from, &heartbeat.quarantine_notices);
    }

    /// Takes over quarantined keys that a peer or an earlier process knows.
    pub fn adopt_quarantined(&self, now: Instant, source: &str, notices: &[QuarantineNotice]) {
        for notice in notices {
            let last_crash = now.checked_sub(Duration::from_millis(notice.age_ms)).unwrap_or(now);
            let entry = QuarantinedKey { key: notice.key, crashes: notice.crashes, last_crash };
            self.crashes.borrow_mut().adopt(now, entry);
        }
        self.log_quarantined(now, source);
    }

    /// Takes over crashes that an earlier process has recorded; `are_late` says whether they were in the middle of answers.
    pub fn adopt_crashes(
        &self,
        now: Instant,
        source: &str,
        notices: &[CrashNotice],
        are_late: bool,
    ) {
        for notice in notices {
            self.record_report(now, source, from_notice(now, notice, are_late));
        }
    }

    /// Records that an answer to a request with these keys is complete; tells the other nodes if that clears one.
    pub(crate) fn record_sound(&self, now: Instant, keys: &[SuspectKey]) {
        let cleared = self.clear_suspects(now, &self.settings.node, keys);
        if !cleared.is_empty() {
            broadcast(self, PeerMessage::Cleared { keys: cleared });
        }
    }

    /// Records that a peer has cleared keys.
    pub(crate) fn record_peer_cleared(&self, now: Instant, from: &NodeId, keys: &[SuspectKey]) {
        self.clear_suspects(now, from, keys);
    }

    /// Records that an answer to a request with these keys has gone on after its first events, so that requests with them no longer
    /// wait for each other; tells the other nodes if that is new.
    pub(crate) fn record_progress(&self, now: Instant, keys: &[SuspectKey]) {
        let progressed = self.release_suspects(now, &self.settings.node, keys);
        if !progressed.is_empty() {
            broadcast(self, PeerMessage::Progressed { keys: progressed });
        }
    }

    /// Records that a peer has seen answers go on.
    pub(crate) fn record_peer_progress(&self, now: Instant, from: &NodeId, keys: &[SuspectKey]) {
        self.release_suspects(now, from, keys);
    }

    /// Returns some of the known crashes and quarantined keys for a heartbeat; forgets those that are too old.
    pub(crate) fn heartbeat_crash_notices(&self, now: Instant) -> CrashNotices {
        self.crashes.borrow_mut().expire(now);
        let round = self.crash_notice_round.get();
        let notices = self.crash_notices(now, MAX_HEARTBEAT_CRASHES, MAX_HEARTBEAT_KEYS);
        CrashNotices {
            crashes: limit_suspects(notices.crashes, round, MAX_HEARTBEAT_SUSPECTS),
            late_crashes: limit_suspects(notices.late_crashes, round, MAX_HEARTBEAT_LATE_SUSPECTS),
            quarantined: notices.quarantined,
        }
    }

    /// Returns the newest crashes and some of the older ones and of the quarantined keys; each call returns others, until all
    /// were returned.
    pub fn crash_notices(&self, now: Instant, max_crashes: usize, max_keys: usize) -> CrashNotices {
        let crashes = self.crashes.borrow();
        if crashes.is_empty() {
            return CrashNotices::default();
        }
        let round = self.crash_notice_round.get();
        self.crash_notice_round.set(round.wrapping_add(1));
        let quarantined = crashes.quarantined(max_keys, round.wrapping_mul(max_keys));
        let quarantined = quarantined.iter().map(|entry| QuarantineNotice {
            key: entry.key,
            crashes: entry.crashes,
            age_ms: age_ms(now, entry.last_crash),
        });
        let notices = |is_late: bool| {
            let offset = round.wrapping_mul(max_crashes / 2);
            let reports = crashes.reports(is_late, max_crashes, offset);
            reports.iter().map(|report| to_notice(now, report)).collect()
        };
        CrashNotices {
            crashes: notices(false),
            late_crashes: notices(true),
            quarantined: quarantined.collect(),
        }
    }

    /// Returns a number that increases with each change of the crashes and quarantined keys.
    pub fn crash_version(&self) -> u64 {
        *self.crash_changes.borrow()
    }

    fn record_report(&self, now: Instant, source: &str, report: CrashReport) -> bool {
        let (keys, target, ended, is_late) =
            (report.keys.clone(), report.target, report.ended, report.is_late);
        if !self.crashes.borrow_mut().record(now, report) {
            return false;
        }
        let (crashes, _) = self.crashes.borrow().sizes();
        info!(self.log, "target crashed with a request"; "target_hash" => target, "source" => source,
            "age_ms" => age_ms(now, ended), "is_late" => is_late, "suspect_keys" => format!("{keys:x?}"), "unexplained_crashes" => crashes);
        self.log_quarantined(now, source);
        self.crash_changes.send_modify(|version| *version += 1);
        true
    }

    fn clear_suspects(&self, now: Instant, source: &str, keys: &[SuspectKey]) -> SuspectKeys {
        let cleared = self.crashes.borrow_mut().clear(now, keys);
        if !cleared.is_empty() {
            info!(self.log, "suspects cleared"; "keys" => format!("{cleared:x?}"), "source" => source);
            self.log_quarantined(now, source);
            self.clear_queued_suspects(now, &cleared);
            self.crash_changes.send_modify(|version| *version += 1);
        }
        cleared
    }

    fn release_suspects(&self, now: Instant, source: &str, keys: &[SuspectKey]) -> SuspectKeys {
        let progressed = self.crashes.borrow_mut().record_progress(keys);
        if !progressed.is_empty() {
            info!(self.log, "answers to suspects go on"; "keys" => format!("{progressed:x?}"), "source" => source);
            self.clear_queued_suspects(now, &progressed);
        }
        progressed
    }

    /// Logs the keys that were quarantined by what `source` has reported, and wakes the requests that wait.
    fn log_quarantined(&self, now: Instant, source: &str) {
        let new = self.crashes.borrow_mut().take_newly_quarantined();
        for entry in &new {
            warn!(self.log, "requests quarantined"; "key" => format!("{:x}", entry.key), "crashes" => entry.crashes,
                "last_crash_age_ms" => age_ms(now, entry.last_crash), "source" => source);
        }
        let (_, quarantined) = self.crashes.borrow().sizes();
        self.metrics.quarantined_keys.set(i64::try_from(quarantined).unwrap_or(i64::MAX));
        if !new.is_empty() {
            self.crash_changes.send_modify(|version| *version += 1);
        }
    }
}

/// Returns as many of the notices as have at most `max_suspects` keys together, but at least one, starting at another notice in each
/// round.
fn limit_suspects(
    mut notices: Vec<CrashNotice>,
    round: usize,
    max_suspects: usize,
) -> Vec<CrashNotice> {
    if notices.iter().map(|notice| notice.keys.len()).sum::<usize>() <= max_suspects {
        return notices;
    }
    let start = round % notices.len();
    notices.rotate_left(start);
    let mut suspects = 0;
    let fitting = notices.iter().take_while(|notice| {
        suspects += notice.keys.len();
        suspects <= max_suspects
    });
    let count = fitting.count().max(1);
    notices.truncate(count);
    notices
}

fn age_ms(now: Instant, at: Instant) -> u64 {
    now.saturating_duration_since(at).as_millis() as u64
}

fn to_notice(now: Instant, report: &CrashReport) -> CrashNotice {
    CrashNotice {
        target: report.target,
        started_age_ms: age_ms(now, report.started),
        ended_age_ms: age_ms(now, report.ended),
        keys: report.keys.clone(),
    }
}

fn from_notice(now: Instant, notice: &CrashNotice, is_late: bool) -> CrashReport {
    let at = |age_ms: u64| now.checked_sub(Duration::from_millis(age_ms)).unwrap_or(now);
    CrashReport {
        target: notice.target,
        started: at(notice.started_age_ms),
        ended: at(notice.ended_age_ms),
        keys: notice.keys.clone(),
        is_late,
    }
}
