//! Decision logic of agatecourse: maps events and the present time to actions and messages.
//!
//! The core performs no I/O. It reads no clock, opens no socket, takes random numbers from a seeded generator and
//! iterates in a fixed order, so that node processes, tests and benchmarks get the same result for the same events.

pub mod process;
pub mod request;
pub mod version;
