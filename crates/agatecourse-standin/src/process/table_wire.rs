//! Requests in the JSON mapping of the etcd v3 API that the table stand-in supports.

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use serde::{Deserialize, Deserializer, Serializer};

/// Bytes that are encoded as base64 in JSON.
pub(crate) type Base64Bytes = Vec<u8>;

/// Request body of `POST /v3/kv/range`; an empty `range_end` selects the single row `key`.
#[derive(Debug, Clone, Default, PartialEq, Eq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub(crate) struct RangeRequest {
    #[serde(deserialize_with = "bytes")]
    pub(crate) key: Base64Bytes,
    #[serde(deserialize_with = "bytes")]
    pub(crate) range_end: Base64Bytes,
    #[serde(deserialize_with = "number")]
    pub(crate) limit: u64,
}

/// Request body of `POST /v3/kv/txn`.
#[derive(Debug, Clone, Default, PartialEq, Eq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub(crate) struct TxnRequest {
    pub(crate) compare: Vec<Compare>,
    pub(crate) success: Vec<Operation>,
    pub(crate) failure: Vec<Operation>,
}

/// Comparison in a transaction; only equality of `mod_revision` is supported.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Compare {
    #[serde(deserialize_with = "bytes")]
    pub(crate) key: Base64Bytes,
    pub(crate) target: CompareTarget,
    pub(crate) result: CompareResult,
    #[serde(default, deserialize_with = "number")]
    pub(crate) mod_revision: u64,
}

/// Field of a row that is compared.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
pub(crate) enum CompareTarget {
    #[serde(rename = "MOD")]
    ModRevision,
}

/// Relation that a comparison requires.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
pub(crate) enum CompareResult {
    #[serde(rename = "EQUAL")]
    Equal,
}

/// Operation that a transaction applies.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub(crate) enum Operation {
    #[serde(rename = "request_put")]
    Put(Put),
    #[serde(rename = "request_delete_range")]
    DeleteRange(RangeRequest),
}

/// Insertion or replacement of one row.
#[derive(Debug, Clone, Default, PartialEq, Eq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub(crate) struct Put {
    #[serde(deserialize_with = "bytes")]
    pub(crate) key: Base64Bytes,
    #[serde(deserialize_with = "bytes")]
    pub(crate) value: Base64Bytes,
}

/// Decodes a base64 string.
fn bytes<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Base64Bytes, D::Error> {
    let text = String::deserialize(deserializer)?;
    STANDARD.decode(text).map_err(serde::de::Error::custom)
}

/// Decodes a 64-bit number from a JSON string or number.
fn number<'de, D: Deserializer<'de>>(deserializer: D) -> Result<u64, D::Error> {
    #[derive(Deserialize)]
    #[serde(untagged)]
    enum Number {
        Plain(u64),
        Text(String),
    }
    match Number::deserialize(deserializer)? {
        Number::Plain(number) => Ok(number),
        Number::Text(text) => text.parse().map_err(serde::de::Error::custom),
    }
}

/// Encodes bytes as a base64 string.
pub(crate) fn base64<S: Serializer>(bytes: &[u8], serializer: S) -> Result<S::Ok, S::Error> {
    serializer.serialize_str(&STANDARD.encode(bytes))
}

/// Encodes a 64-bit number as a JSON string.
#[expect(clippy::trivially_copy_pass_by_ref, reason = "serde passes fields by reference")]
pub(crate) fn text<S: Serializer>(number: &u64, serializer: S) -> Result<S::Ok, S::Error> {
    serializer.collect_str(number)
}
