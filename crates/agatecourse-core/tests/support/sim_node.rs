use super::SHARDS;
use agatecourse_core::request::journal::{
    JournalAction, JournalEvent, JournalShard, ReservationAction, ReservationClient,
};
use agatecourse_types::rendezvous_owner;
use agatecourse_wire::PeerMessage;
use std::collections::BTreeSet;
use std::time::{Duration, Instant};

/// Entry node of a simulated deployment with one [`JournalShard`] per shard and one client.
pub struct SimNode {
    pub name: String,
    pub incarnation: u64,
    pub alive: bool,
    pub paused: bool,
    /// Nodes that this node sees as live, itself included.
    pub view: BTreeSet<String>,
    pub shards: Vec<JournalShard>,
    pub client: ReservationClient,
    pub wake_at_us: u64,
}

impl SimNode {
    pub fn new(name: &str, incarnation: u64, start: Instant, view: BTreeSet<String>) -> Self {
        let shards = (0..SHARDS)
            .map(|shard| {
                JournalShard::new(shard, name.to_string(), incarnation)
                    .with_wall_clock(start, 1_000_000)
                    .with_commit_interval(Duration::from_millis(14))
            })
            .collect();
        let client = ReservationClient::new(SHARDS);
        let (alive, paused, wake_at_us) = (true, false, u64::MAX);
        Self {
            name: name.to_string(),
            incarnation,
            alive,
            paused,
            view,
            shards,
            client,
            wake_at_us,
        }
    }

    /// Returns the owner of a shard according to this node's view.
    pub fn owner_of(&self, shard: u32) -> String {
        let names = self.view.iter().map(String::as_str);
        rendezvous_owner(&format!("journal/{shard}"), names).unwrap_or(&self.name).to_string()
    }

    /// Makes each shard claim or resign its ownership according to the node's view.
    pub fn apply_view(&mut self, now: Instant) -> Vec<(u32, JournalAction)> {
        let mut actions = Vec::new();
        for shard in 0..SHARDS {
            let is_owner = self.owner_of(shard) == self.name;
            let event = if is_owner { JournalEvent::BecomeOwner } else { JournalEvent::Resign };
            actions.extend(self.shard_event(now, shard, event));
        }
        actions
    }

    pub fn shard_event(
        &mut self,
        now: Instant,
        shard: u32,
        event: JournalEvent,
    ) -> Vec<(u32, JournalAction)> {
        let mut actions = Vec::new();
        self.shards[shard as usize].on_event(now, event, &mut actions);
        let mut all: Vec<_> = actions.into_iter().map(|action| (shard, action)).collect();
        let lost = all.iter().any(|(_, action)| *action == JournalAction::OwnershipLost);
        if lost && self.owner_of(shard) == self.name {
            all.extend(self.shard_event(now, shard, JournalEvent::BecomeOwner));
        }
        all
    }

    /// Passes a message from another node or from this one to its shard or to the client.
    pub fn receive(
        &mut self,
        now: Instant,
        from: &str,
        message: PeerMessage,
    ) -> (Vec<(u32, JournalAction)>, Vec<ReservationAction>) {
        let node = from.to_string();
        let mut client_actions = Vec::new();
        let shard_actions = match message {
            PeerMessage::Reserve { shard, reservation } => {
                self.shard_event(now, shard, JournalEvent::Reserve { node, reservation })
            }
            PeerMessage::Outcome { shard, outcome } => {
                self.shard_event(now, shard, JournalEvent::Outcome { node, outcome })
            }
            PeerMessage::Release { shard, request_id, key } => {
                self.shard_event(now, shard, JournalEvent::Release { node, request_id, key })
            }
            PeerMessage::ReserveReply { reply, .. } => {
                self.client.on_reply(now, reply, &mut client_actions);
                Vec::new()
            }
            PeerMessage::Recorded { request_id, .. } => {
                self.client.on_recorded(request_id);
                Vec::new()
            }
            other => panic!("expected a journal message, received {other:?}"),
        };
        (shard_actions, client_actions)
    }

    pub fn tick(&mut self, now: Instant) -> (Vec<(u32, JournalAction)>, Vec<ReservationAction>) {
        let mut client_actions = Vec::new();
        self.client.tick(now, &mut client_actions);
        let shard_actions = (0..SHARDS)
            .flat_map(|shard| self.shard_event(now, shard, JournalEvent::Tick))
            .collect();
        (shard_actions, client_actions)
    }

    pub fn next_wakeup(&self) -> Option<Instant> {
        let shards = self.shards.iter().filter_map(JournalShard::next_wakeup).min();
        shards.into_iter().chain(self.client.next_wakeup()).min()
    }
}
