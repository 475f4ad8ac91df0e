use super::POOL_TARGET_LIMIT;
use super::credit_ledger::SpendRank;
use super::pool_scheduler::PoolScheduler;
use super::prefix_index::SlotMask;
use super::request_state::WaitingRequest;
use super::slot_view::{SlotView, SlotViews};
use super::version_share::VersionRule;
use std::time::{Duration, Instant};

// A request is urgent when it has less than this many times its expected time left.
const URGENT_FACTOR: f64 = 2.0;
// Reading a prompt delays the whole batch by tenths of a second, while targets of different speeds differ by
// seconds in the finish time of one request. With equal weights, prefixes spread over all targets.
const READ_DELAY_WEIGHT: f64 = 10.0;
// A request waits for a target that holds its prefix for this part of its time at most. In a trial of the bench
// `prefill` (kaewkla, seed 1), a tenth raised the hits from 0.53 to 0.71 of one engine with unlimited memory.
const PREFIX_WAIT_DIVISOR: u32 = 10;
const MAX_PREFIX_WAIT: Duration = Duration::from_secs(6);
// Work in the queue, in seconds of the whole pool, above which slots are scarce.
const CONTENTION_THRESHOLD_S: f64 = 0.5;

/// Target that a request is placed on.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct TargetChoice {
    pub slot: usize,
    /// Expected time from now to the end of the answer, in seconds.
    pub finish_s: f64,
    /// Prompt tokens that the target probably holds.
    pub cached_tokens: u32,
    /// Prompt tokens that another target holds and this one does not.
    pub cached_elsewhere_tokens: u32,
    /// Whether the deadline leaves too little time to let others go first.
    pub urgent: bool,
    /// Expected time to the end and the delay that reading the prompt causes to the batch, in seconds.
    score_s: f64,
    rank: SpendRank,
}

/// Result of the search for a target.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) enum Placement {
    /// The request can run now.
    Grant(TargetChoice),
    /// A target that has no room now can finish the request in time.
    Wait,
    /// No target can finish the request in time, even if it started now.
    CannotFinish,
    /// No target of an allowed version is usable.
    NoTarget,
    /// The credits of all targets' providers are used up.
    NoCredit,
}

/// Targets that may run a request, and the best of them so far.
#[derive(Debug, Default)]
struct TargetSearch {
    best: Option<TargetChoice>,
    can_wait: bool,
    /// Prompt tokens that a target without room holds, at most.
    max_cached_on_full: u32,
    usable: bool,
    without_credit: bool,
}

impl TargetSearch {
    fn result(&self) -> Placement {
        match self.best {
            Some(choice) => Placement::Grant(choice),
            None if self.can_wait => Placement::Wait,
            None if self.usable => Placement::CannotFinish,
            None if self.without_credit => Placement::NoCredit,
            None => Placement::NoTarget,
        }
    }
}

impl PoolScheduler {
    /// Searches the target with the smallest expected finish time for a request.
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
            // A share of the new version that its targets can't serve falls back to the running version.
            (VersionRule::Prefer(_), _) => {
                self.search_targets(now, views, waiting, VersionRule::Any, &cached, required_tokens)
            }
            // Once all targets run the new version, it serves the whole route.
            (VersionRule::Avoid(version), Placement::NoTarget) if self.all_targets_run(version) => {
                self.search_targets(now, views, waiting, VersionRule::Any, &cached, required_tokens)
            }
            _ => result,
        }
    }

    /// Returns the answer length for which the time must suffice.
    ///
    /// Behind a queue of its own or higher tiers, nearly all answers of the kind must end in time: a slot that
    /// others wait for is not spent on an answer that may end too late.
    fn required_write_tokens(&self, waiting: &WaitingRequest) -> u32 {
        let ahead_s = self.queue.work_through_s(waiting.tier());
        if self.current_rates().drain_s(ahead_s) > CONTENTION_THRESHOLD_S {
            waiting.upper_bound_tokens
        } else {
            waiting.admission_tokens
        }
    }

    fn version_rule(&self, waiting: &WaitingRequest) -> VersionRule<'_> {
        let route = &waiting.ticket.route;
        let share = self.version_shares.iter().find(|share| share.route == *route);
        share.map_or(VersionRule::Any, |share| share.rule(waiting.ticket.share_slot))
    }

    fn all_targets_run(&self, version: &str) -> bool {
        let mut listed = self.targets.iter().filter(|target| target.listed);
        listed.all(|target| target.spec.version == version)
    }

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
        let held = cached.iter().copied().max().unwrap_or_default();
        for view in &views.slots {
            let slot = view.slot;
            if !rule.allows(view.version)
                || self.is_version_stopped(&waiting.ticket.route, view.version)
            {
                continue;
            }
            search.usable = true;
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
                    cached_elsewhere_tokens: held.saturating_sub(cached[slot]),
                    urgent: finish_s * URGENT_FACTOR > time_left_s,
                    score_s: finish_s + READ_DELAY_WEIGHT * read_s * view.batch,
                    rank: view.rank,
                };
                search.best = Some(search.best.map_or(choice, |best| better_choice(best, choice)));
            } else {
                search.can_wait = true;
                search.max_cached_on_full = search.max_cached_on_full.max(cached[slot]);
            }
        }
        if search.best.is_some_and(|best| should_wait_for_prefix(now, waiting, &search, &best)) {
            return Placement::Wait;
        }
        search.result()
    }

    /// Returns whether a target has room for a request; a suspect needs an idle target.
    fn can_start(&self, view: &SlotView<'_>, waiting: &WaitingRequest) -> bool {
        let request_id = waiting.ticket.request_id;
        let reserved = self.reservation.filter(|(reserved, _)| *reserved == view.slot);
        let reserved_for_other = reserved.is_some_and(|(_, holder)| holder != request_id);
        let isolated = waiting.ticket.suspect.is_none() || view.batch < 1.0;
        view.has_room && !reserved_for_other && isolated
    }

    /// Returns for each slot the prompt tokens that the target probably holds.
    fn cached_tokens(&self, waiting: &WaitingRequest) -> [u32; POOL_TARGET_LIMIT] {
        let mut tokens = [0; POOL_TARGET_LIMIT];
        let ticket = &waiting.ticket;
        let mut assign = |mut slots: SlotMask, prefix_tokens: u32| {
            while slots != 0 {
                tokens[slots.trailing_zeros() as usize] = prefix_tokens;
                slots &= slots - 1;
            }
        };
        // A block is of use only when the target holds all blocks before it.
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

/// Returns whether a request waits a little for a slot of a target that holds more of its prompt.
fn should_wait_for_prefix(
    now: Instant,
    waiting: &WaitingRequest,
    search: &TargetSearch,
    best: &TargetChoice,
) -> bool {
    let waited = now.saturating_duration_since(waiting.submitted);
    let time = waiting.deadline.saturating_duration_since(waiting.submitted);
    let allowed = (time / PREFIX_WAIT_DIVISOR).min(MAX_PREFIX_WAIT);
    search.max_cached_on_full > best.cached_tokens && !best.urgent && waited < allowed
}

fn better_choice(best: TargetChoice, other: TargetChoice) -> TargetChoice {
    let order = other.rank.cmp(&best.rank).then(other.score_s.total_cmp(&best.score_s));
    if order.is_lt() { other } else { best }
}
