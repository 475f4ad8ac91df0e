use agatecourse_core::request::KeyOwner;
use agatecourse_types::RequestId;
use agatecourse_wire::request::KeyRecord;
use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Instant;

/// Records of the idempotency keys of model requests that this node owns, and the number of readers of each local
/// stream.
///
/// [`KeyOwner`] bounds the keys, the limits of the organisations bound the readers.
#[derive(Debug, Default)]
pub(crate) struct IdempotencyKeys(Mutex<KeyState>);

#[derive(Debug, Default)]
struct KeyState {
    owner: KeyOwner,
    readers: HashMap<RequestId, usize>,
}

impl IdempotencyKeys {
    /// Stores the record of a key that has none, and returns the record of the key, which may be that of an earlier
    /// request. A repeated claim of the same request updates its target.
    pub(crate) fn claim(&self, key: &str, record: KeyRecord) -> KeyRecord {
        self.lock().owner.claim(Instant::now(), key, record)
    }

    /// Returns the record of a key.
    pub(crate) fn lookup(&self, key: &str) -> Option<KeyRecord> {
        self.lock().owner.lookup(key).cloned()
    }

    /// Removes the record of a key if it belongs to this request, whose stream no other caller can read.
    pub(crate) fn release(&self, key: &str, request_id: RequestId) {
        self.lock().owner.release(key, request_id);
    }

    /// Counts one more reader of the stream of a request.
    pub(crate) fn add_reader(&self, request_id: RequestId) {
        *self.lock().readers.entry(request_id).or_default() += 1;
    }

    /// Counts one reader less and returns whether it was the last one; true when the request has no readers.
    pub(crate) fn remove_reader(&self, request_id: RequestId) -> bool {
        let readers = &mut self.lock().readers;
        let Some(count) = readers.get_mut(&request_id) else { return true };
        *count -= 1;
        let last = *count == 0;
        if last {
            readers.remove(&request_id);
        }
        last
    }

    fn lock(&self) -> MutexGuard<'_, KeyState> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
