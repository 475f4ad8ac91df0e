//! One check for each invariant in section 1 of the design page; all of them expect a history sorted by time.

mod config_in_force;
mod dispatches;
mod graceful_shutdown;
mod own_whole_answer;
mod runs;
mod targets;
mod tier_order;
mod versions;

pub use config_in_force::config_in_force;
pub use dispatches::dispatch_at_most_once;
pub use graceful_shutdown::graceful_shutdown;
pub use own_whole_answer::own_whole_answer;
pub use runs::{not_run_is_true, run_at_most_once};
pub use targets::leaving_target_idle;
pub use tier_order::tier_order;
pub use versions::bad_version_share;

use crate::{CheckLimits, Record, Violation};

/// Names of the nine invariants in the order of the design page.
pub const INVARIANTS: [&str; 9] = [
    "dispatch_at_most_once",
    "tier_order",
    "bad_version_share",
    "own_whole_answer",
    "not_run_is_true",
    "run_at_most_once",
    "leaving_target_idle",
    "graceful_shutdown",
    "config_in_force",
];

/// Runs all checks on a history that is sorted by time, and returns the violations in the order of [`INVARIANTS`].
pub fn check_all(history: &[Record], limits: &CheckLimits) -> Vec<Violation> {
    [
        dispatch_at_most_once(history),
        tier_order(history),
        bad_version_share(history, limits),
        own_whole_answer(history),
        not_run_is_true(history),
        run_at_most_once(history),
        leaving_target_idle(history, limits),
        graceful_shutdown(history),
        config_in_force(history, limits),
    ]
    .concat()
}

#[cfg(test)]
mod tests;
