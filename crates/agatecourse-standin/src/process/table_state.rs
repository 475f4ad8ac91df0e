use crate::process::RateLimit;
use crate::process::table_wire::{
    Base64Bytes, CompareResult, CompareTarget, Operation, RangeRequest, TxnRequest, base64, text,
};
use serde::Serialize;
use std::collections::{BTreeMap, BTreeSet};
use std::ops::Bound;
use std::time::Instant;

/// Largest number of operations in one transaction, the default limit of etcd.
const OPERATION_LIMIT: usize = 128;

/// Rows of the table, their revisions and the rate limits.
#[derive(Debug)]
pub(crate) struct TableState {
    rows: BTreeMap<Base64Bytes, Row>,
    revision: u64,
    reads: Option<RateLimit>,
    writes: Option<RateLimit>,
}

#[derive(Debug, Clone)]
struct Row {
    value: Base64Bytes,
    create_revision: u64,
    mod_revision: u64,
    version: u64,
}

/// Row in the format of the protocol.
#[derive(Debug, Serialize)]
pub(crate) struct KeyValue {
    #[serde(serialize_with = "base64")]
    key: Base64Bytes,
    #[serde(serialize_with = "base64")]
    value: Base64Bytes,
    #[serde(serialize_with = "text")]
    create_revision: u64,
    #[serde(serialize_with = "text")]
    mod_revision: u64,
    #[serde(serialize_with = "text")]
    version: u64,
}

#[derive(Debug, Serialize)]
pub(crate) struct Header {
    #[serde(serialize_with = "text")]
    revision: u64,
}

/// Response body of a range request.
#[derive(Debug, Serialize)]
pub(crate) struct RangeReply {
    header: Header,
    kvs: Vec<KeyValue>,
    more: bool,
    #[serde(serialize_with = "text")]
    count: u64,
}

/// Response body of a transaction.
#[derive(Debug, Serialize)]
pub(crate) struct TxnReply {
    header: Header,
    succeeded: bool,
}

/// Reason why the table refused an operation without any effect.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum TableRefusal {
    RateExceeded,
    Invalid(String),
}

impl TableState {
    /// Creates an empty table with limits on reads and transactions per second; without a limit the rate is unlimited.
    pub(crate) fn new(reads_per_s: Option<u32>, writes_per_s: Option<u32>, now: Instant) -> Self {
        Self {
            rows: BTreeMap::new(),
            // etcd starts at revision 1: 0 stands for a missing row in comparisons.
            revision: 1,
            reads: RateLimit::optional(reads_per_s, now),
            writes: RateLimit::optional(writes_per_s, now),
        }
    }

    /// Returns one row or a range of rows; a limit of 0 means no limit.
    pub(crate) fn range(
        &mut self,
        request: &RangeRequest,
        now: Instant,
    ) -> Result<RangeReply, TableRefusal> {
        check_rate(&mut self.reads, now)?;
        let limit = if request.limit == 0 { usize::MAX } else { request.limit as usize };
        let matching = self.matching_keys(request);
        let count = matching.len() as u64;
        let kvs: Vec<KeyValue> = matching
            .iter()
            .take(limit)
            .filter_map(|key| self.rows.get(key).map(|row| row.to_key_value(key)))
            .collect();
        Ok(RangeReply { header: self.header(), more: count > kvs.len() as u64, kvs, count })
    }

    /// Evaluates the comparisons of a transaction and atomically applies its `success` or `failure` operations.
    pub(crate) fn commit(
        &mut self,
        request: &TxnRequest,
        now: Instant,
    ) -> Result<TxnReply, TableRefusal> {
        check_operations(&request.success)?;
        check_operations(&request.failure)?;
        check_rate(&mut self.writes, now)?;
        let succeeded = request.compare.iter().all(|compare| {
            let (CompareTarget::ModRevision, CompareResult::Equal) =
                (compare.target, compare.result);
            self.mod_revision(&compare.key) == compare.mod_revision
        });
        let operations = if succeeded { &request.success } else { &request.failure };
        if !operations.is_empty() {
            self.revision += 1;
        }
        for operation in operations {
            self.apply(operation);
        }
        Ok(TxnReply { header: self.header(), succeeded })
    }

    fn apply(&mut self, operation: &Operation) {
        match operation {
            Operation::Put(put) => {
                let previous = self.rows.get(&put.key);
                let row = Row {
                    value: put.value.clone(),
                    create_revision: previous.map_or(self.revision, |row| row.create_revision),
                    mod_revision: self.revision,
                    version: previous.map_or(1, |row| row.version + 1),
                };
                self.rows.insert(put.key.clone(), row);
            }
            Operation::DeleteRange(range) => {
                for key in self.matching_keys(range) {
                    self.rows.remove(&key);
                }
            }
        }
    }

    fn matching_keys(&self, range: &RangeRequest) -> Vec<Base64Bytes> {
        if range.range_end.is_empty() {
            return self
                .rows
                .contains_key(&range.key)
                .then(|| range.key.clone())
                .into_iter()
                .collect();
        }
        if range.range_end != [0] && range.range_end <= range.key {
            return Vec::new();
        }
        let end = match range.range_end.as_slice() {
            [0] => Bound::Unbounded,
            end => Bound::Excluded(end.to_vec()),
        };
        self.rows
            .range((Bound::Included(range.key.clone()), end))
            .map(|(key, _)| key.clone())
            .collect()
    }

    fn mod_revision(&self, key: &Base64Bytes) -> u64 {
        self.rows.get(key).map_or(0, |row| row.mod_revision)
    }

    fn header(&self) -> Header {
        Header { revision: self.revision }
    }
}

impl Row {
    fn to_key_value(&self, key: &[u8]) -> KeyValue {
        KeyValue {
            key: key.to_vec(),
            value: self.value.clone(),
            create_revision: self.create_revision,
            mod_revision: self.mod_revision,
            version: self.version,
        }
    }
}

fn check_rate(limit: &mut Option<RateLimit>, now: Instant) -> Result<(), TableRefusal> {
    if RateLimit::allows(limit, now) { Ok(()) } else { Err(TableRefusal::RateExceeded) }
}

/// Refuses transactions that have too many operations or write a key twice, as etcd does.
fn check_operations(operations: &[Operation]) -> Result<(), TableRefusal> {
    if operations.len() > OPERATION_LIMIT {
        let detail = format!("{} operations; expected at most {OPERATION_LIMIT}", operations.len());
        return Err(TableRefusal::Invalid(detail));
    }
    let mut put_keys = BTreeSet::new();
    for operation in operations {
        if let Operation::Put(put) = operation
            && !put_keys.insert(&put.key)
        {
            return Err(TableRefusal::Invalid("duplicate key given in txn request".to_string()));
        }
    }
    Ok(())
}
