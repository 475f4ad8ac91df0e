use agatecourse_core::request::KeyOwner;
use agatecourse_types::RequestId;
use agatecourse_wire::request::KeyRecord;
use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Instant;

/// Idempotency keys of model requests and the readers of their streams at this node.
///
/// The keys are bounded by [`KeyOwner`], the readers by the organisations' limits on requests.
#[derive(Debug, Default)]
pub(crate) struct IdempotencyKeys(Mutex<Inner>);

#[derive(Debug, Default)]
struct Inner {
    owner: KeyOwner,
    readers: HashMap<RequestId, usize>,
}

impl IdempotencyKeys {
    /// Claims a key and returns the record that holds it.
    pub(crate) fn claim(&self, key: &str, record: KeyRecord) -> KeyRecord {
        self.lock().owner.claim(Instant::now(), key, record)
    }

    /// Returns the record that holds a key.
    pub(crate) fn lookup(&self, key: &str) -> Option<KeyRecord> {
        self.lock().owner.lookup(key).cloned()
    }

    /// Frees the key of a request whose stream can't be joined.
    pub(crate) fn release(&self, key: &str, request_id: RequestId) {
        self.lock().owner.release(key, request_id);
    }

    /// Adds a reader to the stream of a request.
    pub(crate) fn add_reader(&self, request_id: RequestId) {
        *self.lock().readers.entry(request_id).or_default() += 1;
    }

    /// Removes a reader and returns whether it was the last one.
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

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
