use super::faulty_table::FaultyTable;
use super::schedule::{Fault, NODES, Schedule, Send};
use super::sim_node::SimNode;
use super::{Plant, SHARDS};
use agatecourse_core::request::journal::*;
use agatecourse_history::{HistoryEvent, Record};
use agatecourse_types::RequestId;
use agatecourse_wire::request::{Reservation, ReserveReply, ReserveResult};
use agatecourse_wire::{Envelope, PeerMessage, decode_stream, encode_stream};
use rand_chacha::ChaCha8Rng;
use rand_core::{Rng, SeedableRng};
use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

/// From this time on nothing new goes wrong, and requests must succeed.
pub(super) const CALM_MS: u64 = 25_000;
const END_MS: u64 = 45_000;
const BODY_HASH: u64 = 1;

/// Something that happens at a time of the simulated run.
#[derive(Debug, Clone)]
pub(super) enum Happening {
    Deliver {
        node: usize,
        bytes: Vec<u8>,
    },
    TableArrives {
        node: usize,
        incarnation: u64,
        shard: u32,
        call: TableCallId,
        request: TableRequest,
    },
    TableLate {
        request: TableRequest,
    },
    TableAnswers {
        node: usize,
        incarnation: u64,
        shard: u32,
        call: TableCallId,
        result: TableResult,
    },
    Wake {
        node: usize,
    },
    CallerSends {
        send: Send,
    },
    TargetRuns {
        node: usize,
        incarnation: u64,
        request_id: RequestId,
    },
    TargetAnswers {
        node: usize,
        incarnation: u64,
        request_id: RequestId,
    },
    Fault(Fault),
    Resume {
        node: usize,
    },
    Restart {
        node: usize,
    },
    Reconnect {
        node: usize,
    },
    View {
        node: usize,
        subject: usize,
        live: bool,
    },
}

/// Deployment in virtual time: nodes, an unkind network, a table with faults and a service.
pub struct JournalWorld {
    pub(super) start: Instant,
    pub(super) now_us: u64,
    sequence: u64,
    queue: BTreeMap<(u64, u64), Happening>,
    rng: ChaCha8Rng,
    pub(super) schedule: Schedule,
    plant: Plant,
    pub(super) nodes: Vec<SimNode>,
    held: Vec<Vec<Happening>>,
    pub(super) cut_until_us: Vec<u64>,
    pub(super) table: FaultyTable,
    next_request: RequestId,
    pub history: Vec<Record>,
    /// Requests that were sent in the calm period at the end.
    pub calm_requests: BTreeSet<RequestId>,
}

impl JournalWorld {
    pub fn new(schedule: &Schedule, plant: Plant) -> Self {
        let start = Instant::now();
        let names: BTreeSet<String> = (0..NODES).map(node_name).collect();
        let nodes = names.iter().map(|name| SimNode::new(name, 1, start, names.clone())).collect();
        let mut world = Self {
            start,
            now_us: 0,
            sequence: 0,
            queue: BTreeMap::new(),
            rng: ChaCha8Rng::seed_from_u64(schedule.seed),
            schedule: schedule.clone(),
            plant,
            nodes,
            held: vec![Vec::new(); NODES],
            cut_until_us: vec![0; NODES],
            table: FaultyTable::default(),
            next_request: 1,
            history: Vec::new(),
            calm_requests: BTreeSet::new(),
        };
        world.plan();
        world
    }

    fn plan(&mut self) {
        for (at_ms, fault) in self.schedule.faults.clone() {
            self.at(at_ms * 1000, Happening::Fault(fault));
        }
        for send in self.schedule.sends.clone() {
            self.at(send.at_ms * 1000, Happening::CallerSends { send });
        }
        for node in 0..NODES {
            let (at_ms, key, deadline_ms) = (CALM_MS + 5_000, 100 + node, 8_000);
            let send = Send { at_ms, node, key, deadline_ms };
            self.at(at_ms * 1000, Happening::CallerSends { send });
            // Membership converges once messages arrive again.
            self.at(CALM_MS * 1000, Happening::Reconnect { node });
            self.apply_view(node);
        }
    }

