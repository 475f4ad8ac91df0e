use serde::Serialize;
use std::collections::BTreeMap;
use std::time::{SystemTime, UNIX_EPOCH};

/// Largest number of request ids; ids are never dropped, because that could hide a duplicate run.
const ID_LIMIT: usize = 1_000_000;

/// Largest number of run times kept per id; the table stand-in counts all its operations under two ids.
const TIME_LIMIT: usize = 64;

/// Counts how often each request id ran.
///
/// After [`ID_LIMIT`] ids, runs of new ids are not recorded and [`Self::record`] reports it.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub(crate) struct RunCounter {
    runs: BTreeMap<String, RunTally>,
}

/// Count and times of the runs of one id.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
struct RunTally {
    count: u64,
    /// Times of the first runs, in microseconds since the Unix epoch.
    times_us: Vec<u64>,
}

/// Entry of the response to `GET /runs`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub(crate) struct RunCount {
    request_id: String,
    runs: u64,
}

impl RunCounter {
    /// Counts a run, or returns `false` when the id is new and the counter is full.
    #[must_use]
    pub(crate) fn record(&mut self, request_id: &str) -> bool {
        if self.runs.len() >= ID_LIMIT && !self.runs.contains_key(request_id) {
            return false;
        }
        let runs = self.runs.entry(request_id.to_string()).or_default();
        runs.count += 1;
        if runs.times_us.len() < TIME_LIMIT {
            runs.times_us.push(now_us());
        }
        true
    }

    /// Returns all counts, ordered by id.
    pub(crate) fn counts(&self) -> Vec<RunCount> {
        let row = |(id, runs): (&String, &RunTally)| RunCount {
            request_id: id.clone(),
            runs: runs.count,
        };
        self.runs.iter().map(row).collect()
    }

    /// Returns how often a request ran.
    pub(crate) fn runs_of(&self, request_id: &str) -> u64 {
        self.runs.get(request_id).map_or(0, |runs| runs.count)
    }

    /// Returns the sum of all counts.
    pub(crate) fn total_runs(&self) -> u64 {
        self.runs.values().map(|runs| runs.count).sum()
    }

    /// Returns the id and the time of each run in microseconds since the Unix epoch, at most [`TIME_LIMIT`] per id.
    pub(crate) fn run_times(&self) -> Vec<(String, u64)> {
        let runs = self.runs.iter();
        runs.flat_map(|(id, runs)| runs.times_us.iter().map(|time| (id.clone(), *time))).collect()
    }
}

fn now_us() -> u64 {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(elapsed.as_micros()).unwrap_or(u64::MAX)
}
