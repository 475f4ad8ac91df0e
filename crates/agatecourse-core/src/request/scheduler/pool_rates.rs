use super::request_state::WaitingRequest;
use super::target_state::TargetState;
use std::time::Duration;

/// Aggregate capacity and speed of the usable targets of a pool.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct PoolRates {
    /// Number of requests that may run at a time on all targets.
    pub slots: f64,
    /// Mean time between tokens of one request at full batches, in seconds.
    pub gap_s: f64,
    /// Mean time to read a prompt token, in seconds.
    pub read_s: f64,
    /// Time between tokens of the fastest target at a batch of one, in seconds.
    pub best_gap_s: f64,
    /// Time to read a prompt token on the fastest target, in seconds.
    pub best_read_s: f64,
}

impl PoolRates {
    /// Computes the rates of the usable targets, or of all targets if none is usable.
    pub(super) fn new(targets: &[TargetState]) -> Self {
        let usable = targets.iter().filter(|target| target.is_usable());
        let mut rates = Self::aggregate(usable);
        if rates.slots == 0.0 {
            rates = Self::aggregate(targets.iter());
        }
        rates
    }

    /// Returns the expected work of a request in slot-seconds.
    pub(super) fn cost_s(&self, read_tokens: u32, write_tokens: u32) -> f64 {
        f64::from(read_tokens) * self.read_s + f64::from(write_tokens) * self.gap_s
    }

    /// Returns the expected time of a request on the fastest target when idle, in seconds.
    pub(super) fn best_run_s(&self, waiting: &WaitingRequest) -> f64 {
        f64::from(waiting.ticket.read_tokens) * self.best_read_s
            + f64::from(waiting.admission_tokens) * self.best_gap_s
    }

    /// Returns the time in seconds that the pool needs for an amount of work in slot-seconds.
    pub(super) fn drain_s(&self, work_s: f64) -> f64 {
        if self.slots > 0.0 { work_s / self.slots } else { work_s }
    }

    /// Returns the time that the pool needs for an amount of work in slot-seconds, at most a day.
    pub(super) fn drain_time(&self, work_s: f64) -> Duration {
        Duration::from_secs_f64(self.drain_s(work_s).clamp(0.0, 86_400.0))
    }

    fn aggregate<'a>(targets: impl Iterator<Item = &'a TargetState>) -> Self {
        let (mut slots, mut tokens_per_s, mut reads_per_s) = (0.0, 0.0, 0.0);
        let (mut best_gap_s, mut best_read_s) = (f64::INFINITY, f64::INFINITY);
        for target in targets {
            let speed = target.speed();
            let capacity = f64::from(target.capacity().max(1));
            slots += capacity;
            tokens_per_s += capacity / speed.gap_s(capacity);
            reads_per_s += capacity / speed.read_s(1.0);
            best_gap_s = best_gap_s.min(speed.gap_s(1.0));
            best_read_s = best_read_s.min(speed.read_s(1.0));
        }
        let (gap_s, read_s) = (slots / tokens_per_s, slots / reads_per_s);
        Self { slots, gap_s, read_s, best_gap_s, best_read_s }
    }
}
