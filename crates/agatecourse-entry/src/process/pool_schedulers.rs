use crate::process::{FleetView, HistoryLog, Tick, TimerService, WakeAfter};
use actix::{Addr, Recipient};
use agatecourse_config::{FleetConfig, ProviderConfig};
use agatecourse_core::request::scheduler::{
    OrganisationShare, PoolAction, PoolEvent, PoolScheduler, PoolSnapshot, ProviderCredit,
    SchedulerLimits, TargetSpec,
};
use agatecourse_history::HistoryEvent;
use agatecourse_types::{
    NodeId, PoolId, RequestId, ResultCode, TargetId, Tier, VersionId, stable_hash,
};
use agatecourse_wire::request::{DispatchOutcome, Finished, Grant, Refusal, Ticket};
use std::collections::{BTreeMap, HashMap};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use tokio::sync::mpsc;

// Shorter delays are rounded up, which coalesces wake-ups and bounds the timer load.
const MIN_WAKE_DELAY: Duration = Duration::from_millis(1);

/// Message from the scheduler of a pool to the task of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum PoolReply {
    Granted(Grant),
    Refused(Refusal),
    CancelRunning(RequestId),
}

/// A request that is queued or granted and has not yet reported its end to the pool owner.
#[derive(Debug)]
struct PendingRequest {
    tier: Tier,
    waiting: bool,
    replies: mpsc::Sender<PoolReply>,
}

/// The schedulers of the pools that this node owns.
///
/// The schedulers bound their own queues and tables; this type adds one entry for each request in them.
#[derive(Debug)]
pub(crate) struct PoolSchedulers {
    timer: Addr<TimerService>,
    history: Arc<HistoryLog>,
    inner: Mutex<SchedulerState>,
}

#[derive(Debug, Default)]
struct SchedulerState {
    ticker: Option<Recipient<Tick>>,
    pools: BTreeMap<PoolId, PoolScheduler>,
    pending: HashMap<RequestId, PendingRequest>,
    actions: Vec<PoolAction>,
    wake_at: Option<Instant>,
}

impl PoolSchedulers {
    /// Creates a set without pools; [`Self::configure`] adds them.
    pub(crate) fn new(timer: Addr<TimerService>, history: Arc<HistoryLog>) -> Self {
        Self { timer, history, inner: Mutex::default() }
    }

    /// Sets the actor that receives the timer ticks and calls [`Self::tick`].
    pub(crate) fn set_ticker(&self, ticker: Recipient<Tick>) {
        let mut inner = self.lock();
        inner.ticker = Some(ticker);
        self.schedule_wake(&mut inner);
    }

    /// Submits the ticket of a node. The channel needs room for all replies to a request, because a reply that does not
    /// fit is dropped.
    ///
    /// Returns `false` when this node has no such pool. The owner may not have created it yet: requests see a new
    /// configuration and new owners shortly before their pools exist.
    #[must_use]
    pub(crate) fn submit(
        &self,
        pool: &PoolId,
        node: NodeId,
        ticket: Ticket,
        replies: mpsc::Sender<PoolReply>,
    ) -> bool {
        let mut inner = self.lock();
        let (request_id, tier) = (ticket.request_id, ticket.tier);
        if !inner.pools.contains_key(pool) {
            return false;
        }
        let previous =
            inner.pending.insert(request_id, PendingRequest { tier, waiting: true, replies });
        if previous.is_none_or(|previous| !previous.waiting) {
            self.history.write(|| HistoryEvent::Queued { pool: pool.clone(), request_id, tier });
        }
        self.apply(&mut inner, pool, PoolEvent::Submit { node, ticket });
        true
    }

    /// Cancels a request, which may be queued or already have a grant on its way.
    pub(crate) fn cancel(&self, pool: &PoolId, request_id: RequestId) {
        let mut inner = self.lock();
        self.mark_dequeued(&mut inner, pool, request_id, false);
        inner.pending.remove(&request_id);
        self.apply(&mut inner, pool, PoolEvent::Cancel { request_id });
        // The grant may already be in flight; the request will not use it.
        self.apply(
            &mut inner,
            pool,
            PoolEvent::Finished(unused_grant(request_id, TargetId::new(), VersionId::new())),
        );
    }

