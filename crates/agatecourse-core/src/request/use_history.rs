use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Reconstructs from successive sums of a sliding window when the amounts in it were used.
///
/// A larger sum means a new amount; a smaller sum means that the oldest amounts have left the window.
#[derive(Debug, Clone)]
pub struct UseHistory {
    width: Duration,
    amounts: VecDeque<(Instant, u64)>,
    sum: u64,
}

impl UseHistory {
    /// Creates an empty history; `width` is the time for which an amount stays in the window.
    pub fn new(width: Duration) -> Self {
        Self { width, amounts: VecDeque::new(), sum: 0 }
    }

    /// Records the present sum of the window.
    pub fn observe(&mut self, now: Instant, sum: u64) {
        while let Some((at, amount)) = self.amounts.front().copied() {
            if now.saturating_duration_since(at) < self.width {
                break;
            }
            self.amounts.pop_front();
            self.sum -= amount;
        }
        if sum > self.sum {
            self.amounts.push_back((now, sum - self.sum));
        }
        let mut excess = self.sum.saturating_sub(sum);
        while excess > 0
            && let Some((_, amount)) = self.amounts.front_mut()
        {
            let taken = excess.min(*amount);
            *amount -= taken;
            excess -= taken;
            if *amount == 0 {
                self.amounts.pop_front();
            }
        }
        self.sum = sum;
    }

    /// Returns the amounts with their ages, oldest first.
    pub fn amounts(&self, now: Instant) -> Vec<(Duration, u64)> {
        self.amounts
            .iter()
            .map(|(at, amount)| (now.saturating_duration_since(*at), *amount))
            .collect()
    }
}
