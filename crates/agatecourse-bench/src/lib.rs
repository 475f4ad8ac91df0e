//! Load generators and benchmarks for agatecourse, one module for each benchmark.
//!
//! The benches `goodput` and `prefill` run the scheduler of `agatecourse-core` in virtual time, with deterministic
//! simulations of engines, nodes and callers. All placement policies of a bench get the same load. The benches
//! `control`, `faults` and `overhead` start real node processes and stand-ins on loopback.

pub mod check;
pub mod control;
pub mod faults;
pub mod goodput;
pub mod overhead;
pub mod prefill;
pub mod process;
pub mod report;
pub mod request;
mod seeded_rng;
