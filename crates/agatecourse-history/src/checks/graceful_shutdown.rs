use crate::{HistoryEvent, Record, Violation};
use agatecourse_types::{RequestId, ResultCode};
use std::collections::{BTreeMap, BTreeSet};

/// Requests that were open when a node began its shutdown and have not ended since.
#[derive(Debug, Default)]
struct ActiveShutdown<'a> {
    open: BTreeMap<RequestId, &'a Record>,
}

/// Tracks the open requests of each node and the shutdowns in progress.
#[derive(Debug, Default)]
struct ShutdownTracker<'a> {
    open: BTreeMap<&'a str, BTreeMap<RequestId, &'a Record>>,
    shutdowns: BTreeMap<&'a str, ActiveShutdown<'a>>,
    targets: BTreeMap<RequestId, &'a str>,
    dead_targets: BTreeSet<&'a str>,
    violations: Vec<Violation>,
}

/// Checks invariant 8: a graceful shutdown interrupts no request.
///
/// A request is interrupted when it was accepted before the shutdown and then either has not ended when the shutdown
/// ends, is refused because of the shutdown, or gets an incomplete answer although its target did not die.
pub fn graceful_shutdown(history: &[Record]) -> Vec<Violation> {
    let mut tracker = ShutdownTracker::default();
    for record in history {
        tracker.apply_record(record);
    }
    tracker.violations
}

impl<'a> ShutdownTracker<'a> {
    fn apply_record(&mut self, record: &'a Record) {
        match &record.event {
            HistoryEvent::Accepted { request_id, .. } => {
                self.open.entry(&record.node).or_default().insert(*request_id, record);
            }
            HistoryEvent::Dispatched { request_id, target, .. } => {
                self.targets.insert(*request_id, target);
            }
            HistoryEvent::TargetDied { target } => {
                self.dead_targets.insert(target);
            }
            HistoryEvent::TargetReturned { target } => {
                self.dead_targets.remove(target.as_str());
            }
            HistoryEvent::Refused { request_id, code, .. } => {
                self.end_request(*request_id, record, *code == ResultCode::ShuttingDown.number());
            }
            HistoryEvent::Delivered { request_id, whole, .. } => {
                let target = self.targets.get(request_id);
                let target_died = target.is_some_and(|name| self.dead_targets.contains(name));
                self.end_request(*request_id, record, !whole && !target_died);
            }
            HistoryEvent::CallerLeft { request_id } => self.end_request(*request_id, record, false),
            HistoryEvent::NodeDied { subject } => {
                self.open.remove(subject.as_str());
                self.shutdowns.remove(subject.as_str());
            }
            HistoryEvent::ShutdownBegan { subject } => {
                let open = self.open.get(subject.as_str()).cloned().unwrap_or_default();
                self.shutdowns.insert(subject, ActiveShutdown { open });
            }
            HistoryEvent::ShutdownEnded { subject } => {
                let shutdown = self.shutdowns.remove(subject.as_str()).unwrap_or_default();
                for (request_id, accepted) in shutdown.open {
                    self.report_interruption(request_id, accepted, record);
                }
                self.open.remove(subject.as_str());
            }
            _ => {}
        }
    }

    fn end_request(&mut self, request_id: RequestId, record: &'a Record, is_interrupted: bool) {
        for open in self.open.values_mut() {
            open.remove(&request_id);
        }
        let removed =
            self.shutdowns.values_mut().find_map(|shutdown| shutdown.open.remove(&request_id));
        if let Some(accepted) = removed.filter(|_| is_interrupted) {
            self.report_interruption(request_id, accepted, record);
        }
    }

    fn report_interruption(&mut self, request_id: RequestId, accepted: &Record, record: &Record) {
        let detail = format!("request {request_id:032x} was interrupted by a graceful shutdown");
        self.violations.push(Violation::new("graceful_shutdown", detail, [accepted, record]));
    }
}
