use super::route_evidence::is_bad_on_route;
use agatecourse_types::{NodeId, VersionId, stable_hash};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

/// Share of a service's requests that the new version gets during the rollout; users allow a tenth.
const CANARY_SHARE: f64 = 0.06;
/// Number of hash buckets into which requests are divided to select those for the new version.
const SHARE_STEPS: u64 = 10_000;
/// Share of the rollout's duration after which a version that isn't bad is accepted; less than 1, so that the result is
/// recorded before the deadline.
const ACCEPT_AFTER_SHARE: f64 = 0.75;
/// Number of failed or slow answers from which a version may be rolled back; users allow fifty.
const MIN_BAD_ANSWERS: u32 = 6;
/// Margin by which the share of bad answers must exceed twice that of the old version for a rollback.
const BAD_MARGIN: f64 = 0.1;
/// Answers of the new version required for acceptance at [`ACCEPT_AFTER_SHARE`]; with fewer it is accepted halfway from
/// there to the deadline.
const MIN_NEW_ANSWERS: u32 = 10;
/// Answers of the new version that a route should have at [`ACCEPT_AFTER_SHARE`], twice as many with a bad one among them; half of them that
/// fail are always found, a third mostly.
const MIN_ROUTE_ANSWERS: f64 = 18.0;
/// Largest share of the requests of a route with few requests that the new version gets.
const MAX_ROUTE_SHARE: f64 = 0.4;
/// Requests beyond [`CANARY_SHARE`] that all nodes together send to the new version; users allow 50 beyond a tenth. More than this
/// many nodes send none, as their routes have enough requests.
const EXTRA_REQUESTS: usize = 30;
/// Answers of a route from which its rate is known.
const MIN_RATE_ANSWERS: u32 = 3;
/// Upper bound of the routes whose answers are counted apart, of each node.
const MAX_ROUTES: usize = 256;
/// Multiple of the old version's mean above which an answer is slow; bad versions are several times slower.
const SLOW_FACTOR: f64 = 3.0;
/// Answers up to this time are never slow, because queueing alone may take as long.
const MIN_SLOW_TIME: Duration = Duration::from_millis(60);
/// Weight of the newest answer in the moving average of the old version.
const LEARNING_RATE: f64 = 0.05;

/// Hash of a route's name.
pub type RouteHash = u64;

/// Times of an answer that are compared with the means of the old version; `None` for one that is not known.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct AnswerTime {
    /// Time until the answer was complete, or until the first event of a stream.
    pub first: Option<Duration>,
    /// Mean time between the events of a stream.
    pub pace: Option<Duration>,
}

/// State of a rollout of a new version of a service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum RolloutState {
    /// The new version receives a share of the requests and is being evaluated.
    InProgress,
    /// The new version is accepted and may receive all requests.
    Complete,
    /// The new version is rolled back and receives no requests.
    Reverted,
}

/// Answers that a node has received since the start of the rollout.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RolloutCounts {
    /// Answers of the new version.
    pub new_answers: u32,
    /// Failed or slow answers of the new version.
    pub new_bad: u32,
    /// Answers of other versions.
    pub old_answers: u32,
    /// Failed or slow answers of other versions.
    pub old_bad: u32,
}

impl RolloutCounts {
    /// Returns the sum of two counts.
    fn plus(self, other: Self) -> Self {
        Self {
            new_answers: self.new_answers.saturating_add(other.new_answers),
            new_bad: self.new_bad.saturating_add(other.new_bad),
            old_answers: self.old_answers.saturating_add(other.old_answers),
            old_bad: self.old_bad.saturating_add(other.old_bad),
        }
    }
}

