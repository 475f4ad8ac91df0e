mod coordinator_action;
mod placement;
mod submission;
mod target_signals;

use super::peer_message::MAX_DECODED_BYTES;
use super::{NodeCapacity, PeerMessage, WireJob};
use agatecourse_core::request::SuspectKey;
use agatecourse_core::request::dispatch::{
    ColdStarts, Decision, DispatchTarget, Dispatcher, DispatcherSnapshot, Job, JobKey, JobNumber,
    Refusal, RunEnd, RunReport, TargetSignals,
};
use agatecourse_types::{NodeId, TargetId, rendezvous_owner, stable_hash};
pub use coordinator_action::CoordinatorAction;
pub use placement::Placement;
use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};
pub use submission::Submission;

/// Maximum number of targets per queue; the queues of a larger service are spread over several owners to bound the load of one. An attempt
/// waits in one queue even if another has free targets, so a service has as few queues as its owners can carry.
const TARGETS_PER_QUEUE: usize = 256;
/// Retransmission timeout of a submission; several round trips between zones.
const RESEND_AFTER: Duration = Duration::from_millis(40);
/// Consecutive unanswered submissions after which the owner is suspected to be unreachable.
const SUBMISSIONS_PER_OWNER: u32 = 3;
/// Time for which this node selects no suspected node as the owner of a queue.
const SUSPICION_PERIOD: Duration = Duration::from_millis(1_500);
/// Time after which an acknowledged attempt is submitted again, in case the decision was lost.
const CONFIRM_AFTER: Duration = Duration::from_millis(150);
/// Shortest period in which a node sends the owner of a queue the list of its attempts.
const MIN_STATUS_PERIOD: Duration = Duration::from_millis(250);
/// Status period for each node; an owner gets at most 250 statuses a second of a queue, however many nodes there are.
const STATUS_PERIOD_PER_NODE: Duration = Duration::from_millis(4);
/// Shortest time without a message from a node after which an owner frees the slots of that node.
const MIN_NODE_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Status periods without a message from a node after which an owner frees its slots.
const NODE_TIMEOUT_STATUSES: u32 = 5;
/// Minimum age at which an attempt that is missing from a status is removed; a younger one may have been submitted or granted
/// while the status was in flight.
const MIN_RECONCILE_AGE: Duration = Duration::from_millis(200);
/// Maximum number of waiting and of running attempts in one status, so that the message fits a datagram.
const STATUS_LIMIT: usize = 60;
/// Bytes that the lists of a status may take; the rest of a message is for its head and the name of the sender.
const MAX_STATUS_BYTES: usize = MAX_DECODED_BYTES - 600;
/// Upper bound of the bytes of a number in a status, with the length of the name beside it.
const STATUS_ENTRY_BYTES: usize = 12;

#[derive(Debug, Clone)]
struct WaitingAttempt {
    queue: String,
    arrived: Instant,
    job: WireJob,
    owner: NodeId,
    unanswered_submissions: u32,
    next_send: Instant,
}

#[derive(Debug, Clone)]
struct RunningAttempt {
    queue: String,
    target: TargetId,
    owner: NodeId,
}

/// Submits the attempts of one node to the owners of their queues, and dispatches the queues that this node owns.
///
/// The owner of a queue is the live node of the highest capacity that ranks first by rendezvous hash, so no election is needed: when an
/// owner dies, each node submits its attempts to the next in rank, which rebuilds the occupied slots from the status messages of the nodes.
#[derive(Debug)]
pub struct Coordinator {
    node: NodeId,
    members: Vec<NodeId>,
    /// Capacities of the nodes; a node that is missing has the lowest.
    capacities: BTreeMap<NodeId, NodeCapacity>,
    suspects: BTreeMap<NodeId, Instant>,
    queue_counts: BTreeMap<String, usize>,
    targets: BTreeMap<String, Vec<DispatchTarget>>,
    dispatchers: BTreeMap<String, Dispatcher>,
    last_seen: BTreeMap<(String, NodeId), Instant>,
    waiting: BTreeMap<JobNumber, WaitingAttempt>,
    running: BTreeMap<JobNumber, RunningAttempt>,
    last_status: BTreeMap<String, (NodeId, Instant)>,
    owners: BTreeMap<String, NodeId>,
    signals: TargetSignals,
    cold_starts: BTreeMap<String, ColdStarts>,
}

