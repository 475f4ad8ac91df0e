use crate::harness::{Harness, targets, ticket};
use agatecourse_core::request::scheduler::{
    LengthEstimator, OrganisationShare, PoolAction, PoolEvent,
};
use agatecourse_types::{RequestId, ResultCode, Tier};
use agatecourse_wire::request::{DispatchOutcome, Ticket};
use googletest::prelude::*;
use proptest::prelude::*;
use std::collections::BTreeMap;
use std::time::Duration;

const SECOND: Duration = Duration::from_secs(1);

/// Guards against grants in an order other than by tier, then by deadline.
#[gtest]
fn grants_higher_tiers_first_and_earlier_deadlines_within_a_tier() {
    let mut harness = Harness::new(targets(&[1]));
    harness.submit(ticket(1, 2, 60 * SECOND));
    for (request_id, tier, deadline_s) in [(2, 1, 60), (3, 0, 90), (4, 0, 60)] {
        harness.submit(ticket(request_id, tier, deadline_s * SECOND));
    }
    for request_id in [1, 4, 3, 2] {
        harness.finish(request_id, DispatchOutcome::Completed, SECOND);
    }
    expect_that!(harness.granted_ids(), elements_are![eq(&1), eq(&4), eq(&3), eq(&2)]);
}

/// Guards against shares of a tier that don't follow the weights, for example by order of arrival.
#[gtest]
fn shares_a_tier_between_organisations_by_weight() {
    let mut harness = Harness::new(targets(&[1]));
    let share = |organisation: &str, weight| OrganisationShare {
        organisation: organisation.into(),
        weight,
        concurrency: 1_000,
    };
    harness.handle_event(PoolEvent::Organisations(vec![share("north", 1), share("south", 3)]));
    for request_id in 0..400 {
        let organisation = if request_id % 2 == 0 { "north" } else { "south" };
        let ticket = ticket(request_id, 0, 3_600 * SECOND);
        harness.submit(Ticket { organisation: organisation.into(), ..ticket });
    }
    for index in 0..200 {
        let request_id = harness.granted_ids()[index];
        harness.finish(request_id, DispatchOutcome::Completed, SECOND);
    }
    let south =
        harness.granted_ids()[..200].iter().filter(|request_id| *request_id % 2 == 1).count();
    expect_that!(south, all![ge(140), le(160)]);
}

/// Guards against an organisation that exceeds its concurrency limit, and against a finished request that still
/// counts.
#[gtest]
fn limits_the_concurrency_of_an_organisation() {
    let mut harness = Harness::new(targets(&[8]));
    let organisation = "north".to_string();
    harness.handle_event(PoolEvent::Organisations(vec![OrganisationShare {
        organisation,
        weight: 1,
        concurrency: 2,
    }]));
    for request_id in 1..=3 {
        harness.submit(ticket(request_id, 0, 60 * SECOND));
    }
    expect_that!(harness.refused_codes(), elements_are![eq(&(3, ResultCode::OrganisationLimit))]);
    harness.finish(1, DispatchOutcome::Completed, SECOND);
    harness.submit(ticket(4, 0, 60 * SECOND));
    expect_that!(harness.granted_ids(), elements_are![eq(&1), eq(&2), eq(&4)]);
}

/// Guards against grants of requests that can't finish in time, and against a waiting request that gets no refusal
/// by its deadline.
#[gtest]
fn refuses_requests_that_cannot_finish_or_have_expired() {
    let mut harness = Harness::new(targets(&[1]));
    harness.submit(ticket(1, 0, Duration::from_millis(100)));
    harness.submit(ticket(2, 0, 60 * SECOND));
    harness.submit(ticket(3, 0, 3 * SECOND));
    harness.advance(3 * SECOND);
    let expected = [(1, ResultCode::CannotFinish), (3, ResultCode::CannotFinish)];
    expect_that!(harness.refused_codes()[0], eq(expected[0]));
    expect_that!(harness.refused_codes()[1].0, eq(expected[1].0));
    expect_that!(harness.granted_ids(), elements_are![eq(&2)]);
}

/// Guards against a full queue that refuses a request while one of a lower tier waits.
#[gtest]
fn a_full_queue_evicts_the_lowest_tier() {
    let mut harness = Harness::new(targets(&[1]));
    for request_id in 0..=4_096 {
        harness.submit(ticket(request_id, 1, 86_400 * SECOND));
    }
    harness.submit(ticket(9_000, 0, 86_400 * SECOND));
    harness.submit(ticket(9_001, 1, 86_400 * SECOND));
    let full = ResultCode::QueueFull;
    expect_that!(harness.refused_codes(), elements_are![eq(&(4_096, full)), eq(&(9_001, full))]);
    expect_that!(harness.refusals[1].retry_after, some(ge(SECOND)));
}

/// Guards against a second run of a request: by a resent ticket that gets another grant, or by a duplicate that
/// arrives after the end. After `NotSent`, a new grant is right.
#[gtest]
fn answers_resent_tickets_with_the_same_grant() {
    let mut harness = Harness::new(targets(&[2, 2]));
    let first = harness.submit(ticket(1, 0, 60 * SECOND));
    let again = harness.submit(ticket(1, 0, 60 * SECOND));
    expect_that!(again, eq(&first));
    harness.finish(1, DispatchOutcome::Completed, SECOND);
    expect_that!(harness.submit(ticket(1, 0, 60 * SECOND)), is_empty());
    harness.submit(ticket(2, 0, 60 * SECOND));
    harness.finish(2, DispatchOutcome::NotSent, SECOND);
    expect_that!(harness.submit(ticket(2, 0, 60 * SECOND)).len(), eq(1));
}

