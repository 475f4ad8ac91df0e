use super::{RetryBudget, RetryLimits};
use std::time::Duration;

/// Ratio of the limits that is divided among the nodes; the rest covers the uneven spread of requests.
const DIVIDED_RATIO: f64 = 0.75;

/// Share of one node in the retries at a service.
///
/// The burst is divided by the number of nodes as this one knows it at each attempt, because a process that has just started knows few of the others. The
/// process that it replaces may have used its burst, so until a window has passed it gets only what its own first attempts earn.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct NodeRetryBudget {
    budget: RetryBudget,
    /// True until the burst is granted.
    awaits_burst: bool,
}

impl NodeRetryBudget {
    /// Creates an empty budget; the first attempts fill it.
    pub fn new() -> Self {
        Self { budget: RetryBudget::new().without_burst(), awaits_burst: true }
    }

    /// Adds the share of one first attempt, while `nodes` share the limits. `idle_before` is the time in which this node has certainly made no
    /// retries before: the uptime of the process, or longer if it replaces no other.
    pub fn record_attempt(&mut self, limits: RetryLimits, nodes: usize, idle_before: Duration) {
        let burst = limits.burst * DIVIDED_RATIO / nodes.max(1) as f64;
        self.budget.set_limits(limits.ratio * DIVIDED_RATIO, burst);
        if self.awaits_burst && idle_before >= limits.window {
            self.awaits_burst = false;
            self.budget.fill();
        }
        self.budget.record_attempt();
    }

    /// Takes one retry from the budget; returns false when none is left.
    pub fn try_retry(&mut self) -> bool {
        self.budget.try_retry()
    }
}

impl Default for NodeRetryBudget {
    fn default() -> Self {
        Self::new()
    }
}

#[cfg(test)]
mod tests;
