//! Tests of the coordinators of several nodes that exchange messages over a simulated network.

use agatecourse_core::request::dispatch::{DispatchTarget, RunEnd, RunReport, TargetSignal};
use agatecourse_gateway::process::{
    Coordinator, CoordinatorAction, PeerMessage, Placement, Submission, WireJob,
};
use agatecourse_types::rank_by_rendezvous;
use googletest::prelude::*;
use smallvec::SmallVec;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::{Duration, Instant};

const STEP: Duration = Duration::from_millis(10);

struct Cluster {
    now: Instant,
    nodes: BTreeMap<String, Coordinator>,
    dead: BTreeSet<String>,
    /// Drops every n-th message; 0 drops none.
    drop_every: u32,
    sent: u32,
    placed: BTreeMap<(String, u64), Vec<Placement>>,
}

impl Cluster {
    fn new(count: usize, targets: usize) -> Self {
        let now = Instant::now();
        let names: Vec<String> = (0..count).map(|index| format!("node-{index}")).collect();
        let mut cluster = Self {
            now,
            nodes: BTreeMap::new(),
            dead: BTreeSet::new(),
            drop_every: 0,
            sent: 0,
            placed: BTreeMap::new(),
        };
        for name in &names {
            let mut node = Coordinator::new(name.clone());
            node.set_members(names.clone());
            let list = (0..targets)
                .map(|index| DispatchTarget {
                    id: format!("target-{index}"),
                    slots: 1,
                    zone: "a".to_string(),
                    version: "v1".to_string(),
                    started_unix_ms: 1,
                })
                .collect();
            node.set_targets(now, "drafts", list, &mut Vec::new());
            cluster.nodes.insert(name.clone(), node);
        }
        cluster
    }

    fn call(
        &mut self,
        name: &str,
        act: impl FnOnce(&mut Coordinator, Instant, &mut Vec<CoordinatorAction>),
    ) {
        let mut actions = Vec::new();
        if let Some(node) = self.nodes.get_mut(name) {
            act(node, self.now, &mut actions);
        }
        self.deliver(name, actions);
    }

    fn deliver(&mut self, from: &str, actions: Vec<CoordinatorAction>) {
        let mut queue: VecDeque<(String, CoordinatorAction)> =
            actions.into_iter().map(|action| (from.to_string(), action)).collect();
        while let Some((from, action)) = queue.pop_front() {
            match action {
                CoordinatorAction::Place { number, placement } => {
                    self.placed.entry((from, number)).or_default().push(placement);
                }
                CoordinatorAction::OwnerChanged { .. } => {}
                CoordinatorAction::Send { to, message } => {
                    self.sent += 1;
                    let is_dropped =
                        self.drop_every > 0 && self.sent.is_multiple_of(self.drop_every);
                    if is_dropped || self.dead.contains(&to) || self.dead.contains(&from) {
                        continue;
                    }
                    let mut actions = Vec::new();
                    if let Some(node) = self.nodes.get_mut(&to) {
                        node.on_message(self.now, &from, message, &mut actions);
                    }
                    queue.extend(actions.into_iter().map(|action| (to.clone(), action)));
                }
            }
        }
    }

    fn submit(&mut self, name: &str, number: u64) {
        self.submit_job(name, number, wire_job());
    }

    fn submit_job(&mut self, name: &str, number: u64, job: WireJob) {
        let arrived = self.now;
        let submission = Submission { number, service: "drafts".to_string(), arrived, job };
        self.call(name, |node, now, actions| node.submit(now, submission, actions));
    }

    fn finish(&mut self, name: &str, number: u64) {
        let report = RunReport { end: RunEnd::Answered, elapsed: Duration::from_millis(100) };
        self.call(name, |node, now, actions| node.finish(now, number, report, actions));
    }

