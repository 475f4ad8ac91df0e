use super::engine::{Engine, EngineEvent, EngineJob};
use super::engine_model::EngineModel;
use super::event_queue::EventQueue;
use super::fleet_stats::{FleetStats, StatsSample};
use super::node_queue::NodeQueue;
use super::placement_policy::PlacementPolicy;
use super::pool_owner::{PoolOwner, engine_name};
use crate::request::{BLOCK_TOKENS, ENGINE_SPEEDS, LoadShape, NODES, RequestEnd, SimRequest};
use crate::seeded_rng::SeededRng;
use agatecourse_core::request::scheduler::{LoadReport, PoolAction, PoolEvent};
use agatecourse_wire::request::{DispatchOutcome, Finished, Ticket};
use std::time::Duration;

/// One-way delay of each message.
const MESSAGE_DELAY: Duration = Duration::from_millis(1);
/// Age of load reports and cache events at their arrival.
const REPORT_AGE: Duration = Duration::from_secs(1);
/// Interval between load reports of an engine.
const REPORT_INTERVAL: Duration = Duration::from_millis(250);
/// Fraction of the batches of cache events that are lost.
const LOST_CACHE_EVENT_RATIO: f64 = 0.05;
/// Response length in tokens that nodes assume; the pool owner replaces it by its learned estimate.
const ASSUMED_WRITE_TOKENS: u32 = 200;
/// Node that runs the pool owner and sends messages to it without delay.
const OWNER_NODE: usize = 0;

/// Event of the simulation; a number without a name is the index of a request, unless stated otherwise.
#[derive(Debug)]
enum SimEvent {
    Arrival(usize),
    /// The caller disconnected or the deadline passed.
    Withdrawal(usize, RequestEnd),
    PatienceExpired(usize),
    OwnerEvent(PoolEvent),
    OwnerTick,
    OwnerAction(PoolAction),
    Dispatched {
        engine: usize,
        index: usize,
    },
    Cancel {
        engine: usize,
        index: usize,
        end: RequestEnd,
    },
    /// The batch step of the engine with this index ends.
    StepEnd(usize),
    FirstToken(usize),
    Answered {
        engine: usize,
        index: usize,
        job: EngineJob,
    },
    MeasureEngines,
    LoadReport {
        engine: usize,
        report: LoadReport,
        evicted: Option<Vec<u64>>,
    },
    RecordSample,
}

/// Progress of one request.
#[derive(Debug, Clone, Copy, Default)]
struct RequestState {
    engine: Option<usize>,
    dispatched_at: Duration,
    first_token_at: Option<Duration>,
    end: Option<RequestEnd>,
}

/// Simulation of nodes, engines and the pool owner under one placement policy.
struct FleetSimulation<'a> {
    policy: PlacementPolicy,
    shape: &'a LoadShape,
    model: EngineModel,
    requests: &'a [SimRequest],
    states: Vec<RequestState>,
    engines: Vec<Engine>,
    nodes: Vec<NodeQueue>,
    owner: PoolOwner,
    /// Earliest scheduled wake-up of the pool owner.
    owner_wakeup: Option<Duration>,
    reports: Vec<LoadReport>,
    /// Number of waiting requests by tier.
    waiting: Vec<u64>,
    stats: FleetStats,
    event_queue: EventQueue<SimEvent>,
    rng: SeededRng,
    now: Duration,
}

/// Simulates one placement policy on a load until all requests have ended.
pub fn simulate_fleet(
    policy: PlacementPolicy,
    shape: &LoadShape,
    model: &EngineModel,
    requests: &[SimRequest],
    seed: u64,
) -> FleetStats {
    let mut fleet = FleetSimulation::new(policy, shape, model, requests, seed);
    while let Some((at, event)) = fleet.event_queue.pop() {
        fleet.now = at;
        fleet.handle(event);
    }
    fleet.stats.tier_inversions = fleet.owner.tier_inversions;
    fleet.stats
}