/// Evaluates a new version of a service by the answers that all nodes receive.
///
/// A decision is final: it never changes, and the other nodes adopt it when they receive it.
#[derive(Debug, Clone, PartialEq)]
pub struct Rollout {
    /// Version that is rolled out.
    pub to: VersionId,
    /// Sequence number of the rollout order; a larger one replaces a smaller one.
    pub order: u64,
    started: Instant,
    duration: Duration,
    state: RolloutState,
    own: RolloutCounts,
    peers: BTreeMap<NodeId, RolloutCounts>,
    own_routes: BTreeMap<RouteHash, RolloutCounts>,
    peer_routes: BTreeMap<NodeId, BTreeMap<RouteHash, RolloutCounts>>,
    /// Shares of the requests of routes with few requests that the new version gets, as of the latest evaluation.
    route_shares: BTreeMap<RouteHash, f64>,
    /// Requests of this node that the new version got beyond [`CANARY_SHARE`].
    extra_requests: usize,
    old_means: BTreeMap<RouteHash, OldMeans>,
}

/// Moving averages of the answers of the old version on a route, in seconds.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
struct OldMeans {
    first_s: Option<f64>,
    pace_s: Option<f64>,
}

impl OldMeans {
    fn is_slow(&self, time: AnswerTime) -> bool {
        let is_above = |time: Option<Duration>, mean_s: Option<f64>| {
            time.zip(mean_s).is_some_and(|(time, mean_s)| {
                time > MIN_SLOW_TIME && time.as_secs_f64() > mean_s * SLOW_FACTOR
            })
        };
        is_above(time.first, self.first_s) || is_above(time.pace, self.pace_s)
    }

    fn learn(&mut self, time: AnswerTime) {
        for (time, mean_s) in [(time.first, &mut self.first_s), (time.pace, &mut self.pace_s)] {
            if let Some(time_s) = time.map(|time| time.as_secs_f64()) {
                let mean_s = mean_s.get_or_insert(time_s);
                *mean_s += LEARNING_RATE * (time_s - *mean_s);
            }
        }
    }
}

impl Rollout {
    /// Creates a rollout that starts now and must be decided within `duration`.
    pub fn new(now: Instant, to: impl Into<VersionId>, order: u64, duration: Duration) -> Self {
        Self {
            to: to.into(),
            order,
            started: now,
            duration,
            state: RolloutState::InProgress,
            own: RolloutCounts::default(),
            peers: BTreeMap::new(),
            own_routes: BTreeMap::new(),
            peer_routes: BTreeMap::new(),
            route_shares: BTreeMap::new(),
            extra_requests: 0,
            old_means: BTreeMap::new(),
        }
    }

    /// Returns the present state.
    pub fn state(&self) -> RolloutState {
        self.state
    }

    /// Returns the answers that this node has counted.
    pub fn own_counts(&self) -> RolloutCounts {
        self.own
    }

    /// Returns the sum of the answers that all nodes have counted.
    pub fn counts(&self) -> RolloutCounts {
        self.peers.values().fold(self.own, |sum, counts| sum.plus(*counts))
    }

    /// Returns the answers that all nodes have counted, by route.
    pub fn route_counts(&self) -> BTreeMap<RouteHash, RolloutCounts> {
        let mut sums = self.own_routes.clone();
        for (route, counts) in self.peer_routes.values().flatten() {
            let sum = sums.entry(*route).or_default();
            *sum = sum.plus(*counts);
        }
        sums
    }

    /// Returns up to `limit` of the routes with the answers that this node has counted: first those on which any node has seen bad answers
    /// of the new version, then others in turn, starting at `offset`. Nothing after the decision.
    pub fn own_route_counts(&self, limit: usize, offset: usize) -> Vec<(RouteHash, RolloutCounts)> {
        if self.state != RolloutState::InProgress || self.own_routes.is_empty() {
            return Vec::new();
        }
        let peers = self.peer_routes.values().flatten();
        let all = peers.chain(&self.own_routes);
        let suspects: BTreeSet<RouteHash> =
            all.filter(|(_, counts)| counts.new_bad > 0).map(|(route, _)| *route).collect();
        let in_turn = |is_suspect: bool| {
            let routes: Vec<_> = self
                .own_routes
                .iter()
                .filter(|(route, _)| suspects.contains(route) == is_suspect)
                .map(|(route, counts)| (*route, *counts))
                .collect();
            let start = offset % routes.len().max(1);
            let count = routes.len();
            routes.into_iter().cycle().skip(start).take(count)
        };
        in_turn(true).chain(in_turn(false)).take(limit).collect()
    }

