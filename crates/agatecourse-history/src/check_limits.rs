use std::time::Duration;

/// Limits that a deployment sets for the invariants in section 1 of the design page.
#[derive(Debug, Clone, PartialEq)]
pub struct CheckLimits {
    /// Largest share of a route's requests, from 0 to 1, that a bad version may receive.
    pub bad_version_share: f64,
    /// Time from `fault_shown` after which the bad version must not receive requests.
    pub bad_version_stop: Duration,
    /// Time from `target_leaving` after which the target must not receive requests.
    pub leaving_target_stop: Duration,
    /// Time from the acceptance of a configuration within which every node must apply it.
    pub config_in_force: Duration,
}

impl Default for CheckLimits {
    /// Returns the limits of current deployments.
    fn default() -> Self {
        Self {
            bad_version_share: 0.05,
            bad_version_stop: Duration::from_secs(2),
            leaving_target_stop: Duration::from_secs(3),
            config_in_force: Duration::from_secs(5),
        }
    }
}

impl CheckLimits {
    /// Sets the time within which every node must apply an accepted configuration; 14 s at full size.
    #[must_use]
    pub fn with_config_in_force(mut self, config_in_force: Duration) -> Self {
        self.config_in_force = config_in_force;
        self
    }
}
