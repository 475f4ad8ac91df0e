//! Configuration of the fleet and settings of one node process.

mod fleet_config;
mod journal_config;
mod node_settings;
mod organisation_config;
mod provider_config;

pub use fleet_config::FleetConfig;
pub use journal_config::JournalConfig;
pub use node_settings::NodeSettings;
pub use organisation_config::OrganisationConfig;
pub use provider_config::ProviderConfig;
