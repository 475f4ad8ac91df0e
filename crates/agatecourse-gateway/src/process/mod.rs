//! Components that live as long as the process: shared state, coordination between nodes, logs, metrics, timers.

mod coordinator;
mod crash_notices;
mod document_exchange;
mod documents;
mod gateway;
mod gateway_crashes;
mod gateway_documents;
mod gateway_paths;
mod gateway_quota;
mod gateway_signals;
mod gateway_versions;
mod gateway_zones;
mod logger;
mod members;
mod metrics;
mod panics;
mod peer_message;
pub(crate) mod peers;
mod rollouts;
mod run;
mod timer_service;
mod tunnel_server;

pub use coordinator::{Coordinator, CoordinatorAction, Placement, Submission};
pub use crash_notices::CrashNotices;
pub(crate) use documents::ContentHash;
pub use documents::{Document, DocumentId, Documents};
pub use gateway::{Gateway, GatewayError, GatewaySettings};
pub(crate) use gateway_paths::MAX_TUNNEL_NODES;
pub use gateway_quota::UseRecord;
pub use gateway_zones::ColdBounds;
pub(crate) use gateway_zones::HomeZones;
pub use logger::create_logger;
pub use members::{Members, RemovedMembers};
pub(crate) use metrics::Metrics;
pub use peer_message::{
    ClosureNotice, CrashNotice, Heartbeat, LimitNotice, LostNotice, NodeCapacity, OrganisationUse,
    PeerMessage, QuarantineNotice, QuotaReport, RankDemand, RolloutReport, WireJob,
};
pub use peers::PeerEndpoint;
pub use rollouts::{RolloutOutcome, Rollouts};
pub(crate) use run::may_start_request;
pub use run::run_gateway;
pub use timer_service::TimerService;
