use agatecourse_config::FleetConfig;
use agatecourse_core::request::{OrganisationLimitError, OrganisationLimiter};
use agatecourse_types::OrganisationId;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Instant;

/// Limits of organisations at this node, shared by its worker threads.
#[derive(Debug, Default)]
pub(crate) struct OrganisationLimits(Mutex<OrganisationLimiter>);

/// Keeps a request counted against its organisation until it is dropped.
#[derive(Debug)]
pub(crate) struct OrganisationGuard {
    limits: Arc<OrganisationLimits>,
    organisation: OrganisationId,
}

impl OrganisationLimits {
    /// Sets the limits of a configuration for a node that is one of `nodes`.
    pub(crate) fn configure(&self, config: &FleetConfig, nodes: u32) {
        let organisations: Vec<_> = config.organisations.values().cloned().collect();
        self.lock().configure(&organisations, nodes);
    }

    /// Counts a request.
    pub(crate) fn try_start(
        self: &Arc<Self>,
        organisation: &OrganisationId,
    ) -> Result<OrganisationGuard, OrganisationLimitError> {
        self.lock().try_start(Instant::now(), organisation)?;
        Ok(OrganisationGuard { limits: self.clone(), organisation: organisation.clone() })
    }

    fn lock(&self) -> MutexGuard<'_, OrganisationLimiter> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Drop for OrganisationGuard {
    fn drop(&mut self) {
        self.limits.lock().finish(&self.organisation);
    }
}
