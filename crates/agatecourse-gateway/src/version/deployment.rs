use agatecourse_types::{OrganisationId, RegionId, RouteId};
use smallvec::SmallVec;
use std::collections::BTreeMap;
use std::time::Duration;

/// Regions by name.
pub type Regions = SmallVec<[RegionId; 2]>;

/// Name by which routes and targets refer to a service.
pub type ServiceId = String;

/// Shortest time without an event after which callers give a stream up.
const MIN_STREAM_PATIENCE: Duration = Duration::from_secs(2);
/// Latency objectives of the route for which callers wait for an event.
const PATIENCE_OBJECTIVES: u32 = 4;
/// Longest pauses in time for which callers wait for an event.
const PATIENCE_EVENT_GAPS: u32 = 8;

/// Whether requests of a route may run more than once, and whether their responses are event streams.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RouteKind {
    /// Idempotent; may run more than once.
    Idempotent,
    /// Runs at most once for each attempt of a caller.
    AtMostOnce,
    /// A stream of events that runs at most once.
    Stream,
    /// A stream of events that another target may resume after the last event.
    ResumableStream,
}

impl RouteKind {
    /// Returns whether the request may be sent to another target after one may have run it.
    pub fn is_repeatable(self) -> bool {
        matches!(self, Self::Idempotent | Self::ResumableStream)
    }

    /// Returns whether responses are streams of events.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream | Self::ResumableStream)
    }
}

/// A rule that maps a host and a path prefix to services.
#[derive(Debug, Clone, PartialEq)]
pub struct Route {
    /// Name in logs and metrics; routes with the same name share their request statistics.
    pub name: RouteId,
    /// Value of the `Host` header without the port; compared without regard to case.
    pub host: String,
    /// Prefix of the path; begins and ends with a slash.
    pub path_prefix: String,
    /// Whether requests may be repeated after a target may have run them.
    pub kind: RouteKind,
    /// Upper limit on the timeout that a caller asks for.
    pub timeout: Duration,
    /// Latency objective of the response or, for a stream, of its first event.
    pub objective: Duration,
    /// Longest pause between two events with which a stream meets its objective; zero if the route states none.
    pub event_gap: Duration,
    /// Priority; 0 is served first.
    pub priority: u32,
    /// True when callers need no API key.
    pub is_public: bool,
    /// Largest number of targets that one attempt of a caller may be sent to.
    pub max_attempts: u32,
    /// Services with their weights; each request is assigned to one of them by its id.
    pub split: SmallVec<[(ServiceId, u32); 2]>,
    /// Regions whose targets may run its requests; `None` for all.
    pub home_regions: Option<Regions>,
}

impl Route {
    /// Returns how long callers wait for the next event of a stream before they give it up.
    pub fn stream_patience(&self) -> Duration {
        MIN_STREAM_PATIENCE
            .max(self.objective * PATIENCE_OBJECTIVES)
            .max(self.event_gap * PATIENCE_EVENT_GAPS)
    }
}

/// What the targets of a service take after their start.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ColdStart {
    /// Time for which a target is cold after its start.
    pub duration: Duration,
    /// Requests per second that a cold target takes from all nodes together.
    pub requests_per_s: f64,
}

/// A service that routes may refer to.
#[derive(Debug, Clone, PartialEq)]
pub struct Service {
    /// Name to which routes and targets refer; of several services with the same name, the last one is used.
    pub name: ServiceId,
    /// Connections that one target accepts from all callers together.
    pub max_connections: u32,
    /// True for model engines.
    pub is_engine: bool,
    /// What its targets take while they are cold; `None` if they take as much as at any time.
    pub cold_start: Option<ColdStart>,
}

/// Limit on what an organisation may use.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Quota {
    /// Refill rate in requests or tokens per second.
    pub rate_per_s: u64,
    /// Largest amount that may be used at once, in requests or tokens.
    pub burst: u64,
    /// True when requests count by their tokens rather than by one each.
    pub counts_tokens: bool,
    /// Tokens counted for a request that states none.
    pub default_tokens: u64,
}

/// A customer, whose callers authenticate with API keys.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Organisation {
    /// Name that is passed on to targets; of several organisations with the same name, the last one is used.
    pub name: OrganisationId,
    /// API keys of its callers.
    pub keys: Vec<String>,
    /// Priority that takes precedence over the route's; `None` when only the route's counts.
    pub priority: Option<u32>,
    /// Usage limit; `None` when usage is unlimited.
    pub quota: Option<Quota>,
    /// Regions whose targets may run its requests; `None` for all.
    pub home_regions: Option<Regions>,
}

/// Limits on sizes and times of callers' connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerLimits {
    /// Largest head of a request in bytes.
    pub header_bytes: usize,
    /// Largest body of a request in bytes.
    pub body_bytes: usize,
    /// Longest time from the first byte of a head to its end.
    pub header_timeout: Duration,
    /// Longest time that a connection may stay idle between requests.
    pub idle_timeout: Duration,
}

impl Default for CallerLimits {
    /// Returns the limits that apply until a configuration is loaded; they match the users' deployments.
    fn default() -> Self {
        Self {
            header_bytes: 16 * 1024,
            body_bytes: 4 * 1024 * 1024,
            header_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

/// One version of the configuration.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Deployment {
    /// Version number that the operator assigned.
    pub version: u64,
    /// Routes by host, longest prefix first.
    routes: BTreeMap<String, Vec<Route>>,
    /// Services by name.
    pub services: BTreeMap<ServiceId, Service>,
    /// Organisations by name.
    pub organisations: BTreeMap<OrganisationId, Organisation>,
    organisation_of_key: BTreeMap<String, OrganisationId>,
    /// Limits on callers' connections.
    pub limits: CallerLimits,
}

impl Deployment {
    /// Creates a configuration without routes.
    pub fn new(version: u64, limits: CallerLimits) -> Self {
        Self { version, limits, ..Self::default() }
    }

    /// Adds routes and sorts those of each host by descending prefix length.
    #[must_use]
    pub fn with_routes(mut self, routes: Vec<Route>) -> Self {
        for route in routes {
            self.routes.entry(route.host.to_ascii_lowercase()).or_default().push(route);
        }
        for routes in self.routes.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.path_prefix.len()));
        }
        self
    }

    /// Replaces the services.
    #[must_use]
    pub fn with_services(mut self, services: Vec<Service>) -> Self {
        self.services =
            services.into_iter().map(|service| (service.name.clone(), service)).collect();
        self
    }

    /// Replaces the organisations and adds their API keys to the index.
    #[must_use]
    pub fn with_organisations(mut self, organisations: Vec<Organisation>) -> Self {
        for organisation in &organisations {
            for key in &organisation.keys {
                self.organisation_of_key.insert(key.clone(), organisation.name.clone());
            }
        }
        self.organisations =
            organisations.into_iter().map(|item| (item.name.clone(), item)).collect();
        self
    }

    /// Returns the route of a request: the longest path prefix of its host that matches.
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        let host = host.split(':').next().unwrap_or_default().to_ascii_lowercase();
        let path = path.split('?').next().unwrap_or_default();
        self.routes.get(&host)?.iter().find(|route| path.starts_with(&route.path_prefix))
    }

    /// Returns the organisation to which an API key belongs.
    pub fn organisation_of_key(&self, key: &str) -> Option<&Organisation> {
        self.organisations.get(self.organisation_of_key.get(key)?)
    }

    /// Returns the number of routes of all hosts.
    pub fn route_count(&self) -> usize {
        self.routes.values().map(Vec::len).sum()
    }
}
