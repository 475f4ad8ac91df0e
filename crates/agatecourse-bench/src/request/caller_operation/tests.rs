use super::*;
use googletest::prelude::*;

fn answer(body: String) -> LoadResponse {
    let (request_id, body) = ("1".to_string(), body.into_bytes());
    LoadResponse { status: 200, request_id, body, elapsed: Duration::ZERO }
}

fn service_answer(request_id: &str, path: &str, body: &str) -> LoadResponse {
    let answer_of = ServiceAnswer {
        service: "ordering".to_string(),
        order_number: 1,
        request_id: request_id.to_string(),
        method: "POST".to_string(),
        path: path.to_string(),
        body_sha256: ServiceAnswer::hash_body(body.as_bytes()),
    };
    answer(serde_json::to_string(&answer_of).unwrap())
}

/// Guards against a bench that accepts the response to another order as the caller's own.
#[gtest]
fn only_response_to_own_order_has_expected_hash() {
    let order = CallerOperation::new(OperationKind::Order, 7);
    let (body, other) = (r#"{"branch":7,"panes":20}"#, r#"{"branch":8,"panes":20}"#);
    let table = [
        (service_answer("1", "/orders", body), true),
        (service_answer("2", "/orders", body), false),
        (service_answer("1", "/stock", body), false),
        (service_answer("1", "/orders", other), false),
        (answer("truncated".to_string()), false),
    ];
    for (received, is_own) in table {
        let (hash, _) = order.received_hash(&received);
        expect_that!(hash == order.expected_hash("1"), eq(is_own), "{received:?}");
    }
}

/// Guards against a bench that accepts a truncated note or another caller's note as the complete own note.
#[gtest]
fn only_complete_own_note_has_expected_hash() {
    let note = CallerOperation::new(OperationKind::Note, 7);
    let whole = expected_answer("1", &prompt(OperationKind::Note, 7), ANSWER_TOKENS);
    let other = expected_answer("1", &prompt(OperationKind::Note, 8), ANSWER_TOKENS);
    let table = [(whole.as_str(), true), (&whole[..whole.len() - 1], false), (&other, false)];
    for (text, is_own) in table {
        let received = answer(json!({"choices": [{"message": {"content": text}}]}).to_string());
        let (hash, _) = note.received_hash(&received);
        expect_that!(hash == note.expected_hash("1"), eq(is_own), "{text}");
    }
}
