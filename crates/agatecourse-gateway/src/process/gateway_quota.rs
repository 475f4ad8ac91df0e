use super::{Gateway, Heartbeat, OrganisationUse, QuotaReport};
use crate::version::{Organisation, Quota};
use agatecourse_core::request::{
    BoundDemand, BoundEntry, BoundPlan, QuotaBounds, QuotaRefusal, QuotaWindow,
};
use agatecourse_types::{NodeId, OrganisationId, stable_hash};
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// Maximum number of nodes at which callers may use half of a quota's tolerance; the error in the use that nodes know of each
/// other grows with their number.
const FEW_NODES: f64 = 16.0;

/// Divisor of the slack that gives the addition to a limit while this process may not know all use; the rest covers late
/// reports of peers.
const RESTART_SLACK_DIVISOR: u64 = 8;

/// Time after the start within which a process hears from peers that know the use before it; several heartbeat periods.
const PEER_REPORT_TIME: Duration = Duration::from_secs(1);

/// Quota use recorded by earlier processes.
#[derive(Debug)]
pub(super) struct RecordedUse {
    pub(super) made: Instant,
    /// Number of nodes that shared the quotas.
    pub(super) nodes: usize,
    pub(super) used: UseRecord,
    /// Bounds of the use, by organisation; `None` if the earlier processes kept none.
    pub(super) bounds: Option<BTreeMap<OrganisationId, u64>>,
}

/// State of the quotas of all organisations.
#[derive(Debug, Default)]
pub(super) struct Quotas {
    pub(super) windows: BTreeMap<OrganisationId, QuotaWindow>,
    pub(super) bounds: QuotaBounds,
    /// Bounds that requests needed which were refused since the last plan.
    wanted: BTreeMap<OrganisationId, u64>,
}

/// Quota use per organisation over all nodes, as amounts with their ages.
pub type UseRecord = BTreeMap<OrganisationId, Vec<(Duration, u64)>>;

/// Quotas of organisations, which all nodes enforce together.
impl Gateway {
    /// Reserves an amount of an organisation's quota.
    pub(crate) fn reserve_quota(
        &self,
        now: Instant,
        organisation: &Organisation,
        amount: u64,
    ) -> Result<(), QuotaRefusal> {
        let Some(quota) = organisation.quota else { return Ok(()) };
        let (limit, slack) = self.quota_limit(now, &quota);
        let name = &organisation.name;
        let mut quotas = self.quotas.borrow_mut();
        let bound = quotas.bounds.enforced(name, limit);
        let window =
            quotas.windows.entry(name.clone()).or_insert_with(|| self.new_quota_window(name));
        window.set_bound(bound);
        window.set_expected_nodes(self.quota_node_count(now));
        let reserved = window.try_reserve(now, amount, limit, slack);
        if let Err(refusal) = &reserved
            && refusal.is_bounded
        {
            let wanted = quotas.wanted.entry(name.clone()).or_default();
            *wanted = refusal.needed_bound.max(*wanted);
        }
        reserved
    }

    /// Waits until the quota bounds have changed; returns false if they did not until `until` or the source of documents,
    /// which stores them, can't be reached.
    pub(crate) async fn wait_for_quota_bound(&self, until: Instant) -> bool {
        if self.is_source_lost() {
            return false;
        }
        let mut changes = self.bound_changes.subscribe();
        self.bound_wanted.notify_one();
        tokio::time::timeout_at(until.into(), changes.changed()).await.is_ok()
    }

    /// Waits until a request needs a higher quota bound.
    pub async fn quota_bound_wanted(&self) {
        self.bound_wanted.notified().await;
    }

    /// Returns the limit of use in a window and the slack by which the shares of all nodes may exceed the unused quota.
    ///
    /// The deployment tolerates some use beyond the quota. With up to `FEW_NODES` nodes, callers may use half of this tolerance,
    /// with more nodes a smaller part; the rest is the slack, which covers use that other nodes have not reported yet. Until a window has passed
    /// after a restart, the use of ended processes may be assumed to reach the limit, and organisations get a little more, so that
    /// small requests are not refused; the slack is then smaller, because the ended processes may have used it.
    fn quota_limit(&self, now: Instant, quota: &Quota) -> (u64, u64) {
        let full =
            quota.rate_per_s.saturating_mul(self.settings.quota_window.as_secs()) + quota.burst;
        let nodes = self.node_count();
        let part = 0.5 * (FEW_NODES / nodes as f64).min(1.0);
        let tolerated = if quota.counts_tokens { self.settings.quota_slack as f64 } else { 0.0 };
        let limit =
            full + (full as f64 * self.settings.quota_overage * part + tolerated * part) as u64;
        let is_settled =
            self.settings.is_first_start || self.uptime(now) >= self.settings.quota_window;
        if is_settled {
            (limit, (tolerated * (1.0 - part)) as u64)
        } else {
            let restart_slack = (tolerated * part) as u64 / RESTART_SLACK_DIVISOR;
            (limit + restart_slack, (tolerated * (1.0 - 2.0 * part)) as u64)
        }
    }

