use agatecourse_config::TargetConfig;
use agatecourse_types::{ProviderId, TargetId, VersionId};
use serde::{Deserialize, Serialize};

/// Target of a pool according to the configuration and to the rollouts of versions.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct TargetSpec {
    /// Name of the target in the configuration.
    pub target: TargetId,
    /// Version that the target runs.
    pub version: VersionId,
    /// Provider whose credit pays for the target; without one, the target needs no credit.
    pub provider: Option<ProviderId>,
    /// Largest number of requests that run on the target at a time.
    pub concurrency: u32,
    /// Initial estimate of the prompt tokens read per second.
    pub read_tokens_per_s: u32,
    /// Initial estimate of the answer tokens written per second for one request.
    pub write_tokens_per_s: u32,
}

impl TargetSpec {
    /// Creates the specification of a target with the defaults of the configuration and without a provider.
    pub fn new(target: impl Into<TargetId>, version: impl Into<VersionId>) -> Self {
        Self {
            target: target.into(),
            version: version.into(),
            provider: None,
            concurrency: 8,
            read_tokens_per_s: 8_000,
            write_tokens_per_s: 50,
        }
    }

    /// Sets the largest number of requests that run at a time.
    #[must_use]
    pub fn with_concurrency(mut self, concurrency: u32) -> Self {
        self.concurrency = concurrency;
        self
    }

    /// Sets the provider whose credit pays for the target.
    #[must_use]
    pub fn with_provider(mut self, provider: impl Into<ProviderId>) -> Self {
        self.provider = Some(provider.into());
        self
    }

    /// Sets the initial estimates of the reading and writing speeds, in tokens per second.
    #[must_use]
    pub fn with_speed(mut self, read_tokens_per_s: u32, write_tokens_per_s: u32) -> Self {
        self.read_tokens_per_s = read_tokens_per_s;
        self.write_tokens_per_s = write_tokens_per_s;
        self
    }
}

impl From<&TargetConfig> for TargetSpec {
    fn from(config: &TargetConfig) -> Self {
        Self {
            target: config.name.clone(),
            version: config.version.clone(),
            provider: config.provider.clone(),
            concurrency: config.concurrency,
            read_tokens_per_s: config.read_tokens_per_s,
            write_tokens_per_s: config.write_tokens_per_s,
        }
    }
}
