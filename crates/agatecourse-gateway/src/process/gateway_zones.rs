use super::Gateway;
use super::gateway::gauge_value;
use crate::version::{Deployment, Regions, ServiceId, Target};
use agatecourse_core::request::dispatch::{ColdRules, ColdStarts, DispatchTarget};
use agatecourse_types::{RegionId, TargetId, ZoneId};
use slog::info;
use smallvec::SmallVec;
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

/// Bounds of the requests that a cold target may get in one second, all nodes together.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ColdBounds {
    /// Factor of the requests per second that the target takes.
    pub ratio: f64,
    /// Requests beyond that.
    pub extra: f64,
}

/// Zones whose targets may run a request; in the order of their names.
pub(crate) type HomeZones = SmallVec<[ZoneId; 2]>;

/// What the operator and the targets have said about zones and starts.
#[derive(Debug, Default)]
pub(super) struct ZoneStates {
    /// Services that have had targets.
    services: RefCell<BTreeSet<ServiceId>>,
    /// Zones whose targets get no requests.
    evacuated: RefCell<BTreeSet<ZoneId>>,
    /// Time at which each zone was last taken back.
    returned_at: RefCell<BTreeMap<ZoneId, Instant>>,
    /// End of the cold time of each target that is cold.
    cold_until: RefCell<BTreeMap<TargetId, Instant>>,
}

/// Targets that get no requests, or few, because of their zone or their start.
impl Gateway {
    /// Replaces the zones whose targets get no requests until the operator takes the zone back.
    pub fn set_evacuated_zones(&self, now: Instant, zones: &BTreeSet<ZoneId>) {
        let before = self.zones.evacuated.replace(zones.clone());
        if before == *zones {
            return;
        }
        let returned: Vec<&ZoneId> = before.difference(zones).collect();
        for zone in &returned {
            self.zones.returned_at.borrow_mut().insert((*zone).clone(), now);
        }
        info!(self.log, "evacuated zones changed"; "evacuated" => format!("{zones:?}"),
            "taken_back" => format!("{returned:?}"));
        self.metrics.evacuated_zones.set(gauge_value(zones.len()));
        self.update_dispatch_targets(now);
    }

    /// Returns the zones whose targets get no requests.
    pub fn evacuated_zones(&self) -> BTreeSet<ZoneId> {
        self.zones.evacuated.borrow().clone()
    }

    /// Returns whether the targets of a zone get no requests.
    pub fn is_evacuated(&self, zone: &ZoneId) -> bool {
        self.zones.evacuated.borrow().contains(zone)
    }

    /// Records until when targets are cold.
    pub(super) fn record_cold_targets(&self, now: Instant, targets: &[Target]) {
        let cold = targets.iter().filter(|target| !target.cold_remaining.is_zero());
        let cold = cold.map(|target| (target.id.clone(), now + target.cold_remaining));
        *self.zones.cold_until.borrow_mut() = cold.collect();
    }

    /// Returns the number of targets that have said that they are cold.
    pub(crate) fn cold_target_count(&self, now: Instant) -> usize {
        self.zones.cold_until.borrow().values().filter(|until| now < **until).count()
    }

    /// Passes the targets that may get requests to the queues.
    pub(super) fn update_dispatch_targets(&self, now: Instant) {
        let mut by_service: BTreeMap<ServiceId, Vec<DispatchTarget>> = BTreeMap::new();
        for service in self.zones.services.borrow().iter() {
            by_service.entry(service.clone()).or_default();
        }
        let mut cold_starts: BTreeMap<ServiceId, ColdStarts> = BTreeMap::new();
        let deployment = self.deployment();
        for target in self.targets.borrow().values() {
            let targets = by_service.entry(target.service.clone()).or_default();
            if self.is_evacuated(&target.zone) {
                continue;
            }
            targets.push(DispatchTarget {
                id: target.id.clone(),
                slots: target.slots,
                zone: target.zone.clone(),
                version: target.version.clone(),
                started_unix_ms: target.started_unix_ms,
            });
            let Some(rules) = self.cold_rules(deployment.as_deref(), &target.service) else {
                continue;
            };
            let starts = cold_starts.entry(target.service.clone()).or_default();
            starts.rules = Some(rules);
            if let Some(until) = self.cold_until(now, target, rules.duration) {
                starts.cold_until.insert(target.id.clone(), until);
            }
        }
        *self.zones.services.borrow_mut() = by_service.keys().cloned().collect();
        let mut actions = Vec::new();
        for (service, targets) in by_service {
            let mut coordinator = self.coordinator.borrow_mut();
            let starts = cold_starts.remove(&service).unwrap_or_default();
            coordinator.set_cold_starts(now, &service, starts);
            coordinator.set_targets(now, &service, targets, &mut actions);
        }
        self.perform_actions(actions);
    }

    /// Returns what cold targets of a service take, if the configuration and the settings say so.
    fn cold_rules(
        &self,
        deployment: Option<&Deployment>,
        service: &ServiceId,
    ) -> Option<ColdRules> {
        let bounds = self.settings.cold_bounds?;
        let cold_start = deployment?.services.get(service)?.cold_start?;
        Some(ColdRules {
            per_s: cold_start.requests_per_s,
            duration: cold_start.duration,
            max_in_a_second: cold_start.requests_per_s * bounds.ratio + bounds.extra,
        })
    }

    /// Returns the end of the cold time of a target, `None` if it is not cold. The targets of a zone that was taken back may be cold, which
    /// their rows may tell later than the operator's row is gone.
    fn cold_until(&self, now: Instant, target: &Target, duration: Duration) -> Option<Instant> {
        let told = self.zones.cold_until.borrow().get(&target.id).copied();
        let returned_at = self.zones.returned_at.borrow().get(&target.zone).copied();
        told.max(returned_at.map(|at| at + duration)).filter(|until| now < *until)
    }

    /// Returns the zones whose targets may run a request, `None` for all. Where several home regions bind it, those of its route and of its
    /// organisation, the region of a zone must be in each of them.
    pub(crate) fn home_zones(&self, homes: &[&Option<Regions>]) -> Option<HomeZones> {
        if homes.iter().all(|regions| regions.is_none()) {
            return None;
        }
        let is_home = |region: &RegionId| {
            homes.iter().copied().flatten().all(|regions| regions.contains(region))
        };
        let zones = self.settings.region_of_zone.iter();
        Some(zones.filter(|(_, region)| is_home(region)).map(|(zone, _)| zone.clone()).collect())
    }

    /// Returns whether the home zones of a request, or the evacuations of zones, leave none of the targets of its service.
    pub(crate) fn zones_exclude_all_targets(
        &self,
        service: &ServiceId,
        homes: Option<&HomeZones>,
    ) -> bool {
        if homes.is_none() && self.zones.evacuated.borrow().is_empty() {
            return false;
        }
        let may_run = |zone: &ZoneId| {
            !self.is_evacuated(zone) && homes.is_none_or(|zones| zones.contains(zone))
        };
        let targets = self.targets.borrow();
        !targets.values().any(|target| target.service == *service && may_run(&target.zone))
    }
}
