use crate::process::journal_messages::LiveNodesChanged;
use crate::process::{
    ConfigureJournal, EndReservation, JournalDump, LiveNodes, NodeState, PeerJournalMessage,
    ReservationResult, ReserveKey, SnapshotJournal, Tick, TimerService, WakeAfter, now_us,
    perform_table_request,
};
use actix::prelude::*;
use agatecourse_config::JournalConfig;
use agatecourse_core::request::journal::{
    JournalAction, JournalEvent, JournalShard, ReservationAction, ReservationClient, TableCallId,
    TableResult,
};
use agatecourse_platform::TableClient;
use agatecourse_types::{Incarnation, NodeId, RequestId, ShardId};
use agatecourse_wire::PeerMessage;
use slog::{Logger, error, info, warn};
use std::collections::{HashMap, VecDeque};
use std::sync::{Arc, Weak};
use std::time::{Duration, Instant};
use tokio::sync::oneshot;

// Each request has at most two messages in the mailbox, and the limits of the organisations bound the number of
// requests. `do_send` ignores the capacity, so no outcome is lost when the mailbox is full.
const MAILBOX_CAPACITY: usize = 65_536;
// Shorter delays are rounded up, which coalesces wake-ups and bounds the timer load.
const MIN_WAKE_DELAY: Duration = Duration::from_millis(1);

/// Action of a shard or of the reservation client that is still to be performed.
enum JournalStep {
    Shard(ShardId, JournalAction),
    Client(ReservationAction),
}

/// Runs the journal shards that this node owns and the reservation client for its own requests.
///
/// The shards bound their own state; the actor adds one entry per request that waits for a reservation.
pub(crate) struct JournalActor {
    node: NodeId,
    incarnation: Incarnation,
    table: TableClient,
    timer: Addr<TimerService>,
    log: Logger,
    /// Empty until the first configuration arrives.
    pub(super) state: Weak<NodeState>,
    live: Arc<LiveNodes>,
    shards: Vec<JournalShard>,
    client: ReservationClient,
    waiting: HashMap<RequestId, oneshot::Sender<ReservationResult>>,
    /// Open calls of other nodes, by node and request.
    pub(super) calls: HashMap<(NodeId, RequestId), oneshot::Sender<PeerMessage>>,
    pub(super) address: Option<Addr<Self>>,
    wake_at: Option<Instant>,
}

impl JournalActor {
    pub(crate) fn new(
        node: NodeId,
        incarnation: Incarnation,
        table: TableClient,
        timer: Addr<TimerService>,
        log: Logger,
    ) -> Self {
        Self {
            node,
            incarnation,
            table,
            timer,
            log,
            state: Weak::new(),
            live: Arc::default(),
            shards: Vec::new(),
            client: ReservationClient::new(1),
            waiting: HashMap::new(),
            calls: HashMap::new(),
            address: None,
            wake_at: None,
        }
    }

    /// Creates the shards and the reservation client from the first configuration.
    fn start_shards(&mut self, config: &JournalConfig) {
        let (now, unix_ms) = (Instant::now(), now_us() / 1000);
        let interval = Duration::from_secs(u64::from(config.shards)) / config.commits_per_s;
        let shard = |shard| {
            JournalShard::new(shard, self.node.clone(), self.incarnation)
                .with_wall_clock(now, unix_ms)
                .with_commit_interval(interval)
                .with_retention(config.retention)
                .with_index_limit(config.index_limit)
        };
        self.shards = (0..config.shards).map(shard).collect();
        self.client = ReservationClient::new(config.shards);
        info!(self.log, "journal started"; "shards" => config.shards);
    }

    fn owner_of(&self, shard: ShardId) -> NodeId {
        let state = self.state.upgrade();
        state.map_or(self.node.clone(), |state| state.cluster.owner_of(&format!("journal/{shard}")))
    }

    /// Takes over and resigns shards after a change of the live nodes, and reports removed nodes to all shards, because
    /// the requests of those nodes will get no outcome.
    fn update_owners(&mut self) -> VecDeque<JournalStep> {
        let Some(state) = self.state.upgrade() else { return VecDeque::new() };
        let live = state.cluster.live();
        let previous = std::mem::replace(&mut self.live, live.clone());
        let mut steps = VecDeque::new();
        for shard in 0..self.shards.len() as ShardId {
            let own = self.owner_of(shard) == self.node;
            let event = if own { JournalEvent::BecomeOwner } else { JournalEvent::Resign };
            steps.extend(self.shard_event(shard, event));
            for node in previous.keys().filter(|node| !live.contains_key(*node)).cloned() {
                steps.extend(self.shard_event(shard, JournalEvent::NodeGone { node }));
            }
        }
        steps
    }

    fn shard_event(&mut self, shard: ShardId, event: JournalEvent) -> VecDeque<JournalStep> {
        let mut actions = Vec::new();
        if let Some(owner) = self.shards.get_mut(shard as usize) {
            owner.on_event(Instant::now(), event, &mut actions);
        }
        actions.into_iter().map(|action| JournalStep::Shard(shard, action)).collect()
    }

