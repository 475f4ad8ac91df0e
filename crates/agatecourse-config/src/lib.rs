//! Fleet configuration and node settings of agatecourse in INI.
//!
//! Parsing checks the whole file: it collects every fault with its file, section, line and what is expected, and
//! returns a value only when there is no fault.
//!
//! ```
//! use agatecourse_config::FleetConfig;
//!
//! let faults = FleetConfig::parse("fleet.ini", "[fleet]\nname = demo\n").unwrap_err();
//! assert!(faults.to_string().contains("zones"));
//! ```

mod fault;
pub mod ini;
mod process;
mod request;

pub use fault::{ConfigFault, ConfigFaults};
pub use process::{FleetConfig, JournalConfig, NodeSettings, OrganisationConfig, ProviderConfig};
pub use request::parse_sha256;
pub use request::{CallerConfig, RouteConfig, RouteKind, TargetConfig, TierConfig};
