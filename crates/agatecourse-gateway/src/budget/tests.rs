use super::*;
use crate::connection::ChunkedDecoder;
use agatecourse_types::{stable_hash, stable_hash_with_segments};
use bytes::BytesMut;
use googletest::prelude::*;
use prometheus::{IntCounterVec, Opts};
use proptest::prelude::{ProptestConfig, any, prop, prop_assert, prop_assert_eq, proptest};
use std::rc::Rc;
use std::time::{Duration, Instant};

const MIB: usize = 1024 * 1024;
/// Largest body of the users' configurations.
const BODY_BYTES: usize = 4 * MIB;

fn budget_of(memory_mb: usize, max_descriptors: usize) -> Rc<ResourceBudget> {
    let refusals = IntCounterVec::new(Opts::new("refusals", "Refusals"), &["reason"]);
    let limits = BudgetLimits::new(memory_mb, max_descriptors);
    ResourceBudget::new(limits, refusals.expect("the name is valid"))
}

fn accept(budget: &Rc<ResourceBudget>) -> Rc<CallerSlot> {
    budget.accept_caller(Instant::now()).expect("the budget has room")
}

fn request(total_bytes: usize) -> ByteUse {
    ByteUse::Request { total_bytes }
}

fn answer(total_bytes: usize) -> ByteUse {
    ByteUse::Answer { total_bytes }
}

/// Holds the bytes of a large body for a new connection that last advanced this long ago.
fn upload(budget: &Rc<ResourceBudget>, bytes: usize, age: Duration) -> (Rc<CallerSlot>, HeldBytes) {
    let slot = accept(budget);
    let held = slot.hold();
    held.resize(bytes, request(bytes)).expect("the budget has room");
    slot.advance_body(Instant::now().checked_sub(age).unwrap_or_else(Instant::now));
    (slot, held)
}

/// Guards against limits that exceed the users' VMs, or that a single request at the largest size does not fit.
#[gtest]
fn limits_fit_the_vm_and_a_largest_request() {
    for memory_mb in [160, 260, 380, 512] {
        let limits = BudgetLimits::new(memory_mb, 4_100);
        expect_that!(limits.held_bytes, le(memory_mb * MIB / 2));
        expect_that!(limits.held_bytes / 8 * 5, ge(4 * BODY_BYTES));
        expect_that!(limits.shared_sockets, le(4_100 - 200 - 200));
        expect_that!(limits.caller_sockets, le(limits.shared_sockets - 500));
    }
}

/// Guards against a crowd of large bodies that leaves no room for small requests, or of requests that leaves none for answers.
#[gtest]
fn large_bodies_leave_room_for_small_requests_and_those_for_answers() {
    let budget = budget_of(160, 4_100);
    let mut uploads = Vec::new();
    let refused = loop {
        let slot = accept(&budget);
        let held = slot.hold();
        if held.resize(BODY_BYTES, request(BODY_BYTES)).is_err() {
            break held;
        }
        slot.advance_body(Instant::now());
        uploads.push((slot, held));
    };
    expect_that!(uploads.len(), ge(4));
    expect_that!(refused.resize(20_000, request(20_000)), ok(anything()));
    let works: Vec<_> = std::iter::repeat_with(|| {
        let slot = accept(&budget);
        slot.begin_work();
        let held = slot.hold();
        held.resize(60_000, request(60_000)).ok().map(|()| held)
    })
    .map_while(|held| held)
    .collect();
    expect_that!(works.len(), ge(100));
    expect_that!(works[0].resize(120_000, answer(60_000)), ok(anything()));
}

/// Guards against large bodies that displace others which still advance, and against stalled ones that keep the memory.
#[gtest]
fn large_body_displaces_only_the_one_that_has_stalled_longest() {
    let budget = budget_of(160, 4_100);
    let room = budget_limit(&budget) / 8 * 5;
    let (older, _older_held) = upload(&budget, room / 3, Duration::from_secs(3));
    let (newer, _newer_held) = upload(&budget, room / 3, Duration::from_secs(2));
    let (active, _active_held) = upload(&budget, room / 4, Duration::ZERO);
    let wanting = accept(&budget);
    let held = wanting.hold();
    expect_that!(held.resize(room / 4, request(room / 4)), ok(anything()));
    expect_that!(older.eviction(), some(eq(Eviction::Memory)));
    expect_that!(newer.eviction(), none());
    wanting.advance_body(Instant::now());
    let late = accept(&budget).hold();
    expect_that!(late.resize(room / 2, request(room / 2)), err(anything()));
    expect_that!(newer.eviction(), some(eq(Eviction::Memory)));
    expect_that!(active.eviction(), none());
}

