use agatecourse_types::{FencingNumber, VersionId};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Versions and role of an engine, and the highest fencing number of the orders that changed them.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub(crate) struct VersionTable {
    versions: BTreeMap<VersionId, VersionState>,
    role: String,
    fencing: FencingNumber,
    version_limit: usize,
    #[serde(skip)]
    load_numbers: BTreeMap<VersionId, u64>,
    #[serde(skip)]
    loads: u64,
    #[serde(skip)]
    default_version: VersionId,
    #[serde(skip)]
    checks_fencing: bool,
}

/// Loading state of a version.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub(crate) enum VersionState {
    /// The weights are being read; requests for the version are refused.
    Loading,
    /// Requests for the version are served.
    Loaded,
}

/// Request body of `POST /v1/orders`.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Order {
    /// `load`, `unload` or `role`.
    #[serde(rename = "order")]
    pub(crate) kind: String,
    /// Version to load or unload; empty for other orders.
    #[serde(default)]
    pub(crate) version: VersionId,
    /// New role, `prefill`, `decode` or `both`; empty for other orders.
    #[serde(default)]
    pub(crate) role: String,
    /// Fencing number of the lease that the sender of the order holds.
    pub(crate) fencing: FencingNumber,
}

/// Load of a version in progress; the number distinguishes it from other loads of the same version.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct WeightLoad {
    pub(crate) version: VersionId,
    number: u64,
}

/// Reason why an order was refused without any effect.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum OrderRefusal {
    /// An earlier order had this higher fencing number.
    StaleFencing(FencingNumber),
    /// The order is malformed or there is no memory for the version.
    Invalid(String),
}

impl VersionTable {
    /// Creates a table with one loaded version.
    pub(crate) fn new(version: VersionId, version_limit: usize, checks_fencing: bool) -> Self {
        Self {
            versions: BTreeMap::from([(version.clone(), VersionState::Loaded)]),
            role: "both".to_string(),
            fencing: 0,
            version_limit,
            load_numbers: BTreeMap::new(),
            loads: 0,
            default_version: version,
            checks_fencing,
        }
    }

    /// Applies an order and returns the load that it starts, if any.
    pub(crate) fn apply_order(
        &mut self,
        order: &Order,
    ) -> Result<Option<WeightLoad>, OrderRefusal> {
        if self.checks_fencing && order.fencing < self.fencing {
            return Err(OrderRefusal::StaleFencing(self.fencing));
        }
        let started = match order.kind.as_str() {
            "load" => self.begin_load(&order.version)?,
            "unload" => {
                self.versions.remove(&order.version);
                None
            }
            "role" if ["prefill", "decode", "both"].contains(&order.role.as_str()) => {
                self.role.clone_from(&order.role);
                None
            }
            "role" => return invalid("`role` must be prefill, decode or both"),
            _ => return invalid("`order` must be load, unload or role"),
        };
        self.fencing = self.fencing.max(order.fencing);
        Ok(started)
    }

    /// Returns whether a load is still in progress: its version was neither unloaded nor loaded again by another order.
    pub(crate) fn is_current_load(&self, load: &WeightLoad) -> bool {
        self.versions.get(&load.version) == Some(&VersionState::Loading)
            && self.load_numbers.get(&load.version) == Some(&load.number)
    }

    /// Ends a load: the version becomes loaded or, when it has no weights, is removed.
    ///
    /// A load that is no longer current has no effect.
    pub(crate) fn finish_load(&mut self, load: &WeightLoad, has_weights: bool) {
        if !self.is_current_load(load) {
            return;
        }
        if has_weights {
            self.versions.insert(load.version.clone(), VersionState::Loaded);
        } else {
            self.versions.remove(&load.version);
        }
    }

    /// Returns the loaded version that serves a request: the named one or, for an empty name, the initial version or
    /// else any other.
    pub(crate) fn version_for_request(&self, name: &str) -> Option<VersionId> {
        if !name.is_empty() {
            return self.is_loaded(name).then(|| name.to_string());
        }
        let first = std::iter::once(&self.default_version);
        first.chain(self.versions.keys()).find(|version| self.is_loaded(version)).cloned()
    }

    /// Returns the names of the loaded versions.
    pub(crate) fn loaded_versions(&self) -> Vec<VersionId> {
        self.versions.keys().filter(|version| self.is_loaded(version)).cloned().collect()
    }

    /// Returns the current role: `prefill`, `decode` or `both`.
    pub(crate) fn role(&self) -> &str {
        &self.role
    }

    fn begin_load(&mut self, version: &str) -> Result<Option<WeightLoad>, OrderRefusal> {
        if version.is_empty() {
            return invalid("`version` is empty");
        }
        if self.versions.contains_key(version) {
            return Ok(None);
        }
        if self.versions.len() >= self.version_limit {
            return invalid("no memory for another version; unload one first");
        }
        self.versions.insert(version.to_string(), VersionState::Loading);
        self.loads += 1;
        self.load_numbers.insert(version.to_string(), self.loads);
        Ok(Some(WeightLoad { version: version.to_string(), number: self.loads }))
    }

    fn is_loaded(&self, version: &str) -> bool {
        self.versions.get(version) == Some(&VersionState::Loaded)
    }
}

fn invalid<T>(detail: &str) -> Result<T, OrderRefusal> {
    Err(OrderRefusal::Invalid(detail.to_string()))
}