    /// Sets the use that the earlier processes of `nodes` nodes recorded `age` ago, with its bounds.
    pub fn set_recorded_use(
        &self,
        now: Instant,
        age: Duration,
        nodes: usize,
        used: UseRecord,
        bounds: Option<BTreeMap<OrganisationId, u64>>,
    ) {
        let made = now.checked_sub(age).unwrap_or(now);
        *self.recorded_use.borrow_mut() = Some(RecordedUse { made, nodes, used, bounds });
        for (name, window) in &mut self.quotas.borrow_mut().windows {
            self.restore_recorded_use(name, window);
        }
    }

    fn new_quota_window(&self, organisation: &OrganisationId) -> QuotaWindow {
        let mut window = QuotaWindow::new(self.settings.quota_window);
        if !self.settings.is_first_start {
            window = window.with_unknown_use_before(self.started);
        }
        self.restore_recorded_use(organisation, &mut window);
        window
    }

    /// Adds the recorded amounts of an organisation to its window, with the times at which they expire, and their bound.
    fn restore_recorded_use(&self, organisation: &OrganisationId, window: &mut QuotaWindow) {
        let recorded = self.recorded_use.borrow();
        let Some(recorded) = recorded.as_ref() else { return };
        let amounts = recorded.used.get(organisation).map_or(&[][..], Vec::as_slice);
        let until =
            |age: &Duration| recorded.made + self.settings.quota_window.saturating_sub(*age);
        let amounts = amounts.iter().map(|(age, amount)| (until(age), *amount)).collect();
        window.record_previous_use(recorded.nodes, amounts);
        if let Some(bounds) = &recorded.bounds {
            window.record_previous_bound(bounds.get(organisation).copied().unwrap_or_default());
        }
    }

    /// Returns the quota bounds to store. `is_recorder` says whether this node records the use regularly; others only raise
    /// bounds for requests that wait for it.
    pub fn plan_quota_bounds(&self, now: Instant, is_recorder: bool) -> BoundPlan {
        let Some(deployment) = self.deployment() else { return BoundPlan::default() };
        let mut quotas = self.quotas.borrow_mut();
        let Quotas { windows, bounds, wanted } = &mut *quotas;
        let wanted = std::mem::take(wanted);
        let demands = deployment.organisations.values().filter_map(|organisation| {
            let (limit, _) = self.quota_limit(now, &organisation.quota?);
            let name = &organisation.name;
            let window = windows.entry(name.clone()).or_insert_with(|| self.new_quota_window(name));
            Some(BoundDemand {
                organisation: name.clone(),
                used: window.known_use(now, limit),
                wanted: wanted.get(name).copied().unwrap_or_default(),
                limit,
                is_raised_ahead: self.uptime(now) >= PEER_REPORT_TIME,
            })
        });
        bounds.plan(now, &demands.collect::<Vec<_>>(), is_recorder)
    }

    /// Returns the number of nodes that share the quotas; until a window has passed, at least that of the earlier processes.
    pub fn quota_node_count(&self, now: Instant) -> usize {
        let recorded = self.recorded_use.borrow().as_ref().map_or(0, |recorded| recorded.nodes);
        let is_young = self.uptime(now) < self.settings.quota_window;
        self.node_count().max(if is_young { recorded } else { 0 })
    }

    /// Returns the version of the stored quota bounds that this node knows; 0 if none are stored.
    pub fn quota_bounds_version(&self) -> u64 {
        self.quotas.borrow().bounds.version()
    }

    /// Takes over quota bounds that this node has stored.
    pub fn record_stored_quota_bounds(&self, version: u64, bounds: BTreeMap<OrganisationId, u64>) {
        self.quotas.borrow_mut().bounds.record_stored(version, bounds);
        self.bound_changes.send_replace(version);
    }

    /// Takes over quota bounds that were stored by another node.
    pub fn adopt_quota_bounds(
        &self,
        now: Instant,
        version: u64,
        bounds: &BTreeMap<OrganisationId, BoundEntry>,
    ) {
        if self.quotas.borrow_mut().bounds.adopt(now, version, bounds) {
            self.bound_changes.send_replace(version);
        }
    }

