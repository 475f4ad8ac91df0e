use serde::Serialize;
use std::time::{Duration, Instant};

/// Factor of one multiplicative decrease.
const DECREASE_FACTOR: f64 = 0.9;
/// Shortest time between two decreases: measurements reflect a new limit only after the requests that ran at the
/// old one have ended.
const DECREASE_INTERVAL: Duration = Duration::from_secs(1);
/// Time constant of the exponential moving averages. One long prompt slows a batch for a fraction of a second;
/// without smoothing, this alone kept targets of a quarter of the speed at limits of two or three of sixteen in the
/// bench `goodput`.
const SMOOTHING_TIME: Duration = Duration::from_secs(3);
/// Latency ratio at which growth stops. It is below 1, so that the concurrency limit does not oscillate.
const GROWTH_MAX_RATIO: f64 = 0.95;

/// Exponential moving average of a measured time divided by the route's limit for it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize)]
struct LatencyRatio {
    value: f64,
    #[serde(skip)]
    updated_at: Option<Instant>,
}

impl LatencyRatio {
    fn add(&mut self, now: Instant, sample: f64) {
        let passed = self.updated_at.map_or(SMOOTHING_TIME, |at| now.saturating_duration_since(at));
        let weight = 1.0 - (-passed.as_secs_f64() / SMOOTHING_TIME.as_secs_f64()).exp();
        self.value += weight * (sample - self.value);
        self.updated_at = Some(now);
    }
}

/// Adaptive concurrency limit of one target: additive increase, multiplicative decrease.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub(super) struct ConcurrencyLimit {
    limit: f64,
    highest: f64,
    token_gap: LatencyRatio,
    first_token: LatencyRatio,
    #[serde(skip)]
    decreased_at: Option<Instant>,
}

impl ConcurrencyLimit {
    /// Creates a limit that starts at `highest`, at least 1.
    pub(super) fn new(highest: u32) -> Self {
        let highest = f64::from(highest.max(1));
        let (token_gap, first_token) = (LatencyRatio::default(), LatencyRatio::default());
        Self { limit: highest, highest, token_gap, first_token, decreased_at: None }
    }

    /// Returns the current limit in requests, rounded down.
    pub(super) fn get(&self) -> u32 {
        self.limit as u32
    }

    /// Sets the upper bound of the limit, at least 1, and lowers the limit to it.
    pub(super) fn set_highest(&mut self, highest: u32) {
        self.highest = f64::from(highest.max(1));
        self.limit = self.limit.min(self.highest);
    }

    /// Resets the limit to one request and the averages to zero; completed requests raise the limit again.
    pub(super) fn reset_to_one(&mut self) {
        *self = Self { limit: 1.0, ..Self::new(self.highest as u32) };
    }

    /// Records a time between tokens divided by the route's limit, and lowers the concurrency limit if it is slow.
    pub(super) fn observe_token_gap(&mut self, now: Instant, relative: f64, in_flight: u32) {
        self.token_gap.add(now, relative);
        self.decrease_if_slow(now, in_flight);
    }

    /// Records a time to the first token divided by the time that the route allows for the prompt, and lowers the
    /// concurrency limit if it is slow.
    pub(super) fn observe_first_token(&mut self, now: Instant, relative: f64, in_flight: u32) {
        self.first_token.add(now, relative);
        self.decrease_if_slow(now, in_flight);
    }

    /// Raises the limit after a completed request if it was nearly used up and the latencies are below the route's
    /// limits.
    pub(super) fn increase_if_fast(&mut self, in_flight: u32) {
        let fast = self.token_gap.value.max(self.first_token.value) < GROWTH_MAX_RATIO;
        if fast && f64::from(in_flight) + 1.0 >= self.limit.floor() {
            // About one request per `limit` completions, but at least a quarter per completion, so that a
            // re-admitted target reaches its full limit within seconds.
            self.limit = (self.limit + (1.0 / self.limit).max(0.25)).min(self.highest);
        }
    }

    /// Multiplies the used part of the limit by [`DECREASE_FACTOR`] if an average exceeds the route's limit.
    fn decrease_if_slow(&mut self, now: Instant, in_flight: u32) {
        let recent = self
            .decreased_at
            .is_some_and(|at| now.saturating_duration_since(at) < DECREASE_INTERVAL);
        let slow = self.token_gap.value > 1.0 || self.first_token.value > 1.0;
        if slow && !recent {
            let used = self.limit.min(f64::from(in_flight) + 1.0);
            self.limit = (used * DECREASE_FACTOR).max(1.0);
            self.decreased_at = Some(now);
        }
    }
}
