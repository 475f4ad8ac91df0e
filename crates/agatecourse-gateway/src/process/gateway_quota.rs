use super::members::LOST_SHARE_TIME;
use super::{Gateway, Heartbeat, OrganisationUse, QuotaReport, RankDemand};
use crate::version::{Organisation, Quota};
use agatecourse_core::request::{
    BoundDemand, BoundEntry, BoundPlan, QuotaBounds, QuotaRefusal, QuotaReserve, QuotaWindow,
};
use agatecourse_types::{NodeId, OrganisationId, stable_hash};
use slog::info;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

/// Maximum number of nodes at which callers may use half of a quota's tolerance; the error in the use that nodes know of each
/// other grows with their number.
const FEW_NODES: f64 = 16.0;

/// Divisor of the slack that gives the addition to a limit while this process may not know all use; the rest covers late
/// reports of peers.
const RESTART_SLACK_DIVISOR: u64 = 8;

/// Time after the start within which a process hears from peers that know the use before it; several heartbeat periods.
const PEER_REPORT_TIME: Duration = Duration::from_secs(1);

/// Divisor of the bytes for use in a heartbeat that gives those for the organisations that were listed least recently.
const TURN_BYTES_DIVISOR: usize = 4;

/// Use from which the nodes tell each other the demand by rank of an organisation, in millionths of its limit; a reserve is kept from half of the limit on.
const RANKS_FROM_PPM: u64 = 400_000;

/// Maximum number of organisations with their demand by rank in a heartbeat, about 50 bytes each. The demand of the others is known from the
/// requests at the node itself only.
const MAX_HEARTBEAT_DEMANDS: usize = 4;

/// Time within which a peer lists each organisation with any use: 290 organisations at 87 nodes take ten heartbeats of 0.46 s.
const LIST_TURN: Duration = Duration::from_secs(5);

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
    /// Own use of organisations when a heartbeat listed them last, with its round.
    listed: BTreeMap<OrganisationId, (u64, u64)>,
    /// Number of heartbeats with use so far.
    list_round: u64,
    /// Reserves for the more urgent requests of organisations.
    reserves: BTreeMap<OrganisationId, QuotaReserve>,
    /// Other nodes that share the quotas.
    sharing_nodes: BTreeSet<NodeId>,
}

/// Use of organisations for a heartbeat.
#[derive(Debug, Default)]
pub(crate) struct UsageReport {
    pub(crate) usage: Vec<OrganisationUse>,
    pub(crate) quota_reports: Vec<QuotaReport>,
    /// Largest growth of the own use of an organisation that is not listed, in millionths of its limit; `None` if all that have used something are
    /// listed.
    pub(crate) unlisted_growth_ppm: Option<u32>,
}

/// Use of an organisation that a heartbeat may list.
#[derive(Debug)]
struct ListedUse {
    name: OrganisationId,
    usage: OrganisationUse,
    report: QuotaReport,
    is_lowered: bool,
    /// Growth of the own use since it was listed, in millionths of the limit.
    growth_ppm: u64,
    /// Round in which it was listed; 0 for never.
    round: u64,
}

