/// Row of the table with the revision of its last write.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub struct TableRow {
    /// UTF-8 key; listings are ordered by its bytes.
    pub key: String,
    /// Stored bytes, which the table doesn't interpret.
    pub value: Vec<u8>,
    /// Revision of the table at which the row was last written; at least 1. Transactions compare it to detect
    /// concurrent writes.
    pub mod_revision: u64,
}

/// Result of one listing request.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub struct TablePage {
    /// Rows ordered by key.
    pub rows: Vec<TableRow>,
    /// Whether the requested range holds further rows after the last row of the page.
    pub more: bool,
}

/// Result of a transaction whose outcome is known.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash)]
pub struct CommitReply {
    /// Whether all conditions were met and all operations were applied; otherwise nothing was applied.
    pub succeeded: bool,
    /// Revision of the table after the transaction; it is the `mod_revision` of the rows that it wrote.
    pub revision: u64,
}
