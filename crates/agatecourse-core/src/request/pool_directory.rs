use crate::request::scheduler::POOL_TARGET_LIMIT;
use agatecourse_types::{
    PoolId, RequestId, RouteId, TargetId, Tier, rank_by_rendezvous, stable_hash,
};
use agatecourse_wire::process::PoolPressure;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};

/// Maps the targets of each route to pools and chooses the pool of a request.
///
/// Every node computes the same pools from the same configuration. Memory use is proportional to the configuration.
///
/// ```
/// use agatecourse_core::request::PoolDirectory;
///
/// let mut directory = PoolDirectory::new();
/// directory.set_route("drafts", ["engine-1", "engine-2"]);
/// let pool = directory.choose(&"drafts".to_string(), 42, 0, |_| None);
/// assert_eq!(pool.map(String::as_str), Some("drafts/0"));
/// ```
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct PoolDirectory {
    routes: BTreeMap<RouteId, Vec<PoolId>>,
    targets: BTreeMap<PoolId, Vec<TargetId>>,
}

impl PoolDirectory {
    /// Creates a directory without routes.
    pub fn new() -> Self {
        Self::default()
    }

    /// Replaces the targets of a route; a route without targets has no pool.
    ///
    /// Routes with the same targets share their pools, which are named after the route that was set first. Separate pools
    /// would each grant all slots of the same target, and requests of the routes would not be ordered by tier together.
    pub fn set_route<T: Into<TargetId>>(
        &mut self,
        route: impl Into<RouteId>,
        targets: impl IntoIterator<Item = T>,
    ) {
        let route = route.into();
        self.remove_route(&route);
        let targets: BTreeSet<TargetId> = targets.into_iter().map(Into::into).collect();
        if targets.is_empty() {
            return;
        }
        if let Some(shared) = self.pools_with_targets(&targets) {
            self.routes.insert(route, shared);
            return;
        }
        let pools = divide_into_pools(&route, targets);
        self.routes.insert(route, pools.keys().cloned().collect());
        self.targets.extend(pools);
    }

    /// Removes a route, and those of its pools that no other route uses.
    pub fn remove_route(&mut self, route: &RouteId) {
        for pool in self.routes.remove(route).unwrap_or_default() {
            if !self.routes.values().any(|pools| pools.contains(&pool)) {
                self.targets.remove(&pool);
            }
        }
    }

    /// Returns the pools of a route that has exactly these targets.
    fn pools_with_targets(&self, targets: &BTreeSet<TargetId>) -> Option<Vec<PoolId>> {
        let found = self.routes.values().find(|pools| {
            let known = pools.iter().flat_map(|pool| self.targets(pool));
            known.collect::<BTreeSet<_>>() == targets.iter().collect()
        });
        found.cloned()
    }

    /// Returns the pools of a route; empty for an unknown route.
    pub fn pools(&self, route: &RouteId) -> &[PoolId] {
        self.routes.get(route).map_or(&[], Vec::as_slice)
    }

    /// Returns all pools with their targets.
    pub fn all_pools(&self) -> impl Iterator<Item = (&PoolId, &[TargetId])> {
        self.targets.iter().map(|(pool, targets)| (pool, targets.as_slice()))
    }

    /// Returns the targets of a pool, sorted by id; empty for an unknown pool.
    pub fn targets(&self, pool: &PoolId) -> &[TargetId] {
        self.targets.get(pool).map_or(&[], Vec::as_slice)
    }

    /// Returns the less loaded of two pools of a route that are selected by the hash of the request id; `None` for an
    /// unknown route.
    ///
    /// `pressure` returns the last known load of a pool; a pool without one counts as idle. A pool that grants slots to
    /// `tier` is preferred to one that grants them to more urgent tiers only, then the one with the shorter queue delay,
    /// then the first of the two.
    pub fn choose<'a>(
        &'a self,
        route: &RouteId,
        request_id: RequestId,
        tier: Tier,
        pressure: impl Fn(&PoolId) -> Option<&'a PoolPressure>,
    ) -> Option<&'a PoolId> {
        let pools = self.routes.get(route)?;
        let hash = stable_hash(&[&request_id.to_le_bytes()]);
        let first = (hash % pools.len() as u64) as usize;
        if pools.len() == 1 {
            return pools.get(first);
        }
        let step = 1 + (hash >> 32) % (pools.len() as u64 - 1);
        let second = (first + step as usize) % pools.len();
        let load = |pool: &PoolId| {
            pressure(pool).map(|known| (tier > known.lowest_granted_tier, known.queue_delay))
        };
        let (first, second) = (&pools[first], &pools[second]);
        Some(if load(second) < load(first) { second } else { first })
    }
}

/// Divides targets into the smallest number of pools; each target joins its highest-ranked pool that isn't full.
fn divide_into_pools(
    route: &RouteId,
    targets: BTreeSet<TargetId>,
) -> BTreeMap<PoolId, Vec<TargetId>> {
    let count = targets.len().div_ceil(POOL_TARGET_LIMIT);
    let names: Vec<PoolId> = (0..count).map(|index| format!("{route}/{index}")).collect();
    let mut pools: BTreeMap<PoolId, Vec<TargetId>> =
        names.iter().map(|name| (name.clone(), Vec::new())).collect();
    let mut order: Vec<TargetId> = targets.into_iter().collect();
    // Sorting by hash distributes targets with similar names, which often share a rack, over the pools.
    order.sort_by_key(|target| Reverse(stable_hash(&[route.as_bytes(), target.as_bytes()])));
    for target in order {
        for pool in rank_by_rendezvous(&target, names.iter().map(String::as_str)) {
            if let Some(members) = pools.get_mut(pool).filter(|m| m.len() < POOL_TARGET_LIMIT) {
                members.push(target);
                break;
            }
        }
    }
    for members in pools.values_mut() {
        members.sort();
    }
    pools
}
