//! Check of a configuration before it is sent: faults, entries that can never match, limits that contradict each other, and what changes
//! for callers.

mod changes;
mod entries;
mod limits;

use super::ConfigDraft;
pub use changes::{Change, list_changes};
use serde::Serialize;

/// How grave a finding is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Severity {
    /// Requests are refused or an entry has no effect.
    Error,
    /// The entry has an effect that is probably not meant.
    Warning,
}

/// A fault of a configuration.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub struct Finding {
    /// How grave it is.
    pub severity: Severity,
    /// Entry at fault, for example `route quotes`.
    pub entry: String,
    /// Field at fault, in the words of this project.
    pub field: String,
    /// What is wrong with it.
    pub message: String,
}

impl Finding {
    fn error(entry: String, field: &str, message: impl Into<String>) -> Self {
        Self { severity: Severity::Error, entry, field: field.to_string(), message: message.into() }
    }

    fn warning(entry: String, field: &str, message: impl Into<String>) -> Self {
        Self { severity: Severity::Warning, ..Self::error(entry, field, message) }
    }
}

/// Returns the faults of a configuration, errors first.
pub fn check_draft(draft: &ConfigDraft) -> Vec<Finding> {
    let mut findings = entries::check(draft);
    findings.extend(limits::check(draft));
    findings.sort();
    findings
}

#[cfg(test)]
mod tests;
