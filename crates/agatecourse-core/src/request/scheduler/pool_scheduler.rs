use super::credit_ledger::CreditLedger;
use super::ejection::Admittance;
use super::in_flight_table::InFlightTable;
use super::length_estimator::LengthEstimator;
use super::organisation_table::OrganisationTable;
use super::pool_rates::PoolRates;
use super::prefix_index::PrefixIndex;
use super::take_over::TakeOver;
use super::target_state::TargetState;
use super::wait_queue::WaitQueue;
use super::{
    LoadReport, PoolAction, PoolEvent, PoolSnapshot, SchedulerLimits, TargetSnapshot, TargetSpec,
    TierSnapshot, VersionShare,
};
use agatecourse_types::{NodeId, PoolId, RequestId, RouteId, TargetId, VersionId};
use rand_chacha::ChaCha8Rng;
use rand_core::{Rng, SeedableRng};
use std::collections::BTreeSet;
use std::time::{Duration, Instant};

/// Largest number of targets in a pool; further ones wait until a removed target has no requests.
pub const POOL_TARGET_LIMIT: usize = 16;
/// Time between two updates of the pool rates, each with a check that sheds requests that would be late.
pub(super) const CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Largest number of stopped versions; at the bound, the first in the order of route and version is removed.
const STOPPED_VERSION_LIMIT: usize = 1_024;
/// Largest number of version shares; further ones are ignored.
const VERSION_SHARE_LIMIT: usize = 64;

/// Decides for one pool of targets which waiting request runs next and on which target.
///
/// The scheduler does no I/O: it takes [`PoolEvent`]s and adds its decisions to a list of [`PoolAction`]s.
///
/// ```
/// use agatecourse_core::request::scheduler::{PoolEvent, PoolScheduler, TargetSpec};
/// use std::time::Instant;
///
/// let now = Instant::now();
/// let mut scheduler = PoolScheduler::new("drafts/0", 7);
/// let mut actions = Vec::new();
/// let targets = vec![TargetSpec::new("engine-1", "v1").with_concurrency(4)];
/// scheduler.on_event(now, PoolEvent::Targets(targets), &mut actions);
/// assert!(actions.is_empty());
/// assert_eq!(scheduler.snapshot(now).targets[0].limit, 4);
/// ```
#[derive(Debug, Clone)]
pub struct PoolScheduler {
    pub(super) pool: PoolId,
    pub(super) limits: SchedulerLimits,
    pub(super) rng: ChaCha8Rng,
    pub(super) targets: Vec<TargetState>,
    /// Targets without a slot: all slots are taken by listed targets or by removed ones with requests in flight.
    pub(super) unassigned_targets: Vec<TargetSpec>,
    pub(super) queue: WaitQueue,
    pub(super) in_flight: InFlightTable,
    pub(super) organisations: OrganisationTable,
    pub(super) lengths: LengthEstimator,
    pub(super) prefixes: PrefixIndex,
    pub(super) credits: CreditLedger,
    pub(super) version_shares: Vec<VersionShare>,
    pub(super) stopped_versions: BTreeSet<(RouteId, VersionId)>,
    pub(super) take_over: TakeOver,
    /// Rates at the last check; `None` after a change of the usable targets until the next check.
    pub(super) rates: Option<PoolRates>,
    /// Slot that is reserved for a waiting suspect request.
    pub(super) reservation: Option<(usize, RequestId)>,
    pub(super) next_check: Option<Instant>,
    pub(super) grants_dropped: u64,
}

impl PoolScheduler {
    /// Creates the scheduler of a pool without targets; the seed determines the jitter of back-offs.
    pub fn new(pool: impl Into<PoolId>, seed: u64) -> Self {
        let limits = SchedulerLimits::default();
        Self {
            pool: pool.into(),
            rng: ChaCha8Rng::seed_from_u64(seed),
            targets: Vec::new(),
            unassigned_targets: Vec::new(),
            queue: WaitQueue::default(),
            in_flight: InFlightTable::default(),
            organisations: OrganisationTable::default(),
            lengths: LengthEstimator::new(),
            prefixes: PrefixIndex::new(POOL_TARGET_LIMIT, limits.prefix_limit),
            credits: CreditLedger::default(),
            version_shares: Vec::new(),
            stopped_versions: BTreeSet::new(),
            take_over: TakeOver::default(),
            rates: None,
            reservation: None,
            next_check: None,
            grants_dropped: 0,
            limits,
        }
    }

    /// Sets the limits and drops all known cached prefixes.
    #[must_use]
    pub fn with_limits(mut self, limits: SchedulerLimits) -> Self {
        self.prefixes = PrefixIndex::new(POOL_TARGET_LIMIT, limits.prefix_limit);
        self.limits = limits;
        self
    }

    /// Sets the targets; see [`PoolEvent::Targets`].
    #[must_use]
    pub fn with_targets(mut self, now: Instant, targets: Vec<TargetSpec>) -> Self {
        self.set_targets(now, targets);
        self
    }

