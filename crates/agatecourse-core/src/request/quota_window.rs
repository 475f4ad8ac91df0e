use super::UseHistory;
use super::quota_bounds::effective_bound;
use agatecourse_types::NodeId;
use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

/// Time resolution of the sliding window.
const BUCKET: Duration = Duration::from_millis(250);
/// Age from which a peer's count is stale; the peer is then assumed to use at least an equal share of the quota.
const STALE_AFTER: Duration = Duration::from_secs(1);

/// Time within which a node receives the counts of all peers; one heartbeat period plus a margin.
const PEER_UPDATE_PERIOD: Duration = Duration::from_millis(500);
/// Largest part of the unused quota that is shared in proportion to the nodes' use; the rest is shared equally.
const MAX_PROPORTIONAL_WEIGHT: f64 = 0.5;
/// A request larger than the node's share needs more than `limit / MIN_REMAINDER_DIVISOR` of unused quota.
const MIN_REMAINDER_DIVISOR: u64 = 50;

/// Tracks the quota use of one organisation over all nodes in a sliding window.
///
/// Each node counts its own use and publishes it. A peer with a stale count is assumed to use an equal share, so that
/// partitioned nodes stay within the quota together. A queued amount stays reserved until it is sent and then counts for
/// a whole window, because a target's work counts from its start.
///
/// Use that nobody knows of is assumed to be as large as it may have been: a process that replaces others counts the whole
/// limit as used when it starts, or the [bound](super::QuotaBounds) that the others had stored. Recorded amounts say which
/// part of it expires sooner, and older peers know the use itself.
#[derive(Debug, Clone)]
pub struct QuotaWindow {
    width: Duration,
    sent: VecDeque<(Instant, u64)>,
    sent_sum: u64,
    reserved: u64,
    peers: BTreeMap<NodeId, PeerUse>,
    /// Use of ended processes.
    ended: VecDeque<EndedUse>,
    period: Option<SharePeriod>,
    /// Use of all nodes as reported by peers that started earlier than this node, with the time of the report.
    older_peer_totals: BTreeMap<NodeId, (Instant, u64)>,
    /// Start of this process if it replaces others, whose use it does not know.
    replaced_others_at: Option<Instant>,
    /// Stored bound of the use of ended processes; `None` before it was read, 0 for the default.
    previous_bound: Option<u64>,
    /// Largest use of ended processes according to older peers, with what had expired of the record by then.
    previous_use_at_most: Option<u64>,
    /// Bound of the use of all nodes, if it is less than the limit.
    bound: Option<u64>,
    /// Use of all nodes before this process started, with the time at which each amount leaves the window.
    recorded: Vec<(Instant, u64)>,
    /// Recorded use that has left the window since this process started.
    recorded_expired: u64,
    /// Lower bound of the number of nodes that share the quota, until as many peers have reported.
    expected_nodes: usize,
    /// Amount that this process has sent since its start.
    sent_total: u64,
    /// Amounts that all nodes have sent, as far as this node knows.
    history: UseHistory,
}

/// Use of a process that has ended.
#[derive(Debug, Clone, Copy)]
struct EndedUse {
    /// Time at which all of the use has left the window.
    until: Instant,
    used: u64,
    /// Part of the use that was not in the process's first report.
    used_since: u64,
}

impl EndedUse {
    fn new(peer: &PeerUse, width: Duration) -> Self {
        let used_since = peer.used.saturating_sub(peer.used_at_first);
        Self { until: peer.reported_at + width, used: peer.used, used_since }
    }
}

/// Last reported use of a peer and its growth, to extrapolate until the next report.
#[derive(Debug, Clone, Copy)]
struct PeerUse {
    reported_at: Instant,
    used: u64,
    /// Use in the peer's first report that the use before this process started includes already.
    used_at_first: u64,
    growth_per_s: f64,
    /// Amount that the peer's process has sent since its start; `None` before the first report that contains it.
    sent_total: Option<u64>,
}

impl PeerUse {
    fn expected_use(&self, now: Instant) -> u64 {
        let age = now.saturating_duration_since(self.reported_at);
        self.used + (self.growth_per_s * age.as_secs_f64()) as u64
    }
}

/// Counts at the time of a refusal, in the unit of the reserved amounts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct QuotaRefusal {
    /// Estimated use of all nodes in the window.
    pub used: u64,
    /// Use of this node in the window, including reserved amounts.
    pub own: u64,
    /// Quota of all nodes together in one window.
    pub limit: u64,
    /// Amount that this node may reserve in the present share period.
    pub share: u64,
    /// Amount that this node has reserved in the present share period.
    pub taken: u64,
    /// True if a stored bound below the quota applies, which may be raised.
    pub is_bounded: bool,
    /// Bound under which this node could have reserved the amount.
    pub needed_bound: u64,
}

