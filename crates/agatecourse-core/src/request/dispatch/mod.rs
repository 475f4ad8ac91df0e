//! Queue of a service that assigns the requests of all nodes to its targets.
//!
//! A [`Dispatcher`] runs on the node that owns the service's queue. It receives waiting requests and reports of ended
//! runs, and decides which request goes to which target, which waits, and which is refused with a retry delay. It performs
//! no I/O and reads no clock.

mod cold_start;
mod dispatch_queue;
mod dispatcher;
mod fair_share;
mod job;
mod offered_load;
mod prefix_index;
mod promised_places;
mod rejection_guard;
mod run_report;
mod served_shares;
mod service_profile;
mod target_signals;
mod target_view;
mod zone_spill;

pub use cold_start::{ColdRules, ColdStarts};
pub use dispatcher::{Dispatcher, DispatcherSnapshot};
pub use fair_share::OrganisationKey;
pub use job::{Decision, Job, JobKey, JobNumber, Refusal};
pub use prefix_index::{PromptPart, PromptParts};
pub use promised_places::CallerKey;
pub use run_report::{RunEnd, RunReport};
pub use target_signals::{Closure, NamedLimit, SignalChange, TargetSignal, TargetSignals};
pub use target_view::DispatchTarget;
pub use zone_spill::ZoneRuns;
