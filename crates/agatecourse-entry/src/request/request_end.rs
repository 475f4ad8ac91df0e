use crate::request::RequestError;
use crate::request::response_channel::CallerLeft;
use agatecourse_wire::request::DispatchOutcome;

/// How a request ended, as its entry node sees it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum RequestEnd {
    /// The caller got the whole answer.
    Answered,
    /// The caller got the whole answer of a service, whose status reports a failure.
    AnsweredWithError,
    /// The caller left.
    CallerLeft,
    /// The deadline passed.
    Expired,
    /// The request was refused or failed.
    Failed { error: RequestError, outcome: DispatchOutcome },
}

impl RequestEnd {
    pub(crate) fn failed(error: RequestError, outcome: DispatchOutcome) -> Self {
        Self::Failed { error, outcome }
    }

    /// Returns what the pool owner learns about the dispatch.
    pub(crate) fn outcome(&self) -> DispatchOutcome {
        match self {
            Self::Answered => DispatchOutcome::Completed,
            Self::AnsweredWithError => DispatchOutcome::Failed,
            Self::CallerLeft => DispatchOutcome::Cancelled,
            Self::Expired => DispatchOutcome::Expired,
            Self::Failed { outcome, .. } => *outcome,
        }
    }
}

impl From<CallerLeft> for RequestEnd {
    fn from(_: CallerLeft) -> Self {
        Self::CallerLeft
    }
}
