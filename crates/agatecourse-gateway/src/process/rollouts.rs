use super::{PeerMessage, RolloutReport};
use crate::version::ServiceId;
use agatecourse_core::version::{AnswerTime, Rollout, RolloutCounts, RolloutState, RouteHash};
use agatecourse_types::{NodeId, VersionId, stable_hash};
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// Routes in a message with counts by route, about 20 bytes each, so that the message fits a datagram; the others follow in turn.
const MAX_REPORTED_ROUTES: usize = 32;

/// Outcome of a rollout, which the adapter records.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RolloutOutcome {
    /// Service that is updated.
    pub service: ServiceId,
    /// Version that the rollout introduces.
    pub to: VersionId,
    /// Number of the rollout order; a larger one is newer.
    pub order: u64,
    /// State of the rollout after the latest evaluation.
    pub state: RolloutState,
}

/// Rollouts of new service versions, as evaluated by one node.
#[derive(Debug, Default)]
pub struct Rollouts {
    by_service: BTreeMap<ServiceId, Rollout>,
    /// Number of times that counts by route were selected.
    report_round: usize,
}

impl Rollouts {
    /// Starts a rollout unless it or a newer one is known; returns whether it was started.
    pub fn begin(
        &mut self,
        now: Instant,
        service: &ServiceId,
        to: &VersionId,
        order: u64,
        time: Duration,
    ) -> bool {
        let is_new = self.by_service.get(service).is_none_or(|known| known.order < order);
        if is_new {
            self.by_service.insert(service.clone(), Rollout::new(now, to.clone(), order, time));
        }
        is_new
    }

    /// Gives the rollout of a version another order number, because its order was written again; its evidence and state stay.
    pub fn renumber(&mut self, service: &ServiceId, to: &VersionId, order: u64) {
        if let Some(rollout) = self.by_service.get_mut(service).filter(|rollout| rollout.to == *to)
        {
            rollout.order = rollout.order.max(order);
        }
    }

    /// Returns whether a rollout of a service is known.
    pub fn has_rollout(&self, service: &ServiceId) -> bool {
        self.by_service.contains_key(service)
    }

    /// Applies the recorded outcome of the rollout of a version.
    pub fn adopt(&mut self, service: &ServiceId, to: &VersionId, state: RolloutState) {
        if let Some(rollout) = self.by_service.get_mut(service).filter(|rollout| rollout.to == *to)
        {
            rollout.adopt(state);
        }
    }

    /// Returns the required and the avoided version of a request; empty for none.
    pub fn version_constraints(
        &mut self,
        service: &ServiceId,
        request_id: &str,
        route: RouteHash,
        has_new_targets: bool,
    ) -> (VersionId, VersionId) {
        let Some(rollout) = self.by_service.get_mut(service) else { return Default::default() };
        if has_new_targets && rollout.is_canary_request(request_id, route) {
            (rollout.to.clone(), VersionId::new())
        } else if rollout.is_new_version_avoided() {
            (VersionId::new(), rollout.to.clone())
        } else {
            Default::default()
        }
    }

    /// Returns the version that the rollout of a service introduces, or `None` if no rollout is known.
    pub fn new_version(&self, service: &ServiceId) -> Option<&VersionId> {
        self.by_service.get(service).map(|rollout| &rollout.to)
    }

    /// Records an answer of a target for the evaluation of its version.
    pub fn record(
        &mut self,
        service: &ServiceId,
        version: &VersionId,
        route: RouteHash,
        has_failed: bool,
        time: AnswerTime,
    ) {
        if let Some(rollout) = self.by_service.get_mut(service) {
            rollout.record(version, route, has_failed, time);
        }
    }

    /// Records an answer that nobody waited for to its end.
    pub fn record_unfinished(
        &mut self,
        service: &ServiceId,
        version: &VersionId,
        route: RouteHash,
        time: AnswerTime,
    ) {
        if let Some(rollout) = self.by_service.get_mut(service) {
            rollout.record_unfinished(version, route, time);
        }
    }

    /// Records the counts by route of a peer; ignores those about an unknown service or another order.
    pub fn record_peer_routes(
        &mut self,
        node: &NodeId,
        service: u64,
        order: u64,
        routes: &[(RouteHash, RolloutCounts)],
    ) {
        let mut known = self.by_service.iter_mut();
        if let Some((_, rollout)) = known.find(|(name, _)| service_hash(name) == service)
            && rollout.order == order
        {
            rollout.record_peer_routes(node, routes);
        }
    }

    /// Returns messages with counts of this node by route; each call selects others if there are many.
    pub(crate) fn route_reports(&mut self) -> Vec<PeerMessage> {
        self.report_round = self.report_round.wrapping_add(1);
        let offset = self.report_round.wrapping_mul(MAX_REPORTED_ROUTES / 2);
        let reports = self.by_service.iter().map(|(service, rollout)| PeerMessage::RolloutRoutes {
            service: service_hash(service),
            order: rollout.order,
            routes: rollout.own_route_counts(MAX_REPORTED_ROUTES, offset),
        });
        let has_routes = |message: &PeerMessage| matches!(message, PeerMessage::RolloutRoutes { routes, .. } if !routes.is_empty());
        reports.filter(has_routes).collect()
    }

    /// Records the report of a peer; ignores one about an unknown service or another order.
    pub fn record_peer(&mut self, node: &NodeId, report: &RolloutReport) {
        let known =
            self.by_service.iter_mut().find(|(service, _)| service_hash(service) == report.service);
        if let Some((_, rollout)) = known
            && rollout.order == report.order
        {
            rollout.record_peer(node, report.counts, report.state);
        }
    }

    /// Returns the reports of this node on all rollouts, for heartbeats.
    pub fn reports(&self) -> impl Iterator<Item = RolloutReport> {
        self.by_service.iter().map(|(service, rollout)| RolloutReport {
            service: service_hash(service),
            order: rollout.order,
            counts: rollout.own_counts(),
            state: rollout.state(),
        })
    }

    /// Evaluates all rollouts and returns their outcomes.
    pub fn decide(
        &mut self,
        now: Instant,
        has_targets: impl Fn(&ServiceId, &VersionId) -> bool,
    ) -> Vec<RolloutOutcome> {
        self.by_service
            .iter_mut()
            .map(|(service, rollout)| {
                let has_new_targets = has_targets(service, &rollout.to);
                let state = rollout.decide(now, has_new_targets);
                RolloutOutcome {
                    service: service.clone(),
                    to: rollout.to.clone(),
                    order: rollout.order,
                    state,
                }
            })
            .collect()
    }
}

fn service_hash(service: &ServiceId) -> u64 {
    stable_hash(&[service.as_bytes()])
}
