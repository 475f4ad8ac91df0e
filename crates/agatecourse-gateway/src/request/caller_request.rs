use crate::budget::{HeldBytes, RequestBody};
use crate::connection::{HeaderNames, RequestHead};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Timeout of a request without a deadline header; the longest among the users' requirements.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(15);

/// Largest body that is sent together with the head, which saves a write; a larger one is not copied.
const MAX_JOINED_BODY_BYTES: usize = 16 * 1024;

/// A caller's request with its complete body.
#[derive(Debug)]
pub(crate) struct CallerRequest {
    pub(crate) head: RequestHead,
    /// Shared with the connection to a target that reads it while the answer is read.
    pub(crate) body: Rc<RequestBody>,
    /// Bytes that are held for the request and its answer.
    pub(crate) held: HeldBytes,
    /// Time at which the first byte was read; for a pipelined request, at which the previous request of the connection ended.
    pub(crate) arrived: Instant,
}

impl CallerRequest {
    /// Returns whether the body is sent together with the head.
    pub(crate) fn is_body_joined(&self) -> bool {
        self.body.len() <= MAX_JOINED_BODY_BYTES
    }

    /// Returns the request id header, which identifies one attempt of the caller; `None` when absent.
    pub(crate) fn id(&self, header_names: &HeaderNames) -> Option<&str> {
        self.head.headers.get(&header_names.request_id)
    }

    /// Returns the caller's timeout, counted from the arrival; at most 600 s.
    pub(crate) fn timeout(&self, header_names: &HeaderNames) -> Duration {
        let text = self.head.headers.get(&header_names.deadline_ms);
        let milliseconds =
            text.and_then(|text| text.parse::<f64>().ok()).filter(|value| value.is_finite());
        milliseconds.map_or(DEFAULT_TIMEOUT, |value| {
            Duration::from_secs_f64((value / 1_000.0).clamp(0.0, 600.0))
        })
    }

    /// Returns the API key from the `Authorization` header, if its scheme is the deployment's.
    pub(crate) fn api_key<'a>(
        head: &'a RequestHead,
        header_names: &HeaderNames,
    ) -> Option<&'a str> {
        let (scheme, key) = head.headers.get("authorization")?.split_once(' ')?;
        scheme.eq_ignore_ascii_case(&header_names.key_scheme).then(|| key.trim())
    }
}
