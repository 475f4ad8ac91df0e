use agatecourse_types::NodeId;
use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

/// Width of one bucket of the sliding window.
const BUCKET: Duration = Duration::from_millis(250);
/// Silence after which a node is taken to use its equal share of the quota, because its own count is too old.
const STALE_AFTER: Duration = Duration::from_secs(1);

/// Time within which a node hears of all its peers; a heartbeat period with a margin.
const NEWS_PERIOD: Duration = Duration::from_millis(500);
/// Part of the limit, as a divisor, that must be left for a request larger than a node's share.
const SPARE_DIVISOR: u64 = 50;

/// Counts what one organisation has used over all nodes in a sliding window.
///
/// Each node counts its own use and publishes it; a node whose count is old is taken to use an equal share, so that nodes
/// that can't hear each other stay within the quota together. What waits in a queue counts until it is sent, and then
/// counts from that moment, because a target's work counts when it begins.
#[derive(Debug, Clone)]
pub struct QuotaWindow {
    width: Duration,
    sent: VecDeque<(Instant, u64)>,
    sent_sum: u64,
    reserved: u64,
    peers: BTreeMap<NodeId, PeerUse>,
    /// Use of processes that ended, with the time at which it leaves the window.
    ended: VecDeque<(Instant, u64)>,
    period: Option<Period>,
    /// Use of all nodes as peers that have lived longer know it.
    elders: BTreeMap<NodeId, (Instant, u64)>,
    /// Use of all nodes before this process began, as amounts with the times at which they leave the window.
    recorded: Vec<(Instant, u64)>,
    /// Nodes that share the quota, for as long as fewer peers are heard.
    expected_nodes: usize,
}

/// What a peer said that it has used, and how fast its use grew.
#[derive(Debug, Clone, Copy)]
struct PeerUse {
    heard: Instant,
    used: u64,
    /// Use when the peer was first heard; a record of former use holds it as well.
    used_at_first: u64,
    growth_per_s: f64,
}

impl PeerUse {
    fn expected_use(&self, now: Instant) -> u64 {
        let age = now.saturating_duration_since(self.heard);
        self.used + (self.growth_per_s * age.as_secs_f64()) as u64
    }
}

/// Counts that decided a refusal.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct QuotaRefusal {
    /// Use of all nodes, as known.
    pub used: u64,
    /// Use of this node.
    pub own: u64,
    /// Limit of all nodes.
    pub limit: u64,
    /// What this node may take in the present period.
    pub share: u64,
    /// What it has taken.
    pub taken: u64,
}

/// What a node may take until it has heard of its peers again.
#[derive(Debug, Clone, Copy)]
struct Period {
    started: Instant,
    left: u64,
    share: u64,
    taken: u64,
}

impl QuotaWindow {
    /// Creates a window of a width.
    pub fn new(width: Duration) -> Self {
        Self {
            width,
            sent: VecDeque::new(),
            sent_sum: 0,
            reserved: 0,
            peers: BTreeMap::new(),
            ended: VecDeque::new(),
            period: None,
            elders: BTreeMap::new(),
            recorded: Vec::new(),
            expected_nodes: 1,
        }
    }

    /// Returns what this node has used in the window, with what waits.
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

    /// Records what a peer has used in its window.
    pub fn record_peer(&mut self, now: Instant, node: NodeId, used: u64) {
        let (growth_per_s, used_at_first) = self.peers.get(&node).map_or((0.0, used), |before| {
            let elapsed_s = now.saturating_duration_since(before.heard).as_secs_f64();
            let grown = used.saturating_sub(before.used) as f64;
            (grown / elapsed_s.max(BUCKET.as_secs_f64()), before.used_at_first)
        });
        self.peers.insert(node, PeerUse { heard: now, used, used_at_first, growth_per_s });
    }

    /// Keeps what a peer's former process had used until it leaves the window, because the new process does not know it.
    pub fn record_restart(&mut self, now: Instant, node: &NodeId) {
        if let Some(peer) = self.peers.get_mut(node) {
            self.ended.push_back((peer.heard + self.width, peer.used));
            *peer = PeerUse { heard: now, used: 0, used_at_first: 0, growth_per_s: 0.0 };
        }
    }

