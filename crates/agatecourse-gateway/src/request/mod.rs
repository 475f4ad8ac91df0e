//! Request handling: admission, attempts, relayed streams, and error responses that the node generates.

mod admission;
mod answer;
mod attempt;
mod attempt_guard;
mod caller_request;
mod crash_check;
mod crash_reports;
mod event_splitter;
mod open_connection;
mod outbound;
mod process_request;
mod quota_reservation;
mod relay;
mod run_evidence;
mod suspect_keys;
mod workload;

pub(crate) use admission::check_head;
pub(crate) use answer::{Reply, error_response, serialize_response};
pub(crate) use attempt::parse_seconds;
pub(crate) use caller_request::CallerRequest;
pub use event_splitter::{EventError, EventSplitter};
pub(crate) use process_request::process_request;
