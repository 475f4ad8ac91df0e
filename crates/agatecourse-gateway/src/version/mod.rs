//! One version of the configuration, and the targets that discovery reports.

mod deployment;
mod target;

pub use deployment::{
    CallerLimits, Deployment, Organisation, Quota, Route, RouteKind, Service, ServiceId,
};
pub use target::Target;
