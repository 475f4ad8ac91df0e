use crate::request::TokenBucket;
use agatecourse_types::TargetId;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// Share of the bound of one second that two owners of a queue may reach together, each on its own; nodes disagree about the owner for a
/// moment when it changes.
const OWNER_SHARE: f64 = 0.5;
/// Requests that a cold target may get at once after it had none.
const COLD_BURST: f64 = 1.0;
/// Time in seconds whose grants may arrive within one second, because some of them wait longer than others on their way.
const ARRIVAL_SPREAD_S: f64 = 1.4;
/// Share of a target's usual requests per second that the limit of a target which is not known to be cold must leave it, else it does not
/// apply: targets of short requests take many times as much as they do while they are cold.
const MIN_WARM_SHARE: f64 = 0.5;
/// Score added for a cold target per mean run by which a request exceeds the mean, subtracted for a smaller one. Cheap requests are
/// risked first on a target that may fail, and it keeps little of the prompts of others.
const COLD_SIZE_PENALTY: f64 = 0.4;
/// Largest part of a score that depends on the size of a request on a cold target; about a whole target's load.
const MAX_COLD_PENALTY: f64 = 0.4;

/// What the targets of a service take while they are cold.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ColdRules {
    /// Requests per second that a cold target takes from all nodes together.
    pub per_s: f64,
    /// Time for which a target is cold after its start.
    pub duration: Duration,
    /// Requests that a cold target may get in any second.
    pub max_in_a_second: f64,
}

impl ColdRules {
    /// Returns the requests per second that are granted to a cold target.
    fn cold_rate_per_s(&self) -> f64 {
        let of_one_owner = self.max_in_a_second * OWNER_SHARE - COLD_BURST;
        self.per_s.min(of_one_owner.max(self.per_s * OWNER_SHARE))
    }

    /// Returns the requests per second that are granted to a target that is not known to be cold, and how many at once.
    fn warm_limit(&self) -> (f64, f64) {
        let rate_per_s = self.per_s.max((self.per_s + self.max_in_a_second) * 0.5 - COLD_BURST);
        let rate_per_s = rate_per_s.min(self.max_in_a_second / ARRIVAL_SPREAD_S);
        (rate_per_s, (self.max_in_a_second - rate_per_s * ARRIVAL_SPREAD_S).max(1.0))
    }
}

/// Cold targets of a queue as its owner knows them.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct ColdStarts {
    /// What cold targets take; `None` if nothing limits them.
    pub rules: Option<ColdRules>,
    /// End of the cold time of each target that is cold.
    pub cold_until: BTreeMap<TargetId, Instant>,
}

/// Limits the requests to one target so that it bears them if it is cold.
///
/// A target may become cold at any moment, and its row tells it up to seconds later. So a target that is not known to be cold is kept
/// below the bound of a cold one as well, at a higher rate, where that leaves it most of what it takes.
#[derive(Debug, Clone, Default)]
pub(super) struct ColdLimiter {
    rules: Option<ColdRules>,
    /// End of the cold time that the target has told or its zone implies.
    cold_until: Option<Instant>,
    /// End of the time for which it may be cold, because it was out of reach.
    doubtful_until: Option<Instant>,
    cold: Option<TokenBucket>,
    warm: Option<TokenBucket>,
    /// True if the limit of a target that is not known to be cold applies.
    limits_warm: bool,
}

impl ColdLimiter {
    /// Takes over what is known of a target.
    pub(super) fn update(&mut self, now: Instant, starts: &ColdStarts, target: &TargetId) {
        if self.rules != starts.rules {
            self.rules = starts.rules;
            self.warm = starts.rules.map(|rules| {
                let (rate_per_s, burst) = rules.warm_limit();
                TokenBucket::new(now, rate_per_s, burst).with_tokens(1.0)
            });
            self.cold = None;
        }
        let was_cold = self.is_cold(now);
        self.cold_until = starts.cold_until.get(target).copied();
        self.begin_cold_time(now, was_cold);
    }

    /// Decides whether the limit of a target that is not known to be cold applies, by the requests per second that one takes.
    pub(super) fn set_usual_rate(&mut self, per_s: f64) {
        self.limits_warm =
            self.warm.is_some_and(|bucket| bucket.rate_per_s() >= per_s * MIN_WARM_SHARE);
    }

    /// Treats the target as cold for as long as one is after its start: it was out of reach and may have started again, which its row tells
    /// later than its answers.
    pub(super) fn suspect_restart(&mut self, now: Instant) {
        let Some(rules) = self.rules else { return };
        let was_cold = self.is_cold(now);
        self.doubtful_until = Some(now + rules.duration);
        self.begin_cold_time(now, was_cold);
    }

    fn begin_cold_time(&mut self, now: Instant, was_cold: bool) {
        if let Some(rules) = self.rules
            && self.is_cold(now)
            && (!was_cold || self.cold.is_none())
        {
            // An empty bucket: the target may just have got requests from this owner or another.
            self.cold = Some(TokenBucket::new(now, rules.cold_rate_per_s(), COLD_BURST));
        }
    }

    /// Returns whether the target is or may be cold.
    pub(super) fn is_cold(&self, now: Instant) -> bool {
        self.rules.is_some()
            && self.cold_until.max(self.doubtful_until).is_some_and(|until| now < until)
    }

    /// Returns whether the target may get a request now.
    pub(super) fn has_room(&self, now: Instant) -> bool {
        let is_filled =
            |bucket: &Option<TokenBucket>| bucket.is_none_or(|bucket| bucket.available(now) >= 1.0);
        (!self.limits_warm || is_filled(&self.warm))
            && (!self.is_cold(now) || is_filled(&self.cold))
    }

    /// Counts a request.
    pub(super) fn take(&mut self, now: Instant) {
        if self.is_cold(now)
            && let Some(bucket) = &mut self.cold
        {
            bucket.take(now);
        }
        if let Some(bucket) = self.warm.as_mut().filter(|_| self.limits_warm) {
            bucket.take(now);
        }
    }

    /// Takes back a request that was not sent.
    pub(super) fn refund(&mut self) {
        for bucket in [&mut self.cold, &mut self.warm].into_iter().flatten() {
            bucket.refund();
        }
    }

    /// Returns the requests per second that the target may get.
    pub(super) fn rate_per_s(&self, now: Instant) -> f64 {
        let warm = self.warm.filter(|_| self.limits_warm);
        let bucket = if self.is_cold(now) { self.cold } else { warm };
        bucket.map_or(f64::INFINITY, |bucket| bucket.rate_per_s())
    }

    /// Returns what a request of this size, relative to the mean run, adds to the score of the target.
    pub(super) fn score(&self, now: Instant, relative_run: f64) -> f64 {
        if !self.is_cold(now) {
            return 0.0;
        }
        (COLD_SIZE_PENALTY * (relative_run - 1.0)).clamp(-MAX_COLD_PENALTY, MAX_COLD_PENALTY)
    }
}
