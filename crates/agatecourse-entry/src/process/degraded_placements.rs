use agatecourse_types::{RequestId, TargetId};
use std::collections::BTreeMap;
use std::sync::{Mutex, PoisonError};

/// Targets that run a request which this node placed without a pool owner, at most one request per target.
#[derive(Debug, Default)]
pub(crate) struct DegradedPlacements(Mutex<BTreeMap<TargetId, RequestId>>);

impl DegradedPlacements {
    /// Reserves the first of `targets` that has no such request; `None` when all have one.
    pub(crate) fn reserve_target(
        &self,
        request_id: RequestId,
        targets: &[TargetId],
    ) -> Option<TargetId> {
        let mut reserved = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let free = targets.iter().find(|target| !reserved.contains_key(*target))?;
        reserved.insert(free.clone(), request_id);
        Some(free.clone())
    }

    /// Frees the target if the request has reserved it, and returns whether it had.
    pub(crate) fn release_target(&self, request_id: RequestId, target: &str) -> bool {
        let mut reserved = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let is_reserved = reserved.get(target) == Some(&request_id);
        if is_reserved {
            reserved.remove(target);
        }
        is_reserved
    }
}
