//! Helpers shared by the integration tests of the core.
#![allow(dead_code, reason = "each test binary uses only some of the helpers")]

mod fault_injection;
mod faulty_table;
pub mod journal_simulation;
pub mod schedule;
mod service_simulation;
mod sim_node;

pub use agatecourse_core::process::MemoryTable;

/// Number of shards of a simulated journal.
pub const SHARDS: u32 = 2;

/// Bug that is injected into a simulated deployment to verify that the checker reports it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum InjectedBug {
    /// No bug.
    None,
    /// Owners reply `Granted` before the commit of the intent.
    AnswerBeforeCommit,
    /// The table ignores the conditions of transactions.
    IgnoreConditions,
    /// Listing the batches returns no rows, so a successor does not see earlier intents.
    HideBatches,
}