    /// Delays grants until all nodes have registered or are gone, but at most by
    /// [`take_over_wait`](SchedulerLimits::take_over_wait).
    ///
    /// Another node may have owned the pool, and its grants may still run.
    #[must_use]
    pub fn with_take_over(mut self, now: Instant, nodes: impl IntoIterator<Item = NodeId>) -> Self {
        let awaited = nodes.into_iter().collect();
        self.take_over = TakeOver::start(now + self.limits.take_over_wait, awaited);
        self
    }

    /// Applies an event and appends the resulting actions.
    pub fn on_event(&mut self, now: Instant, event: PoolEvent, actions: &mut Vec<PoolAction>) {
        self.apply_event(now, event, actions);
        self.run_due_tasks(now, actions);
        self.dispatch(now, actions);
    }

    /// Returns the time by which the scheduler needs a [`PoolEvent::Tick`], or `None` if nothing is due.
    pub fn next_wakeup(&self) -> Option<Instant> {
        let backoffs = self.targets.iter().filter_map(|target| target.ejection.until());
        let deadline = self.queue.first_deadline().map(|(deadline, _)| deadline);
        let drop_at = self.in_flight.earliest_drop().map(|(drop_at, _)| drop_at);
        let check = self.next_check.filter(|_| self.queue.len() > 0);
        backoffs.chain(deadline).chain(drop_at).chain(check).chain(self.take_over.until()).min()
    }

    /// Returns the state for `/dump` and for the pressure that the owner publishes.
    pub fn snapshot(&self, now: Instant) -> PoolSnapshot {
        let tier_totals = || self.queue.tier_totals();
        let tier_snapshot = |(tier, waiting, work_s)| TierSnapshot { tier, waiting, work_s };
        PoolSnapshot {
            pool: self.pool.clone(),
            tiers: tier_totals().map(tier_snapshot).collect(),
            parked: self.queue.parked_count(),
            in_flight: self.in_flight.len(),
            lowest_granted_tier: tier_totals().next().map_or(u8::MAX, |(tier, ..)| tier),
            queue_delay: self.queue_delay(),
            taking_over: self.take_over.is_waiting(now),
            grants_dropped: self.grants_dropped,
            targets_ignored: self.unassigned_targets.len(),
            targets: (0..self.targets.len()).map(|slot| self.target_snapshot(slot)).collect(),
        }
    }

    /// Returns the estimator of answer lengths, which learns from the answers of this pool.
    pub fn lengths(&self) -> &LengthEstimator {
        &self.lengths
    }

    /// Returns the expected waiting time of a new request of the lowest tier, at most a day.
    pub fn queue_delay(&self) -> Duration {
        let rates = self.current_rates();
        rates.drain_time(self.queue.work_through_s(u8::MAX))
    }

    /// Returns the rates, computed anew if a target changed since the last update.
    pub(super) fn current_rates(&self) -> PoolRates {
        self.rates.unwrap_or_else(|| PoolRates::new(&self.targets))
    }

    pub(super) fn slot_of(&self, target: &TargetId) -> Option<usize> {
        self.targets.iter().position(|state| state.spec.target == *target)
    }

    fn apply_event(&mut self, now: Instant, event: PoolEvent, actions: &mut Vec<PoolAction>) {
        match event {
            PoolEvent::Submit { node, ticket } => self.submit(now, node, ticket, actions),
            PoolEvent::Cancel { request_id } => self.cancel_waiting(request_id),
            PoolEvent::Started { .. } | PoolEvent::Tick => {}
            PoolEvent::FirstToken { request_id, elapsed } => {
                self.on_first_token(now, request_id, elapsed);
            }
            PoolEvent::Progress { request_id, written_tokens } => {
                self.on_progress(request_id, written_tokens);
            }
            PoolEvent::Finished(finished) => self.on_finished(now, &finished),
            PoolEvent::Register { node, registration } => self.register(now, &node, registration),
            PoolEvent::NodeGone { node } => self.remove_node(now, &node),
            PoolEvent::Targets(targets) => self.set_targets(now, targets),
            PoolEvent::Report { target, report } => self.on_load_report(now, &target, &report),
            PoolEvent::VersionShares(mut shares) => {
                shares.truncate(VERSION_SHARE_LIMIT);
                self.version_shares = shares;
            }
            PoolEvent::VersionStopped { route, version } => self.stop_version(route, version),
            PoolEvent::Credits(credits) => self.credits.replace(now, credits),
            PoolEvent::Organisations(shares) => self.organisations.replace(&shares),
            other => self.apply_target_event(other),
        }
    }

    /// Applies the events of a target's prefix cache and of its leaving; ignores unknown targets.
    fn apply_target_event(&mut self, event: PoolEvent) {
        match event {
            PoolEvent::Cached { target, prefix_hash } => {
                if let Some(slot) = self.slot_of(&target) {
                    self.prefixes.insert(slot, prefix_hash);
                }
            }
            PoolEvent::Evicted { target, prefix_hash } => {
                if let Some(slot) = self.slot_of(&target) {
                    self.prefixes.remove(slot, prefix_hash);
                }
            }
            PoolEvent::CacheGap { target } => {
                if let Some(slot) = self.slot_of(&target) {
                    self.prefixes.forget_oldest(slot);
                }
            }
            PoolEvent::TargetLeaving { target } => self.set_leaving(&target, true),
            PoolEvent::TargetReturned { target } => self.set_leaving(&target, false),
            _ => {}
        }
    }

