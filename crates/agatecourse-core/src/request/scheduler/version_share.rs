use agatecourse_types::{RouteId, VersionId};
use serde::{Deserialize, Serialize};

/// Number of share slots into which the requests of a route are divided by a hash of their id.
pub(super) const SHARE_SLOTS: u16 = 10_000;

/// Traffic share of a new version on one route.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct VersionShare {
    /// Route whose traffic is split.
    pub route: RouteId,
    /// Version that served the route before the rollout.
    pub from: VersionId,
    /// Version that the rollout introduces.
    pub to: VersionId,
    /// Number of the 10,000 share slots whose requests go to the new version: those below this number.
    pub share: u16,
}

/// Versions that a request may run on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum VersionRule<'a> {
    /// Any version; the route has no version share.
    Any,
    /// This version, or any other if its targets can't finish the request in time.
    Prefer(&'a str),
    /// Any version but this one, unless all targets run it.
    Avoid(&'a str),
}

impl VersionRule<'_> {
    /// Returns whether the rule allows a version.
    pub(super) fn allows(self, version: &str) -> bool {
        match self {
            Self::Any => true,
            Self::Prefer(preferred) => preferred == version,
            Self::Avoid(avoided) => avoided != version,
        }
    }
}

impl VersionShare {
    /// Returns the rule for a request with the given share slot.
    pub(super) fn rule(&self, share_slot: u16) -> VersionRule<'_> {
        if share_slot < self.share.min(SHARE_SLOTS) {
            VersionRule::Prefer(&self.to)
        } else {
            VersionRule::Avoid(&self.to)
        }
    }
}
