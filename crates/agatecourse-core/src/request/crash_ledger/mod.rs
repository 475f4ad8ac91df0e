//! Finds out which property of a request crashes the targets that run it, so that such requests can be refused.
//!
//! A request has several keys: one for the request as a whole and one for each part of its prompt that others may share. When a
//! target crashes, the keys of all requests on it whose answer was not complete are suspects; the parts of prompts whose answer had gone
//! on are weaker ones. A key is cleared when an answer to a request with it is complete at any target; an answer that has only gone on for a
//! while proves nothing, as the crash may come later. A [`CrashLedger`] holds what is known on one node; nodes exchange crashes, cleared
//! keys and quarantined keys. It performs no I/O and reads no clock.

mod crash;
mod crash_report;
mod crash_verdict;
mod evidence;
mod ledger;
mod quarantined_key;

pub use crash_report::CrashReport;
pub use crash_verdict::CrashVerdict;
use evidence::Evidence;
pub use ledger::CrashLedger;
pub use quarantined_key::QuarantinedKey;
use smallvec::SmallVec;

/// Hash of something that may make a request crash its targets.
pub type SuspectKey = u64;
/// Keys of one request; most prompts have a few parts.
pub type SuspectKeys = SmallVec<[SuspectKey; 6]>;
/// Hash that identifies a target across its restarts.
pub type TargetHash = u32;
