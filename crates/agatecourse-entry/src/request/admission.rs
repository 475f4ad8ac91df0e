use crate::process::{FleetView, NodeState, OrganisationGuard, RunningGuard, Verdict};
use crate::request::RequestError;
use actix_web::HttpRequest;
use actix_web::http::header::{AUTHORIZATION, HeaderMap};
use agatecourse_config::RouteConfig;
use agatecourse_core::request::OrganisationLimitError;
use agatecourse_types::{Fingerprint, OrganisationId, RequestId, ResultCode, Tier};
use std::sync::Arc;
use std::time::{Duration, Instant};

const MAX_HEADERS_BYTES: usize = 16 * 1024;
const MAX_KEY_BYTES: usize = 256;
// One day bounds the memory of queued requests; a longer deadline most likely has the wrong unit.
const MAX_DEADLINE: Duration = Duration::from_hours(24);

/// An authenticated request with its caller's organisation and tier, its deadline and its configuration.
#[derive(Debug)]
pub(crate) struct Admission {
    pub(crate) request_id: RequestId,
    /// Configuration under which the request was accepted.
    pub(crate) view: Arc<FleetView>,
    pub(crate) organisation: OrganisationId,
    /// Rank of the caller's tier.
    pub(crate) tier: Tier,
    pub(crate) accepted_at: Instant,
    pub(crate) deadline: Instant,
    /// `<organisation>/<idempotency key>`, so that organisations can't collide; absent without a key.
    pub(crate) key: Option<String>,
    pub(crate) running: RunningGuard,
    /// Routes that the caller may use; empty when it may use all.
    allowed_routes: Vec<String>,
}

impl Admission {
    /// Validates the headers of a request: size, API key, deadline and idempotency key.
    ///
    /// # Errors
    ///
    /// Returns an error when the node is shutting down or has no configuration, and when a header is invalid.
    pub(crate) fn check(
        state: &NodeState,
        request: &HttpRequest,
        request_id: RequestId,
    ) -> Result<Self, RequestError> {
        let accepted_at = Instant::now();
        let running = state.gate.try_enter().ok_or_else(|| {
            RequestError::new(ResultCode::ShuttingDown, "the node takes no new requests")
                .with_retry_after(Duration::from_secs(1))
        })?;
        let view = state.view().ok_or_else(|| {
            RequestError::new(ResultCode::NotReady, "the node has read no configuration yet")
                .with_retry_after(Duration::from_secs(1))
        })?;
        let headers = request.headers();
        check_headers_size(headers)?;
        let caller = bearer_key(headers).and_then(|key| view.caller(key)).ok_or_else(|| {
            RequestError::new(
                ResultCode::Unauthorized,
                "expected a known API key in `Authorization: Bearer`",
            )
        })?;
        let tier = view.config.tiers.get(&caller.tier).ok_or_else(|| {
            RequestError::new(ResultCode::Unauthorized, "the tier of the caller is not configured")
        })?;
        let deadline = accepted_at + read_deadline(headers)?.unwrap_or(tier.deadline);
        let key =
            read_idempotency_key(headers)?.map(|key| format!("{}/{key}", caller.organisation));
        Ok(Self {
            request_id,
            organisation: caller.organisation.clone(),
            tier: tier.rank,
            accepted_at,
            deadline,
            key,
            running,
            allowed_routes: caller.routes.clone(),
            view: view.clone(),
        })
    }

    /// Returns the route `name` if the caller may use it.
    ///
    /// # Errors
    ///
    /// Returns an error when no route has this name and when the caller may not use it.
    pub(crate) fn route(&self, name: &str) -> Result<&RouteConfig, RequestError> {
        let route = self.view.config.routes.get(name).ok_or_else(|| {
            RequestError::new(ResultCode::UnknownRoute, format!("no route is named {name:?}"))
        })?;
        let allowed = self.allowed_routes.is_empty() || self.allowed_routes.contains(&route.name);
        if allowed {
            Ok(route)
        } else {
            Err(RequestError::new(ResultCode::Forbidden, format!("route {name:?} is not allowed")))
        }
    }

    /// Counts the request against the rate and concurrency limits of its organisation.
    ///
    /// # Errors
    ///
    /// Returns an error with a time to retry when a limit is reached.
    pub(crate) fn enter_organisation(
        &self,
        state: &NodeState,
    ) -> Result<OrganisationGuard, RequestError> {
        state.limits.try_start(&self.organisation).map_err(|error| {
            let retry_after = match error {
                OrganisationLimitError::Rate { retry_after, .. } => retry_after,
                // It is unknown when a running request will end.
                _ => Duration::from_secs(1),
            };
            RequestError::new(ResultCode::OrganisationLimit, error.to_string())
                .with_retry_after(retry_after)
        })
    }
}

/// Rejects a quarantined fingerprint; returns the fingerprint if it is suspect.
pub(crate) fn check_quarantine(
    state: &NodeState,
    fingerprint: Fingerprint,
) -> Result<Option<Fingerprint>, RequestError> {
    match state.quarantine.verdict(fingerprint) {
        Some(Verdict::Quarantined) => Err(RequestError::new(
            ResultCode::Quarantined,
            format!("fingerprint {fingerprint:016x} crashed a target; an operator can release it"),
        )),
        Some(Verdict::Suspect) => Ok(Some(fingerprint)),
        None => Ok(None),
    }
}

fn check_headers_size(headers: &HeaderMap) -> Result<(), RequestError> {
    let size: usize = headers
        .iter()
        .map(|(name, value)| name.as_str().len() + value.len() + ": \r\n".len())
        .sum();
    if size > MAX_HEADERS_BYTES {
        let detail = format!("expected at most {MAX_HEADERS_BYTES} bytes of headers");
        return Err(RequestError::new(ResultCode::Malformed, detail));
    }
    Ok(())
}

fn bearer_key(headers: &HeaderMap) -> Option<&str> {
    let value = headers.get(AUTHORIZATION)?.to_str().ok()?;
    let (scheme, key) = value.split_once(' ')?;
    scheme.eq_ignore_ascii_case("bearer").then(|| key.trim())
}

/// Returns the bearer token of a request to an operator endpoint.
pub(crate) fn bearer_token(request: &HttpRequest) -> Option<&str> {
    bearer_key(request.headers())
}

fn read_deadline(headers: &HeaderMap) -> Result<Option<Duration>, RequestError> {
    let Some(value) = headers.get("x-deadline-ms") else { return Ok(None) };
    let deadline = value
        .to_str()
        .ok()
        .and_then(|text| text.parse().ok())
        .map(Duration::from_millis)
        .filter(|deadline| !deadline.is_zero() && *deadline <= MAX_DEADLINE);
    deadline.map(Some).ok_or_else(|| {
        let limit = MAX_DEADLINE.as_millis();
        let detail = format!("`X-Deadline-Ms`: expected a whole number from 1 to {limit}");
        RequestError::new(ResultCode::BadDeadline, detail)
    })
}

fn read_idempotency_key(headers: &HeaderMap) -> Result<Option<&str>, RequestError> {
    let Some(value) = headers.get("idempotency-key") else { return Ok(None) };
    let key = value.to_str().ok().filter(|key| !key.is_empty() && key.len() <= MAX_KEY_BYTES);
    key.map(Some).ok_or_else(|| {
        let detail = format!("`Idempotency-Key`: expected 1 to {MAX_KEY_BYTES} visible characters");
        RequestError::new(ResultCode::Malformed, detail)
    })
}
