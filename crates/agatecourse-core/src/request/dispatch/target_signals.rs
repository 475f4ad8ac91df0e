use agatecourse_types::TargetId;
use std::collections::BTreeMap;
use std::time::Instant;

/// Limit of a target's requests, as one of its responses named it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct NamedLimit {
    /// Requests per second that the target takes from all nodes together; `None` once it names no limit any more.
    pub per_s: Option<f64>,
    /// Time at which the response arrived.
    pub named_at: Instant,
}

/// Limits that targets have named in their responses to one node.
#[derive(Debug, Clone, Default)]
pub struct TargetLimits {
    by_target: BTreeMap<TargetId, NamedLimit>,
}

impl TargetLimits {
    /// Creates an empty record.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records the limit that a response names, `None` if it names none; returns whether it differs from the one before.
    ///
    /// A response without a limit lifts it only if its request was sent after the limit was named, because responses on different
    /// connections may arrive out of order.
    pub fn record(
        &mut self,
        now: Instant,
        target: &TargetId,
        sent_at: Instant,
        per_s: Option<f64>,
    ) -> bool {
        let Some(known) = self.by_target.get_mut(target) else {
            if per_s.is_some() {
                self.by_target.insert(target.clone(), NamedLimit { per_s, named_at: now });
            }
            return per_s.is_some();
        };
        if per_s.is_none() && sent_at <= known.named_at {
            return false;
        }
        let is_changed = known.per_s != per_s;
        *known = NamedLimit { per_s, named_at: now };
        is_changed
    }

    /// Returns the limit of a target, if it has ever named one.
    pub fn get(&self, target: &TargetId) -> Option<NamedLimit> {
        self.by_target.get(target).copied()
    }

    /// Removes the targets for which `is_known` returns false.
    pub fn retain(&mut self, is_known: impl Fn(&TargetId) -> bool) {
        self.by_target.retain(|target, _| is_known(target));
    }
}