    fn advance(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now += STEP;
            for name in self.nodes.keys().cloned().collect::<Vec<_>>() {
                if !self.dead.contains(&name) {
                    self.call(&name, agatecourse_gateway::process::Coordinator::on_timer);
                }
            }
        }
    }

    /// Returns the owner of the queue, as named in the decision about a submitted attempt.
    fn owner(&mut self) -> String {
        self.submit("node-0", 1);
        self.advance(Duration::from_millis(50));
        let owner = match &self.placed[&("node-0".to_string(), 1)][0] {
            Placement::Granted { owner, .. } | Placement::Refused { owner, .. } => owner.clone(),
        };
        self.finish("node-0", 1);
        owner
    }

    fn granted_target(&self, name: &str, number: u64) -> Option<String> {
        self.placed.get(&(name.to_string(), number))?.iter().find_map(|placement| match placement {
            Placement::Granted { target, .. } => Some(target.clone()),
            Placement::Refused { .. } => None,
        })
    }

    fn running(&self) -> usize {
        self.nodes
            .iter()
            .filter(|(name, _)| !self.dead.contains(*name))
            .flat_map(|(_, node)| node.snapshot().into_values())
            .map(|snapshot| snapshot.running)
            .max()
            .unwrap_or(0)
    }
}

fn wire_job() -> WireJob {
    WireJob {
        kind: 1,
        rank: 0,
        waited_ms: 0,
        objective_ms: 800,
        deadline_ms: 8_000,
        relative_size: 1.0,
        prompt_tokens: 10,
        shared_part: 0,
        prompt_parts: SmallVec::new(),
        zone: "a".to_string(),
        excluded: SmallVec::new(),
        is_retry: false,
        version: String::new(),
        avoided_version: String::new(),
        suspects: SmallVec::new(),
        home_zones: SmallVec::new(),
    }
}

/// Guards against two nodes that use the same slot: one owner must grant all attempts of a service.
#[gtest]
fn attempts_of_all_nodes_share_the_slots() {
    let mut cluster = Cluster::new(5, 3);
    for index in 0..5 {
        cluster.submit(&format!("node-{index}"), 10);
    }
    cluster.advance(Duration::from_millis(50));
    let targets: BTreeSet<String> =
        (0..5).filter_map(|index| cluster.granted_target(&format!("node-{index}"), 10)).collect();
    let granted = (0..5)
        .filter(|index| cluster.granted_target(&format!("node-{index}"), 10).is_some())
        .count();
    expect_that!(targets.len(), eq(3));
    expect_that!(granted, eq(3));
}

/// Guards against requests that wait for a dead owner: another node must grant them within 250 ms.
#[gtest]
fn dead_owner_is_replaced_within_a_quarter_of_a_second() {
    let mut cluster = Cluster::new(5, 3);
    let owner = cluster.owner();
    let caller =
        (0..5).map(|index| format!("node-{index}")).find(|name| *name != owner).unwrap_or_default();
    cluster.dead.insert(owner);
    cluster.submit(&caller, 20);
    cluster.advance(Duration::from_millis(250));
    expect_that!(cluster.granted_target(&caller, 20), some(anything()));
}

/// Guards against a new owner that grants slots occupied by runs of the previous owner.
#[gtest]
fn new_owner_counts_running_attempts() {
    let mut cluster = Cluster::new(4, 2);
    let owner = cluster.owner();
    let others: Vec<String> =
        (0..4).map(|index| format!("node-{index}")).filter(|name| *name != owner).collect();
    cluster.submit(&others[0], 30);
    cluster.submit(&others[1], 31);
    cluster.advance(Duration::from_millis(20));
    cluster.dead.insert(owner.clone());
    let live: Vec<String> = others.clone();
    for name in &live {
        cluster.call(name, |node, _, _| node.set_members(live.clone()));
    }
    cluster.advance(Duration::from_millis(600));
    cluster.submit(&others[2], 32);
    cluster.advance(Duration::from_millis(100));
    expect_that!(cluster.granted_target(&others[2], 32), none());
    cluster.finish(&others[0], 30);
    cluster.advance(Duration::from_millis(100));
    expect_that!(cluster.granted_target(&others[2], 32), some(anything()));
}