/// Guards against a queue that keeps requests which would start too late, against shedding of the higher tier, and
/// against retry times that don't match the queue.
#[gtest]
fn sheds_the_lowest_tier_when_the_queue_is_too_long() {
    let mut harness = Harness::new(targets(&[1]));
    for request_id in 0..60 {
        harness.submit(ticket(request_id, 1 + u8::from(request_id.is_multiple_of(2)), 35 * SECOND));
    }
    harness.advance(Duration::from_millis(50));
    let shed: Vec<RequestId> = harness.refusals.iter().map(|refusal| refusal.request_id).collect();
    expect_that!(shed, not(is_empty()));
    expect_that!(shed, each(predicate(|request_id: &RequestId| request_id.is_multiple_of(2))));
    for refusal in &harness.refusals {
        expect_that!(refusal.code, eq(ResultCode::Shed));
        // Thirty to sixty requests of about a second each are queued in this tier and the one above.
        expect_that!(refusal.retry_after, some(all![ge(10 * SECOND), le(60 * SECOND)]));
    }
}

/// Guards against estimates that mix organisations or prompt sizes, and against estimates from too few answers.
#[gtest]
fn estimates_lengths_by_organisation_and_size_class_of_the_prompt() {
    let mut lengths = LengthEstimator::new();
    for _ in 0..3 {
        lengths.learn("drafts", "north", 200, 30);
    }
    expect_that!(lengths.estimate("drafts", "north", 200), none());
    lengths.learn("drafts", "north", 200, 30);
    for _ in 0..4 {
        lengths.learn("drafts", "south", 200, 90);
    }
    let mean = |organisation, read_tokens| {
        lengths.estimate("drafts", organisation, read_tokens).map(|estimate| estimate.mean)
    };
    expect_that!(mean("north", 200), some(eq(30)));
    expect_that!(mean("south", 150), some(eq(90)));
    expect_that!(mean("west", 200), some(eq(60)));
    expect_that!(mean("north", 4_000), none());
}

/// Waiting requests with their tiers, tracked from submissions and actions.
#[derive(Default)]
struct WaitingTiers(BTreeMap<RequestId, Tier>);

impl WaitingTiers {
    /// Applies actions in order; returns the first request that was shed while a lower tier waited.
    fn apply_until_inversion(&mut self, actions: &[PoolAction]) -> Option<RequestId> {
        for action in actions {
            match action {
                PoolAction::Grant { grant, .. } => self.0.remove(&grant.request_id),
                PoolAction::Refuse { refusal, .. } => {
                    let tier = self.0.remove(&refusal.request_id);
                    let shed = matches!(
                        refusal.code,
                        ResultCode::Shed | ResultCode::QueueFull | ResultCode::CannotFinish
                    );
                    if shed && tier.is_some_and(|tier| self.0.values().any(|other| *other > tier)) {
                        return Some(refusal.request_id);
                    }
                    tier
                }
                PoolAction::CancelRunning { .. } => None,
            };
        }
        None
    }
}

proptest! {
    /// Guards against a request that is shed while one of a lower tier waits, and against a queue while all targets
    /// are idle.
    #[test]
    fn sheds_the_lowest_tier_first_and_uses_idle_targets(
        steps in prop::collection::vec((0_u8..4, 1_u64..40, 1_u32..400, 0_u64..400, any::<bool>()), 1..200),
    ) {
        let mut harness = Harness::new(targets(&[2, 1]));
        let mut waiting = WaitingTiers::default();
        let mut running: Vec<RequestId> = Vec::new();
        for (index, (tier, deadline_s, write_tokens, gap_ms, finish)) in steps.into_iter().enumerate() {
            let before = harness.grants.len();
            harness.now += Duration::from_millis(gap_ms);
            let mut actions = harness.handle_event(PoolEvent::Tick);
            prop_assert_eq!(waiting.apply_until_inversion(&actions), None);
            if finish && !running.is_empty() {
                let finished = running.remove(0);
                actions = harness.finish(finished, DispatchOutcome::Completed, SECOND);
                prop_assert_eq!(waiting.apply_until_inversion(&actions), None);
            }
            let request_id = index as RequestId;
            // A request that can't finish even on an idle pool is refused whatever else waits, so deadlines are
            // long enough for that.
            let ticket = Ticket { write_tokens, ..ticket(request_id, tier, Duration::from_secs(deadline_s + 12)) };
            waiting.0.insert(request_id, tier);
            actions = harness.submit(ticket);
            prop_assert_eq!(waiting.apply_until_inversion(&actions), None);
            running.extend(harness.granted_ids().into_iter().skip(before));
            let snapshot = harness.scheduler.snapshot(harness.now);
            let idle = snapshot.targets.iter().all(|target| target.in_flight == 0);
            prop_assert!(!idle || snapshot.tiers.is_empty(), "idle pool with a queue: {snapshot:?}");
        }
    }
}
