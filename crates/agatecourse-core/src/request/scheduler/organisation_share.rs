use agatecourse_config::OrganisationConfig;
use agatecourse_types::OrganisationId;
use serde::{Deserialize, Serialize};

/// Weight and concurrency limit of an organisation in a pool.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct OrganisationShare {
    /// Name of the organisation in the configuration.
    pub organisation: OrganisationId,
    /// Weight among the organisations of a tier; 0 counts as 1.
    pub weight: u32,
    /// Largest number of requests that wait or run in the pool at a time; further ones are refused.
    pub concurrency: u32,
}

impl From<&OrganisationConfig> for OrganisationShare {
    fn from(config: &OrganisationConfig) -> Self {
        Self {
            organisation: config.name.clone(),
            weight: config.weight,
            concurrency: config.concurrency,
        }
    }
}