/// Guards against attempts without a decision and slots that are never freed when every second to fifth message is lost.
#[gtest]
fn lost_messages_lose_no_attempts_and_no_slots() {
    for drop_every in 2..6 {
        let mut cluster = Cluster::new(4, 2);
        cluster.drop_every = drop_every;
        for number in 100..110 {
            let name = format!("node-{}", number % 4);
            cluster.submit(&name, number);
            cluster.advance(Duration::from_millis(400));
            expect_that!(
                cluster.granted_target(&name, number),
                some(anything()),
                "loss 1/{}",
                drop_every
            );
            cluster.finish(&name, number);
        }
        cluster.drop_every = 0;
        cluster.advance(Duration::from_secs(3));
        expect_that!(cluster.running(), eq(0), "loss 1/{}", drop_every);
    }
}

/// Guards against slots that are never freed after the node that uses them has died.
#[gtest]
fn slots_of_a_dead_node_are_freed() {
    let mut cluster = Cluster::new(4, 1);
    let owner = cluster.owner();
    let others: Vec<String> =
        (0..4).map(|index| format!("node-{index}")).filter(|name| *name != owner).collect();
    cluster.submit(&others[0], 40);
    cluster.advance(Duration::from_millis(20));
    cluster.dead.insert(others[0].clone());
    cluster.submit(&others[1], 41);
    cluster.advance(Duration::from_secs(3));
    expect_that!(cluster.granted_target(&others[1], 41), some(anything()));
}

/// Guards against an owner that dispatches by stale state after a pause of its process: it must rebuild the occupied slots from
/// the status messages of the nodes.
#[gtest]
fn paused_owner_rebuilds_state_from_statuses() {
    let mut cluster = Cluster::new(3, 1);
    let owner = cluster.owner();
    let caller =
        (0..3).map(|index| format!("node-{index}")).find(|name| *name != owner).unwrap_or_default();
    cluster.submit(&caller, 50);
    cluster.advance(Duration::from_millis(20));
    cluster.call(&owner, |node, _, _| node.clear_peer_state());
    cluster.advance(Duration::from_millis(400));
    expect_that!(
        cluster.nodes[&owner].snapshot().values().map(|queue| queue.running).sum::<usize>(),
        eq(1)
    );
}

/// Guards against a cancelled attempt that is granted later and occupies a slot until the next status.
#[gtest]
fn cancelled_attempt_is_removed_from_the_queue() {
    let mut cluster = Cluster::new(3, 1);
    let owner = cluster.owner();
    cluster.submit("node-0", 60);
    cluster.submit("node-0", 61);
    cluster.finish("node-0", 61);
    cluster.finish("node-0", 60);
    cluster.advance(Duration::from_millis(20));
    let snapshot = cluster.nodes[&owner].snapshot();
    expect_that!(
        snapshot.values().map(|queue| queue.running + queue.waiting).sum::<usize>(),
        eq(0)
    );
}

/// Guards against a heartbeat that is handled as a message about a queue: the coordinator must ignore it.
#[gtest]
fn coordinator_ignores_heartbeats() {
    let mut node = Coordinator::new("node");
    let mut actions = Vec::new();
    node.on_message(
        Instant::now(),
        &"other".to_string(),
        PeerMessage::Heartbeat(Box::default()),
        &mut actions,
    );
    expect_that!(actions, is_empty());
}

