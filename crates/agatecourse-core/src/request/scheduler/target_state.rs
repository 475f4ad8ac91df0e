use super::concurrency_limit::ConcurrencyLimit;
use super::ejection::{Admittance, Ejection};
use super::speed_model::SpeedModel;
use super::{LoadReport, SchedulerLimits, TargetSpec};
use agatecourse_types::VersionId;
use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Largest number of versions whose speeds are kept for a target; at the bound, the one that was selected longest ago
/// is dropped.
const VERSION_LIMIT: usize = 8;
/// Age above which load reports are ignored; ended grants are kept for as long to correct reports.
const MAX_REPORT_AGE: Duration = Duration::from_secs(10);
/// Largest number of ended grants that are kept; at the bound, the oldest is removed.
const ENDED_GRANT_LIMIT: usize = 1_024;
/// Largest number of unread prompts; at the bound, the oldest counts as read.
const UNREAD_PROMPT_LIMIT: usize = 1_024;

/// State of one target: load, limits, health and learned speed.
#[derive(Debug, Clone)]
pub(super) struct TargetState {
    pub spec: TargetSpec,
    pub concurrency_limit: ConcurrencyLimit,
    pub ejection: Ejection,
    /// Whether the last target event of the pool listed the target.
    pub listed: bool,
    /// Whether the target leaves or is drained.
    pub leaving: bool,
    /// Number of requests that were granted and have not ended.
    pub in_flight: u32,
    /// Whether a suspect request is in flight, which runs alone on the target.
    pub runs_suspect: bool,
    /// Time at which the prompts of all granted requests are expected to be read.
    pub reading_until: Instant,
    /// Time of the grant and expected reading time of prompts without a first token, in the order of the grants.
    unread_prompts: VecDeque<(Instant, Duration)>,
    /// Speeds by version; the last entry is for the version that the target runs.
    speeds: Vec<(VersionId, SpeedModel)>,
    /// Number of requests on the target without a grant of this owner, according to the last load report.
    other_owner_requests: u32,
    /// Integral of the batch size over time until `batch_since`, in request-seconds.
    batch_integral: f64,
    batch_since: Instant,
    /// Times of grant and end of requests that ended recently.
    ended_grants: VecDeque<(Instant, Instant)>,
}

impl TargetState {
    /// Creates the state of a new target, with the configured limits and speeds.
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

    /// Applies a specification of the same target; a change of version ends the leaving state.
    pub(super) fn update(&mut self, spec: TargetSpec) {
        self.listed = true;
        self.leaving &= self.spec.version == spec.version;
        self.concurrency_limit.set_highest(spec.concurrency);
        self.spec = spec;
        self.select_speed_model();
    }

    /// Returns the speed model of the version that the target runs.
    pub(super) fn speed(&self) -> &SpeedModel {
        // `select_speed_model` moves the entry to the end whenever the version changes.
        &self.speeds[self.speeds.len() - 1].1
    }

    /// Returns the speed model of a version that the target runs or has run.
    pub(super) fn speed_mut(&mut self, version: &str) -> Option<&mut SpeedModel> {
        self.speeds.iter_mut().find(|(known, _)| known == version).map(|(_, speed)| speed)
    }

    /// Returns whether the target may get requests, whether or not it has room.
    pub(super) fn is_usable(&self) -> bool {
        let ejected = matches!(self.ejection.admittance(), Admittance::Ejected(_));
        self.listed && !self.leaving && !ejected
    }

    /// Returns the number of requests that may run at a time: the concurrency limit, 1 for a probe, 0 if ejected.
    pub(super) fn capacity(&self) -> u32 {
        match self.ejection.admittance() {
            Admittance::Open => self.concurrency_limit.get(),
            Admittance::Probing => 1,
            Admittance::Ejected(_) => 0,
        }
    }

    /// Returns the number of running requests, including those that this owner did not grant.
    pub(super) fn batch(&self) -> u32 {
        self.in_flight + self.other_owner_requests
    }

    /// Returns whether the target can take a request now.
    pub(super) fn has_room(&self) -> bool {
        self.is_usable() && !self.runs_suspect && self.batch() < self.capacity()
    }

    /// Adds a granted request to the batch.
    pub(super) fn add_in_flight(&mut self, now: Instant) {
        self.update_batch_integral(now);
        self.in_flight += 1;
    }

    /// Adds a prompt with an expected reading time behind the unread ones.
    pub(super) fn add_unread_prompt(&mut self, now: Instant, read: Duration) {
        self.reading_until = self.reading_until.max(now) + read;
        self.unread_prompts.push_back((now, read));
        if self.unread_prompts.len() > UNREAD_PROMPT_LIMIT {
            self.unread_prompts.pop_front();
        }
    }

    /// Marks the prompt of a grant and all earlier ones as read, because targets read prompts in order of arrival.
    ///
    /// Without this, overestimated reading times would add up.
    pub(super) fn mark_prompt_read(&mut self, now: Instant, granted_at: Instant) {
        while self.unread_prompts.front().is_some_and(|(granted, _)| *granted <= granted_at) {
            self.unread_prompts.pop_front();
        }
        let left: Duration = self.unread_prompts.iter().map(|(_, read)| *read).sum();
        self.reading_until = self.reading_until.min(now + left);
    }

    /// Removes an ended request from the batch and keeps its times to correct load reports.
    pub(super) fn remove_in_flight(&mut self, now: Instant, granted_at: Instant) {
        self.update_batch_integral(now);
        self.in_flight = self.in_flight.saturating_sub(1);
        if self.in_flight == 0 {
            self.runs_suspect = false;
        }
        self.mark_prompt_read(now, granted_at);
        self.ended_grants.push_back((granted_at, now));
        let expired = |at: Instant| now.saturating_duration_since(at) > MAX_REPORT_AGE;
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

    /// Derives the number of other owners' requests from a load report; also marks a target that announces to leave.
    ///
    /// `own_at_report` is the number of this owner's requests that are in flight now and were granted before the
    /// measurement. Those that have ended since are known from `ended_grants`.
    pub(super) fn apply_load_report(
        &mut self,
        now: Instant,
        report: &LoadReport,
        own_at_report: u32,
    ) {
        if report.age > MAX_REPORT_AGE {
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

    /// Updates the speed model and the concurrency limit by the time between tokens in a load report, if it has one.
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

    /// Extends the integral of the batch size to `now`; called before each change of the batch size.
    fn update_batch_integral(&mut self, now: Instant) {
        let passed = now.saturating_duration_since(self.batch_since).as_secs_f64();
        self.batch_integral += passed * f64::from(self.batch());
        self.batch_since = self.batch_since.max(now);
    }

    /// Moves the speed model of the running version to the end, or adds one with the configured speeds.
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
