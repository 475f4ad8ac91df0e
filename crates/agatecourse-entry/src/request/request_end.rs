use crate::request::RequestError;
use crate::request::response_channel::CallerLeft;
use agatecourse_wire::request::DispatchOutcome;

/// How a request ended at its entry node.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum RequestEnd {
    /// The caller received the whole response.
    Answered,
    /// The caller received the whole response of a service, which had a 5xx status.
    AnsweredWithError,
    /// The caller closed its connection.
    CallerLeft,
    /// The deadline passed before the response was complete.
    Expired,
    /// The request was refused or failed; the caller receives `error`.
    Failed { error: RequestError, outcome: DispatchOutcome },
}

impl RequestEnd {
    pub(crate) fn failed(error: RequestError, outcome: DispatchOutcome) -> Self {
        Self::Failed { error, outcome }
    }

    /// Returns the outcome of the dispatch that is reported to the pool owner.
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