    fn client_event(
        &mut self,
        event: impl FnOnce(&mut ReservationClient, Instant, &mut Vec<ReservationAction>),
    ) -> VecDeque<JournalStep> {
        let mut actions = Vec::new();
        event(&mut self.client, Instant::now(), &mut actions);
        actions.into_iter().map(JournalStep::Client).collect()
    }

    fn tick(&mut self) -> VecDeque<JournalStep> {
        let mut steps = self.client_event(ReservationClient::tick);
        for shard in 0..self.shards.len() as ShardId {
            steps.extend(self.shard_event(shard, JournalEvent::Tick));
        }
        steps
    }

    /// Performs actions, and those that follow from them, until none is left, then sets the timer.
    fn perform_steps(&mut self, mut steps: VecDeque<JournalStep>, context: &mut Context<Self>) {
        while let Some(step) = steps.pop_front() {
            let following = match step {
                JournalStep::Shard(shard, action) => self.perform_shard(shard, action, context),
                JournalStep::Client(action) => self.perform_client(action),
            };
            steps.extend(following);
        }
        self.schedule_wake(context);
    }

    fn perform_shard(
        &mut self,
        shard: ShardId,
        action: JournalAction,
        context: &mut Context<Self>,
    ) -> VecDeque<JournalStep> {
        match action {
            JournalAction::Table { call, request } => {
                let table = self.table.clone();
                let work = async move { perform_table_request(&table, request).await };
                context.spawn(work.into_actor(self).map(move |result, actor, context| {
                    actor.handle_table_result(shard, call, result, context);
                }));
                VecDeque::new()
            }
            JournalAction::Reply { node, reply } if node != self.node => {
                let request_id = reply.request_id;
                self.answer_peer(node, request_id, PeerMessage::ReserveReply { shard, reply });
                VecDeque::new()
            }
            JournalAction::Recorded { node, request_id } if node != self.node => {
                self.answer_peer(node, request_id, PeerMessage::Recorded { shard, request_id });
                VecDeque::new()
            }
            JournalAction::Reply { reply, .. } => {
                self.client_event(|client, now, actions| client.on_reply(now, reply, actions))
            }
            JournalAction::Recorded { request_id, .. } => {
                self.client.on_recorded(request_id);
                VecDeque::new()
            }
            JournalAction::OwnershipLost => {
                warn!(self.log, "ownership of a journal shard lost"; "shard" => shard);
                self.update_owners()
            }
            JournalAction::UnreadableRow { error } => {
                error!(self.log, "journal row can't be read, the shard has no owner";
                    "shard" => shard, "reason" => error.to_string());
                VecDeque::new()
            }
        }
    }

    fn handle_table_result(
        &mut self,
        shard: ShardId,
        call: TableCallId,
        result: TableResult,
        context: &mut Context<Self>,
    ) {
        let steps = self.shard_event(shard, JournalEvent::TableResponse { call, result });
        self.perform_steps(steps, context);
    }

    fn perform_client(&mut self, action: ReservationAction) -> VecDeque<JournalStep> {
        match action {
            ReservationAction::Send { shard, message } => self.send_to_owner(shard, *message),
            ReservationAction::Dispatch { request_id } => {
                self.complete_wait(request_id, ReservationResult::Granted)
            }
            ReservationAction::Answer { request_id, outcome, .. } => {
                self.complete_wait(request_id, ReservationResult::Ended(outcome))
            }
            ReservationAction::Refuse { request_id, code } => {
                self.complete_wait(request_id, ReservationResult::Refused(code))
            }
        }
    }

    /// Passes a message to the owner of a shard, which may be this node.
    fn send_to_owner(&mut self, shard: ShardId, message: PeerMessage) -> VecDeque<JournalStep> {
        let owner = self.owner_of(shard);
        if owner == self.node {
            return self.handle_message(owner, message);
        }
        self.send_to_peer(owner, message);
        VecDeque::new()
    }

    /// Applies a journal message of a node, which may be this one.
    fn handle_message(&mut self, node: NodeId, message: PeerMessage) -> VecDeque<JournalStep> {
        let (shard, event) = match message {
            PeerMessage::Reserve { shard, reservation } => {
                (shard, JournalEvent::Reserve { node, reservation })
            }
            PeerMessage::Outcome { shard, outcome } => {
                (shard, JournalEvent::Outcome { node, outcome })
            }
            PeerMessage::Release { shard, request_id, key } => {
                (shard, JournalEvent::Release { node, request_id, key })
            }
            PeerMessage::ReserveReply { reply, .. } => {
                return self
                    .client_event(|client, now, actions| client.on_reply(now, reply, actions));
            }
            PeerMessage::Recorded { request_id, .. } => {
                self.client.on_recorded(request_id);
                return VecDeque::new();
            }
            other => {
                error!(self.log, "unexpected journal message"; "message" => format!("{other:?}"));
                return VecDeque::new();
            }
        };
        self.shard_event(shard, event)
    }

