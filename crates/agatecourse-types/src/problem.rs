use crate::{RequestId, ResultCode, RunState, format_request_id};
use serde::{Deserialize, Serialize};

/// Body of a refusal in the `application/problem+json` format (RFC 9457).
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Problem {
    /// URI reference that identifies the kind of problem.
    #[serde(rename = "type")]
    pub kind: String,
    /// Short text that is the same for each occurrence of the code.
    pub title: String,
    /// HTTP status code.
    pub status: u16,
    /// Text that explains this occurrence.
    pub detail: String,
    /// Number of the result code.
    pub code: u16,
    /// Whether a target ran the request.
    pub run: RunState,
    /// Id of the request as 32 hexadecimal digits.
    pub request_id: String,
}

impl Problem {
    /// Creates the problem document of a result code, with the code's title, status and run state.
    pub fn new(code: ResultCode, request_id: RequestId, detail: impl Into<String>) -> Self {
        Self {
            kind: format!("/problems/{}", code.number()),
            title: code.title().to_string(),
            status: code.http_status(),
            detail: detail.into(),
            code: code.number(),
            run: code.run_state(),
            request_id: format_request_id(request_id),
        }
    }
}
