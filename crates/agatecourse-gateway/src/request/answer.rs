use crate::connection::{CompleteResponse, ResponseHead, has_no_body};
use agatecourse_types::{Problem, RequestId, ResultCode};
use std::fmt::Write;
use std::time::Duration;

/// Result of a request, from which the caller's connection writes the response or decides to close.
#[derive(Debug)]
pub(crate) enum Reply {
    /// A complete response of a target, serialized for the caller.
    Complete { status: u16, bytes: Vec<u8> },
    /// An error response that the node generates.
    Error { code: ResultCode, retry_after: Option<Duration>, reason: String },
    /// A stream that was relayed completely.
    StreamEnded,
    /// A stream that broke; the connection is closed so that the caller detects the truncation.
    StreamBroken { reason: String },
}

impl Reply {
    /// Creates an error response without `Retry-After`.
    pub(crate) fn error(code: ResultCode, reason: impl Into<String>) -> Self {
        Self::Error { code, retry_after: None, reason: reason.into() }
    }

    /// Creates an error response with `Retry-After`.
    pub(crate) fn refusal(
        code: ResultCode,
        retry_after: Duration,
        reason: impl Into<String>,
    ) -> Self {
        Self::Error { code, retry_after: Some(retry_after), reason: reason.into() }
    }
}

/// Serializes an error response that the node generates to a request with this method.
pub(crate) fn error_response(
    method: &str,
    code: ResultCode,
    retry_after: Option<Duration>,
    detail: &str,
    id: Option<(&str, &str)>,
    closes: bool,
) -> Vec<u8> {
    let status = status_of(code);
    // The problem document holds only hexadecimal ids; other ids are returned in the header alone.
    let numeric_id =
        id.and_then(|(_, value)| RequestId::from_str_radix(value, 16).ok()).unwrap_or_default();
    let mut problem = Problem::new(code, numeric_id, detail);
    problem.status = status;
    let body = serde_json::to_vec(&problem).unwrap_or_default();
    let mut lines = String::from("Content-Type: application/problem+json\r\n");
    // Writing to a string can't fail.
    if let Some((name, value)) = id {
        let _ = write!(lines, "{name}: {value}\r\n");
    }
    if let Some(wait) = retry_after {
        let _ = write!(lines, "Retry-After: {:.3}\r\n", wait.as_secs_f64());
    }
    CompleteResponse::new(status, reason_phrase(status), lines.as_bytes(), &body)
        .with_closes(closes)
        .serialize(method)
}

/// Returns the HTTP status of a result code; a request that expired in the queue gets 503, because it did not run and may be
/// retried.
fn status_of(code: ResultCode) -> u16 {
    match code {
        // 422 would mean that the request is permanently invalid, but a quarantine expires.
        ResultCode::ExpiredWaiting | ResultCode::Quarantined => 503,
        _ => code.http_status(),
    }
}

fn reason_phrase(status: u16) -> &'static str {
    match status {
        400 => "Bad Request",
        401 => "Unauthorized",
        404 => "Not Found",
        408 => "Request Timeout",
        413 => "Content Too Large",
        422 => "Unprocessable Content",
        429 => "Too Many Requests",
        431 => "Request Header Fields Too Large",
        502 => "Bad Gateway",
        503 => "Service Unavailable",
        504 => "Gateway Timeout",
        _ => "Unknown",
    }
}

/// Serializes a target's complete response to a request with this method for the caller.
pub(crate) fn serialize_response(
    method: &str,
    head: &ResponseHead,
    body: &[u8],
    closes: bool,
) -> Vec<u8> {
    let mut lines = Vec::new();
    head.headers.write_end_to_end(&mut lines, |_| false);
    let mut response = CompleteResponse::new(head.status, &head.reason, &lines, body);
    if has_no_body(method, head.status) {
        // The target states the length of the body that it would send in response to GET, or none.
        response = response.with_body_length(head.headers.content_length().unwrap_or_default());
    }
    response.with_closes(closes).serialize(method)
}
