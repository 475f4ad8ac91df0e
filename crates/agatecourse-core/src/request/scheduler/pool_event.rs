use super::{LoadReport, OrganisationShare, ProviderCredit, TargetSpec, VersionShare};
use agatecourse_types::{NodeId, RequestId, RouteId, TargetId, VersionId};
use agatecourse_wire::request::{Finished, Registration, Ticket};
use std::time::Duration;

/// Input of a pool owner. Each event may arrive late, twice or not at all.
#[derive(Debug, Clone, PartialEq, Eq)]
#[allow(missing_docs, reason = "the fields are documented by their types or by the variant")]
pub enum PoolEvent {
    /// A node requests a grant. A resent ticket of a request in flight gets the same grant again; one of a request
    /// that waits or has ended gets no action.
    Submit { node: NodeId, ticket: Ticket },
    /// A node withdraws a waiting request.
    Cancel { request_id: RequestId },
    /// A node has dispatched a granted request. The scheduler takes no action.
    Started { request_id: RequestId },
    /// The first token or byte of the answer arrived `elapsed` after dispatch.
    FirstToken { request_id: RequestId, elapsed: Duration },
    /// The answer has `written_tokens` tokens so far.
    Progress { request_id: RequestId, written_tokens: u32 },
    /// A dispatch has ended; its grant is released.
    Finished(Finished),
    /// A target reported its load; the scheduler corrects it by the grants since the measurement.
    Report { target: TargetId, report: LoadReport },
    /// A target added a prefix to its cache.
    Cached { target: TargetId, prefix_hash: u64 },
    /// A target evicted a prefix from its cache.
    Evicted { target: TargetId, prefix_hash: u64 },
    /// Cache events of a target were lost, so its least recently used prefixes may have been evicted.
    CacheGap { target: TargetId },
    /// Replaces the targets of the pool. Targets that are no longer listed get no new requests.
    Targets(Vec<TargetSpec>),
    /// A target leaves or is drained. It gets no new requests, even if it is listed again with the same version.
    TargetLeaving { target: TargetId },
    /// A target that left or was drained may get requests again.
    TargetReturned { target: TargetId },
    /// A node reports its waiting and running requests. Older grants of the node that are not listed are dropped; one
    /// from the last second may still be on its way to the node.
    Register { node: NodeId, registration: Registration },
    /// A node is dead. Its waiting requests are removed, and its grants are dropped when they should have ended.
    NodeGone { node: NodeId },
    /// Replaces the traffic shares of new versions.
    VersionShares(Vec<VersionShare>),
    /// A version gets no new requests on a route. No event reverts this.
    VersionStopped { route: RouteId, version: VersionId },
    /// Replaces the credits of the providers.
    Credits(Vec<ProviderCredit>),
    /// Replaces the weights and limits of organisations.
    Organisations(Vec<OrganisationShare>),
    /// The time of [`next_wakeup`](super::PoolScheduler::next_wakeup) has come.
    Tick,
}
