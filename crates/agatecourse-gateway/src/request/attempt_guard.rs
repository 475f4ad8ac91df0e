use crate::process::Gateway;
use agatecourse_core::request::dispatch::{JobNumber, RunEnd, RunReport};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Reports the end of an attempt to the queue, also when the future is dropped because the caller disconnected.
#[derive(Debug)]
pub(crate) struct AttemptGuard {
    gateway: Rc<Gateway>,
    number: JobNumber,
    granted_at: Option<Instant>,
    is_reported: bool,
}

impl AttemptGuard {
    pub(crate) fn new(gateway: &Rc<Gateway>, number: JobNumber) -> Self {
        Self { gateway: Rc::clone(gateway), number, granted_at: None, is_reported: false }
    }

    /// Records when the queue granted a target.
    pub(crate) fn record_grant(&mut self, now: Instant) {
        self.granted_at = Some(now);
    }

    /// Reports the given end, so that dropping the guard reports nothing.
    pub(crate) fn end(mut self, end: RunEnd) {
        self.report(end);
    }

    fn report(&mut self, end: RunEnd) {
        let now = Instant::now();
        let elapsed = self
            .granted_at
            .map_or(Duration::ZERO, |granted| now.saturating_duration_since(granted));
        self.is_reported = true;
        self.gateway.finish(now, self.number, RunReport { end, elapsed });
    }
}

impl Drop for AttemptGuard {
    fn drop(&mut self) {
        if !self.is_reported {
            self.report(if self.granted_at.is_some() { RunEnd::Abandoned } else { RunEnd::Unused });
        }
    }
}
