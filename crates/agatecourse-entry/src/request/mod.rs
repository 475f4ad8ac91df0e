//! Handling of callers' requests: admission, scheduling, dispatch to a target and the relayed response.

mod admission;
mod body_reader;
mod caller_api;
mod chat_completion;
mod chat_request;
mod engine_stream;
mod grant_wait;
mod job;
mod job_deadline;
mod job_progress;
mod job_table;
mod job_task;
mod key_reservation;
mod model_dispatch;
mod request_end;
mod request_error;
mod response_channel;
mod response_digest;
mod service_dispatch;
mod sse_parser;
mod stream_sharing;

pub(crate) use admission::bearer_token;
pub(crate) use caller_api::configure_routes;
pub(crate) use job_table::{JobTable, PoolRegistration};
pub(crate) use request_error::RequestError;