    /// Returns the use of all nodes, as known.
    pub fn known_use(&mut self, now: Instant, limit: u64) -> u64 {
        self.total_use(now, limit)
    }

    /// Records what a peer that has lived longer knows of the use of all nodes, with that of processes that have ended.
    pub fn record_older_peer_total(&mut self, now: Instant, node: NodeId, total: u64) {
        self.elders.insert(node, (now, total));
    }

    /// Takes what a number of nodes had used when this process began, as amounts with the times at which they leave the
    /// window.
    pub fn record_previous_use(&mut self, nodes: usize, amounts: Vec<(Instant, u64)>) {
        self.expected_nodes = nodes;
        self.recorded = amounts;
        self.period = None;
    }

    /// Forgets a node that has left.
    pub fn forget_peer(&mut self, node: &NodeId) {
        self.peers.remove(node);
        self.elders.remove(node);
    }

    /// Reserves an amount when the use of all nodes stays within the limit.
    ///
    /// Peers' counts are old by up to a period, so within a period a node takes only its share of what was left at the
    /// period's start. A node takes its share by its part of the use so far, and at least an equal one. The shares together
    /// may exceed what was left by half of `slack`, the excess that the deployment allows.
    ///
    /// # Errors
    ///
    /// Returns the counts that decided when the amount does not fit.
    pub fn try_reserve(
        &mut self,
        now: Instant,
        amount: u64,
        limit: u64,
        slack: u64,
    ) -> Result<(), QuotaRefusal> {
        let used = self.total_use(now, limit);
        let mut period = match self.period {
            Some(period) if now.saturating_duration_since(period.started) < NEWS_PERIOD => period,
            _ => self.next_period(now, used, limit, slack),
        };
        let fits_share = period.taken + amount <= period.share;
        // A request may be larger than the share while enough is left for one of each node.
        let is_first = period.taken == 0 && period.left > limit / SPARE_DIVISOR;
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

    fn next_period(&mut self, now: Instant, used: u64, limit: u64, slack: u64) -> Period {
        let nodes = (self.peers.len() + 1).max(self.expected_nodes) as f64;
        let own_part = self.own_use(now) as f64 / (used as f64).max(1.0);
        let left = limit.saturating_sub(used);
        let share = (left as f64 * own_part.max(1.0 / nodes) + slack as f64 / nodes / 2.0) as u64;
        Period { started: now, left, share, taken: 0 }
    }

    /// Returns the largest of three counts, each of which can miss use: that of live processes and of ended ones that were
    /// heard; that of peers that have lived longer; and the recorded use with what has been used since.
    fn total_use(&mut self, now: Instant, limit: u64) -> u64 {
        let own = self.own_use(now);
        let equal_share = limit / (self.peers.len() as u64 + 1);
        let peers: u64 = self
            .peers
            .values()
            .map(|peer| {
                if now.saturating_duration_since(peer.heard) >= STALE_AFTER {
                    return equal_share.max(peer.used);
                }
                peer.expected_use(now)
            })
            .sum();
        self.ended.retain(|(until, _)| *until > now);
        let ended: u64 = self.ended.iter().map(|(_, used)| *used).sum();
        self.elders.retain(|_, (heard, _)| now.saturating_duration_since(*heard) < STALE_AFTER);
        let elders = self.elders.values().map(|(_, total)| *total).max().unwrap_or_default();
        (own + peers + ended).max(elders).max(self.use_after_record(now, own))
    }

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

    /// Counts a reserved amount as sent.
    pub fn commit(&mut self, now: Instant, amount: u64) {
        self.reserved = self.reserved.saturating_sub(amount);
        match self.sent.back_mut() {
            Some((at, sum)) if now.saturating_duration_since(*at) < BUCKET => *sum += amount,
            _ => self.sent.push_back((now, amount)),
        }
        self.sent_sum += amount;
    }

    /// Gives back a reserved amount that was not sent.
    pub fn release(&mut self, amount: u64) {
        self.reserved = self.reserved.saturating_sub(amount);
        if let Some(period) = &mut self.period {
            period.taken = period.taken.saturating_sub(amount);
        }
    }
}
