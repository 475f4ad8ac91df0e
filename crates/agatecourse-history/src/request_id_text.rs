//! Serializes request ids as 32 hexadecimal digits, because JSON numbers can't represent 128 bits exactly.

use agatecourse_types::{RequestId, format_request_id, parse_request_id};
use serde::{Deserialize, Deserializer, Serializer, de::Error};

pub(crate) fn serialize<S: Serializer>(id: &RequestId, serializer: S) -> Result<S::Ok, S::Error> {
    serializer.serialize_str(&format_request_id(*id))
}

pub(crate) fn deserialize<'de, D: Deserializer<'de>>(
    deserializer: D,
) -> Result<RequestId, D::Error> {
    parse_request_id(&String::deserialize(deserializer)?).map_err(D::Error::custom)
}
