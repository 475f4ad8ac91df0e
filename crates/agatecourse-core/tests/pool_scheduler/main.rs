//! Tests of `PoolScheduler` through its events and actions.

mod harness;
mod placement;
mod queue;
mod recovery;