/// Share of the unused quota that a node may reserve until its peers have reported again.
#[derive(Debug, Clone, Copy)]
struct SharePeriod {
    started: Instant,
    /// Limit that the share was taken under.
    limit: u64,
    /// Quota that was unused by all nodes at the start of the period.
    unused: u64,
    /// Part of the unused quota that belongs to this node.
    fraction: f64,
    share: u64,
    taken: u64,
}

impl QuotaWindow {
    /// Creates an empty window; `width` is the time for which a sent amount counts.
    pub fn new(width: Duration) -> Self {
        Self {
            width,
            sent: VecDeque::new(),
            sent_sum: 0,
            reserved: 0,
            peers: BTreeMap::new(),
            ended: VecDeque::new(),
            period: None,
            older_peer_totals: BTreeMap::new(),
            replaced_others_at: None,
            previous_bound: None,
            previous_use_at_most: None,
            bound: None,
            recorded: Vec::new(),
            recorded_expired: 0,
            expected_nodes: 1,
            sent_total: 0,
            history: UseHistory::new(width),
        }
    }

    /// Sets that this process started at `started` in place of others, whose use in the window before is unknown.
    #[must_use]
    pub fn with_unknown_use_before(mut self, started: Instant) -> Self {
        self.replaced_others_at = Some(started);
        self
    }

    /// Returns the use of this node in the window, including reserved amounts.
    pub fn own_use(&mut self, now: Instant) -> u64 {
        while self
            .sent
            .front()
            .is_some_and(|(at, _)| now.saturating_duration_since(*at) >= self.width + BUCKET)
        {
            if let Some((_, amount)) = self.sent.pop_front() {
                self.sent_sum -= amount;
            }
        }
        self.sent_sum + self.reserved
    }

    /// Records the use that a peer reports for its window.
    pub fn record_peer(&mut self, now: Instant, node: NodeId, used: u64) {
        let before = self.peers.get(&node);
        let (growth_per_s, used_at_first) = before.map_or((0.0, used), |before| {
            let elapsed_s = now.saturating_duration_since(before.reported_at).as_secs_f64();
            let grown = used.saturating_sub(before.used) as f64;
            (grown / elapsed_s.max(BUCKET.as_secs_f64()), before.used_at_first)
        });
        let sent_total = before.and_then(|before| before.sent_total);
        self.peers.insert(
            node,
            PeerUse { reported_at: now, used, used_at_first, growth_per_s, sent_total },
        );
    }

    /// Counts all use that a peer has reported as use since this process started, because the peer's process started later.
    pub fn record_younger_peer(&mut self, node: &NodeId) {
        if let Some(peer) = self.peers.get_mut(node) {
            peer.used_at_first = 0;
        }
    }

    /// Records the amount that a peer's process has sent since its start.
    ///
    /// Only the growth since the peer's previous report enters the history, because nothing tells when the rest was sent.
    pub fn record_peer_sent_total(&mut self, now: Instant, node: &NodeId, sent_total: u64) {
        let Some(peer) = self.peers.get_mut(node) else { return };
        // A report that was overtaken by a newer one has a smaller total.
        let before = peer.sent_total.unwrap_or(sent_total);
        peer.sent_total = Some(sent_total.max(before));
        self.history.add(now, sent_total.saturating_sub(before));
    }

    /// Returns the amount that this process has sent since its start.
    pub fn sent_total(&self) -> u64 {
        self.sent_total
    }

    /// Returns the amounts that all nodes have sent in the window, with their ages, oldest first. It may lack amounts but
    /// dates none earlier than it was sent.
    pub fn sent_amounts(&mut self, now: Instant) -> Vec<(Duration, u64)> {
        self.history.amounts(now)
    }

    /// Keeps counting the use of a peer's ended process until it leaves the window, because the peer's new process doesn't
    /// report that use.
    pub fn record_restart(&mut self, now: Instant, node: &NodeId) {
        if let Some(peer) = self.peers.get_mut(node) {
            self.ended.push_back(EndedUse::new(peer, self.width));
            *peer = PeerUse {
                reported_at: now,
                used: 0,
                used_at_first: 0,
                growth_per_s: 0.0,
                sent_total: Some(0),
            };
        }
    }

    /// Returns the estimated use of all nodes in the window.
    pub fn known_use(&mut self, now: Instant, limit: u64) -> u64 {
        self.total_use(now, limit)
    }

