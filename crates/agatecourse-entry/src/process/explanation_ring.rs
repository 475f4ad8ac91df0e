use agatecourse_types::{RequestId, ResultCode, RouteId, TargetId, VersionId};
use serde::Serialize;
use std::collections::VecDeque;
use std::sync::Mutex;

/// Maximum number of explanations; adding one more drops the oldest.
const MAX_EXPLANATIONS: usize = 4_096;

/// Why a request was placed or refused, and how it ended.
#[derive(Debug, Clone, Serialize)]
pub(crate) struct Explanation {
    #[serde(skip)]
    pub(crate) request_id: RequestId,
    pub(crate) route: RouteId,
    pub(crate) target: Option<TargetId>,
    pub(crate) version: Option<VersionId>,
    /// Reason for the choice of the target or for the refusal.
    pub(crate) reason: String,
    /// Result code of a failed request; `None` for an answered one.
    pub(crate) code: Option<ResultCode>,
    pub(crate) waited_ms: u64,
    pub(crate) elapsed_ms: u64,
    /// Number of times the stream was resumed on a new connection.
    pub(crate) resumptions: u32,
}

/// Ring buffer with the latest explanations, for the operators' `/explain` endpoint.
#[derive(Debug, Default)]
pub(crate) struct ExplanationRing(Mutex<VecDeque<Explanation>>);

impl ExplanationRing {
    pub(crate) fn add(&self, explanation: Explanation) {
        let mut ring = self.0.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
        if ring.len() == MAX_EXPLANATIONS {
            ring.pop_front();
        }
        ring.push_back(explanation);
    }

    pub(crate) fn find(&self, request_id: RequestId) -> Option<Explanation> {
        let ring = self.0.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
        ring.iter().rev().find(|explanation| explanation.request_id == request_id).cloned()
    }
}