/// Guards against targets that crash in each queue of a large service at once: attempts of all nodes that share a suspect wait for one
/// trial, until the suspect is cleared.
#[gtest]
fn attempts_that_share_a_suspect_meet_in_one_queue() {
    let mut cluster = Cluster::new(5, 100);
    let suspect = WireJob { suspects: SmallVec::from_slice(&[7]), ..wire_job() };
    for index in 0..5 {
        cluster.submit_job(&format!("node-{index}"), 40 + index, suspect.clone());
    }
    cluster.advance(Duration::from_millis(50));
    let granted = |cluster: &Cluster| {
        (0..5)
            .filter(|index| cluster.granted_target(&format!("node-{index}"), 40 + index).is_some())
            .count()
    };
    expect_that!(granted(&cluster), eq(1));
    for index in 0..5 {
        cluster.call(&format!("node-{index}"), |node, now, actions| {
            node.clear_suspects(now, &[7], actions);
        });
    }
    cluster.advance(Duration::from_millis(50));
    expect_that!(granted(&cluster), eq(5));
}

/// Guards against a queue owner that gives a limited target more requests than it takes, because it did not hear of the limit or the
/// owner before it did: nodes tell each owner before they submit to it. The users allow one and a half times the limit in 4 s,
/// and five requests more.
#[gtest]
fn limit_of_a_target_holds_over_changes_of_the_owner() {
    let mut cluster = Cluster::new(5, 1);
    let names: Vec<String> = (0..5).map(|index| format!("node-{index}")).collect();
    let target = "target-0".to_string();
    cluster.owner();
    for name in &names {
        cluster.call(name, |node, now, actions| {
            let signal = TargetSignal { limit_per_s: Some(2.0), ..TargetSignal::default() };
            node.record_signal(now, (&target, 1), now, signal, actions);
        });
    }
    let mut granted_at = Vec::new();
    let mut number = 100;
    let start = cluster.now;
    while cluster.now < start + Duration::from_secs(8) {
        let seconds = cluster.now.duration_since(start).as_secs();
        // The owner dies each second, as long as two nodes are left.
        if cluster.dead.len() < 3 && cluster.dead.len() < seconds as usize {
            let live = |cluster: &Cluster| -> Vec<String> {
                names.iter().filter(|name| !cluster.dead.contains(*name)).cloned().collect()
            };
            let owner = rank_by_rendezvous("drafts/0", live(&cluster).iter().map(String::as_str))
                [0]
            .to_string();
            cluster.dead.insert(owner);
            let live = live(&cluster);
            for name in &live {
                cluster.call(name, |node, _, _| node.set_members(live.clone()));
            }
        }
        let name = names[number as usize % 5].clone();
        if !cluster.dead.contains(&name) {
            cluster.submit(&name, number);
        }
        number += 1;
        cluster.advance(STEP);
        for name in &names {
            for running in 100..number {
                if !cluster.dead.contains(name) && cluster.granted_target(name, running).is_some() {
                    granted_at.push(cluster.now);
                    cluster.placed.remove(&(name.clone(), running));
                    cluster.finish(name, running);
                }
            }
        }
    }
    let in_window = |from: &Instant| {
        granted_at.iter().filter(|at| (*from..*from + Duration::from_secs(4)).contains(*at)).count()
    };
    expect_that!(granted_at.iter().map(in_window).max().unwrap_or(0), le(17));
    expect_that!(granted_at.len(), ge(10));
}

/// Submits attempts on five nodes in turn, ends those that are granted, and returns the nodes by the target that they were granted.
fn grants_by_target(cluster: &mut Cluster, first: u64) -> BTreeMap<String, BTreeSet<String>> {
    let mut nodes_by_target: BTreeMap<String, BTreeSet<String>> = BTreeMap::new();
    for number in first..first + 60 {
        let name = format!("node-{}", number % 5);
        cluster.submit(&name, number);
        cluster.advance(STEP);
        if let Some(target) = cluster.granted_target(&name, number) {
            nodes_by_target.entry(target).or_default().insert(name.clone());
        }
        // Keeps some slots occupied, so that all targets are used.
        if number >= first + 3 {
            cluster.finish(&format!("node-{}", (number - 3) % 5), number - 3);
        }
    }
    for number in first + 57..first + 60 {
        cluster.finish(&format!("node-{}", number % 5), number);
    }
    nodes_by_target
}