impl Coordinator {
    /// Creates a coordinator that knows no other node.
    pub fn new(node: impl Into<NodeId>) -> Self {
        let node = node.into();
        Self {
            members: vec![node.clone()],
            node,
            capacities: BTreeMap::new(),
            suspects: BTreeMap::new(),
            queue_counts: BTreeMap::new(),
            targets: BTreeMap::new(),
            dispatchers: BTreeMap::new(),
            last_seen: BTreeMap::new(),
            waiting: BTreeMap::new(),
            running: BTreeMap::new(),
            last_status: BTreeMap::new(),
            owners: BTreeMap::new(),
            signals: TargetSignals::new(),
            cold_starts: BTreeMap::new(),
        }
    }

    /// Replaces the list of live nodes; the node itself is added when it is missing.
    pub fn set_members(&mut self, members: Vec<NodeId>) {
        self.members = members;
        if !self.members.contains(&self.node) {
            self.members.push(self.node.clone());
        }
        self.owners.clear();
    }

    /// Replaces the capacities of the nodes, including this one.
    pub fn set_capacities(&mut self, capacities: BTreeMap<NodeId, NodeCapacity>) {
        if self.capacities != capacities {
            self.capacities = capacities;
            self.owners.clear();
        }
    }

    /// Replaces the targets of a service and distributes them over its queues.
    pub fn set_targets(
        &mut self,
        now: Instant,
        service: &str,
        targets: Vec<DispatchTarget>,
        actions: &mut Vec<CoordinatorAction>,
    ) {
        let count = targets.len().div_ceil(TARGETS_PER_QUEUE).max(1).next_power_of_two();
        self.queue_counts.insert(service.to_string(), count);
        let mut by_queue: BTreeMap<String, Vec<DispatchTarget>> =
            (0..count).map(|index| (queue_name(service, index), Vec::new())).collect();
        for target in targets {
            let index = stable_hash(&[target.id.as_bytes()]) as usize % count;
            by_queue.entry(queue_name(service, index)).or_default().push(target);
        }
        for (queue, targets) in by_queue {
            if let Some(dispatcher) = self.dispatchers.get_mut(&queue) {
                let mut decisions = Vec::new();
                dispatcher.set_targets(now, targets.clone(), &mut decisions);
                self.send_decisions(now, decisions, actions);
            }
            self.targets.insert(queue, targets);
        }
    }

    /// Replaces what is known of the cold targets of a service; call it before targets are set that may be cold.
    pub fn set_cold_starts(&mut self, now: Instant, service: &str, cold_starts: ColdStarts) {
        let queues = self.dispatchers.iter_mut();
        for (_, dispatcher) in queues.filter(|(queue, _)| service_of(queue) == service) {
            dispatcher.set_cold_starts(now, cold_starts.clone());
        }
        self.cold_starts.insert(service.to_string(), cold_starts);
    }

    /// Submits an attempt to the owner of its queue.
    pub fn submit(
        &mut self,
        now: Instant,
        submission: Submission,
        actions: &mut Vec<CoordinatorAction>,
    ) {
        let count = self.queue_counts.get(&submission.service).copied().unwrap_or(1);
        // Requests that share a suspect meet in one queue, whose owner runs them one after the other.
        let hash = submission.job.suspects.first().copied().unwrap_or(submission.number);
        let queue = queue_name(&submission.service, hash as usize % count);
        let owner = self.owner(now, &queue, actions);
        let number = submission.number;
        let waiting = WaitingAttempt {
            queue,
            arrived: submission.arrived,
            job: submission.job,
            owner,
            unanswered_submissions: 0,
            next_send: now,
        };
        self.waiting.insert(number, waiting);
        self.send_submission(now, number, actions);
    }

    /// Removes an attempt that has ended, whose grant was not used, or whose caller left while it waited, and reports it to the
    /// owner.
    pub fn finish(
        &mut self,
        now: Instant,
        number: JobNumber,
        report: RunReport,
        actions: &mut Vec<CoordinatorAction>,
    ) {
        let (queue, owner) = match (self.running.remove(&number), self.waiting.remove(&number)) {
            (Some(running), _) => (running.queue, running.owner),
            (None, Some(waiting)) => (waiting.queue, waiting.owner),
            (None, None) => return,
        };
        self.send_or_handle(now, owner, PeerMessage::Ended { queue, number, report }, actions);
    }

