//! One version of the configuration, and the targets that discovery reports.

mod config_check;
mod config_draft;
mod deployment;
mod target;

pub use config_check::{Change, Finding, Severity, check_draft, list_changes};
pub use config_draft::ConfigDraft;
pub use deployment::{
    CallerLimits, ColdStart, Deployment, Organisation, Quota, Regions, Route, RouteKind, Service,
    ServiceId,
};
pub use target::Target;
