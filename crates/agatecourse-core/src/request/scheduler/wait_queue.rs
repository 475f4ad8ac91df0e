use super::organisation_table::OrganisationTable;
use super::request_state::WaitingRequest;
use agatecourse_types::{RequestId, Tier};
use std::collections::{BTreeMap, BTreeSet};
use std::ops::Bound::{Excluded, Unbounded};
use std::time::Instant;

/// Slot-seconds that an organisation gets in one round for each unit of weight.
const QUANTUM_S: f64 = 1.0;
/// Largest deficit, in rounds, that an organisation accumulates while its requests can't be placed.
const MAX_DEFICIT_ROUNDS: f64 = 10.0;

/// Waiting requests of a pool, ordered by tier, then organisation (weighted deficit round robin), then deadline.
///
/// A request that can't finish in time is parked while a lower tier waits: it gets no grant, and is refused once its
/// tier is the lowest. The other requests are ready. The scheduler bounds the number of requests; at the bound, it
/// refuses one of the lowest tier.
#[derive(Debug, Clone, Default)]
pub(super) struct WaitQueue {
    tiers: BTreeMap<Tier, TierQueue>,
    parked: BTreeMap<Tier, BTreeMap<(Instant, RequestId), WaitingRequest>>,
    positions: BTreeMap<RequestId, QueuePosition>,
    deadlines: BTreeSet<(Instant, RequestId)>,
}

/// Keys under which a waiting request is stored.
#[derive(Debug, Clone, Copy)]
struct QueuePosition {
    tier: Tier,
    organisation: u32,
    deadline: Instant,
    parked: bool,
}

/// Ready requests of one tier.
#[derive(Debug, Clone, Default)]
struct TierQueue {
    organisations: BTreeMap<u32, OrganisationQueue>,
    /// Organisation of the last granted request.
    last_served: Option<u32>,
    /// Expected work in slot-seconds.
    work_s: f64,
    /// Number of requests.
    count: usize,
}

/// Ready requests of one organisation in a tier, with its deficit in slot-seconds.
#[derive(Debug, Clone, Default)]
struct OrganisationQueue {
    deficit_s: f64,
    requests: BTreeMap<(Instant, RequestId), WaitingRequest>,
}

impl OrganisationQueue {
    /// Returns the number of rounds until the deficit covers the cost of the first request.
    fn rounds_needed(&self, weight: f64) -> f64 {
        let cost_s = self.requests.values().next().map_or(0.0, |head| head.cost_s);
        ((cost_s - self.deficit_s) / (QUANTUM_S * weight)).ceil().max(0.0)
    }
}

impl WaitQueue {
    /// Returns the number of waiting requests, including parked ones.
    pub(super) fn len(&self) -> usize {
        self.positions.len()
    }

    /// Returns whether a request waits, parked or not.
    pub(super) fn contains(&self, request_id: RequestId) -> bool {
        self.positions.contains_key(&request_id)
    }

    /// Returns a waiting request, parked or not.
    pub(super) fn get(&self, request_id: RequestId) -> Option<&WaitingRequest> {
        let position = self.positions.get(&request_id)?;
        if position.parked {
            return self.parked.get(&position.tier)?.get(&(position.deadline, request_id));
        }
        let queue = self.tiers.get(&position.tier)?.organisations.get(&position.organisation)?;
        queue.requests.get(&(position.deadline, request_id))
    }

    /// Adds a request, unless it already waits.
    pub(super) fn insert(&mut self, waiting: WaitingRequest) {
        let request_id = waiting.ticket.request_id;
        if self.contains(request_id) {
            return;
        }
        self.positions.insert(request_id, QueuePosition::new(&waiting, false));
        self.deadlines.insert(waiting.key());
        let tier = self.tiers.entry(waiting.tier()).or_default();
        tier.work_s += waiting.cost_s;
        tier.count += 1;
        let queue = tier.organisations.entry(waiting.organisation).or_default();
        queue.requests.insert(waiting.key(), waiting);
    }

    /// Removes a request, parked or not, without charging its organisation.
    pub(super) fn remove(&mut self, request_id: RequestId) -> Option<WaitingRequest> {
        let position = self.positions.remove(&request_id)?;
        self.deadlines.remove(&(position.deadline, request_id));
        if position.parked {
            let parked = self.parked.get_mut(&position.tier)?;
            let waiting = parked.remove(&(position.deadline, request_id));
            if parked.is_empty() {
                self.parked.remove(&position.tier);
            }
            return waiting;
        }
        self.take_ready(position, request_id)
    }

    /// Removes a granted request and charges its cost to the deficit of its organisation.
    pub(super) fn dequeue(
        &mut self,
        request_id: RequestId,
        organisations: &OrganisationTable,
    ) -> Option<WaitingRequest> {
        let position = *self.positions.get(&request_id)?;
        let tier = self.tiers.get_mut(&position.tier)?;
        let rounds = tier
            .organisations
            .get(&position.organisation)?
            .rounds_needed(organisations.weight(position.organisation));
        let cost_s = self.get(request_id)?.cost_s;
        let tier = self.tiers.get_mut(&position.tier)?;
        for (index, queue) in &mut tier.organisations {
            let added_s = QUANTUM_S * organisations.weight(*index);
            let head_s = queue.requests.values().next().map_or(0.0, |head| head.cost_s);
            let bound_s = (MAX_DEFICIT_ROUNDS * added_s).max(head_s + added_s);
            queue.deficit_s = (queue.deficit_s + rounds * added_s).min(bound_s);
        }
        tier.last_served = Some(position.organisation);
        tier.organisations.get_mut(&position.organisation)?.deficit_s -= cost_s;
        self.remove(request_id)
    }