    /// Removes suspects that were found not to crash targets from the attempts of this node and from the owned queues.
    pub fn clear_suspects(
        &mut self,
        now: Instant,
        cleared: &[SuspectKey],
        actions: &mut Vec<CoordinatorAction>,
    ) {
        for waiting in self.waiting.values_mut() {
            waiting.job.suspects.retain(|suspect| !cleared.contains(suspect));
        }
        let mut decisions = Vec::new();
        for dispatcher in self.dispatchers.values_mut() {
            dispatcher.clear_suspects(now, cleared, &mut decisions);
        }
        self.send_decisions(now, decisions, actions);
    }

    /// Handles a message of another node about a queue.
    pub fn on_message(
        &mut self,
        now: Instant,
        from: &NodeId,
        message: PeerMessage,
        actions: &mut Vec<CoordinatorAction>,
    ) {
        self.suspects.remove(from);
        match message {
            PeerMessage::Submit { queue, number, job } => {
                self.on_submit(now, from, &queue, number, &job, actions);
            }
            PeerMessage::Ended { queue, number, report } => {
                let key = JobKey { node: from.clone(), number };
                let mut decisions = Vec::new();
                if let Some(dispatcher) = self.dispatchers.get_mut(&queue) {
                    dispatcher.finish(now, &key, report, &mut decisions);
                }
                self.send_decisions(now, decisions, actions);
            }
            PeerMessage::Status { queue, waiting, running, limits, closures, brittle } => {
                self.on_closures(now, from, &queue, &closures);
                self.on_brittleness(now, from, &queue, &brittle);
                self.on_limits(now, from, &queue, &limits, actions);
                self.on_status(now, from, &queue, &waiting, &running, actions);
            }
            PeerMessage::Queued { number } => {
                if let Some(waiting) = self.waiting.get_mut(&number) {
                    waiting.unanswered_submissions = 0;
                    waiting.next_send = now + CONFIRM_AFTER;
                }
            }
            PeerMessage::Granted { number, target } => {
                self.on_granted(now, from, number, target, actions);
            }
            PeerMessage::Refused {
                number,
                retry_after_ms,
                predicted_wait_ms,
                urgent_wait_ms,
                own_wait_ms,
                has_place,
            } => {
                if self.waiting.remove(&number).is_some() {
                    let millis = |value: u32| Duration::from_millis(u64::from(value));
                    let placement = Placement::Refused {
                        retry_after: millis(retry_after_ms),
                        predicted_wait: millis(predicted_wait_ms),
                        refusal: Refusal {
                            urgent_wait: millis(urgent_wait_ms),
                            own_wait: millis(own_wait_ms),
                            has_place,
                        },
                        owner: from.clone(),
                    };
                    actions.push(CoordinatorAction::Place { number, placement });
                }
            }
            PeerMessage::Heartbeat(_)
            | PeerMessage::Crash(_)
            | PeerMessage::LateCrash(_)
            | PeerMessage::Cleared { .. }
            | PeerMessage::Progressed { .. }
            | PeerMessage::RolloutRoutes { .. } => {}
        }
    }

    /// Resends unanswered submissions, moves attempts away from unresponsive owners, sends due statuses, and runs the timers of
    /// the owned queues.
    pub fn on_timer(&mut self, now: Instant, actions: &mut Vec<CoordinatorAction>) {
        self.suspects.retain(|_, until| *until > now);
        let due: Vec<JobNumber> = self
            .waiting
            .iter()
            .filter(|(_, waiting)| waiting.next_send <= now)
            .map(|(number, _)| *number)
            .collect();
        for number in due {
            self.resend(now, number, actions);
        }
        self.send_statuses(now, actions);
        self.remove_silent_nodes(now, actions);
        let queues: Vec<String> = self.dispatchers.keys().cloned().collect();
        for queue in queues {
            let mut decisions = Vec::new();
            if let Some(dispatcher) = self.dispatchers.get_mut(&queue) {
                dispatcher.on_timer(now, &mut decisions);
            }
            self.send_decisions(now, decisions, actions);
        }
    }

    /// Discards the state received from other nodes, which is stale after a pause of this process.
    pub fn clear_peer_state(&mut self) {
        self.dispatchers.clear();
        self.last_seen.clear();
        self.last_status.clear();
    }

    /// Returns the state of the owned queues for the state dump.
    pub fn snapshot(&self) -> BTreeMap<String, DispatcherSnapshot> {
        self.dispatchers
            .iter()
            .map(|(queue, dispatcher)| (queue.clone(), dispatcher.snapshot()))
            .collect()
    }

    /// Returns the numbers of waiting and of running attempts of this node.
    pub fn counts(&self) -> (usize, usize) {
        (self.waiting.len(), self.running.len())
    }

