use super::Job;
use serde::Serialize;
use std::time::Instant;

/// Score by which a target at home may be worse before a long prompt leaves its zone, while the caller does not notice the difference; about
/// the load of a full target.
const PATIENT_MARGIN: f64 = 0.6;
/// The same for a request that carries nothing, or whose caller would notice; small enough to break ties only.
const TIE_MARGIN: f64 = 0.05;
/// Prompt from which on a request is a large one to carry; shorter ones leave their zone for less.
const LONG_PROMPT_TOKENS: f64 = 2_000.0;
/// Part of the time until the objective that the first byte from a target at home may take before the caller is close to noticing it. The
/// rest covers the spread of run times, which is about twofold.
const UNNOTICED_SHARE: f64 = 0.5;
/// Part of the time from arrival to objective by which an attempt may have arrived earlier than one that gets a target before it. The users
/// want callers of a busy zone to wait at most a tenth longer than others.
const OVERTAKING_SHARE: f64 = 0.05;
/// Attempts after the first of a rank and organisation among which one of the zone of a free target is looked for.
pub(super) const LOOK_AHEAD: usize = 24;

/// Runs of a queue by the availability zones of caller and target.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub struct ZoneRuns {
    /// Runs at a target in the zone of the caller.
    pub at_home: u64,
    /// Runs in another zone because no target at home could take them.
    pub home_full: u64,
    /// Runs in another zone because targets at home were expected to serve them so much later that leaving pays.
    pub home_slower: u64,
}

/// Decides for the attempts of a queue when leaving the caller's availability zone pays, and counts where they go.
///
/// A free target is never left idle to save bytes between zones: an attempt leaves its zone at once when only other zones have room. What
/// is weighed is which of several free targets an attempt gets, and which of several waiting attempts gets a free target.
#[derive(Debug, Clone, Default)]
pub(super) struct ZoneSpill {
    runs: ZoneRuns,
}

impl ZoneSpill {
    /// Returns the score by which the best target of another zone must be better than the best one at home, whose first byte is expected
    /// after `home_first_byte_s`.
    pub(super) fn margin(now: Instant, job: &Job, home_first_byte_s: f64) -> f64 {
        let to_objective_s = job.objective.saturating_duration_since(now).as_secs_f64();
        if home_first_byte_s > to_objective_s * UNNOTICED_SHARE {
            return TIE_MARGIN;
        }
        let carried = (f64::from(job.prompt_tokens) / LONG_PROMPT_TOKENS).min(1.0);
        TIE_MARGIN + (PATIENT_MARGIN - TIE_MARGIN) * carried
    }

    /// Returns whether `later` may get a free target of its zone before `first`, which comes before it and would have to leave its zone. It
    /// may not once the caller of `first` would notice a longer wait.
    pub(super) fn may_overtake(now: Instant, first: &Job, later: &Job) -> bool {
        let objective = first.objective.saturating_duration_since(first.arrived);
        let left = first.objective.saturating_duration_since(now);
        left >= objective.mul_f64(UNNOTICED_SHARE)
            && later.arrived <= first.arrived + objective.mul_f64(OVERTAKING_SHARE)
    }

    /// Records a grant. `is_home_full` says whether no target of the caller's zone could take the attempt.
    pub(super) fn record_grant(&mut self, job: &Job, target_zone: &str, is_home_full: bool) {
        let count = if target_zone == job.zone {
            &mut self.runs.at_home
        } else if is_home_full {
            &mut self.runs.home_full
        } else {
            &mut self.runs.home_slower
        };
        *count += 1;
    }

    /// Returns the runs so far.
    pub(super) fn runs(&self) -> ZoneRuns {
        self.runs
    }
}
