//! Tests a single journal shard with a table whose responses the test controls.

mod support;

use agatecourse_core::request::journal::*;
use agatecourse_wire::request::{KnownOutcome, Reservation, ReservationOutcome, ReserveResult};
use googletest::prelude::*;
use std::time::{Duration, Instant};
use support::MemoryTable;

const BATCHES: &str = "journal/0/batch/";

/// Shard owner with a virtual clock; `calls` holds table requests until the test answers them.
struct TestOwner {
    shard: JournalShard,
    now: Instant,
    calls: Vec<(TableCallId, TableRequest)>,
    replies: Vec<(String, u128, ReserveResult)>,
    recorded: Vec<u128>,
    ownership_lost: bool,
    unreadable_rows: usize,
}

impl TestOwner {
    fn new(shard: JournalShard, now: Instant) -> Self {
        let (calls, replies, recorded) = (Vec::new(), Vec::new(), Vec::new());
        Self { shard, now, calls, replies, recorded, ownership_lost: false, unreadable_rows: 0 }
    }

    fn owning(node: &str, table: &mut MemoryTable) -> Self {
        let now = Instant::now();
        let shard = JournalShard::new(0, node.to_string(), 1).with_wall_clock(now, 1_000_000);
        let mut owner = Self::new(shard, now);
        owner.handle_event(JournalEvent::BecomeOwner);
        owner.run_until_idle(table);
        owner
    }

    fn handle_event(&mut self, event: JournalEvent) {
        let mut actions = Vec::new();
        self.shard.on_event(self.now, event, &mut actions);
        for action in actions {
            match action {
                JournalAction::Table { call, request } => self.calls.push((call, request)),
                JournalAction::Reply { node, reply } => {
                    self.replies.push((node, reply.request_id, reply.result));
                }
                JournalAction::Recorded { request_id, .. } => self.recorded.push(request_id),
                JournalAction::OwnershipLost => self.ownership_lost = true,
                JournalAction::UnreadableRow { .. } => self.unreadable_rows += 1,
            }
        }
    }

    fn respond(&mut self, result: TableResult) {
        let (call, _) = self.calls.remove(0);
        self.handle_event(JournalEvent::TableResponse { call, result });
    }

    /// Applies calls to the table and returns the real results until the shard has no work due within the next 20 s.
    fn run_until_idle(&mut self, table: &mut MemoryTable) {
        let end = self.now + Duration::from_secs(20);
        loop {
            if let Some((call, request)) = self.calls.pop() {
                let result = table.apply(&request);
                self.handle_event(JournalEvent::TableResponse { call, result });
            } else if let Some(at) = self.shard.next_wakeup().filter(|at| *at < end) {
                self.now = self.now.max(at);
                self.handle_event(JournalEvent::Tick);
            } else {
                return;
            }
        }
    }

    fn reserve(&mut self, node: &str, request_id: u128, key: &str, body_hash: u64) {
        let deadline_in = Duration::from_secs(10);
        let reservation = Reservation { request_id, key: key.to_string(), body_hash, deadline_in };
        self.handle_event(JournalEvent::Reserve { node: node.to_string(), reservation });
    }

    fn report_outcome(&mut self, request_id: u128, key: &str, outcome: KnownOutcome) {
        let outcome = ReservationOutcome { request_id, key: key.to_string(), outcome };
        self.handle_event(JournalEvent::Outcome { node: "n1".to_string(), outcome });
    }

    fn release(&mut self, node: &str, request_id: u128, key: &str) {
        let (node, key) = (node.to_string(), key.to_string());
        self.handle_event(JournalEvent::Release { node, request_id, key });
    }

    fn replies_to(&mut self, request_id: u128) -> Vec<ReserveResult> {
        let (own, rest) = std::mem::take(&mut self.replies)
            .into_iter()
            .partition(|(_, replied, _)| *replied == request_id);
        self.replies = rest;
        own.into_iter().map(|(_, _, result)| result).collect()
    }
}

fn answered(body: &[u8]) -> KnownOutcome {
    KnownOutcome::Answered {
        status: 201,
        content_type: "application/json".to_string(),
        body: Some(body.to_vec()),
        body_hash: 77,
    }
}

fn ended(request_id: u128, outcome: KnownOutcome) -> Vec<ReserveResult> {
    vec![ReserveResult::Ended { request_id, outcome }]
}

