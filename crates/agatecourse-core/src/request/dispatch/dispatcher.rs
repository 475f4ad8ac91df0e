use super::cold_start::ColdStarts;
use super::dispatch_queue::DispatchQueue;
use super::fair_share::FairShare;
use super::offered_load::{OFFER_WINDOW, OfferedLoad};
use super::prefix_index::{PrefixIndex, TargetNumber};
use super::promised_places::PromisedPlaces;
use super::served_shares::ServedShares;
use super::service_profile::ServiceProfile;
use super::target_view::{Run, TargetView};
use super::zone_spill::{LOOK_AHEAD, ZoneRuns, ZoneSpill};
use super::{
    Decision, DispatchTarget, Job, JobKey, JobNumber, NamedLimit, OrganisationKey, Refusal, RunEnd,
    RunReport,
};
use crate::request::SuspectKey;
use agatecourse_types::{NodeId, TargetId};
use serde::Serialize;
use smallvec::SmallVec;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::{Duration, Instant};

/// Score subtracted for a target that keeps the first part of the request's prompt, however short it is, because users pay for each part
/// that is read again.
const KEPT_PART_BONUS: f64 = 0.15;
/// Score subtracted for a target that keeps the whole prompt, and in proportion for a part of it; about a whole target's load.
const KEPT_PROMPT_BONUS: f64 = 0.5;
/// Score added per unit by which a target's failure share exceeds the mean of the targets.
const FAILURE_PENALTY: f64 = 4.0;
/// Lower bound of the retry delay sent to a refused caller.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(200);
/// Upper bound of the retry delay sent to a refused caller; callers wait at most a third of their remaining time.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(4);

/// Part of its remaining time that a refused caller waits at most before it returns.
const RETURN_TIME_RATIO: f64 = 1.0 / 3.0;

/// Share of a stream's run time that passes before its first event; about a tenth in the users' load profiles.
const FIRST_EVENT_SHARE: f64 = 0.1;
/// A starved rank keeps one queued attempt per this many slots, at any load.
const STARVED_SLOTS_DIVISOR: u32 = 8;
/// Predicted wait in seconds for a refused attempt while no target is reachable.
const UNREACHABLE_WAIT_S: f64 = 1.0;

/// Upper bound of a predicted wait in seconds; longer than any caller waits.
const MAX_PREDICTED_WAIT_S: f64 = 60.0;

/// Time for which the sum of the running attempts' work is used again; short beside any run.
const RUNNING_WORK_LIFETIME: Duration = Duration::from_millis(5);

/// Counters of a dispatcher that the state dump shows.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct DispatcherSnapshot {
    /// Attempts in the queue.
    pub waiting: usize,
    /// Attempts that hold a slot of a target.
    pub running: usize,
    /// Targets that may get requests, including paused ones.
    pub targets: usize,
    /// Sum of the slots of all targets, including paused ones.
    pub slots: u32,
    /// Runs by the zones of caller and target.
    pub zone_runs: ZoneRuns,
    /// Places that refused callers may return to.
    pub promised_places: usize,
    /// Waiting attempts of each rank with those of its organisation that has most.
    pub waiting_by_rank: BTreeMap<u32, RankSnapshot>,
}

/// Waiting attempts of a rank.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub struct RankSnapshot {
    /// Attempts of all organisations.
    pub waiting: usize,
    /// Organisations with waiting attempts.
    pub organisations: usize,
    /// Attempts of the organisation that has most.
    pub most_of_one: usize,
    /// Attempts of callers that have returned to the place that they were promised.
    pub returned: usize,
}

/// Decides for one service which waiting attempt goes to which target, which waits and which is refused.
#[derive(Debug, Clone, Default)]
pub struct Dispatcher {
    targets: BTreeMap<TargetId, TargetView>,
    queue: DispatchQueue,
    fair_share: FairShare,
    places: PromisedPlaces,
    profile: ServiceProfile,
    shares: ServedShares,
    offers: OfferedLoad,
    prefixes: PrefixIndex,
    zones: ZoneSpill,
    cold_starts: ColdStarts,
    /// Time at which a target first answered.
    first_answer: Option<Instant>,
    /// Target of each run.
    run_targets: HashMap<JobKey, TargetId>,
    /// Number of the next target or process.
    next_target_number: TargetNumber,
    /// Work of the running attempts and the time at which it was summed up.
    running_work: Option<(Instant, f64)>,
    /// Start of the present overload for each rank whose arriving work exceeds the capacity of the targets.
    overloaded_since: BTreeMap<u32, Instant>,
}

