use serde::Serialize;

// Finished requests and reports are noisy, so one observation moves the average by a fifth; a change of more
// than twofold is a slowdown or a recovery and is followed at once.
const SMOOTHING: f64 = 0.2;
const JUMP_SMOOTHING: f64 = 0.6;
const JUMP_RATIO: f64 = 2.0;
const SLOPE_LEARNING_RATE: f64 = 0.02;
// Answers of a few tokens measure the time per token poorly.
const FULL_WEIGHT_TOKENS: f64 = 32.0;
const INITIAL_BATCH_SLOPE: f64 = 0.05;

/// Learned speed of one target and version.
///
/// The time between tokens is modelled as `gap x (1 + slope x (batch - 1))`.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub(super) struct SpeedModel {
    read_tokens_per_s: f64,
    gap_s: f64,
    batch_slope: f64,
    observations: u64,
}

impl SpeedModel {
    /// Creates a model from the speeds of the configuration, in tokens per second.
    pub(super) fn new(read_tokens_per_s: u32, write_tokens_per_s: u32) -> Self {
        Self {
            read_tokens_per_s: f64::from(read_tokens_per_s.max(1)),
            gap_s: 1.0 / f64::from(write_tokens_per_s.max(1)),
            batch_slope: INITIAL_BATCH_SLOPE,
            observations: 0,
        }
    }

    /// Returns the expected time between tokens in seconds at a batch size.
    pub(super) fn gap_s(&self, batch: f64) -> f64 {
        self.gap_s * self.batch_factor(batch)
    }

    /// Returns the expected time to read a prompt in seconds.
    pub(super) fn read_s(&self, tokens: f64) -> f64 {
        tokens / self.read_tokens_per_s
    }

    /// Learns from tokens that were written at a mean batch size.
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

    /// Learns from a prompt that was read without waiting for others.
    pub(super) fn observe_read(&mut self, tokens: f64, seconds: f64) {
        if seconds > 0.0 && tokens >= 1.0 {
            self.read_tokens_per_s = smooth(self.read_tokens_per_s, tokens / seconds, 1.0);
        }
    }

    fn batch_factor(&self, batch: f64) -> f64 {
        1.0 + self.batch_slope * (batch - 1.0).max(0.0)
    }
}

fn smooth(average: f64, sample: f64, weight: f64) -> f64 {
    let ratio = sample / average;
    let jumped = !(1.0 / JUMP_RATIO..=JUMP_RATIO).contains(&ratio);
    let smoothing = if jumped { JUMP_SMOOTHING } else { SMOOTHING };
    average + smoothing * weight * (sample - average)
}
