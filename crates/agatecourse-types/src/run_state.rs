use serde::{Deserialize, Serialize};

/// States whether a request was run by a target, as far as the node can prove it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum RunState {
    /// No byte of the request can have reached a target.
    No,
    /// The request may have reached a target and its outcome is not known.
    Unknown,
    /// A target ran the request.
    Yes,
}