impl Dispatcher {
    /// Creates a dispatcher without targets.
    pub fn new() -> Self {
        Self::default()
    }

    /// Replaces the targets that may get requests; runs at targets that left stay counted until they end.
    pub fn set_targets(
        &mut self,
        now: Instant,
        targets: Vec<DispatchTarget>,
        decisions: &mut Vec<Decision>,
    ) {
        let known: BTreeSet<TargetId> = targets.iter().map(|target| target.id.clone()).collect();
        self.targets.retain(|id, _| known.contains(id));
        self.run_targets.retain(|_, target| known.contains(target));
        for spec in targets {
            match self.targets.get_mut(&spec.id) {
                Some(view) if view.spec.started_unix_ms == spec.started_unix_ms => view.spec = spec,
                // Nothing that was learned of an earlier process of the target holds for this one, but its runs stay counted
                // until their nodes report their ends.
                Some(view) => {
                    self.next_target_number += 1;
                    let runs = std::mem::take(&mut view.runs);
                    *view = TargetView::new(spec, self.next_target_number);
                    view.runs = runs;
                }
                None => {
                    self.next_target_number += 1;
                    let view = TargetView::new(spec, self.next_target_number);
                    self.targets.insert(view.spec.id.clone(), view);
                }
            }
        }
        self.update_cold_targets(now);
        self.assign_free_slots(now, decisions);
    }

    /// Replaces what is known of cold targets; call it before targets are set that may be cold.
    pub fn set_cold_starts(&mut self, now: Instant, cold_starts: ColdStarts) {
        if self.cold_starts != cold_starts {
            self.cold_starts = cold_starts;
            self.update_cold_targets(now);
        }
    }

    fn update_cold_targets(&mut self, now: Instant) {
        for view in self.targets.values_mut() {
            view.cold.update(now, &self.cold_starts, &view.spec.id);
        }
        self.update_usual_rate(now);
    }

    /// Adds an attempt, or repeats the decision when the attempt already has a target.
    pub fn submit(&mut self, now: Instant, mut job: Job, decisions: &mut Vec<Decision>) {
        if let Some(target) = self.target_of(&job.key) {
            decisions.push(Decision::Grant { key: job.key, target });
            return;
        }
        if self.queue.contains(&job.key) {
            return;
        }
        let key = job.key.clone();
        let run_s = self.profile.expected_s(job.kind, job.relative_size);
        self.offers.record(now, job.rank, run_s);
        job.place = self.places.claim(now, job.caller).map(|place| place.first_arrived);
        self.queue.push(job);
        self.assign_free_slots(now, decisions);
        if self.queue.contains(&key) {
            self.refuse_late_jobs(now, Some(&key), decisions);
        }
    }

    /// Records the end of a run and gives its slot to the next attempt.
    pub fn finish(
        &mut self,
        now: Instant,
        key: &JobKey,
        report: RunReport,
        decisions: &mut Vec<Decision>,
    ) {
        self.queue.remove(key);
        let target = self.run_targets.remove(key);
        if let Some(view) = target.and_then(|target| self.targets.get_mut(&target))
            && let Some(run) = view.runs.remove(key)
        {
            if report.end == RunEnd::Answered {
                self.first_answer.get_or_insert(now);
                let slowness = view.slowness;
                view.learn_slowness(run.expected_s, report.elapsed);
                self.profile.learn(run.kind, run.relative_size, slowness, report.elapsed);
            }
            view.record_end(now, report);
        }
        self.assign_free_slots(now, decisions);
    }

