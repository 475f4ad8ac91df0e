use super::OrganisationShare;
use agatecourse_types::OrganisationId;
use std::collections::BTreeMap;

/// Largest number of organisations; at the bound, further ones share the entry of the first unknown one.
const ORGANISATION_LIMIT: usize = 4_096;

#[derive(Debug, Clone)]
struct OrganisationState {
    weight: u32,
    concurrency: u32,
    active: u32,
}

/// Organisations of a pool with their weights, limits and numbers of active requests.
#[derive(Debug, Clone, Default)]
pub(super) struct OrganisationTable {
    indexes: BTreeMap<OrganisationId, u32>,
    states: Vec<OrganisationState>,
}

impl OrganisationTable {
    /// Returns the index of an organisation; an unknown one gets weight 1 and no limit.
    pub(super) fn index_or_insert(&mut self, organisation: &OrganisationId) -> u32 {
        if let Some(index) = self.indexes.get(organisation) {
            return *index;
        }
        if self.states.len() >= ORGANISATION_LIMIT {
            return 0;
        }
        let index = self.states.len() as u32;
        self.states.push(OrganisationState { weight: 1, concurrency: u32::MAX, active: 0 });
        self.indexes.insert(organisation.clone(), index);
        index
    }

    /// Replaces weights and limits; organisations that are not listed get weight 1 and no limit.
    pub(super) fn replace(&mut self, shares: &[OrganisationShare]) {
        for state in &mut self.states {
            state.weight = 1;
            state.concurrency = u32::MAX;
        }
        for share in shares {
            let index = self.index_or_insert(&share.organisation) as usize;
            self.states[index].weight = share.weight.max(1);
            self.states[index].concurrency = share.concurrency;
        }
    }

    /// Returns the weight of an organisation.
    pub(super) fn weight(&self, index: u32) -> f64 {
        f64::from(self.states[index as usize].weight)
    }

    /// Returns whether the organisation may have one more active request.
    pub(super) fn has_room(&self, index: u32) -> bool {
        let state = &self.states[index as usize];
        state.active < state.concurrency
    }

    /// Returns the concurrency limit of an organisation.
    pub(super) fn concurrency(&self, index: u32) -> u32 {
        self.states[index as usize].concurrency
    }

    /// Counts a request that waits or runs.
    pub(super) fn add_active(&mut self, index: u32) {
        self.states[index as usize].active += 1;
    }

    /// Counts a request that has ended.
    pub(super) fn remove_active(&mut self, index: u32) {
        let state = &mut self.states[index as usize];
        state.active = state.active.saturating_sub(1);
    }
}
