use serde::Serialize;

/// Weight of a new observation in the moving averages; low, because single requests and reports are noisy.
const SMOOTHING: f64 = 0.2;
/// Weight of an observation that differs from the average by more than [`JUMP_RATIO`], so that the model follows a
/// slowdown or a recovery quickly.
const JUMP_SMOOTHING: f64 = 0.6;
/// Ratio to the average, in either direction, beyond which an observation counts as a change of speed.
const JUMP_RATIO: f64 = 2.0;
/// Step size of the gradient descent on the batch slope.
const SLOPE_LEARNING_RATE: f64 = 0.02;
/// Answer length in tokens from which an observation has full weight; shorter answers measure the time per token
/// less precisely.
const FULL_WEIGHT_TOKENS: f64 = 32.0;
/// Batch slope before any observation.
const INITIAL_BATCH_SLOPE: f64 = 0.05;

/// Learned reading and writing speed of one target with one version.
///
/// The time between tokens is modelled as `gap_s * (1 + batch_slope * (batch - 1))`.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub(super) struct SpeedModel {
    read_tokens_per_s: f64,
    gap_s: f64,
    batch_slope: f64,
    observations: u64,
}

impl SpeedModel {
    /// Creates a model with the configured speeds in tokens per second, at least 1.
    pub(super) fn new(read_tokens_per_s: u32, write_tokens_per_s: u32) -> Self {
        Self {
            read_tokens_per_s: f64::from(read_tokens_per_s.max(1)),
            gap_s: 1.0 / f64::from(write_tokens_per_s.max(1)),
            batch_slope: INITIAL_BATCH_SLOPE,
            observations: 0,
        }
    }

    /// Returns the expected time between tokens at a batch size, in seconds.
    pub(super) fn gap_s(&self, batch: f64) -> f64 {
        self.gap_s * self.batch_factor(batch)
    }

    /// Returns the expected time to read a prompt, in seconds.
    pub(super) fn read_s(&self, tokens: f64) -> f64 {
        tokens / self.read_tokens_per_s
    }

    /// Updates the model by the time in which `tokens` were written at a mean batch size.
    pub(super) fn observe_write(&mut self, tokens: f64, seconds: f64, batch: f64) {
        if tokens < 1.0 || seconds <= 0.0 {
            return;
        }
        let gap_s = seconds / tokens;
        let factor = self.batch_factor(batch);
        let above_one = (batch - 1.0).max(0.0);
        let residual = gap_s / self.gap_s - factor;
        if residual.abs() < factor {
            let step = SLOPE_LEARNING_RATE * residual * above_one / (1.0 + above_one * above_one);
            self.batch_slope = (self.batch_slope + step).clamp(0.0, 1.0);
        }
        let weight = (tokens / FULL_WEIGHT_TOKENS).min(1.0);
        self.gap_s = smooth(self.gap_s, gap_s / factor, weight);
        self.observations += 1;
    }

    /// Updates the model by the time in which a prompt was read, without the wait for earlier prompts.
    pub(super) fn observe_read(&mut self, tokens: f64, seconds: f64) {
        if seconds > 0.0 && tokens >= 1.0 {
            self.read_tokens_per_s = smooth(self.read_tokens_per_s, tokens / seconds, 1.0);
        }
    }

    fn batch_factor(&self, batch: f64) -> f64 {
        1.0 + self.batch_slope * (batch - 1.0).max(0.0)
    }
}

/// Returns an exponential moving average after a sample; see [`SMOOTHING`] and [`JUMP_SMOOTHING`].
fn smooth(average: f64, sample: f64, weight: f64) -> f64 {
    let ratio = sample / average;
    let jumped = !(1.0 / JUMP_RATIO..=JUMP_RATIO).contains(&ratio);
    let smoothing = if jumped { JUMP_SMOOTHING } else { SMOOTHING };
    average + smoothing * weight * (sample - average)
}
