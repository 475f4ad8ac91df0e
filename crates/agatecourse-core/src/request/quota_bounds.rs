use agatecourse_types::OrganisationId;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// Divisor of the limit that gives the bound of organisations without an entry.
const DEFAULT_BOUND_DIVISOR: u64 = 2;
/// Divisor of the limit that gives the least distance between use and bound; a smaller one raises the bound.
const LEAST_HEADROOM_DIVISOR: u64 = 8;
/// Divisor of the limit that gives the distance between use and a new bound.
const NEW_HEADROOM_DIVISOR: u64 = 4;
/// Time for which a lower bound must be sufficient before it replaces a higher one.
const LOWER_AFTER: Duration = Duration::from_secs(3);
/// Time for which all nodes enforce a lower bound before it is stored; several heartbeat periods.
const LOWER_DELAY: Duration = Duration::from_secs(2);

/// Maximum number of bounds that are lowered at a time, so that each heartbeat has room for all of them.
const MAX_LOWERED: usize = 8;

/// Upper bounds of the quota use of organisations, stored durably before the use may reach them.
///
/// All nodes together keep the use of an organisation in a window below its stored bound. Processes that replace all others at
/// once therefore know how much these may have used, whatever happened after the bounds were stored. A bound is raised
/// before it is enforced, and enforced before it is lowered.
///
/// ```
/// use agatecourse_core::request::QuotaBounds;
///
/// let bounds = QuotaBounds::new();
/// assert_eq!(bounds.enforced("small", 1_000), 500);
/// ```
#[derive(Debug, Clone, Default)]
pub struct QuotaBounds {
    version: u64,
    stored: BTreeMap<OrganisationId, u64>,
    /// Lower bounds that are enforced but not stored yet, with the time since when.
    lowering: BTreeMap<OrganisationId, (u64, Instant)>,
    /// Versions of the bounds that were taken over without all others.
    part_versions: BTreeMap<OrganisationId, u64>,
    /// Last time at which the stored bound was needed.
    needed_at: BTreeMap<OrganisationId, Instant>,
}

/// Bound of an organisation as another node knows it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct BoundEntry {
    /// Bound that is stored; 0 for the default.
    pub stored: u64,
    /// Bound that the node enforces, which is lower while it is being lowered.
    pub enforced: u64,
}

/// Quota use of an organisation, from which its bound is planned.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BoundDemand {
    /// Organisation that the quota belongs to.
    pub organisation: OrganisationId,
    /// Use of all nodes in the window.
    pub used: u64,
    /// Bound that a refused request needed; 0 if none was refused for the bound.
    pub wanted: u64,
    /// Quota of all nodes together in one window.
    pub limit: u64,
    /// True if the bound is raised before requests need it; false while the use is only assumed.
    pub is_raised_ahead: bool,
}

/// Bounds to store.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct BoundPlan {
    /// Bounds by organisation; organisations without an entry have the default.
    pub bounds: BTreeMap<OrganisationId, u64>,
    /// True if a bound is higher than the stored one, which callers wait for.
    pub is_raise: bool,
}

/// Returns the bound of an organisation with this stored bound.
pub(super) fn effective_bound(stored: u64, limit: u64) -> u64 {
    stored.max(limit / DEFAULT_BOUND_DIVISOR).min(limit)
}

impl QuotaBounds {
    /// Creates bounds without entries, as before any was stored.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the version of the stored bounds; 0 if none are stored.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns the bound that nodes enforce for an organisation.
    pub fn enforced(&self, organisation: &str, limit: u64) -> u64 {
        effective_bound(self.entry(organisation).enforced, limit)
    }

    /// Returns the bound of an organisation for the other nodes.
    pub fn entry(&self, organisation: &str) -> BoundEntry {
        let stored = self.stored.get(organisation).copied().unwrap_or_default();
        let enforced =
            self.lowering.get(organisation).map_or(stored, |(bound, _)| stored.min(*bound));
        BoundEntry { stored, enforced }
    }

