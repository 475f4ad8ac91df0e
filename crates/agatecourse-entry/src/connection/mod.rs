//! HTTP connections to targets.

mod dispatch_error;
mod target_client;

pub(crate) use dispatch_error::DispatchError;
pub(crate) use target_client::{TargetClient, TargetResponse};
