//! Sub-command `check`: checks a recorded history against the nine invariants.

use agatecourse_history::checks::INVARIANTS;
use agatecourse_history::{CheckLimits, HistoryError, Violation, check_all, read_history};
use serde::Serialize;
use snafu::{ResultExt, Snafu, ensure};
use std::collections::BTreeMap;
use std::fmt;
use std::fs::File;
use std::io::BufReader;
use std::path::{Path, PathBuf};

/// Error for a history that can't be checked.
#[derive(Debug, Snafu)]
pub enum CheckError {
    /// The history file can't be opened.
    #[snafu(display("can't open {}: {source}", path.display()))]
    Open {
        /// Path of the history file.
        path: PathBuf,
        /// Error returned by the operating system.
        source: std::io::Error,
    },
    /// The file can't be read or is not a valid history.
    #[snafu(display("{}: {source}", path.display()))]
    Read {
        /// Path of the history file.
        path: PathBuf,
        /// Position and reason of the read error.
        source: HistoryError,
    },
    /// The file has no records; an empty history must not count as a successful check.
    #[snafu(display("{} has no records", path.display()))]
    Empty {
        /// Path of the history file.
        path: PathBuf,
    },
}

/// Result of checking a history.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct CheckReport {
    /// Number of records in the history.
    pub records: usize,
    /// Number of violations by invariant; invariants without violations are listed with 0.
    pub violations: BTreeMap<&'static str, usize>,
    /// All violations with the records that show them.
    pub offending: Vec<Violation>,
}

/// Checks a history file against all invariants.
///
/// # Errors
///
/// Returns a [`CheckError`] when the file can't be opened, is not a valid history or has no records.
pub fn check(path: &Path, limits: &CheckLimits) -> Result<CheckReport, CheckError> {
    let file = File::open(path).context(OpenSnafu { path })?;
    let history = read_history(BufReader::new(file)).context(ReadSnafu { path })?;
    ensure!(!history.is_empty(), EmptySnafu { path });
    let offending = check_all(&history, limits);
    let count = |name| offending.iter().filter(|violation| violation.invariant == name).count();
    let violations = INVARIANTS.into_iter().map(|name| (name, count(name))).collect();
    Ok(CheckReport { records: history.len(), violations, offending })
}

impl fmt::Display for CheckReport {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(formatter, "{} records", self.records)?;
        for (invariant, count) in &self.violations {
            writeln!(formatter, "{invariant:<24}{count:>6}")?;
        }
        for violation in &self.offending {
            writeln!(formatter, "\n{violation}")?;
        }
        Ok(())
    }
}
