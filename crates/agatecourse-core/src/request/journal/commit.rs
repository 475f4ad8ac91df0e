use super::journal_shard::{JournalShard, reply};
use super::key_entry::{BatchId, KeyState};
use super::ownership::{OwnershipClaim, OwnershipPhase};
use super::pending::{InFlightBatch, PendingKind, PendingRecord};
use super::rows::{Batch, BatchRecord, RecordKind, batch_key, encode_row, owner_key};
use super::{JournalAction, RowError, TableCondition, TableRequest, TableResult, TableWrite};
use agatecourse_types::{NodeId, RequestId};
use agatecourse_wire::request::{KnownOutcome, ReserveResult};
use std::collections::BTreeSet;
use std::time::Instant;

// A batch is complete with the record that reaches 128 KiB: 80 batches in base64 fit the response limit of 16 MiB
// when a successor loads them.
const MAX_BATCH_RECORDS: usize = 1_000;
const BATCH_SIZE_THRESHOLD_BYTES: usize = 128 * 1024;
const RECORD_OVERHEAD_BYTES: usize = 128;
// The table accepts at most 128 operations per transaction. Deletions are sent with the next batch or once this many
// are pending, so that an idle shard does not need one write per expired row.
const MAX_BATCH_DELETIONS: usize = 100;

impl JournalShard {
    pub(super) fn has_work(&self) -> bool {
        self.in_flight.is_some()
            || !self.pending.is_empty()
            || self.deletions.len() >= MAX_BATCH_DELETIONS
    }

    pub(super) fn advance_commit(&mut self, now: Instant, actions: &mut Vec<JournalAction>) {
        self.expire_batches(now);
        let OwnershipPhase::Owning { claim, next_seq } = self.phase.clone() else { return };
        if self.in_flight.is_none() {
            if self.next_commit_at.is_some_and(|at| now < at) || !self.has_work() {
                return;
            }
            for (node, request_id) in self.compose_batch(now, next_seq) {
                actions.push(JournalAction::Recorded { node, request_id });
            }
        }
        let Some(in_flight) = &self.in_flight else { return };
        let key = batch_key(self.shard, claim.epoch, in_flight.seq);
        let request = if in_flight.read_back {
            TableRequest::Get { key }
        } else {
            self.next_commit_at = Some(now + self.commit_interval);
            self.commit_request(&claim, in_flight, key)
        };
        self.send_table_request(now, request, actions);
    }

    /// Builds the transaction that commits a batch. It fails for a former owner because of the condition on the owner
    /// row, and a retry fails after an applied first attempt because of the condition on the batch row.
    fn commit_request(
        &self,
        claim: &OwnershipClaim,
        in_flight: &InFlightBatch,
        key: String,
    ) -> TableRequest {
        let owner = TableCondition { key: owner_key(self.shard), revision: claim.revision };
        let mut conditions = vec![owner];
        let deletions = in_flight
            .deletions
            .iter()
            .map(|(epoch, seq)| TableWrite::Delete { key: batch_key(self.shard, *epoch, *seq) });
        let mut writes: Vec<TableWrite> = deletions.collect();
        // A transaction with only deletions needs no batch row, because deletions are idempotent.
        if !in_flight.batch.records.is_empty() {
            conditions.push(TableCondition { key: key.clone(), revision: 0 });
            writes.push(TableWrite::Put { key, value: in_flight.value.clone() });
        }
        TableRequest::Commit { conditions, writes }
    }

    fn expire_batches(&mut self, now: Instant) {
        let kept_from = self.unix_ms(now).saturating_sub(self.retention.as_millis() as u64);
        while let Some(id) = self.index.pop_expired(kept_from) {
            self.deletions.push_back(id);
        }
    }

    /// Moves pending records and deletions into the next batch. If there is nothing to commit, returns the reporters
    /// to confirm immediately, because the keys of their records have expired.
    fn compose_batch(&mut self, now: Instant, seq: u64) -> Vec<(NodeId, RequestId)> {
        self.drop_expired_intents(now);
        let mut records = Vec::new();
        let mut reporters = Vec::new();
        let mut size_bytes = 0;
        while records.len() < MAX_BATCH_RECORDS && size_bytes < BATCH_SIZE_THRESHOLD_BYTES {
            let Some(pending) = self.pending.pop_front() else { break };
            let request_id = pending.request_id;
            if let PendingKind::Ended { reporter, .. } | PendingKind::Released { reporter } =
                &pending.kind
            {
                reporters.push((reporter.clone(), request_id));
            }
            if let Some(record) = self.compose_record(pending) {
                size_bytes += size_estimate_bytes(&record);
                records.push(record);
            }
        }
        let deletions: Vec<BatchId> =
            self.deletions.drain(..self.deletions.len().min(MAX_BATCH_DELETIONS)).collect();
        if records.is_empty() && deletions.is_empty() {
            return reporters;
        }
        let batch = Batch { written_unix_ms: self.unix_ms(now), records };
        let value = encode_row(&batch);
        self.in_flight = Some(InFlightBatch {
            seq,
            batch,
            value,
            deletions,
            reporters,
            read_back: false,
            conflicted: false,
        });
        Vec::new()
    }