    /// Adjusts the state to a node's periodic report: drops the node's attempts whose numbers aren't in `numbers`, and
    /// records the runs in `running` that are unknown.
    ///
    /// This frees the slot of a run whose end message was lost, and tells a new owner of the queue which slots are
    /// occupied. Attempts that arrived or were granted after `settled_before` are kept, because a report that was sent
    /// earlier doesn't list them yet.
    pub fn reconcile(
        &mut self,
        now: Instant,
        node: &NodeId,
        numbers: &BTreeSet<JobNumber>,
        running: &[(JobNumber, TargetId)],
        settled_before: Instant,
        decisions: &mut Vec<Decision>,
    ) {
        self.queue.retain(|job| {
            job.key.node != *node
                || numbers.contains(&job.key.number)
                || job.arrived > settled_before
        });
        for view in self.targets.values_mut() {
            view.runs.retain(|key, run| {
                key.node != *node || numbers.contains(&key.number) || run.granted > settled_before
            });
        }
        self.forget_missing_runs(node);
        for (number, target) in running {
            let key = JobKey { node: node.clone(), number: *number };
            if self.target_of(&key).is_none()
                && let Some(view) = self.targets.get_mut(target)
            {
                let run = Run {
                    kind: 0,
                    relative_size: 1.0,
                    granted: now,
                    expected_s: 0.0,
                    suspects: SmallVec::new(),
                };
                self.run_targets.insert(key.clone(), target.clone());
                view.runs.insert(key, run);
            }
        }
        self.assign_free_slots(now, decisions);
    }

    /// Returns the attempts of a node that a status doesn't list because it is too short for them: those that wait above the number
    /// `waiting_above` and those that run above `running_above`, `None` for a list that is complete.
    pub fn unlisted_numbers(
        &self,
        node: &NodeId,
        waiting_above: Option<JobNumber>,
        running_above: Option<JobNumber>,
    ) -> Vec<JobNumber> {
        let is_above = |key: &JobKey, above: Option<JobNumber>| {
            key.node == *node && above.is_some_and(|last| key.number > last)
        };
        let waiting =
            self.queue.iter().map(|job| &job.key).filter(|key| is_above(key, waiting_above));
        let running = self.run_targets.keys().filter(|key| is_above(key, running_above));
        waiting.chain(running).map(|key| key.number).collect()
    }

    /// Removes the runs of a node from the index that its targets do not have any more.
    fn forget_missing_runs(&mut self, node: &NodeId) {
        let targets = &self.targets;
        self.run_targets.retain(|key, target| {
            key.node != *node || targets.get(target).is_some_and(|view| view.runs.contains_key(key))
        });
    }

    /// Takes over a limit that a target has named to a node.
    pub fn set_limit(
        &mut self,
        now: Instant,
        target: &TargetId,
        limit: NamedLimit,
        decisions: &mut Vec<Decision>,
    ) {
        if let Some(view) = self.targets.get_mut(target) {
            view.set_limit(now, limit);
            self.assign_free_slots(now, decisions);
        }
    }

    /// Takes over how many requests a target has said it may turn away in a second before it falls over.
    pub fn set_brittleness(&mut self, target: &TargetId, named: NamedLimit) {
        if let Some(view) = self.targets.get_mut(target) {
            view.set_brittleness(named);
        }
    }

    /// Gives a target no more requests, because it has told a node that it leaves. Does nothing if the process that said so has been
    /// replaced.
    pub fn set_leaving(&mut self, target: &TargetId, started_unix_ms: u64) {
        if let Some(view) = self.view_of_process(target, started_unix_ms) {
            view.set_leaving();
        }
    }

    /// Gives a target no requests of a node until a time, because it has asked the node for a pause. Does nothing if the process that
    /// asked has been replaced.
    pub fn pause_node(
        &mut self,
        now: Instant,
        target: &TargetId,
        started_unix_ms: u64,
        node: &NodeId,
        until: Instant,
    ) {
        if let Some(view) = self.view_of_process(target, started_unix_ms) {
            view.pause_node(now, node, until);
        }
    }

    fn view_of_process(
        &mut self,
        target: &TargetId,
        started_unix_ms: u64,
    ) -> Option<&mut TargetView> {
        self.targets.get_mut(target).filter(|view| view.spec.started_unix_ms == started_unix_ms)
    }

    /// Removes suspects that were found not to crash targets, so that attempts no longer wait for each other.
    pub fn clear_suspects(
        &mut self,
        now: Instant,
        cleared: &[SuspectKey],
        decisions: &mut Vec<Decision>,
    ) {
        for job in self.queue.iter_mut() {
            job.suspects.retain(|suspect| !cleared.contains(suspect));
        }
        for run in self.targets.values_mut().flat_map(|view| view.runs.values_mut()) {
            run.suspects.retain(|suspect| !cleared.contains(suspect));
        }
        self.assign_free_slots(now, decisions);
    }

