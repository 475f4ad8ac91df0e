//! Runs a complete deployment on loopback: stand-ins for the targets and platform services, entry nodes, and callers.
//!
//! The program `agatecourse-demo` starts three nodes, sends requests through each of them, checks each response against
//! its request and the execution counts of the targets, and stops every process that it started.

mod error;
mod process;
mod request;

pub use error::DemoError;
pub use process::{Deployment, DeploymentSettings, Target};
pub use request::{CallerResult, Outcome, Report, run_requests};
