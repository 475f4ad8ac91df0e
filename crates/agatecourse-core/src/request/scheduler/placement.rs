use super::POOL_TARGET_LIMIT;
use super::credit_ledger::SpendRank;
use super::pool_scheduler::PoolScheduler;
use super::prefix_index::SlotMask;
use super::request_state::WaitingRequest;
use super::slot_view::{SlotView, SlotViews};
use super::version_share::VersionRule;
use std::time::{Duration, Instant};

/// A request is urgent when the time left is less than this multiple of its expected time to finish.
const URGENT_FACTOR: f64 = 2.0;
/// Weight of the delay that reading a prompt causes to the batch, relative to the finish time of the request.
///
/// Reading delays the whole batch by tenths of a second, while the finish time of one request differs by seconds
/// between targets of different speeds. With equal weights, prefixes would spread over all targets.
const READ_DELAY_WEIGHT: f64 = 10.0;
/// Divisor of the time from submission to deadline that yields the longest wait for a target with a cached prefix.
///
/// In a trial of the bench `prefill` (kaewkla, seed 1), a wait of a tenth raised the cache hits from 0.53 to 0.71,
/// relative to one engine with unlimited memory.
const PREFIX_WAIT_DIVISOR: u32 = 10;
/// Longest wait for a target with a cached prefix, whatever the deadline.
const MAX_PREFIX_WAIT: Duration = Duration::from_secs(6);
/// Time to drain the queue, in seconds, above which a request must fit its deadline by the upper bound of its
/// length.
const CONTENTION_THRESHOLD_S: f64 = 0.5;

/// Candidate target for a request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct TargetChoice {
    /// Index of the target.
    pub slot: usize,
    /// Expected time from now to the end of the answer, in seconds.
    pub finish_s: f64,
    /// Prompt tokens that the target probably has in its prefix cache.
    pub cached_tokens: u32,
    /// Prompt tokens that the target with the longest cached prefix has beyond those of this target.
    pub cached_elsewhere_tokens: u32,
    /// Whether the deadline is too close to let other requests overtake.
    pub urgent: bool,
    /// Expected time to finish plus the weighted delay that reading the prompt causes to the batch, in seconds;
    /// lower is better.
    score_s: f64,
    rank: SpendRank,
}

/// Result of the search for a target for one request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) enum Placement {
    /// The request can start now on this target.
    Grant(TargetChoice),
    /// A target can finish the request in time but has no room now.
    Wait,
    /// No target could finish the request in time, even if it started now.
    CannotFinish,
    /// No target of an allowed version is usable.
    NoTarget,
    /// No usable target has a provider with credit left.
    NoCredit,
}

/// State of a search over the targets.
#[derive(Debug, Default)]
struct TargetSearch {
    best: Option<TargetChoice>,
    /// Whether a target without room could finish the request in time.
    can_wait: bool,
    /// Largest number of prompt tokens that a target without room has in its prefix cache.
    max_cached_without_room: u32,
    /// Whether a target of an allowed version is usable.
    has_usable_target: bool,
    /// Whether a usable target was excluded because its provider has no credit.
    without_credit: bool,
}

impl TargetSearch {
    /// Returns the best choice, or why there is none.
    fn result(&self) -> Placement {
        match self.best {
            Some(choice) => Placement::Grant(choice),
            None if self.can_wait => Placement::Wait,
            None if self.has_usable_target => Placement::CannotFinish,
            None if self.without_credit => Placement::NoCredit,
            None => Placement::NoTarget,
        }
    }
}

impl PoolScheduler {
    /// Returns the best target for a request, or why there is none.
    ///
    /// Targets that meet the deadline even with the upper bound of the answer length are preferred. Among these, the
    /// order is by credit rank, then by expected finish time plus the delay that reading the prompt causes to others.
    pub(super) fn find_target(
        &self,
        now: Instant,
        views: &SlotViews<'_>,
        waiting: &WaitingRequest,
    ) -> Placement {
        let rule = self.version_rule(waiting);
        let cached = self.cached_tokens(waiting);
        let upper_bound =
            self.search_targets(now, views, waiting, rule, &cached, waiting.upper_bound_tokens);
        if matches!(upper_bound, Placement::Grant(_) | Placement::Wait) {
            return upper_bound;
        }
        let required_tokens = self.required_write_tokens(waiting);
        if required_tokens == waiting.upper_bound_tokens && rule == VersionRule::Any {
            return upper_bound;
        }
        let result = self.search_targets(now, views, waiting, rule, &cached, required_tokens);
        match (rule, result) {
            (_, Placement::Grant(_) | Placement::Wait) => result,
            // Requests of the new version's share that its targets can't serve fall back to the old version.
            (VersionRule::Prefer(_), _) => {
                self.search_targets(now, views, waiting, VersionRule::Any, &cached, required_tokens)
            }
            // Once all targets run the new version, it serves the requests outside of its share too.
            (VersionRule::Avoid(version), Placement::NoTarget) if self.all_targets_run(version) => {
                self.search_targets(now, views, waiting, VersionRule::Any, &cached, required_tokens)
            }
            _ => result,
        }
    }

    /// Returns the answer length with which a request must fit its deadline.
    ///
    /// With a queue in its own or higher tiers, this is the upper bound: capacity that others wait for is not spent on
    /// an answer that may miss its deadline.
    fn required_write_tokens(&self, waiting: &WaitingRequest) -> u32 {
        let ahead_s = self.queue.work_through_s(waiting.tier());
        if self.current_rates().drain_s(ahead_s) > CONTENTION_THRESHOLD_S {
            waiting.upper_bound_tokens
        } else {
            waiting.admission_tokens
        }
    }

