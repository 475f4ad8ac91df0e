use crate::ini::SectionReader;
use agatecourse_types::ProviderId;
use serde::{Serialize, Serializer};
use time::OffsetDateTime;
use time::format_description::well_known::Rfc3339;

/// Provider with its credits, from a section `[provider.<name>]`.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize)]
pub struct ProviderConfig {
    /// Name of the provider.
    pub name: ProviderId,
    /// Remaining credits in tokens; prompt and answer tokens count.
    pub credit_tokens: u64,
    /// Time at which the credits expire.
    #[serde(serialize_with = "serialize_time")]
    pub ends_at: OffsetDateTime,
}

impl ProviderConfig {
    pub(crate) fn read(mut reader: SectionReader<'_>) -> Self {
        let expected = "a time as in 2027-03-31T00:00:00Z";
        let ends_at = reader.required("ends_at", expected, |text| {
            OffsetDateTime::parse(text, &Rfc3339).ok().map(Some)
        });
        let value = Self {
            name: reader.name(),
            credit_tokens: reader
                .required("credit_tokens", "a whole number of tokens", |text| text.parse().ok()),
            ends_at: ends_at.unwrap_or(OffsetDateTime::UNIX_EPOCH),
        };
        reader.finish("credit_tokens, ends_at");
        value
    }
}

fn serialize_time<S: Serializer>(time: &OffsetDateTime, serializer: S) -> Result<S::Ok, S::Error> {
    let text = time.format(&Rfc3339).map_err(serde::ser::Error::custom)?;
    serializer.serialize_str(&text)
}
