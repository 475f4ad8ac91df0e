use crate::command_error::{CommandError, FileSnafu};
use crate::output::Output;
use agatecourse_gateway::version::{
    Change, ConfigDraft, Finding, Severity, check_draft, list_changes,
};
use agatecourse_node::decode_config_draft;
use serde_json::json;
use snafu::ResultExt;
use std::path::{Path, PathBuf};

/// Returns whether a text is a configuration as the hosting platform's operator sends it, which is a JSON object.
pub(crate) fn is_platform_config(text: &str) -> bool {
    text.trim_start().starts_with('{')
}

/// Checks a configuration for the hosting platform, and lists what differs from the one in force.
///
/// # Errors
///
/// Returns [`CommandError::Unsound`] if the configuration has errors or can't be decoded, or [`CommandError::File`].
pub(crate) fn check_platform_config(
    file: &Path,
    text: &str,
    against: Option<&Path>,
) -> Result<Output, CommandError> {
    let draft = decode(file, text)?;
    let findings = check_draft(&draft);
    let changes = match against {
        Some(path) => {
            let in_force =
                std::fs::read_to_string(path).context(FileSnafu { path: PathBuf::from(path) })?;
            list_changes(&decode(path, &in_force)?, &draft)
        }
        None => Vec::new(),
    };
    let errors = findings.iter().filter(|finding| finding.severity == Severity::Error).count();
    let mut lines = vec![format!(
        "{}: version {}, {errors} errors, {} warnings",
        file.display(),
        draft.version,
        findings.len() - errors
    )];
    lines.extend(findings.iter().map(format_finding));
    if against.is_some() {
        lines.push(format!("{} changes to the version in force", changes.len()));
        lines.extend(changes.iter().map(format_change));
    }
    let json = json!({ "version": draft.version, "errors": errors, "findings": findings, "changes": changes });
    let output = Output::new(lines.join("\n"), json);
    if errors > 0 { Err(CommandError::Unsound { output }) } else { Ok(output) }
}

fn decode(file: &Path, text: &str) -> Result<ConfigDraft, CommandError> {
    decode_config_draft(text.as_bytes()).map_err(|error| {
        let message = format!("{}: {error}", file.display());
        let json = json!({ "errors": 1, "error": message });
        CommandError::Unsound { output: Output::new(message, json) }
    })
}

fn format_finding(finding: &Finding) -> String {
    let severity = match finding.severity {
        Severity::Error => "error",
        Severity::Warning => "warning",
    };
    format!("{severity}: {}, {}: {}", finding.entry, finding.field, finding.message)
}

fn format_change(change: &Change) -> String {
    let kind = if change.refuses { "refuses" } else { "changes" };
    format!("{kind}: {}: {}", change.entry, change.message)
}