/// Guards against nodes that send requests to a target of which another node knows that it leaves, also after the owner of the queue
/// has died, and against a node that gets a target within the pause that the target has asked it for, while other nodes get it.
#[gtest]
fn closed_targets_are_not_granted_over_a_change_of_the_owner() {
    let mut cluster = Cluster::new(5, 5);
    let names: Vec<String> = (0..5).map(|index| format!("node-{index}")).collect();
    let owner = cluster.owner();
    let teller = names.iter().find(|name| **name != owner).expect("five nodes").clone();
    let signals = [
        ("target-0", TargetSignal { is_leaving: true, ..TargetSignal::default() }),
        ("target-1", TargetSignal { pause: Duration::from_secs(9), ..TargetSignal::default() }),
    ];
    for (target, signal) in signals {
        let target = target.to_string();
        cluster.call(&teller, |node, now, actions| {
            node.record_signal(now, (&target, 1), now, signal, actions);
        });
    }
    for (round, first) in [(0, 100), (1, 200)] {
        if round == 1 {
            cluster.dead.insert(owner.clone());
            let live: Vec<String> = names.iter().filter(|name| **name != owner).cloned().collect();
            for name in &live {
                cluster.call(name, |node, _, _| node.set_members(live.clone()));
            }
            cluster.advance(Duration::from_millis(300));
        }
        let grants = grants_by_target(&mut cluster, first);
        expect_that!(grants.get("target-0"), none(), "round {round}");
        let paused = grants.get("target-1").cloned().unwrap_or_default();
        expect_that!(paused.contains(&teller), eq(false), "round {round}");
        expect_that!(paused.is_empty(), eq(false), "round {round}");
    }
    cluster.advance(Duration::from_secs(9));
    let granted = (300..304).filter_map(|number| {
        cluster.submit(&teller, number);
        cluster.advance(STEP);
        cluster.granted_target(&teller, number)
    });
    expect_that!(granted.collect::<Vec<_>>(), contains(eq("target-1")));
}

/// Guards against an attempt of a node that was silent for a while which runs a second time, or is given up, once the owner of its queue has
/// freed its slot: the attempt was placed once, keeps running, and its slot is counted again when the node reports.
#[gtest]
fn run_of_a_silent_node_is_neither_repeated_nor_given_up() {
    let mut cluster = Cluster::new(4, 2);
    let owner = cluster.owner();
    let silent = (0..4).map(|index| format!("node-{index}")).find(|name| *name != owner);
    let silent = silent.expect("four nodes");
    cluster.submit(&silent, 50);
    cluster.advance(STEP);
    expect_that!(cluster.granted_target(&silent, 50), some(anything()));
    cluster.dead.insert(silent.clone());
    cluster.advance(Duration::from_secs(3));
    expect_that!(cluster.nodes[&owner].snapshot()["drafts/0"].running, eq(0));
    cluster.dead.remove(&silent);
    cluster.advance(Duration::from_secs(1));
    expect_that!(cluster.placed[&(silent.clone(), 50)].len(), eq(1));
    expect_that!(cluster.nodes[&silent].counts(), eq((0, 1)));
    expect_that!(cluster.nodes[&owner].snapshot()["drafts/0"].running, eq(1));
}

/// Guards against a job whose size is not a number: it must not spread to the predictions of the queue, or end the task that receives
/// messages.
#[gtest]
fn job_with_a_size_that_is_not_a_number_is_refused_like_others() {
    let mut cluster = Cluster::new(3, 1);
    for number in 1..40 {
        let size = if number % 2 == 0 { f32::NAN } else { f32::INFINITY };
        cluster.submit_job("node-1", number, WireJob { relative_size: size, ..wire_job() });
    }
    cluster.advance(Duration::from_millis(100));
    expect_that!(cluster.granted_target("node-1", 1), some(anything()));
    let placed = (1..40).filter(|number| cluster.placed.contains_key(&("node-1".into(), *number)));
    expect_that!(placed.count(), gt(1));
}

