use agatecourse_types::{OrganisationId, RouteId};
use std::collections::HashMap;
use std::sync::{Mutex, PoisonError};

/// Assumed tokens of an answer before any was measured.
const INITIAL_ESTIMATE_TOKENS: f64 = 256.0;
// A new answer moves the average by a sixteenth, so that one very long answer does not dominate the estimate.
const SMOOTHING_FACTOR: f64 = 1.0 / 16.0;

/// Learned answer lengths for each route and organisation, as moving averages.
///
/// The configuration bounds the number of entries.
#[derive(Debug, Default)]
pub(crate) struct OutputLengthEstimator(Mutex<HashMap<(RouteId, OrganisationId), f64>>);

impl OutputLengthEstimator {
    /// Estimates the tokens of the next answer; a caller's own limit caps the estimate.
    pub(crate) fn estimate(&self, route: &str, organisation: &str, max_tokens: Option<u32>) -> u32 {
        let lengths = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let key = (route.to_string(), organisation.to_string());
        let learned = lengths.get(&key).copied().unwrap_or(INITIAL_ESTIMATE_TOKENS) as u32;
        learned.min(max_tokens.unwrap_or(u32::MAX)).max(1)
    }

    /// Adds a measured answer.
    pub(crate) fn record(&self, route: &str, organisation: &str, tokens: u32) {
        let mut lengths = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let key = (route.to_string(), organisation.to_string());
        let average = lengths.entry(key).or_insert(f64::from(tokens));
        *average += (f64::from(tokens) - *average) * SMOOTHING_FACTOR;
    }
}