impl<'a> FleetSimulation<'a> {
    fn new(
        policy: PlacementPolicy,
        shape: &'a LoadShape,
        model: &EngineModel,
        requests: &'a [SimRequest],
        seed: u64,
    ) -> Self {
        let mut event_queue = EventQueue::new();
        for (index, request) in requests.iter().enumerate() {
            event_queue.schedule(request.at, SimEvent::Arrival(index));
        }
        event_queue.schedule(REPORT_INTERVAL, SimEvent::MeasureEngines);
        event_queue.schedule(Duration::from_secs(1), SimEvent::RecordSample);
        let tiers = requests.iter().map(|request| usize::from(request.tier) + 1).max();
        let engines = ENGINE_SPEEDS.len();
        Self {
            policy,
            shape,
            model: *model,
            requests,
            states: vec![RequestState::default(); requests.len()],
            engines: vec![Engine::new(*model); engines],
            nodes: (0..NODES)
                .map(|number| NodeQueue::new(number, model.max_batch_requests))
                .collect(),
            owner: PoolOwner::new(model, seed),
            owner_wakeup: None,
            reports: vec![LoadReport::default(); engines],
            waiting: vec![0; tiers.unwrap_or_default()],
            stats: FleetStats::default(),
            event_queue,
            rng: SeededRng::new(seed, 3),
            now: Duration::ZERO,
        }
    }

    fn handle(&mut self, event: SimEvent) {
        match event {
            SimEvent::Arrival(index) => self.handle_arrival(index),
            SimEvent::Withdrawal(index, end) => self.withdraw(index, end),
            SimEvent::PatienceExpired(index) => {
                if self.states[index].first_token_at.is_none() {
                    self.withdraw(index, RequestEnd::Left);
                }
            }
            SimEvent::OwnerEvent(event) => self.handle_owner_event(event),
            SimEvent::OwnerTick => {
                if self.owner_wakeup == Some(self.now) {
                    self.owner_wakeup = None;
                    self.handle_owner_event(PoolEvent::Tick);
                }
            }
            SimEvent::OwnerAction(action) => self.handle_owner_action(&action),
            SimEvent::Dispatched { engine, index } => {
                self.engines[engine].enqueue(index, &self.requests[index]);
                self.start_step(engine);
            }
            SimEvent::Cancel { engine, index, end } => self.cancel_on_engine(engine, index, end),
            SimEvent::StepEnd(engine) => self.finish_step(engine),
            SimEvent::FirstToken(index) => self.states[index].first_token_at = Some(self.now),
            SimEvent::Answered { engine, index, job } => self.handle_answer(engine, index, &job),
            SimEvent::MeasureEngines => self.measure_engines(),
            SimEvent::LoadReport { engine, report, evicted } => {
                self.handle_load_report(engine, report, evicted);
            }
            SimEvent::RecordSample => self.record_sample(),
        }
    }

    fn is_running(&self) -> bool {
        self.states.iter().any(|state| state.end.is_none())
    }

    fn handle_arrival(&mut self, index: usize) {
        let request = &self.requests[index];
        self.waiting[usize::from(request.tier)] += 1;
        self.event_queue.schedule(
            request.at + request.deadline,
            SimEvent::Withdrawal(index, RequestEnd::Expired),
        );
        if let Some(delay) = request.disconnects_after {
            self.event_queue
                .schedule(request.at + delay, SimEvent::Withdrawal(index, RequestEnd::Left));
        }
        if let Some(patience) = request.patience {
            self.event_queue.schedule(request.at + patience, SimEvent::PatienceExpired(index));
        }
        if self.policy == PlacementPolicy::Agatecourse {
            let node = node_name(request.node);
            let ticket = new_ticket(request, self.rng.index(10_000) as u16);
            self.send_to_owner(request.node, PoolEvent::Submit { node, ticket });
        } else {
            self.nodes[request.node].add(index);
            self.dispatch_queued(request.node);
        }
    }

    /// Dispatches queued requests of a node while an engine has a free slot; for the policies without a pool owner.
    fn dispatch_queued(&mut self, node: usize) {
        while let Some((index, engine)) = self.nodes[node].next_dispatch(self.policy, &self.reports)
        {
            self.dispatch(index, engine);
        }
    }

