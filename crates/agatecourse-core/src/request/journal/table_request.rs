use serde::Serialize;

/// Operation on the table service, which the process performs for the core.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize)]
pub enum TableRequest {
    /// Reads one row. The read must be linearizable.
    Get {
        /// Key of the row.
        key: String,
    },
    /// Reads the rows of a key range in key order. The read must be linearizable.
    List {
        /// Inclusive start of the range.
        from: String,
        /// Exclusive end of the range.
        until: String,
        /// Maximum number of rows to return; the caller reads the rest with further requests.
        limit: usize,
    },
    /// Applies all writes in one transaction if all conditions hold.
    Commit {
        /// Conditions that must all hold; none are needed for an unconditional write.
        conditions: Vec<TableCondition>,
        /// Writes, applied all or not at all.
        writes: Vec<TableWrite>,
    },
}

/// Condition of a transaction: the row was last changed at the given revision.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize)]
pub struct TableCondition {
    /// Key of the row.
    pub key: String,
    /// Revision of the row's last change; 0 requires that the row does not exist.
    pub revision: u64,
}

/// Write operation of a transaction.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize)]
pub enum TableWrite {
    /// Creates or replaces a row.
    Put {
        /// Key of the row.
        key: String,
        /// New value of the row.
        value: Vec<u8>,
    },
    /// Removes a row if it exists.
    Delete {
        /// Key of the row.
        key: String,
    },
}