    /// Runs to the end and returns the history in order of time.
    pub fn run(&mut self) {
        while let Some(((at_us, _), happening)) = self.queue.pop_first() {
            if at_us > END_MS * 1000 {
                return;
            }
            self.now_us = at_us;
            self.handle(happening);
        }
    }

    pub(super) fn now(&self) -> Instant {
        self.start + Duration::from_micros(self.now_us)
    }

    fn calm(&self) -> bool {
        self.now_us >= CALM_MS * 1000
    }

    pub(super) fn draw(&mut self, below: u64) -> u64 {
        self.rng.next_u64() % below.max(1)
    }

    pub(super) fn chance(&mut self, percent: u64) -> bool {
        !self.calm() && self.draw(100) < percent
    }

    pub(super) fn at(&mut self, at_us: u64, happening: Happening) {
        self.sequence += 1;
        self.queue.insert((at_us, self.sequence), happening);
    }

    pub(super) fn after(&mut self, delay_us: u64, happening: Happening) {
        self.at(self.now_us + delay_us, happening);
    }

    pub(super) fn record(&mut self, writer: &str, event: HistoryEvent) {
        self.history.push(Record::new(self.now_us, writer, event));
    }

    fn handle(&mut self, happening: Happening) {
        if let Some(node) = recipient(&happening)
            && self.nodes[node].paused
        {
            self.held[node].push(happening);
            return;
        }
        match happening {
            Happening::Deliver { node, bytes } => self.deliver(node, &bytes),
            Happening::TableArrives { node, incarnation, shard, call, request } => {
                self.table_arrives(node, incarnation, shard, call, &request);
            }
            Happening::TableLate { request } => {
                self.table.rows.apply(&request);
            }
            Happening::TableAnswers { node, incarnation, shard, call, result } => {
                if self.nodes[node].alive && self.nodes[node].incarnation == incarnation {
                    let now = self.now();
                    let event = JournalEvent::TableResponse { call, result };
                    let actions = self.nodes[node].shard_event(now, shard, event);
                    self.perform(node, actions, Vec::new());
                }
            }
            Happening::Wake { node } => {
                self.nodes[node].wake_at_us = u64::MAX;
                let now = self.now();
                let (shard_actions, client_actions) = self.nodes[node].tick(now);
                self.perform(node, shard_actions, client_actions);
            }
            Happening::CallerSends { send } => self.caller_sends(&send),
            Happening::TargetRuns { node, incarnation, request_id } => {
                let target = "depot".to_string();
                self.record("depot", HistoryEvent::Ran { request_id, target });
                let answer_hash = request_id as u64;
                self.record("depot", HistoryEvent::Produced { request_id, answer_hash });
                let delay_us = 2_000 + self.draw(300_000);
                self.after(delay_us, Happening::TargetAnswers { node, incarnation, request_id });
            }
            Happening::TargetAnswers { node, incarnation, request_id } => {
                if self.nodes[node].alive && self.nodes[node].incarnation == incarnation {
                    self.target_answers(node, request_id);
                }
            }
            Happening::Fault(fault) => self.inject(&fault),
            Happening::Resume { node } => {
                self.nodes[node].paused = false;
                for held in std::mem::take(&mut self.held[node]) {
                    self.after(0, held);
                }
            }
            Happening::Restart { node } => self.restart(node),
            Happening::Reconnect { node } => {
                let names: BTreeSet<String> = (0..NODES).map(node_name).collect();
                self.nodes[node].view = names;
                self.apply_view(node);
            }
            Happening::View { node, subject, live } => {
                let name = node_name(subject);
                let view = &mut self.nodes[node].view;
                if live || node == subject {
                    view.insert(name);
                } else {
                    view.remove(&name);
                    self.declare_gone(node, subject);
                }
                self.apply_view(node);
            }
        }
    }

