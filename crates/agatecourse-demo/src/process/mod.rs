//! Deployment of the demo: stand-ins, keys, settings and node processes, all of which live as long as the process.

mod addresses;
mod deployment;
mod deployment_settings;
mod fleet_text;
mod node_process;
mod node_program;
mod platform_services;
mod target;

pub use deployment::Deployment;
pub use deployment_settings::DeploymentSettings;
pub(crate) use node_process::NodeProcess;
pub use target::Target;
