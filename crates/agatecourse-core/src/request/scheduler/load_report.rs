use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Load that a target reports about itself.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct LoadReport {
    /// Requests in the running batch.
    pub running: u32,
    /// Requests that the target has accepted and not started.
    pub waiting: u32,
    /// Mean time between tokens over the last second, if the target reports it.
    pub token_gap: Option<Duration>,
    /// Time between the measurement and the arrival of the report.
    pub age: Duration,
    /// Whether the target announces that it shuts down and should get no new requests.
    pub leaving: bool,
}
