use rand_core::Rng;
use std::time::Duration;

/// Exponential backoff with jitter.
///
/// Jitter spreads the retries of many nodes, so that a service that recovers from an outage does not receive
/// them all at once.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct BackOff {
    base: Duration,
    limit: Duration,
    failures: u32,
}

impl BackOff {
    /// Creates a backoff whose delay starts at `base` and doubles with each failure up to `limit`.
    pub fn new(base: Duration, limit: Duration) -> Self {
        Self { base, limit, failures: 0 }
    }

    /// Counts a failure and returns the delay before the next attempt: the exponential delay or down to half of it.
    pub fn next_delay(&mut self, rng: &mut impl Rng) -> Duration {
        let factor = 1_u32 << self.failures.min(16);
        self.failures = self.failures.saturating_add(1);
        jittered(self.base.saturating_mul(factor).min(self.limit), rng)
    }

    /// Resets the delay to `base` after a success.
    pub fn reset(&mut self) {
        self.failures = 0;
    }
}

/// Returns a random duration between half of `period` and `period`.
pub(crate) fn jittered(period: Duration, rng: &mut impl Rng) -> Duration {
    let half = period / 2;
    half + half * (rng.next_u32() >> 16) / (1 << 16)
}

#[cfg(test)]
mod tests;