    /// Builds the batch record of a pending record. Returns `None` if the key has expired or another request holds it.
    fn compose_record(&self, pending: PendingRecord) -> Option<BatchRecord> {
        let entry = self.index.get(&pending.key)?;
        if entry.request_id != pending.request_id {
            return None;
        }
        let kind = match pending.kind {
            PendingKind::Intent { .. } => RecordKind::Intent,
            PendingKind::Ended { outcome, .. } => RecordKind::Ended(outcome),
            PendingKind::Released { .. } => RecordKind::Released,
        };
        Some(entry.record(&pending.key, kind))
    }

    /// Handles the result of a commit, or of the read that determines whether a commit was applied.
    ///
    /// If the batch row exists, the only writer of this epoch wrote it while the owner row contained the epoch, so
    /// the batch is durable even if ownership was lost since. If a commit conflicts and the batch row does not exist,
    /// the owner row has changed and no attempt can succeed. In all other cases the same bytes are committed again.
    pub(super) fn handle_commit_result(
        &mut self,
        now: Instant,
        result: TableResult,
        actions: &mut Vec<JournalAction>,
    ) {
        let Some(in_flight) = &mut self.in_flight else { return };
        match result {
            TableResult::Committed => self.handle_batch_committed(actions),
            TableResult::Row(Some(row)) if row.value == in_flight.value => {
                self.handle_batch_committed(actions);
            }
            TableResult::Row(Some(row)) => {
                let error = RowError::Changed { key: row.key };
                actions.push(JournalAction::UnreadableRow { error });
                self.lose_ownership(now, actions);
            }
            TableResult::Row(None) if in_flight.conflicted => self.lose_ownership(now, actions),
            TableResult::Row(None) => {
                in_flight.read_back = false;
                self.retry_at = None;
            }
            TableResult::Conflict => {
                in_flight.read_back = true;
                in_flight.conflicted = true;
            }
            TableResult::OutcomeUnknown => {
                in_flight.read_back = true;
                self.schedule_table_retry(now);
            }
            TableResult::Unavailable | TableResult::Rows(_) => self.schedule_table_retry(now),
        }
    }

    fn schedule_table_retry(&mut self, now: Instant) {
        self.drop_expired_intents(now);
        self.retry_with_backoff(now);
    }

    fn handle_batch_committed(&mut self, actions: &mut Vec<JournalAction>) {
        let Some(in_flight) = self.in_flight.take() else { return };
        let OwnershipPhase::Owning { claim, next_seq } = &mut self.phase else { return };
        *next_seq = in_flight.seq + 1;
        let id = (claim.epoch, in_flight.seq);
        self.reset_backoff();
        self.commits += 1;
        let released = self.released_requests(&in_flight.batch);
        self.index.apply_batch(id, &in_flight.batch, &KeyState::Running);
        for record in &in_flight.batch.records {
            match &record.kind {
                RecordKind::Intent if released.contains(&record.request_id) => {
                    if let Some(entry) = self.index.get_mut(&record.key) {
                        entry.end_pending = true;
                    }
                    self.add_release(&record.key, record.request_id, record.node.clone());
                }
                RecordKind::Intent => {
                    let node = record.node.clone();
                    reply(actions, node, record.request_id, ReserveResult::Granted);
                }
                RecordKind::Ended(_) | RecordKind::Released => {
                    self.answer_waiters(&record.key, actions);
                }
            }
        }
        for (node, request_id) in in_flight.reporters {
            actions.push(JournalAction::Recorded { node, request_id });
        }
    }

    /// Returns the requests that their nodes released while the commit of their intents was outstanding.
    fn released_requests(&self, batch: &Batch) -> BTreeSet<RequestId> {
        let entries = batch.records.iter().filter_map(|record| self.index.get(&record.key));
        entries
            .filter(|entry| entry.state == KeyState::Reserving { released: true })
            .map(|entry| entry.request_id)
            .collect()
    }
}

fn size_estimate_bytes(record: &BatchRecord) -> usize {
    let body_bytes = match &record.kind {
        RecordKind::Ended(KnownOutcome::Answered { body: Some(body), .. }) => body.len(),
        _ => 0,
    };
    record.key.len() + record.node.len() + body_bytes + RECORD_OVERHEAD_BYTES
}
