use crate::CallerResult;
use crate::Outcome;
use agatecourse_types::RunState;
use serde::Serialize;
use std::collections::BTreeSet;

/// Number of requests of the demo by result.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, Serialize)]
pub struct Report {
    /// All requests that were sent.
    pub sent: u64,
    /// Requests whose callers received the complete response to their own request.
    pub answered: u64,
    /// Requests refused with `run: no` that no target ran.
    pub refused_not_run: u64,
    /// Requests whose callers don't know whether the request ran.
    pub unknown: u64,
    /// Request ids that ran more than once.
    pub run_twice: u64,
    /// Requests with an incomplete response, the response to another request, or a response that contradicts the
    /// execution count: answered without an execution, or refused with `run: no` after one.
    pub wrong_answer: u64,
}

impl Report {
    /// Classifies and counts the outcomes.
    pub fn new(outcomes: &[Outcome]) -> Self {
        let mut report = Self { sent: outcomes.len() as u64, ..Self::default() };
        let mut repeated = BTreeSet::new();
        for outcome in outcomes {
            let runs = outcome.total_runs();
            match &outcome.result {
                CallerResult::Answered if runs == 0 => report.wrong_answer += 1,
                CallerResult::Answered => report.answered += 1,
                CallerResult::Wrong(_) => report.wrong_answer += 1,
                CallerResult::Refused { run: RunState::No, .. } if runs > 0 => {
                    report.wrong_answer += 1;
                }
                CallerResult::Refused { run: RunState::No, .. } => report.refused_not_run += 1,
                CallerResult::Refused { .. } => report.unknown += 1,
            }
            if runs > 1 {
                repeated.insert(&outcome.request_id);
            }
        }
        report.run_twice = repeated.len() as u64;
        report
    }

    /// Returns whether at least one request was sent, each was answered correctly, and none ran twice.
    pub fn is_successful(&self) -> bool {
        *self == Self { sent: self.sent, answered: self.sent, ..Self::default() } && self.sent > 0
    }
}

#[cfg(test)]
mod tests;