fn budget_limit(budget: &Rc<ResourceBudget>) -> usize {
    budget.limits().held_bytes
}

/// Guards against bytes that stay counted after their task was cancelled or has panicked, or that an evicted connection gives back twice.
#[gtest]
fn bytes_are_given_back_once() {
    let budget = budget_of(160, 4_100);
    let (slot, held) = upload(&budget, BODY_BYTES, Duration::from_secs(2));
    let panicked = std::panic::catch_unwind(std::panic::AssertUnwindSafe(|| {
        let _held = slot.hold().resize(1_000, request(1_000));
        let other = accept(&budget).hold();
        other.resize(1_000, request(1_000)).expect("the budget has room");
        panic!("a task fails");
    }));
    expect_that!(panicked, err(anything()));
    let before = budget.held_bytes();
    let full = accept(&budget).hold();
    let room = budget_limit(&budget) / 8 * 5;
    expect_that!(full.resize(room - BODY_BYTES, request(room)), ok(anything()));
    expect_that!(slot.eviction(), some(eq(Eviction::Memory)));
    drop((slot, held));
    expect_that!(budget.held_bytes(), lt(room));
    drop(full);
    expect_that!(budget.held_bytes(), eq(0), "{before} bytes before");
    expect_that!(budget.sockets(), eq((0, 0)));
}

/// Guards against connections without a request that keep others out, and against a request at work that is given up for a connection.
#[gtest]
fn connections_without_a_known_key_are_given_up_first() {
    let budget = budget_of(160, 400);
    let now = Instant::now();
    let known = accept(&budget);
    known.wait_for_request(now, true);
    let at_work = accept(&budget);
    at_work.begin_work();
    let strangers: Vec<_> = std::iter::repeat_with(|| budget.accept_caller(Instant::now()))
        .take(1_000)
        .flatten()
        .collect();
    expect_that!(strangers.len(), eq(1_000));
    expect_that!(budget.sockets().0, le(400 - 200));
    expect_that!(known.eviction(), none());
    expect_that!(at_work.eviction(), none());
    expect_that!(strangers[0].eviction(), some(eq(Eviction::Socket)));
    expect_that!(strangers[999].eviction(), none());
}

/// Guards against callers whose connections leave no socket for targets, so that no request of theirs can run.
#[gtest]
fn targets_get_sockets_beside_all_callers() {
    let budget = budget_of(160, 400);
    let working: Vec<_> = std::iter::repeat_with(|| {
        let slot = budget.accept_caller(Instant::now())?;
        slot.begin_work();
        Some(slot)
    })
    .map_while(|slot| slot)
    .collect();
    let targets: Vec<_> =
        std::iter::repeat_with(|| budget.open_target_socket()).map_while(|permit| permit).collect();
    expect_that!(targets.len(), ge(working.len() / 4));
    expect_that!(working.len() + targets.len(), le(400 - 200 - 24));
    drop(targets);
    expect_that!(budget.sockets(), eq((working.len(), 0)));
}

