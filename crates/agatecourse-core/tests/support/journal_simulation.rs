use super::faulty_table::FaultyTable;
use super::schedule::{CallerRequest, Fault, NODES, Schedule};
use super::sim_node::SimNode;
use super::{InjectedBug, SHARDS};
use agatecourse_core::request::journal::*;
use agatecourse_history::{HistoryEvent, Record};
use agatecourse_types::RequestId;
use agatecourse_wire::request::{Reservation, ReserveReply, ReserveResult};
use agatecourse_wire::{Envelope, PeerMessage, decode_stream, encode_stream};
use rand_chacha::ChaCha8Rng;
use rand_core::{Rng, SeedableRng};
use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

/// From this time on no faults are injected and no messages are lost or duplicated.
pub(super) const FAULTS_END_MS: u64 = 25_000;
const END_MS: u64 = 45_000;
const BODY_HASH: u64 = 1;

/// Event of the simulation, scheduled at a virtual time.
#[derive(Debug, Clone)]
pub(super) enum SimEvent {
    MessageArrives {
        node: usize,
        bytes: Vec<u8>,
    },
    TableRequestArrives {
        node: usize,
        incarnation: u64,
        shard: u32,
        call: TableCallId,
        request: TableRequest,
    },
    TableRequestDelayed {
        request: TableRequest,
    },
    TableResponseArrives {
        node: usize,
        incarnation: u64,
        shard: u32,
        call: TableCallId,
        result: TableResult,
    },
    Wake {
        node: usize,
    },
    CallerRequestArrives {
        request: CallerRequest,
    },
    TargetRunsRequest {
        node: usize,
        incarnation: u64,
        request_id: RequestId,
    },
    TargetResponseArrives {
        node: usize,
        incarnation: u64,
        request_id: RequestId,
    },
    InjectFault(Fault),
    Resume {
        node: usize,
    },
    Restart {
        node: usize,
    },
    Reconnect {
        node: usize,
    },
    ViewChange {
        node: usize,
        subject: usize,
        live: bool,
    },
}

/// Simulates a deployment in virtual time: nodes, a network that loses, duplicates and reorders messages, a table with
/// faults and a service.
pub struct JournalSimulation {
    pub(super) start: Instant,
    pub(super) now_us: u64,
    sequence: u64,
    queue: BTreeMap<(u64, u64), SimEvent>,
    rng: ChaCha8Rng,
    pub(super) schedule: Schedule,
    bug: InjectedBug,
    pub(super) nodes: Vec<SimNode>,
    deferred: Vec<Vec<SimEvent>>,
    pub(super) cut_until_us: Vec<u64>,
    pub(super) table: FaultyTable,
    next_request: RequestId,
    pub history: Vec<Record>,
    /// Requests that were sent after the last fault and must be answered.
    pub recovery_requests: BTreeSet<RequestId>,
}

impl JournalSimulation {
    pub fn new(schedule: &Schedule, bug: InjectedBug) -> Self {
        let start = Instant::now();
        let names: BTreeSet<String> = (0..NODES).map(node_name).collect();
        let nodes = names.iter().map(|name| SimNode::new(name, 1, start, names.clone())).collect();
        let mut simulation = Self {
            start,
            now_us: 0,
            sequence: 0,
            queue: BTreeMap::new(),
            rng: ChaCha8Rng::seed_from_u64(schedule.seed),
            schedule: schedule.clone(),
            bug,
            nodes,
            deferred: vec![Vec::new(); NODES],
            cut_until_us: vec![0; NODES],
            table: FaultyTable::default(),
            next_request: 1,
            history: Vec::new(),
            recovery_requests: BTreeSet::new(),
        };
        simulation.schedule_events();
        simulation
    }

