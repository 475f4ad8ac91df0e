use crate::{HistoryEvent, Record, Violation};
use agatecourse_types::RequestId;
use std::collections::BTreeMap;

/// Checks invariant 4: each caller receives the complete answer to its own request, even when answers are late or
/// swapped.
///
/// An answer that is delivered as complete must have been produced completely, with the same bytes, by the caller's
/// request or by one with the same idempotency key and body.
pub fn own_whole_answer(history: &[Record]) -> Vec<Violation> {
    let mut produced: BTreeMap<RequestId, Vec<u64>> = BTreeMap::new();
    let mut accepted: BTreeMap<RequestId, &Record> = BTreeMap::new();
    for record in history {
        match &record.event {
            HistoryEvent::Produced { request_id, answer_hash } => {
                produced.entry(*request_id).or_default().push(*answer_hash);
            }
            HistoryEvent::Accepted { request_id, .. } => {
                accepted.insert(*request_id, record);
            }
            _ => {}
        }
    }
    let mut violations = Vec::new();
    for record in history {
        let HistoryEvent::Delivered { request_id, produced_by, answer_hash, whole: true } =
            &record.event
        else {
            continue;
        };
        let (own, source) = (accepted.get(request_id), accepted.get(produced_by));
        let detail = if !produced.get(produced_by).is_some_and(|all| all.contains(answer_hash)) {
            format!("request {produced_by:032x} did not produce the delivered answer")
        } else if request_id != produced_by && !has_same_key_and_body(own, source) {
            format!("request {request_id:032x} got the answer of another request")
        } else {
            continue;
        };
        let involved = own.into_iter().chain(source).copied().chain([record]);
        violations.push(Violation::new("own_whole_answer", detail, involved));
    }
    violations
}

fn has_same_key_and_body(own: Option<&&Record>, source: Option<&&Record>) -> bool {
    let identity = |record: &&Record| match &record.event {
        HistoryEvent::Accepted { key: Some(key), body_hash, .. } => Some((key.clone(), *body_hash)),
        _ => None,
    };
    let own = own.and_then(identity);
    own.is_some() && own == source.and_then(identity)
}
