//! Load and experiments for agatecourse, each in one file.
//!
//! The benches `goodput` and `prefill` run the decision core of `agatecourse-core` in virtual time, with
//! deterministic fakes of engines, nodes and callers. All arms of a bench get the same load. The benches `control`,
//! `faults` and `overhead` start real node processes and stand-ins on loopback.

pub mod check;
pub mod control;
mod draw;
pub mod faults;
pub mod goodput;
pub mod overhead;
pub mod prefill;
pub mod process;
pub mod report;
pub mod request;
