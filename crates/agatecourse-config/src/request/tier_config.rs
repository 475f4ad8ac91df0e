use crate::ini::SectionReader;
use agatecourse_types::Tier;
use serde::Serialize;
use std::time::Duration;

/// Priority tier of callers, from a section `[tier.<name>]`.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize)]
pub struct TierConfig {
    /// Name of the tier.
    pub name: String,
    /// Rank of the tier, 0 to 15; 0 is the highest priority.
    pub rank: Tier,
    /// Default deadline of requests that set none.
    pub deadline: Duration,
}

impl TierConfig {
    pub(crate) fn read(mut reader: SectionReader<'_>) -> Self {
        let value = Self {
            name: reader.name(),
            rank: reader.required("rank", "a number from 0 to 15", |text| {
                text.parse().ok().filter(|rank| *rank <= 15)
            }),
            deadline: reader.milliseconds("deadline_ms", Duration::from_mins(1)),
        };
        reader.finish("rank, deadline_ms");
        value
    }
}
