use crate::ini::SectionReader;
use agatecourse_types::{OrganisationId, RouteId};
use serde::Serialize;

/// Caller with its API key, from a section `[caller.<name>]`.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize)]
pub struct CallerConfig {
    /// Name of the caller.
    pub name: String,
    /// Organisation that pays for the caller.
    pub organisation: OrganisationId,
    /// Name of the tier of the caller's requests.
    pub tier: String,
    /// SHA-256 of the API key as 64 hexadecimal digits; the key itself is not stored.
    pub key_sha256: String,
    /// Routes that the caller may use; empty means all.
    pub routes: Vec<RouteId>,
}

impl CallerConfig {
    pub(crate) fn read(mut reader: SectionReader<'_>) -> Self {
        let value = Self {
            name: reader.name(),
            organisation: reader.text("organisation", "the name of an organisation"),
            tier: reader.text("tier", "the name of a tier"),
            key_sha256: reader.required("key_sha256", "64 hexadecimal digits", parse_sha256),
            routes: reader.optional_list("routes"),
        };
        reader.finish("organisation, tier, key_sha256, routes");
        value
    }
}

/// Parses a SHA-256 of 64 hexadecimal digits and returns it in lower case, or `None` for other texts.
pub fn parse_sha256(text: &str) -> Option<String> {
    let is_valid = text.len() == 64 && text.bytes().all(|byte| byte.is_ascii_hexdigit());
    is_valid.then(|| text.to_ascii_lowercase())
}
