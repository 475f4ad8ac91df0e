use crate::{HistoryEvent, Record, Violation};
use agatecourse_types::{Incarnation, RequestId, Tier};
use std::collections::BTreeMap;

/// Node and incarnation of the pool owner, and the pool.
type QueueKey<'a> = (&'a str, Incarnation, &'a str);

/// Checks invariant 2: a higher tier is never shed before a lower one.
///
/// The queues of different owner incarnations are checked separately, because two owners of a pool at the same time
/// can't see each other's queue.
pub fn tier_order(history: &[Record]) -> Vec<Violation> {
    let mut queues: BTreeMap<QueueKey, BTreeMap<RequestId, (Tier, &Record)>> = BTreeMap::new();
    let mut violations = Vec::new();
    for record in history {
        let (HistoryEvent::Queued { pool, request_id, .. }
        | HistoryEvent::Unqueued { pool, request_id }
        | HistoryEvent::Shed { pool, request_id, .. }) = &record.event
        else {
            continue;
        };
        let queue = queues.entry((&record.node, record.incarnation, pool)).or_default();
        queue.remove(request_id);
        match &record.event {
            HistoryEvent::Queued { tier, .. } => {
                queue.insert(*request_id, (*tier, record));
            }
            HistoryEvent::Shed { tier, .. } => {
                if let Some((lower, queued)) = queue.values().find(|(lower, _)| lower > tier) {
                    let detail =
                        format!("tier {tier} was shed while a request of tier {lower} waited");
                    violations.push(Violation::new("tier_order", detail, [*queued, record]));
                }
            }
            _ => {}
        }
    }
    violations
}
