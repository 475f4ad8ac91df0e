use crate::process::Gateway;
use crate::version::Target;
use agatecourse_core::version::{AnswerTime, RouteHash};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Reports how a run ended for the evaluation of its target's version. A run that is dropped before its end, because its caller has left or the
/// deadline has passed, counts only if it was slow by then.
#[derive(Debug)]
pub(crate) struct RunEvidence {
    gateway: Rc<Gateway>,
    target: Rc<Target>,
    route: RouteHash,
    sent: Instant,
    /// Times of the first and of the latest events of a stream, and the number of times that events came.
    events: Option<(Instant, Instant, u32)>,
    is_reported: bool,
}

impl RunEvidence {
    /// Creates the evidence of a run that is sent now.
    pub(crate) fn new(gateway: &Rc<Gateway>, target: &Rc<Target>, route: RouteHash) -> Self {
        Self {
            gateway: Rc::clone(gateway),
            target: Rc::clone(target),
            route,
            sent: Instant::now(),
            events: None,
            is_reported: false,
        }
    }

    /// Records that events of the stream came.
    pub(crate) fn record_events(&mut self, now: Instant) {
        let (_, last, count) = self.events.get_or_insert((now, now, 0));
        *last = now;
        *count += 1;
    }

    /// Reports that the answer is complete, or that it failed or broke off.
    pub(crate) fn end(mut self, has_failed: bool) {
        self.is_reported = true;
        let now = Instant::now();
        let time = match self.events {
            _ if has_failed => AnswerTime::default(),
            Some((first, last, count)) => AnswerTime {
                first: Some(first.saturating_duration_since(self.sent)),
                pace: (count > 1).then(|| last.saturating_duration_since(first) / (count - 1)),
            },
            None => AnswerTime { first: Some(self.elapsed(now)), pace: None },
        };
        self.gateway.record_answer(&self.target, self.route, has_failed, time);
    }

    /// Reports nothing, because the target did not run the request.
    pub(crate) fn discard(mut self) {
        self.is_reported = true;
    }

    fn elapsed(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.sent)
    }
}

impl Drop for RunEvidence {
    fn drop(&mut self) {
        if self.is_reported {
            return;
        }
        let now = Instant::now();
        let time = match self.events {
            // The next event would come later still.
            Some((_, last, _)) => {
                AnswerTime { first: None, pace: Some(now.saturating_duration_since(last)) }
            }
            None => AnswerTime { first: Some(self.elapsed(now)), pace: None },
        };
        self.gateway.record_unfinished_answer(&self.target, self.route, time);
    }
}
