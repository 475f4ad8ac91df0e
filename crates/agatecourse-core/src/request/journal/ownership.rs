use super::journal_shard::{JournalShard, reply};
use super::key_entry::KeyState;
use super::key_index::KeyIndex;
use super::pending::PendingKind;
use super::rows::{Batch, OwnerRow, batch_range, encode_row, owner_key, parse_batch_id};
use super::{
    JournalAction, RowError, TableCondition, TableRequest, TableResult, TableRow, TableWrite,
    decode_row,
};
use agatecourse_types::Epoch;
use agatecourse_wire::request::ReserveResult;
use std::time::{Duration, Instant};

// 80 rows of 128 KiB in base64 fit the table client's response limit of 16 MiB.
const MAX_PAGE_ROWS: usize = 80;
// Limits how often two nodes with different membership views take the shard from each other to about once a second.
const RECLAIM_DELAY: Duration = Duration::from_secs(1);
// A damaged row must be repaired by an operator; more frequent reads would only add load to the table.
const UNREADABLE_ROW_RETRY_DELAY: Duration = Duration::from_secs(10);

/// Proof of ownership: the epoch in the owner row and the revision at which it was written.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct OwnershipClaim {
    pub(super) epoch: Epoch,
    pub(super) revision: u64,
}

/// Phase of a shard on the way to ownership.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum OwnershipPhase {
    /// This node neither owns nor claims the shard.
    Idle,
    /// Reads the owner row; `claimed` is the epoch that this node has tried to write in this claim.
    ReadingOwner { claimed: Option<Epoch> },
    /// Writes the owner row on the condition that it is still at `revision`.
    Claiming { epoch: Epoch, revision: u64 },
    /// Reads the retained batches page by page; the next page starts at the key `from`.
    Loading { claim: OwnershipClaim, from: String },
    /// Accepts reservations; `next_seq` is the sequence number of the next batch.
    Owning { claim: OwnershipClaim, next_seq: u64 },
}

impl JournalShard {
    /// Starts a claim with a new epoch, even if the owner row still contains this node: a commit from its previous
    /// ownership may still be in transit and fails only if the owner row has a new revision.
    pub(super) fn start_claim(&mut self) {
        if self.phase == OwnershipPhase::Idle {
            self.phase = OwnershipPhase::ReadingOwner { claimed: None };
        }
    }

    /// Gives up the shard. An outstanding commit may still be applied; the successor then finds the intent and replies
    /// when the node resends its reservation.
    pub(super) fn resign(&mut self, actions: &mut Vec<JournalAction>) {
        if self.phase == OwnershipPhase::Idle {
            return;
        }
        self.discard_outstanding_call();
        self.phase = OwnershipPhase::Idle;
        self.index = KeyIndex::default();
        self.deletions.clear();
        self.waiters.clear();
        self.waiter_count = 0;
        self.in_flight = None;
        for record in std::mem::take(&mut self.pending) {
            if let PendingKind::Intent { node, .. } = record.kind {
                reply(actions, node, record.request_id, ReserveResult::NotOwner);
            }
        }
        for (node, reservation, _) in std::mem::take(&mut self.backlog) {
            reply(actions, node, reservation.request_id, ReserveResult::NotOwner);
        }
    }

    pub(super) fn lose_ownership(&mut self, now: Instant, actions: &mut Vec<JournalAction>) {
        self.resign(actions);
        self.retry_after_delay(now, RECLAIM_DELAY);
        actions.push(JournalAction::OwnershipLost);
    }

    pub(super) fn advance_claim(&mut self, now: Instant, actions: &mut Vec<JournalAction>) {
        let key = owner_key(self.shard);
        let request = match &self.phase {
            OwnershipPhase::ReadingOwner { .. } => TableRequest::Get { key },
            OwnershipPhase::Claiming { epoch, revision } => TableRequest::Commit {
                conditions: vec![TableCondition { key: key.clone(), revision: *revision }],
                writes: vec![TableWrite::Put { key, value: self.owner_row(*epoch) }],
            },
            OwnershipPhase::Loading { from, .. } => TableRequest::List {
                from: from.clone(),
                until: batch_range(self.shard).1,
                limit: MAX_PAGE_ROWS,
            },
            OwnershipPhase::Idle | OwnershipPhase::Owning { .. } => return,
        };
        self.send_table_request(now, request, actions);
    }

