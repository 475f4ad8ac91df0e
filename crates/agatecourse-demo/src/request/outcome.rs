use agatecourse_types::{Problem, RunState};
use std::fmt;
use std::time::Duration;

/// Result of one request, with the executions that the targets counted for it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Outcome {
    /// Short description of the request for the printed result.
    pub label: String,
    /// Name of the node that the request was sent to.
    pub node: String,
    /// What the caller received.
    pub result: CallerResult,
    /// Id of the request that the response belongs to; empty when there was no response.
    pub request_id: String,
    /// Targets that ran this request, with the number of executions on each.
    pub runs: Vec<(String, u64)>,
    /// Time until the complete response had arrived or the request failed.
    pub elapsed: Duration,
}

/// What a caller received for one request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallerResult {
    /// The complete response to its own request.
    Answered,
    /// An incomplete response or the response to another request, with a description for the report.
    Wrong(String),
    /// An error response, or no response at all.
    Refused {
        /// Whether the request ran, according to the response; `Unknown` when it doesn't say.
        run: RunState,
        /// Code, title and detail of the problem document, or the client's error.
        detail: String,
    },
}

impl CallerResult {
    /// Creates a result from an error response; without a problem document the outcome is unknown.
    pub(crate) fn from_error_response(status: u16, body: &str) -> Self {
        match serde_json::from_str::<Problem>(body) {
            Ok(problem) => {
                let detail = format!("{} {}: {}", problem.code, problem.title, problem.detail);
                Self::Refused { run: problem.run, detail }
            }
            Err(_) => Self::unknown(format!("status {status} without a problem document")),
        }
    }

    /// Creates a result for a request that may or may not have run.
    pub(crate) fn unknown(detail: String) -> Self {
        Self::Refused { run: RunState::Unknown, detail }
    }
}

impl Outcome {
    /// Returns how often the request ran, summed over all targets.
    pub fn total_runs(&self) -> u64 {
        self.runs.iter().map(|(_, runs)| runs).sum()
    }
}

impl fmt::Display for Outcome {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let result = match &self.result {
            CallerResult::Answered => "answered".to_string(),
            CallerResult::Wrong(detail) => format!("WRONG ANSWER: {detail}"),
            CallerResult::Refused { run, detail } => format!("REFUSED, run {run:?}: {detail}"),
        };
        let runs: Vec<String> =
            self.runs.iter().map(|(target, runs)| format!("{target} x{runs}")).collect();
        let runs = if runs.is_empty() { "no target".to_string() } else { runs.join(", ") };
        let (node, label, elapsed_ms) = (&self.node, &self.label, self.elapsed.as_millis());
        write!(
            formatter,
            "{node}  {label:<28} {result}; ran on {runs}; {elapsed_ms} ms; id {}",
            self.request_id
        )
    }
}