    /// Sends the result to the task of a request. When the task has ended, a grant is returned as not dispatched.
    fn complete_wait(
        &mut self,
        request_id: RequestId,
        result: ReservationResult,
    ) -> VecDeque<JournalStep> {
        let granted = result == ReservationResult::Granted;
        let delivered =
            self.waiting.remove(&request_id).is_some_and(|reply| reply.send(result).is_ok());
        if delivered || !granted {
            return VecDeque::new();
        }
        self.client_event(|client, now, actions| {
            client.release_undispatched(now, request_id, actions);
        })
    }

    fn subscribe_to_live_nodes(&self, context: &mut Context<Self>) {
        let Some(state) = self.state.upgrade() else { return };
        let mut changes = state.cluster.changes();
        let address = context.address();
        let follow = async move {
            while changes.changed().await.is_ok() {
                address.do_send(LiveNodesChanged);
            }
        };
        context.spawn(follow.into_actor(self));
    }

    /// Requests a tick for the earliest deadline unless an earlier one is already requested.
    fn schedule_wake(&mut self, context: &mut Context<Self>) {
        let shards = self.shards.iter().filter_map(JournalShard::next_wakeup).min();
        let next = shards.into_iter().chain(self.client.next_wakeup()).min();
        let Some(next) = next.filter(|next| self.wake_at.is_none_or(|wake_at| *next < wake_at))
        else {
            return;
        };
        self.wake_at = Some(next);
        let delay = next.saturating_duration_since(Instant::now()).max(MIN_WAKE_DELAY);
        self.timer.do_send(WakeAfter { delay, subscriber: context.address().recipient() });
    }
}

impl Actor for JournalActor {
    type Context = Context<Self>;

    fn started(&mut self, context: &mut Context<Self>) {
        context.set_mailbox_capacity(MAILBOX_CAPACITY);
        self.address = Some(context.address());
    }
}

impl Handler<ReserveKey> for JournalActor {
    type Result = ();

    fn handle(&mut self, message: ReserveKey, context: &mut Context<Self>) {
        let ReserveKey { reservation, reply } = message;
        self.waiting.insert(reservation.request_id, reply);
        let steps =
            self.client_event(|client, now, actions| client.reserve(now, reservation, actions));
        self.perform_steps(steps, context);
    }
}

impl Handler<EndReservation> for JournalActor {
    type Result = ();

    fn handle(&mut self, message: EndReservation, context: &mut Context<Self>) {
        let EndReservation { request_id, outcome } = message;
        self.waiting.remove(&request_id);
        let steps = self.client_event(|client, now, actions| {
            if let Some(outcome) = outcome {
                client.report_outcome(now, request_id, outcome, actions);
            } else {
                client.withdraw(now, request_id, actions);
                client.release_undispatched(now, request_id, actions);
            }
        });
        self.perform_steps(steps, context);
    }
}

impl Handler<ConfigureJournal> for JournalActor {
    type Result = ();

    fn handle(&mut self, message: ConfigureJournal, context: &mut Context<Self>) {
        let ConfigureJournal { config, state } = message;
        if self.shards.is_empty() {
            self.state = state;
            self.start_shards(&config);
            self.subscribe_to_live_nodes(context);
            let steps = self.update_owners();
            self.perform_steps(steps, context);
        } else if self.shards.len() != config.shards as usize {
            warn!(self.log, "a new number of journal shards needs a restart of all nodes";
                "running" => self.shards.len(), "configured" => config.shards);
        }
    }
}

impl Handler<PeerJournalMessage> for JournalActor {
    type Result = ();

    fn handle(&mut self, message: PeerJournalMessage, context: &mut Context<Self>) {
        let PeerJournalMessage { from, body, answer } = message;
        if let Some(answer) = answer {
            self.register_call(from.clone(), &body, answer);
        }
        let steps = self.handle_message(from, body);
        self.perform_steps(steps, context);
    }
}

impl Handler<LiveNodesChanged> for JournalActor {
    type Result = ();

    fn handle(&mut self, _: LiveNodesChanged, context: &mut Context<Self>) {
        let steps = self.update_owners();
        self.perform_steps(steps, context);
    }
}

impl Handler<SnapshotJournal> for JournalActor {
    type Result = JournalDump;

    fn handle(&mut self, _: SnapshotJournal, _: &mut Context<Self>) -> JournalDump {
        let shards = self.shards.iter().map(JournalShard::snapshot).collect();
        JournalDump { shards, open_requests: self.client.len() }
    }
}

impl Handler<Tick> for JournalActor {
    type Result = ();

    fn handle(&mut self, _: Tick, context: &mut Context<Self>) {
        self.wake_at = None;
        let steps = self.tick();
        self.perform_steps(steps, context);
    }
}

#[cfg(test)]
mod tests;
