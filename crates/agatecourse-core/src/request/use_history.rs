use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Number of time steps into which a window is divided; bounds the size of a recorded history.
const STEPS_PER_WINDOW: u32 = 8;

/// Amounts that were sent within a sliding window, with the times at which they became known.
///
/// An amount is never dated earlier than it was sent: amounts of one time step get the time of the latest. Whoever restores
/// a history therefore frees none of its amounts too early.
#[derive(Debug, Clone)]
pub struct UseHistory {
    width: Duration,
    amounts: VecDeque<(Instant, u64)>,
    /// Start of the time step to which the newest amount belongs.
    step_started: Option<Instant>,
}

impl UseHistory {
    /// Creates an empty history; `width` is the time for which an amount stays in the window.
    pub fn new(width: Duration) -> Self {
        Self { width, amounts: VecDeque::new(), step_started: None }
    }

    /// Adds an amount that was sent at `now` or shortly before.
    pub fn add(&mut self, now: Instant, amount: u64) {
        if amount == 0 {
            return;
        }
        self.remove_expired(now);
        let is_same_step = self.step_started.is_some_and(|started| {
            now.saturating_duration_since(started) < self.width / STEPS_PER_WINDOW
        });
        match self.amounts.back_mut() {
            Some((at, sum)) if is_same_step => {
                *at = now;
                *sum += amount;
            }
            _ => {
                self.step_started = Some(now);
                self.amounts.push_back((now, amount));
            }
        }
    }

    /// Adds amounts, oldest first, that are older than all others in the history.
    pub fn restore(&mut self, amounts: &[(Instant, u64)]) {
        for amount in amounts.iter().rev() {
            self.amounts.push_front(*amount);
        }
    }

    /// Returns the amounts in the window with their ages, oldest first.
    pub fn amounts(&mut self, now: Instant) -> Vec<(Duration, u64)> {
        self.remove_expired(now);
        self.amounts
            .iter()
            .map(|(at, amount)| (now.saturating_duration_since(*at), *amount))
            .collect()
    }

    fn remove_expired(&mut self, now: Instant) {
        while let Some((at, _)) = self.amounts.front()
            && now.saturating_duration_since(*at) >= self.width
        {
            self.amounts.pop_front();
        }
    }
}