    /// Drops all attempts of a node that has left.
    pub fn forget_node(&mut self, now: Instant, node: &NodeId, decisions: &mut Vec<Decision>) {
        self.queue.retain(|job| job.key.node != *node);
        for view in self.targets.values_mut() {
            view.runs.retain(|key, _| key.node != *node);
        }
        self.forget_missing_runs(node);
        self.assign_free_slots(now, decisions);
    }

    /// Assigns free slots and refuses attempts that can no longer be served in time.
    pub fn on_timer(&mut self, now: Instant, decisions: &mut Vec<Decision>) {
        self.update_usual_rate(now);
        self.assign_free_slots(now, decisions);
        self.refuse_late_jobs(now, None, decisions);
    }

    /// Tells the limits of cold targets how many requests a target of mean speed takes in a second.
    fn update_usual_rate(&mut self, now: Instant) {
        if self.cold_starts.rules.is_none() {
            return;
        }
        // Until then the mean run time holds estimates from before the first answer.
        let has_learned =
            self.first_answer.is_some_and(|at| now.saturating_duration_since(at) > OFFER_WINDOW);
        self.offers.expire(now);
        let mean_run_s = self.offers.mean_run_s().max(f64::MIN_POSITIVE);
        for view in self.targets.values_mut() {
            let per_s = f64::from(view.spec.slots) / mean_run_s;
            view.cold.set_usual_rate(if has_learned { per_s } else { f64::INFINITY });
        }
    }

    /// Returns the time at which a pause of a target ends while attempts wait.
    pub fn next_wakeup(&self, now: Instant) -> Option<Instant> {
        if self.queue.len() == 0 {
            return None;
        }
        self.targets.values().filter_map(|view| view.pause_end(now)).min()
    }

    /// Returns the state for the state dump.
    pub fn snapshot(&self) -> DispatcherSnapshot {
        DispatcherSnapshot {
            waiting: self.queue.len(),
            running: self.targets.values().map(|view| view.runs.len()).sum(),
            targets: self.targets.len(),
            slots: self.targets.values().map(|view| view.spec.slots).sum(),
            zone_runs: self.zones.runs(),
            promised_places: self.places.len(),
            waiting_by_rank: self.waiting_by_rank(),
        }
    }

    fn waiting_by_rank(&self) -> BTreeMap<u32, RankSnapshot> {
        let mut ranks: BTreeMap<u32, RankSnapshot> = BTreeMap::new();
        for (lane, jobs) in self.queue.lanes() {
            let rank = ranks.entry(lane.rank).or_default();
            let mut waiting = 0;
            for job in jobs {
                waiting += 1;
                rank.returned += usize::from(job.place.is_some());
            }
            rank.waiting += waiting;
            rank.organisations += 1;
            rank.most_of_one = rank.most_of_one.max(waiting);
        }
        ranks
    }

    fn target_of(&self, key: &JobKey) -> Option<TargetId> {
        self.run_targets.get(key).cloned()
    }

    /// Assigns free slots to waiting attempts.
    fn assign_free_slots(&mut self, now: Instant, decisions: &mut Vec<Decision>) {
        if self.queue.len() == 0 {
            return;
        }
        self.queue.sort(now);
        self.shares.expire(now);
        let mut unplaced = BTreeSet::new();
        while let Some(job) = self.next_job(now, &unplaced) {
            let job = self.job_of_free_zone(now, job, &unplaced);
            let (key, chosen) = (job.key.clone(), self.choose_target(now, job));
            let Some((target, is_home_full)) = chosen else {
                unplaced.insert(key);
                continue;
            };
            let Some(job) = self.queue.remove(&key) else { break };
            self.shares.record(now, job.rank, true);
            let run_s = self.profile.expected_s(job.kind, job.relative_size);
            self.fair_share.record(job.lane(), job.weight, run_s);
            self.start_run(now, &job, &target, is_home_full);
            decisions.push(Decision::Grant { key, target });
        }
    }

