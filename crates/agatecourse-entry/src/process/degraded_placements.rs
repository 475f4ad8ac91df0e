use agatecourse_types::{RequestId, TargetId};
use std::collections::BTreeMap;
use std::sync::{Mutex, PoisonError};

/// Targets that run a request which this node placed without a pool owner; at most one request for each target.
#[derive(Debug, Default)]
pub(crate) struct DegradedPlacements(Mutex<BTreeMap<TargetId, RequestId>>);

impl DegradedPlacements {
    /// Takes the first target that has no such request.
    pub(crate) fn reserve_target(
        &self,
        request_id: RequestId,
        targets: &[TargetId],
    ) -> Option<TargetId> {
        let mut taken = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let free = targets.iter().find(|target| !taken.contains_key(*target))?;
        taken.insert(free.clone(), request_id);
        Some(free.clone())
    }

    /// Gives the target of a request back; returns whether the request had one.
    pub(crate) fn release_target(&self, request_id: RequestId, target: &str) -> bool {
        let mut taken = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let held = taken.get(target) == Some(&request_id);
        if held {
            taken.remove(target);
        }
        held
    }
}
