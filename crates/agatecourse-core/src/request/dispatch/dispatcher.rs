use super::cold_start::ColdStarts;
use super::dispatch_queue::DispatchQueue;
use super::offered_load::{OFFER_WINDOW, OfferedLoad};
use super::prefix_index::{PrefixIndex, TargetNumber};
use super::served_shares::ServedShares;
use super::service_profile::ServiceProfile;
use super::target_view::{Run, TargetView};
use super::{Decision, DispatchTarget, Job, JobKey, JobNumber, NamedLimit, RunEnd, RunReport};
use crate::request::SuspectKey;
use agatecourse_types::{NodeId, TargetId};
use serde::Serialize;
use smallvec::SmallVec;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::{Duration, Instant};

/// Score added for a target in another availability zone, in units of one mean run; small enough to break ties only.
const OTHER_ZONE_PENALTY: f64 = 0.05;
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
}

/// Decides for one service which waiting attempt goes to which target, which waits and which is refused.
#[derive(Debug, Clone, Default)]
pub struct Dispatcher {
    targets: BTreeMap<TargetId, TargetView>,
    queue: DispatchQueue,
    profile: ServiceProfile,
    shares: ServedShares,
    offers: OfferedLoad,
    prefixes: PrefixIndex,
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
    pub fn submit(&mut self, now: Instant, job: Job, decisions: &mut Vec<Decision>) {
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
        }
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
        while let Some(key) = self.next_job(now, &unplaced) {
            let Some(job) = self.queue.remove(&key) else { break };
            if let Some(target) = self.choose_target(now, &job) {
                self.shares.record(now, job.rank, true);
                self.start_run(now, &job, &target);
                decisions.push(Decision::Grant { key, target });
            } else {
                unplaced.insert(key);
                self.queue.push(job);
                self.queue.sort(now);
            }
        }
    }

    /// Returns the attempt that gets the next free slot: the first of the queue, or the first of a rank that is starved.
    fn next_job(&self, now: Instant, unplaced: &BTreeSet<JobKey>) -> Option<JobKey> {
        if self.targets.values().all(|view| view.free_slots(now) == 0) {
            return None;
        }
        let candidates = || {
            self.queue.iter().filter(|job| !unplaced.contains(&job.key) && !self.is_held(now, job))
        };
        let first = candidates().next()?;
        let starved =
            candidates().find(|job| job.rank > first.rank && self.shares.is_starved(job.rank));
        Some(starved.unwrap_or(first).key.clone())
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

    /// Returns the eligible target with the lowest score, which is expected to answer first.
    fn choose_target(&self, now: Instant, job: &Job) -> Option<TargetId> {
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
            if view.spec.zone != job.zone {
                score += OTHER_ZONE_PENALTY;
            }
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
            .map(|view| (order(view), &view.spec.id));
        let best = candidates
            .min_by(|(a, _), (b, _)| (a.0, a.1).cmp(&(b.0, b.1)).then(a.2.total_cmp(&b.2)));
        best.map(|(_, target)| target.clone())
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

    fn start_run(&mut self, now: Instant, job: &Job, target: &TargetId) {
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
    /// attempts in the queue at any load.
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
        let mut refused = Vec::new();
        for job in self.queue.iter() {
            let run_s = self.profile.expected_s(job.kind, job.relative_size);
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
            if wait_s + run_s <= left_s {
                ahead_s += run_s;
                continue;
            }
            let kept = kept_by_rank.entry(job.rank).or_insert(0_u32);
            if run_s <= left_s && *kept < kept_limit && self.shares.is_starved(job.rank) {
                *kept += 1;
                ahead_s += run_s;
            } else {
                refused.push((job.key.clone(), job.rank, wait_s));
            }
        }
        self.refuse(now, refused, decisions);
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
            .map(|job| (job.key.clone(), job.rank, UNREACHABLE_WAIT_S))
            .collect();
        self.refuse(now, overdue, decisions);
    }

    fn refuse(
        &mut self,
        now: Instant,
        refused: Vec<(JobKey, u32, f64)>,
        decisions: &mut Vec<Decision>,
    ) {
        for (key, rank, wait_s) in refused {
            self.queue.remove(&key);
            self.shares.record(now, rank, false);
            let predicted_wait = Duration::from_secs_f64(wait_s.clamp(0.0, MAX_PREDICTED_WAIT_S));
            let retry_after = predicted_wait.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER);
            decisions.push(Decision::Refuse { key, retry_after, predicted_wait });
        }
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
