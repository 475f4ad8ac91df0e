use agatecourse_config::FleetConfig;
use agatecourse_core::request::{OrganisationLimitError, OrganisationLimiter};
use agatecourse_types::OrganisationId;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Instant;

/// Request limits of the organisations at this node, for use by all worker threads.
#[derive(Debug, Default)]
pub(crate) struct OrganisationLimits(Mutex<OrganisationLimiter>);

/// Counts a request against the limits of its organisation until it is dropped.
#[derive(Debug)]
pub(crate) struct OrganisationGuard {
    limits: Arc<OrganisationLimits>,
    organisation: OrganisationId,
}

impl OrganisationLimits {
    /// Sets the limits from a configuration, of which this node gets its share as one of `nodes` live nodes.
    pub(crate) fn configure(&self, config: &FleetConfig, nodes: u32) {
        let organisations: Vec<_> = config.organisations.values().cloned().collect();
        self.lock().configure(&organisations, nodes);
    }

    /// Counts a new request of an organisation.
    ///
    /// # Errors
    ///
    /// Returns an error when a limit of the organisation would be exceeded.
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
