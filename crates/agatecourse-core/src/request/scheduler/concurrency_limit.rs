use serde::Serialize;
use std::time::{Duration, Instant};

const DECREASE_FACTOR: f64 = 0.9;
// A decrease shows in the measurements only after the requests that ran at the old limit have ended.
const DECREASE_INTERVAL: Duration = Duration::from_secs(1);
// One long prompt slows a batch for a fraction of a second. Without smoothing, such moments alone kept targets
// of a quarter of the speed at limits of two or three of sixteen in the bench `goodput`.
const SMOOTHING_TIME: Duration = Duration::from_secs(3);
// Growth stops below the route's limit, so that the limit does not swing around it.
const GROWTH_MAX_RATIO: f64 = 0.95;

/// Measured time relative to the route's limit, smoothed over time.
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
    /// Creates a limit that starts at its highest value.
    pub(super) fn new(highest: u32) -> Self {
        let highest = f64::from(highest.max(1));
        let (token_gap, first_token) = (LatencyRatio::default(), LatencyRatio::default());
        Self { limit: highest, highest, token_gap, first_token, decreased_at: None }
    }

    /// Returns the present limit in requests.
    pub(super) fn get(&self) -> u32 {
        self.limit as u32
    }

    /// Replaces the highest value.
    pub(super) fn set_highest(&mut self, highest: u32) {
        self.highest = f64::from(highest.max(1));
        self.limit = self.limit.min(self.highest);
    }

    /// Lowers the limit to one request, from which successes raise it again.
    pub(super) fn reset_to_one(&mut self) {
        *self = Self { limit: 1.0, ..Self::new(self.highest as u32) };
    }

    /// Takes a time between tokens relative to the route's limit.
    pub(super) fn observe_token_gap(&mut self, now: Instant, relative: f64, in_flight: u32) {
        self.token_gap.add(now, relative);
        self.decrease_if_slow(now, in_flight);
    }

    /// Takes a time to the first token relative to what the route allows for the prompt.
    pub(super) fn observe_first_token(&mut self, now: Instant, relative: f64, in_flight: u32) {
        self.first_token.add(now, relative);
        self.decrease_if_slow(now, in_flight);
    }

    /// Raises the limit after a completed request, unless the target is near the route's limits.
    pub(super) fn increase_if_fast(&mut self, in_flight: u32) {
        let fast = self.token_gap.value.max(self.first_token.value) < GROWTH_MAX_RATIO;
        if fast && f64::from(in_flight) + 1.0 >= self.limit.floor() {
            // Growth of one request for each round of completions; a quarter at least, so that a target
            // that was re-admitted reaches its full limit within seconds.
            self.limit = (self.limit + (1.0 / self.limit).max(0.25)).min(self.highest);
        }
    }

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