    fn owner_row(&self, epoch: Epoch) -> Vec<u8> {
        let (node, incarnation) = (self.node.clone(), self.incarnation);
        encode_row(&OwnerRow { node, incarnation, epoch })
    }

    pub(super) fn handle_claim_result(
        &mut self,
        now: Instant,
        result: TableResult,
        actions: &mut Vec<JournalAction>,
    ) {
        match (self.phase.clone(), result) {
            (OwnershipPhase::ReadingOwner { claimed }, TableResult::Row(row)) => {
                let next_phase = self.next_claim_phase(claimed, row.as_ref());
                self.enter_phase(now, next_phase, actions);
            }
            // The response may have been lost, so the owner row is read after every attempt.
            (OwnershipPhase::Claiming { epoch, .. }, result) => {
                self.phase = OwnershipPhase::ReadingOwner { claimed: Some(epoch) };
                if result != TableResult::Committed {
                    self.retry_with_backoff(now);
                }
            }
            (OwnershipPhase::Loading { claim, .. }, TableResult::Rows(rows)) => {
                let next_phase = self.load_rows(claim, &rows);
                self.enter_phase(now, next_phase, actions);
            }
            _ => self.retry_with_backoff(now),
        }
    }

    fn enter_phase(
        &mut self,
        now: Instant,
        next_phase: Result<OwnershipPhase, RowError>,
        actions: &mut Vec<JournalAction>,
    ) {
        match next_phase {
            Ok(phase) => {
                self.reset_backoff();
                self.phase = phase;
                if matches!(self.phase, OwnershipPhase::Owning { .. }) {
                    self.process_backlog(now, actions);
                }
            }
            Err(error) => {
                actions.push(JournalAction::UnreadableRow { error });
                self.retry_after_delay(now, UNREADABLE_ROW_RETRY_DELAY);
            }
        }
    }

    fn next_claim_phase(
        &self,
        claimed: Option<Epoch>,
        row: Option<&TableRow>,
    ) -> Result<OwnershipPhase, RowError> {
        let Some(TableRow { key, value, revision }) = row else {
            return Ok(OwnershipPhase::Claiming { epoch: 1, revision: 0 });
        };
        let owner: OwnerRow = decode_row(key, value)?;
        let is_own_claim = owner.node == self.node && owner.incarnation == self.incarnation;
        if is_own_claim && claimed == Some(owner.epoch) {
            let claim = OwnershipClaim { epoch: owner.epoch, revision: *revision };
            return Ok(OwnershipPhase::Loading { claim, from: batch_range(self.shard).0 });
        }
        Ok(OwnershipPhase::Claiming { epoch: owner.epoch + 1, revision: *revision })
    }

    /// Adds a page of batches to the index. The claim is already committed, so no former owner can add batches, and the
    /// pages together contain every intent that was granted within the retention period.
    fn load_rows(
        &mut self,
        claim: OwnershipClaim,
        rows: &[TableRow],
    ) -> Result<OwnershipPhase, RowError> {
        let (first, _) = batch_range(self.shard);
        if matches!(&self.phase, OwnershipPhase::Loading { from, .. } if *from == first) {
            self.index = KeyIndex::default();
        }
        let batches: Vec<Batch> =
            rows.iter().map(|row| decode_row(&row.key, &row.value)).collect::<Result<_, _>>()?;
        for (row, batch) in rows.iter().zip(&batches) {
            let id = parse_batch_id(&row.key)?;
            self.index.apply_batch(id, batch, &KeyState::Unresolved);
        }
        match rows.last() {
            Some(last) if rows.len() >= MAX_PAGE_ROWS => {
                Ok(OwnershipPhase::Loading { claim, from: format!("{}\0", last.key) })
            }
            _ => Ok(OwnershipPhase::Owning { claim, next_seq: 1 }),
        }
    }

    fn process_backlog(&mut self, now: Instant, actions: &mut Vec<JournalAction>) {
        self.commits = 0;
        self.next_commit_at = None;
        for (node, reservation, deadline) in std::mem::take(&mut self.backlog) {
            if now < deadline {
                self.handle_reservation(node, reservation, deadline, actions);
            }
        }
    }
}
