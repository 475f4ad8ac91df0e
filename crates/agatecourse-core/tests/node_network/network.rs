use super::node::{Node, NodeOutput};
use agatecourse_core::process::ConfigEvent;
use agatecourse_types::ConfigVersion;
use agatecourse_wire::{
    PeerMessage, decode_datagram, decode_stream, encode_datagram, encode_stream,
};
use rand_chacha::ChaCha8Rng;
use rand_core::{Rng, SeedableRng};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Interval of the timer that drives each node.
const TICK_INTERVAL: Duration = Duration::from_millis(50);
const CALL_TIMEOUT: Duration = Duration::from_secs(1);
/// First retransmission timeout of the stream transport; it doubles with each loss.
const RETRANSMISSION_TIMEOUT: Duration = Duration::from_millis(100);
/// Messages that the operating system buffers for a paused process; further ones are dropped.
const MAX_PAUSED_MESSAGES: usize = 200;

/// Faults of the network between nodes.
#[derive(Debug, Clone, Copy)]
pub struct Faults {
    pub loss_percent: u32,
    pub duplicate_percent: u32,
    /// Longest delay of a message. Delays are random, so messages are reordered.
    pub delay_ms: u32,
}

impl Faults {
    pub const NONE: Self = Self { loss_percent: 0, duplicate_percent: 0, delay_ms: 2 };
}

#[derive(Debug, Clone)]
enum NetworkEvent {
    Tick { node: usize },
    Datagram { from: usize, to: usize, bytes: Vec<u8> },
    Call { from: usize, to: usize, bytes: Vec<u8> },
    Response { from: usize, to: usize, bytes: Vec<u8> },
    CallFailed { node: usize, address: SocketAddr },
    TableResponse { node: usize, response: ConfigEvent },
}

/// Simulated nodes and the network between them. Runs with equal seeds are identical.
pub struct Network {
    pub now: Instant,
    pub nodes: Vec<Option<Node>>,
    pub faults: Faults,
    /// Partition of each node; nodes in different partitions can't reach each other.
    pub partitions: Vec<u8>,
    /// Current configuration in the table.
    pub table: Option<(ConfigVersion, String)>,
    pub table_is_up: bool,
    /// Messages sent by all nodes, including lost ones.
    pub messages: u64,
    /// Payload bytes sent by all nodes, including those of lost messages.
    pub bytes: u64,
    start: Instant,
    /// Buffered messages of each paused node.
    paused: Vec<Option<Vec<NetworkEvent>>>,
    queue: BTreeMap<(Instant, u64), NetworkEvent>,
    scheduled_events: u64,
    rng: ChaCha8Rng,
}

impl Network {
    pub fn new(size: usize, seed: u64, faults: Faults) -> Self {
        let now = Instant::now();
        let mut network = Self {
            now,
            nodes: (0..size).map(|_| None).collect(),
            faults,
            partitions: vec![0; size],
            table: None,
            table_is_up: true,
            messages: 0,
            bytes: 0,
            start: now,
            paused: vec![None; size],
            queue: BTreeMap::new(),
            scheduled_events: 0,
            rng: ChaCha8Rng::seed_from_u64(seed),
        };
        for index in 0..size {
            let offset = TICK_INTERVAL * (network.random(1_000)) / 1_000;
            network.schedule(offset, NetworkEvent::Tick { node: index });
        }
        network
    }

    /// Creates a network of running nodes and gives them 5 s to join.
    pub fn with_joined_nodes(size: usize, seed: u64, faults: Faults) -> Self {
        let mut network = Self::new(size, seed, faults);
        (0..size).for_each(|index| network.start_node(index));
        network.run(Duration::from_secs(5));
        network
    }

    /// Returns the messages and bytes that a node sends per second, averaged over one minute that begins `settle`
    /// after all nodes start at the same time.
    pub fn traffic_per_node(
        size: usize,
        seed: u64,
        settle: Duration,
        faults: Faults,
    ) -> (f64, f64) {
        let mut network = Self::new(size, seed, faults);
        (0..size).for_each(|index| network.start_node(index));
        network.run(settle);
        let (messages, bytes) = (network.messages, network.bytes);
        let minute = Duration::from_mins(1);
        network.run(minute);
        let per_node = |total: u64| total as f64 / (size as f64 * minute.as_secs_f64());
        (per_node(network.messages - messages), per_node(network.bytes - bytes))
    }

