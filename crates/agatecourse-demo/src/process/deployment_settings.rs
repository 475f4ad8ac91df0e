use crate::DemoError;
use crate::error::ConfigurationSnafu;
use crate::process::fleet_text::fleet_text;
use agatecourse_setup::{Answers, generate};
use std::time::Duration;

/// API key of the demo's only caller. A fixed key is acceptable because the deployment listens on loopback only, and
/// for a few seconds unless it is held.
pub(crate) const API_KEY: &str = "demo-caller-key";

/// Default time that a service stand-in takes for each request.
const SERVICE_TIME: Duration = Duration::from_millis(20);

/// Number of nodes, fleet configuration and options of a [`Deployment`](crate::Deployment).
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct DeploymentSettings {
    pub(crate) nodes: usize,
    pub(crate) fleet: String,
    pub(crate) is_history_enabled: bool,
    pub(crate) service_time: Duration,
}

impl DeploymentSettings {
    /// Creates settings with one caller, two model routes, and one idempotent and one non-idempotent service route.
    pub fn new(nodes: usize, engines: usize, services: usize) -> Self {
        Self {
            nodes,
            fleet: fleet_text(engines, services),
            is_history_enabled: false,
            service_time: SERVICE_TIME,
        }
    }

    /// Creates settings from the answers of a questionnaire.
    ///
    /// When the deployment starts, the addresses of the targets are replaced by those of their stand-ins.
    ///
    /// # Errors
    ///
    /// Returns [`DemoError::Configuration`] when the answers are invalid or contradict each other.
    pub fn from_answers(nodes: usize, answers: &str) -> Result<Self, DemoError> {
        let invalid = |detail: String| ConfigurationSnafu { detail }.build();
        let answers =
            Answers::parse("answers.ini", answers).map_err(|faults| invalid(faults.to_string()))?;
        let generated = generate(&answers).map_err(|error| invalid(error.to_string()))?;
        Ok(Self {
            nodes,
            fleet: generated.text,
            is_history_enabled: false,
            service_time: SERVICE_TIME,
        })
    }

    /// Makes each node write its history to [`Deployment::history_file`](crate::Deployment::history_file).
    #[must_use]
    pub fn with_history(mut self) -> Self {
        self.is_history_enabled = true;
        self
    }

    /// Sets how many requests each target runs concurrently.
    #[must_use]
    pub fn with_target_concurrency(mut self, concurrency: u32) -> Self {
        let line = format!("\nconcurrency = {concurrency}\naddress = ");
        self.fleet = self.fleet.replace("\naddress = ", &line);
        self
    }

    /// Sets the time that a service stand-in takes for each request; 20 ms unless set.
    #[must_use]
    pub fn with_service_time(mut self, service_time: Duration) -> Self {
        self.service_time = service_time;
        self
    }
}
