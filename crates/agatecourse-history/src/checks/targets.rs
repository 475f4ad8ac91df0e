use crate::{CheckLimits, HistoryEvent, Record, Violation};
use std::collections::BTreeMap;

/// Checks invariant 7: a leaving target receives no requests after [`CheckLimits::leaving_target_stop`] (3 s by
/// default).
pub fn leaving_target_idle(history: &[Record], limits: &CheckLimits) -> Vec<Violation> {
    let limit_us = limits.leaving_target_stop.as_micros() as u64;
    let mut leaving: BTreeMap<&str, &Record> = BTreeMap::new();
    let mut violations = Vec::new();
    for record in history {
        match &record.event {
            HistoryEvent::TargetLeaving { target } => {
                leaving.entry(target).or_insert(record);
            }
            HistoryEvent::TargetReturned { target } => {
                leaving.remove(target.as_str());
            }
            HistoryEvent::Dispatched { target, .. } => {
                let Some(left) = leaving.get(target.as_str()) else { continue };
                if record.at_us > left.at_us + limit_us {
                    let after_ms = (record.at_us - left.at_us) / 1000;
                    let detail = format!(
                        "target {target} got a request {after_ms} ms after it announced that it leaves"
                    );
                    violations.push(Violation::new("leaving_target_idle", detail, [*left, record]));
                }
            }
            _ => {}
        }
    }
    violations
}
