use crate::command_error::{ConflictSnafu, FileSnafu, NotFoundSnafu, OutcomeUnknownSnafu};
use crate::config_check::{check_platform_config, is_platform_config};
use crate::{CommandError, Output};
use agatecourse_config::FleetConfig;
use agatecourse_platform::{TableClient, TableError, TableRow, TableTransaction};
use agatecourse_types::ConfigVersion;
use serde::{Deserialize, Serialize};
use serde_json::json;
use snafu::{OptionExt, ResultExt};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

const CURRENT_KEY: &str = "config/current";
const KEY_PREFIX: &str = "config/";
/// Number of reads after a lost answer before the outcome of a change is reported as unknown.
const READ_BACK_ATTEMPTS: u32 = 5;
const READ_BACK_INTERVAL: Duration = Duration::from_millis(500);

/// Row `config/current`, which holds the active version.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
struct CurrentRow {
    version: ConfigVersion,
    /// Revision of the row; 0 when it does not exist.
    #[serde(skip)]
    revision: u64,
}

/// Client for the configuration versions in the table.
#[derive(Clone)]
pub struct ConfigTable {
    table: TableClient,
}

impl ConfigTable {
    /// Creates a client for the table at an address.
    pub fn new(address: SocketAddr) -> Self {
        Self { table: TableClient::new(address) }
    }

    /// Activates a valid configuration as the next version.
    ///
    /// With `base` the command fails when another version is active; without, it fails only when another operator puts
    /// a configuration at the same time.
    ///
    /// # Errors
    ///
    /// Returns [`CommandError::Conflict`] when another configuration was put in the meantime, and other errors when
    /// the table does not answer. [`CommandError::OutcomeUnknown`] is the only error after which the configuration
    /// may be active.
    pub async fn put(
        &self,
        text: &str,
        base: Option<ConfigVersion>,
    ) -> Result<Output, CommandError> {
        let current = self.current().await?;
        let base = base.unwrap_or(current.version);
        if base != current.version {
            return ConflictSnafu { base, found: current.version }.fail();
        }
        let version = base + 1;
        let next = json!({ "version": version }).to_string();
        let change = TableTransaction::new()
            .with_compare(CURRENT_KEY, current.revision)
            .with_absent(version_key(version))
            .with_put(CURRENT_KEY, next)
            .with_put(version_key(version), text);
        match self.table.commit(&change).await {
            Ok(reply) if reply.succeeded => {}
            Ok(_) => {
                return ConflictSnafu { base, found: self.current().await?.version }.fail();
            }
            Err(TableError::OutcomeUnknown { detail }) => {
                self.confirm_change(version, text, &detail).await?;
            }
            Err(error) => return Err(to_command_error(error)),
        }
        let output = format!("version {version} is accepted");
        Ok(Output::new(output, json!({ "version": version, "base": base })))
    }

    /// Returns the text of a version, or of the active one for `None`.
    ///
    /// # Errors
    ///
    /// Returns [`CommandError::NotFound`] when there is no such version.
    pub async fn show(&self, version: Option<ConfigVersion>) -> Result<Output, CommandError> {
        let version = match version {
            Some(version) => version,
            None => self.current().await?.version,
        };
        let text = self.version_text(version).await?;
        Ok(Output::new(text.clone(), json!({ "version": version, "text": text })))
    }

    /// Lists all versions with their revision, size in bytes and number of targets.
    ///
    /// # Errors
    ///
    /// Returns [`CommandError::Unavailable`] when the table does not answer, and [`CommandError::Refused`] when it rejects
    /// the request.
    pub async fn history(&self) -> Result<Output, CommandError> {
        let current = self.current().await?.version;
        let rows = self.table.list(KEY_PREFIX).await.map_err(to_command_error)?;
        let mut versions: Vec<(ConfigVersion, TableRow)> = rows
            .into_iter()
            .filter_map(|row| Some((row.key.strip_prefix(KEY_PREFIX)?.parse().ok()?, row)))
            .collect();
        versions.sort_by_key(|(version, _)| *version);
        let cells = |(version, row): &(ConfigVersion, TableRow)| {
            let state = if *version == current { "current" } else { "" };
            let text = String::from_utf8_lossy(&row.value);
            let targets = FleetConfig::parse("", &text).map(|config| config.targets.len());
            let targets = targets.map_or("invalid".to_string(), |count| count.to_string());
            let revision = row.mod_revision.to_string();
            let bytes = row.value.len().to_string();
            vec![version.to_string(), state.to_string(), revision, bytes, targets]
        };
        let rows: Vec<Vec<String>> = versions.iter().map(cells).collect();
        let header = ["version", "state", "revision", "bytes", "targets"];
        Ok(Output::table("versions", &header, &rows))
    }

