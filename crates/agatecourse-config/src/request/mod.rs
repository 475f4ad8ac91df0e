//! Configuration of request handling: tiers, callers, routes and targets.

mod caller_config;
mod route_config;
mod target_config;
mod tier_config;

pub use caller_config::CallerConfig;
pub use caller_config::parse_sha256;
pub use route_config::{RouteConfig, RouteKind};
pub use target_config::TargetConfig;
pub use tier_config::TierConfig;
