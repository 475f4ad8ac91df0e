use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

/// Window over which served and refused requests of a rank are compared.
const SHARE_WINDOW: Duration = Duration::from_secs(5);
/// Ratio of a rank's served share to that of all requests below which the rank gets the next free slot. Users require a quarter.
const MIN_SHARE_RATIO: f64 = 0.4;
/// Requests of a rank in the window below which its served share is not evaluated.
const MIN_SHARE_SAMPLES: u32 = 8;

/// Whether an attempt left the queue with a slot or was refused.
#[derive(Debug, Clone, Copy)]
struct QueueOutcome {
    at: Instant,
    rank: u32,
    is_served: bool,
}

#[derive(Debug, Clone, Copy, Default)]
struct Counts {
    decided: u32,
    served: u32,
}

impl Counts {
    fn served_share(self) -> f64 {
        f64::from(self.served) / f64::from(self.decided.max(1))
    }
}

/// Shares of requests that were served in the last seconds, by rank.
#[derive(Debug, Clone, Default)]
pub(super) struct ServedShares {
    outcomes: VecDeque<QueueOutcome>,
    by_rank: BTreeMap<u32, Counts>,
    total: Counts,
}

impl ServedShares {
    /// Records that an attempt left the queue.
    pub(super) fn record(&mut self, now: Instant, rank: u32, is_served: bool) {
        self.outcomes.push_back(QueueOutcome { at: now, rank, is_served });
        for counts in [self.by_rank.entry(rank).or_default(), &mut self.total] {
            counts.decided += 1;
            counts.served += u32::from(is_served);
        }
        self.expire(now);
    }

    /// Removes the outcomes that have left the window.
    pub(super) fn expire(&mut self, now: Instant) {
        while let Some(outcome) = self.outcomes.front().copied()
            && now.saturating_duration_since(outcome.at) >= SHARE_WINDOW
        {
            self.outcomes.pop_front();
            for counts in [self.by_rank.entry(outcome.rank).or_default(), &mut self.total] {
                counts.decided -= 1;
                counts.served -= u32::from(outcome.is_served);
            }
        }
    }

    /// Returns whether a rank is served much less often than all requests together.
    pub(super) fn is_starved(&self, rank: u32) -> bool {
        let counts = self.by_rank.get(&rank).copied().unwrap_or_default();
        counts.decided >= MIN_SHARE_SAMPLES
            && counts.served_share() < MIN_SHARE_RATIO * self.total.served_share()
    }
}
