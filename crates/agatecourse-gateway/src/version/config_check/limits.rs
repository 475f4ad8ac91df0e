//! Limits that contradict each other.

use super::Finding;
use crate::version::{ConfigDraft, Organisation, Route, RouteKind};
use std::time::Duration;

/// Attempts above which a request would try more targets than a failure of a whole availability zone explains.
const MANY_ATTEMPTS: u32 = 8;

pub(super) fn check(draft: &ConfigDraft) -> Vec<Finding> {
    let mut findings = Vec::new();
    for route in &draft.routes {
        check_route(route, &mut findings);
    }
    for organisation in &draft.organisations {
        check_quota(organisation, &mut findings);
    }
    let limits = &draft.limits;
    let sizes = [("header bytes", limits.header_bytes), ("body bytes", limits.body_bytes)];
    for (field, bytes) in sizes.into_iter().filter(|(_, bytes)| *bytes == 0) {
        findings.push(Finding::error(
            "limits".to_string(),
            field,
            format!("{bytes} refuses every request that has any"),
        ));
    }
    let times = [("header timeout", limits.header_timeout), ("idle timeout", limits.idle_timeout)];
    for (field, _) in times.into_iter().filter(|(_, time)| time.is_zero()) {
        findings.push(Finding::error(
            "limits".to_string(),
            field,
            "closes every connection at once",
        ));
    }
    findings
}

fn check_route(route: &Route, findings: &mut Vec<Finding>) {
    let entry = || format!("route {}", route.name);
    let millis = |time: Duration| time.as_millis();
    if route.timeout.is_zero() {
        findings.push(Finding::error(entry(), "timeout", "every request ends at once"));
    } else if route.objective > route.timeout {
        let message = format!(
            "{} ms is after the timeout of {} ms, so that no answer can be late",
            millis(route.objective),
            millis(route.timeout)
        );
        findings.push(Finding::error(entry(), "objective", message));
    }
    if route.kind.is_stream() && route.event_gap > route.timeout {
        let message = format!(
            "{} ms is longer than the timeout of {} ms",
            millis(route.event_gap),
            millis(route.timeout)
        );
        findings.push(Finding::error(entry(), "event gap", message));
    }
    if !route.kind.is_stream() && !route.event_gap.is_zero() {
        findings.push(Finding::warning(
            entry(),
            "event gap",
            "has no effect on a route without streams",
        ));
    }
    if route.max_attempts > 1 && route.kind == RouteKind::AtMostOnce {
        let message = format!(
            "{} attempts: a request runs at most once, so that only one that no target has run gets another",
            route.max_attempts
        );
        findings.push(Finding::warning(entry(), "max attempts", message));
    }
    if route.max_attempts > MANY_ATTEMPTS {
        let message = format!(
            "{} attempts draw on the retry budget that all requests share",
            route.max_attempts
        );
        findings.push(Finding::warning(entry(), "max attempts", message));
    }
}

fn check_quota(organisation: &Organisation, findings: &mut Vec<Finding>) {
    let Some(quota) = organisation.quota else { return };
    let entry = || format!("organisation {}", organisation.name);
    if quota.rate_per_s == 0 {
        findings.push(Finding::error(
            entry(),
            "quota",
            "a rate below one a second is rounded down to none",
        ));
    }
    if !quota.counts_tokens {
        return;
    }
    if quota.default_tokens > quota.rate_per_s.max(quota.burst) {
        let message = format!(
            "a request without a token count counts as {} tokens, more than rate and burst allow at any time",
            quota.default_tokens
        );
        findings.push(Finding::error(entry(), "quota", message));
    }
    if quota.default_tokens == 0 {
        findings.push(Finding::warning(
            entry(),
            "quota",
            "a request without a token count does not count",
        ));
    }
}
