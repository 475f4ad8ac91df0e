use actix_web::HttpResponse;
use actix_web::http::{StatusCode, header};
use agatecourse_types::{Problem, RequestId, ResultCode, RunState};
use std::time::Duration;

/// Refusal or failure of a request, from which the caller's problem document is built.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct RequestError {
    pub(crate) code: ResultCode,
    /// Explanation for the caller.
    pub(crate) detail: String,
    /// Time after which the caller may retry, sent as `Retry-After`; absent when no time is known.
    pub(crate) retry_after: Option<Duration>,
    /// Whether the request ran at a target.
    run: RunState,
}

impl RequestError {
    pub(crate) fn new(code: ResultCode, detail: impl Into<String>) -> Self {
        Self { code, detail: detail.into(), retry_after: None, run: code.run_state() }
    }

    /// Sets the `Retry-After` header of the response.
    #[must_use]
    pub(crate) fn with_retry_after(mut self, retry_after: impl Into<Option<Duration>>) -> Self {
        self.retry_after = retry_after.into();
        self
    }

    /// Replaces the default run state of the code.
    #[must_use]
    pub(crate) fn with_run(mut self, run: RunState) -> Self {
        self.run = run;
        self
    }

    pub(crate) fn run(&self) -> RunState {
        self.run
    }

    pub(crate) fn problem(&self, request_id: RequestId) -> Problem {
        Problem { run: self.run, ..Problem::new(self.code, request_id, self.detail.clone()) }
    }

    /// Builds the HTTP response with the problem document.
    pub(crate) fn response(&self, request_id: RequestId) -> HttpResponse {
        let problem = self.problem(request_id);
        let status =
            StatusCode::from_u16(problem.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
        let mut response = HttpResponse::build(status);
        if let Some(after) = self.retry_after {
            // The header has whole seconds; rounding up prevents early retries.
            let seconds = after.as_secs() + u64::from(after.subsec_nanos() > 0);
            response.insert_header((header::RETRY_AFTER, seconds.max(1)));
        }
        response.insert_header(("X-Request-Id", problem.request_id.clone()));
        let body = serde_json::to_vec(&problem).unwrap_or_default();
        response.content_type("application/problem+json").body(body)
    }
}
