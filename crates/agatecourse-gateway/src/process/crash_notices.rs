use super::{CrashNotice, QuarantineNotice};

/// Some of what a node knows of targets that crashed, as it tells others and records it.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct CrashNotices {
    /// Crashes with the keys of whole requests, and with the parts of prompts whose answer had not gone on.
    pub crashes: Vec<CrashNotice>,
    /// Crashes with the parts of prompts whose answer had gone on.
    pub late_crashes: Vec<CrashNotice>,
    /// Keys whose requests are refused.
    pub quarantined: Vec<QuarantineNotice>,
}