    /// Returns the attempt that gets the next free slot: that of the most urgent rank, or of a rank that is starved, and in the
    /// rank that of the organisation that has had the smallest part of its share.
    fn next_job(&self, now: Instant, unplaced: &BTreeSet<JobKey>) -> Option<&Job> {
        if self.targets.values().all(|view| view.free_slots(now) == 0) {
            return None;
        }
        let mut first: Option<(f64, &Job)> = None;
        let mut starved: Option<(f64, &Job)> = None;
        for (lane, mut jobs) in self.queue.lanes() {
            let best = match first {
                Some((_, job)) if job.rank < lane.rank => {
                    let is_wanted = match starved {
                        Some((_, job)) => job.rank == lane.rank,
                        None => self.shares.is_starved(lane.rank),
                    };
                    if !is_wanted {
                        continue;
                    }
                    &mut starved
                }
                _ => &mut first,
            };
            let is_candidate = |job: &&Job| !unplaced.contains(&job.key) && !self.is_held(now, job);
            let Some(job) = jobs.find(is_candidate) else { continue };
            let start = self.fair_share.start(lane);
            let is_better = best.is_none_or(|(best_start, best_job)| {
                start < best_start || (start <= best_start && job.arrived < best_job.arrived)
            });
            if is_better {
                *best = Some((start, job));
            }
        }
        starved.or(first).map(|(_, job)| job)
    }