    /// Returns the text of a version number, of the active version for `current`, or of a file for any other name.
    ///
    /// # Errors
    ///
    /// Returns [`CommandError::NotFound`] when there is no such version, and [`CommandError::File`] when the file can't be
    /// read.
    pub async fn read_text(&self, name: &str) -> Result<String, CommandError> {
        if name == "current" {
            let version = self.current().await?.version;
            return self.version_text(version).await;
        }
        match name.parse() {
            Ok(version) => self.version_text(version).await,
            Err(_) => std::fs::read_to_string(name).context(FileSnafu { path: name }),
        }
    }

    async fn current(&self) -> Result<CurrentRow, CommandError> {
        let row = self.table.get(CURRENT_KEY).await.map_err(to_command_error)?;
        let Some(row) = row else { return Ok(CurrentRow::default()) };
        let current: Option<CurrentRow> = serde_json::from_slice(&row.value).ok();
        let what = format!("a valid version in the row {CURRENT_KEY}");
        let current = current.context(NotFoundSnafu { what })?;
        Ok(CurrentRow { revision: row.mod_revision, ..current })
    }

    async fn version_text(&self, version: ConfigVersion) -> Result<String, CommandError> {
        let row = self.table.get(&version_key(version)).await.map_err(to_command_error)?;
        let what = format!("configuration version {version}");
        let row = row.context(NotFoundSnafu { what })?;
        Ok(String::from_utf8_lossy(&row.value).into_owned())
    }

    /// Determines whether a change was applied although its answer was lost.
    async fn confirm_change(
        &self,
        version: ConfigVersion,
        text: &str,
        detail: &str,
    ) -> Result<(), CommandError> {
        for _ in 0..READ_BACK_ATTEMPTS {
            actix_rt::time::sleep(READ_BACK_INTERVAL).await;
            match self.version_text(version).await {
                Ok(found) if found == text => return Ok(()),
                Ok(_) => return ConflictSnafu { base: version - 1, found: version }.fail(),
                // The lost request may still arrive, so a missing row does not prove that it was not applied.
                Err(_) => {}
            }
        }
        OutcomeUnknownSnafu { detail }.fail()
    }
}

/// Checks a configuration file.
///
/// # Errors
///
/// Returns [`CommandError::Invalid`] or [`CommandError::Unsound`] with all faults, or [`CommandError::File`].
pub fn check(file: &Path, against: Option<&Path>) -> Result<Output, CommandError> {
    let text = std::fs::read_to_string(file).context(FileSnafu { path: PathBuf::from(file) })?;
    if is_platform_config(&text) {
        return check_platform_config(file, &text, against);
    }
    let text = read_valid(file)?;
    let file = file.display().to_string();
    Ok(Output::new(format!("{file}: valid"), json!({ "file": file, "bytes": text.len() })))
}

/// Reads a configuration file and checks it.
///
/// # Errors
///
/// Returns [`CommandError::Invalid`] with all faults, or [`CommandError::File`].
pub fn read_valid(file: &Path) -> Result<String, CommandError> {
    let path = PathBuf::from(file);
    let text = std::fs::read_to_string(file).context(FileSnafu { path })?;
    FleetConfig::parse(&file.display().to_string(), &text)?;
    Ok(text)
}

/// Compares two configurations line by line.
pub fn show_diff(from: &str, to: &str) -> Output {
    let diff = similar::TextDiff::from_lines(from, to);
    let text = diff.unified_diff().context_radius(3).to_string();
    let equal = from == to;
    let display_text = if equal { "no difference".to_string() } else { text.clone() };
    Output::new(display_text, json!({ "equal": equal, "diff": text }))
}

fn version_key(version: ConfigVersion) -> String {
    format!("{KEY_PREFIX}{version}")
}

fn to_command_error(error: TableError) -> CommandError {
    match error {
        TableError::Rejected { status, detail } => CommandError::Refused { status, detail },
        TableError::OutcomeUnknown { detail } => CommandError::OutcomeUnknown { detail },
        error @ TableError::Unavailable { .. } => {
            CommandError::Unavailable { what: "the table".to_string(), detail: error.to_string() }
        }
    }
}