    fn set_leaving(&mut self, target: &TargetId, leaving: bool) {
        if let Some(slot) = self.slot_of(target) {
            self.targets[slot].leaving = leaving;
            self.rates = None;
        }
    }

    fn stop_version(&mut self, route: RouteId, version: VersionId) {
        self.stopped_versions.insert((route, version));
        if self.stopped_versions.len() > STOPPED_VERSION_LIMIT {
            self.stopped_versions.pop_first();
        }
    }

    /// Updates a target by its load report and ejects it if it is too slow.
    fn on_load_report(&mut self, now: Instant, target: &TargetId, report: &LoadReport) {
        let Some(slot) = self.slot_of(target) else { return };
        let measured_at = now.checked_sub(report.age).unwrap_or(now);
        let running = self.in_flight.values().filter(|running| running.slot == slot);
        let own_at_report =
            running.filter(|running| running.granted_at <= measured_at).count() as u32;
        let limits = self.limits;
        let state = &mut self.targets[slot];
        state.apply_load_report(now, report, own_at_report);
        state.apply_reported_token_gap(now, report, &limits);
        self.eject_if_slow(now, slot);
    }

    /// Replaces the targets; those that are no longer listed keep their requests and get no new ones.
    fn set_targets(&mut self, now: Instant, specs: Vec<TargetSpec>) {
        self.targets.iter_mut().for_each(|target| target.listed = false);
        self.unassigned_targets.clear();
        let (known, new): (Vec<_>, Vec<_>) =
            specs.into_iter().partition(|spec| self.slot_of(&spec.target).is_some());
        for spec in known {
            if let Some(slot) = self.slot_of(&spec.target) {
                if self.targets[slot].spec.version != spec.version {
                    self.prefixes.clear(slot);
                }
                self.targets[slot].update(spec);
            }
        }
        self.unassigned_targets = new;
        self.assign_slots(now);
        self.rates = None;
    }

    /// Assigns free slots to new targets; the others wait until a removed target has no requests in flight.
    pub(super) fn assign_slots(&mut self, now: Instant) {
        for spec in std::mem::take(&mut self.unassigned_targets) {
            let free = |target: &TargetState| !target.listed && target.in_flight == 0;
            if let Some(slot) = self.targets.iter().position(free) {
                self.prefixes.clear(slot);
                self.targets[slot] = TargetState::new(now, spec);
            } else if self.targets.len() < POOL_TARGET_LIMIT {
                self.targets.push(TargetState::new(now, spec));
            } else if self.unassigned_targets.len() < POOL_TARGET_LIMIT {
                self.unassigned_targets.push(spec);
            }
        }
    }

    /// Runs the tasks that are due: take-over, back-offs, expired requests, overdue grants, credits and shedding.
    fn run_due_tasks(&mut self, now: Instant, actions: &mut Vec<PoolAction>) {
        self.take_over.end_if_due(now);
        self.targets.iter_mut().for_each(|target| target.ejection.start_probe_if_due(now));
        self.refuse_expired(now, actions);
        self.drop_overdue_grants(now, actions);
        if self.next_check.is_none_or(|at| at <= now) {
            self.next_check = Some(now + CHECK_INTERVAL);
            self.credits.refill_all(now);
            self.rates = Some(PoolRates::new(&self.targets));
            self.shed_late_requests(now, actions);
        }
    }

    fn target_snapshot(&self, slot: usize) -> TargetSnapshot {
        let state = &self.targets[slot];
        let admittance = match state.ejection.admittance() {
            Admittance::Open => "open".to_string(),
            Admittance::Probing => "probing".to_string(),
            Admittance::Ejected(cause) => format!("ejected for {cause:?}").to_lowercase(),
        };
        let gap_s = state.speed().gap_s(f64::from(state.batch().max(1)));
        TargetSnapshot {
            target: state.spec.target.clone(),
            version: state.spec.version.clone(),
            usable: state.is_usable(),
            leaving: state.leaving,
            admittance,
            in_flight: state.in_flight,
            batch: state.batch(),
            limit: state.concurrency_limit.get(),
            token_gap: Duration::from_secs_f64(gap_s),
            prefixes: self.prefixes.len(slot),
        }
    }

    /// Returns a random number from 0 to 1 for the jitter of a back-off.
    pub(super) fn jitter(&mut self) -> f64 {
        f64::from(self.rng.next_u32()) / f64::from(u32::MAX)
    }

    /// Returns whether a version gets no new requests on a route.
    pub(super) fn is_version_stopped(&self, route: &RouteId, version: &str) -> bool {
        // The set is empty unless a rollout was stopped, so the common case copies no strings.
        !self.stopped_versions.is_empty()
            && self.stopped_versions.contains(&(route.clone(), version.to_string()))
    }
}