    pub fn name(index: usize) -> String {
        format!("node-{index}")
    }

    pub fn address(index: usize) -> SocketAddr {
        let port = 10_000 + u16::try_from(index).expect("the port of each node fits u16");
        SocketAddr::from(([127, 0, 0, 1], port))
    }

    /// Starts a node process, or restarts it if it runs. The first three nodes are the seeds.
    pub fn start_node(&mut self, index: usize) {
        let incarnation = 1_000_000
            + u64::try_from((self.now - self.start).as_micros())
                .expect("the run time in microseconds fits u64");
        let seeds = (0..self.nodes.len().min(3)).map(Self::address).collect();
        let seed = self.rng.next_u64();
        let (name, address) = (Self::name(index), Self::address(index));
        let node = Node::start(&name, address, seeds, incarnation, self.now, seed);
        self.nodes[index] = Some(node);
        self.paused[index] = None;
    }

    pub fn kill_node(&mut self, index: usize) {
        self.nodes[index] = None;
        self.paused[index] = None;
    }

    pub fn pause_node(&mut self, index: usize) {
        self.paused[index] = Some(Vec::new());
    }

    /// Resumes a paused process; the messages buffered in the meantime arrive immediately.
    pub fn resume_node(&mut self, index: usize) {
        for event in self.paused[index].take().unwrap_or_default() {
            self.schedule(Duration::ZERO, event);
        }
    }

    pub fn put_config(&mut self, version: ConfigVersion) {
        self.table = Some((version, super::config_text(&format!("v{version}"))));
    }

    /// Returns the nodes that are neither stopped nor paused, with their indices.
    pub fn running(&self) -> impl Iterator<Item = (usize, &Node)> {
        self.nodes
            .iter()
            .enumerate()
            .filter(|(index, _)| self.paused[*index].is_none())
            .filter_map(|(index, node)| Some((index, node.as_ref()?)))
    }

    /// Calls `act` on one node and sends the messages that it returns.
    pub fn with_node(
        &mut self,
        index: usize,
        act: impl FnOnce(&mut Node, Instant) -> Vec<NodeOutput>,
    ) {
        let now = self.now;
        let outputs = self.nodes[index].as_mut().map(|node| act(node, now)).unwrap_or_default();
        for output in outputs {
            self.send(index, output);
        }
    }

    pub fn run(&mut self, duration: Duration) {
        let end = self.now + duration;
        while let Some(entry) = self.queue.first_entry().filter(|entry| entry.key().0 <= end) {
            let ((at, _), event) = entry.remove_entry();
            self.now = at;
            self.handle_event(event);
        }
        self.now = end;
    }

    /// Runs until the condition holds and returns the elapsed simulated time, or an error after `limit`.
    pub fn run_until(
        &mut self,
        limit: Duration,
        condition: impl Fn(&Self) -> bool,
    ) -> Result<Duration, String> {
        let started = self.now;
        while !condition(self) {
            if self.now - started >= limit {
                return Err(format!("condition does not hold after {limit:?} of simulated time"));
            }
            self.run(Duration::from_millis(20));
        }
        Ok(self.now - started)
    }

    pub fn random(&mut self, below: u32) -> u32 {
        self.rng.next_u32() % below.max(1)
    }

    fn schedule(&mut self, delay: Duration, event: NetworkEvent) {
        self.scheduled_events += 1;
        self.queue.insert((self.now + delay, self.scheduled_events), event);
    }

    fn handle_event(&mut self, event: NetworkEvent) {
        let index = match &event {
            NetworkEvent::Tick { node }
            | NetworkEvent::CallFailed { node, .. }
            | NetworkEvent::TableResponse { node, .. } => *node,
            NetworkEvent::Datagram { to, .. }
            | NetworkEvent::Call { to, .. }
            | NetworkEvent::Response { to, .. } => *to,
        };
        if let NetworkEvent::Tick { .. } = event {
            self.schedule(TICK_INTERVAL, event.clone());
        }
        if let Some(buffer) = &mut self.paused[index] {
            if !matches!(event, NetworkEvent::Tick { .. }) && buffer.len() < MAX_PAUSED_MESSAGES {
                buffer.push(event);
            }
            return;
        }
        match event {
            NetworkEvent::Tick { node } => self.with_node(node, Node::tick),
            NetworkEvent::Datagram { from, to, bytes } => {
                let envelope = decode_datagram(&bytes).expect("the bytes were encoded by a node");
                self.with_node(to, |node, now| node.receive(now, Self::address(from), &envelope));
            }
            NetworkEvent::Response { from, to, bytes } => {
                let envelope = decode_stream(&bytes).expect("the bytes were encoded by a node");
                self.with_node(to, |node, now| node.receive(now, Self::address(from), &envelope));
            }
            NetworkEvent::Call { from, to, bytes } => self.handle_call(from, to, &bytes),
            NetworkEvent::CallFailed { node, address } => {
                self.with_node(node, |node, now| {
                    node.config_event(now, ConfigEvent::CallFailed { address })
                });
            }
            NetworkEvent::TableResponse { node, response } => {
                self.with_node(node, |node, now| node.config_event(now, response));
            }
        }
    }

