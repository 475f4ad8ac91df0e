use crate::ini::SectionReader;
use agatecourse_types::{ProviderId, RouteId, TargetId, VersionId, VmId, ZoneId};
use serde::Serialize;
use std::net::SocketAddr;

/// Target, from a section `[target.<name>]`.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize)]
pub struct TargetConfig {
    /// Name of the target.
    pub name: TargetId,
    /// Routes that the target serves.
    pub routes: Vec<RouteId>,
    /// Availability zone of the target.
    pub zone: ZoneId,
    /// VM that the target runs on, as named in the VM list; the target's name unless set.
    pub vm: VmId,
    /// Address at which the target accepts HTTP requests.
    pub address: SocketAddr,
    /// Version that the target runs unless a move has changed it.
    pub version: VersionId,
    /// Provider whose credits pay for the target; `None` when it uses no credits.
    pub provider: Option<ProviderId>,
    /// Largest number of requests that run on the target at the same time.
    pub concurrency: u32,
    /// Initial estimate of the prompt tokens per second, used until a rate was measured.
    pub read_tokens_per_s: u32,
    /// Initial estimate of the answer tokens per second of one request, used until a rate was measured.
    pub write_tokens_per_s: u32,
    /// Whether the target refuses orders with an outdated fencing number.
    pub checks_fencing: bool,
}

impl TargetConfig {
    pub(crate) fn read(mut reader: SectionReader<'_>) -> Self {
        let name = reader.name();
        let value = Self {
            routes: reader.list("routes", "the names of routes, separated by commas"),
            zone: reader.text("zone", "the name of a zone"),
            vm: reader.optional_text("vm").unwrap_or_else(|| name.clone()),
            address: reader.address("address"),
            version: reader.optional_text("version").unwrap_or_else(|| "v1".to_string()),
            provider: reader.optional_text("provider"),
            concurrency: reader.number("concurrency", 8, 1, 4096),
            read_tokens_per_s: reader.number("read_tokens_per_s", 8_000, 1, 10_000_000),
            write_tokens_per_s: reader.number("write_tokens_per_s", 50, 1, 100_000),
            checks_fencing: reader.flag("checks_fencing", false),
            name,
        };
        reader.finish(
            "routes, zone, vm, address, version, provider, concurrency, read_tokens_per_s, \
             write_tokens_per_s, checks_fencing",
        );
        value
    }
}
