use crate::connection::{HeaderNames, RequestHead};
use std::time::{Duration, Instant};

/// Timeout of a request without a deadline header; the longest among the users' requirements.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(15);

/// A caller's request with its complete body.
#[derive(Debug)]
pub(crate) struct CallerRequest {
    pub(crate) head: RequestHead,
    pub(crate) body: Vec<u8>,
    /// Time at which the first byte was read; for a pipelined request, at which the previous request of the connection ended.
    pub(crate) arrived: Instant,
}

impl CallerRequest {
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
    pub(crate) fn api_key(&self, header_names: &HeaderNames) -> Option<&str> {
        let (scheme, key) = self.head.headers.get("authorization")?.split_once(' ')?;
        scheme.eq_ignore_ascii_case(&header_names.key_scheme).then(|| key.trim())
    }
}
