use agatecourse_types::NodeId;
use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

/// Time resolution of the sliding window.
const BUCKET: Duration = Duration::from_millis(250);
/// Age from which a peer's count is stale; the peer is then assumed to use at least an equal share of the quota.
const STALE_AFTER: Duration = Duration::from_secs(1);

/// Time within which a node receives the counts of all peers; one heartbeat period plus a margin.
const PEER_UPDATE_PERIOD: Duration = Duration::from_millis(500);
/// Divisor of the limit that gives the least use from which a node derives its fraction of the quota.
const REPRESENTATIVE_USE_DIVISOR: u64 = 2;
/// A request larger than the node's share needs more than `limit / MIN_REMAINDER_DIVISOR` of unused quota.
const MIN_REMAINDER_DIVISOR: u64 = 50;

/// Tracks the quota use of one organisation over all nodes in a sliding window.
///
/// Each node counts its own use and publishes it. A peer with a stale count is assumed to use an equal share, so that
/// partitioned nodes stay within the quota together. A queued amount stays reserved until it is sent and then counts for
/// a whole window, because a target's work counts from its start.
#[derive(Debug, Clone)]
pub struct QuotaWindow {
    width: Duration,
    sent: VecDeque<(Instant, u64)>,
    sent_sum: u64,
    reserved: u64,
    peers: BTreeMap<NodeId, PeerUse>,
    /// Use of ended processes, with the time at which each amount leaves the window.
    ended: VecDeque<(Instant, u64)>,
    period: Option<SharePeriod>,
    /// Use of all nodes as reported by peers that started earlier than this node, with the time of the report.
    older_peer_totals: BTreeMap<NodeId, (Instant, u64)>,
    /// Use of all nodes before this process started, with the time at which each amount leaves the window.
    recorded: Vec<(Instant, u64)>,
    /// Lower bound of the number of nodes that share the quota, until as many peers have reported.
    expected_nodes: usize,
}

/// Last reported use of a peer and its growth, to extrapolate until the next report.
#[derive(Debug, Clone, Copy)]
struct PeerUse {
    reported_at: Instant,
    used: u64,
    /// Use in the peer's first report; recorded previous use includes it already.
    used_at_first: u64,
    growth_per_s: f64,
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
}

/// Share of the unused quota that a node may reserve until its peers have reported again.
#[derive(Debug, Clone, Copy)]
struct SharePeriod {
    started: Instant,
    /// Quota that was unused by all nodes at the start of the period.
    unused: u64,
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
            recorded: Vec::new(),
            expected_nodes: 1,
        }
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
        let (growth_per_s, used_at_first) = self.peers.get(&node).map_or((0.0, used), |before| {
            let elapsed_s = now.saturating_duration_since(before.reported_at).as_secs_f64();
            let grown = used.saturating_sub(before.used) as f64;
            (grown / elapsed_s.max(BUCKET.as_secs_f64()), before.used_at_first)
        });
        self.peers.insert(node, PeerUse { reported_at: now, used, used_at_first, growth_per_s });
    }

    /// Keeps counting the use of a peer's ended process until it leaves the window, because the peer's new process doesn't
    /// report that use.
    pub fn record_restart(&mut self, now: Instant, node: &NodeId) {
        if let Some(peer) = self.peers.get_mut(node) {
            self.ended.push_back((peer.reported_at + self.width, peer.used));
            *peer = PeerUse { reported_at: now, used: 0, used_at_first: 0, growth_per_s: 0.0 };
        }
    }

    /// Returns the estimated use of all nodes in the window.
    pub fn known_use(&mut self, now: Instant, limit: u64) -> u64 {
        self.total_use(now, limit)
    }

    /// Records the use of all nodes as reported by a peer that started earlier than this node; it includes the use of
    /// processes that ended since that peer started.
    pub fn record_older_peer_total(&mut self, now: Instant, node: NodeId, total: u64) {
        self.older_peer_totals.insert(node, (now, total));
    }

    /// Sets the use of `nodes` nodes before this process started, as amounts with the times at which they leave the window.
    pub fn record_previous_use(&mut self, nodes: usize, amounts: Vec<(Instant, u64)>) {
        self.expected_nodes = nodes;
        self.recorded = amounts;
        self.period = None;
    }

    /// Removes a node that has left the membership.
    pub fn forget_peer(&mut self, node: &NodeId) {
        self.peers.remove(node);
        self.older_peer_totals.remove(node);
    }

    /// Reserves an amount if the use of all nodes stays within the limit.
    ///
    /// Peers' counts are up to one period old, so within a period a node reserves only its share of the quota that was
    /// unused at the period's start. The share is proportional to the node's use so far, and at least equal among nodes. All
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
        let mut period = match self.period {
            Some(period) if now.saturating_duration_since(period.started) < PEER_UPDATE_PERIOD => {
                period
            }
            _ => self.start_period(now, used, limit, slack),
        };
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
        Err(QuotaRefusal { used, own, limit, share: period.share, taken: period.taken })
    }

    fn start_period(&mut self, now: Instant, used: u64, limit: u64, slack: u64) -> SharePeriod {
        let nodes = (self.peers.len() + 1).max(self.expected_nodes) as f64;
        // While little is used, peers' reports lag behind, and each node would take most of the use for its own.
        let representative_use = used.max(limit / REPRESENTATIVE_USE_DIVISOR).max(1);
        let own_fraction = self.own_use(now) as f64 / representative_use as f64;
        let unused = limit.saturating_sub(used);
        let share =
            (unused as f64 * own_fraction.max(1.0 / nodes) + slack as f64 / nodes / 2.0) as u64;
        SharePeriod { started: now, unused, share, taken: 0 }
    }

    /// Returns the largest of three estimates, each of which can miss use: the reports of live and ended processes; the
    /// totals reported by peers that started earlier; and the recorded previous use plus the use since then.
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
        self.ended.retain(|(until, _)| *until > now);
        let ended: u64 = self.ended.iter().map(|(_, used)| *used).sum();
        self.older_peer_totals.retain(|_, (reported_at, _)| {
            now.saturating_duration_since(*reported_at) < STALE_AFTER
        });
        let older_peer_totals =
            self.older_peer_totals.values().map(|(_, total)| *total).max().unwrap_or_default();
        (own + peers + ended).max(older_peer_totals).max(self.use_after_record(now, own))
    }

    /// Returns the recorded previous use plus the use of this node and its peers since then; 0 without a record.
    fn use_after_record(&mut self, now: Instant, own: u64) -> u64 {
        self.recorded.retain(|(until, _)| *until > now);
        if self.recorded.is_empty() {
            return 0;
        }
        let recorded: u64 = self.recorded.iter().map(|(_, amount)| *amount).sum();
        let since = self
            .peers
            .values()
            .map(|peer| peer.expected_use(now).saturating_sub(peer.used_at_first));
        recorded + own + since.sum::<u64>()
    }

    /// Moves a reserved amount into the window when its request is sent.
    pub fn commit(&mut self, now: Instant, amount: u64) {
        self.reserved = self.reserved.saturating_sub(amount);
        match self.sent.back_mut() {
            Some((at, sum)) if now.saturating_duration_since(*at) < BUCKET => *sum += amount,
            _ => self.sent.push_back((now, amount)),
        }
        self.sent_sum += amount;
    }

    /// Returns a reserved amount that was not sent to the quota.
    pub fn release(&mut self, amount: u64) {
        self.reserved = self.reserved.saturating_sub(amount);
        if let Some(period) = &mut self.period {
            period.taken = period.taken.saturating_sub(amount);
        }
    }
}
