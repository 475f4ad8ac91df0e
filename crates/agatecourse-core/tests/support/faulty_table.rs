use super::{InjectedBug, MemoryTable};
use agatecourse_core::request::journal::{TableRequest, TableResult};

/// Table with outages and increased latency in virtual time. The simulation decides which responses are lost.
#[derive(Debug, Default)]
pub struct FaultyTable {
    pub rows: MemoryTable,
    pub unavailable_until_us: u64,
    pub slow_until_us: u64,
    pub slow_latency_us: u64,
    pub responses_lost_until_us: u64,
}

impl FaultyTable {
    /// Returns the time until a request reaches the table.
    pub fn latency_us(&self, now_us: u64) -> u64 {
        if now_us < self.slow_until_us { self.slow_latency_us } else { 1_000 }
    }

    /// Applies a request, with the injected bug if it affects the table, unless the table is unavailable.
    pub fn answer(&mut self, now_us: u64, request: &TableRequest, bug: InjectedBug) -> TableResult {
        if now_us < self.unavailable_until_us {
            return TableResult::Unavailable;
        }
        match (bug, request) {
            (InjectedBug::IgnoreConditions, TableRequest::Commit { writes, .. }) => self
                .rows
                .apply(&TableRequest::Commit { conditions: Vec::new(), writes: writes.clone() }),
            (InjectedBug::HideBatches, TableRequest::List { .. }) => TableResult::Rows(Vec::new()),
            _ => self.rows.apply(request),
        }
    }
}
