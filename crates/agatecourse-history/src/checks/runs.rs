use super::dispatches::effective_dispatches;
use crate::{HistoryEvent, Record, Violation};
use agatecourse_types::{RequestId, RunState, format_request_id};
use std::collections::{BTreeMap, BTreeSet};

/// Checks invariant 5: a request that was refused as "not run" did not run.
///
/// The refusal covers the request id that it names. It is wrong when a target ran that request, or when a byte of it
/// may have been sent, at any time before or after the refusal.
pub fn not_run_is_true(history: &[Record]) -> Vec<Violation> {
    let mut evidence = effective_dispatches(history);
    for record in history {
        if let HistoryEvent::Ran { request_id, .. } = &record.event {
            evidence.entry(*request_id).or_default().push(record);
        }
    }
    let refusals = history.iter().filter_map(|record| match &record.event {
        HistoryEvent::Refused { request_id, run: RunState::No, .. } => Some((record, request_id)),
        _ => None,
    });
    refusals
        .filter_map(|(refusal, request_id)| {
            let shown = evidence.get(request_id).filter(|records| !records.is_empty())?;
            let detail = format!("request {request_id:032x} was refused as not run");
            let records = shown.iter().copied().chain([refusal]);
            Some(Violation::new("not_run_is_true", detail, records))
        })
        .collect()
}

/// Checks invariant 6: a non-idempotent request runs at most once.
///
/// Runs of requests with the same idempotency key are counted together. The history must be shorter than the retention
/// of keys, because a key may be reused afterwards. A run without an accepted request counts as non-idempotent.
pub fn run_at_most_once(history: &[Record]) -> Vec<Violation> {
    let mut idempotent: BTreeSet<RequestId> = BTreeSet::new();
    let mut keys: BTreeMap<RequestId, &str> = BTreeMap::new();
    for record in history {
        match &record.event {
            HistoryEvent::Accepted { request_id, idempotent: true, .. } => {
                idempotent.insert(*request_id);
            }
            HistoryEvent::Accepted { request_id, key: Some(key), .. } => {
                keys.insert(*request_id, key);
            }
            _ => {}
        }
    }
    let mut runs: BTreeMap<String, Vec<&Record>> = BTreeMap::new();
    for record in history {
        if let HistoryEvent::Ran { request_id, .. } = &record.event
            && !idempotent.contains(request_id)
        {
            let group = keys.get(request_id).map_or_else(
                || format!("request {}", format_request_id(*request_id)),
                |key| format!("key {key}"),
            );
            runs.entry(group).or_default().push(record);
        }
    }
    let repeated = runs.into_iter().filter(|(_, records)| records.len() > 1);
    repeated
        .map(|(group, records)| {
            let detail = format!("{group} ran {} times", records.len());
            Violation::new("run_at_most_once", detail, records)
        })
        .collect()
}
