//! Stand-in servers with their faults and run counts, and the stand-ins of platform services.

mod cache_events;
mod fault_control;
mod faults;
mod listener_guard;
mod load_reports;
mod middleware;
mod object_store_settings;
mod rate_limit;
mod run_counter;
mod standin;
mod table_settings;
mod table_state;
mod table_wire;
mod vm_list_settings;
mod weight_store_settings;

pub(crate) use cache_events::{CacheEvents, format_hash};
pub(crate) use fault_control::{FaultControl, lock};
pub use faults::{Faults, VersionFault};
pub(crate) use listener_guard::ListenerGuard;
pub(crate) use load_reports::{LoadReport, LoadReports};
pub(crate) use middleware::is_silent;
pub use object_store_settings::ObjectStoreSettings;
pub(crate) use rate_limit::RateLimit;
pub(crate) use run_counter::RunCounter;
pub use standin::Standin;
pub use table_settings::TableSettings;
pub use vm_list_settings::VmListSettings;
pub use weight_store_settings::WeightStoreSettings;