    fn schedule_events(&mut self) {
        for (at_ms, fault) in self.schedule.faults.clone() {
            self.at(at_ms * 1000, SimEvent::InjectFault(fault));
        }
        for request in self.schedule.caller_requests.clone() {
            self.at(request.at_ms * 1000, SimEvent::CallerRequestArrives { request });
        }
        for node in 0..NODES {
            let (at_ms, key, deadline_ms) = (FAULTS_END_MS + 5_000, 100 + node, 8_000);
            let request = CallerRequest { at_ms, node, key, deadline_ms };
            self.at(at_ms * 1000, SimEvent::CallerRequestArrives { request });
            // Once messages arrive again, each node sees all others as live.
            self.at(FAULTS_END_MS * 1000, SimEvent::Reconnect { node });
            self.apply_view(node);
        }
    }

    /// Runs all events up to the end time; `history` then holds the records in order of time.
    pub fn run(&mut self) {
        while let Some(((at_us, _), event)) = self.queue.pop_first() {
            if at_us > END_MS * 1000 {
                return;
            }
            self.now_us = at_us;
            self.handle(event);
        }
    }

    pub(super) fn now(&self) -> Instant {
        self.start + Duration::from_micros(self.now_us)
    }

    fn are_faults_over(&self) -> bool {
        self.now_us >= FAULTS_END_MS * 1000
    }

    /// Returns a random number from 0 up to, but not including, `below`.
    pub(super) fn draw(&mut self, below: u64) -> u64 {
        self.rng.next_u64() % below.max(1)
    }

    /// Returns true with the given probability, or always false once the faults are over.
    pub(super) fn draw_bool(&mut self, percent: u64) -> bool {
        !self.are_faults_over() && self.draw(100) < percent
    }

    pub(super) fn at(&mut self, at_us: u64, event: SimEvent) {
        self.sequence += 1;
        self.queue.insert((at_us, self.sequence), event);
    }

    pub(super) fn after(&mut self, delay_us: u64, event: SimEvent) {
        self.at(self.now_us + delay_us, event);
    }

    pub(super) fn record(&mut self, writer: &str, event: HistoryEvent) {
        self.history.push(Record::new(self.now_us, writer, event));
    }

    fn handle(&mut self, event: SimEvent) {
        if let Some(node) = recipient(&event)
            && self.nodes[node].paused
        {
            self.deferred[node].push(event);
            return;
        }
        match event {
            SimEvent::MessageArrives { node, bytes } => self.deliver(node, &bytes),
            SimEvent::TableRequestArrives { node, incarnation, shard, call, request } => {
                self.handle_table_request(node, incarnation, shard, call, &request);
            }
            SimEvent::TableRequestDelayed { request } => {
                self.table.rows.apply(&request);
            }
            SimEvent::TableResponseArrives { node, incarnation, shard, call, result } => {
                if self.nodes[node].alive && self.nodes[node].incarnation == incarnation {
                    let now = self.now();
                    let event = JournalEvent::TableResponse { call, result };
                    let actions = self.nodes[node].shard_event(now, shard, event);
                    self.perform(node, actions, Vec::new());
                }
            }
            SimEvent::Wake { node } => {
                self.nodes[node].wake_at_us = u64::MAX;
                let now = self.now();
                let (shard_actions, client_actions) = self.nodes[node].tick(now);
                self.perform(node, shard_actions, client_actions);
            }
            SimEvent::CallerRequestArrives { request } => self.handle_caller_request(&request),
            SimEvent::TargetRunsRequest { node, incarnation, request_id } => {
                let target = "depot".to_string();
                self.record("depot", HistoryEvent::Ran { request_id, target });
                let answer_hash = request_id as u64;
                self.record("depot", HistoryEvent::Produced { request_id, answer_hash });
                let delay_us = 2_000 + self.draw(300_000);
                self.after(
                    delay_us,
                    SimEvent::TargetResponseArrives { node, incarnation, request_id },
                );
            }
            SimEvent::TargetResponseArrives { node, incarnation, request_id } => {
                if self.nodes[node].alive && self.nodes[node].incarnation == incarnation {
                    self.handle_target_response(node, request_id);
                }
            }
            SimEvent::InjectFault(fault) => self.inject(&fault),
            SimEvent::Resume { node } => {
                self.nodes[node].paused = false;
                for deferred in std::mem::take(&mut self.deferred[node]) {
                    self.after(0, deferred);
                }
            }
            SimEvent::Restart { node } => self.restart(node),
            SimEvent::Reconnect { node } => {
                let names: BTreeSet<String> = (0..NODES).map(node_name).collect();
                self.nodes[node].view = names;
                self.apply_view(node);
            }
            SimEvent::ViewChange { node, subject, live } => {
                let name = node_name(subject);
                let view = &mut self.nodes[node].view;
                if live || node == subject {
                    view.insert(name);
                } else {
                    view.remove(&name);
                    self.report_node_gone(node, subject);
                }
                self.apply_view(node);
            }
        }
    }