    /// Returns the attempt that gets the next free target in place of `first`: one of its lane, as able to meet its objective, that need not
    /// leave its zone while `first` would have to. Staying in the lane keeps the shares of the organisations.
    fn job_of_free_zone<'a>(
        &'a self,
        now: Instant,
        first: &'a Job,
        unplaced: &BTreeSet<JobKey>,
    ) -> &'a Job {
        if first.place.is_some() {
            return first;
        }
        let free_zones: SmallVec<[&str; 4]> = self
            .targets
            .values()
            .filter(|view| view.free_slots(now) > 0)
            .map(|view| view.spec.zone.as_str())
            .collect();
        if free_zones.contains(&first.zone.as_str()) {
            return first;
        }
        let Some((_, jobs)) = self.queue.lanes().find(|(lane, _)| *lane == first.lane()) else {
            return first;
        };
        let is_late = first.objective <= now;
        jobs.skip_while(|job| job.key != first.key)
            .skip(1)
            .take(LOOK_AHEAD)
            .take_while(|job| (job.objective <= now) == is_late)
            .filter(|job| ZoneSpill::may_overtake(now, first, job))
            .filter(|job| !unplaced.contains(&job.key) && !self.is_held(now, job))
            .find(|job| free_zones.contains(&job.zone.as_str()))
            .filter(|job| {
                self.choose_target(now, job).is_some_and(|(_, is_home_full)| !is_home_full)
            })
            .unwrap_or(first)
    }

    /// Returns whether an attempt waits for another run to show whether a suspect that both share crashes targets.
    fn is_held(&self, now: Instant, job: &Job) -> bool {
        let shares_suspect =
            |run: &Run| job.suspects.iter().any(|suspect| run.suspects.contains(suspect));
        !job.suspects.is_empty()
            && self
                .targets
                .values()
                .flat_map(|view| view.runs.values())
                .any(|run| run.is_trial(now) && shares_suspect(run))
    }

    /// Updates for each queued rank since when the work of this and all more urgent ranks exceeds the capacity.
    fn record_overload(&mut self, now: Instant, capacity: f64) {
        let ranks: BTreeSet<u32> = self.queue.iter().map(|job| job.rank).collect();
        for rank in ranks {
            if self.offers.rate(rank) > capacity {
                self.overloaded_since.entry(rank).or_insert(now);
            } else {
                self.overloaded_since.remove(&rank);
            }
        }
    }

    /// Returns the expected delay by an overload in seconds, assuming that it lasts as long again as it has lasted.
    fn expected_overload_s(&self, now: Instant, rank: u32, capacity: f64) -> f64 {
        let Some(since) = self.overloaded_since.get(&rank) else { return 0.0 };
        let remaining_s = now.saturating_duration_since(*since).as_secs_f64();
        let excess = (self.offers.rate(rank) - capacity).max(0.0);
        remaining_s + remaining_s * excess / capacity
    }

    /// Returns the eligible target with the lowest score, which is expected to answer first, and whether no target of the caller's zone is
    /// eligible. A target of another zone must be better by the margin for which leaving the zone pays.
    fn choose_target(&self, now: Instant, job: &Job) -> Option<(TargetId, bool)> {
        let mean_failure = self.targets.values().map(|view| view.failure_share).sum::<f64>()
            / self.targets.len().max(1) as f64;
        let kept_tokens = self.prefixes.kept_tokens(now, &job.prompt_parts);
        let prompt_tokens: u32 = job.prompt_parts.iter().map(|part| part.tokens).sum();
        let relative_run = self.profile.expected_s(job.kind, job.relative_size)
            / self.offers.mean_run_s().max(f64::MIN_POSITIVE);
        let score = |view: &TargetView| {
            let load = view.runs.len() as f64 / f64::from(view.spec.slots.max(1));
            let mut score = view.slowness * (1.0 + 0.5 * load);
            score += FAILURE_PENALTY * (view.failure_share - mean_failure).max(0.0);
            score += view.cold.score(now, relative_run);
            if let Some(tokens) = kept_tokens.get(&view.number) {
                let kept_share = f64::from(*tokens) / f64::from(prompt_tokens.max(1));
                score -= KEPT_PART_BONUS + KEPT_PROMPT_BONUS * kept_share;
            }
            score
        };
        // Targets that were unreachable come last, so that a request which can't be retried doesn't probe whether they are back while
        // another target is free. A request that may crash its target runs where the fewest others run, and others avoid that
        // target meanwhile.
        let order = |view: &TargetView| {
            let endangered = if job.suspects.is_empty() {
                usize::from(view.has_trial(now))
            } else {
                view.runs.len()
            };
            (u8::from(!view.is_reachable()), endangered, score(view))
        };
        let candidates = self
            .targets
            .values()
            .filter(|view| view.free_slots(now) > 0 && !job.excluded.contains(&view.spec.id))
            .filter(|view| view.node_pause_end(now, &job.key.node).is_none())
            .filter(|view| job.version.is_empty() || view.spec.version == job.version)
            .filter(|view| job.home_zones.is_empty() || job.home_zones.contains(&view.spec.zone))
            .filter(|view| {
                job.avoided_version.is_empty() || view.spec.version != job.avoided_version
            })
            .map(|view| (order(view), view));
        let is_better = |a: &(u8, usize, f64), b: &(u8, usize, f64)| {
            (a.0, a.1).cmp(&(b.0, b.1)).then(a.2.total_cmp(&b.2)).is_lt()
        };
        let (mut home, mut away) = (None, None);
        for (order, view) in candidates {
            let best = if view.spec.zone == job.zone { &mut home } else { &mut away };
            if best.as_ref().is_none_or(|(known, _)| is_better(&order, known)) {
                *best = Some((order, view));
            }
        }
        let Some((home_order, home)) = home else {
            return away.map(|(_, view)| (view.spec.id.clone(), true));
        };
        let Some((mut away_order, away)) = away else { return Some((home.spec.id.clone(), false)) };
        let run_s = self.profile.expected_s(job.kind, job.relative_size) * home.slowness;
        let home_first_byte_s =
            if job.prompt_tokens > 0 { run_s * FIRST_EVENT_SHARE } else { run_s };
        away_order.2 += ZoneSpill::margin(now, job, home_first_byte_s);
        let chosen = if is_better(&away_order, &home_order) { away } else { home };
        Some((chosen.spec.id.clone(), false))
    }

    /// Returns the time in seconds until the first target takes requests of a node again; zero if one does.
    fn pause_s(&self, now: Instant, node: &NodeId) -> f64 {
        let mut first_end: Option<Instant> = None;
        for view in self.targets.values().filter(|view| view.is_staying()) {
            let Some(end) = view.node_pause_end(now, node) else { return 0.0 };
            first_end = Some(first_end.map_or(end, |first| first.min(end)));
        }
        first_end.map_or(0.0, |end| end.saturating_duration_since(now).as_secs_f64())
    }

    fn start_run(&mut self, now: Instant, job: &Job, target: &TargetId, is_home_full: bool) {
        let expected_s = self.profile.expected_s(job.kind, job.relative_size);
        if let Some(view) = self.targets.get_mut(target) {
            let run = Run {
                kind: job.kind,
                relative_size: job.relative_size,
                granted: now,
                expected_s,
                suspects: job.suspects.clone(),
            };
            view.runs.insert(job.key.clone(), run);
            view.take_token(now);
            self.zones.record_grant(job, &view.spec.zone, is_home_full);
            self.run_targets.insert(job.key.clone(), target.clone());
            self.prefixes.record(now, view.number, &job.prompt_parts);
        }
    }

    /// Refuses attempts that are not expected to end before their deadline.
    ///
    /// Later plain attempts that can still meet their objective overtake one that can't, for as long as the overload lasts;
    /// that time is added to the predicted wait. Streams get no such addition, because a refused caller sends the request
    /// again and then waits behind others. The time to the first byte is required of an arriving attempt only, so that a
    /// queued one isn't refused later because its predicted wait was slightly too short. A starved rank keeps some
    /// attempts in the queue at any load. A caller that has returned to its place is refused only when its run takes longer than
    /// the time that it has left.
    fn refuse_late_jobs(
        &mut self,
        now: Instant,
        arriving: Option<&JobKey>,
        decisions: &mut Vec<Decision>,
    ) {
        if self.queue.len() == 0 {
            return;
        }
        self.offers.expire(now);
        let mean_run_s = self.offers.mean_run_s();
        let capacity: f64 = self.targets.values().map(|view| view.capacity(now, mean_run_s)).sum();
        if capacity <= 0.0 {
            self.refuse_expiring_jobs(now, decisions);
            return;
        }
        self.queue.sort(now);
        let mut overload_by_rank: BTreeMap<u32, f64> = BTreeMap::new();
        self.record_overload(now, capacity);
        let mut kept_by_rank: BTreeMap<u32, u32> = BTreeMap::new();
        let slots: u32 = self.targets.values().map(|view| view.spec.slots).sum();
        let kept_limit = slots.div_ceil(STARVED_SLOTS_DIVISOR);
        let mut ahead_s: f64 = self.remaining_run_s(now);
        // Work before the first attempt of the rank, and the work of each of the rank's organisations.
        let (mut rank, mut urgent_s) = (None, ahead_s);
        let mut own_work: BTreeMap<OrganisationKey, f64> = BTreeMap::new();
        let mut refused = Vec::new();
        let expected_s = |job: &Job| self.profile.expected_s(job.kind, job.relative_size);
        for job in self.queue.service_order(&self.fair_share, expected_s) {
            if rank != Some(job.rank) {
                (rank, urgent_s) = (Some(job.rank), ahead_s);
                own_work.clear();
            }
            let own_s = own_work.entry(job.organisation).or_default();
            let run_s = expected_s(job);
            let left_s = job.deadline.saturating_duration_since(now).as_secs_f64();
            let to_objective_s = job.objective.saturating_duration_since(now).as_secs_f64();
            let pause_s = self.pause_s(now, &job.key.node);
            let mut wait_s = (ahead_s / capacity).max(pause_s);
            // The objective applies to the first event of a stream and to the end of a plain answer.
            let first_byte_s = match arriving {
                Some(key) if *key != job.key => 0.0,
                None => 0.0,
                Some(_) if job.prompt_tokens > 0 => run_s * FIRST_EVENT_SHARE,
                Some(_) => run_s,
            };
            // Deadlines of streams are longer than the users' bursts, those of plain requests are shorter.
            if wait_s + first_byte_s > to_objective_s && job.prompt_tokens == 0 {
                wait_s += *overload_by_rank
                    .entry(job.rank)
                    .or_insert_with(|| self.expected_overload_s(now, job.rank, capacity));
            }
            let is_due = job.place.is_some() && run_s + pause_s <= left_s;
            if is_due || wait_s + run_s <= left_s {
                ahead_s += run_s;
                *own_s += run_s;
                continue;
            }
            let kept = kept_by_rank.entry(job.rank).or_insert(0_u32);
            if run_s <= left_s && *kept < kept_limit && self.shares.is_starved(job.rank) {
                *kept += 1;
                ahead_s += run_s;
                *own_s += run_s;
            } else {
                let refusal = Refusal {
                    urgent_wait: wait_from_s(urgent_s / capacity),
                    own_wait: wait_from_s(*own_s / capacity),
                    has_place: false,
                };
                refused.push((job.key.clone(), wait_s, refusal));
            }
        }
        self.refuse(now, refused, capacity, decisions);
    }

    /// Refuses attempts whose remaining time is shorter than their expected run time; used while no target is reachable.
    fn refuse_expiring_jobs(&mut self, now: Instant, decisions: &mut Vec<Decision>) {
        let overdue = self
            .queue
            .iter()
            .filter(|job| {
                let run_s = self.profile.expected_s(job.kind, job.relative_size);
                job.deadline.saturating_duration_since(now).as_secs_f64() < run_s
            })
            .map(|job| (job.key.clone(), UNREACHABLE_WAIT_S, Refusal::default()))
            .collect();
        self.refuse(now, overdue, 0.0, decisions);
    }

    /// Refuses attempts with their predicted waits in seconds, and promises their callers places while the targets have the
    /// capacity.
    fn refuse(
        &mut self,
        now: Instant,
        refused: Vec<(JobKey, f64, Refusal)>,
        capacity: f64,
        decisions: &mut Vec<Decision>,
    ) {
        for (key, wait_s, mut refusal) in refused {
            let Some(job) = self.queue.remove(&key) else { continue };
            self.shares.record(now, job.rank, false);
            let predicted_wait = wait_from_s(wait_s);
            let mut retry_after = predicted_wait.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER);
            if let Some(delay) = self.promise_place(now, &job, wait_s, capacity) {
                retry_after = delay;
                refusal.has_place = true;
            }
            decisions.push(Decision::Refuse { key, retry_after, predicted_wait, refusal });
        }
    }

    /// Promises the caller of a refused attempt a place behind the work that is promised already; returns the delay until then.
    ///
    /// A repeated attempt gets none, because its caller may not send the request again, nor does a caller that would return
    /// too late for its run.
    fn promise_place(
        &mut self,
        now: Instant,
        job: &Job,
        wait_s: f64,
        capacity: f64,
    ) -> Option<Duration> {
        if capacity <= 0.0 || job.is_retry {
            return None;
        }
        let run_s = self.profile.expected_s(job.kind, job.relative_size);
        let left_s = job.deadline.saturating_duration_since(now).as_secs_f64();
        let room_s = wait_s + self.places.promised_s(job.rank) / capacity;
        let delay_s = room_s.min(left_s * RETURN_TIME_RATIO);
        // No target takes requests of the caller's node before a pause ends, so a place until then would be empty.
        if delay_s + run_s > left_s || delay_s < self.pause_s(now, &job.key.node) {
            return None;
        }
        let delay = wait_from_s(delay_s).clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER);
        let due = self.places.promise(now, job, now + delay, run_s, capacity)?;
        Some(due.saturating_duration_since(now).max(MIN_RETRY_AFTER))
    }

    /// Returns half of the expected remaining time of the running attempts, in slot-seconds on a target of mean speed.
    fn remaining_run_s(&mut self, now: Instant) -> f64 {
        if let Some((at, sum)) = self.running_work
            && now.saturating_duration_since(at) < RUNNING_WORK_LIFETIME
        {
            return sum;
        }
        let sum = self
            .targets
            .values()
            .flat_map(|view| view.runs.values().map(move |run| (view.slowness, run)))
            .map(|(slowness, run)| {
                let elapsed_s = now.saturating_duration_since(run.granted).as_secs_f64();
                // Runs taken over from another queue owner have no estimate and are assumed to take 0.5 s. At least a tenth
                // of the estimate counts as remaining, also for a run that takes longer than estimated.
                let expected_s = if run.expected_s > 0.0 { run.expected_s } else { 0.5 };
                ((expected_s * slowness - elapsed_s) / slowness).max(expected_s * 0.1) * 0.5
            })
            .sum();
        self.running_work = Some((now, sum));
        sum
    }
}

/// Converts a predicted wait, which is bounded by the longest that is reported.
fn wait_from_s(wait_s: f64) -> Duration {
    Duration::from_secs_f64(wait_s.clamp(0.0, MAX_PREDICTED_WAIT_S))
}