    /// Parks a ready request.
    pub(super) fn park(&mut self, request_id: RequestId) {
        let Some(position) =
            self.positions.get_mut(&request_id).filter(|position| !position.parked)
        else {
            return;
        };
        position.parked = true;
        let position = *position;
        if let Some(waiting) = self.take_ready(position, request_id) {
            self.parked.entry(position.tier).or_default().insert(waiting.key(), waiting);
        }
    }

    /// Returns the tiers with ready requests, highest first.
    pub(super) fn ready_tiers(&self) -> impl Iterator<Item = Tier> + '_ {
        self.tiers.keys().copied()
    }

    /// Returns the organisations of a tier in the order in which deficit round robin serves them.
    pub(super) fn serving_order(&self, tier: Tier, organisations: &OrganisationTable) -> Vec<u32> {
        let Some(tier) = self.tiers.get(&tier) else { return Vec::new() };
        let last = tier.last_served;
        let after = tier.organisations.range((last.map_or(Unbounded, Excluded), Unbounded));
        let before = tier.organisations.iter().take_while(|(index, _)| Some(**index) <= last);
        // The organisation that was served last continues while its deficit covers its next request.
        let current = last.and_then(|last| tier.organisations.get_key_value(&last));
        let spendable = current.filter(|(_, queue)| queue.rounds_needed(1.0) <= 0.0);
        let mut order: Vec<(f64, u32)> = spendable
            .into_iter()
            .chain(after)
            .chain(before)
            .map(|(index, queue)| (queue.rounds_needed(organisations.weight(*index)), *index))
            .collect();
        order.sort_by(|a, b| a.0.total_cmp(&b.0));
        order.into_iter().map(|(_, index)| index).collect()
    }

    /// Returns the ready requests of an organisation in a tier, earliest deadline first.
    pub(super) fn ready(
        &self,
        tier: Tier,
        organisation: u32,
    ) -> impl Iterator<Item = &WaitingRequest> {
        let queue = self.tiers.get(&tier).and_then(|tier| tier.organisations.get(&organisation));
        queue.into_iter().flat_map(|queue| queue.requests.values())
    }

    /// Returns all ready requests of a tier, earliest deadline first.
    pub(super) fn ready_by_deadline(&self, tier: Tier) -> Vec<&WaitingRequest> {
        let queues = self.tiers.get(&tier).into_iter().flat_map(|tier| tier.organisations.values());
        let mut all: Vec<&WaitingRequest> =
            queues.flat_map(|queue| queue.requests.values()).collect();
        all.sort_by_key(|waiting| waiting.key());
        all
    }

    /// Returns the parked requests of a tier.
    pub(super) fn parked(&self, tier: Tier) -> impl Iterator<Item = RequestId> + '_ {
        self.parked.get(&tier).into_iter().flat_map(|parked| parked.keys().map(|key| key.1))
    }

    /// Returns the lowest tier in which a request waits, parked or not.
    pub(super) fn lowest_tier(&self) -> Option<Tier> {
        let ready = self.tiers.keys().next_back().copied();
        ready.max(self.parked.keys().next_back().copied())
    }

    /// Returns the expected work of the ready requests in a tier and all higher ones, in slot-seconds.
    pub(super) fn work_through_s(&self, tier: Tier) -> f64 {
        self.tiers.range(..=tier).map(|(_, queue)| queue.work_s).sum()
    }

    /// Returns tier, number of ready requests and their work in slot-seconds, highest tier first.
    pub(super) fn tier_totals(&self) -> impl Iterator<Item = (Tier, usize, f64)> + '_ {
        self.tiers.iter().map(|(tier, queue)| (*tier, queue.count, queue.work_s))
    }

    /// Returns the number of parked requests in all tiers.
    pub(super) fn parked_count(&self) -> usize {
        self.parked.values().map(BTreeMap::len).sum()
    }

    /// Returns the earliest deadline of all waiting requests, with the request.
    pub(super) fn first_deadline(&self) -> Option<(Instant, RequestId)> {
        self.deadlines.first().copied()
    }

    /// Returns the ids of the waiting requests that satisfy a predicate.
    pub(super) fn ids_where(&self, predicate: impl Fn(&WaitingRequest) -> bool) -> Vec<RequestId> {
        let waiting = self.positions.keys().filter_map(|request_id| self.get(*request_id));
        waiting
            .filter(|waiting| predicate(waiting))
            .map(|waiting| waiting.ticket.request_id)
            .collect()
    }

    fn take_ready(
        &mut self,
        position: QueuePosition,
        request_id: RequestId,
    ) -> Option<WaitingRequest> {
        let tier = self.tiers.get_mut(&position.tier)?;
        let queue = tier.organisations.get_mut(&position.organisation)?;
        let waiting = queue.requests.remove(&(position.deadline, request_id))?;
        tier.work_s = (tier.work_s - waiting.cost_s).max(0.0);
        tier.count -= 1;
        if queue.requests.is_empty() {
            tier.organisations.remove(&position.organisation);
        }
        if tier.count == 0 {
            self.tiers.remove(&position.tier);
        }
        Some(waiting)
    }
}

impl QueuePosition {
    fn new(waiting: &WaitingRequest, parked: bool) -> Self {
        let (deadline, organisation) = (waiting.deadline, waiting.organisation);
        Self { tier: waiting.tier(), organisation, deadline, parked }
    }
}