    /// Reports to the shards of a node that another node is dead, which may be wrong.
    fn report_node_gone(&mut self, node: usize, subject: usize) {
        if self.nodes[node].alive {
            let now = self.now();
            for shard in 0..SHARDS {
                let event = JournalEvent::NodeGone { node: node_name(subject) };
                let actions = self.nodes[node].shard_event(now, shard, event);
                self.perform(node, actions, Vec::new());
            }
        }
    }

    pub(super) fn apply_view(&mut self, node: usize) {
        if self.nodes[node].alive {
            let now = self.now();
            let actions = self.nodes[node].apply_view(now);
            self.perform(node, actions, Vec::new());
        }
    }

    fn handle_caller_request(&mut self, request: &CallerRequest) {
        let node = request.node;
        if !self.nodes[node].alive {
            return;
        }
        let request_id = self.next_request;
        self.next_request += 1;
        if self.are_faults_over() {
            self.recovery_requests.insert(request_id);
        }
        let key = format!("org/{}", request.key);
        self.record(
            &node_name(node),
            HistoryEvent::Accepted {
                request_id,
                route: "orders".to_string(),
                idempotent: false,
                key: Some(key.clone()),
                body_hash: BODY_HASH,
            },
        );
        let deadline_in = Duration::from_millis(request.deadline_ms);
        let reservation = Reservation { request_id, key, body_hash: BODY_HASH, deadline_in };
        let mut actions = Vec::new();
        let now = self.now();
        self.nodes[node].client.reserve(now, reservation, &mut actions);
        self.perform(node, Vec::new(), actions);
    }

    pub(super) fn perform(
        &mut self,
        node: usize,
        shard_actions: Vec<(u32, JournalAction)>,
        client_actions: Vec<ReservationAction>,
    ) {
        for (shard, action) in shard_actions {
            self.perform_shard_action(node, shard, action);
        }
        for action in client_actions {
            self.perform_client_action(node, action);
        }
        if let Some(at) = self.nodes[node].next_wakeup() {
            let at_us = (at.saturating_duration_since(self.start).as_micros() as u64 + 1)
                .max(self.now_us + 1);
            if at_us < self.nodes[node].wake_at_us {
                self.nodes[node].wake_at_us = at_us;
                self.at(at_us, SimEvent::Wake { node });
            }
        }
    }

    fn perform_shard_action(&mut self, node: usize, shard: u32, action: JournalAction) {
        match action {
            JournalAction::Table { call, request } => {
                self.inject_early_grant(node, shard, &request);
                let incarnation = self.nodes[node].incarnation;
                let latency_us = self.table.latency_us(self.now_us) + self.draw(3_000);
                let arrival =
                    SimEvent::TableRequestArrives { node, incarnation, shard, call, request };
                self.after(latency_us, arrival);
            }
            JournalAction::Reply { node: to, reply } => {
                self.send(node, &to, PeerMessage::ReserveReply { shard, reply });
            }
            JournalAction::Recorded { node: to, request_id } => {
                self.send(node, &to, PeerMessage::Recorded { shard, request_id });
            }
            JournalAction::OwnershipLost => {}
            JournalAction::UnreadableRow { error } => panic!("{error}"),
        }
    }

