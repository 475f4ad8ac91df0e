//! Journal of non-idempotent requests: durable reservations of idempotency keys in the table.
//!
//! A [`JournalShard`] owns the keys of one shard while its epoch is in the owner row. Each answer is safe for a
//! reason that holds even when the owner is paused, deposed or cut off at any moment:
//!
//! * `Granted` follows a commit whose transaction required the owner row to be unchanged since the claim of the
//!   epoch. Any successor claims first and lists the batches afterwards, so it sees the intent and grants the key
//!   to no other request. Only the node in the intent dispatches, and it dispatches a request id once, so a
//!   repeated or late `Granted` adds no run.
//! * `Ended` repeats what the dispatching node reported, or says `Unknown`, which contradicts no report.
//! * `Running` states only that an earlier request holds the key; its reader refuses with `run: unknown` at worst.
//! * `OtherBody`, `Full` and `NotOwner` let nothing run.
//!
//! A key is free again only after a durable release by the node that holds the intent and never dispatched, or
//! after the retention.

mod commit;
mod journal_action;
mod journal_event;
mod journal_shard;
mod key_entry;
mod key_index;
mod ownership;
mod pending;
mod reservation_client;
mod reservations;
mod rows;
mod table_request;
mod table_result;

pub use journal_action::JournalAction;
pub use journal_event::{JournalEvent, TableCallId};
pub use journal_shard::{JournalShard, JournalSnapshot};
pub use reservation_client::{ReservationAction, ReservationClient, shard_of_key};
pub use rows::{
    Batch, BatchRecord, OwnerRow, RecordKind, RowError, batch_key, batch_range, decode_row,
    owner_key,
};
pub use table_request::{TableCondition, TableRequest, TableWrite};
pub use table_result::{TableResult, TableRow};
