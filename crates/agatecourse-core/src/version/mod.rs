//! Rollout of new target versions: evaluates their answers and rolls bad versions back.

mod rollout;
mod route_evidence;

pub use rollout::{AnswerTime, Rollout, RolloutCounts, RolloutState, RouteHash};