    fn dispatch(&mut self, index: usize, engine: usize) {
        self.waiting[usize::from(self.requests[index].tier)] -= 1;
        self.states[index].engine = Some(engine);
        self.states[index].dispatched_at = self.now;
        self.event_queue.schedule(self.now + MESSAGE_DELAY, SimEvent::Dispatched { engine, index });
    }

    fn record_end(&mut self, index: usize, end: RequestEnd) {
        let request = &self.requests[index];
        self.states[index].end = Some(end);
        self.stats.count_end(request, end, self.model.least_work_s(request));
    }

    /// Ends a request whose caller disconnected or whose deadline passed, and cancels it in the queue or on the engine.
    fn withdraw(&mut self, index: usize, end: RequestEnd) {
        if self.states[index].end.is_some() {
            return;
        }
        self.record_end(index, end);
        let request = &self.requests[index];
        if let Some(engine) = self.states[index].engine {
            self.event_queue
                .schedule(self.now + MESSAGE_DELAY, SimEvent::Cancel { engine, index, end });
            return;
        }
        self.waiting[usize::from(request.tier)] -= 1;
        if self.policy == PlacementPolicy::Agatecourse {
            let request_id = request.request_id;
            self.send_to_owner(request.node, PoolEvent::Cancel { request_id });
        } else {
            self.nodes[request.node].remove(index);
        }
    }

    fn cancel_on_engine(&mut self, engine: usize, index: usize, end: RequestEnd) {
        // A request that has completed in the meantime is handled by `SimEvent::Answered`.
        if let Some(job) = self.engines[engine].cancel(index) {
            let outcome = match end {
                RequestEnd::Left => DispatchOutcome::Cancelled,
                _ => DispatchOutcome::Expired,
            };
            self.finish_dispatch(engine, index, &job, outcome);
            self.start_step(engine);
        }
    }

    fn handle_answer(&mut self, engine: usize, index: usize, job: &EngineJob) {
        if self.states[index].end.is_none() {
            self.record_end(index, RequestEnd::OnTime);
        }
        self.finish_dispatch(engine, index, job, DispatchOutcome::Completed);
    }

    /// Counts the tokens that the engine read for a request and releases the engine's slot.
    fn finish_dispatch(
        &mut self,
        engine: usize,
        index: usize,
        job: &EngineJob,
        outcome: DispatchOutcome,
    ) {
        let request = &self.requests[index];
        self.stats.count_prefill(request, job.cached_tokens, job.prefilled_tokens);
        if self.states[index].end != Some(RequestEnd::OnTime) {
            self.stats.wasted_prefill_tokens += u64::from(job.prefilled_tokens);
        }
        if self.policy != PlacementPolicy::Agatecourse {
            self.nodes[request.node].release(engine);
            self.dispatch_queued(request.node);
            return;
        }
        let state = self.states[index];
        let finished = Finished {
            request_id: request.request_id,
            target: engine_name(engine),
            version: "v1".into(),
            outcome,
            read_tokens: request.read_tokens,
            cached_tokens: job.cached_tokens,
            written_tokens: job.written_tokens,
            first_token: state.first_token_at.map(|at| at.saturating_sub(state.dispatched_at)),
            elapsed: self.now.saturating_sub(state.dispatched_at),
        };
        self.send_to_owner(request.node, PoolEvent::Finished(finished));
    }

    fn send_to_owner(&mut self, node: usize, event: PoolEvent) {
        let delay = if node == OWNER_NODE { Duration::ZERO } else { MESSAGE_DELAY };
        self.event_queue.schedule(self.now + delay, SimEvent::OwnerEvent(event));
    }

    fn handle_owner_event(&mut self, event: PoolEvent) {
        for action in self.owner.handle_event(self.now, event) {
            self.event_queue.schedule(self.now + MESSAGE_DELAY, SimEvent::OwnerAction(action));
        }
        let wakeup = self.owner.next_wakeup().map(|at| at.max(self.now + MESSAGE_DELAY));
        if let Some(wakeup) = wakeup
            && self.owner_wakeup.is_none_or(|scheduled| wakeup < scheduled)
        {
            self.owner_wakeup = Some(wakeup);
            self.event_queue.schedule(wakeup, SimEvent::OwnerTick);
        }
    }

