use serde::Serialize;
use std::time::{Duration, Instant};

/// Consecutive failures after which a target is ejected.
const FAILURES_TO_EJECT: u32 = 3;
/// Back-off of the first ejection; each further one doubles it.
const INITIAL_BACKOFF: Duration = Duration::from_secs(1);
/// Largest number of doublings, which bounds the back-off to 64 s before jitter.
const MAX_BACKOFF_SHIFT: u32 = 6;

/// Reason for the ejection of a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub(super) enum EjectionCause {
    /// Consecutive requests failed, or the probe of an ejected target did.
    Failures,
    /// The time between tokens far exceeds the route's limit.
    Slowness,
}

/// State of the circuit breaker of a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub(super) enum Admittance {
    /// The target gets requests up to its limit.
    Open,
    /// The target gets no requests until the back-off ends.
    Ejected(EjectionCause),
    /// The target gets one request at a time until one succeeds.
    Probing,
}

/// Circuit breaker of one target with exponential back-off.
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
    /// Returns the state of the circuit breaker.
    pub(super) fn admittance(&self) -> Admittance {
        self.admittance
    }

    /// Returns the end of the back-off, or `None` if the target is not ejected.
    pub(super) fn until(&self) -> Option<Instant> {
        self.until
    }

    /// Counts a failure; returns whether the target should be ejected.
    pub(super) fn count_failure(&mut self) -> bool {
        self.consecutive_failures += 1;
        self.admittance == Admittance::Probing || self.consecutive_failures >= FAILURES_TO_EJECT
    }

    /// Counts a success; returns whether it was a probe that re-admits the target.
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

    /// Ejects the target; `jitter`, from 0 to 1, lengthens the back-off by up to a fifth.
    pub(super) fn eject(&mut self, now: Instant, cause: EjectionCause, jitter: f64) {
        let backoff = INITIAL_BACKOFF * (1 << self.times.min(MAX_BACKOFF_SHIFT));
        self.admittance = Admittance::Ejected(cause);
        self.until = Some(now + backoff.mul_f64(1.0 + jitter / 5.0));
        self.times = self.times.saturating_add(1);
    }

    /// Moves a target whose back-off has ended to [`Admittance::Probing`].
    pub(super) fn start_probe_if_due(&mut self, now: Instant) {
        if self.until.is_some_and(|until| until <= now) {
            self.until = None;
            self.admittance = Admittance::Probing;
        }
    }
}
