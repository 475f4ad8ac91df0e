use crate::request::journal::{TableRequest, TableResult, TableRow, TableWrite};
use std::collections::BTreeMap;

/// In-memory table service that simulates outages and lost responses, for tests and benches.
///
/// ```
/// use agatecourse_core::process::MemoryTable;
/// use agatecourse_core::request::journal::{TableRequest, TableResult};
///
/// let mut table = MemoryTable::new();
/// let request = TableRequest::Get { key: "config/current".to_string() };
/// assert_eq!(table.apply(&request), TableResult::Row(None));
/// ```
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct MemoryTable {
    rows: BTreeMap<String, TableRow>,
    revision: u64,
    commits: u64,
    /// Whether all requests fail with [`TableResult::Unavailable`].
    pub is_down: bool,
    /// Whether commits take effect but return [`TableResult::OutcomeUnknown`].
    pub loses_answers: bool,
}

impl MemoryTable {
    /// Creates an empty table without simulated faults.
    pub fn new() -> Self {
        Self::default()
    }

    /// Applies a request and returns its result.
    pub fn apply(&mut self, request: &TableRequest) -> TableResult {
        if self.is_down {
            return TableResult::Unavailable;
        }
        match request {
            TableRequest::Get { key } => TableResult::Row(self.rows.get(key).cloned()),
            TableRequest::List { from, until, limit } => {
                let range = self.rows.range(from.clone()..until.clone());
                TableResult::Rows(range.take(*limit).map(|(_, row)| row.clone()).collect())
            }
            TableRequest::Commit { conditions, writes } => {
                let holds = conditions.iter().all(|condition| {
                    let found = self.rows.get(&condition.key).map_or(0, |row| row.revision);
                    found == condition.revision
                });
                if !holds {
                    return TableResult::Conflict;
                }
                self.revision += 1;
                self.commits += 1;
                for write in writes {
                    self.write(write);
                }
                if self.loses_answers {
                    TableResult::OutcomeUnknown
                } else {
                    TableResult::Committed
                }
            }
        }
    }

    /// Returns the number of commits that took effect.
    pub fn commits(&self) -> u64 {
        self.commits
    }

    /// Returns the keys that start with `prefix`, in order.
    pub fn keys(&self, prefix: &str) -> Vec<String> {
        self.rows.keys().filter(|key| key.starts_with(prefix)).cloned().collect()
    }

    /// Returns the row with this key.
    pub fn row(&self, key: &str) -> Option<&TableRow> {
        self.rows.get(key)
    }

    /// Applies a write unconditionally, at the current revision of the table.
    pub fn write(&mut self, write: &TableWrite) {
        match write {
            TableWrite::Put { key, value } => {
                let (key, value, revision) = (key.clone(), value.clone(), self.revision);
                self.rows.insert(key.clone(), TableRow { key, value, revision });
            }
            TableWrite::Delete { key } => {
                self.rows.remove(key);
            }
        }
    }
}