    fn handle_call(&mut self, from: usize, to: usize, bytes: &[u8]) {
        let envelope = decode_stream(bytes).expect("the bytes were encoded by a node");
        let response = self.nodes[to].as_mut().and_then(|node| {
            let body = node.on_call(&envelope)?;
            Some(node.membership.envelope(body))
        });
        if let Some(response) = response {
            let bytes = encode_stream(&response).expect("a response within the size limit");
            self.transmit(to, from, &bytes, |bytes| NetworkEvent::Response {
                from: to,
                to: from,
                bytes,
            });
        } else {
            let address = Self::address(to);
            self.schedule(CALL_TIMEOUT, NetworkEvent::CallFailed { node: from, address });
        }
    }

    fn send(&mut self, from: usize, output: NodeOutput) {
        let index = |address: SocketAddr| usize::from(address.port() - 10_000);
        let encode = |network: &Self, message: PeerMessage| {
            network.nodes[from].as_ref().expect("the sender runs").membership.envelope(message)
        };
        match output {
            NodeOutput::Datagram { to, message } => {
                let bytes = encode_datagram(&encode(self, message))
                    .expect("a datagram within the size limit");
                let to = index(to);
                self.transmit(from, to, &bytes, |bytes| NetworkEvent::Datagram { from, to, bytes });
            }
            NodeOutput::Call { to, message } => {
                let bytes =
                    encode_stream(&encode(self, message)).expect("a call within the size limit");
                let to = index(to);
                self.transmit(from, to, &bytes, |bytes| NetworkEvent::Call { from, to, bytes });
            }
            NodeOutput::PollTable { above } => self.poll_table(from, above),
        }
    }

    /// Transmits bytes subject to the configured faults. A lost datagram is dropped; a lost segment of a call is
    /// retransmitted, which adds delay. A call to an unreachable node fails.
    fn transmit(
        &mut self,
        from: usize,
        to: usize,
        bytes: &[u8],
        event: impl Fn(Vec<u8>) -> NetworkEvent,
    ) {
        self.messages += 1;
        self.bytes += bytes.len() as u64;
        let is_datagram = matches!(event(Vec::new()), NetworkEvent::Datagram { .. });
        if self.partitions[from] != self.partitions[to] || self.nodes[to].is_none() {
            if let NetworkEvent::Call { .. } = event(Vec::new()) {
                let address = Self::address(to);
                self.schedule(CALL_TIMEOUT, NetworkEvent::CallFailed { node: from, address });
            }
            return;
        }
        let mut retransmission_delay = Duration::ZERO;
        while self.random(100) < self.faults.loss_percent {
            if is_datagram {
                return;
            }
            retransmission_delay = retransmission_delay * 2 + RETRANSMISSION_TIMEOUT;
        }
        let is_duplicated = is_datagram && self.random(100) < self.faults.duplicate_percent;
        for _ in 0..=u32::from(is_duplicated) {
            let delay_us = 500 + self.random(self.faults.delay_ms * 1_000);
            let delay = retransmission_delay + Duration::from_micros(delay_us.into());
            self.schedule(delay, event(bytes.to_vec()));
        }
    }

    fn poll_table(&mut self, node: usize, above: ConfigVersion) {
        let newer = self.table.clone().filter(|(version, _)| *version > above);
        let response = match newer {
            _ if !self.table_is_up => ConfigEvent::TableUnavailable,
            Some((version, text)) => ConfigEvent::TableConfig { version, text },
            None => ConfigEvent::TableUnchanged,
        };
        let delay = Duration::from_millis(u64::from(self.random(50)));
        self.schedule(delay, NetworkEvent::TableResponse { node, response });
    }
}