/// Guards against a grant before the intent is durable and against a second grant of the same key.
#[gtest]
fn grants_after_commit_and_replays_the_answer() {
    let mut table = MemoryTable::default();
    let mut owner = TestOwner::owning("a", &mut table);
    owner.reserve("n1", 1, "org/k", 5);
    expect_that!(owner.replies, is_empty());
    owner.run_until_idle(&mut table);
    expect_that!(owner.replies_to(1), eq(&vec![ReserveResult::Granted]));

    owner.reserve("n2", 2, "org/k", 5);
    owner.reserve("n2", 3, "org/k", 6);
    let running = ReserveResult::Running { request_id: 1, node: "n1".to_string() };
    expect_that!(owner.replies_to(2), eq(&vec![running]));
    expect_that!(owner.replies_to(3), eq(&vec![ReserveResult::OtherBody]));

    owner.report_outcome(1, "org/k", answered(b"booked"));
    expect_that!(owner.replies_to(2), eq(&ended(1, answered(b"booked"))));
    owner.report_outcome(1, "org/k", answered(b"booked"));
    expect_that!(owner.recorded, is_empty());
    owner.run_until_idle(&mut table);
    expect_that!(owner.recorded, eq(&vec![1]));
    owner.reserve("n3", 4, "org/k", 5);
    expect_that!(owner.replies_to(4), eq(&ended(1, answered(b"booked"))));
}

/// Guards against dropping a durable intent or committing it twice after a table response was lost.
#[gtest]
fn lost_answers_are_read_back() {
    for applied in [true, false] {
        let mut table = MemoryTable::default();
        let mut owner = TestOwner::owning("a", &mut table);
        owner.reserve("n1", 1, "org/k", 5);
        if applied {
            table.apply(&owner.calls[0].1);
        }
        owner.respond(TableResult::OutcomeUnknown);
        expect_that!(owner.replies, is_empty());
        owner.run_until_idle(&mut table);
        expect_that!(owner.replies_to(1), eq(&vec![ReserveResult::Granted]), "applied {applied}");
        expect_that!(table.keys(BATCHES), len(eq(1)), "applied {applied}");
    }
}

/// Guards against losing ownership when a delayed first attempt is applied after the batch row was read as absent, so
/// that the retry fails with a conflict.
#[gtest]
fn conflict_with_own_late_attempt_is_a_success() {
    let mut table = MemoryTable::default();
    let mut owner = TestOwner::owning("a", &mut table);
    owner.reserve("n1", 1, "org/k", 5);
    let late = owner.calls[0].1.clone();
    owner.respond(TableResult::OutcomeUnknown);
    owner.now = owner.shard.next_wakeup().expect("a retry is due");
    owner.handle_event(JournalEvent::Tick);
    owner.respond(TableResult::Row(None));
    table.apply(&late);
    owner.run_until_idle(&mut table);
    expect_that!(owner.replies_to(1), eq(&vec![ReserveResult::Granted]));
    expect_that!(owner.ownership_lost, is_false());
}

/// Guards against a successor that grants a key whose earlier request may be running, and against a paused owner that
/// commits a batch after its successor's claim.
#[gtest]
fn successor_reads_intents_and_former_owner_cannot_commit() {
    let mut table = MemoryTable::default();
    let mut former = TestOwner::owning("a", &mut table);
    former.reserve("n1", 1, "org/k", 5);
    former.run_until_idle(&mut table);
    former.reserve("n1", 4, "org/late", 5);
    let mut successor = TestOwner::owning("b", &mut table);

    successor.reserve("n2", 2, "org/k", 5);
    expect_that!(successor.replies_to(2), eq(&ended(1, KnownOutcome::Unknown)));
    successor.reserve("n1", 1, "org/k", 5);
    expect_that!(successor.replies_to(1), eq(&vec![ReserveResult::Granted]));
    successor.report_outcome(1, "org/k", answered(b"booked"));
    successor.run_until_idle(&mut table);
    successor.reserve("n2", 2, "org/k", 5);
    expect_that!(successor.replies_to(2), eq(&ended(1, answered(b"booked"))));

    former.run_until_idle(&mut table);
    expect_that!(former.ownership_lost, is_true());
    expect_that!(former.replies_to(4), is_empty());
    former.reserve("n1", 4, "org/late", 5);
    expect_that!(former.replies_to(4), eq(&vec![ReserveResult::NotOwner]));
}

/// Guards against a key that stays blocked after a release, and against a release that frees a key whose request
/// may have run.
#[gtest]
fn release_frees_a_key_only_for_its_own_node_before_an_outcome() {
    let mut table = MemoryTable::default();
    let mut owner = TestOwner::owning("a", &mut table);
    for key in ["org/released", "org/foreign", "org/ended"] {
        owner.reserve("n1", 1, key, 5);
    }
    owner.run_until_idle(&mut table);
    owner.report_outcome(1, "org/ended", KnownOutcome::Unknown);
    owner.run_until_idle(&mut table);
    owner.release("n1", 1, "org/released");
    owner.release("n2", 1, "org/foreign");
    owner.release("n1", 1, "org/ended");
    owner.run_until_idle(&mut table);
    owner.replies.clear();
    for (request_id, key) in [(2, "org/released"), (3, "org/foreign"), (4, "org/ended")] {
        owner.reserve("n2", request_id, key, 5);
    }
    owner.run_until_idle(&mut table);
    let running = ReserveResult::Running { request_id: 1, node: "n1".to_string() };
    expect_that!(owner.replies_to(2), eq(&vec![ReserveResult::Granted]));
    expect_that!(owner.replies_to(3), eq(&vec![running]));
    expect_that!(owner.replies_to(4), eq(&ended(1, KnownOutcome::Unknown)));
}

