//! Requests that the demo sends, their results and the summary report.

mod chat_events;
mod outcome;
mod report;
mod requests;

pub use outcome::{CallerResult, Outcome};
pub use report::Report;
pub use requests::run_requests;
