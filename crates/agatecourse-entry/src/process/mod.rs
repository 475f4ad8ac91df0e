//! State and tasks that exist as long as the node process: membership, configuration, journal and pools.

mod cluster;
mod config_reader;
mod degraded_placements;
mod drain_gate;
mod explanation_ring;
mod fleet_view;
mod group_actor;
mod history_log;
mod idempotency_keys;
mod journal_actor;
mod journal_messages;
mod journal_peers;
mod logger;
mod metrics;
mod node;
mod node_group;
mod node_state;
mod operator_api;
mod organisation_limits;
mod peer_handler;
mod pool_actor;
mod pool_ownership;
mod pool_schedulers;
mod quarantine;
mod table_access;
mod target_watcher;
mod timer_service;

pub(crate) use cluster::{Cluster, LiveNodes};
pub(crate) use config_reader::spawn_config_read;
pub(crate) use degraded_placements::DegradedPlacements;
pub(crate) use drain_gate::{DrainGate, RunningGuard};
pub(crate) use explanation_ring::{Explanation, ExplanationRing};
pub(crate) use fleet_view::{FleetView, secret_matches};
pub(crate) use group_actor::GroupActor;
pub(crate) use history_log::{HistoryLog, now_us};
pub(crate) use idempotency_keys::IdempotencyKeys;
pub(crate) use journal_actor::JournalActor;
pub(crate) use journal_messages::{
    ConfigureJournal, EndReservation, JournalDump, PeerJournalMessage, ReservationResult,
    ReserveKey, SnapshotJournal,
};
pub(crate) use logger::create_logger;
pub(crate) use metrics::Metrics;
pub use node::{Node, NodeError};
pub(crate) use node_group::{NodeGroup, vm_observation};
pub(crate) use node_state::{Actors, NodeState};
pub(crate) use organisation_limits::{OrganisationGuard, OrganisationLimits};
pub(crate) use pool_actor::PoolActor;
pub(crate) use pool_ownership::PoolOwnership;
pub(crate) use pool_schedulers::{PoolReply, PoolSchedulers, unused_grant};
pub(crate) use quarantine::{Quarantine, Verdict};
pub(crate) use table_access::perform_table_request;
pub(crate) use target_watcher::TargetWatcher;
pub(crate) use timer_service::{Subscribe, Tick, TimerService, WakeAfter};
