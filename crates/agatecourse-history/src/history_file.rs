use crate::Record;
use snafu::{ResultExt, Snafu};
use std::io::{BufRead, Write};

/// Error of reading or writing a history.
#[derive(Debug, Snafu)]
pub enum HistoryError {
    /// Reading the input or writing the output failed.
    #[snafu(display("history input or output failed: {source}"))]
    Io {
        /// Error of the underlying reader or writer.
        source: std::io::Error,
    },
    /// A line is not a history record.
    #[snafu(display("line {line} is not a history record: {source}"))]
    Malformed {
        /// Number of the line, starting at 1.
        line: usize,
        /// Syntax error, or the field that is missing or has an invalid value.
        source: serde_json::Error,
    },
}

/// Appends a record as one JSON line.
///
/// # Errors
///
/// Returns [`HistoryError::Io`] when writing to the output fails.
pub fn write_record(output: &mut impl Write, record: &Record) -> Result<(), HistoryError> {
    let line = serde_json::to_string(record).map_err(std::io::Error::from).context(IoSnafu)?;
    writeln!(output, "{line}").context(IoSnafu)
}

/// Reads a history of JSON lines and sorts it by time; empty lines are skipped.
///
/// # Errors
///
/// Returns [`HistoryError::Malformed`] with the number of the first line that is not a record, so that a damaged
/// history does not pass as a shorter one, and [`HistoryError::Io`] when reading the input fails.
pub fn read_history(input: impl BufRead) -> Result<Vec<Record>, HistoryError> {
    let mut records = Vec::new();
    for (index, line) in input.lines().enumerate() {
        let line = line.context(IoSnafu)?;
        if !line.trim().is_empty() {
            records.push(serde_json::from_str(&line).context(MalformedSnafu { line: index + 1 })?);
        }
    }
    records.sort_by_key(|record: &Record| record.at_us);
    Ok(records)
}

#[cfg(test)]
mod tests;
