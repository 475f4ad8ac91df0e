use serde::Serialize;
use std::time::{Duration, Instant};

const FAILURES_TO_EJECT: u32 = 3;
const INITIAL_BACKOFF: Duration = Duration::from_secs(1);
const MAX_BACKOFF_SHIFT: u32 = 6;

/// Why a target is ejected.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub(super) enum EjectionCause {
    /// Consecutive failures.
    Failures,
    /// Tokens far slower than the route's limit.
    Slowness,
}

/// Whether a target may get requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub(super) enum Admittance {
    /// The target gets requests up to its limit.
    Open,
    /// The target gets nothing until the back-off ends.
    Ejected(EjectionCause),
    /// The target gets one request at a time until one succeeds.
    Probing,
}

/// Ejection of one target with increasing back-off.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub(super) struct Ejection {
    admittance: Admittance,
    consecutive_failures: u32,
    times: u32,
    #[serde(skip)]
    until: Option<Instant>,
}

impl Default for Ejection {
    fn default() -> Self {
        Self { admittance: Admittance::Open, consecutive_failures: 0, times: 0, until: None }
    }
}

impl Ejection {
    /// Returns whether the target may get requests.
    pub(super) fn admittance(&self) -> Admittance {
        self.admittance
    }

    /// Returns the end of the back-off of an ejected target.
    pub(super) fn until(&self) -> Option<Instant> {
        self.until
    }

    /// Returns whether one more failure is due to eject the target, and counts it.
    pub(super) fn count_failure(&mut self) -> bool {
        self.consecutive_failures += 1;
        self.admittance == Admittance::Probing || self.consecutive_failures >= FAILURES_TO_EJECT
    }

    /// Counts a success; returns whether it re-admits a target on probation.
    pub(super) fn count_success(&mut self) -> bool {
        self.consecutive_failures = 0;
        let probed = self.admittance == Admittance::Probing;
        if probed {
            self.admittance = Admittance::Open;
        } else if self.admittance == Admittance::Open {
            self.times = 0;
        }
        probed
    }

    /// Ejects the target; `jitter` in 0..1 lengthens the back-off by up to a fifth.
    pub(super) fn eject(&mut self, now: Instant, cause: EjectionCause, jitter: f64) {
        let backoff = INITIAL_BACKOFF * (1 << self.times.min(MAX_BACKOFF_SHIFT));
        self.admittance = Admittance::Ejected(cause);
        self.until = Some(now + backoff.mul_f64(1.0 + jitter / 5.0));
        self.times = self.times.saturating_add(1);
    }

    /// Starts the probe of a target whose back-off has ended.
    pub(super) fn start_probe_if_due(&mut self, now: Instant) {
        if self.until.is_some_and(|until| until <= now) {
            self.until = None;
            self.admittance = Admittance::Probing;
        }
    }
}