    /// Returns whether a request is sent to the new version for its evaluation; every node returns the same for a request
    /// id, except for the few further requests that routes with few requests get. False after the decision.
    pub fn is_canary_request(&mut self, request_id: &str, route: RouteHash) -> bool {
        if self.state != RolloutState::InProgress {
            return false;
        }
        let point = stable_hash(&[self.to.as_bytes(), request_id.as_bytes()]) % SHARE_STEPS;
        let is_below = |share: f64| (point as f64) < share * SHARE_STEPS as f64;
        if is_below(CANARY_SHARE) {
            return true;
        }
        let share = self.route_shares.get(&route).copied().unwrap_or_default();
        let is_extra =
            is_below(share) && self.extra_requests < EXTRA_REQUESTS / (self.peers.len() + 1);
        self.extra_requests += usize::from(is_extra);
        is_extra
    }

    /// Returns whether requests other than canary requests must avoid the new version; false once it is accepted.
    pub fn is_new_version_avoided(&self) -> bool {
        self.state != RolloutState::Complete
    }

    /// Counts an answer of a version on a route; its times are compared with the means of the old version there.
    pub fn record(
        &mut self,
        version: &VersionId,
        route: RouteHash,
        has_failed: bool,
        time: AnswerTime,
    ) {
        let means = self.old_means.entry(route).or_default();
        let is_new = *version == self.to;
        let is_bad = has_failed || means.is_slow(time);
        if !is_new {
            means.learn(time);
        }
        self.count(route, is_new, is_bad);
    }

    /// Counts an answer of a version that nobody waited for any longer, if it was slow by then; otherwise nothing is known of it.
    pub fn record_unfinished(&mut self, version: &VersionId, route: RouteHash, time: AnswerTime) {
        if self.old_means.get(&route).is_some_and(|means| means.is_slow(time)) {
            self.count(route, *version == self.to, true);
        }
    }

    fn count(&mut self, route: RouteHash, is_new: bool, is_bad: bool) {
        let bad = u32::from(is_bad);
        let counts = if is_new {
            RolloutCounts { new_answers: 1, new_bad: bad, ..RolloutCounts::default() }
        } else {
            RolloutCounts { old_answers: 1, old_bad: bad, ..RolloutCounts::default() }
        };
        self.own = self.own.plus(counts);
        if self.own_routes.len() < MAX_ROUTES || self.own_routes.contains_key(&route) {
            let sum = self.own_routes.entry(route).or_default();
            *sum = sum.plus(counts);
        }
    }

    /// Records the counts and state that a peer reports for the same rollout.
    pub fn record_peer(&mut self, node: &NodeId, counts: RolloutCounts, state: RolloutState) {
        self.peers.insert(node.clone(), counts);
        if self.state == RolloutState::InProgress {
            self.state = state;
        }
    }

    /// Records counts of a peer on some routes for the same rollout; they replace earlier ones of the same routes.
    pub fn record_peer_routes(&mut self, node: &NodeId, routes: &[(RouteHash, RolloutCounts)]) {
        if self.state != RolloutState::InProgress {
            return;
        }
        let known = self.peer_routes.entry(node.clone()).or_default();
        for (route, counts) in routes {
            if known.len() < MAX_ROUTES || known.contains_key(route) {
                known.insert(*route, *counts);
            }
        }
    }

    /// Restores a state that was recorded before this process started.
    pub fn adopt(&mut self, state: RolloutState) {
        if self.state == RolloutState::InProgress {
            self.state = state;
        }
    }

