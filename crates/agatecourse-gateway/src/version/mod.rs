//! One version of the configuration, and the targets that discovery reports.

mod deployment;
mod target;

pub use deployment::{
    CallerLimits, ColdStart, Deployment, Organisation, Quota, Regions, Route, RouteKind, Service,
    ServiceId,
};
pub use target::Target;
