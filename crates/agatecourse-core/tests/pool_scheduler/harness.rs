use agatecourse_core::request::scheduler::{PoolAction, PoolEvent, PoolScheduler, TargetSpec};
use agatecourse_types::{RequestId, ResultCode, Tier};
use agatecourse_wire::request::{DispatchOutcome, Finished, Grant, Refusal, Ticket};
use smallvec::SmallVec;
use std::time::{Duration, Instant};

/// Scheduler with a manual clock, with all actions that it returned.
pub struct Harness {
    pub scheduler: PoolScheduler,
    pub now: Instant,
    pub grants: Vec<Grant>,
    pub refusals: Vec<Refusal>,
    pub cancels: Vec<RequestId>,
}

impl Harness {
    pub fn new(targets: Vec<TargetSpec>) -> Self {
        let now = Instant::now();
        let scheduler = PoolScheduler::new("drafts/0", 7).with_targets(now, targets);
        let (grants, refusals, cancels) = Default::default();
        Self { scheduler, now, grants, refusals, cancels }
    }

    /// Passes an event to the scheduler; records and returns the resulting actions.
    pub fn handle_event(&mut self, event: PoolEvent) -> Vec<PoolAction> {
        let mut actions = Vec::new();
        self.scheduler.on_event(self.now, event, &mut actions);
        for action in &actions {
            match action {
                PoolAction::Grant { grant, .. } => self.grants.push(grant.clone()),
                PoolAction::Refuse { refusal, .. } => self.refusals.push(refusal.clone()),
                PoolAction::CancelRunning { request_id, .. } => self.cancels.push(*request_id),
            }
        }
        actions
    }

    /// Submits a ticket from `node-a`.
    pub fn submit(&mut self, ticket: Ticket) -> Vec<PoolAction> {
        self.handle_event(PoolEvent::Submit { node: "node-a".into(), ticket })
    }

    /// Moves the clock and sends a tick.
    pub fn advance(&mut self, time: Duration) {
        self.now += time;
        self.handle_event(PoolEvent::Tick);
    }

    /// Reports the outcome of a granted request after `elapsed`, with an answer of 50 tokens.
    pub fn finish(
        &mut self,
        request_id: RequestId,
        outcome: DispatchOutcome,
        elapsed: Duration,
    ) -> Vec<PoolAction> {
        let grant = self.grants.iter().rfind(|grant| grant.request_id == request_id);
        let grant = grant.expect("finished requests were granted").clone();
        self.handle_event(PoolEvent::Finished(Finished {
            request_id,
            target: grant.target,
            version: grant.version,
            outcome,
            read_tokens: 100,
            cached_tokens: 0,
            written_tokens: 50,
            first_token: Some(elapsed / 10),
            elapsed,
        }))
    }

    /// Returns the ids of the granted requests in the order of the grants.
    pub fn granted_ids(&self) -> Vec<RequestId> {
        self.grants.iter().map(|grant| grant.request_id).collect()
    }

    /// Returns the ids and result codes of the refused requests in the order of the refusals.
    pub fn refused_codes(&self) -> Vec<(RequestId, ResultCode)> {
        self.refusals.iter().map(|refusal| (refusal.request_id, refusal.code)).collect()
    }

    /// Returns the target of the last grant of a request.
    pub fn target_of(&self, request_id: RequestId) -> Option<&str> {
        let grant = self.grants.iter().rfind(|grant| grant.request_id == request_id);
        grant.map(|grant| grant.target.as_str())
    }
}

/// Returns a ticket of organisation `north` with a prompt of 100 tokens and an expected answer of 50.
pub fn ticket(request_id: RequestId, tier: Tier, deadline: Duration) -> Ticket {
    Ticket {
        request_id,
        route: "drafts".into(),
        organisation: "north".into(),
        tier,
        deadline_in: deadline,
        read_tokens: 100,
        write_tokens: 50,
        prefix_hashes: SmallVec::new(),
        prefix_block_tokens: 100,
        share_slot: 5_000,
        suspect: None,
    }
}

/// Returns targets `t0`, `t1`, ... of version `v1`, one for each concurrency limit.
pub fn targets(limits: &[u32]) -> Vec<TargetSpec> {
    let specs = limits.iter().enumerate();
    specs
        .map(|(i, limit)| TargetSpec::new(format!("t{i}"), "v1").with_concurrency(*limit))
        .collect()
}
