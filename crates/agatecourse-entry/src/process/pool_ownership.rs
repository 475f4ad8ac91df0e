use crate::process::{FleetView, NodeState};
use crate::request::PoolRegistration;
use agatecourse_core::request::scheduler::PoolEvent;
use agatecourse_types::{NodeId, PoolId};
use agatecourse_wire::PeerMessage;
use slog::info;
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

// A new owner starts to grant after 500 ms at most; later registrations only correct its in-flight counts.
const REGISTER_TIMEOUT: Duration = Duration::from_secs(3);

/// Last known owner of each pool; bounded by the number of pools in the configuration.
#[derive(Debug, Default)]
pub(crate) struct PoolOwnership(Mutex<BTreeMap<PoolId, NodeId>>);

impl PoolOwnership {
    /// Removes all owners and schedulers after other nodes took over the pools of this node, for example while its
    /// process was paused.
    ///
    /// The next update treats the pools that this node still owns as new ones, with empty schedulers.
    pub(crate) fn drop_all(state: &NodeState) {
        state.ownership.0.lock().unwrap_or_else(PoisonError::into_inner).clear();
        if let Some(view) = state.view() {
            state.pools.configure(&view, &[], &[]);
        }
    }

    /// Recomputes the owners from the live nodes and the configuration, creates and drops schedulers accordingly, and
    /// registers the running requests of this node with each new owner.
    pub(crate) fn update(state: &Arc<NodeState>) {
        let Some(view) = state.view().filter(|_| state.cluster.is_joined()) else { return };
        let mut owners = state.ownership.0.lock().unwrap_or_else(PoisonError::into_inner);
        let pools: Vec<PoolId> = view.pools.all_pools().map(|(pool, _)| pool.clone()).collect();
        let mut registrations = Vec::new();
        for pool in &pools {
            let owner = state.cluster.owner_of(pool);
            let previous = owners.insert(pool.clone(), owner.clone());
            if previous.as_ref() != Some(&owner) {
                info!(state.log, "pool owner changed"; "pool" => pool, "owner" => &owner);
                let registration = state.jobs.registration(pool);
                registrations.push(PoolRegistration { pool: pool.clone(), owner, registration });
            }
        }
        owners.retain(|pool, _| pools.contains(pool));
        let owned_pools = owned_pools(&owners, state);
        drop(owners);
        configure(state, &view, &owned_pools);
        state.group().reapply_alerts(state);
        for registration in registrations {
            register(state, registration);
        }
    }
}

fn owned_pools(owners: &BTreeMap<PoolId, NodeId>, state: &NodeState) -> Vec<PoolId> {
    let own = owners.iter().filter(|(_, owner)| state.cluster.is_self(owner));
    own.map(|(pool, _)| pool.clone()).collect()
}

fn configure(state: &NodeState, view: &FleetView, owned_pools: &[PoolId]) {
    let live = state.cluster.live();
    let others = live.keys().filter(|node| !state.cluster.is_self(node)).cloned();
    let others: Vec<NodeId> = others.collect();
    state.pools.configure(view, owned_pools, &others);
}

fn register(state: &Arc<NodeState>, registration: PoolRegistration) {
    let PoolRegistration { pool, owner, registration } = registration;
    if state.cluster.is_self(&owner) {
        // Queued requests need no registration: their tasks submit them again when the owner changes.
        state.pools.event(&pool, PoolEvent::Register { node: owner, registration });
        return;
    }
    let state = state.clone();
    state.clone().runtime.spawn(async move {
        let message = PeerMessage::Register { pool, registration };
        let _ = state.cluster.call_with_retry(&owner, message, REGISTER_TIMEOUT).await;
    });
}