    /// Tells the shards of a node that another one is dead, which may be false.
    fn declare_gone(&mut self, node: usize, subject: usize) {
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

    fn caller_sends(&mut self, send: &Send) {
        let node = send.node;
        if !self.nodes[node].alive {
            return;
        }
        let request_id = self.next_request;
        self.next_request += 1;
        if self.calm() {
            self.calm_requests.insert(request_id);
        }
        let key = format!("org/{}", send.key);
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
        let deadline_in = Duration::from_millis(send.deadline_ms);
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
            self.perform_shard(node, shard, action);
        }
        for action in client_actions {
            self.perform_client(node, action);
        }
        if let Some(at) = self.nodes[node].next_wakeup() {
            let at_us = (at.saturating_duration_since(self.start).as_micros() as u64 + 1)
                .max(self.now_us + 1);
            if at_us < self.nodes[node].wake_at_us {
                self.nodes[node].wake_at_us = at_us;
                self.at(at_us, Happening::Wake { node });
            }
        }
    }

    fn perform_shard(&mut self, node: usize, shard: u32, action: JournalAction) {
        match action {
            JournalAction::Table { call, request } => {
                self.grant_early(node, shard, &request);
                let incarnation = self.nodes[node].incarnation;
                let latency_us = self.table.latency_us(self.now_us) + self.draw(3_000);
                let arrival = Happening::TableArrives { node, incarnation, shard, call, request };
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

    /// Planted fault: the owner answers before its commit.
    fn grant_early(&mut self, node: usize, shard: u32, request: &TableRequest) {
        let TableRequest::Commit { writes, .. } = request else { return };
        if self.plant != Plant::AnswerBeforeCommit {
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

    /// Sends an encoded message that may be lost, repeated and overtaken by later ones.
    pub(super) fn send(&mut self, from: usize, to: &str, message: PeerMessage) {
        let Some(node) = (0..NODES).find(|node| node_name(*node) == to) else { return };
        let incarnation = self.nodes[from].incarnation;
        let envelope = Envelope::new(node_name(from), incarnation).with_body(message);
        let bytes = encode_stream(&envelope).expect("journal messages fit a stream message");
        let cut = self.cut_until_us[from].max(self.cut_until_us[node]) > self.now_us;
        if from != node && (cut || self.chance(self.schedule.loss_percent)) {
            return;
        }
        let copies = if self.chance(self.schedule.duplicate_percent) { 2 } else { 1 };
        for _ in 0..copies {
            let longest_us =
                if self.calm() { 2_000 } else { self.schedule.longest_delay_ms * 1000 };
            // One message in a hundred is overtaken by many later ones.
            let stuck_us = if self.chance(1) { self.draw(10_000_000) } else { 0 };
            let delay_us = 100 + self.draw(longest_us) + stuck_us;
            self.after(delay_us, Happening::Deliver { node, bytes: bytes.clone() });
        }
    }

    fn deliver(&mut self, node: usize, bytes: &[u8]) {
        if self.nodes[node].alive {
            let envelope = decode_stream(bytes).expect("the network does not change bytes");
            let now = self.now();
            let (shard_actions, client_actions) =
                self.nodes[node].receive(now, &envelope.from, envelope.body);
            self.perform(node, shard_actions, client_actions);
        }
    }

    fn table_arrives(
        &mut self,
        node: usize,
        incarnation: u64,
        shard: u32,
        call: TableCallId,
        request: &TableRequest,
    ) {
        let lossy = self.table.losing_until_us > self.now_us && self.chance(50);
        let late_us = 100_000 + self.draw(4_000_000);
        let late = lossy && self.draw(2) == 0;
        let result = if late {
            self.after(late_us, Happening::TableLate { request: request.clone() });
            TableResult::OutcomeUnknown
        } else {
            let result = self.table.answer(self.now_us, request, self.plant);
            if lossy { TableResult::OutcomeUnknown } else { result }
        };
        let latency_us = 1_000 + self.draw(2_000);
        self.after(latency_us, Happening::TableAnswers { node, incarnation, shard, call, result });
    }
}

/// Returns the node whose execution a happening needs; held back while the node is paused.
fn recipient(happening: &Happening) -> Option<usize> {
    match happening {
        Happening::Deliver { node, .. }
        | Happening::TableAnswers { node, .. }
        | Happening::Wake { node }
        | Happening::TargetAnswers { node, .. }
        | Happening::View { node, .. }
        | Happening::Reconnect { node } => Some(*node),
        Happening::CallerSends { send } => Some(send.node),
        _ => None,
    }
}

pub(super) fn node_name(node: usize) -> String {
    format!("node-{node}")
}
