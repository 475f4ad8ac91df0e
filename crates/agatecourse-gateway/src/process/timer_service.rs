use super::panics::run_isolated;
use slog::{Logger, error};
use std::cell::RefCell;
use std::time::{Duration, Instant};

/// Interval at which due subscriptions are checked; the shortest effective period.
const RESOLUTION: Duration = Duration::from_millis(20);

struct Subscription {
    period: Duration,
    due: Instant,
    notify: Box<dyn FnMut(Instant)>,
}

/// Runs periodic callbacks from one task.
#[derive(Default)]
pub struct TimerService {
    subscriptions: RefCell<Vec<Subscription>>,
}

impl std::fmt::Debug for TimerService {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter
            .debug_struct("TimerService")
            .field("subscriptions", &self.subscriptions.borrow().len())
            .finish()
    }
}

impl TimerService {
    /// Creates a service without subscriptions.
    pub fn new() -> Self {
        Self::default()
    }

    /// Calls `notify` once per period with the current time.
    pub fn subscribe(&self, period: Duration, notify: impl FnMut(Instant) + 'static) {
        let subscription =
            Subscription { period, due: Instant::now() + period, notify: Box::new(notify) };
        self.subscriptions.borrow_mut().push(subscription);
    }

    /// Calls the due callbacks; returns the messages of those that panicked, which are called again when they are next due. Subscriptions that a
    /// callback adds are first checked in the next call.
    pub fn notify_due(&self, now: Instant) -> Vec<String> {
        let mut panics = Vec::new();
        let mut running = self.subscriptions.take();
        for subscription in &mut running {
            if subscription.due <= now {
                subscription.due = now + subscription.period;
                panics.extend(run_isolated(|| (subscription.notify)(now)).err());
            }
        }
        let mut added = self.subscriptions.borrow_mut();
        running.append(&mut added);
        *added = running;
        panics
    }

    /// Calls due callbacks until the future is dropped; logs those that panic.
    pub async fn run(&self, log: &Logger) {
        loop {
            tokio::time::sleep(RESOLUTION).await;
            for panic in self.notify_due(Instant::now()) {
                error!(log, "periodic work failed"; "panic" => panic);
            }
        }
    }
}
