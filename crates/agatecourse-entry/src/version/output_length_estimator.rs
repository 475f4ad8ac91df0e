use agatecourse_types::{OrganisationId, RouteId};
use std::collections::HashMap;
use std::sync::{Mutex, PoisonError};

/// Estimate, in tokens, before the first response.
const INITIAL_ESTIMATE_TOKENS: f64 = 256.0;
// Weight of a new response in the moving average; one very long response must not dominate the estimate.
const SMOOTHING_FACTOR: f64 = 1.0 / 16.0;

/// Estimates response lengths per route and organisation with exponential moving averages.
///
/// The numbers of configured routes and organisations bound the number of entries.
#[derive(Debug, Default)]
pub(crate) struct OutputLengthEstimator(Mutex<HashMap<(RouteId, OrganisationId), f64>>);

impl OutputLengthEstimator {
    /// Estimates the output tokens of the next response, capped by the caller's limit `max_tokens`.
    pub(crate) fn estimate(&self, route: &str, organisation: &str, max_tokens: Option<u32>) -> u32 {
        let lengths = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let key = (route.to_string(), organisation.to_string());
        let learned = lengths.get(&key).copied().unwrap_or(INITIAL_ESTIMATE_TOKENS) as u32;
        learned.min(max_tokens.unwrap_or(u32::MAX)).max(1)
    }

    /// Updates the average with the output tokens of a completed response.
    pub(crate) fn record(&self, route: &str, organisation: &str, tokens: u32) {
        let mut lengths = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let key = (route.to_string(), organisation.to_string());
        let average = lengths.entry(key).or_insert(f64::from(tokens));
        *average += (f64::from(tokens) - *average) * SMOOTHING_FACTOR;
    }
}
