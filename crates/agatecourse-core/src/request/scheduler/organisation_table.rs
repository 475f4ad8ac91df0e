use super::OrganisationShare;
use agatecourse_types::OrganisationId;
use std::collections::BTreeMap;

/// Largest number of organisations; at the bound, further ones share the first entry.
const ORGANISATION_LIMIT: usize = 4_096;

/// Settings of an organisation and the number of its requests that wait or run.
#[derive(Debug, Clone)]
struct OrganisationState {
    weight: u32,
    concurrency: u32,
    active: u32,
}

/// Organisations of a pool, addressed by a dense index.
#[derive(Debug, Clone, Default)]
pub(super) struct OrganisationTable {
    indexes: BTreeMap<OrganisationId, u32>,
    states: Vec<OrganisationState>,
}

impl OrganisationTable {
    /// Returns the index of an organisation and adds an unknown one with weight 1 and no limit.
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

    /// Returns the weight of an organisation, at least 1.
    pub(super) fn weight(&self, index: u32) -> f64 {
        f64::from(self.states[index as usize].weight)
    }

    /// Returns whether an organisation is below its concurrency limit.
    pub(super) fn has_room(&self, index: u32) -> bool {
        let state = &self.states[index as usize];
        state.active < state.concurrency
    }

    /// Returns the concurrency limit of an organisation; `u32::MAX` means no limit.
    pub(super) fn concurrency(&self, index: u32) -> u32 {
        self.states[index as usize].concurrency
    }

    /// Counts a new request that waits or runs.
    pub(super) fn add_active(&mut self, index: u32) {
        self.states[index as usize].active += 1;
    }

    /// Removes a request that no longer waits or runs from the count.
    pub(super) fn remove_active(&mut self, index: u32) {
        let state = &mut self.states[index as usize];
        state.active = state.active.saturating_sub(1);
    }
}
