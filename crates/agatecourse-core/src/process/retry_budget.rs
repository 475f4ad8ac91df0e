/// Budget that each first attempt adds by default, in thousandths of a retry.
const DEFAULT_EARNED_PER_ATTEMPT: u64 = 100;
/// Largest budget by default, in thousandths of a retry.
const DEFAULT_CAPACITY: u64 = 10_000;
/// Cost of one retry, in thousandths of a retry.
const RETRY_COST: u64 = 1_000;

/// Limits retries to a share of first attempts plus a burst, by default 10% and 10 retries.
///
/// Without this limit, retries multiply the load of a service that fails because it is overloaded.
///
/// ```
/// use agatecourse_core::process::RetryBudget;
///
/// let mut budget = RetryBudget::new();
/// assert_eq!((0..20).filter(|_| budget.try_retry()).count(), 10);
/// ```
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct RetryBudget {
    available: u64,
    earned_per_attempt: u64,
    capacity: u64,
}

impl RetryBudget {
    /// Creates a full budget with the default limits.
    pub fn new() -> Self {
        Self {
            available: DEFAULT_CAPACITY,
            earned_per_attempt: DEFAULT_EARNED_PER_ATTEMPT,
            capacity: DEFAULT_CAPACITY,
        }
    }

    /// Sets the share of first attempts that may be retried and the burst in retries; the budget starts full.
    #[must_use]
    pub fn with_limits(mut self, share: f64, burst: f64) -> Self {
        self.earned_per_attempt = (share.max(0.0) * RETRY_COST as f64) as u64;
        self.capacity = (burst.max(1.0) * RETRY_COST as f64) as u64;
        self.available = self.capacity;
        self
    }

    /// Empties the budget.
    #[must_use]
    pub fn without_burst(mut self) -> Self {
        self.available = 0;
        self
    }

    /// Replaces the limits; what is available stays, up to the new burst.
    pub fn set_limits(&mut self, share: f64, burst: f64) {
        let available = self.available;
        *self = self.clone().with_limits(share, burst);
        self.available = available.min(self.capacity);
    }

    /// Fills the budget.
    pub fn fill(&mut self) {
        self.available = self.capacity;
    }

    /// Adds the share of one first attempt to the budget.
    pub fn record_attempt(&mut self) {
        self.available = (self.available + self.earned_per_attempt).min(self.capacity);
    }

    /// Takes one retry from the budget; returns false when none is left.
    pub fn try_retry(&mut self) -> bool {
        let allowed = self.available >= RETRY_COST;
        if allowed {
            self.available -= RETRY_COST;
        }
        allowed
    }
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self::new()
    }
}

#[cfg(test)]
mod tests;