    /// Returns the amounts that all nodes have sent for each organisation with a quota, as far as this node knows.
    pub fn sent_amounts(&self, now: Instant) -> UseRecord {
        let mut quotas = self.quotas.borrow_mut();
        let amounts = quotas
            .windows
            .iter_mut()
            .map(|(name, window)| (name.clone(), window.sent_amounts(now)));
        amounts.filter(|(_, amounts)| !amounts.is_empty()).collect()
    }

    /// Counts a reserved amount as sent to a target.
    pub(crate) fn commit_quota(&self, now: Instant, organisation: &OrganisationId, amount: u64) {
        if let Some(window) = self.quotas.borrow_mut().windows.get_mut(organisation) {
            window.commit(now, amount);
        }
    }

    /// Counts the amount of a request that is sent to another target after one that may have run it.
    pub(crate) fn record_repeat(&self, now: Instant, organisation: &OrganisationId, amount: u64) {
        if let Some(window) = self.quotas.borrow_mut().windows.get_mut(organisation) {
            window.record_repeat(now, amount);
        }
    }

    /// Releases a reserved amount that was not sent.
    pub(crate) fn release_quota(&self, organisation: &OrganisationId, amount: u64) {
        if let Some(window) = self.quotas.borrow_mut().windows.get_mut(organisation) {
            window.release(amount);
        }
    }

    /// Keeps counting the use of a peer's earlier process after the peer has restarted.
    pub(crate) fn record_restart(&self, now: Instant, node: &NodeId) {
        for window in self.quotas.borrow_mut().windows.values_mut() {
            window.record_restart(now, node);
        }
    }

    /// Returns the use of organisations known to this node, for its heartbeats.
    pub(crate) fn known_usage(&self, now: Instant) -> (Vec<OrganisationUse>, Vec<QuotaReport>) {
        let Some(deployment) = self.deployment() else { return Default::default() };
        let mut quotas = self.quotas.borrow_mut();
        let Quotas { windows, bounds, .. } = &mut *quotas;
        let known = deployment.organisations.values().filter_map(|organisation| {
            let (limit, _) = self.quota_limit(now, &organisation.quota?);
            let name = &organisation.name;
            let window = windows.entry(name.clone()).or_insert_with(|| self.new_quota_window(name));
            let total = window.known_use(now, limit);
            let bound = bounds.entry(name);
            let report = QuotaReport {
                sent_total: window.sent_total(),
                stored_bound: bound.stored,
                enforced_bound: bound.enforced,
            };
            let organisation = stable_hash(&[name.as_bytes()]);
            Some((OrganisationUse { organisation, own: window.own_use(now), total }, report))
        });
        known.filter(|(usage, report)| usage.total > 0 || report.stored_bound > 0).unzip()
    }

    /// Records the use of organisations that a peer reports.
    pub(crate) fn record_peer_usage(&self, now: Instant, node: &NodeId, heartbeat: &Heartbeat) {
        let Some(deployment) = self.deployment() else { return };
        let width = self.settings.quota_window;
        let uptime = self.uptime(now);
        let peer_uptime = Duration::from_millis(u64::from(heartbeat.uptime_ms));
        let is_older_peer = uptime < width && peer_uptime > uptime;
        let mut bounds = BTreeMap::new();
        let mut quotas = self.quotas.borrow_mut();
        for name in deployment.organisations.keys() {
            let hash = stable_hash(&[name.as_bytes()]);
            let index = heartbeat.usage.iter().position(|item| item.organisation == hash);
            let usage = index.and_then(|index| heartbeat.usage.get(index));
            let report = index.and_then(|index| heartbeat.quota_reports.get(index));
            let window =
                quotas.windows.entry(name.clone()).or_insert_with(|| self.new_quota_window(name));
            window.record_peer(now, node.clone(), usage.map_or(0, |item| item.own));
            if let Some(report) = report {
                window.record_peer_sent_total(now, node, report.sent_total);
                let bound =
                    BoundEntry { stored: report.stored_bound, enforced: report.enforced_bound };
                bounds.insert(name.clone(), bound);
            }
            if peer_uptime <= uptime {
                window.record_younger_peer(node);
            }
            if is_older_peer && (usage.is_some() || heartbeat.is_usage_complete) {
                let total = usage.map_or(0, |item| item.total);
                window.record_older_peer_total(now, node.clone(), total);
            }
        }
        drop(quotas);
        self.adopt_quota_bounds(now, heartbeat.quota_bounds_version, &bounds);
    }

    /// Removes the use of a node that was removed from the members.
    pub(crate) fn remove_peer_usage(&self, node: &NodeId) {
        for window in self.quotas.borrow_mut().windows.values_mut() {
            window.forget_peer(node);
        }
    }
}
