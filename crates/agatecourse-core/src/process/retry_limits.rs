use std::time::Duration;

/// Limits of the retries at a service that all nodes together keep.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryLimits {
    /// Ratio of retries to first attempts.
    pub ratio: f64,
    /// Retries in a window beyond that ratio.
    pub burst: f64,
    /// Window in which retries are counted.
    pub window: Duration,
}
