//! State and decisions for individual requests: dispatch, scheduling, limits, quotas, the journal and quarantine.

mod crash_ledger;
pub mod dispatch;
pub mod journal;
mod key_owner;
mod quarantine;
mod quota_bounds;
mod quota_reserve;
mod quota_window;
mod target_paths;
mod token_bucket;
mod use_history;

pub use crash_ledger::{
    CrashLedger, CrashReport, CrashVerdict, QuarantinedKey, SuspectKey, SuspectKeys, TargetHash,
};
pub use key_owner::{KeyDecision, KeyOwner, decide_key};
pub use quarantine::{Admission, Quarantine, QuarantineEvent};
pub use quota_bounds::{BoundDemand, BoundEntry, BoundPlan, QuotaBounds};
pub use quota_reserve::{MAX_REPORTED_RANKS, QuotaReserve, RankReport, RankReports, RankTerms};
pub use quota_window::{QuotaRefusal, QuotaWindow};
pub use target_paths::{PathChange, TargetPath, TargetPaths};
pub use token_bucket::TokenBucket;
pub use use_history::UseHistory;
mod organisation_limiter;
mod pool_directory;
pub mod scheduler;

pub use organisation_limiter::{OrganisationLimitError, OrganisationLimiter};
pub use pool_directory::PoolDirectory;