    fn handle_owner_action(&mut self, action: &PoolAction) {
        match action {
            PoolAction::Grant { grant, .. } => {
                let index = grant.request_id as usize - 1;
                let engine = (0..self.engines.len()).find(|i| engine_name(*i) == grant.target);
                let Some(engine) = engine else { return };
                if self.states[index].end.is_none() {
                    self.dispatch(index, engine);
                    return;
                }
                // The request ended while the grant was in flight; it did not run.
                let job = EngineJob::new(index, &self.requests[index]);
                self.finish_dispatch(engine, index, &job, DispatchOutcome::Cancelled);
            }
            PoolAction::Refuse { refusal, .. } => {
                let index = refusal.request_id as usize - 1;
                if self.states[index].end.is_none() {
                    self.waiting[usize::from(self.requests[index].tier)] -= 1;
                    self.record_end(index, RequestEnd::Shed);
                }
            }
            PoolAction::CancelRunning { .. } => {}
        }
    }

    fn start_step(&mut self, engine: usize) {
        let speed = self.shape.engine_speed(engine, self.now);
        if let Some(time) = self.engines[engine].start_step(speed) {
            self.event_queue.schedule(self.now + time, SimEvent::StepEnd(engine));
        }
    }

    fn finish_step(&mut self, engine: usize) {
        let mut events = Vec::new();
        let ended = self.engines[engine].end_step(&mut events);
        for event in events {
            if let EngineEvent::FirstToken(index) = event {
                self.event_queue.schedule(self.now + MESSAGE_DELAY, SimEvent::FirstToken(index));
            }
        }
        for job in ended {
            let index = job.index;
            self.event_queue
                .schedule(self.now + MESSAGE_DELAY, SimEvent::Answered { engine, index, job });
        }
        self.start_step(engine);
    }

    fn measure_engines(&mut self) {
        for engine in 0..self.engines.len() {
            let (running, waiting) = self.engines[engine].load();
            let token_gap = self.engines[engine].take_token_gap();
            let report =
                LoadReport { running, waiting, token_gap, age: REPORT_AGE, leaving: false };
            let evicted = self.engines[engine].take_evicted();
            let lost = self.rng.unit() < LOST_CACHE_EVENT_RATIO;
            let evicted = (!lost).then_some(evicted);
            self.event_queue
                .schedule(self.now + REPORT_AGE, SimEvent::LoadReport { engine, report, evicted });
        }
        if self.is_running() {
            self.event_queue.schedule(self.now + REPORT_INTERVAL, SimEvent::MeasureEngines);
        }
    }

    fn handle_load_report(&mut self, engine: usize, report: LoadReport, evicted: Option<Vec<u64>>) {
        self.reports[engine] = report;
        if self.policy != PlacementPolicy::Agatecourse {
            return;
        }
        let target = engine_name(engine);
        match evicted {
            Some(evicted) => {
                for prefix_hash in evicted {
                    self.handle_owner_event(PoolEvent::Evicted {
                        target: target.clone(),
                        prefix_hash,
                    });
                }
            }
            None => self.handle_owner_event(PoolEvent::CacheGap { target: target.clone() }),
        }
        self.handle_owner_event(PoolEvent::Report { target, report });
    }

    fn record_sample(&mut self) {
        self.stats.samples.push(StatsSample {
            at_s: self.now.as_secs_f64(),
            tiers: self.stats.tiers.values().copied().collect(),
            waiting: self.waiting.clone(),
        });
        if self.is_running() {
            self.event_queue.schedule(self.now + Duration::from_secs(1), SimEvent::RecordSample);
        }
    }
}

fn node_name(index: usize) -> String {
    format!("node-{index}")
}

fn new_ticket(request: &SimRequest, share_slot: u16) -> Ticket {
    Ticket {
        request_id: request.request_id,
        route: "drafts".into(),
        organisation: request.organisation.clone(),
        tier: request.tier,
        deadline_in: request.deadline,
        read_tokens: request.read_tokens,
        write_tokens: ASSUMED_WRITE_TOKENS,
        prefix_hashes: request.blocks.clone(),
        prefix_block_tokens: BLOCK_TOKENS,
        share_slot,
        suspect: None,
    }
}