impl ListedUse {
    /// Returns the number of bytes that it takes in a message.
    fn encoded_len(&self) -> usize {
        let values = [
            self.usage.organisation,
            self.usage.own,
            self.usage.total,
            self.report.sent_total,
            self.report.stored_bound,
            self.report.enforced_bound,
        ];
        // A varint has seven bits in each byte.
        values.iter().map(|value| (70 - value.leading_zeros().min(63) as usize) / 7).sum()
    }
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
        rank: u32,
        amount: u64,
    ) -> Result<(), QuotaRefusal> {
        let Some(quota) = organisation.quota else { return Ok(()) };
        let (limit, slack) = self.quota_limit(now, &quota);
        let name = &organisation.name;
        let mut quotas = self.quotas.borrow_mut();
        let quotas = &mut *quotas;
        let bound = quotas.bounds.enforced(name, limit);
        let window =
            quotas.windows.entry(name.clone()).or_insert_with(|| self.new_quota_window(name));
        window.set_bound(bound);
        window.set_expected_nodes(self.quota_node_count(now));
        window.set_report_period(self.members.borrow().heartbeat_period());
        let reserve = quotas
            .reserves
            .entry(name.clone())
            .or_insert_with(|| QuotaReserve::new(self.settings.quota_window));
        let terms = reserve.terms(now, rank);
        let reserved = window.try_reserve_ranked(now, amount, limit, slack, terms);
        // A request that waits for a higher bound asks again.
        if !reserved.as_ref().is_err_and(|refusal| refusal.is_bounded) {
            reserve.record_asked(now, rank, amount);
        }
        if let Err(refusal) = &reserved {
            let kind = if refusal.reserved > 0 { "reserved" } else { "limit" };
            self.metrics.quota_refusals.with_label_values(&[kind]).inc();
        }
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
        let draw_seed = stable_hash(&[self.settings.node.as_bytes(), organisation.as_bytes()]);
        let mut window = QuotaWindow::new(self.settings.quota_window).with_draw_seed(draw_seed);
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
        let Quotas { windows, bounds, wanted, .. } = &mut *quotas;
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

    /// Returns the number of nodes that share the quotas.
    ///
    /// Nodes of the earlier processes count until a window has passed, and longer if no peer that knows them is heard: this node may have started
    /// behind a partition. A peer that started a window earlier knows which nodes are lost.
    pub fn quota_node_count(&self, now: Instant) -> usize {
        let recorded = self.recorded_use.borrow().as_ref().map_or(0, |recorded| recorded.nodes);
        let uptime = self.uptime(now);
        let may_miss_nodes = uptime < LOST_SHARE_TIME && !self.has_heard_settled_peer.get();
        let counts_recorded = uptime < self.settings.quota_window || may_miss_nodes;
        self.node_count().max(if counts_recorded { recorded } else { 0 })
    }

    /// Returns whether nodes that share the quotas are not heard; they may have gone or be live behind a partition.
    pub fn may_miss_nodes(&self, now: Instant) -> bool {
        let live = self.members.borrow().live(now).len();
        self.quota_node_count(now) > live + 1
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

    /// Returns the use of organisations known to this node, for a heartbeat that has `max_bytes` for it.
    ///
    /// If not all fit, those come first whose bound is being lowered, then those whose own use has grown most since they were listed, relative to the
    /// limit; a quarter of the bytes is for those that were listed least recently. Receivers add the largest growth of the others to their use.
    pub(crate) fn known_usage(&self, now: Instant, max_bytes: usize) -> UsageReport {
        let Some(deployment) = self.deployment() else { return UsageReport::default() };
        let mut quotas = self.quotas.borrow_mut();
        let Quotas { windows, bounds, listed, list_round, .. } = &mut *quotas;
        *list_round += 1;
        let mut known: Vec<ListedUse> = Vec::new();
        for organisation in deployment.organisations.values() {
            let Some(quota) = &organisation.quota else { continue };
            let (limit, _) = self.quota_limit(now, quota);
            let name = &organisation.name;
            let window = windows.entry(name.clone()).or_insert_with(|| self.new_quota_window(name));
            let total = window.known_use(now, limit);
            let bound = bounds.entry(name);
            let report = QuotaReport {
                sent_total: window.sent_total(),
                stored_bound: bound.stored,
                enforced_bound: bound.enforced,
            };
            let (listed_own, round) = listed.get(name).copied().unwrap_or_default();
            if total == 0 && report.stored_bound == 0 && listed_own == 0 {
                continue;
            }
            let own = window.own_use(now);
            let growth = own.saturating_sub(listed_own);
            let hash = stable_hash(&[name.as_bytes()]);
            known.push(ListedUse {
                name: name.clone(),
                usage: OrganisationUse { organisation: hash, own, total },
                report,
                is_lowered: bound.enforced < bound.stored,
                growth_ppm: growth.saturating_mul(1_000_000) / limit.max(1),
                round,
            });
        }
        let mut report = UsageReport::default();
        let mut free_bytes = max_bytes;
        if known.iter().map(ListedUse::encoded_len).sum::<usize>() > max_bytes {
            report.unlisted_growth_ppm = Some(0);
            // First those in turn, then those that changed most.
            known.sort_by_key(|item| item.round);
            let mut turn_bytes = max_bytes / TURN_BYTES_DIVISOR;
            let in_turn = known
                .iter()
                .take_while(|item| {
                    let fits = item.encoded_len() <= turn_bytes;
                    turn_bytes = turn_bytes.saturating_sub(item.encoded_len());
                    fits
                })
                .count();
            known[in_turn..].sort_by_key(|item| Reverse((item.is_lowered, item.growth_ppm)));
        }
        for item in known {
            let length = item.encoded_len();
            if length > free_bytes {
                let growth_ppm = u32::try_from(item.growth_ppm).unwrap_or(u32::MAX);
                report.unlisted_growth_ppm = report.unlisted_growth_ppm.max(Some(growth_ppm));
                continue;
            }
            free_bytes -= length;
            listed.insert(item.name, (item.usage.own, *list_round));
            report.usage.push(item.usage);
            report.quota_reports.push(item.report);
        }
        report
    }

    /// Returns what the ranks of organisations near their limit have asked for on this node, for a heartbeat; the organisations with most use
    /// in relation to their limit if there are many of them.
    pub(crate) fn rank_demands(&self, now: Instant) -> Vec<RankDemand> {
        let Some(deployment) = self.deployment() else { return Vec::new() };
        let mut quotas = self.quotas.borrow_mut();
        let Quotas { windows, reserves, .. } = &mut *quotas;
        let mut demands = Vec::new();
        for (name, reserve) in reserves {
            let quota = deployment.organisations.get(name).and_then(|it| it.quota);
            let Some((quota, window)) = quota.zip(windows.get_mut(name)) else { continue };
            let (limit, _) = self.quota_limit(now, &quota);
            let used_ppm = window.known_use(now, limit).saturating_mul(1_000_000) / limit.max(1);
            let ranks = reserve.reports(now);
            if used_ppm >= RANKS_FROM_PPM && !ranks.is_empty() {
                let organisation = stable_hash(&[name.as_bytes()]);
                demands.push((used_ppm, RankDemand { organisation, ranks }));
            }
        }
        demands.sort_by_key(|(used_ppm, _)| Reverse(*used_ppm));
        demands.truncate(MAX_HEARTBEAT_DEMANDS);
        demands.into_iter().map(|(_, demand)| demand).collect()
    }

    /// Records the use of organisations that a peer reports.
    pub(crate) fn record_peer_usage(&self, now: Instant, node: &NodeId, heartbeat: &Heartbeat) {
        let Some(deployment) = self.deployment() else { return };
        let width = self.settings.quota_window;
        let uptime = self.uptime(now);
        let peer_uptime = Duration::from_millis(u64::from(heartbeat.uptime_ms));
        let is_older_peer = uptime < width && peer_uptime > uptime;
        if peer_uptime >= uptime + width {
            self.has_heard_settled_peer.set(true);
        }
        let mut bounds = BTreeMap::new();
        let known_for = self.members.borrow().known_for(now, node);
        let listed: BTreeMap<u64, usize> = heartbeat
            .usage
            .iter()
            .enumerate()
            .map(|(index, item)| (item.organisation, index))
            .collect();
        let mut quotas = self.quotas.borrow_mut();
        for (name, organisation) in &deployment.organisations {
            let index = listed.get(&stable_hash(&[name.as_bytes()])).copied();
            let usage = index.and_then(|index| heartbeat.usage.get(index));
            let report = index.and_then(|index| heartbeat.quota_reports.get(index));
            let window =
                quotas.windows.entry(name.clone()).or_insert_with(|| self.new_quota_window(name));
            if usage.is_none()
                && let Some(growth_ppm) = heartbeat.unlisted_growth_ppm
            {
                let limit = organisation.quota.map_or(0, |quota| self.quota_limit(now, &quota).0);
                let growth = limit.saturating_mul(growth_ppm.into()) / 1_000_000;
                window.record_unlisted(now, node, growth, known_for >= LIST_TURN);
                continue;
            }
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
        for demand in &heartbeat.rank_demands {
            let is_meant =
                |name: &&OrganisationId| stable_hash(&[name.as_bytes()]) == demand.organisation;
            if let Some(name) = deployment.organisations.keys().find(is_meant) {
                let reserve =
                    quotas.reserves.entry(name.clone()).or_insert_with(|| QuotaReserve::new(width));
                reserve.record_peer(now, node.clone(), demand.ranks.clone());
            }
        }
        drop(quotas);
        if heartbeat.unlisted_growth_ppm.is_some() {
            let version = heartbeat.quota_bounds_version;
            if self.quotas.borrow_mut().bounds.adopt_part(now, version, &bounds) {
                self.bound_changes.send_modify(|_| {});
            }
        } else {
            self.adopt_quota_bounds(now, heartbeat.quota_bounds_version, &bounds);
        }
    }

    /// Stops counting the shares of nodes that are gone; their use counts until it leaves the window. Nodes that may be live behind a partition keep
    /// their shares.
    pub(crate) fn forget_usage_of_gone_nodes(&self, now: Instant) {
        let members = self.members.borrow();
        let sharing: BTreeSet<NodeId> = members
            .addresses()
            .map(|(node, _)| node)
            .chain(members.lost_with_share(now))
            .cloned()
            .collect();
        let mut quotas = self.quotas.borrow_mut();
        let Quotas { windows, sharing_nodes, .. } = &mut *quotas;
        for node in sharing_nodes.difference(&sharing) {
            info!(self.log, "node has no share of the quotas any more"; "member" => node);
            for window in windows.values_mut() {
                window.forget_peer(node);
            }
        }
        *sharing_nodes = sharing;
    }
}
