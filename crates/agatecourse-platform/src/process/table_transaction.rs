/// Condition on the revision of one row.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub struct TableCompare {
    /// Key of the row, which may be missing.
    pub key: String,
    /// Expected revision of the last write; 0 requires that the row doesn't exist.
    pub mod_revision: u64,
}

/// Write that a transaction makes when all its conditions are met.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum TableOperation {
    /// Creates or replaces a row.
    Put {
        /// Key of the row to write.
        key: String,
        /// Bytes to store, in place of the earlier value.
        value: Vec<u8>,
    },
    /// Deletes a row; a missing row is no error.
    Delete {
        /// Key of the row to delete.
        key: String,
    },
    /// Deletes all rows with `first <= key < end`.
    DeleteRange {
        /// Inclusive start of the range.
        first: String,
        /// Exclusive end of the range.
        end: String,
    },
}

/// Conditional transaction, which applies all of its operations or none.
///
/// ```
/// use agatecourse_platform::TableTransaction;
///
/// let take_over = TableTransaction::new()
///     .with_compare("journal/0/owner", 17)
///     .with_put("journal/0/owner", "node-b");
/// assert_eq!(take_over.compares.len(), 1);
/// ```
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub struct TableTransaction {
    /// Conditions, all of which must be met.
    pub compares: Vec<TableCompare>,
    /// Writes, applied in one revision; the table rejects a transaction that writes a key twice.
    pub operations: Vec<TableOperation>,
}

impl TableTransaction {
    /// Creates a transaction without conditions and operations.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds the condition that a row was last written at the given revision.
    #[must_use]
    pub fn with_compare(mut self, key: impl Into<String>, mod_revision: u64) -> Self {
        self.compares.push(TableCompare { key: key.into(), mod_revision });
        self
    }

    /// Adds the condition that a row doesn't exist.
    #[must_use]
    pub fn with_absent(self, key: impl Into<String>) -> Self {
        self.with_compare(key, 0)
    }

    /// Adds an operation that creates or replaces a row.
    #[must_use]
    pub fn with_put(mut self, key: impl Into<String>, value: impl Into<Vec<u8>>) -> Self {
        self.operations.push(TableOperation::Put { key: key.into(), value: value.into() });
        self
    }

    /// Adds an operation that deletes a row.
    #[must_use]
    pub fn with_delete(mut self, key: impl Into<String>) -> Self {
        self.operations.push(TableOperation::Delete { key: key.into() });
        self
    }

    /// Adds an operation that deletes all rows with `first <= key < end`.
    #[must_use]
    pub fn with_delete_range(mut self, first: impl Into<String>, end: impl Into<String>) -> Self {
        self.operations.push(TableOperation::DeleteRange { first: first.into(), end: end.into() });
        self
    }
}
