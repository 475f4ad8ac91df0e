//! Requests of the benches: generated load, operations of callers, and results.

mod caller_operation;
mod deployment_profile;
mod load;
mod outcome;
mod sim_request;

pub use caller_operation::{CallerOperation, OperationEnd, OperationKind};
pub use deployment_profile::{DeploymentProfile, RequestKind};
pub use load::{ENGINE_SPEEDS, LoadShape, NODES, SlowEngine, generate};
pub use outcome::{RequestEnd, TierOutcome};
pub use sim_request::{BLOCK_TOKENS, SimRequest};