    /// Takes over bounds that another node has stored; returns false if they are older. Of two reports of the same version,
    /// the lower bound of an organisation is enforced.
    pub fn adopt(
        &mut self,
        now: Instant,
        version: u64,
        bounds: &BTreeMap<OrganisationId, BoundEntry>,
    ) -> bool {
        if version < self.version {
            return false;
        }
        if version > self.version {
            self.version = version;
            self.stored = bounds.iter().map(|(name, entry)| (name.clone(), entry.stored)).collect();
            self.stored.retain(|_, stored| *stored > 0);
            self.lowering.clear();
            self.part_versions.retain(|_, part_version| *part_version > version);
        }
        for (organisation, entry) in bounds {
            if entry.enforced < self.entry(organisation).enforced {
                self.lowering.insert(organisation.clone(), (entry.enforced, now));
            }
        }
        true
    }

    /// Takes over some of the bounds that another node knows; returns true if one of them is higher.
    ///
    /// The version stays, because this node does not know all bounds of the other one: a write of this node then fails and makes it read all of
    /// them. A higher bound of a newer version is stored, so it may be enforced.
    pub fn adopt_part(
        &mut self,
        now: Instant,
        version: u64,
        bounds: &BTreeMap<OrganisationId, BoundEntry>,
    ) -> bool {
        let mut is_raised = false;
        for (organisation, entry) in bounds {
            let known_version = self.part_versions.get(organisation).copied().unwrap_or_default();
            if version < self.version.max(known_version) {
                continue;
            }
            let known = self.entry(organisation);
            if version > self.version.max(known_version) {
                self.part_versions.insert(organisation.clone(), version);
                self.stored.insert(organisation.clone(), entry.stored);
                self.lowering.remove(organisation);
                is_raised |= entry.enforced > known.enforced;
            }
            if entry.enforced < self.entry(organisation).enforced {
                self.lowering.insert(organisation.clone(), (entry.enforced, now));
            }
        }
        is_raised
    }

    /// Takes over bounds that this node has stored.
    pub fn record_stored(&mut self, version: u64, bounds: BTreeMap<OrganisationId, u64>) {
        self.version = version;
        self.stored = bounds;
        self.part_versions.clear();
    }

    /// Returns the bounds to store: raised ones at once and, if the node records the use regularly (`is_recorder`), lower ones
    /// after they have been enforced for a while.
    pub fn plan(&mut self, now: Instant, demands: &[BoundDemand], is_recorder: bool) -> BoundPlan {
        let mut plan = BoundPlan::default();
        for demand in demands {
            let stored = self.stored.get(&demand.organisation).copied().unwrap_or_default();
            let needed = demand
                .wanted
                .max(demand.used.saturating_add(demand.limit / LEAST_HEADROOM_DIVISOR));
            if needed > self.enforced(&demand.organisation, demand.limit) {
                self.lowering.remove(&demand.organisation);
            }
            let bound = if needed.min(demand.limit) > effective_bound(stored, demand.limit) {
                plan.is_raise = true;
                self.needed_at.insert(demand.organisation.clone(), now);
                let by_use = demand.used + demand.limit / NEW_HEADROOM_DIVISOR;
                let by_requests = demand.wanted + demand.limit / LEAST_HEADROOM_DIVISOR;
                by_use.max(by_requests).min(demand.limit)
            } else if is_recorder {
                self.bound_after_lowering(now, demand, stored)
            } else {
                stored
            };
            if bound > demand.limit / DEFAULT_BOUND_DIVISOR {
                plan.bounds.insert(demand.organisation.clone(), bound);
            }
        }
        plan
    }

    /// Returns the bound to store for an organisation whose stored bound is sufficient.
    fn bound_after_lowering(&mut self, now: Instant, demand: &BoundDemand, stored: u64) -> u64 {
        let target = demand.used + demand.limit / NEW_HEADROOM_DIVISOR;
        let needed_at = self.needed_at.entry(demand.organisation.clone()).or_insert(now);
        if target + demand.limit / LEAST_HEADROOM_DIVISOR > stored {
            *needed_at = now;
        }
        if now.saturating_duration_since(*needed_at) < LOWER_AFTER {
            return stored;
        }
        if self.lowering.len() >= MAX_LOWERED && !self.lowering.contains_key(&demand.organisation) {
            return stored;
        }
        let (bound, since) =
            *self.lowering.entry(demand.organisation.clone()).or_insert((target, now));
        if now.saturating_duration_since(since) < LOWER_DELAY {
            return stored;
        }
        self.lowering.remove(&demand.organisation);
        bound.min(stored)
    }
}
