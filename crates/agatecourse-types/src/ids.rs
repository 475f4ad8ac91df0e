//! Type aliases for ids.

use snafu::{OptionExt, Snafu};

/// Name of an entry node, unique in a deployment; comes from the node's settings.
pub type NodeId = String;
/// Start time of a node process in microseconds since the Unix epoch; a restarted or refuted node uses a higher one.
pub type Incarnation = u64;
/// 128-bit id of one request, chosen by the entry node that accepted it.
pub type RequestId = u128;
/// Name of a target: a model engine or a plain service.
pub type TargetId = String;
/// Name of a pool: a fixed group of at most 16 targets of one route.
pub type PoolId = String;
/// Name of a route.
pub type RouteId = String;
/// Name of an organisation: a customer.
pub type OrganisationId = String;
/// Name of a zone: an availability zone.
pub type ZoneId = String;
/// Name of a region, which holds availability zones.
pub type RegionId = String;
/// Name of a VM: a machine.
pub type VmId = String;
/// Name of a target version.
pub type VersionId = String;
/// Name of a provider whose credits pay for targets.
pub type ProviderId = String;
/// Number of a journal shard.
pub type ShardId = u32;
/// Epoch of a journal shard; increases each time the shard changes its owner.
pub type Epoch = u64;
/// Fencing number of the lease of a move; increases each time the lease changes its holder.
pub type FencingNumber = u64;
/// Version of the fleet configuration; increases with each accepted configuration.
pub type ConfigVersion = u64;
/// Hash of route and body that identifies equal requests.
pub type Fingerprint = u64;
/// Tier of a request; 0 is the highest.
pub type Tier = u8;

/// Error for a request id that is not 32 hexadecimal digits.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(display("request id {text:?} is not 32 hexadecimal digits"))]
pub struct ParseRequestIdError {
    text: String,
}

/// Formats a request id as 32 hexadecimal digits.
pub fn format_request_id(request_id: RequestId) -> String {
    format!("{request_id:032x}")
}

/// Parses the form that [`format_request_id`] writes.
///
/// # Errors
///
/// Returns [`ParseRequestIdError`] when the text is not 32 hexadecimal digits.
pub fn parse_request_id(text: &str) -> Result<RequestId, ParseRequestIdError> {
    Some(text)
        .filter(|text| text.len() == 32 && text.bytes().all(|byte| byte.is_ascii_hexdigit()))
        .and_then(|text| RequestId::from_str_radix(text, 16).ok())
        .context(ParseRequestIdSnafu { text })
}

#[cfg(test)]
mod tests;
