//! JSON mapping of the etcd v3 API: bytes are encoded as base64 and 64-bit numbers as strings.

use crate::{TableOperation, TableRow, TableTransaction};
use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};

/// Header of each response, with the revision of the table.
#[derive(Debug, Default, Deserialize)]
pub(crate) struct ResponseHeader {
    revision: Option<String>,
}

/// Row in a response.
#[derive(Debug, Deserialize)]
pub(crate) struct KeyValue {
    key: String,
    #[serde(default)]
    value: String,
    mod_revision: String,
}

/// Response to a range request. The mapping omits fields with default values.
#[derive(Debug, Deserialize)]
pub(crate) struct RangeReply {
    #[serde(default)]
    pub(crate) kvs: Vec<KeyValue>,
    #[serde(default)]
    pub(crate) more: bool,
}

/// Response to a transaction.
#[derive(Debug, Deserialize)]
pub(crate) struct TransactionReply {
    pub(crate) header: ResponseHeader,
    #[serde(default)]
    pub(crate) succeeded: bool,
}

/// Request for one row, or for a range of rows when `range_end` is set.
#[derive(Debug, Default, Serialize)]
pub(crate) struct RangeRequest {
    key: String,
    #[serde(skip_serializing_if = "Option::is_none")]
    range_end: Option<String>,
    #[serde(skip_serializing_if = "Option::is_none")]
    limit: Option<String>,
}

impl RangeRequest {
    pub(crate) fn single_row(key: &str) -> Self {
        Self { key: encode_base64(key.as_bytes()), ..Self::default() }
    }

    pub(crate) fn prefix_page(first: &[u8], prefix: &str, limit: usize) -> Self {
        Self::range(first, &prefix_end(prefix.as_bytes()), limit)
    }

    pub(crate) fn range(first: &[u8], end: &[u8], limit: usize) -> Self {
        Self {
            key: encode_base64(first),
            range_end: Some(encode_base64(end)),
            limit: Some(limit.to_string()),
        }
    }
}

impl ResponseHeader {
    /// Returns `None` when the revision is missing or not a number.
    pub(crate) fn revision(&self) -> Option<u64> {
        self.revision.as_deref().and_then(|text| text.parse().ok())
    }
}

impl KeyValue {
    /// Returns `None` when the base64, the UTF-8 key or the number is invalid.
    pub(crate) fn into_row(self) -> Option<TableRow> {
        Some(TableRow {
            key: String::from_utf8(STANDARD.decode(self.key).ok()?).ok()?,
            value: STANDARD.decode(self.value).ok()?,
            mod_revision: self.mod_revision.parse().ok()?,
        })
    }
}

/// Encodes the body of a transaction request.
pub(crate) fn transaction_body(transaction: &TableTransaction) -> Value {
    let compares: Vec<Value> = transaction
        .compares
        .iter()
        .map(|compare| {
            json!({
                "key": encode_base64(compare.key.as_bytes()),
                "target": "MOD",
                "result": "EQUAL",
                "mod_revision": compare.mod_revision.to_string(),
            })
        })
        .collect();
    let operations: Vec<Value> = transaction.operations.iter().map(operation_body).collect();
    json!({ "compare": compares, "success": operations })
}

fn operation_body(operation: &TableOperation) -> Value {
    match operation {
        TableOperation::Put { key, value } => {
            json!({ "request_put": { "key": encode_base64(key.as_bytes()), "value": encode_base64(value) } })
        }
        TableOperation::Delete { key } => {
            json!({ "request_delete_range": { "key": encode_base64(key.as_bytes()) } })
        }
        TableOperation::DeleteRange { first, end } => {
            let (key, range_end) = (encode_base64(first.as_bytes()), encode_base64(end.as_bytes()));
            json!({ "request_delete_range": { "key": key, "range_end": range_end } })
        }
    }
}

fn encode_base64(bytes: &[u8]) -> String {
    STANDARD.encode(bytes)
}

/// Returns the exclusive end of the key range with a prefix; a single zero byte means the end of the table.
fn prefix_end(prefix: &[u8]) -> Vec<u8> {
    let mut end = prefix.to_vec();
    while let Some(last) = end.pop() {
        if last < u8::MAX {
            end.push(last + 1);
            return end;
        }
    }
    vec![0]
}
