use crate::Record;
use serde::Serialize;
use std::fmt;

/// Violation of an invariant with the records that prove it.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize)]
pub struct Violation {
    /// Name of the invariant, one of [`INVARIANTS`](crate::checks::INVARIANTS).
    pub invariant: &'static str,
    /// Description of the violation with the requests, targets, nodes or versions concerned.
    pub detail: String,
    /// Records that prove the violation; not always ordered by time.
    pub records: Vec<Record>,
}

impl Violation {
    pub(crate) fn new<'a>(
        invariant: &'static str,
        detail: impl Into<String>,
        records: impl IntoIterator<Item = &'a Record>,
    ) -> Self {
        let records = records.into_iter().cloned().collect();
        Self { invariant, detail: detail.into(), records }
    }
}

impl fmt::Display for Violation {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}: {}", self.invariant, self.detail)?;
        for record in &self.records {
            let line = serde_json::to_string(record).map_err(|_| fmt::Error)?;
            write!(formatter, "\n  {line}")?;
        }
        Ok(())
    }
}