    /// Returns the versions that a request may run on, by the version share of its route.
    fn version_rule(&self, waiting: &WaitingRequest) -> VersionRule<'_> {
        let route = &waiting.ticket.route;
        let share = self.version_shares.iter().find(|share| share.route == *route);
        share.map_or(VersionRule::Any, |share| share.rule(waiting.ticket.share_slot))
    }

    fn all_targets_run(&self, version: &str) -> bool {
        let mut listed = self.targets.iter().filter(|target| target.listed);
        listed.all(|target| target.spec.version == version)
    }

    /// Searches the targets that the rule allows for the best one that writes `required_tokens` in time.
    fn search_targets(
        &self,
        now: Instant,
        views: &SlotViews<'_>,
        waiting: &WaitingRequest,
        rule: VersionRule<'_>,
        cached: &[u32; POOL_TARGET_LIMIT],
        required_tokens: u32,
    ) -> Placement {
        let time_left_s = waiting.deadline.saturating_duration_since(now).as_secs_f64();
        let mut search =
            TargetSearch { without_credit: views.without_credit, ..TargetSearch::default() };
        let longest_cached = cached.iter().copied().max().unwrap_or_default();
        for view in &views.slots {
            let slot = view.slot;
            if !rule.allows(view.version)
                || self.is_version_stopped(&waiting.ticket.route, view.version)
            {
                continue;
            }
            search.has_usable_target = true;
            let unread = waiting.ticket.read_tokens.saturating_sub(cached[slot]);
            let read_s = view.read_token_s * f64::from(unread);
            let first_token_s = view.reading_s + read_s;
            if first_token_s + view.gap_s * f64::from(required_tokens) > time_left_s {
                continue;
            }
            let finish_s = first_token_s + view.gap_s * f64::from(waiting.write_tokens);
            if self.can_start(view, waiting) {
                let choice = TargetChoice {
                    slot,
                    finish_s,
                    cached_tokens: cached[slot],
                    cached_elsewhere_tokens: longest_cached.saturating_sub(cached[slot]),
                    urgent: finish_s * URGENT_FACTOR > time_left_s,
                    score_s: finish_s + READ_DELAY_WEIGHT * read_s * view.batch,
                    rank: view.rank,
                };
                search.best = Some(search.best.map_or(choice, |best| better_choice(best, choice)));
            } else {
                search.can_wait = true;
                search.max_cached_without_room = search.max_cached_without_room.max(cached[slot]);
            }
        }
        if search.best.is_some_and(|best| should_wait_for_prefix(now, waiting, &search, &best)) {
            return Placement::Wait;
        }
        search.result()
    }

    /// Returns whether a request can start on a target now: it has room, is not reserved for another request, and is
    /// idle if the request is a suspect.
    fn can_start(&self, view: &SlotView<'_>, waiting: &WaitingRequest) -> bool {
        let request_id = waiting.ticket.request_id;
        let reserved = self.reservation.filter(|(reserved, _)| *reserved == view.slot);
        let reserved_for_other = reserved.is_some_and(|(_, holder)| holder != request_id);
        let isolated = waiting.ticket.suspect.is_none() || view.batch < 1.0;
        view.has_room && !reserved_for_other && isolated
    }

    /// Returns by slot the number of prompt tokens that the target probably has in its prefix cache.
    fn cached_tokens(&self, waiting: &WaitingRequest) -> [u32; POOL_TARGET_LIMIT] {
        let mut tokens = [0; POOL_TARGET_LIMIT];
        let ticket = &waiting.ticket;
        let mut assign = |mut slots: SlotMask, prefix_tokens: u32| {
            while slots != 0 {
                tokens[slots.trailing_zeros() as usize] = prefix_tokens;
                slots &= slots - 1;
            }
        };
        // A cached block is usable only if the target also caches all blocks before it.
        let mut holding = SlotMask::MAX;
        let mut prefix_tokens = 0;
        for holders in self.prefixes.holders(&ticket.prefix_hashes) {
            assign(holding & !holders, prefix_tokens);
            holding &= holders;
            if holding == 0 {
                break;
            }
            prefix_tokens = ticket.read_tokens.min(prefix_tokens + ticket.prefix_block_tokens);
        }
        assign(holding, prefix_tokens);
        tokens
    }
}

/// Returns whether a request should wait for a target without room that caches more of its prompt than the best one
/// with room.
fn should_wait_for_prefix(
    now: Instant,
    waiting: &WaitingRequest,
    search: &TargetSearch,
    best: &TargetChoice,
) -> bool {
    let waited = now.saturating_duration_since(waiting.submitted);
    let time = waiting.deadline.saturating_duration_since(waiting.submitted);
    let allowed = (time / PREFIX_WAIT_DIVISOR).min(MAX_PREFIX_WAIT);
    search.max_cached_without_room > best.cached_tokens && !best.urgent && waited < allowed
}

/// Returns the choice with the lower credit rank, then the lower score; `best` on a tie.
fn better_choice(best: TargetChoice, other: TargetChoice) -> TargetChoice {
    let order = other.rank.cmp(&best.rank).then(other.score_s.total_cmp(&best.score_s));
    if order.is_lt() { other } else { best }
}
