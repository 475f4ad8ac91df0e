use super::Gateway;
use crate::version::Target;
use slog::{info, warn};
use std::time::Instant;

/// Limits that targets name in their responses.
impl Gateway {
    /// Records the request limit that a response of a target names, or that it names none. A limit that can't be parsed changes
    /// nothing.
    pub(crate) fn record_target_limit(
        &self,
        target: &Target,
        request: &str,
        sent_at: Instant,
        named: Option<&str>,
    ) {
        let per_s = match named.map(str::parse::<f64>) {
            Some(Ok(per_s)) if per_s.is_finite() && per_s >= 0.0 => Some(per_s),
            None => None,
            Some(_) => {
                warn!(self.log, "target names an invalid request limit"; "target" => &target.id,
                    "request" => request, "limit" => named);
                return;
            }
        };
        let (now, mut actions) = (Instant::now(), Vec::new());
        let is_changed = self.coordinator.borrow_mut().record_limit(
            now,
            &target.id,
            sent_at,
            per_s,
            &mut actions,
        );
        self.perform_actions(actions);
        if is_changed {
            info!(self.log, "target limit changed"; "target" => &target.id, "service" => &target.service,
                "requests_per_s" => per_s, "request" => request);
        }
    }
}
