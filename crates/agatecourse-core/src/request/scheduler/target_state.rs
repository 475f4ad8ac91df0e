use super::concurrency_limit::ConcurrencyLimit;
use super::ejection::{Admittance, Ejection};
use super::speed_model::SpeedModel;
use super::{LoadReport, SchedulerLimits, TargetSpec};
use agatecourse_types::VersionId;
use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Number of versions whose speeds a target keeps; at the bound, the one that ran longest ago is
/// dropped.
const VERSION_LIMIT: usize = 8;
/// Reports older than this are ignored, and ended grants are remembered for as long.
const REPORT_MEMORY: Duration = Duration::from_secs(10);
/// Number of ended grants that are remembered; at the bound, the oldest is forgotten.
const ENDED_GRANT_LIMIT: usize = 1_024;
/// Number of prompts that may be unread; at the bound, the oldest counts as read.
const UNREAD_PROMPT_LIMIT: usize = 1_024;

/// What the pool owner knows about one target.
#[derive(Debug, Clone)]
pub(super) struct TargetState {
    pub spec: TargetSpec,
    pub concurrency_limit: ConcurrencyLimit,
    pub ejection: Ejection,
    /// Whether the pool still lists the target.
    pub listed: bool,
    /// Whether the target leaves or is drained.
    pub leaving: bool,
    /// Requests that were granted and have not ended.
    pub in_flight: u32,
    /// Whether the only request in flight is a suspect.
    pub runs_suspect: bool,
    /// Time at which the prompts granted so far are expected to be read.
    pub reading_until: Instant,
    /// Time of the grant and expected reading time of prompts that are not known to be read.
    unread_prompts: VecDeque<(Instant, Duration)>,
    /// Speeds by version; the last one is that of the version that the target runs.
    speeds: Vec<(VersionId, SpeedModel)>,
    /// Requests that run on the target without a grant of this owner.
    other_owner_requests: u32,
    batch_integral: f64,
    batch_since: Instant,
    ended_grants: VecDeque<(Instant, Instant)>,
}

impl TargetState {
    /// Creates the state of a target that was never used.
    pub(super) fn new(now: Instant, spec: TargetSpec) -> Self {
        let mut target = Self {
            concurrency_limit: ConcurrencyLimit::new(spec.concurrency),
            ejection: Ejection::default(),
            listed: true,
            leaving: false,
            in_flight: 0,
            runs_suspect: false,
            reading_until: now,
            unread_prompts: VecDeque::new(),
            speeds: Vec::new(),
            other_owner_requests: 0,
            batch_integral: 0.0,
            batch_since: now,
            ended_grants: VecDeque::new(),
            spec,
        };
        target.select_speed_model();
        target
    }

    /// Takes a changed specification; a target with a new version no longer counts as leaving.
    pub(super) fn update(&mut self, spec: TargetSpec) {
        self.listed = true;
        self.leaving &= self.spec.version == spec.version;
        self.concurrency_limit.set_highest(spec.concurrency);
        self.spec = spec;
        self.select_speed_model();
    }

    /// Returns the speed of the version that the target runs.
    pub(super) fn speed(&self) -> &SpeedModel {
        // `ensure_speed` moves the entry to the end whenever the version changes.
        &self.speeds[self.speeds.len() - 1].1
    }

    /// Returns the speed of a version that the target has run.
    pub(super) fn speed_mut(&mut self, version: &str) -> Option<&mut SpeedModel> {
        self.speeds.iter_mut().find(|(known, _)| known == version).map(|(_, speed)| speed)
    }

    /// Returns whether the target may get requests when it has room.
    pub(super) fn is_usable(&self) -> bool {
        let ejected = matches!(self.ejection.admittance(), Admittance::Ejected(_));
        self.listed && !self.leaving && !ejected
    }

    /// Returns the number of requests that may run at a time.
    pub(super) fn capacity(&self) -> u32 {
        match self.ejection.admittance() {
            Admittance::Open => self.concurrency_limit.get(),
            Admittance::Probing => 1,
            Admittance::Ejected(_) => 0,
        }
    }

    /// Returns the number of requests that run, with those that other owners granted.
    pub(super) fn batch(&self) -> u32 {
        self.in_flight + self.other_owner_requests
    }

    /// Returns whether a request may be granted now.
    pub(super) fn has_room(&self) -> bool {
        self.is_usable() && !self.runs_suspect && self.batch() < self.capacity()
    }