    /// Applies an event to one pool; the event is dropped if this node does not have the pool.
    pub(crate) fn event(&self, pool: &PoolId, event: PoolEvent) {
        let mut inner = self.lock();
        if let PoolEvent::Finished(finished) = &event {
            inner.pending.remove(&finished.request_id);
        }
        self.apply(&mut inner, pool, event);
    }

    /// Applies events to all pools; a pool ignores events for targets and routes that it does not have.
    pub(crate) fn event_to_all(&self, events: &[PoolEvent]) {
        let mut inner = self.lock();
        let pools: Vec<PoolId> = inner.pools.keys().cloned().collect();
        for pool in &pools {
            for event in events {
                self.apply(&mut inner, pool, event.clone());
            }
        }
    }

    /// Processes the expired timers of all pools.
    pub(crate) fn tick(&self) {
        let mut inner = self.lock();
        inner.wake_at = None;
        let now = Instant::now();
        let due = |scheduler: &PoolScheduler| scheduler.next_wakeup().is_some_and(|at| at <= now);
        let pools: Vec<PoolId> = inner
            .pools
            .iter()
            .filter(|(_, scheduler)| due(scheduler))
            .map(|(pool, _)| pool.clone())
            .collect();
        for pool in &pools {
            self.apply(&mut inner, pool, PoolEvent::Tick);
        }
        self.schedule_wake(&mut inner);
    }

    /// Applies a configuration to the pools `owned` by this node, and drops all other pools.
    ///
    /// A new pool first waits for the registrations of the nodes `others`, which report their running requests.
    pub(crate) fn configure(&self, view: &FleetView, owned: &[PoolId], others: &[NodeId]) {
        let mut inner = self.lock();
        let config = &view.config;
        let layout: BTreeMap<&PoolId, &[TargetId]> =
            view.pools.all_pools().filter(|(pool, _)| owned.contains(pool)).collect();
        inner.pools.retain(|pool, _| layout.contains_key(pool));
        let organisations: Vec<OrganisationShare> =
            config.organisations.values().map(Into::into).collect();
        let credits = credits(config, view.pools.all_pools().count() as u64);
        for (pool, targets) in layout {
            inner.pools.entry(pool.clone()).or_insert_with(|| {
                new_scheduler(pool, config).with_take_over(Instant::now(), others.to_vec())
            });
            let targets: Vec<TargetSpec> = targets
                .iter()
                .filter_map(|target| config.targets.get(target))
                .map(Into::into)
                .collect();
            for event in [
                PoolEvent::Organisations(organisations.clone()),
                PoolEvent::Credits(credits.clone()),
                PoolEvent::Targets(targets),
            ] {
                self.apply(&mut inner, pool, event);
            }
        }
    }

    /// Returns the number of requests that all nodes run on a target; `None` when this node does not have the pool or
    /// the target.
    pub(crate) fn in_flight(&self, pool: &PoolId, target: &str) -> Option<u32> {
        let snapshot = self.lock().pools.get(pool)?.snapshot(Instant::now());
        let target = snapshot.targets.iter().find(|state| state.target == target)?;
        Some(target.in_flight)
    }

    /// Returns a snapshot of each pool of this node.
    pub(crate) fn snapshots(&self) -> Vec<PoolSnapshot> {
        let now = Instant::now();
        self.lock().pools.values().map(|scheduler| scheduler.snapshot(now)).collect()
    }

