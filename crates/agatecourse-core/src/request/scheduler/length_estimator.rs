use agatecourse_types::{OrganisationId, RouteId};
use std::collections::BTreeMap;

/// Weight of a new sample once ten were seen; before that, all samples have equal weight.
const MIN_SMOOTHING: f64 = 0.1;
/// Mean deviations by which the upper bound exceeds the mean; covers nearly all answers if their lengths vary by a
/// factor of four.
const UPPER_BOUND_DEVIATIONS: f64 = 2.5;
/// Smallest number of samples for an estimate; with fewer, the estimate over all organisations is more accurate.
const MIN_SAMPLES: u32 = 4;
/// Largest number of combinations of route, organisation and prompt size class; at the bound, new ones are not
/// learned.
const ESTIMATE_LIMIT: usize = 8_192;

/// Expected length of an answer in tokens.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct LengthEstimate {
    /// Mean length of the observed answers, at least 1.
    pub mean: u32,
    /// Length that nearly all answers don't exceed, at least 1.
    pub upper_bound: u32,
}

/// Exponential moving averages of answer length and absolute deviation.
#[derive(Debug, Clone, Copy, Default)]
struct RunningEstimate {
    mean_tokens: f64,
    deviation_tokens: f64,
    samples: u32,
}

impl RunningEstimate {
    fn add(&mut self, tokens: f64) {
        self.samples = self.samples.saturating_add(1);
        let smoothing = MIN_SMOOTHING.max(1.0 / f64::from(self.samples));
        let error = tokens - self.mean_tokens;
        self.mean_tokens += smoothing * error;
        if self.samples > 1 {
            self.deviation_tokens += smoothing * (error.abs() - self.deviation_tokens);
        }
    }

    fn get(&self) -> LengthEstimate {
        let upper_bound = self.mean_tokens + UPPER_BOUND_DEVIATIONS * self.deviation_tokens;
        LengthEstimate {
            mean: self.mean_tokens.round().max(1.0) as u32,
            upper_bound: upper_bound.ceil().max(1.0) as u32,
        }
    }
}

/// Estimates answer lengths in tokens by route, organisation and size class of the prompt.
///
/// An organisation with fewer than four answers gets the estimate over all organisations for prompts of the same
/// size class. At most 8,192 combinations are kept; further ones are not learned.
#[derive(Debug, Clone, Default)]
pub struct LengthEstimator {
    routes: BTreeMap<RouteId, RouteEstimates>,
    combinations: usize,
}

/// Estimates by size class of the prompt; see [`magnitude`].
type EstimatesByMagnitude = BTreeMap<u32, RunningEstimate>;

#[derive(Debug, Clone, Default)]
struct RouteEstimates {
    all: EstimatesByMagnitude,
    organisations: BTreeMap<OrganisationId, EstimatesByMagnitude>,
}

impl LengthEstimator {
    /// Creates an estimator without samples, which returns no estimates.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the expected answer length, or `None` before four answers to prompts of the size class were seen.
    pub fn estimate(
        &self,
        route: &str,
        organisation: &str,
        read_tokens: u32,
    ) -> Option<LengthEstimate> {
        let route = self.routes.get(route)?;
        let sufficient = |magnitudes: &EstimatesByMagnitude| {
            let estimate = magnitudes.get(&magnitude(read_tokens));
            estimate.filter(|estimate| estimate.samples >= MIN_SAMPLES).map(RunningEstimate::get)
        };
        let own = route.organisations.get(organisation).and_then(sufficient);
        own.or_else(|| sufficient(&route.all))
    }

    /// Adds an answer of `written` tokens to a prompt of `read_tokens` tokens.
    pub fn learn(&mut self, route: &str, organisation: &str, read_tokens: u32, written: u32) {
        let full = self.combinations >= ESTIMATE_LIMIT;
        if !self.routes.contains_key(route) && !full {
            self.routes.insert(route.to_string(), RouteEstimates::default());
        }
        let Some(route) = self.routes.get_mut(route) else { return };
        let magnitude = magnitude(read_tokens);
        route.all.entry(magnitude).or_default().add(f64::from(written));
        let known = route.organisations.get_mut(organisation);
        if let Some(estimate) = known.and_then(|known| known.get_mut(&magnitude)) {
            estimate.add(f64::from(written));
        } else if !full {
            self.combinations += 1;
            let known = route.organisations.entry(organisation.to_string()).or_default();
            known.entry(magnitude).or_default().add(f64::from(written));
        }
    }
}

/// Returns the size class of a prompt, the binary logarithm of its tokens.
fn magnitude(read_tokens: u32) -> u32 {
    read_tokens.max(1).ilog2()
}
