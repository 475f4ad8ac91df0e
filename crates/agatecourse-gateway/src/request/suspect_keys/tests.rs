use super::*;
use crate::budget::{BudgetLimits, RequestBody, ResourceBudget};
use crate::connection::parse_request_head;
use googletest::prelude::*;
use prometheus::{IntCounterVec, Opts};
use std::time::Instant;

fn header_names() -> HeaderNames {
    HeaderNames {
        request_id: "id".to_string(),
        deadline_ms: "deadline".to_string(),
        expected_target: "target".to_string(),
        organisation: "organisation".to_string(),
        response_proof: "proof".to_string(),
        not_run: "not-run".to_string(),
        target_limit: "limit".to_string(),
        target_brittleness: String::new(),
        target_leaving: String::new(),
        last_event_id: "last-event-id".to_string(),
        token_count: "tokens".to_string(),
        length_hint: "hint".to_string(),
        prompt_parts: "parts".to_string(),
        key_scheme: "Token".to_string(),
        reserved: Vec::new(),
    }
}

fn keys_of(parts: &str, body: &str) -> SuspectKeys {
    let text = format!("POST /a HTTP/1.1\r\nparts: {parts}\r\n\r\n");
    let (head, _) = parse_request_head(text.as_bytes()).expect("it parses").expect("it is whole");
    let refusals = IntCounterVec::new(Opts::new("refusals", "Refusals"), &["reason"]);
    let budget =
        ResourceBudget::new(BudgetLimits::new(160, 4_100), refusals.expect("the name is valid"));
    let slot = budget.accept_caller(Instant::now()).expect("the budget has room");
    let body = RequestBody::from(body.as_bytes().to_vec());
    let request =
        CallerRequest { head, body: body.into(), held: slot.hold(), arrived: Instant::now() };
    suspect_keys(&request, &header_names())
}

/// Guards against requests that share a prompt part and have no key in common, and against a key for the last part, which is
/// the request's own.
#[gtest]
fn requests_share_the_keys_of_their_common_parts() {
    let one = keys_of("a:10,b:20,c:30", "one");
    let other = keys_of("a:10, b:25, d:30", "other");
    expect_that!(one.len(), eq(3));
    expect_that!(one[1..], eq(&other[1..]));
    expect_that!(one[0], not(eq(other[0])));
    expect_that!(keys_of("c:30", "one").len(), eq(1));
    expect_that!(keys_of("", "one").len(), eq(1));
}

/// Guards against keys that do not fit a datagram when a prompt has many parts.
#[gtest]
fn keys_of_a_request_are_bounded() {
    let parts: Vec<String> = (0..500).map(|number| format!("{number:x}:1")).collect();
    expect_that!(keys_of(&parts.join(","), "").len(), eq(MAX_KEYS));
}
