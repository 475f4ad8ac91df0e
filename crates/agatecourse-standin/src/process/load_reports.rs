use serde::Serialize;
use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Shortest time between two recorded reports, which bounds the number of reports kept during the lag.
const REPORT_INTERVAL: Duration = Duration::from_millis(20);

/// Load of an engine at one time, as `GET /v1/load` returns it.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub(crate) struct LoadReport {
    /// Number of requests in the batch.
    pub(crate) running: usize,
    /// Number of requests in the queue.
    pub(crate) waiting: usize,
    /// Number of prompt tokens of running and queued requests that are not processed yet.
    pub(crate) prefill_tokens: usize,
    /// Largest number of requests in the batch.
    pub(crate) batch_limit: usize,
    /// Number of blocks in the prefix cache.
    pub(crate) cache_blocks: usize,
    /// Capacity of the prefix cache in blocks.
    pub(crate) cache_limit_blocks: usize,
    /// Versions that are loaded.
    pub(crate) versions: Vec<String>,
    /// Current role: `prefill`, `decode` or `both`.
    pub(crate) role: String,
    /// Whether the target announces that it stops taking requests; set by the fault of the same name.
    pub(crate) leaving: bool,
    /// Age of the report in milliseconds when it is returned.
    pub(crate) age_ms: u64,
}

/// History of load reports, each of which becomes visible after a lag.
#[derive(Debug, Clone)]
pub(crate) struct LoadReports {
    lag: Duration,
    reports: VecDeque<(Instant, LoadReport)>,
}

impl LoadReports {
    /// Creates an empty history.
    pub(crate) fn new(lag: Duration) -> Self {
        Self { lag, reports: VecDeque::new() }
    }

    /// Returns whether the last report is at least [`REPORT_INTERVAL`] old.
    pub(crate) fn is_due(&self, now: Instant) -> bool {
        let last = self.reports.back().map(|(at, _)| *at);
        last.is_none_or(|at| now.saturating_duration_since(at) >= REPORT_INTERVAL)
    }

    /// Records a report and drops those that a newer visible report replaces.
    pub(crate) fn push(&mut self, report: LoadReport, now: Instant) {
        self.reports.push_back((now, report));
        while self.reports.get(1).is_some_and(|(at, _)| self.is_visible(*at, now)) {
            self.reports.pop_front();
        }
    }

    /// Returns the newest report that is at least as old as the lag, or else the oldest one.
    pub(crate) fn visible_report(&self, now: Instant) -> LoadReport {
        let latest_visible = self.reports.iter().rev().find(|(at, _)| self.is_visible(*at, now));
        let Some((at, report)) = latest_visible.or_else(|| self.reports.front()) else {
            return LoadReport::default();
        };
        let age_ms = now.saturating_duration_since(*at).as_millis() as u64;
        LoadReport { age_ms, ..report.clone() }
    }

    fn is_visible(&self, at: Instant, now: Instant) -> bool {
        now.saturating_duration_since(at) >= self.lag
    }
}
