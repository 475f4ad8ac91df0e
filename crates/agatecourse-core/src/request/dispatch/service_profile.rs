use std::collections::BTreeMap;
use std::time::Duration;

/// Weight of the newest run in the moving average of a duration; about the last ten runs count.
const LEARNING_RATE: f64 = 0.1;
/// Run time in seconds of a kind without a completed run; the mean of a model answer in the users' load profiles.
pub(super) const UNKNOWN_RUN_S: f64 = 0.5;
/// Bounds of a run's size relative to the mean of its kind; the users' load profiles cap the value of a request
/// at four means.
const SIZE_RANGE: (f64, f64) = (0.2, 4.0);

/// Moving averages of the run time of each kind of request, normalised to a target of mean speed.
#[derive(Debug, Clone, Default)]
pub(super) struct ServiceProfile {
    run_s: BTreeMap<u64, f64>,
}

impl ServiceProfile {
    /// Returns the expected run time of a request in seconds on a target of mean speed.
    pub(super) fn expected_s(&self, kind: u64, relative_size: f64) -> f64 {
        let mean_s = self.run_s.get(&kind).copied().unwrap_or(UNKNOWN_RUN_S);
        mean_s * relative_size.clamp(SIZE_RANGE.0, SIZE_RANGE.1)
    }

    /// Updates the average by a completed run on a target with the given relative slowness.
    pub(super) fn learn(
        &mut self,
        kind: u64,
        relative_size: f64,
        slowness: f64,
        elapsed: Duration,
    ) {
        let size = relative_size.clamp(SIZE_RANGE.0, SIZE_RANGE.1);
        let sample_s = elapsed.as_secs_f64() / size / slowness.max(0.1);
        let mean_s = self.run_s.entry(kind).or_insert(sample_s);
        *mean_s += LEARNING_RATE * (sample_s - *mean_s);
    }
}
