//! Scheduling of the requests of one pool: queue, admission, choice of the target and provider credits.
//!
//! "Reading" a prompt is the prefill phase of a target and "writing" is the decode phase that produces the answer. A
//! "slot" is the index of a target in the pool, except in slot-seconds, which measure work: one request that runs
//! for one second on a target. A suspect request is one that may crash its target, so it runs there alone.

mod admission;
mod concurrency_limit;
mod credit_ledger;
mod dispatch;
mod ejection;
mod in_flight_table;
mod length_estimator;
mod load_report;
mod organisation_share;
mod organisation_table;
mod placement;
mod pool_action;
mod pool_event;
mod pool_rates;
mod pool_scheduler;
mod pool_snapshot;
mod prefix_index;
mod registration;
mod request_outcome;
mod request_state;
mod scheduler_limits;
mod slot_view;
mod speed_model;
mod take_over;
mod target_spec;
mod target_state;
mod version_share;
mod wait_queue;

pub use credit_ledger::ProviderCredit;
pub use length_estimator::{LengthEstimate, LengthEstimator};
pub use load_report::LoadReport;
pub use organisation_share::OrganisationShare;
pub use pool_action::PoolAction;
pub use pool_event::PoolEvent;
pub use pool_scheduler::{POOL_TARGET_LIMIT, PoolScheduler};
pub use pool_snapshot::{PoolSnapshot, TargetSnapshot, TierSnapshot};
pub use scheduler_limits::SchedulerLimits;
pub use target_spec::TargetSpec;
pub use version_share::VersionShare;
