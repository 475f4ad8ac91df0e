use crate::output::Output;
use agatecourse_config::ConfigFaults;
use agatecourse_peer::KeyError;
use serde_json::json;
use snafu::Snafu;
use std::path::PathBuf;

/// Error of a command; docs/agatecoursectl.md lists the exit statuses.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum CommandError {
    /// A file can't be read.
    #[snafu(display("can't read {}: {source}", path.display()))]
    File {
        /// Path of the file, or `standard input`.
        path: PathBuf,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// A key or certificate can't be created or read.
    #[snafu(display("{source}"), context(false))]
    Key {
        /// Error of the key store.
        source: KeyError,
    },
    /// The configuration is not valid.
    #[snafu(display("{source}"), context(false))]
    Invalid {
        /// All faults of the file.
        source: ConfigFaults,
    },
    /// The configuration for the hosting platform has errors.
    #[snafu(display("{}", output.render(false)))]
    Unsound {
        /// All findings, and the changes to the version in force.
        output: Output,
    },
    /// Another configuration was activated in the meantime; nothing was changed.
    #[snafu(display(
        "conflict: version {found} is in force, but this change is based on version {base}; nothing was \
         changed; compare with `config diff`, merge and put again"
    ))]
    Conflict {
        /// Version that the change is based on.
        base: u64,
        /// Active version.
        found: u64,
    },
    /// A service or node does not answer; nothing was changed.
    #[snafu(display("{what} is not available, nothing was changed: {detail}"))]
    Unavailable {
        /// Service or node that did not answer.
        what: String,
        /// Error of the connection or the answer.
        detail: String,
    },
    /// It is not known whether the change was applied.
    #[snafu(display("the outcome is unknown, check with `config history`: {detail}"))]
    OutcomeUnknown {
        /// Error of the connection or the answer.
        detail: String,
    },
    /// The table or node refused the request, for example because of the token or the input.
    #[snafu(display("refused with status {status}: {detail}"))]
    Refused {
        /// HTTP status of the answer.
        status: u16,
        /// Reason given in the answer.
        detail: String,
    },
    /// The requested version, row, log line or node resource does not exist.
    #[snafu(display("{what} was not found"))]
    NotFound {
        /// Description of the missing item.
        what: String,
    },
}

impl CommandError {
    /// Returns the exit status; 2 is reserved for usage errors.
    pub fn exit_status(&self) -> u8 {
        match self {
            Self::File { .. } | Self::Key { .. } => 1,
            Self::Invalid { .. } | Self::Unsound { .. } => 3,
            Self::Conflict { .. } => 4,
            Self::Unavailable { .. } => 5,
            Self::OutcomeUnknown { .. } => 6,
            Self::Refused { .. } => 7,
            Self::NotFound { .. } => 8,
        }
    }

    /// Returns the message, or a JSON object with it and the exit status.
    pub fn render(&self, json: bool) -> String {
        if let (true, Self::Unsound { output }) = (json, self) {
            return output.render(true);
        }
        if json {
            let status = self.exit_status();
            return json!({ "error": self.to_string(), "exit_status": status }).to_string();
        }
        self.to_string()
    }
}
