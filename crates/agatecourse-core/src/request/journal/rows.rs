use super::key_entry::BatchId;
use agatecourse_types::{Epoch, Incarnation, NodeId, RequestId, ShardId};
use agatecourse_wire::request::KnownOutcome;
use serde::{Deserialize, Serialize, de::DeserializeOwned};
use snafu::{OptionExt, ResultExt, Snafu, ensure};

const FORMAT_VERSION: u8 = 1;

/// Error for a table row that this release cannot read or did not expect.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum RowError {
    /// The value is empty or its first byte is not the format version of this release.
    #[snafu(display("row {key} does not start with format version {FORMAT_VERSION}"))]
    UnknownVersion {
        /// Key of the row.
        key: String,
    },
    /// The value has the expected format version but cannot be decoded.
    #[snafu(display("row {key} is malformed: {source}"))]
    Malformed {
        /// Key of the row.
        key: String,
        /// Error of the postcard decoder.
        source: postcard::Error,
    },
    /// The key of a batch row does not end in epoch and sequence number.
    #[snafu(display(
        "row key {key} does not end in \"<epoch>/<sequence number>\" as a batch row of the journal must"
    ))]
    BadKey {
        /// Key of the row.
        key: String,
    },
    /// A batch row differs from the batch that this node, the only writer of its epoch, committed.
    #[snafu(display(
        "row {key} differs from the batch that this node committed: another writer has changed it"
    ))]
    Changed {
        /// Key of the row.
        key: String,
    },
}

/// Value of `journal/<shard>/owner`.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct OwnerRow {
    /// Node that owns the shard.
    pub node: NodeId,
    /// Incarnation of the node; distinguishes its present run from runs before a restart.
    pub incarnation: Incarnation,
    /// Number of the claim; each claim of the shard increases it by 1.
    pub epoch: Epoch,
}

/// Value of `journal/<shard>/batch/<epoch>/<seq>`.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Batch {
    /// Wall-clock time of the owner when it composed the batch, in milliseconds since the Unix epoch.
    pub written_unix_ms: u64,
    /// Records in the order in which they take effect.
    pub records: Vec<BatchRecord>,
}

/// Record of a [`Batch`], which changes the state of one idempotency key.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct BatchRecord {
    /// Organisation and idempotency key in the form `<organisation>/<key>`.
    pub key: String,
    /// Request that reserved the key.
    pub request_id: RequestId,
    /// Hash of the route and the request body; detects a key that is reused with another body.
    pub body_hash: u64,
    /// Entry node of the request; only this node may dispatch it.
    pub node: NodeId,
    /// Change of the key's state.
    pub kind: RecordKind,
}

/// Change that a [`BatchRecord`] makes to the state of its key.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum RecordKind {
    /// The node may dispatch the request once the batch is committed.
    Intent,
    /// The request has ended with this outcome.
    Ended(KnownOutcome),
    /// The request was not dispatched, so the key can be reserved again.
    Released,
}

/// Returns the key of a shard's owner row.
pub fn owner_key(shard: ShardId) -> String {
    format!("journal/{shard}/owner")
}

/// Returns the key of a batch row; the keys sort in the order in which the batches were written.
pub fn batch_key(shard: ShardId, epoch: Epoch, seq: u64) -> String {
    format!("journal/{shard}/batch/{epoch:020}/{seq:020}")
}

/// Returns the key range of a shard's batch rows: its inclusive start and its exclusive end.
pub fn batch_range(shard: ShardId) -> (String, String) {
    // `0` follows `/` in ASCII, so the end of the range sorts after all batch keys.
    (format!("journal/{shard}/batch/"), format!("journal/{shard}/batch0"))
}

pub(super) fn parse_batch_id(key: &str) -> Result<BatchId, RowError> {
    let mut parts = key.rsplit('/').map(|part| part.parse().ok());
    let seq = parts.next().flatten();
    let epoch = parts.next().flatten();
    epoch.zip(seq).context(BadKeySnafu { key })
}

pub(super) fn encode_row<T: Serialize>(value: &T) -> Vec<u8> {
    postcard::to_extend(value, vec![FORMAT_VERSION]).expect("rows hold only encodable types")
}

/// Decodes the value of a row; `key` is used in errors only.
///
/// # Errors
///
/// Returns [`RowError::UnknownVersion`] if the value does not start with the format version of this release, and
/// [`RowError::Malformed`] if the rest cannot be decoded as `T`.
pub fn decode_row<T: DeserializeOwned>(key: &str, value: &[u8]) -> Result<T, RowError> {
    ensure!(value.first() == Some(&FORMAT_VERSION), UnknownVersionSnafu { key });
    postcard::from_bytes(&value[1..]).context(MalformedSnafu { key })
}
