//! Rollout of new target versions: evaluates their answers and rolls bad versions back.

mod rollout;

pub use rollout::{Rollout, RolloutCounts, RolloutState};
