use agatecourse_types::NodeId;
use serde::{Deserialize, Serialize};
use smallvec::SmallVec;
use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

/// Time resolution of the amounts.
const BUCKET: Duration = Duration::from_millis(250);
/// Part of a window from which the newest demand is extrapolated, so that a rise shows before a window has passed.
const RECENT_DIVISOR: u32 = 4;
/// Age from which a peer's report is not used; several heartbeat periods of a large deployment.
const STALE_AFTER: Duration = Duration::from_secs(3);
/// Maximum number of ranks in a report, the most urgent ones; more of them are one.
pub const MAX_REPORTED_RANKS: usize = 4;

/// Reserves a part of an organisation's quota for its more urgent requests.
///
/// Without it, a flood of cheap requests uses up the quota that the organisation's own urgent requests need a moment later. Each node counts
/// what the ranks of the organisation have asked for in the window, and reports it to the others. From this follows what the more urgent ranks are expected to
/// ask for; [`QuotaWindow`](super::QuotaWindow) keeps as much of it from the others as the use that leaves the window does not free in time. It is
/// lent back as the demand leaves the window. A rank alone has no reserve.
///
/// ```
/// use agatecourse_core::request::QuotaReserve;
/// use std::time::{Duration, Instant};
///
/// let now = Instant::now();
/// let mut reserve = QuotaReserve::new(Duration::from_secs(8));
/// reserve.record_asked(now, 0, 800);
/// assert_eq!(reserve.terms(now, 0).urgent, 0);
/// // The rank is expected to go on in the next window.
/// assert!(reserve.terms(now, 1).urgent > 0);
/// ```
#[derive(Debug, Clone)]
pub struct QuotaReserve {
    width: Duration,
    own: BTreeMap<u32, RankAmounts>,
    peers: BTreeMap<NodeId, (Instant, RankReports)>,
    /// Time of the first amount that this node or a peer has recorded.
    first_record: Option<Instant>,
}

/// What a rank has asked for on one node within a window.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RankReport {
    /// Rank of the requests; 0 is served first.
    pub rank: u32,
    /// Amount that the rank has asked for in the window.
    pub asked: u64,
    /// Amount that the rank has asked for in the newest quarter of the window.
    pub asked_recently: u64,
    /// Number of requests of the rank that have asked in the window.
    pub requests: u32,
}

/// Reports of the ranks of an organisation.
pub type RankReports = SmallVec<[RankReport; MAX_REPORTED_RANKS]>;

/// Terms of a rank for its part of the quota.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct RankTerms {
    /// Amount that more urgent ranks are expected to ask for in a window at all nodes.
    pub urgent: u64,
    /// Amount that random arrivals of these ranks may add.
    pub spread: u64,
    /// Amount that this rank and the more urgent ones are expected to ask for in a window at all nodes; `None` until the demand is known.
    pub expected: Option<u64>,
    /// Number of nodes that have reported what they were asked for, with this one.
    pub reporting_nodes: usize,
}

#[derive(Debug, Clone, Default)]
struct RankAmounts {
    /// Amounts that were asked for, by time.
    buckets: VecDeque<(Instant, RankReport)>,
}

impl RankReport {
    fn add(&mut self, other: &Self) {
        self.asked += other.asked;
        self.asked_recently += other.asked_recently;
        self.requests += other.requests;
    }

    /// Returns the amount that is expected to be asked for in a window. It is meant for the sum over all nodes, as the newest demand of one node varies much.
    fn expected(&self) -> u64 {
        u64::midpoint(self.asked, self.asked_recently * u64::from(RECENT_DIVISOR))
    }

    /// Returns the larger of what was asked for in the window and what its newest quarter amounts to in a window. Shares are exceeded by it only, as
    /// after a restart of all nodes the mean would let them use up the quota at once.
    fn highest(&self) -> u64 {
        self.asked.max(self.asked_recently * u64::from(RECENT_DIVISOR))
    }