    /// Records the use of all nodes as reported by a peer that started earlier than this node; it includes the use of
    /// processes that ended since that peer started, and what the peer assumes of those that ended before.
    pub fn record_older_peer_total(&mut self, now: Instant, node: NodeId, total: u64) {
        self.expire_recorded(now);
        // The total holds for use before this process started also after the peer has ended.
        let at_most = total + self.recorded_expired;
        self.previous_use_at_most =
            Some(self.previous_use_at_most.map_or(at_most, |earlier| earlier.min(at_most)));
        self.older_peer_totals.insert(node, (now, total));
    }

    /// Sets the use of `nodes` nodes before this process started, as amounts with the times at which they leave the window.
    pub fn record_previous_use(&mut self, nodes: usize, amounts: Vec<(Instant, u64)>) {
        self.expected_nodes = nodes;
        // The amounts that left the window before this process started are no part of the use that it assumes.
        self.recorded = amounts;
        self.recorded.retain(|(until, _)| self.replaced_others_at.is_none_or(|at| *until > at));
        let dated = self
            .recorded
            .iter()
            .filter_map(|(until, amount)| Some((until.checked_sub(self.width)?, *amount)));
        self.history.restore(&dated.collect::<Vec<_>>());
        self.period = None;
    }

    /// Sets the stored bound of the use of the processes that this one replaces; 0 for the default.
    pub fn record_previous_bound(&mut self, bound: u64) {
        self.previous_bound = Some(bound);
    }

    /// Sets the number of nodes that share the quota at least, whether or not they have reported.
    pub fn set_expected_nodes(&mut self, nodes: usize) {
        self.expected_nodes = nodes;
    }

    /// Sets the bound of the use of all nodes; it applies if it is less than the limit.
    pub fn set_bound(&mut self, bound: u64) {
        self.bound = Some(bound);
    }

    /// Removes a node that has left the membership; its use counts until it leaves the window.
    pub fn forget_peer(&mut self, node: &NodeId) {
        if let Some(peer) = self.peers.remove(node) {
            self.ended.push_back(EndedUse::new(&peer, self.width));
        }
        self.older_peer_totals.remove(node);
    }

    /// Reserves an amount if the use of all nodes stays within the limit.
    ///
    /// Peers' counts are up to one period old, so within a period a node reserves only its share of the quota that was
    /// unused at the period's start. Up to half of it is shared in proportion to the nodes' use so far, the rest equally. All
    /// shares together may exceed the unused quota by half of `slack`, the excess that the deployment allows.
    ///
    /// # Errors
    ///
    /// Returns the counts if the amount exceeds the limit or this node's share.
    pub fn try_reserve(
        &mut self,
        now: Instant,
        amount: u64,
        limit: u64,
        slack: u64,
    ) -> Result<(), QuotaRefusal> {
        let used = self.total_use(now, limit);
        let is_bounded = self.bound.is_some_and(|bound| bound < limit);
        let limit = self.bound.map_or(limit, |bound| bound.min(limit));
        let mut period = match self.period {
            Some(period) if now.saturating_duration_since(period.started) < PEER_UPDATE_PERIOD => {
                period
            }
            _ => self.start_period(now, used, limit, slack),
        };
        if limit > period.limit {
            let raised = limit - period.limit;
            period.limit = limit;
            // A period that ended sooner would let this node take a second share before its peers report the first.
            period.started = now;
            period.unused += raised;
            period.share += (raised as f64 * period.fraction) as u64;
        }
        let fits_share = period.taken + amount <= period.share;
        // The first request of a period may exceed the share while enough quota is left for one request of each node.
        let is_first = period.taken == 0 && period.unused > limit / MIN_REMAINDER_DIVISOR;
        let fits = used + amount <= limit && (fits_share || is_first);
        if fits {
            period.taken += amount;
            self.reserved += amount;
        }
        self.period = Some(period);
        if fits {
            return Ok(());
        }
        let own = self.own_use(now);
        let (share, taken) = (period.share, period.taken);
        let missing_share = (taken + amount).saturating_sub(share);
        let needed_for_share = limit + (missing_share as f64 / period.fraction) as u64;
        let needed_bound = needed_for_share.max(used + amount);
        Err(QuotaRefusal { used, own, limit, share, taken, is_bounded, needed_bound })
    }