    /// Sends `Granted` for the intents of a commit before the commit, if this bug is injected.
    fn inject_early_grant(&mut self, node: usize, shard: u32, request: &TableRequest) {
        let TableRequest::Commit { writes, .. } = request else { return };
        if self.bug != InjectedBug::AnswerBeforeCommit {
            return;
        }
        for write in writes {
            let TableWrite::Put { key, value } = write else { continue };
            let Ok(batch) = decode_row::<Batch>(key, value) else { continue };
            if !key.contains("/batch/") {
                continue;
            }
            for record in batch.records.into_iter().filter(|r| r.kind == RecordKind::Intent) {
                let reply =
                    ReserveReply { request_id: record.request_id, result: ReserveResult::Granted };
                self.send(node, &record.node, PeerMessage::ReserveReply { shard, reply });
            }
        }
    }

    /// Sends an encoded message, which may be lost, duplicated or delivered after later ones.
    pub(super) fn send(&mut self, from: usize, to: &str, message: PeerMessage) {
        let Some(node) = (0..NODES).find(|node| node_name(*node) == to) else { return };
        let incarnation = self.nodes[from].incarnation;
        let envelope = Envelope::new(node_name(from), incarnation).with_body(message);
        let bytes = encode_stream(&envelope)
            .expect("journal messages must not exceed the size limit of a stream message");
        let cut = self.cut_until_us[from].max(self.cut_until_us[node]) > self.now_us;
        if from != node && (cut || self.draw_bool(self.schedule.loss_percent)) {
            return;
        }
        let copies = if self.draw_bool(self.schedule.duplicate_percent) { 2 } else { 1 };
        for _ in 0..copies {
            let longest_us =
                if self.are_faults_over() { 2_000 } else { self.schedule.longest_delay_ms * 1000 };
            // One message in a hundred is delayed by up to 10 s and arrives after many later ones.
            let extra_delay_us = if self.draw_bool(1) { self.draw(10_000_000) } else { 0 };
            let delay_us = 100 + self.draw(longest_us) + extra_delay_us;
            self.after(delay_us, SimEvent::MessageArrives { node, bytes: bytes.clone() });
        }
    }

    fn deliver(&mut self, node: usize, bytes: &[u8]) {
        if self.nodes[node].alive {
            let envelope = decode_stream(bytes)
                .expect("the simulated network must deliver messages unchanged");
            let now = self.now();
            let (shard_actions, client_actions) =
                self.nodes[node].receive(now, &envelope.from, envelope.body);
            self.perform(node, shard_actions, client_actions);
        }
    }

    fn handle_table_request(
        &mut self,
        node: usize,
        incarnation: u64,
        shard: u32,
        call: TableCallId,
        request: &TableRequest,
    ) {
        let is_response_lost =
            self.table.responses_lost_until_us > self.now_us && self.draw_bool(50);
        let request_delay_us = 100_000 + self.draw(4_000_000);
        let is_delayed = is_response_lost && self.draw(2) == 0;
        let result = if is_delayed {
            self.after(
                request_delay_us,
                SimEvent::TableRequestDelayed { request: request.clone() },
            );
            TableResult::OutcomeUnknown
        } else {
            let result = self.table.answer(self.now_us, request, self.bug);
            if is_response_lost { TableResult::OutcomeUnknown } else { result }
        };
        let latency_us = 1_000 + self.draw(2_000);
        self.after(
            latency_us,
            SimEvent::TableResponseArrives { node, incarnation, shard, call, result },
        );
    }
}

/// Returns the node that handles an event, if any. While the node is paused the event is deferred.
fn recipient(event: &SimEvent) -> Option<usize> {
    match event {
        SimEvent::MessageArrives { node, .. }
        | SimEvent::TableResponseArrives { node, .. }
        | SimEvent::Wake { node }
        | SimEvent::TargetResponseArrives { node, .. }
        | SimEvent::ViewChange { node, .. }
        | SimEvent::Reconnect { node } => Some(*node),
        SimEvent::CallerRequestArrives { request } => Some(request.node),
        _ => None,
    }
}

pub(super) fn node_name(node: usize) -> String {
    format!("node-{node}")
}
