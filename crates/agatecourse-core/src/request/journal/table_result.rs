use serde::Serialize;

/// Row that was read from the table service.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize)]
pub struct TableRow {
    /// Unique key, as text with `/` as separator.
    pub key: String,
    /// Value as it was written.
    pub value: Vec<u8>,
    /// Revision of the row's last change, for use in a [`TableCondition`](super::TableCondition).
    pub revision: u64,
}

/// Result of a [`TableRequest`](super::TableRequest).
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize)]
pub enum TableResult {
    /// The row of a `Get`, if it exists.
    Row(Option<TableRow>),
    /// The rows of a `List`.
    Rows(Vec<TableRow>),
    /// All conditions held and all writes were applied.
    Committed,
    /// A condition did not hold and nothing was applied.
    Conflict,
    /// The table is unavailable and nothing was applied.
    Unavailable,
    /// The response was lost; a commit may have been applied or may still be applied later.
    OutcomeUnknown,
}
