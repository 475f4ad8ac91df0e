use super::Gateway;
use crate::connection::ResponseHead;
use crate::request::parse_seconds;
use crate::version::{ServiceId, Target};
use agatecourse_core::request::dispatch::{Closure, TargetSignal};
use slog::{info, warn};
use std::time::{Duration, Instant};

/// Error for a number in a response that can't be used.
struct InvalidNumber;

/// Signals of targets in their responses: request limits, pauses and departures.
impl Gateway {
    /// Records what a response of a target says about later requests: the limit that it names, the pause that it asks for when it
    /// refuses a request, and whether it leaves. A value that can't be parsed changes nothing.
    pub(crate) fn record_target_signal(
        &self,
        target: &Target,
        request: &str,
        sent_at: Instant,
        head: &ResponseHead,
    ) {
        let names = &self.header_names;
        let (Ok(limit_per_s), Ok(brittle_per_s)) = (
            self.named_per_s(target, request, head, &names.target_limit),
            self.named_per_s(target, request, head, &names.target_brittleness),
        ) else {
            return;
        };
        let named_pause = head.headers.get("retry-after").filter(|_| head.status == 503);
        let pause = named_pause.map_or(Some(Duration::ZERO), parse_seconds).unwrap_or_else(|| {
            warn!(self.log, "target asks for an invalid pause"; "target" => &target.id,
                "request" => request, "retry_after" => named_pause);
            Duration::ZERO
        });
        let is_leaving = head.headers.get(&names.target_leaving).is_some_and(|value| value != "0");
        let signal = TargetSignal { limit_per_s, brittle_per_s, pause, is_leaving };
        let (now, mut actions) = (Instant::now(), Vec::new());
        let change = self.coordinator.borrow_mut().record_signal(
            now,
            (&target.id, target.started_unix_ms),
            sent_at,
            signal,
            &mut actions,
        );
        self.perform_actions(actions);
        if change.limit {
            info!(self.log, "target limit changed"; "target" => &target.id, "service" => &target.service,
                "requests_per_s" => limit_per_s, "request" => request);
        }
        if change.brittleness {
            info!(self.log, "target brittleness changed"; "target" => &target.id, "service" => &target.service,
                "rejections_per_s" => brittle_per_s, "request" => request);
        }
        if change.pause || change.leaving {
            info!(self.log, "target closed to this node"; "target" => &target.id, "service" => &target.service,
                "pause_ms" => pause.as_millis() as u64, "leaving" => is_leaving, "status" => head.status,
                "request" => request);
        }
    }

    /// Returns the number per second that a response names in a header, `None` if it has none, or an error if the number is invalid.
    fn named_per_s(
        &self,
        target: &Target,
        request: &str,
        head: &ResponseHead,
        header: &str,
    ) -> Result<Option<f64>, InvalidNumber> {
        let Some(text) = head.headers.get(header) else { return Ok(None) };
        match text.parse::<f64>() {
            Ok(per_s) if per_s.is_finite() && per_s >= 0.0 => Ok(Some(per_s)),
            _ => {
                warn!(self.log, "target names an invalid number"; "target" => &target.id,
                    "request" => request, "header" => header, "value" => text);
                Err(InvalidNumber)
            }
        }
    }

    /// Returns why this node may not send requests to a target, `None` if it may.
    pub(crate) fn target_closure(&self, target: &Target) -> Option<Closure> {
        if self.is_evacuated(&target.zone) {
            return Some(Closure::Evacuated);
        }
        self.coordinator.borrow().closure(Instant::now(), &target.id, target.started_unix_ms)
    }

    /// Returns the time until the first target of a service takes requests of this node again; `None` if one does now or all leave.
    pub(crate) fn pause_of_all_targets(&self, service: &ServiceId) -> Option<Duration> {
        let now = Instant::now();
        let mut first: Option<Duration> = None;
        for target in self.targets.borrow().values().filter(|target| target.service == *service) {
            match self.target_closure(target) {
                None => return None,
                Some(Closure::Leaving | Closure::Evacuated) => {}
                Some(Closure::Paused(until)) => {
                    let left = until.saturating_duration_since(now);
                    first = Some(first.map_or(left, |known| known.min(left)));
                }
            }
        }
        first
    }
}
