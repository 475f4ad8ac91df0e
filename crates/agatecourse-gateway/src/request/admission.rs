use super::quota_reservation::QuotaReservation;
use super::suspect_keys::suspect_keys;
use super::workload::Workload;
use super::{CallerRequest, Reply};
use crate::process::{Gateway, HomeZones};
use crate::version::{Deployment, Route, ServiceId};
use agatecourse_core::request::{CrashVerdict, SuspectKeys};
use agatecourse_types::{OrganisationId, ResultCode, stable_hash};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// `Retry-After` while the node has not loaded a configuration.
const NOT_READY_RETRY: Duration = Duration::from_millis(500);
/// `Retry-After` when an organisation's quota is exhausted; a quarter of the users' quota window of 8 s.
const QUOTA_RETRY: Duration = Duration::from_secs(2);

/// `Retry-After` when a quota bound below the quota could not be raised in time.
const QUOTA_BOUND_RETRY: Duration = Duration::from_millis(500);

/// Reason why a request did not pass admission.
#[derive(Debug)]
pub(crate) enum AdmissionError {
    /// The request is refused with this reply.
    Refused(Reply),
    /// A quota bound below the organisation's quota is reached; the request is refused with this reply unless the bound is
    /// raised soon.
    QuotaBound(Reply),
}

impl From<Reply> for AdmissionError {
    fn from(reply: Reply) -> Self {
        Self::Refused(reply)
    }
}

/// A request that passed admission, with its route, priority and quota reservation.
#[derive(Debug)]
pub(crate) struct AdmittedRequest {
    pub(crate) route: Route,
    pub(crate) service: ServiceId,
    pub(crate) organisation: Option<OrganisationId>,
    /// Priority; 0 is served first.
    pub(crate) rank: u32,
    pub(crate) workload: Workload,
    pub(crate) deployment_version: u64,
    /// Quota reservation of the organisation; `None` when no quota applies.
    pub(crate) quota: Option<QuotaReservation>,
    /// True when the configuration has organisations; the `Authorization` header then holds an API key for the node and is
    /// not forwarded to targets.
    pub(crate) uses_api_keys: bool,
    /// Keys under which crashes of this request's targets are counted; the first identifies repeats of the request.
    pub(crate) suspect_keys: SuspectKeys,
    /// Zones whose targets may run it; `None` for all.
    pub(crate) home_zones: Option<HomeZones>,
}

/// Checks route, quarantine, API key and quota of a request; returns the refusal when one of them fails.
pub(crate) fn admit(
    gateway: &Rc<Gateway>,
    now: Instant,
    request: &CallerRequest,
) -> Result<AdmittedRequest, AdmissionError> {
    let Some(deployment) = gateway.deployment() else {
        let reason = "no configuration is known yet";
        return Err(Reply::refusal(ResultCode::NotReady, NOT_READY_RETRY, reason).into());
    };
    let host = request.head.headers.get("host").unwrap_or_default();
    let Some(route) = deployment.route(host, &request.head.path).cloned() else {
        let reason = format!("configuration {}", deployment.version);
        return Err(Reply::error(ResultCode::UnknownRoute, reason).into());
    };
    let suspect_keys = suspect_keys(request, &gateway.header_names);
    let verdict = gateway.crash_verdict(now, &suspect_keys);
    if let Some((retry_after, reason)) = quarantine_reason(&verdict) {
        return Err(Reply::refusal(ResultCode::Quarantined, retry_after, reason).into());
    }
    let workload = Workload::from_request(request, &gateway.header_names);
    let organisation = find_organisation(gateway, &deployment, &route, request)?;
    let service = choose_service(&route, request, &gateway.header_names.request_id);
    let mut admitted = AdmittedRequest {
        service,
        organisation: organisation.clone(),
        rank: route.priority,
        workload,
        deployment_version: deployment.version,
        quota: None,
        suspect_keys,
        uses_api_keys: !deployment.organisations.is_empty(),
        home_zones: gateway.home_zones(&[&route.home_regions]),
        route,
    };
    if let Some(organisation) = organisation.and_then(|name| deployment.organisations.get(&name)) {
        let homes = [&admitted.route.home_regions, &organisation.home_regions];
        admitted.home_zones = gateway.home_zones(&homes);
        admitted.rank =
            organisation.priority.map_or(admitted.rank, |priority| priority * 16 + admitted.rank);
        if let Some(quota) = organisation.quota {
            let amount = if quota.counts_tokens {
                admitted.workload.quota_tokens(quota.default_tokens)
            } else {
                1
            };
            if let Err(refusal) = gateway.reserve_quota(now, organisation, amount) {
                let reason = format!(
                    "{} asks for {amount}, {} of {} used, {} of them here, {} of {} taken this period, configuration {}",
                    organisation.name,
                    refusal.used,
                    refusal.limit,
                    refusal.own,
                    refusal.taken,
                    refusal.share,
                    deployment.version
                );
                let code = ResultCode::OrganisationLimit;
                return Err(if refusal.is_bounded {
                    let reason = format!("{reason}, a stored bound below the quota");
                    AdmissionError::QuotaBound(Reply::refusal(code, QUOTA_BOUND_RETRY, reason))
                } else {
                    AdmissionError::Refused(Reply::refusal(code, QUOTA_RETRY, reason))
                });
            }
            admitted.quota = Some(QuotaReservation::new(gateway, &organisation.name, amount));
        }
    }
    Ok(admitted)
}

/// Returns the `Retry-After` and the reason of the refusal of a quarantined request; `None` for another one.
pub(crate) fn quarantine_reason(verdict: &CrashVerdict) -> Option<(Duration, String)> {
    let CrashVerdict::Quarantined { key, crashes, retry_after } = verdict else { return None };
    Some((*retry_after, format!("{crashes} targets have crashed with key {key:x} of the request")))
}

/// Returns the organisation of the request's API key. Without a known key, returns `None` on a public route, else a refusal.
fn find_organisation(
    gateway: &Gateway,
    deployment: &Rc<Deployment>,
    route: &Route,
    request: &CallerRequest,
) -> Result<Option<OrganisationId>, Reply> {
    if deployment.organisations.is_empty() {
        return Ok(None);
    }
    let known_organisation =
        request.api_key(&gateway.header_names).and_then(|key| deployment.organisation_of_key(key));
    match known_organisation {
        Some(organisation) => Ok(Some(organisation.name.clone())),
        None if route.is_public => Ok(None),
        None => {
            let reason = format!("key is unknown in configuration {}", deployment.version);
            Err(Reply::error(ResultCode::Unauthorized, reason))
        }
    }
}

/// Selects a service of the route's weighted split by a hash of the request id, so that all nodes select the same one.
fn choose_service(route: &Route, request: &CallerRequest, id_header: &str) -> ServiceId {
    let total: u64 = route.split.iter().map(|(_, weight)| u64::from(*weight)).sum();
    let id = request.head.headers.get(id_header).unwrap_or_default();
    let mut point =
        if total == 0 { 0 } else { stable_hash(&[route.name.as_bytes(), id.as_bytes()]) % total };
    for (service, weight) in &route.split {
        if point < u64::from(*weight) {
            return service.clone();
        }
        point -= u64::from(*weight);
    }
    route.split.first().map(|(service, _)| service.clone()).unwrap_or_default()
}
