use super::peers::broadcast;
use super::{Gateway, RolloutOutcome};
use crate::version::{ServiceId, Target};
use agatecourse_core::version::{AnswerTime, RolloutState, RouteHash};
use agatecourse_types::VersionId;
use slog::info;
use std::time::{Duration, Instant};

/// Detection of bad versions from the responses that all nodes have seen.
impl Gateway {
    /// Starts the rollout of a new version of a service, unless it or a newer one is known.
    pub fn begin_rollout(&self, service: &ServiceId, to: &VersionId, order: u64, time: Duration) {
        if self.rollouts.borrow_mut().begin(Instant::now(), service, to, order, time) {
            info!(self.log, "version order begun"; "service" => service, "version" => to, "order" => order,
                "time_ms" => time.as_millis() as u64);
        }
    }

    /// Gives the rollout of a version another order number, because its order was written again in a restored store.
    pub fn renumber_rollout(&self, service: &ServiceId, to: &VersionId, order: u64) {
        self.rollouts.borrow_mut().renumber(service, to, order);
        info!(self.log, "version order written again"; "service" => service, "version" => to, "order" => order);
    }

    /// Returns whether a rollout of a service is known.
    pub fn has_rollout(&self, service: &ServiceId) -> bool {
        self.rollouts.borrow().has_rollout(service)
    }

    /// Applies the recorded outcome of a rollout.
    pub fn adopt_rollout(&self, service: &ServiceId, to: &VersionId, state: RolloutState) {
        self.rollouts.borrow_mut().adopt(service, to, state);
    }

    /// Evaluates all rollouts and returns the outcomes that this node must record; the live node that ranks first by rendezvous
    /// hash records the outcome of a rollout.
    pub fn rollout_outcomes(&self, now: Instant) -> Vec<RolloutOutcome> {
        let targets = self.targets.borrow();
        let has_targets = |service: &ServiceId, version: &VersionId| {
            targets
                .values()
                .filter(|target| !self.is_evacuated(&target.zone))
                .any(|target| target.service == *service && target.version == *version)
        };
        let outcomes = self.rollouts.borrow_mut().decide(now, has_targets);
        outcomes
            .into_iter()
            .filter(|outcome| self.is_duty_owner(now, &format!("rollout/{}", outcome.service)))
            .collect()
    }

    /// Returns the required and the avoided version of a request; empty for none.
    pub(crate) fn version_constraints(
        &self,
        service: &ServiceId,
        request_id: &str,
        route: RouteHash,
    ) -> (VersionId, VersionId) {
        let mut rollouts = self.rollouts.borrow_mut();
        let Some(version) = rollouts.new_version(service) else { return Default::default() };
        let targets = self.targets.borrow();
        let mut of_service = targets
            .values()
            .filter(|target| target.service == *service && !self.is_evacuated(&target.zone));
        let has_new = of_service.clone().any(|target| target.version == *version);
        if has_new && of_service.all(|target| target.version == *version) {
            // All targets run the new version, so there is no other version to use instead.
            return Default::default();
        }
        rollouts.version_constraints(service, request_id, route, has_new)
    }

    /// Records an answer of a target for the evaluation of its version.
    pub(crate) fn record_answer(
        &self,
        target: &Target,
        route: RouteHash,
        has_failed: bool,
        time: AnswerTime,
    ) {
        let mut rollouts = self.rollouts.borrow_mut();
        rollouts.record(&target.service, &target.version, route, has_failed, time);
    }

    /// Records an answer of a target that nobody waited for to its end.
    pub(crate) fn record_unfinished_answer(
        &self,
        target: &Target,
        route: RouteHash,
        time: AnswerTime,
    ) {
        let mut rollouts = self.rollouts.borrow_mut();
        rollouts.record_unfinished(&target.service, &target.version, route, time);
    }

    /// Sends the counts of this node by route to all other nodes, while a rollout is in progress.
    pub(crate) fn send_route_counts(&self) {
        let reports = self.rollouts.borrow_mut().route_reports();
        for message in reports {
            broadcast(self, message);
        }
    }
}
