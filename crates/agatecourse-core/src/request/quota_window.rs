use super::quota_bounds::effective_bound;
use super::{RankTerms, UseHistory};
use agatecourse_types::{NodeId, stable_hash};
use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

/// Time resolution of the sliding window.
const BUCKET: Duration = Duration::from_millis(250);
/// Shortest age from which a peer's count is stale; the peer is then assumed to use at least an equal share of the quota. With many nodes it is
/// longer, so that one lost report does not make a count stale.
const MIN_STALE_AFTER: Duration = Duration::from_secs(1);
/// Shortest time within which a node receives the counts of all peers. With many nodes it is longer, as a node that took a second share before
/// its peers know of the first would take what they take as well.
const MIN_SHARE_PERIOD: Duration = Duration::from_millis(500);
/// Age from which a count is not confirmed by reports that do not list the organisation.
const STALE_AFTER_UNLISTED: Duration = Duration::from_secs(4);
/// Addition to the period of peers' reports for their delay.
const REPORT_MARGIN: Duration = Duration::from_millis(50);
/// Largest part of the unused quota that is shared in proportion to the nodes' use; the rest is shared equally.
const MAX_PROPORTIONAL_WEIGHT: f64 = 0.5;
/// Divisor of the limit that gives the use from which a reserve for urgent requests is kept; far below the limit it would only cost others.
const RESERVE_FROM_DIVISOR: u64 = 2;
/// Divisor of what all nodes expect to be asked for until the next reports that gives the part which one node may give beyond its share, as requests are
/// spread unevenly.
const BEYOND_SHARE_DIVISOR: u64 = 2;
/// Weight of the newest period in the share of periods in which a node is asked for a quota; a burst shows after two or three periods.
const ASK_RATIO_WEIGHT: f64 = 0.25;

/// Tracks the quota use of one organisation over all nodes in a sliding window.
///
/// Each node counts its own use and publishes it. A peer that is expected and not heard is assumed to use an equal share, so that
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
    older_peer_totals: BTreeMap<NodeId, OlderPeerTotal>,
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
    /// Share of the periods in which this node was asked for the quota; 1 until this is known.
    ask_ratio: f64,
    /// Time of the first report of a peer.
    first_report: Option<Instant>,
    /// Number of share periods that were started.
    period_number: u64,
    /// Distinguishes the draws of nodes.
    draw_seed: u64,
    /// Period in which peers report their use.
    report_period: Duration,
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
        let used = peer.used + peer.unlisted_growth;
        let used_since = used.saturating_sub(peer.used_at_first);
        Self { until: peer.reported_at + width, used, used_since }
    }
}

/// Use of all nodes as reported by a peer that started earlier than this node.
#[derive(Debug, Clone, Copy)]
struct OlderPeerTotal {
    reported_at: Instant,
    total: u64,
    /// Use since this process started that this node knew at that time; what it knows beyond it is not in the total.
    since: u64,
}

/// Last reported use of a peer and its growth, to extrapolate until the next report.
#[derive(Debug, Clone, Copy)]
struct PeerUse {
    reported_at: Instant,
    used: u64,
    /// Use in the peer's first report that the use before this process started includes already.
    used_at_first: u64,
    growth_per_s: f64,
    /// Largest growth since a report that listed this organisation.
    unlisted_growth: u64,
    /// Amount that the peer's process has sent since its start; `None` before the first report that contains it.
    sent_total: Option<u64>,
}

impl PeerUse {
    fn expected_use(&self, now: Instant) -> u64 {
        let age = now.saturating_duration_since(self.reported_at);
        self.used + self.unlisted_growth + (self.growth_per_s * age.as_secs_f64()) as u64
    }
}

/// Estimate of the use of all nodes in the window.
#[derive(Debug, Clone, Copy)]
struct UseEstimate {
    /// Use that nodes have reported, or may have had before this process started.
    known: u64,
    /// Use of live and ended nodes, and the largest use that absent nodes may have; 0 without absent nodes.
    with_absent: u64,
    /// Use of this node and of the live peers.
    live: u64,
    /// Number of nodes that are expected and not heard.
    absent: usize,
}