    /// Counts a grant.
    pub(super) fn add_in_flight(&mut self, now: Instant) {
        self.update_batch_integral(now);
        self.in_flight += 1;
    }

    /// Adds a prompt behind those that are being read.
    pub(super) fn add_unread_prompt(&mut self, now: Instant, read: Duration) {
        self.reading_until = self.reading_until.max(now) + read;
        self.unread_prompts.push_back((now, read));
        if self.unread_prompts.len() > UNREAD_PROMPT_LIMIT {
            self.unread_prompts.pop_front();
        }
    }

    /// Takes the prompt of a grant as read, and with it all earlier ones, because targets read in order of
    /// arrival. Without this, reading times that were estimated too long would add up.
    pub(super) fn mark_prompt_read(&mut self, now: Instant, granted_at: Instant) {
        while self.unread_prompts.front().is_some_and(|(granted, _)| *granted <= granted_at) {
            self.unread_prompts.pop_front();
        }
        let left: Duration = self.unread_prompts.iter().map(|(_, read)| *read).sum();
        self.reading_until = self.reading_until.min(now + left);
    }

    /// Counts the end of a grant.
    pub(super) fn remove_in_flight(&mut self, now: Instant, granted_at: Instant) {
        self.update_batch_integral(now);
        self.in_flight = self.in_flight.saturating_sub(1);
        if self.in_flight == 0 {
            self.runs_suspect = false;
        }
        self.mark_prompt_read(now, granted_at);
        self.ended_grants.push_back((granted_at, now));
        let expired = |at: Instant| now.saturating_duration_since(at) > REPORT_MEMORY;
        while self.ended_grants.front().is_some_and(|(_, at)| expired(*at))
            || self.ended_grants.len() > ENDED_GRANT_LIMIT
        {
            self.ended_grants.pop_front();
        }
    }

    /// Returns the integral of the batch size over time, in request-seconds.
    pub(super) fn batch_integral(&mut self, now: Instant) -> f64 {
        self.update_batch_integral(now);
        self.batch_integral
    }

    /// Takes a load report and corrects it by the grants since; `own_then` counts the grants in flight now
    /// that were given before the report.
    pub(super) fn apply_load_report(
        &mut self,
        now: Instant,
        report: &LoadReport,
        own_at_report: u32,
    ) {
        if report.age > REPORT_MEMORY {
            return;
        }
        self.leaving |= report.leaving;
        let measured_at = now.checked_sub(report.age).unwrap_or(now);
        let ended_since = self
            .ended_grants
            .iter()
            .filter(|(granted, ended)| *granted <= measured_at && *ended > measured_at)
            .count() as u32;
        self.update_batch_integral(now);
        self.other_owner_requests =
            (report.running + report.waiting).saturating_sub(own_at_report + ended_since);
    }

    /// Takes the time between tokens of a load report.
    pub(super) fn apply_reported_token_gap(
        &mut self,
        now: Instant,
        report: &LoadReport,
        limits: &SchedulerLimits,
    ) {
        let Some(gap) = report.token_gap.filter(|gap| !gap.is_zero()) else { return };
        let batch = f64::from(report.running.max(1));
        let version = self.spec.version.clone();
        if let Some(speed) = self.speed_mut(&version) {
            speed.observe_write(1_000.0, gap.as_secs_f64() * 1_000.0, batch);
        }
        let relative = gap.as_secs_f64() / limits.token_gap.as_secs_f64();
        self.concurrency_limit.observe_token_gap(now, relative, self.in_flight);
    }

    fn update_batch_integral(&mut self, now: Instant) {
        let passed = now.saturating_duration_since(self.batch_since).as_secs_f64();
        self.batch_integral += passed * f64::from(self.batch());
        self.batch_since = self.batch_since.max(now);
    }

    fn select_speed_model(&mut self) {
        let spec = &self.spec;
        let known = self.speeds.iter().position(|(version, _)| *version == spec.version);
        let entry = known.map_or_else(
            || {
                let initial = SpeedModel::new(spec.read_tokens_per_s, spec.write_tokens_per_s);
                (spec.version.clone(), initial)
            },
            |index| self.speeds.remove(index),
        );
        if self.speeds.len() >= VERSION_LIMIT {
            self.speeds.remove(0);
        }
        self.speeds.push(entry);
    }
}
