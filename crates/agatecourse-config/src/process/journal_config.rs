use crate::ini::SectionReader;
use serde::Serialize;
use std::time::Duration;

/// Limits of the journal, from the section `[journal]`.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize)]
pub struct JournalConfig {
    /// Number of journal shards, 1 to 16.
    pub shards: u32,
    /// Time for which an idempotency key and its outcome are kept.
    pub retention: Duration,
    /// Largest number of keys in the index of one shard.
    pub index_limit: usize,
    /// Largest number of table commits per second, summed over all shards.
    pub commits_per_s: u32,
}

impl Default for JournalConfig {
    fn default() -> Self {
        let retention = Duration::from_hours(24);
        Self { shards: 2, retention, index_limit: 1_000_000, commits_per_s: 150 }
    }
}

impl JournalConfig {
    pub(crate) fn read(mut reader: SectionReader<'_>) -> Self {
        let default = Self::default();
        let retention_s = reader.number("retention_s", default.retention.as_secs(), 60, 2_592_000);
        let value = Self {
            shards: reader.number("shards", default.shards, 1, 16),
            retention: Duration::from_secs(retention_s),
            index_limit: reader.number("index_limit", default.index_limit, 1_000, 10_000_000),
            commits_per_s: reader.number("commits_per_s", default.commits_per_s, 1, 1_000),
        };
        reader.finish("shards, retention_s, index_limit, commits_per_s");
        value
    }
}
