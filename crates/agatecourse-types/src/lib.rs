//! Ids, tiers, result codes and stable hashing shared by all agatecourse crates.
//!
//! The crate holds plain data only: it performs no I/O and depends on no other agatecourse crate.
//!
//! ```
//! use agatecourse_types::{ResultCode, RunState};
//!
//! assert_eq!(ResultCode::Shed.run_state(), RunState::No);
//! ```

mod ids;
mod problem;
mod result_code;
mod run_state;
mod stable_hash;

pub use ids::*;
pub use problem::Problem;
pub use result_code::ResultCode;
pub use run_state::RunState;
pub use stable_hash::{
    rank_by_rendezvous, rendezvous_owner, stable_hash, stable_hash_with_segments,
};