    /// Updates the state by the answers that all nodes have counted and by the elapsed time.
    ///
    /// A version is rolled back as soon as `MIN_BAD_ANSWERS` are bad and their share exceeds twice that of the old version
    /// by `BAD_MARGIN`, in all or on a route, or they are more on a route than chance explains. When it would be accepted, fewer
    /// on a route are enough for that. Otherwise it is accepted after `ACCEPT_AFTER_SHARE` of the duration, or halfway from there to
    /// the deadline with fewer than `MIN_NEW_ANSWERS`, or with few answers of a route and a bad one among them. A version without
    /// known targets (`has_new_targets`) isn't accepted, and is rolled back at the deadline.
    pub fn decide(&mut self, now: Instant, has_new_targets: bool) -> RolloutState {
        if self.state != RolloutState::InProgress {
            return self.state;
        }
        let (counts, routes) = (self.counts(), self.route_counts());
        let is_bad_on = |route: &RolloutCounts| is_bad_on_route(*route, routes.len());
        let is_bad = exceeds_old_share(counts)
            || routes.values().any(|route| {
                exceeds_old_share(*route) || (route.new_bad >= MIN_BAD_ANSWERS && is_bad_on(route))
            });
        let elapsed_share = now.saturating_duration_since(self.started).as_secs_f64()
            / self.duration.as_secs_f64().max(0.1);
        let is_open = |route: &RolloutCounts| {
            route.new_bad > 0 && f64::from(route.new_answers) < 2.0 * MIN_ROUTE_ANSWERS
        };
        let has_enough_answers =
            counts.new_answers >= MIN_NEW_ANSWERS && !routes.values().any(is_open);
        let is_due = elapsed_share >= ACCEPT_AFTER_SHARE;
        if is_bad || (is_due && routes.values().any(is_bad_on)) {
            self.state = RolloutState::Reverted;
        } else if is_due
            && has_new_targets
            && (has_enough_answers || elapsed_share >= f64::midpoint(ACCEPT_AFTER_SHARE, 1.0))
        {
            self.state = RolloutState::Complete;
        } else if elapsed_share >= 1.0 {
            self.state = RolloutState::Reverted;
        }
        self.update_route_shares(now, &routes);
        self.state
    }

    /// Gives routes with few requests the share that brings them [`MIN_ROUTE_ANSWERS`] until the decision.
    fn update_route_shares(&mut self, now: Instant, routes: &BTreeMap<RouteHash, RolloutCounts>) {
        if self.state != RolloutState::InProgress {
            // The answers decide nothing any more.
            self.peer_routes.clear();
            self.route_shares.clear();
            return;
        }
        let elapsed_s = now.saturating_duration_since(self.started).as_secs_f64();
        let decision_s = self.duration.as_secs_f64() * ACCEPT_AFTER_SHARE;
        self.route_shares = routes
            .iter()
            .filter_map(|(route, counts)| {
                let answers = counts.old_answers + counts.new_answers;
                let expected = f64::from(answers) / elapsed_s.max(0.1) * decision_s;
                // Whether a bad answer is an exception shows in more answers.
                let has_bad = counts.new_bad > 0;
                let wanted = if has_bad { 2.0 * MIN_ROUTE_ANSWERS } else { MIN_ROUTE_ANSWERS };
                let max_share = if has_bad { 2.0 * MAX_ROUTE_SHARE } else { MAX_ROUTE_SHARE };
                let share = (wanted / expected.max(1.0)).min(max_share);
                let has_enough = f64::from(counts.new_answers) >= wanted;
                (answers >= MIN_RATE_ANSWERS && !has_enough && share > CANARY_SHARE)
                    .then_some((*route, share))
            })
            .collect();
    }
}

/// Returns whether the share of bad answers of the new version exceeds twice that of the old one by [`BAD_MARGIN`].
fn exceeds_old_share(counts: RolloutCounts) -> bool {
    let share = |bad: u32, answers: u32| f64::from(bad) / f64::from(answers.max(1));
    let old_share = share(counts.old_bad, counts.old_answers);
    counts.new_bad >= MIN_BAD_ANSWERS
        && share(counts.new_bad, counts.new_answers) > old_share * 2.0 + BAD_MARGIN
}
