//! Requests and their runs, and the stand-ins of targets.

mod answer_text;
mod chat_request;
mod engine_endpoints;
mod engine_run;
mod engine_settings;
mod engine_state;
mod engine_stream;
mod prefix_cache;
mod service_answer;
mod service_settings;

pub use answer_text::expected_answer;
pub use chat_request::{prompt_block_hashes, prompt_text};
pub use engine_settings::EngineSettings;
pub(crate) use prefix_cache::CacheChange;
pub use service_answer::ServiceAnswer;
pub use service_settings::ServiceSettings;