    fn owner(&mut self, now: Instant, queue: &str, actions: &mut Vec<CoordinatorAction>) -> NodeId {
        if let Some(owner) = self.owners.get(queue)
            && self.suspects.get(owner).is_none_or(|until| *until <= now)
        {
            return owner.clone();
        }
        let is_trusted =
            |node: &&NodeId| self.suspects.get(*node).is_none_or(|until| *until <= now);
        let capacity = |node: &NodeId| self.capacities.get(node).copied().unwrap_or_default();
        let trusted = || self.members.iter().filter(is_trusted);
        let highest = trusted().map(capacity).max().unwrap_or_default();
        let candidates = trusted().filter(|node| capacity(node) == highest).map(String::as_str);
        let owner = rendezvous_owner(queue, candidates).map_or(self.node.clone(), str::to_string);
        let previous =
            self.last_status.get(queue).map(|(owner, _)| owner.clone()).unwrap_or_default();
        if previous != owner {
            self.last_status.insert(queue.to_string(), (owner.clone(), now));
            actions.push(CoordinatorAction::OwnerChanged {
                queue: queue.to_string(),
                from: previous,
                to: owner.clone(),
            });
            self.owners.insert(queue.to_string(), owner.clone());
            self.send_status(now, queue, &owner, actions);
        }
        self.owners.insert(queue.to_string(), owner.clone());
        owner
    }

    fn resend(&mut self, now: Instant, number: JobNumber, actions: &mut Vec<CoordinatorAction>) {
        let Some(waiting) = self.waiting.get_mut(&number) else { return };
        if waiting.unanswered_submissions >= SUBMISSIONS_PER_OWNER {
            let unresponsive = waiting.owner.clone();
            if unresponsive != self.node {
                self.suspects.insert(unresponsive.clone(), now + SUSPICION_PERIOD);
                self.owners.retain(|_, owner| *owner != unresponsive);
            }
        }
        let queue = waiting.queue.clone();
        let owner = self.owner(now, &queue, actions);
        if let Some(waiting) = self.waiting.get_mut(&number) {
            if waiting.owner != owner {
                let previous = std::mem::replace(&mut waiting.owner, owner);
                waiting.unanswered_submissions = 0;
                let report = RunReport { end: RunEnd::Unused, elapsed: Duration::ZERO };
                self.send_or_handle(
                    now,
                    previous,
                    PeerMessage::Ended { queue, number, report },
                    actions,
                );
            }
            self.send_submission(now, number, actions);
        }
    }

    fn send_submission(
        &mut self,
        now: Instant,
        number: JobNumber,
        actions: &mut Vec<CoordinatorAction>,
    ) {
        let Some(waiting) = self.waiting.get_mut(&number) else { return };
        waiting.unanswered_submissions += 1;
        waiting.next_send = now + RESEND_AFTER;
        waiting.job.waited_ms = now.saturating_duration_since(waiting.arrived).as_millis() as u32;
        let job = Box::new(waiting.job.clone());
        let message = PeerMessage::Submit { queue: waiting.queue.clone(), number, job };
        let owner = waiting.owner.clone();
        self.send_or_handle(now, owner, message, actions);
    }

    fn send_or_handle(
        &mut self,
        now: Instant,
        to: NodeId,
        message: PeerMessage,
        actions: &mut Vec<CoordinatorAction>,
    ) {
        if to == self.node {
            self.on_message(now, &to, message, actions);
        } else {
            actions.push(CoordinatorAction::Send { to, message });
        }
    }

    fn on_submit(
        &mut self,
        now: Instant,
        from: &NodeId,
        queue: &str,
        number: JobNumber,
        job: &WireJob,
        actions: &mut Vec<CoordinatorAction>,
    ) {
        let key = JobKey { node: from.clone(), number };
        let mut decisions = Vec::new();
        let job = decode_job(now, key, job);
        self.dispatcher(now, from, queue).submit(now, job, &mut decisions);
        let is_decided = decisions.iter().any(|decision| match decision {
            Decision::Grant { key, .. } | Decision::Refuse { key, .. } => {
                key.number == number && key.node == *from
            }
        });
        if !is_decided {
            self.send_or_handle(now, from.clone(), PeerMessage::Queued { number }, actions);
        }
        self.send_decisions(now, decisions, actions);
    }

