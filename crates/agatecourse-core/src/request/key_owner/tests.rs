use super::*;
use googletest::prelude::*;

fn record(request_id: RequestId, node: &str, target: Option<&str>) -> KeyRecord {
    let target = target.map(ToString::to_string);
    KeyRecord { body_hash: 1, request_id, node: node.to_string(), target }
}

/// Guards against a repeated request that is dispatched although the first one is still reachable.
#[gtest]
fn repeated_request_uses_live_node_or_target_of_the_first() {
    let own = record(2, "b", None);
    let started = record(1, "a", Some("t"));
    let resume = KeyDecision::Resume { request_id: 1, target: "t".to_string() };
    let cases = [
        (own.clone(), true, true, KeyDecision::Dispatch),
        (started.clone(), true, true, KeyDecision::Attach(started.clone())),
        (started.clone(), false, true, resume),
        (started, false, false, KeyDecision::Unknown),
        (record(1, "a", None), false, true, KeyDecision::Unknown),
        (KeyRecord { body_hash: 2, ..record(1, "a", None) }, true, true, KeyDecision::OtherBody),
    ];
    for (holder, node_is_live, target_is_live, expected) in cases {
        let decision = decide_key(&own, holder.clone(), |_| node_is_live, |_| target_is_live);
        expect_that!(decision, eq(&expected), "{holder:?} {node_is_live} {target_is_live}");
    }
}

/// Guards against a later claim that replaces the holder, a claim that loses the recorded target, and unbounded memory.
#[gtest]
fn first_claim_holds_until_release_retention_or_bound() {
    let start = Instant::now();
    let mut owner = KeyOwner::new().with_limit(2).with_retention(Duration::from_secs(10));
    owner.claim(start, "k", record(1, "a", None));
    owner.claim(start, "k", record(1, "a", Some("t")));
    owner.claim(start, "k", record(1, "a", None));
    expect_that!(owner.claim(start, "k", record(2, "b", None)), eq(&record(1, "a", Some("t"))));
    owner.release("k", 2);
    expect_that!(owner.lookup("k"), some(anything()));
    owner.release("k", 1);
    expect_that!(owner.claim(start, "k", record(3, "b", None)).request_id, eq(3));

    owner.claim(start, "l", record(4, "a", None));
    owner.claim(start, "m", record(5, "a", None));
    expect_that!(owner.len(), eq(2));
    expect_that!(owner.lookup("k"), none());
    let later = start + Duration::from_secs(10);
    expect_that!(owner.claim(later, "l", record(6, "b", None)).request_id, eq(6));
    expect_that!(owner.len(), eq(1));
}
