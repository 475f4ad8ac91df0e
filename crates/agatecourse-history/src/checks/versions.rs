use crate::{CheckLimits, HistoryEvent, Record, Violation};

/// Checks invariant 3: a bad version receives at most [`CheckLimits::bad_version_share`] of the requests (5% by
/// default), and none later than [`CheckLimits::bad_version_stop`] (2 s by default) after `fault_shown`.
///
/// The share is computed over the route's dispatches from the first one to the version until the version must be
/// stopped, or until the end of the history. Dispatches before the version became bad do not count as requests to it,
/// and a single request never exceeds the share.
pub fn bad_version_share(history: &[Record], limits: &CheckLimits) -> Vec<Violation> {
    let bad = history.iter().filter_map(|record| match &record.event {
        HistoryEvent::VersionBad { route, version } => Some((record, route.as_str(), version)),
        _ => None,
    });
    bad.flat_map(|(record, route, version)| check_version(history, limits, record, route, version))
        .collect()
}

fn check_version(
    history: &[Record],
    limits: &CheckLimits,
    bad: &Record,
    route: &str,
    version: &str,
) -> Vec<Violation> {
    let stop_us = limits.bad_version_stop.as_micros() as u64;
    let shown = history.iter().find(|record| {
        matches!(&record.event, HistoryEvent::FaultShown { route: r, version: v } if r == route && v == version)
    });
    let stop_at = shown.map_or(u64::MAX, |record| record.at_us + stop_us);
    let on_route = history.iter().filter_map(|record| match &record.event {
        HistoryEvent::Dispatched { route: r, version: v, .. } if r == route => {
            Some((record, v == version))
        }
        _ => None,
    });
    let since_first: Vec<(&Record, bool)> =
        on_route.skip_while(|(_, to_version)| !to_version).collect();
    let total = since_first.iter().filter(|(record, _)| record.at_us <= stop_at).count();
    let (in_time, late): (Vec<&Record>, Vec<&Record>) = since_first
        .iter()
        .filter(|(record, to_version)| *to_version && record.at_us >= bad.at_us)
        .map(|(record, _)| *record)
        .partition(|record| record.at_us <= stop_at);
    let mut violations = Vec::new();
    if in_time.len() > 1 && in_time.len() as f64 > limits.bad_version_share * total as f64 {
        let detail = format!(
            "bad version {version} got {} of {total} requests on route {route}",
            in_time.len()
        );
        violations.push(Violation::new("bad_version_share", detail, in_time));
    }
    if !late.is_empty() {
        let detail = format!(
            "bad version {version} got {} requests on route {route} after the time limit for stopping it",
            late.len()
        );
        violations.push(Violation::new("bad_version_share", detail, shown.into_iter().chain(late)));
    }
    violations
}
