//! History events of agatecourse and the checks of its nine invariants.
//!
//! Nodes, stand-ins and tests record events as JSON lines in the format of `docs/history-format.md`. [`check_all`]
//! checks a history and returns the records that violate an invariant.
//!
//! ```
//! use agatecourse_history::{CheckLimits, HistoryEvent, Record, check_all};
//! use agatecourse_types::RunState;
//!
//! let run = HistoryEvent::Ran { request_id: 1, target: "depot".to_string() };
//! let refusal = HistoryEvent::Refused { request_id: 1, code: 2001, run: RunState::No };
//! let history = [Record::new(10, "standin", run), Record::new(20, "node-a", refusal)];
//! let violations = check_all(&history, &CheckLimits::default());
//! assert_eq!(violations[0].invariant, "not_run_is_true");
//! ```

mod check_limits;
pub mod checks;
mod event;
mod history_file;
mod record;
mod request_id_text;
mod violation;

pub use check_limits::CheckLimits;
pub use checks::check_all;
pub use event::HistoryEvent;
pub use history_file::{HistoryError, read_history, write_record};
pub use record::Record;
pub use violation::Violation;
