use super::{Gateway, OrganisationUse};
use crate::version::{Organisation, Quota};
use agatecourse_core::request::{QuotaRefusal, QuotaWindow, UseHistory};
use agatecourse_types::{NodeId, OrganisationId, stable_hash};
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// Maximum number of nodes at which callers may use half of a quota's tolerance; the error in the use that nodes know of each
/// other grows with their number.
const FEW_NODES: f64 = 16.0;

/// Divisor of the quota slack that may be used right after a restart of all nodes; the rest covers late reports of peers.
const RESTART_SLACK_DIVISOR: u64 = 2;

/// Quota use recorded by earlier processes.
#[derive(Debug)]
pub(super) struct RecordedUse {
    pub(super) made: Instant,
    /// Number of nodes that shared the quotas.
    pub(super) nodes: usize,
    pub(super) used: UseRecord,
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
        let (full, slack) = self.quota_limit(&quota);
        let limit = self.limit_after_restart(now, full, slack);
        self.quotas
            .borrow_mut()
            .entry(organisation.name.clone())
            .or_insert_with(|| self.new_quota_window(&organisation.name))
            .try_reserve(now, amount, limit, slack)
    }

    /// Returns the limit of use in a window and the slack that it includes.
    ///
    /// The deployment tolerates some use beyond the quota. With up to `FEW_NODES` nodes, callers may use half of this tolerance,
    /// with more nodes a smaller part; the rest covers use that other nodes have not reported yet.
    fn quota_limit(&self, quota: &Quota) -> (u64, u64) {
        let full =
            quota.rate_per_s.saturating_mul(self.settings.quota_window.as_secs()) + quota.burst;
        let nodes = self.node_count();
        let part = 0.5 * (FEW_NODES / nodes as f64).min(1.0);
        let slack = if quota.counts_tokens { self.settings.quota_slack as f64 * part } else { 0.0 };
        (full + (full as f64 * self.settings.quota_overage * part + slack) as u64, slack as u64)
    }

    /// Returns the part of a limit that may be used while no node has counted for a whole window.
    ///
    /// After all processes were killed at once, the use recorded by the earlier ones counts until it has left the window.
    /// Without a record, only the amount that has expired from the window since then may be used, and a part of the slack.
    fn limit_after_restart(&self, now: Instant, full: u64, slack: u64) -> u64 {
        let window = self.settings.quota_window;
        let longest = self.members.borrow().longest_uptime(now);
        let known_for = longest.max(now.saturating_duration_since(self.started));
        let has_record = self.recorded_use.borrow().is_some();
        if self.settings.is_first_start || known_for >= window || has_record {
            return full;
        }
        let freed = full as f64 * known_for.as_secs_f64() / window.as_secs_f64();
        (freed as u64 + slack / RESTART_SLACK_DIVISOR).min(full)
    }

    /// Sets the use that the earlier processes of `nodes` nodes recorded `age` ago.
    pub fn set_recorded_use(&self, now: Instant, age: Duration, nodes: usize, used: UseRecord) {
        let made = now.checked_sub(age).unwrap_or(now);
        *self.recorded_use.borrow_mut() = Some(RecordedUse { made, nodes, used });
        for (name, window) in self.quotas.borrow_mut().iter_mut() {
            self.restore_recorded_use(name, window);
        }
    }

    fn new_quota_window(&self, organisation: &OrganisationId) -> QuotaWindow {
        let mut window = QuotaWindow::new(self.settings.quota_window);
        self.restore_recorded_use(organisation, &mut window);
        window
    }

    /// Adds the recorded amounts of an organisation to its window, with the times at which they expire.
    fn restore_recorded_use(&self, organisation: &OrganisationId, window: &mut QuotaWindow) {
        let recorded = self.recorded_use.borrow();
        let Some(recorded) = recorded.as_ref() else { return };
        let amounts = recorded.used.get(organisation).map_or(&[][..], Vec::as_slice);
        let until =
            |age: &Duration| recorded.made + self.settings.quota_window.saturating_sub(*age);
        let amounts = amounts.iter().map(|(age, amount)| (until(age), *amount)).collect();
        window.record_previous_use(recorded.nodes, amounts);
    }

    /// Samples the use of all organisations and returns the use of those above `share` of their limit.
    pub fn observe_quota_use(&self, now: Instant, share: f64) -> UseRecord {
        let Some(deployment) = self.deployment() else { return UseRecord::new() };
        let mut quotas = self.quotas.borrow_mut();
        let mut histories = self.use_histories.borrow_mut();
        let mut near_limit = UseRecord::new();
        for (name, window) in quotas.iter_mut() {
            let organisation = deployment.organisations.get(name);
            let Some(quota) = organisation.and_then(|organisation| organisation.quota) else {
                continue;
            };
            let (limit, _) = self.quota_limit(&quota);
            let used = window.known_use(now, limit);
            let width = self.settings.quota_window;
            let history = histories.entry(name.clone()).or_insert_with(|| UseHistory::new(width));
            history.observe(now, used);
            if used as f64 > limit as f64 * share {
                near_limit.insert(name.clone(), history.amounts(now));
            }
        }
        near_limit
    }

    /// Counts a reserved amount as sent to a target.
    pub(crate) fn commit_quota(&self, now: Instant, organisation: &OrganisationId, amount: u64) {
        if let Some(window) = self.quotas.borrow_mut().get_mut(organisation) {
            window.commit(now, amount);
        }
    }

    /// Releases a reserved amount that was not sent.
    pub(crate) fn release_quota(&self, organisation: &OrganisationId, amount: u64) {
        if let Some(window) = self.quotas.borrow_mut().get_mut(organisation) {
            window.release(amount);
        }
    }

    /// Keeps counting the use of a peer's earlier process after the peer has restarted.
    pub(crate) fn record_restart(&self, now: Instant, node: &NodeId) {
        for window in self.quotas.borrow_mut().values_mut() {
            window.record_restart(now, node);
        }
    }

    /// Returns the use of organisations known to this node, for its heartbeats.
    pub(crate) fn known_usage(&self, now: Instant) -> Vec<OrganisationUse> {
        let Some(deployment) = self.deployment() else { return Vec::new() };
        let mut quotas = self.quotas.borrow_mut();
        let known = quotas.iter_mut().filter_map(|(name, window)| {
            let quota = deployment.organisations.get(name)?.quota?;
            let (limit, _) = self.quota_limit(&quota);
            let total = window.known_use(now, limit);
            let organisation = stable_hash(&[name.as_bytes()]);
            Some(OrganisationUse { organisation, own: window.own_use(now), total })
        });
        known.filter(|item| item.total > 0).collect()
    }

    /// Records the use of organisations that a peer reports; an organisation missing from `usage` has used nothing there.
    pub(crate) fn record_peer_usage(
        &self,
        now: Instant,
        node: &NodeId,
        peer_life: Duration,
        usage: &[OrganisationUse],
    ) {
        let Some(deployment) = self.deployment() else { return };
        let width = self.settings.quota_window;
        let uptime = self.uptime(now);
        let is_older_peer = uptime < width && peer_life > uptime;
        let mut quotas = self.quotas.borrow_mut();
        for name in deployment.organisations.keys() {
            let hash = stable_hash(&[name.as_bytes()]);
            let known = usage.iter().find(|item| item.organisation == hash);
            let window = quotas.entry(name.clone()).or_insert_with(|| self.new_quota_window(name));
            window.record_peer(now, node.clone(), known.map_or(0, |item| item.own));
            if is_older_peer && let Some(known) = known {
                window.record_older_peer_total(now, node.clone(), known.total);
            }
        }
    }

    /// Removes the use of a node that was removed from the members.
    pub(crate) fn remove_peer_usage(&self, node: &NodeId) {
        for window in self.quotas.borrow_mut().values_mut() {
            window.forget_peer(node);
        }
    }
}