    /// Returns what random arrivals may add to the expected amount in a window: two standard deviations of the sum of as many requests.
    fn spread(&self) -> u64 {
        let mean = self.asked as f64 / f64::from(self.requests.max(1));
        ((self.expected() as f64 * mean).sqrt() * 2.0) as u64
    }
}

impl RankAmounts {
    fn add(&mut self, now: Instant, amounts: &RankReport) {
        match self.buckets.back_mut() {
            Some((at, sum)) if now.saturating_duration_since(*at) < BUCKET => sum.add(amounts),
            _ => self.buckets.push_back((now, *amounts)),
        }
    }

    fn report(&self, now: Instant, rank: u32, width: Duration) -> RankReport {
        let mut report = RankReport { rank, ..RankReport::default() };
        for (at, amounts) in &self.buckets {
            let is_recent = now.saturating_duration_since(*at) < width / RECENT_DIVISOR;
            report.add(amounts);
            report.asked_recently += if is_recent { amounts.asked } else { 0 };
        }
        report
    }
}

impl QuotaReserve {
    /// Creates a reserve without demand; `width` is the time for which an amount counts.
    pub fn new(width: Duration) -> Self {
        Self { width, own: BTreeMap::new(), peers: BTreeMap::new(), first_record: None }
    }

    /// Records that a request of a rank asks for an amount on this node.
    pub fn record_asked(&mut self, now: Instant, rank: u32, amount: u64) {
        self.first_record.get_or_insert(now);
        let asked = RankReport { asked: amount, requests: 1, ..RankReport::default() };
        self.own.entry(rank).or_default().add(now, &asked);
    }

    /// Records what a peer reports, in place of its previous report.
    pub fn record_peer(&mut self, now: Instant, node: NodeId, reports: RankReports) {
        self.first_record.get_or_insert(now);
        self.peers.insert(node, (now, reports));
    }

    /// Returns what the ranks have asked for on this node, for the other nodes.
    pub fn reports(&mut self, now: Instant) -> RankReports {
        self.expire(now);
        let mut reports = RankReports::new();
        for (rank, amounts) in &self.own {
            let report = amounts.report(now, *rank, self.width);
            let is_full = reports.len() == MAX_REPORTED_RANKS;
            match reports.last_mut() {
                Some(last) if is_full => last.add(&report),
                _ => reports.push(report),
            }
        }
        reports
    }

    /// Returns the terms of a rank, from what all nodes have reported.
    pub fn terms(&mut self, now: Instant, rank: u32) -> RankTerms {
        self.expire(now);
        let own = self.own.iter().map(|(rank, amounts)| amounts.report(now, *rank, self.width));
        let peers = self.peers.values().flat_map(|(_, reports)| reports.iter().copied());
        let (mut above, mut own_and_above) = (RankReport::default(), RankReport::default());
        for report in own.chain(peers) {
            if report.rank < rank {
                above.add(&report);
            }
            if report.rank <= rank {
                own_and_above.add(&report);
            }
        }
        RankTerms {
            urgent: above.expected(),
            spread: above.spread(),
            expected: self.knows_demand(now).then(|| own_and_above.highest()),
            reporting_nodes: self.peers.len() + 1,
        }
    }

    /// Returns whether the newest demand is known for as long as it is extrapolated from.
    fn knows_demand(&self, now: Instant) -> bool {
        self.first_record.is_some_and(|first| {
            now.saturating_duration_since(first) >= self.width / RECENT_DIVISOR + BUCKET
        })
    }

    fn expire(&mut self, now: Instant) {
        let width = self.width;
        self.own.retain(|_, amounts| {
            let is_old = |at: &Instant| now.saturating_duration_since(*at) >= width;
            while amounts.buckets.front().is_some_and(|(at, _)| is_old(at)) {
                amounts.buckets.pop_front();
            }
            !amounts.buckets.is_empty()
        });
        self.peers
            .retain(|_, (reported, _)| now.saturating_duration_since(*reported) < STALE_AFTER);
    }
}