    fn lock(&self) -> MutexGuard<'_, SchedulerState> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn apply(&self, inner: &mut SchedulerState, pool: &PoolId, event: PoolEvent) {
        let Some(scheduler) = inner.pools.get_mut(pool) else { return };
        let mut actions = std::mem::take(&mut inner.actions);
        scheduler.on_event(Instant::now(), event, &mut actions);
        for action in actions.drain(..) {
            self.perform_action(inner, pool, action);
        }
        inner.actions = actions;
        self.schedule_wake(inner);
    }

    fn perform_action(&self, inner: &mut SchedulerState, pool: &PoolId, action: PoolAction) {
        match action {
            PoolAction::Grant { grant, .. } => {
                let request_id = grant.request_id;
                self.mark_dequeued(inner, pool, request_id, false);
                inner.reply(request_id, PoolReply::Granted(grant));
            }
            PoolAction::Refuse { refusal, .. } => {
                let request_id = refusal.request_id;
                self.mark_dequeued(inner, pool, request_id, refusal.code == ResultCode::Shed);
                inner.reply(request_id, PoolReply::Refused(refusal));
                inner.pending.remove(&request_id);
            }
            PoolAction::CancelRunning { request_id, .. } => {
                inner.reply(request_id, PoolReply::CancelRunning(request_id));
            }
        }
    }

    /// Records in the history that a request is no longer queued; has no effect if it was not.
    fn mark_dequeued(
        &self,
        inner: &mut SchedulerState,
        pool: &PoolId,
        request_id: RequestId,
        shed: bool,
    ) {
        let Some(pending) = inner.pending.get_mut(&request_id) else { return };
        if !std::mem::replace(&mut pending.waiting, false) {
            return;
        }
        let tier = pending.tier;
        self.history.write(|| {
            let pool = pool.clone();
            if shed {
                HistoryEvent::Shed { pool, request_id, tier }
            } else {
                HistoryEvent::Unqueued { pool, request_id }
            }
        });
    }

    /// Requests a tick for the earliest deadline unless an earlier tick is already requested.
    fn schedule_wake(&self, inner: &mut SchedulerState) {
        let Some(ticker) = inner.ticker.clone() else { return };
        let next = inner.pools.values().filter_map(PoolScheduler::next_wakeup).min();
        let Some(next) = next.filter(|next| inner.wake_at.is_none_or(|wake_at| *next < wake_at))
        else {
            return;
        };
        inner.wake_at = Some(next);
        let delay = next.saturating_duration_since(Instant::now()).max(MIN_WAKE_DELAY);
        self.timer.do_send(WakeAfter { delay, subscriber: ticker });
    }
}

impl SchedulerState {
    /// Sends a reply to the task of a request; it is dropped when the task has ended.
    fn reply(&self, request_id: RequestId, reply: PoolReply) {
        if let Some(pending) = self.pending.get(&request_id) {
            let _ = pending.replies.try_send(reply);
        }
    }
}

/// Returns the report of a grant that its request did not use, with an outcome that does not count for or against the
/// target.
pub(crate) fn unused_grant(
    request_id: RequestId,
    target: TargetId,
    version: VersionId,
) -> Finished {
    Finished {
        request_id,
        target,
        version,
        outcome: DispatchOutcome::Cancelled,
        read_tokens: 0,
        cached_tokens: 0,
        written_tokens: 0,
        first_token: None,
        elapsed: Duration::ZERO,
    }
}

fn new_scheduler(pool: &PoolId, config: &FleetConfig) -> PoolScheduler {
    let route = pool.rsplit_once('/').map_or(pool.as_str(), |(route, _)| route);
    let limits = config.routes.get(route).map(SchedulerLimits::from).unwrap_or_default();
    PoolScheduler::new(pool.clone(), stable_hash(&[pool.as_bytes()])).with_limits(limits)
}

/// Divides the credits evenly among the pools, because the pool owners spend them without coordination.
fn credits(config: &FleetConfig, pools: u64) -> Vec<ProviderCredit> {
    let now_s = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_secs();
    let credit = |provider: &ProviderConfig| ProviderCredit {
        provider: provider.name.clone(),
        tokens_left: provider.credit_tokens / pools.max(1),
        ends_in: Duration::from_secs(
            u64::try_from(provider.ends_at.unix_timestamp()).unwrap_or(0).saturating_sub(now_s),
        ),
    };
    config.providers.values().map(credit).collect()
}
