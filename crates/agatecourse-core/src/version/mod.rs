//! Decisions that live as long as a target version: evidence for a new version and the stop of bad ones.

mod rollout;

pub use rollout::{Rollout, RolloutCounts, RolloutState};
