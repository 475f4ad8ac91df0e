use agatecourse_types::{RequestId, ResultCode, RouteId, TargetId, VersionId};
use serde::Serialize;
use std::collections::VecDeque;
use std::sync::Mutex;

/// Number of requests whose explanation is kept; the oldest is dropped at the bound.
const LIMIT: usize = 4_096;

/// Why a request was placed or refused, and how it ended.
#[derive(Debug, Clone, Serialize)]
pub(crate) struct Explanation {
    #[serde(skip)]
    pub(crate) request_id: RequestId,
    pub(crate) route: RouteId,
    pub(crate) target: Option<TargetId>,
    pub(crate) version: Option<VersionId>,
    /// Reason of the placement or of the refusal.
    pub(crate) reason: String,
    /// Result code; none for an answered request.
    pub(crate) code: Option<ResultCode>,
    pub(crate) waited_ms: u64,
    pub(crate) elapsed_ms: u64,
    /// Number of times the stream was resumed on a new connection.
    pub(crate) resumptions: u32,
}

/// Ring of the latest explanations.
#[derive(Debug, Default)]
pub(crate) struct ExplanationRing(Mutex<VecDeque<Explanation>>);

impl ExplanationRing {
    pub(crate) fn add(&self, explanation: Explanation) {
        let mut ring = self.0.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
        if ring.len() == LIMIT {
            ring.pop_front();
        }
        ring.push_back(explanation);
    }

    pub(crate) fn find(&self, request_id: RequestId) -> Option<Explanation> {
        let ring = self.0.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
        ring.iter().rev().find(|explanation| explanation.request_id == request_id).cloned()
    }
}
