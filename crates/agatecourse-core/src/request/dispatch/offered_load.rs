use super::service_profile::UNKNOWN_RUN_S;
use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

/// Window over which the rate of arriving work is measured; about the time in which a burst reaches its peak.
pub(super) const OFFER_WINDOW: Duration = Duration::from_secs(1);

/// Expected run time of a submitted attempt, in microseconds, because sums of integers do not drift.
#[derive(Debug, Clone, Copy)]
struct OfferedWork {
    at: Instant,
    rank: u32,
    run_us: u64,
}

/// Work that has arrived in the last second, by rank. Sums are kept up to date, so that a query does not scan the window.
#[derive(Debug, Clone, Default)]
pub(super) struct OfferedLoad {
    offers: VecDeque<OfferedWork>,
    run_us_by_rank: BTreeMap<u32, u64>,
}

impl OfferedLoad {
    /// Records the expected run time of an attempt that has arrived.
    pub(super) fn record(&mut self, now: Instant, rank: u32, run_s: f64) {
        let run_time = Duration::try_from_secs_f64(run_s).unwrap_or_default();
        let offer = OfferedWork { at: now, rank, run_us: run_time.as_micros() as u64 };
        self.offers.push_back(offer);
        *self.run_us_by_rank.entry(rank).or_default() += offer.run_us;
        self.expire(now);
    }

    /// Removes the work that has left the window.
    pub(super) fn expire(&mut self, now: Instant) {
        while let Some(first) = self.offers.front().copied()
            && now.saturating_duration_since(first.at) > OFFER_WINDOW
        {
            self.offers.pop_front();
            if let Some(sum) = self.run_us_by_rank.get_mut(&first.rank) {
                *sum -= first.run_us;
            }
        }
    }

    /// Returns the rate of arriving work of a rank and all more urgent ranks, in slot-seconds per second.
    pub(super) fn rate(&self, rank: u32) -> f64 {
        let sum_us: u64 = self.run_us_by_rank.range(..=rank).map(|(_, sum)| *sum).sum();
        Duration::from_micros(sum_us).as_secs_f64() / OFFER_WINDOW.as_secs_f64()
    }

    /// Returns the mean expected run time of the work in the window.
    pub(super) fn mean_run_s(&self) -> f64 {
        if self.offers.is_empty() {
            return UNKNOWN_RUN_S;
        }
        self.rate(u32::MAX) * OFFER_WINDOW.as_secs_f64() / self.offers.len() as f64
    }
}
