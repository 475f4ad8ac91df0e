//! Simulated engines, entry nodes and pool owner in virtual time; clients, probes and faults for real processes.

mod capacity_bound;
mod engine;
mod engine_model;
mod event_queue;
mod fault_injector;
mod fleet;
mod fleet_stats;
mod load_client;
mod node_probe;
mod node_queue;
mod placement_policy;
mod pool_owner;
mod prefix_cache;

pub use capacity_bound::capacity_bound_s;
pub use engine_model::EngineModel;
pub use fault_injector::{CRASH_MARKER, FaultInjector, FaultKind, now_us};
pub use fleet::simulate_fleet;
pub use fleet_stats::{FleetStats, StatsSample, ratio};
pub use load_client::{LoadClient, LoadRequest, LoadResponse};
pub use node_probe::NodeProbe;
pub use placement_policy::PlacementPolicy;
pub use prefix_cache::PrefixCache;
