use agatecourse_config::RouteConfig;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Limits of one pool; the defaults apply to a route without settings.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct SchedulerLimits {
    /// Mean time between tokens above which a target's concurrency limit is lowered.
    pub token_gap: Duration,
    /// Time to the first token, without the time to read prompts, above which a target's concurrency limit is lowered.
    pub first_token: Duration,
    /// Largest number of waiting requests; at the bound, one of the lowest tier is refused.
    pub queue_limit: usize,
    /// Largest number of prefix hashes kept for each target; at the bound, the least recently used is dropped.
    pub prefix_limit: usize,
    /// Longest time for which a new pool owner delays grants to wait for registrations.
    pub take_over_wait: Duration,
}

impl Default for SchedulerLimits {
    fn default() -> Self {
        Self {
            token_gap: Duration::from_millis(46),
            first_token: Duration::from_millis(300),
            queue_limit: 4_096,
            prefix_limit: 4_096,
            take_over_wait: Duration::from_millis(500),
        }
    }
}

impl From<&RouteConfig> for SchedulerLimits {
    fn from(config: &RouteConfig) -> Self {
        Self {
            token_gap: config.token_gap,
            first_token: config.first_token,
            queue_limit: config.queue_limit,
            ..Self::default()
        }
    }
}