    fn on_status(
        &mut self,
        now: Instant,
        from: &NodeId,
        queue: &str,
        waiting: &[JobNumber],
        running: &[(JobNumber, TargetId)],
        actions: &mut Vec<CoordinatorAction>,
    ) {
        let mut numbers: BTreeSet<JobNumber> =
            waiting.iter().copied().chain(running.iter().map(|(number, _)| *number)).collect();
        let mut decisions = Vec::new();
        let settled_before = now.checked_sub(MIN_RECONCILE_AGE).unwrap_or(now);
        // A full list ends with the highest number that had room in it; it says nothing about higher ones.
        let waiting_above = waiting.last().copied().filter(|_| waiting.len() >= STATUS_LIMIT);
        let running_above =
            running.last().map(|(number, _)| *number).filter(|_| running.len() >= STATUS_LIMIT);
        let dispatcher = self.dispatcher(now, from, queue);
        numbers.extend(dispatcher.unlisted_numbers(from, waiting_above, running_above));
        dispatcher.reconcile(now, from, &numbers, running, settled_before, &mut decisions);
        self.send_decisions(now, decisions, actions);
    }

    fn on_granted(
        &mut self,
        now: Instant,
        from: &NodeId,
        number: JobNumber,
        target: TargetId,
        actions: &mut Vec<CoordinatorAction>,
    ) {
        if let Some(waiting) = self.waiting.remove(&number) {
            let running = RunningAttempt {
                queue: waiting.queue,
                target: target.clone(),
                owner: from.clone(),
            };
            self.running.insert(number, running);
            let placement = Placement::Granted { target, owner: from.clone() };
            actions.push(CoordinatorAction::Place { number, placement });
        } else if let Some(running) = self.running.get(&number)
            && running.owner != *from
        {
            // Another owner has already granted the attempt: release the slot of the second grant.
            let report = RunReport { end: RunEnd::Unused, elapsed: Duration::ZERO };
            let message = PeerMessage::Ended { queue: running.queue.clone(), number, report };
            self.send_or_handle(now, from.clone(), message, actions);
        }
    }

    fn dispatcher(&mut self, now: Instant, from: &NodeId, queue: &str) -> &mut Dispatcher {
        self.last_seen.insert((queue.to_string(), from.clone()), now);
        let (targets, signals, cold_starts) = (&self.targets, &self.signals, &self.cold_starts);
        self.dispatchers.entry(queue.to_string()).or_insert_with(|| {
            let mut dispatcher = Dispatcher::new();
            let cold_starts = cold_starts.get(service_of(queue)).cloned().unwrap_or_default();
            dispatcher.set_cold_starts(now, cold_starts);
            let targets = targets.get(queue).cloned().unwrap_or_default();
            // A dispatcher without attempts makes no decisions.
            dispatcher.set_targets(now, targets.clone(), &mut Vec::new());
            for target in targets {
                if let Some(limit) = signals.limit(&target.id, target.started_unix_ms) {
                    dispatcher.set_limit(now, &target.id, limit, &mut Vec::new());
                }
                if let Some(named) = signals.brittleness(&target.id, target.started_unix_ms) {
                    dispatcher.set_brittleness(&target.id, named);
                }
            }
            dispatcher
        })
    }

    fn send_decisions(
        &mut self,
        now: Instant,
        decisions: Vec<Decision>,
        actions: &mut Vec<CoordinatorAction>,
    ) {
        for decision in decisions {
            let (to, message) = match decision {
                Decision::Grant { key, target } => {
                    (key.node, PeerMessage::Granted { number: key.number, target })
                }
                Decision::Refuse { key, retry_after, predicted_wait, refusal } => {
                    let message = PeerMessage::Refused {
                        number: key.number,
                        retry_after_ms: retry_after.as_millis() as u32,
                        predicted_wait_ms: predicted_wait.as_millis() as u32,
                        urgent_wait_ms: refusal.urgent_wait.as_millis() as u32,
                        own_wait_ms: refusal.own_wait.as_millis() as u32,
                        has_place: refusal.has_place,
                    };
                    (key.node, message)
                }
            };
            self.send_or_handle(now, to, message, actions);
        }
    }

    fn send_statuses(&mut self, now: Instant, actions: &mut Vec<CoordinatorAction>) {
        let period = self.status_period();
        let due: Vec<String> = self
            .last_status
            .iter()
            .filter(|(_, (_, sent))| now.saturating_duration_since(*sent) >= period)
            .map(|(queue, _)| queue.clone())
            .collect();
        for queue in due {
            let owner = self.owner(now, &queue, actions);
            self.send_status(now, &queue, &owner, actions);
        }
    }

