use serde::{Deserialize, Serialize};
use serde_json::{Map, Value};

/// Faults that a stand-in injects, set by `POST /faults`; the default injects none.
///
/// A posted object changes only the fields that it names. A field that the stand-in does not support is refused.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
#[expect(clippy::struct_excessive_bools, reason = "the faults are independent switches")]
pub struct Faults {
    /// Stops the stand-in at once: the program exits; in a test process the server refuses connections.
    pub crash: bool,
    /// Stops the stand-in when a request body contains this text.
    pub crash_marker: Option<String>,
    /// Share of requests, from 0 to 1, that are refused with status 500 before they have any effect.
    pub error_rate: f64,
    /// Delay in milliseconds before each request is handled.
    pub latency_ms: u64,
    /// Factor by which processing times are multiplied, from 0.01 to 10,000.
    pub slow_factor: f64,
    /// Stops responding on all connections that are open now; new connections work.
    pub silence_existing: bool,
    /// Refuses all requests with status 503 before they have any effect.
    pub outage: bool,
    /// Share of requests, from 0 to 1, whose connection is closed without a response after they took effect.
    pub lost_answer_rate: f64,
    /// Sets the `leaving` flag in load reports.
    pub leaving: bool,
    /// Faults that affect individual versions; the first one that applies to a request is used.
    pub versions: Vec<VersionFault>,
}

/// Fault that affects one version of an engine while all of its conditions hold.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct VersionFault {
    /// Version that the fault affects.
    pub version: String,
    /// Whether requests are refused with status 500.
    pub fails: bool,
    /// Factor by which processing times are multiplied, from 0.01 to 10,000.
    pub slow_factor: f64,
    /// Number of requests that the version must have started before the fault applies.
    pub after_requests: u64,
    /// Batch size above which the fault applies.
    pub above_batch: usize,
    /// Model name to which the fault is limited; without one it applies to all models.
    pub route: Option<String>,
    /// Number of tokens after which responses are truncated; absent if they are not.
    pub truncate_after_tokens: Option<usize>,
}

impl Default for Faults {
    fn default() -> Self {
        Self {
            crash: false,
            crash_marker: None,
            error_rate: 0.0,
            latency_ms: 0,
            slow_factor: 1.0,
            silence_existing: false,
            outage: false,
            lost_answer_rate: 0.0,
            leaving: false,
            versions: Vec::new(),
        }
    }
}

impl Default for VersionFault {
    fn default() -> Self {
        Self {
            version: String::new(),
            fails: false,
            slow_factor: 1.0,
            after_requests: 0,
            above_batch: 0,
            route: None,
            truncate_after_tokens: None,
        }
    }
}

impl Faults {
    /// Names of the faults that all stand-ins support.
    pub(crate) const COMMON: &'static [&'static str] =
        &["crash", "error_rate", "latency_ms", "silence_existing", "outage", "lost_answer_rate"];

    /// Returns a copy of the faults with the fields of `patch` replaced.
    ///
    /// # Errors
    ///
    /// Returns a message that names the first field that is unsupported or out of range.
    pub(crate) fn merged(
        &self,
        patch: &Map<String, Value>,
        supported: &[&str],
    ) -> Result<Self, String> {
        let mut fields = serde_json::to_value(self).map_err(|error| error.to_string())?;
        for (name, value) in patch {
            if !Self::COMMON.contains(&name.as_str()) && !supported.contains(&name.as_str()) {
                let known = [Self::COMMON, supported].concat().join(", ");
                return Err(format!("fault `{name}` is not supported here; expected {known}"));
            }
            fields[name] = value.clone();
        }
        let merged: Self = serde_json::from_value(fields).map_err(|error| error.to_string())?;
        merged.validate()?;
        Ok(merged)
    }

    fn validate(&self) -> Result<(), String> {
        for (name, share) in
            [("error_rate", self.error_rate), ("lost_answer_rate", self.lost_answer_rate)]
        {
            if !(0.0..=1.0).contains(&share) {
                return Err(format!("`{name}` is {share}; expected a share from 0 to 1"));
            }
        }
        let factors = self.versions.iter().map(|fault| fault.slow_factor);
        for factor in factors.chain([self.slow_factor]) {
            if !(0.01..=10_000.0).contains(&factor) {
                return Err(format!(
                    "`slow_factor` is {factor}; expected a factor from 0.01 to 10,000"
                ));
            }
        }
        if self.crash_marker.as_deref() == Some("") {
            return Err("`crash_marker` is empty; expected a text or null".to_string());
        }
        Ok(())
    }
}

#[cfg(test)]
mod tests;