    fn start_period(&mut self, now: Instant, used: u64, limit: u64, slack: u64) -> SharePeriod {
        let nodes = (self.peers.len() + 1).max(self.expected_nodes) as f64;
        let own = self.own_use(now);
        let live_use = own + self.peers.values().map(|peer| peer.expected_use(now)).sum::<u64>();
        // The more is used, the more the nodes' use tells about their traffic. The fractions of all nodes add up to one.
        let weight = (live_use as f64 / limit.max(1) as f64).min(MAX_PROPORTIONAL_WEIGHT);
        let own_fraction = own as f64 / live_use.max(1) as f64;
        let fraction = weight * own_fraction + (1.0 - weight) / nodes;
        let unused = limit.saturating_sub(used);
        let share = (unused as f64 * fraction + slack as f64 / nodes / 2.0) as u64;
        SharePeriod { started: now, limit, unused, fraction, share, taken: 0 }
    }

    /// Returns the largest of the estimates that can miss use: the reports of live and ended processes; and the use before this
    /// process started, as recorded or at most possible, plus the use since then. The totals of peers that started earlier
    /// limit what is only possible.
    fn total_use(&mut self, now: Instant, limit: u64) -> u64 {
        let own = self.own_use(now);
        let equal_share = limit / (self.peers.len() as u64 + 1);
        let peers: u64 = self
            .peers
            .values()
            .map(|peer| {
                if now.saturating_duration_since(peer.reported_at) >= STALE_AFTER {
                    return equal_share.max(peer.used);
                }
                peer.expected_use(now)
            })
            .sum();
        self.ended.retain(|ended| ended.until > now);
        let ended: u64 = self.ended.iter().map(|ended| ended.used).sum();
        self.older_peer_totals.retain(|_, (reported_at, _)| {
            now.saturating_duration_since(*reported_at) < STALE_AFTER
        });
        let older_peer_total = self.older_peer_totals.values().map(|(_, total)| *total).max();
        let since = self.use_since_first_reports(now, own);
        self.expire_recorded(now);
        let recorded: u64 = self.recorded.iter().map(|(_, amount)| *amount).sum();
        let with_recorded = if recorded == 0 { 0 } else { recorded + since };
        let known = (own + peers + ended).max(with_recorded);
        match (self.assumed_previous_use(now, limit), older_peer_total) {
            (Some(assumed), Some(older)) => known.max((assumed + since).min(older)),
            (Some(assumed), None) => known.max(assumed + since),
            (None, older) => known.max(older.unwrap_or_default()),
        }
    }

    /// Returns the largest possible use before this process started that is still in the window; `None` if all use is known,
    /// because a window has passed or this process replaced no others.
    fn assumed_previous_use(&self, now: Instant, limit: u64) -> Option<u64> {
        let started = self.replaced_others_at?;
        if now.saturating_duration_since(started) >= self.width {
            return None;
        }
        let largest = self.previous_bound.map_or(limit, |bound| effective_bound(bound, limit));
        let largest = self.previous_use_at_most.map_or(largest, |at_most| largest.min(at_most));
        Some(largest.saturating_sub(self.recorded_expired))
    }

    fn expire_recorded(&mut self, now: Instant) {
        let recorded_expired = &mut self.recorded_expired;
        self.recorded.retain(|(until, amount)| {
            let is_expired = *until <= now;
            *recorded_expired += if is_expired { *amount } else { 0 };
            !is_expired
        });
    }

    /// Returns the use of this node, and the growth of the use of peers and of ended processes since their first reports.
    fn use_since_first_reports(&self, now: Instant, own: u64) -> u64 {
        let since = self
            .peers
            .values()
            .map(|peer| peer.expected_use(now).saturating_sub(peer.used_at_first));
        let ended = self.ended.iter().map(|ended| ended.used_since);
        own + since.sum::<u64>() + ended.sum::<u64>()
    }

    /// Moves a reserved amount into the window when its request is sent.
    pub fn commit(&mut self, now: Instant, amount: u64) {
        self.reserved = self.reserved.saturating_sub(amount);
        self.count_sent(now, amount);
    }

    /// Counts a request that is sent to a second target, which may have run at the first as well. It is not refused for the quota, but uses
    /// it for those that follow.
    pub fn record_repeat(&mut self, now: Instant, amount: u64) {
        if let Some(period) = &mut self.period {
            period.taken += amount;
        }
        self.count_sent(now, amount);
    }

    fn count_sent(&mut self, now: Instant, amount: u64) {
        match self.sent.back_mut() {
            Some((at, sum)) if now.saturating_duration_since(*at) < BUCKET => *sum += amount,
            _ => self.sent.push_back((now, amount)),
        }
        self.sent_sum += amount;
        self.sent_total += amount;
        self.history.add(now, amount);
    }

    /// Returns a reserved amount that was not sent to the quota.
    pub fn release(&mut self, amount: u64) {
        self.reserved = self.reserved.saturating_sub(amount);
        if let Some(period) = &mut self.period {
            period.taken = period.taken.saturating_sub(amount);
        }
    }
}