/// Guards against a grant for a request that its node released while the commit was outstanding.
#[gtest]
fn release_during_commit_takes_effect_after_it() {
    let mut table = MemoryTable::default();
    let mut owner = TestOwner::owning("a", &mut table);
    owner.reserve("n1", 1, "org/k", 5);
    owner.release("n1", 1, "org/k");
    owner.run_until_idle(&mut table);
    expect_that!(owner.replies_to(1), is_empty());
    expect_that!(owner.recorded, eq(&vec![1]));
    let mut successor = TestOwner::owning("b", &mut table);
    successor.reserve("n2", 2, "org/k", 5);
    successor.run_until_idle(&mut table);
    expect_that!(successor.replies_to(2), eq(&vec![ReserveResult::Granted]));
}

/// Guards against committing intents of requests that were refused during a table outage.
#[gtest]
fn intents_past_their_deadline_are_not_committed_after_an_outage() {
    let mut table = MemoryTable::default();
    let mut owner = TestOwner::owning("a", &mut table);
    owner.reserve("n1", 1, "org/first", 5);
    owner.reserve("n1", 2, "org/second", 5);
    let mut attempts = 0;
    let end = owner.now + Duration::from_secs(30);
    while owner.now < end {
        if owner.calls.is_empty() {
            owner.now = owner.shard.next_wakeup().expect("a retry is due");
            owner.handle_event(JournalEvent::Tick);
        } else {
            attempts += 1;
            owner.respond(TableResult::Unavailable);
        }
    }
    expect_that!(attempts, all!(ge(15), le(50)));
    owner.run_until_idle(&mut table);
    expect_that!(table.keys(BATCHES), len(eq(1)));
    expect_that!(owner.replies_to(2), is_empty());
}

/// Guards against unbounded memory use, and against a key that stays reserved after its retention period.
#[gtest]
fn index_is_bounded_and_expired_batches_are_deleted() {
    let mut table = MemoryTable::default();
    let now = Instant::now();
    let shard = JournalShard::new(0, "a".to_string(), 1)
        .with_wall_clock(now, 1_000_000)
        .with_index_limit(2)
        .with_retention(Duration::from_secs(100));
    let mut owner = TestOwner::new(shard, now);
    owner.handle_event(JournalEvent::BecomeOwner);
    owner.run_until_idle(&mut table);
    for (request_id, key) in [(1, "org/1"), (2, "org/2"), (3, "org/3")] {
        owner.reserve("n1", request_id, key, 5);
    }
    owner.run_until_idle(&mut table);
    expect_that!(owner.replies_to(3), eq(&vec![ReserveResult::Full]));
    let before = table.keys(BATCHES);
    owner.now += Duration::from_secs(102);
    owner.handle_event(JournalEvent::Tick);
    owner.reserve("n1", 4, "org/1", 5);
    owner.run_until_idle(&mut table);
    expect_that!(owner.replies_to(4), eq(&vec![ReserveResult::Granted]));
    let after = table.keys(BATCHES);
    expect_that!(after, len(eq(1)));
    expect_that!(before.contains(&after[0]), is_false());
}

/// Guards against a successor that skips a batch that it cannot decode and grants its keys again.
#[gtest]
fn unreadable_batch_prevents_ownership() {
    let mut table = MemoryTable::default();
    let damaged = TableWrite::Put { key: batch_key(0, 1, 1), value: vec![9, 9] };
    table.write(&damaged);
    let mut owner = TestOwner::owning("a", &mut table);
    expect_that!(owner.unreadable_rows, ge(1));
    owner.reserve("n1", 1, "org/k", 5);
    owner.run_until_idle(&mut table);
    expect_that!(owner.replies, is_empty());
    expect_that!(owner.shard.snapshot().epoch, none());
}

/// Guards against a successor that reads only the first page of the retained batches.
#[gtest]
fn successor_reads_all_pages() {
    let mut table = MemoryTable::default();
    let mut former = TestOwner::owning("a", &mut table);
    for request_id in 1..=450 {
        former.reserve("n1", request_id, &format!("org/{request_id}"), 5);
        former.run_until_idle(&mut table);
    }
    expect_that!(table.keys(BATCHES), len(eq(450)));
    let successor = TestOwner::owning("b", &mut table);
    expect_that!(successor.shard.snapshot().keys, eq(450));
}
