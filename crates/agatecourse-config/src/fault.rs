use snafu::Snafu;
use std::fmt;

/// One fault of a configuration file.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ConfigFault {
    /// Name of the file.
    pub file: String,
    /// Line, starting at 1; 0 when a section is missing from the file.
    pub line: u32,
    /// Section, without brackets.
    pub section: String,
    /// What was found and what is expected.
    pub message: String,
}

impl fmt::Display for ConfigFault {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { file, line, section, message } = self;
        write!(formatter, "{file}:{line}: [{section}] {message}")
    }
}

/// All faults of a configuration file, in the order of their lines.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(display("{}", faults.iter().map(ToString::to_string).collect::<Vec<_>>().join("\n")))]
pub struct ConfigFaults {
    /// Faults, sorted by line.
    pub faults: Vec<ConfigFault>,
}
