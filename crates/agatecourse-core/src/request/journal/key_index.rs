use super::key_entry::{BatchId, KeyEntry, KeyState};
use super::rows::{Batch, BatchRecord, RecordKind};
use agatecourse_wire::request::KnownOutcome;
use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

// Keeps the index within the 64 MB that a node has for control data; bodies above the limit are kept only in the table.
const MAX_INDEX_BODY_BYTES: usize = 16 * 1024 * 1024;

/// Batch row that is retained in the table, with the keys of its records.
#[derive(Debug, Clone)]
struct RetainedBatch {
    id: BatchId,
    written_unix_ms: u64,
    keys: Vec<Arc<str>>,
}

/// In-memory index of the keys of a shard and their state.
///
/// The caller limits the number of keys by checking [`KeyIndex::len`]. Response bodies use at most 16 MiB; entries
/// above this limit keep only the hash of the body.
#[derive(Debug, Clone, Default)]
pub(super) struct KeyIndex {
    entries: BTreeMap<Arc<str>, KeyEntry>,
    batches: VecDeque<RetainedBatch>,
    body_bytes: usize,
}

impl KeyIndex {
    pub(super) fn len(&self) -> usize {
        self.entries.len()
    }

    pub(super) fn batch_count(&self) -> usize {
        self.batches.len()
    }

    pub(super) fn get(&self, key: &str) -> Option<&KeyEntry> {
        self.entries.get(key)
    }

    pub(super) fn get_mut(&mut self, key: &str) -> Option<&mut KeyEntry> {
        self.entries.get_mut(key)
    }

    pub(super) fn values_mut(&mut self) -> impl Iterator<Item = &mut KeyEntry> {
        self.entries.values_mut()
    }

    pub(super) fn insert(&mut self, key: Arc<str>, entry: KeyEntry) {
        self.entries.insert(key, entry);
    }

    pub(super) fn remove(&mut self, key: &str) {
        if let Some(KeyEntry { state: KeyState::Ended(outcome), .. }) = self.entries.remove(key) {
            self.body_bytes -= body_size_bytes(&outcome);
        }
    }

    /// Sets the outcome of a key and marks it as not durable yet.
    pub(super) fn set_outcome(&mut self, key: &str, outcome: &KnownOutcome) {
        let stored = self.count_body_within_budget(outcome);
        if let Some(entry) = self.entries.get_mut(key) {
            if let KeyState::Ended(previous) = &entry.state {
                self.body_bytes -= body_size_bytes(previous);
            }
            entry.state = KeyState::Ended(stored);
            entry.end_pending = true;
        }
    }

    /// Applies the records of a durable batch in order; keys with an intent get the state `granted`.
    pub(super) fn apply_batch(&mut self, id: BatchId, batch: &Batch, granted: &KeyState) {
        if batch.records.is_empty() {
            return;
        }
        let mut keys = Vec::with_capacity(batch.records.len());
        for record in &batch.records {
            let key: Arc<str> = match self.entries.get_key_value(record.key.as_str()) {
                Some((key, _)) => key.clone(),
                None => record.key.as_str().into(),
            };
            self.apply_record(id, record, &key, granted);
            keys.push(key);
        }
        self.batches.push_back(RetainedBatch { id, written_unix_ms: batch.written_unix_ms, keys });
    }

    fn apply_record(
        &mut self,
        id: BatchId,
        record: &BatchRecord,
        key: &Arc<str>,
        granted: &KeyState,
    ) {
        let current = self.entries.get(key).map(|entry| entry.request_id);
        let state = match &record.kind {
            RecordKind::Intent => granted.clone(),
            // A record of another request with the same key must not change the current entry.
            _ if current.is_some_and(|request_id| request_id != record.request_id) => return,
            RecordKind::Released => return self.remove(key),
            RecordKind::Ended(outcome) => KeyState::Ended(self.count_body_within_budget(outcome)),
        };
        self.remove(key);
        let entry = KeyEntry {
            request_id: record.request_id,
            body_hash: record.body_hash,
            node: record.node.clone(),
            state,
            end_pending: false,
            batch: id,
        };
        self.insert(key.clone(), entry);
    }

    /// Counts the body of an outcome towards the memory limit. Returns the outcome, without its body if the limit would
    /// be exceeded.
    fn count_body_within_budget(&mut self, outcome: &KnownOutcome) -> KnownOutcome {
        let mut stored = outcome.clone();
        if self.body_bytes + body_size_bytes(&stored) > MAX_INDEX_BODY_BYTES
            && let KnownOutcome::Answered { body, .. } = &mut stored
        {
            *body = None;
        }
        self.body_bytes += body_size_bytes(&stored);
        stored
    }

    /// Removes the oldest batch if it was written before the given time, and the keys whose last record is in it.
    ///
    /// Batches expire strictly in order, so the record of a release is never removed before the intent that it
    /// releases. A batch without a timestamp does not expire.
    pub(super) fn pop_expired(&mut self, written_before_unix_ms: u64) -> Option<BatchId> {
        let oldest = self.batches.front()?;
        if oldest.written_unix_ms == 0 || oldest.written_unix_ms >= written_before_unix_ms {
            return None;
        }
        let batch = self.batches.pop_front()?;
        for key in &batch.keys {
            if self.entries.get(key).is_some_and(|entry| entry.batch == batch.id) {
                self.remove(key);
            }
        }
        Some(batch.id)
    }
}

fn body_size_bytes(outcome: &KnownOutcome) -> usize {
    match outcome {
        KnownOutcome::Answered { body: Some(body), .. } => body.len(),
        _ => 0,
    }
}
