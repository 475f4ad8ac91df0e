use super::{CallerLimits, Deployment, Organisation, Route, Service};

/// A configuration as an operator writes it: complete lists in their order, in which entries may stand twice.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct ConfigDraft {
    /// Version number that the operator assigned.
    pub version: u64,
    /// Routes in the order of the file.
    pub routes: Vec<Route>,
    /// Services in the order of the file.
    pub services: Vec<Service>,
    /// Organisations in the order of the file.
    pub organisations: Vec<Organisation>,
    /// Limits on callers' connections.
    pub limits: CallerLimits,
}

impl ConfigDraft {
    /// Returns the configuration that nodes put in force.
    pub fn into_deployment(self) -> Deployment {
        Deployment::new(self.version, self.limits)
            .with_routes(self.routes)
            .with_services(self.services)
            .with_organisations(self.organisations)
    }
}
