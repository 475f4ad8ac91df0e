use super::RequestState;
use crate::process::Gateway;
use crate::request::attempt::AttemptEnd;
use crate::request::quota_reservation::QuotaReservation;
use crate::request::{CallerRequest, Reply};
use crate::version::Target;
use slog::{info, warn};
use std::time::Instant;

impl RequestState<'_> {
    /// Counts the end of an attempt; logs it unless a stream or a response with a status below 500 was received.
    pub(super) fn log_attempt(&self, target: &Target, owner: &str, end: &AttemptEnd) {
        let (name, detail) = match end {
            AttemptEnd::Complete { head, .. } if head.status < 500 => ("answered", String::new()),
            AttemptEnd::Complete { head, .. } => ("failed", format!("status {}", head.status)),
            AttemptEnd::Stream { .. } => ("streaming", String::new()),
            AttemptEnd::NotSent { reason } => ("not sent", reason.clone()),
            AttemptEnd::Closed { closure } => ("closed", format!("{closure:?}")),
            AttemptEnd::NotRun { status } => ("not run", format!("status {status}")),
            AttemptEnd::WrongTarget => ("not run", "address belongs to another target".to_string()),
            AttemptEnd::Lost { reason } => ("lost", reason.clone()),
            AttemptEnd::NoSocket => ("not sent", "all sockets are in use".to_string()),
            AttemptEnd::NoMemory { reason } => ("no memory", reason.clone()),
        };
        let gateway = self.gateway;
        gateway.metrics.attempts.with_label_values(&[self.admitted.service.as_str(), name]).inc();
        let relation = if target.zone == gateway.settings.zone { "home" } else { "away" };
        gateway.metrics.attempts_by_zone.with_label_values(&[target.zone.as_str(), relation]).inc();
        if matches!(name, "answered" | "streaming") {
            return;
        }
        warn!(gateway.log, "attempt ended without an answer"; "request" => self.request.id(&gateway.header_names),
            "target" => &target.id, "zone" => &target.zone, "owner" => owner, "end" => name, "detail" => detail,
            "sent_attempts" => self.sent_attempts, "max_attempts" => self.admitted.route.max_attempts,
            "targets_age_ms" => gateway.targets_age(Instant::now()).as_millis() as u64);
    }
}

/// Logs one line for each request, with the reason of its outcome, and updates the request metrics.
pub(super) fn log_reply(
    gateway: &Gateway,
    request: &CallerRequest,
    state: Option<&RequestState<'_>>,
    reply: &Reply,
) {
    let elapsed = request.arrived.elapsed();
    let (code, outcome, reason) = match reply {
        Reply::Complete { status, .. } => (u32::from(*status), "answered", String::new()),
        Reply::StreamEnded => (200, "streamed", String::new()),
        Reply::StreamBroken { reason } => (0, "stream broken", reason.clone()),
        Reply::Error { code, reason, .. } => {
            (u32::from(code.number()), code.title(), reason.clone())
        }
    };
    let retry_after_ms = match reply {
        Reply::Error { retry_after: Some(wait), .. } => Some(wait.as_millis() as u64),
        _ => None,
    };
    let route = state.map_or("", |state| state.admitted.route.name.as_str());
    gateway.metrics.requests.with_label_values(&[route, &code.to_string()]).inc();
    gateway.metrics.elapsed_seconds.observe(elapsed.as_secs_f64());
    info!(gateway.log, "request ended";
        "request" => request.id(&gateway.header_names),
        "code" => code,
        "outcome" => outcome,
        "reason" => reason,
        "route" => route,
        "service" => state.map(|state| state.admitted.service.as_str()),
        "organisation" => state.and_then(|state| state.admitted.organisation.as_deref()),
        "quota_amount" => state.and_then(|state| state.admitted.quota.as_ref()).map(QuotaReservation::amount),
        "rank" => state.map(|state| state.admitted.rank),
        "target" => state.map(|state| state.last_target.as_str()),
        "attempts" => state.map(|state| state.sent_attempts + u32::from(state.is_sending)),
        "granted_after_ms" => state.and_then(|state| state.granted_after).map(|wait| wait.as_millis() as u64),
        "first_event_ms" => state.and_then(|state| state.relay.first_event)
            .map(|first| first.saturating_duration_since(request.arrived).as_millis() as u64),
        "elapsed_ms" => elapsed.as_millis() as u64,
        "deadline_ms" => state.map(|state| state.deadline.saturating_duration_since(request.arrived).as_millis() as u64),
        "retry_after_ms" => retry_after_ms,
        "deployment" => state.map(|state| state.admitted.deployment_version));
}
