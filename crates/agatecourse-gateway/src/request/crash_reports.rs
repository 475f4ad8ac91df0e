use crate::version::Target;
use agatecourse_core::request::{CrashReport, SuspectKey, SuspectKeys};
use agatecourse_types::stable_hash;
use smallvec::SmallVec;
use std::time::Instant;

/// Returns the reports on a run that was sent at `started` to a target that may have crashed now. `keys` are those of its request, the whole
/// request first.
///
/// The parts of a prompt are weaker suspects once the answer went on, because those that many running requests share are on each crash
/// of a target.
pub(crate) fn crash_reports(
    keys: &[SuspectKey],
    target: &Target,
    started: Instant,
    went_on: bool,
) -> SmallVec<[CrashReport; 2]> {
    let early_count = if went_on { keys.len().min(1) } else { keys.len() };
    let (early, late) = keys.split_at(early_count);
    let ended = Instant::now();
    let kinds = [(early, false), (late, true)];
    kinds
        .into_iter()
        .filter(|(keys, _)| !keys.is_empty())
        .map(|(keys, is_late)| CrashReport {
            target: stable_hash(&[target.address.to_string().as_bytes()]) as u32,
            started,
            ended,
            keys: SuspectKeys::from_slice(keys),
            is_late,
        })
        .collect()
}
