use crate::request::CacheChange;
use serde::Serialize;
use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Largest number of events kept; dropping the oldest leaves a gap in the sequence.
const EVENT_LIMIT: usize = 10_000;

/// Event log of an engine's prefix cache, which simulates delayed and lost events.
#[derive(Debug, Clone)]
pub(crate) struct CacheEvents {
    lag: Duration,
    gap_every: u64,
    last_seq: u64,
    events: VecDeque<(Instant, CacheEvent)>,
}

/// Insertion or eviction of one prefix block.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub(crate) struct CacheEvent {
    seq: u64,
    kind: &'static str,
    prefix_hash: String,
}

/// Response body of `GET /v1/cache-events`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub(crate) struct CacheEventPage {
    events: Vec<CacheEvent>,
}

impl CacheEvents {
    /// Creates an empty log that drops each `gap_every`-th event; 0 drops none.
    pub(crate) fn new(lag: Duration, gap_every: u64) -> Self {
        Self { lag, gap_every, last_seq: 0, events: VecDeque::new() }
    }

    /// Appends one event per change; the events become visible after the lag.
    pub(crate) fn push(&mut self, changes: &[CacheChange], now: Instant) {
        for change in changes {
            self.last_seq += 1;
            if self.gap_every > 0 && self.last_seq.is_multiple_of(self.gap_every) {
                continue;
            }
            let (kind, hash) = match change {
                CacheChange::Stored(hash) => ("stored", hash),
                CacheChange::Evicted(hash) => ("evicted", hash),
            };
            let event = CacheEvent { seq: self.last_seq, kind, prefix_hash: format_hash(*hash) };
            self.events.push_back((now, event));
        }
        let surplus = self.events.len().saturating_sub(EVENT_LIMIT);
        self.events.drain(..surplus);
    }

    /// Returns the visible events with a sequence number above `seq`.
    pub(crate) fn events_after(&self, seq: u64, now: Instant) -> CacheEventPage {
        let visible = |(at, event): &&(Instant, CacheEvent)| {
            event.seq > seq && now.saturating_duration_since(*at) >= self.lag
        };
        let events = self.events.iter().filter(visible).map(|(_, event)| event.clone()).collect();
        CacheEventPage { events }
    }
}

/// Formats a block hash as 16 hexadecimal digits, because JSON numbers lose precision above 2^53.
pub(crate) fn format_hash(hash: u64) -> String {
    format!("{hash:016x}")
}
