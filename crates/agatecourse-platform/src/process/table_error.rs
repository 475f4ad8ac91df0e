use snafu::Snafu;

/// Error of a request to the table, by whether a transaction may have been applied.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum TableError {
    /// Nothing was applied; the operation can be retried.
    #[snafu(display("table unavailable, nothing applied: {detail}"))]
    Unavailable {
        /// Error of the HTTP client, or the status and the start of the response body.
        detail: String,
    },
    /// The transaction may have been applied. Read the rows before retrying.
    #[snafu(display("outcome of the table transaction unknown: {detail}"))]
    OutcomeUnknown {
        /// Error of the HTTP client, or the status and the start of the response body.
        detail: String,
    },
    /// The table rejected the operation as invalid; nothing was applied, and a retry would fail as well.
    #[snafu(display("table rejected the operation with status {status}: {detail}"))]
    Rejected {
        /// HTTP status code.
        status: u16,
        /// First characters of the response body.
        detail: String,
    },
}