/// Guards against a request whose key for crashes changes with the sizes in which its body arrives.
#[gtest]
fn hash_of_a_body_is_independent_of_its_segments() {
    let bytes: Vec<u8> = (0..200_000_u32).map(|number| number as u8).collect();
    let mut body = RequestBody::new();
    for piece in bytes.chunks(700) {
        body.append(&mut piece.to_vec());
    }
    expect_that!(body.segments().count(), gt(1));
    expect_that!(
        stable_hash_with_segments(&[b"a"], body.segments()),
        eq(stable_hash(&[b"a", &bytes]))
    );
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(200))]

    /// Guards against very small chunks or reads that cost much more memory than the body has bytes.
    #[test]
    fn decoded_body_has_little_more_capacity_than_bytes(
        chunk_bytes in 1_usize..300, read_bytes in 1_usize..2_000, length in 1_usize..20_000,
    ) {
        let mut coded = Vec::new();
        for start in (0..length).step_by(chunk_bytes) {
            let size = chunk_bytes.min(length - start);
            coded.extend_from_slice(format!("{size:x};note=a\r\n").as_bytes());
            coded.resize(coded.len() + size, b'a');
            coded.extend_from_slice(b"\r\n");
        }
        let (mut decoder, mut input) = (ChunkedDecoder::new(), BytesMut::new());
        let (mut body, mut piece) = (RequestBody::new(), Vec::new());
        for read in coded.chunks(read_bytes) {
            input.extend_from_slice(read);
            prop_assert!(decoder.decode(&mut input, &mut piece).is_ok());
            body.append(&mut piece);
            prop_assert!(body.capacity() + piece.capacity() <= 3 * body.len() + 4_096);
        }
        prop_assert_eq!(body.len(), length);
        prop_assert!(body.segments().flatten().all(|byte| *byte == b'a'));
    }

    /// Guards against a budget that is exceeded, or that does not return to zero, in any order of holding, evicting and dropping.
    #[test]
    fn budget_is_kept_and_returns_to_zero(
        steps in prop::collection::vec((0_usize..8, any::<bool>(), 0_usize..12_000_000, 0_u8..4), 0..60),
    ) {
        let budget = budget_of(64, 260);
        let mut callers: Vec<Option<(Rc<CallerSlot>, HeldBytes)>> = (0..8).map(|_| None).collect();
        for (index, is_answer, bytes, action) in steps {
            let now = Instant::now();
            match (action, callers[index].as_ref()) {
                (0, _) => callers[index] = None,
                (1, Some((slot, _))) => slot.advance_body(now),
                (2, Some((slot, _))) => slot.wait_for_request(now, is_answer),
                (_, Some((_, held))) => {
                    let byte_use = if is_answer { answer(bytes) } else { request(bytes) };
                    let _ = held.resize(bytes, byte_use);
                }
                (_, None) => {
                    callers[index] = budget.accept_caller(now).map(|slot| (Rc::clone(&slot), slot.hold()));
                }
            }
            prop_assert!(budget.held_bytes() <= budget_limit(&budget));
            prop_assert!(budget.sockets().0 <= budget.limits().caller_sockets);
        }
        drop(callers);
        prop_assert_eq!(budget.held_bytes(), 0);
        prop_assert_eq!(budget.sockets(), (0, 0));
    }
}

/// Guards against connections that are given up for a request which has no room even then, because most bytes belong to requests at work.
#[gtest]
fn nothing_is_given_up_for_a_request_that_has_no_room_in_any_case() {
    let budget = budget_of(160, 4_100);
    let (uploading, _bytes) = upload(&budget, 1_000, Duration::ZERO);
    let idle = accept(&budget);
    idle.wait_for_request(Instant::now(), true);
    let busy = accept(&budget);
    busy.begin_work();
    let held = busy.hold();
    let limit = budget.limits().held_bytes;
    held.resize(limit / 8 * 8 - budget.held_bytes(), answer(1)).expect("answers may use all of it");
    expect_that!(budget.accept_caller(Instant::now()).is_none(), eq(true));
    expect_that!(uploading.eviction(), none());
    expect_that!(idle.eviction(), none());
}

/// Guards against bytes of a body that are skipped or sent twice where a socket takes a part of a segment.
#[gtest]
fn body_is_read_in_steps_of_any_size() {
    let bytes: Vec<u8> = (0..200_000_u32).map(|number| (number % 251) as u8).collect();
    let mut body = RequestBody::new();
    for piece in bytes.chunks(7_001) {
        body.append(&mut piece.to_vec());
    }
    let (mut sent, mut step) = (Vec::new(), 1);
    while let Some(rest) = body.bytes_from(sent.len()) {
        sent.extend_from_slice(&rest[..rest.len().min(step)]);
        step = step * 3 % 9_973 + 1;
    }
    expect_that!(sent == bytes, eq(true));
}
