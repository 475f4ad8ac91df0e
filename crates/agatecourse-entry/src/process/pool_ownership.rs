use crate::process::{FleetView, NodeState};
use crate::request::PoolRegistration;
use agatecourse_core::request::scheduler::PoolEvent;
use agatecourse_types::{NodeId, PoolId};
use agatecourse_wire::PeerMessage;
use slog::info;
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

// A new owner grants after 500 ms at the latest, so later registrations only correct its counts.
const REGISTER_PATIENCE: Duration = Duration::from_secs(3);

/// Owners of the pools as this node last saw them; as large as the configuration.
#[derive(Debug, Default)]
pub(crate) struct PoolOwnership(Mutex<BTreeMap<PoolId, NodeId>>);

impl PoolOwnership {
    /// Forgets all owners, because others took over the duties of this node while it was paused.
    ///
    /// The next update takes the pools that this node still owns as new ones, with empty schedulers.
    pub(crate) fn drop_all(state: &NodeState) {
        state.ownership.0.lock().unwrap_or_else(PoisonError::into_inner).clear();
        if let Some(view) = state.view() {
            state.pools.configure(&view, &[], &[]);
        }
    }

    /// Compares the owners with the live nodes and the configuration, and takes over, gives up or registers at
    /// the pools whose owner changed.
    pub(crate) fn update(state: &Arc<NodeState>) {
        let Some(view) = state.view().filter(|_| state.cluster.is_joined()) else { return };
        let mut owners = state.ownership.0.lock().unwrap_or_else(PoisonError::into_inner);
        let pools: Vec<PoolId> = view.pools.all_pools().map(|(pool, _)| pool.clone()).collect();
        let mut registrations = Vec::new();
        for pool in &pools {
            let owner = state.cluster.owner_of(pool);
            let earlier = owners.insert(pool.clone(), owner.clone());
            if earlier.as_ref() != Some(&owner) {
                info!(state.log, "pool owner"; "pool" => pool, "owner" => &owner);
                let registration = state.jobs.registration(pool);
                registrations.push(PoolRegistration { pool: pool.clone(), owner, registration });
            }
        }
        owners.retain(|pool, _| pools.contains(pool));
        let owned = owned(&owners, state);
        drop(owners);
        configure(state, &view, &owned);
        state.group().repeat_alerts(state);
        for registration in registrations {
            register(state, registration);
        }
    }
}

fn owned(owners: &BTreeMap<PoolId, NodeId>, state: &NodeState) -> Vec<PoolId> {
    let own = owners.iter().filter(|(_, owner)| state.cluster.is_self(owner));
    own.map(|(pool, _)| pool.clone()).collect()
}

fn configure(state: &NodeState, view: &FleetView, owned: &[PoolId]) {
    let live = state.cluster.live();
    let others = live.keys().filter(|node| !state.cluster.is_self(node)).cloned();
    let others: Vec<NodeId> = others.collect();
    state.pools.configure(view, owned, &others);
}

fn register(state: &Arc<NodeState>, registration: PoolRegistration) {
    let PoolRegistration { pool, owner, registration } = registration;
    if state.cluster.is_self(&owner) {
        // Waiting requests submit themselves again when the owner changes.
        state.pools.event(&pool, PoolEvent::Register { node: owner, registration });
        return;
    }
    let state = state.clone();
    state.clone().runtime.spawn(async move {
        let message = PeerMessage::Register { pool, registration };
        let _ = state.cluster.call_with_retry(&owner, message, REGISTER_PATIENCE).await;
    });
}
