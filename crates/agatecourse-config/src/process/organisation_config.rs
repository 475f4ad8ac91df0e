use crate::ini::SectionReader;
use agatecourse_types::OrganisationId;
use serde::Serialize;

/// An organisation, from a section `[organisation.<name>]`.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize)]
pub struct OrganisationConfig {
    /// Name of the organisation.
    pub name: OrganisationId,
    /// Weight of the organisation's fair share within a tier, relative to the other organisations.
    pub weight: u32,
    /// Largest number of requests per second over the whole fleet.
    pub rate_per_s: u32,
    /// Largest number of requests that wait or run at the same time over the whole fleet.
    pub concurrency: u32,
}

impl OrganisationConfig {
    pub(crate) fn read(mut reader: SectionReader<'_>) -> Self {
        let value = Self {
            name: reader.name(),
            weight: reader.number("weight", 1, 1, 1_000),
            rate_per_s: reader.number("rate_per_s", 1_000, 1, 1_000_000),
            concurrency: reader.number("concurrency", 1_000, 1, 1_000_000),
        };
        reader.finish("weight, rate_per_s, concurrency");
        value
    }
}