    fn status_period(&self) -> Duration {
        MIN_STATUS_PERIOD.max(STATUS_PERIOD_PER_NODE * self.members.len() as u32)
    }

    fn send_status(
        &mut self,
        now: Instant,
        queue: &str,
        owner: &NodeId,
        actions: &mut Vec<CoordinatorAction>,
    ) {
        self.last_status.insert(queue.to_string(), (owner.clone(), now));
        let waiting: Vec<JobNumber> = self
            .waiting
            .iter()
            .filter(|(_, waiting)| waiting.queue == queue)
            .map(|(number, _)| *number)
            .take(STATUS_LIMIT)
            .collect();
        let mut running = Vec::new();
        for (number, run) in &mut self.running {
            if run.queue == queue && running.len() < STATUS_LIMIT {
                run.owner.clone_from(owner);
                running.push((*number, run.target.clone()));
            }
        }
        let mut limits = self.limit_notices(now, queue);
        let mut closures = self.closure_notices(now, queue);
        let mut brittle = self.brittleness_notices(now, queue);
        // Long names of targets can make the message too long to be decoded. What is left out is only known to the owner later.
        let run_bytes: usize =
            running.iter().map(|(_, target)| target.len() + STATUS_ENTRY_BYTES).sum();
        let numbers = queue.len() + waiting.len() * STATUS_ENTRY_BYTES + run_bytes;
        let mut free = MAX_STATUS_BYTES.saturating_sub(numbers);
        let mut fits = |target: &TargetId| {
            let length = target.len() + STATUS_ENTRY_BYTES * 2;
            let fits = length <= free;
            free = free.saturating_sub(length);
            fits
        };
        closures.retain(|notice| fits(&notice.target));
        limits.retain(|notice| fits(&notice.target));
        brittle.retain(|notice| fits(&notice.target));
        let queue = queue.to_string();
        let message = PeerMessage::Status { queue, waiting, running, limits, closures, brittle };
        self.send_or_handle(now, owner.clone(), message, actions);
    }

    /// Frees the slots of nodes that have stopped sending messages, because they died or selected another owner.
    fn remove_silent_nodes(&mut self, now: Instant, actions: &mut Vec<CoordinatorAction>) {
        let timeout = MIN_NODE_TIMEOUT.max(self.status_period() * NODE_TIMEOUT_STATUSES);
        let unresponsive: Vec<(String, NodeId)> = self
            .last_seen
            .iter()
            .filter(|(_, last_seen)| now.saturating_duration_since(**last_seen) > timeout)
            .map(|(key, _)| key.clone())
            .collect();
        for (queue, node) in unresponsive {
            self.last_seen.remove(&(queue.clone(), node.clone()));
            let mut decisions = Vec::new();
            if let Some(dispatcher) = self.dispatchers.get_mut(&queue) {
                dispatcher.forget_node(now, &node, &mut decisions);
            }
            self.send_decisions(now, decisions, actions);
        }
    }
}

fn queue_name(service: &str, index: usize) -> String {
    format!("{service}/{index}")
}

/// Returns the service of a queue.
fn service_of(queue: &str) -> &str {
    queue.rsplit_once('/').map_or(queue, |(service, _)| service)
}

fn decode_job(now: Instant, key: JobKey, job: &WireJob) -> Job {
    let arrived = now.checked_sub(Duration::from_millis(u64::from(job.waited_ms))).unwrap_or(now);
    Job {
        key,
        kind: job.kind,
        rank: job.rank,
        arrived,
        objective: arrived + Duration::from_millis(u64::from(job.objective_ms)),
        deadline: arrived + Duration::from_millis(u64::from(job.deadline_ms)),
        // Arithmetic with a size that is not a number would spread to the predictions for all attempts.
        relative_size: Some(f64::from(job.relative_size))
            .filter(|size| size.is_finite())
            .unwrap_or(1.0),
        prompt_tokens: job.prompt_tokens,
        prompt_parts: job.prompt_parts.clone(),
        zone: job.zone.clone(),
        excluded: job.excluded.clone(),
        is_retry: job.is_retry,
        version: job.version.clone(),
        avoided_version: job.avoided_version.clone(),
        suspects: job.suspects.clone(),
        home_zones: job.home_zones.clone(),
        organisation: job.organisation,
        weight: job.weight,
        caller: job.caller,
        place: None,
    }
}
