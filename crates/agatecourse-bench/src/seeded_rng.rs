use rand_chacha::ChaCha8Rng;
use rand_core::{Rng, SeedableRng};

/// Seeded random number generator of a bench.
#[derive(Debug, Clone)]
pub struct SeededRng(ChaCha8Rng);

impl SeededRng {
    /// Creates a generator; streams with different numbers are independent of each other.
    pub fn new(seed: u64, stream: u64) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        rng.set_stream(stream);
        Self(rng)
    }

    /// Draws a uniformly distributed number from 0 (inclusive) to 1 (exclusive).
    pub fn unit(&mut self) -> f64 {
        f64::from(self.0.next_u32()) / (f64::from(u32::MAX) + 1.0)
    }

    /// Draws a uniformly distributed index below `count`.
    pub fn index(&mut self, count: usize) -> usize {
        (self.unit() * count as f64) as usize
    }

    /// Draws a log-uniformly distributed number between `low` and `high`.
    pub fn log_uniform(&mut self, low: f64, high: f64) -> f64 {
        low * (high / low).powf(self.unit())
    }

    /// Draws an exponentially distributed interval in seconds for the given rate.
    pub fn exponential_s(&mut self, rate_per_s: f64) -> f64 {
        -(1.0 - self.unit()).ln() / rate_per_s
    }

    /// Draws an index with a probability proportional to its weight.
    pub fn weighted_index(&mut self, weights: impl Iterator<Item = f64> + Clone) -> usize {
        let mut remaining_weight = self.unit() * weights.clone().sum::<f64>();
        let mut last = 0;
        for (index, weight) in weights.enumerate() {
            last = index;
            remaining_weight -= weight;
            if remaining_weight < 0.0 {
                break;
            }
        }
        last
    }
}
