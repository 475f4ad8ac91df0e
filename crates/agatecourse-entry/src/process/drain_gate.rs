use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use tokio::sync::Notify;

/// Counts running requests and refuses new ones after the shutdown has begun.
#[derive(Debug, Default)]
pub(crate) struct DrainGate {
    closed: AtomicBool,
    running: AtomicUsize,
    idle: Notify,
}

/// Counts a request as running until it is dropped.
#[derive(Debug)]
pub(crate) struct RunningGuard(Arc<DrainGate>);

impl DrainGate {
    /// Counts a new request; `None` after [`Self::close`].
    pub(crate) fn try_enter(self: &Arc<Self>) -> Option<RunningGuard> {
        // Counting before the check ensures that `wait_idle` can't miss a request that passed the check.
        self.running.fetch_add(1, Ordering::SeqCst);
        let guard = RunningGuard(self.clone());
        (!self.is_closed()).then_some(guard)
    }

    /// Refuses new requests from now on; running ones continue.
    pub(crate) fn close(&self) {
        self.closed.store(true, Ordering::SeqCst);
    }

    pub(crate) fn is_closed(&self) -> bool {
        self.closed.load(Ordering::SeqCst)
    }

    pub(crate) fn running(&self) -> usize {
        self.running.load(Ordering::SeqCst)
    }

    /// Waits until no request is running.
    pub(crate) async fn wait_idle(&self) {
        loop {
            let became_idle = self.idle.notified();
            tokio::pin!(became_idle);
            became_idle.as_mut().enable();
            if self.running() == 0 {
                return;
            }
            became_idle.await;
        }
    }
}

impl Drop for RunningGuard {
    fn drop(&mut self) {
        if self.0.running.fetch_sub(1, Ordering::SeqCst) == 1 {
            self.0.idle.notify_waiters();
        }
    }
}
