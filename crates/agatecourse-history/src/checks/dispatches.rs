use crate::{HistoryEvent, Record, Violation};
use agatecourse_types::RequestId;
use std::collections::BTreeMap;

/// Returns the dispatches of each request that may have sent a byte.
///
/// `not_sent` cancels the latest dispatch of the request to the same target, because the connection was refused.
pub(super) fn effective_dispatches(history: &[Record]) -> BTreeMap<RequestId, Vec<&Record>> {
    let mut dispatches: BTreeMap<RequestId, Vec<&Record>> = BTreeMap::new();
    for record in history {
        match &record.event {
            HistoryEvent::Dispatched { request_id, .. } => {
                dispatches.entry(*request_id).or_default().push(record);
            }
            HistoryEvent::NotSent { request_id, target } => {
                let sent = dispatches.entry(*request_id).or_default();
                if let Some(position) =
                    sent.iter().rposition(|record| is_dispatch_to(record, target))
                {
                    sent.remove(position);
                }
            }
            _ => {}
        }
    }
    dispatches
}

fn is_dispatch_to(record: &Record, wanted: &str) -> bool {
    matches!(&record.event, HistoryEvent::Dispatched { target, .. } if target == wanted)
}

/// Checks invariant 1: each request is dispatched at most once.
pub fn dispatch_at_most_once(history: &[Record]) -> Vec<Violation> {
    let repeated =
        effective_dispatches(history).into_iter().filter(|(_, records)| records.len() > 1);
    repeated
        .map(|(request_id, records)| {
            let detail =
                format!("request {request_id:032x} was dispatched {} times", records.len());
            Violation::new("dispatch_at_most_once", detail, records)
        })
        .collect()
}