/// Pattern: a large service with as many attempts as targets. Guards against attempts that wait in one queue of the service while targets
/// of another queue are free.
#[gtest]
fn no_attempt_waits_while_a_target_of_a_large_service_is_free() {
    let mut cluster = Cluster::new(5, 140);
    for number in 1..=140 {
        cluster.submit(&format!("node-{}", number % 5), number);
    }
    cluster.advance(Duration::from_millis(50));
    let granted = (1..=140).filter(|number| {
        cluster.granted_target(&format!("node-{}", number % 5), *number).is_some()
    });
    expect_that!(granted.count(), eq(140));
}

/// Guards against a queue of a large service on one of the smallest VMs, also after the owner has died, and against queues without an
/// owner when all large VMs are gone.
#[gtest]
fn queues_are_owned_by_the_largest_live_nodes() {
    let mut cluster = Cluster::new(6, 4);
    let names: Vec<String> = (0..6).map(|index| format!("node-{index}")).collect();
    let capacities: BTreeMap<String, u8> =
        [(names[1].clone(), 2), (names[4].clone(), 2), (names[2].clone(), 1)].into();
    for name in &names {
        cluster.call(name, |node, _, _| node.set_capacities(capacities.clone()));
    }
    let mut number = 1_000;
    for expected in [&[1, 4][..], &[1, 4], &[2], &[0, 3, 5]] {
        number += 1;
        cluster.submit("node-0", number);
        cluster.advance(Duration::from_millis(400));
        let owner = match &cluster.placed[&("node-0".to_string(), number)][0] {
            Placement::Granted { owner, .. } | Placement::Refused { owner, .. } => owner.clone(),
        };
        let is_expected = expected.iter().any(|index| owner == names[*index]);
        expect_that!(is_expected, eq(true), "{owner} of {expected:?}");
        cluster.finish("node-0", number);
        cluster.dead.insert(owner);
        let live: Vec<String> =
            names.iter().filter(|name| !cluster.dead.contains(*name)).cloned().collect();
        for name in &live {
            cluster.call(name, |node, _, _| node.set_members(live.clone()));
        }
    }
}

/// Guards against an attempt that runs twice around a hand-over of its queue, in which the old and the new owner both grant it: the node
/// uses the first grant and gives the second target back.
#[gtest]
fn second_owner_of_a_queue_gets_its_grant_back() {
    let now = Instant::now();
    let mut node = Coordinator::new("node-0");
    node.set_members(vec!["node-0".to_string(), "old".to_string(), "new".to_string()]);
    let mut actions = Vec::new();
    let submission =
        Submission { number: 7, service: "drafts".to_string(), arrived: now, job: wire_job() };
    node.submit(now, submission, &mut actions);
    actions.clear();
    for (owner, target) in [("old", "target-0"), ("new", "target-1"), ("new", "target-1")] {
        let message = PeerMessage::Granted { number: 7, target: target.to_string() };
        node.on_message(now, &owner.to_string(), message, &mut actions);
    }
    let placed = actions.iter().filter_map(|action| match action {
        CoordinatorAction::Place { placement: Placement::Granted { target, .. }, .. } => {
            Some(target.as_str())
        }
        _ => None,
    });
    expect_that!(placed.collect::<Vec<_>>(), elements_are![eq(&"target-0")]);
    let returned = actions.iter().filter(|action| match action {
        CoordinatorAction::Send { to, message: PeerMessage::Ended { number, report, .. } } => {
            to == "new" && *number == 7 && report.end == RunEnd::Unused
        }
        _ => false,
    });
    expect_that!(returned.count(), eq(2));
    expect_that!(node.counts(), eq((0, 1)));
}