impl UseEstimate {
    fn total(&self) -> u64 {
        self.known.max(self.with_absent)
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
    /// Amount that is kept for more urgent requests of the organisation.
    pub reserved: u64,
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
    /// Part of `taken` that exceeded the share because enough is unused for all that is expected.
    taken_beyond: u64,
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
            ask_ratio: 1.0,
            first_report: None,
            period_number: 0,
            draw_seed: 0,
            report_period: Duration::ZERO,
        }
    }

    /// Sets the number that distinguishes the draws of this node, which decide which nodes take a request that is larger than their shares.
    #[must_use]
    pub fn with_draw_seed(mut self, draw_seed: u64) -> Self {
        self.draw_seed = draw_seed;
        self
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
        self.first_report.get_or_insert(now);
        let before = self.peers.get(&node);
        let (growth_per_s, used_at_first) = before.map_or((0.0, used), |before| {
            let elapsed_s = now.saturating_duration_since(before.reported_at).as_secs_f64();
            let grown = used.saturating_sub(before.used) as f64;
            (grown / elapsed_s.max(BUCKET.as_secs_f64()), before.used_at_first)
        });
        let sent_total = before.and_then(|before| before.sent_total);
        self.peers.insert(
            node,
            PeerUse {
                reported_at: now,
                used,
                used_at_first,
                growth_per_s,
                unlisted_growth: 0,
                sent_total,
            },
        );
    }

    /// Records that a peer's report does not list this organisation: the peer's use has grown by `growth` at most since it listed it.
    ///
    /// A count that is older than `STALE_AFTER_UNLISTED` is not taken for confirmed, because the peer may have listed the organisation while this node did not
    /// hear it. `is_listed_by_now` says that the peer has listed all organisations with any use since this node hears it.
    pub fn record_unlisted(
        &mut self,
        now: Instant,
        node: &NodeId,
        growth: u64,
        is_listed_by_now: bool,
    ) {
        match self.peers.get_mut(node) {
            Some(peer)
                if now.saturating_duration_since(peer.reported_at) < STALE_AFTER_UNLISTED =>
            {
                peer.reported_at = now;
                peer.growth_per_s = 0.0;
                peer.unlisted_growth = growth;
            }
            _ if is_listed_by_now => {
                self.record_peer(now, node.clone(), 0);
                if let Some(peer) = self.peers.get_mut(node) {
                    peer.unlisted_growth = growth;
                }
            }
            _ => {}
        }
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
                unlisted_growth: 0,
                sent_total: Some(0),
            };
        }
    }

    /// Returns the estimated use of all nodes in the window.
    pub fn known_use(&mut self, now: Instant, limit: u64) -> u64 {
        self.estimate_use(now, limit).total()
    }

    /// Records the use of all nodes as reported by a peer that started earlier than this node; it includes the use of
    /// processes that ended since that peer started, and what the peer assumes of those that ended before.
    pub fn record_older_peer_total(&mut self, now: Instant, node: NodeId, total: u64) {
        self.expire_recorded(now);
        // The total holds for use before this process started also after the peer has ended.
        let at_most = total + self.recorded_expired;
        self.previous_use_at_most =
            Some(self.previous_use_at_most.map_or(at_most, |earlier| earlier.min(at_most)));
        let own = self.own_use(now);
        let since = self.use_since_first_reports(now, own);
        self.older_peer_totals.insert(node, OlderPeerTotal { reported_at: now, total, since });
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

    /// Sets the period in which peers report their use, which grows with their number.
    pub fn set_report_period(&mut self, period: Duration) {
        self.report_period = period;
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
    /// shares together may exceed the unused quota by half of `slack`, the excess that the deployment allows. A request that is larger than the
    /// share may be the first of a period, as long as the nodes that are expected to ask then take no more than that together.
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
        self.try_reserve_ranked(now, amount, limit, slack, RankTerms::default())
    }

    /// Reserves an amount for a request of a rank, as [`QuotaWindow::try_reserve`] does.
    ///
    /// What is reserved for more urgent ranks is kept free once half of the limit is used. A request may exceed its node's share as long as what is
    /// unused is enough for all that its rank and the more urgent ones are expected to ask for until the nodes have reported again.
    ///
    /// # Errors
    ///
    /// Returns the counts if the amount exceeds the limit, this node's share or what is not reserved.
    pub fn try_reserve_ranked(
        &mut self,
        now: Instant,
        amount: u64,
        limit: u64,
        slack: u64,
        terms: RankTerms,
    ) -> Result<(), QuotaRefusal> {
        let use_of_all = self.estimate_use(now, limit);
        let used = use_of_all.total();
        let is_bounded = self.bound.is_some_and(|bound| bound < limit);
        let full_limit = limit;
        let limit = self.bound.map_or(limit, |bound| bound.min(limit));
        // Urgent requests also get what a higher bound allows.
        let is_near_limit = used >= full_limit / RESERVE_FROM_DIVISOR;
        let reserved = if is_near_limit { self.reserve_for_urgent(now, &terms) } else { 0 };
        let reserved = reserved.saturating_sub(full_limit - limit).min(limit);
        let mut period = match self.period {
            Some(period) if now.saturating_duration_since(period.started) < self.share_period() => {
                period
            }
            _ => self.start_period(now, &use_of_all, limit, slack),
        };
        if limit > period.limit {
            let raised = limit - period.limit;
            period.limit = limit;
            // A period that ended sooner would let this node take a second share before its peers report the first.
            period.started = now;
            period.unused += raised;
            period.share += (raised as f64 * period.fraction) as u64;
        }
        let free = period.unused.saturating_sub(reserved);
        let free_part = free as f64 / period.unused.max(1) as f64;
        let free_share =
            if reserved == 0 { period.share } else { (period.share as f64 * free_part) as u64 };
        let fits_share = period.taken + amount <= free_share;
        let fits_first =
            period.taken == 0 && amount <= self.first_amount_limit(free, slack, self.ask_ratio);
        let live_nodes = self.node_count() - use_of_all.absent;
        let due = self.due_until_reports(&terms, live_nodes).filter(|_| is_near_limit);
        let fits_expected = due.is_some_and(|due| {
            let most = due / BEYOND_SHARE_DIVISOR;
            let is_within = period.taken_beyond == 0 || period.taken_beyond + amount <= most;
            due <= free + slack / 2 && is_within
        });
        let fits = used + amount + reserved <= limit && (fits_share || fits_first || fits_expected);
        if fits {
            period.taken += amount;
            period.taken_beyond += if fits_share || fits_first { 0 } else { amount };
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
        let needed_bound = needed_for_share.max(used + amount + reserved);
        Err(QuotaRefusal { used, own, limit, share, taken, is_bounded, needed_bound, reserved })
    }

    fn start_period(
        &mut self,
        now: Instant,
        use_of_all: &UseEstimate,
        limit: u64,
        slack: u64,
    ) -> SharePeriod {
        self.update_ask_ratio(now);
        let own = self.own_use(now);
        // The more is used, the more the nodes' use tells about their traffic. The fractions of the nodes add up to one.
        let fraction = |nodes: f64| {
            let weight =
                (use_of_all.live as f64 / limit.max(1) as f64).min(MAX_PROPORTIONAL_WEIGHT);
            let own_fraction = own as f64 / use_of_all.live.max(1) as f64;
            weight * own_fraction + (1.0 - weight) / nodes
        };
        let nodes = self.node_count() as f64;
        let live_nodes = nodes - use_of_all.absent as f64;
        // What absent nodes may use is not shared; what is unused by all is shared with them too.
        let of_all = limit.saturating_sub(use_of_all.known) as f64 * fraction(nodes);
        let of_live = limit.saturating_sub(use_of_all.with_absent) as f64 * fraction(live_nodes);
        let fraction = if of_live < of_all {
            fraction(live_nodes) * live_nodes / nodes
        } else {
            fraction(nodes)
        };
        let slack_share = slack as f64 / nodes / 2.0;
        let share = (of_all.min(of_live) + slack_share) as u64;
        let unused = limit.saturating_sub(use_of_all.total());
        SharePeriod { started: now, limit, unused, fraction, share, taken: 0, taken_beyond: 0 }
    }

    /// Returns the largest amount that this node may send as the first of a period although it exceeds the node's share.
    ///
    /// Requests are larger than the shares of many nodes, and all nodes may send one before they hear of each other. So the nodes that are
    /// expected to ask may take, on average, what is unused with the slack: a node may take an amount that is larger by a factor with the inverse
    /// probability. The draw is made once a period, so that repeats of a request do not change it.
    fn first_amount_limit(&self, unused: u64, slack: u64, ask_ratio: f64) -> u64 {
        let asking_nodes = (self.node_count() as f64 * ask_ratio).max(1.0);
        ((unused + slack / 2) as f64 / asking_nodes / self.draw()) as u64
    }

    /// Returns the amount to keep for more urgent ranks: what they are expected to need before the use that leaves the window frees as much, at the time of
    /// the next window when this is most.
    fn reserve_for_urgent(&mut self, now: Instant, terms: &RankTerms) -> u64 {
        if terms.urgent == 0 {
            return 0;
        }
        let per_s = terms.urgent as f64 / self.width.as_secs_f64();
        let (mut freed, mut most) = (0, 0.0_f64);
        for (age, amount) in self.history.amounts(now) {
            let until = self.width.saturating_sub(age);
            most = most.max(per_s * until.as_secs_f64() - freed as f64);
            freed += amount;
        }
        most = most.max(terms.urgent as f64 - freed as f64);
        let until_reports = per_s * self.share_period().as_secs_f64();
        (most + until_reports) as u64 + terms.spread
    }

    /// Returns the amount that live nodes expect to be asked for until they have reported again; `None` if too few of them say what they expect.
    fn due_until_reports(&self, terms: &RankTerms, live_nodes: usize) -> Option<u64> {
        let expected = terms.expected.filter(|_| terms.reporting_nodes * 2 >= live_nodes)? as f64;
        let of_all = expected * (live_nodes as f64 / terms.reporting_nodes as f64).max(1.0);
        Some((of_all * self.share_period().as_secs_f64() / self.width.as_secs_f64()) as u64)
    }

    /// Returns a number between 0 and 1 that differs between nodes and periods.
    fn draw(&self) -> f64 {
        let hash = stable_hash(&[&self.draw_seed.to_le_bytes(), &self.period_number.to_le_bytes()]);
        // The upper bits of the hash of few bytes are not evenly spread; the finalizer of SplitMix64 spreads them.
        let mixed = (hash ^ (hash >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        let mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        (((mixed ^ (mixed >> 31)) >> 11) + 1) as f64 / (1_u64 << 53) as f64
    }

    /// Updates the share of periods in which this node is asked for the quota, at the start of a period in which it is.
    fn update_ask_ratio(&mut self, now: Instant) {
        self.period_number += 1;
        let Some(since) = self.period.map(|period| period.started).or(self.first_report) else {
            return;
        };
        let elapsed = now.saturating_duration_since(since).as_secs_f64();
        let mut unasked = (elapsed / self.share_period().as_secs_f64()).floor();
        if self.period.is_some() {
            self.ask_ratio += (1.0 - self.ask_ratio) * ASK_RATIO_WEIGHT;
            unasked = (unasked - 1.0).max(0.0);
        }
        self.ask_ratio *= (1.0 - ASK_RATIO_WEIGHT).powf(unasked);
    }

    /// Returns the time within which a node receives the counts of all peers.
    fn share_period(&self) -> Duration {
        MIN_SHARE_PERIOD.max(self.report_period + REPORT_MARGIN)
    }

    fn stale_after(&self) -> Duration {
        MIN_STALE_AFTER.max(self.report_period * 2 + REPORT_MARGIN)
    }

    fn node_count(&self) -> usize {
        (self.peers.len() + 1).max(self.expected_nodes)
    }

    /// Estimates the use of all nodes in the window; `limit` is the quota, of which a stored bound may leave a part.
    ///
    /// The known use is the largest of the estimates that can miss use: the reports of live and ended processes; and the use before this
    /// process started, as recorded or at most possible, plus the use since then. The totals of peers that started earlier limit what is only
    /// possible. Nodes that are expected and not heard may each use an equal share, also behind a partition and for as long as it lasts.
    fn estimate_use(&mut self, now: Instant, limit: u64) -> UseEstimate {
        let own = self.own_use(now);
        let stale_after = self.stale_after();
        let enforced = self.bound.map_or(limit, |bound| bound.min(limit));
        let nodes = self.node_count();
        let equal_share = enforced / nodes as u64;
        let unheard = nodes - 1 - self.peers.len();
        let (mut live, mut stale, mut absent_use) = (own, 0, unheard as u64 * equal_share);
        let mut absent = unheard;
        for peer in self.peers.values() {
            let age = now.saturating_duration_since(peer.reported_at);
            if age < stale_after {
                live += peer.expected_use(now);
                continue;
            }
            let reported = if age < self.width { peer.used } else { 0 };
            absent += 1;
            stale += reported;
            absent_use += equal_share.max(reported);
        }
        self.ended.retain(|ended| ended.until > now);
        let ended: u64 = self.ended.iter().map(|ended| ended.used).sum();
        self.older_peer_totals
            .retain(|_, report| now.saturating_duration_since(report.reported_at) < stale_after);
        let older_peer_total = self.older_peer_totals.values().map(|report| report.total).max();
        // A node that has not been heard since this process started may have used as much as this one since.
        let since = self.use_since_first_reports(now, own) + unheard as u64 * own;
        let since_older_totals = self
            .older_peer_totals
            .values()
            .map(|report| report.total + since.saturating_sub(report.since))
            .max();
        self.expire_recorded(now);
        let recorded: u64 = self.recorded.iter().map(|(_, amount)| *amount).sum();
        let with_recorded = if recorded == 0 { 0 } else { recorded + since };
        let reported = (live + stale + ended).max(with_recorded);
        let known = match (self.assumed_previous_use(now, limit), since_older_totals) {
            (Some(assumed), Some(older)) => reported.max((assumed + since).min(older)),
            (Some(assumed), None) => reported.max(assumed + since),
            (None, _) => reported.max(older_peer_total.unwrap_or_default()),
        };
        let with_absent = if absent == 0 { 0 } else { live + ended + absent_use };
        UseEstimate { known, with_absent, live, absent }
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
