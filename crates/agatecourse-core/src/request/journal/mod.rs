//! Journal of non-idempotent requests: durable reservations of idempotency keys in the table.
//!
//! A [`JournalShard`] owns the keys of one shard while the owner row contains its epoch. Each reply stays correct
//! even if the owner is paused, replaced by a successor or partitioned at any time:
//!
//! * `Granted` is sent only after a commit whose transaction required the owner row to be unchanged since the epoch
//!   was claimed. A successor claims the shard before it lists the batches, so it sees the intent and grants the key
//!   to no other request. Only the node in the intent dispatches, and it dispatches a request id once, so a
//!   duplicate or late `Granted` causes no second run.
//! * `Ended` returns the outcome that the dispatching node reported, or `Unknown`, which is consistent with any
//!   outcome.
//! * `Running` means only that an earlier request holds the key; the receiver at worst refuses its request with
//!   `run: unknown`.
//! * `OtherBody`, `Full` and `NotOwner` never lead to a dispatch.
//!
//! A key becomes available again only after a durable release by the node in the intent, which has not dispatched
//! the request, or after the retention period.

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
