//! Entry node of agatecourse: accepts requests from callers and forwards them to targets.
//!
//! HTTP workers check requests and run one task for each. Actors run the timers, the node group and the journal; the
//! state that all threads use is in the `process` module.

// The support module of the integration tests, which unit tests include, refers to this crate by name.
#[cfg(test)]
extern crate self as agatecourse_entry;

mod connection;
mod process;
mod request;
mod version;

pub use process::{Node, NodeError};
