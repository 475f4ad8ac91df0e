use prometheus::{
    Encoder, Gauge, Histogram, HistogramOpts, IntCounter, IntCounterVec, IntGauge, Opts, Registry,
    TextEncoder,
};

/// Upper bounds of the latency buckets in seconds, from a single short response to the longest deadline that the requirements
/// state.
const LATENCY_BUCKETS_S: &[f64] =
    &[0.005, 0.01, 0.025, 0.05, 0.1, 0.15, 0.25, 0.4, 0.6, 0.8, 1.2, 2.0, 4.0, 8.0, 15.0];

/// Metrics of the bytes and sockets that a node holds for others.
#[derive(Debug, Clone)]
pub(crate) struct BudgetMetrics {
    pub(crate) held_bytes: IntGauge,
    pub(crate) held_bytes_limit: IntGauge,
    pub(crate) held_bytes_high_water: IntGauge,
    pub(crate) caller_sockets: IntGauge,
    pub(crate) target_sockets: IntGauge,
    pub(crate) refusals: IntCounterVec,
}

impl BudgetMetrics {
    fn new(registry: &Registry) -> prometheus::Result<Self> {
        Ok(Self {
            held_bytes: gauge(registry, "held_bytes", "Bytes held for callers and targets")?,
            held_bytes_limit: gauge(
                registry,
                "held_bytes_limit",
                "Most bytes that may be held for callers and targets",
            )?,
            held_bytes_high_water: gauge(
                registry,
                "held_bytes_high_water",
                "Most bytes held for callers and targets at a time",
            )?,
            caller_sockets: gauge(registry, "caller_sockets", "Connections of callers")?,
            target_sockets: gauge(registry, "target_sockets", "Connections to targets")?,
            refusals: counters(
                registry,
                "budget_refusals_total",
                "What was refused or given up for lack of memory or sockets",
                &["reason"],
            )?,
        })
    }
}

/// Metrics of the paths to targets.
#[derive(Debug, Clone)]
pub(crate) struct PathMetrics {
    pub(crate) cut_off: IntGauge,
    pub(crate) detours: IntGauge,
    pub(crate) tunnels: IntCounterVec,
    pub(crate) served_tunnels: IntGauge,
}

impl PathMetrics {
    fn new(registry: &Registry) -> prometheus::Result<Self> {
        Ok(Self {
            cut_off: gauge(
                registry,
                "cut_off",
                "1 while the node has lost its links to all targets",
            )?,
            detours: gauge(
                registry,
                "detours",
                "Targets that the node reaches through other nodes only",
            )?,
            tunnels: counters_from_zero(
                registry,
                "tunnels_total",
                "Tunnels to targets: opened through other nodes or failed there, served for others or refused",
                ("result", &["opened", "failed", "served", "refused"]),
            )?,
            served_tunnels: gauge(
                registry,
                "served_tunnels",
                "Tunnels to targets that are open for other nodes",
            )?,
        })
    }
}

/// Metrics of the documents that nodes hand on to each other.
#[derive(Debug, Clone)]
pub(crate) struct DocumentMetrics {
    pub(crate) fetches: IntCounterVec,
    pub(crate) uploads: IntCounterVec,
    pub(crate) upload_bytes: IntCounter,
    pub(crate) upload_backlog_seconds: Gauge,
    pub(crate) lag_seconds: Gauge,
    pub(crate) source_answer_age_seconds: Gauge,
}

impl DocumentMetrics {
    fn new(registry: &Registry) -> prometheus::Result<Self> {
        Ok(Self {
            fetches: counters_from_zero(
                registry,
                "document_fetches_total",
                "Fetches of documents from other nodes",
                ("result", &["taken", "busy", "failed"]),
            )?,
            uploads: counters_from_zero(
                registry,
                "document_uploads_total",
                "Documents that other nodes asked for",
                ("result", &["sent", "busy", "failed"]),
            )?,
            upload_bytes: counter(
                registry,
                "document_upload_bytes_total",
                "Bytes of documents that other nodes are sent",
            )?,
            upload_backlog_seconds: seconds_gauge(
                registry,
                "document_upload_backlog_seconds",
                "Time for which documents for other nodes still fill the link",
            )?,
            lag_seconds: seconds_gauge(
                registry,
                "document_lag_seconds",
                "Time for which another node has had a newer document",
            )?,
            source_answer_age_seconds: seconds_gauge(
                registry,
                "source_answer_age_seconds",
                "Time since the source of documents last answered this node",
            )?,
        })
    }
}

/// Metrics of a gateway node; `docs/metrics.md` describes each.
#[derive(Debug, Clone)]
pub(crate) struct Metrics {
    registry: Registry,
    pub(crate) requests: IntCounterVec,
    pub(crate) attempts: IntCounterVec,
    pub(crate) attempts_by_zone: IntCounterVec,
    pub(crate) retries: IntCounterVec,
    pub(crate) open_requests: IntGauge,
    pub(crate) wait_seconds: Histogram,
    pub(crate) first_byte_seconds: Histogram,
    pub(crate) elapsed_seconds: Histogram,
    pub(crate) deployment_version: IntGauge,
    pub(crate) targets: IntGauge,
    pub(crate) members: IntGauge,
    pub(crate) lost_members: IntGauge,
    pub(crate) ready: IntGauge,
    pub(crate) source_calls: IntCounterVec,
    pub(crate) peer_messages: IntCounterVec,
    pub(crate) owner_changes: IntCounter,
    pub(crate) quota_refusals: IntCounterVec,
    pub(crate) quarantined_keys: IntGauge,
    pub(crate) evacuated_zones: IntGauge,
    pub(crate) cold_targets: IntGauge,
    pub(crate) budget: BudgetMetrics,
    pub(crate) queue_refusals: IntCounterVec,
    pub(crate) paths: PathMetrics,
    pub(crate) documents: DocumentMetrics,
}

impl Metrics {
    /// Creates and registers all metrics.
    ///
    /// # Errors
    ///
    /// Returns an error when two metrics have the same name.
    pub(crate) fn new() -> prometheus::Result<Self> {
        let registry = Registry::new();
        Ok(Self {
            requests: counters(&registry, "requests_total", "Ended requests", &["route", "code"])?,
            attempts: counters(
                &registry,
                "attempts_total",
                "Attempts at targets",
                &["service", "end"],
            )?,
            attempts_by_zone: counters(
                &registry,
                "attempts_by_zone_total",
                "Attempts by the zone of their target",
                &["zone", "relation"],
            )?,
            retries: counters(
                &registry,
                "retries_total",
                "Further attempts that were asked of the retry budget",
                &["service", "result"],
            )?,
            open_requests: gauge(&registry, "open_requests", "Requests that wait or run")?,
            wait_seconds: histogram(
                &registry,
                "wait_seconds",
                "Time from arrival to a target's grant",
            )?,
            first_byte_seconds: histogram(
                &registry,
                "first_byte_seconds",
                "Time from arrival to first byte",
            )?,
            elapsed_seconds: histogram(
                &registry,
                "elapsed_seconds",
                "Time from arrival to the end",
            )?,
            deployment_version: gauge(
                &registry,
                "deployment_version",
                "Version of the configuration in force",
            )?,
            targets: gauge(&registry, "targets", "Known targets that may get requests")?,
            members: gauge(&registry, "members", "Other nodes heard lately")?,
            lost_members: gauge(
                &registry,
                "lost_members",
                "Other nodes that have been silent for long and are probed",
            )?,
            ready: gauge(&registry, "ready", "1 while the node takes new connections")?,
            source_calls: counters(
                &registry,
                "source_calls_total",
                "Calls to the platform",
                &["call", "result"],
            )?,
            peer_messages: counters(
                &registry,
                "peer_messages_total",
                "Messages to and from nodes",
                &["direction"],
            )?,
            owner_changes: counter(
                &registry,
                "queue_owner_changes_total",
                "Changes of the owner of a queue",
            )?,
            quota_refusals: counters_from_zero(
                &registry,
                "quota_refusals_total",
                "Requests that did not get their part of a quota at once, by whether a part was kept for more urgent ones",
                ("kind", &["limit", "reserved"]),
            )?,
            quarantined_keys: gauge(
                &registry,
                "quarantined_keys",
                "Prompt parts and requests that are refused because they crash targets",
            )?,
            evacuated_zones: gauge(
                &registry,
                "evacuated_zones",
                "Zones whose targets get no requests",
            )?,
            cold_targets: gauge(&registry, "cold_targets", "Targets that say that they are cold")?,
            budget: BudgetMetrics::new(&registry)?,
            queue_refusals: counters_from_zero(
                &registry,
                "queue_refusals_total",
                "Requests that a queue refused, by whether the caller has a place when it returns",
                ("has_place", &["yes", "no"]),
            )?,
            paths: PathMetrics::new(&registry)?,
            documents: DocumentMetrics::new(&registry)?,
            registry,
        })
    }

    /// Returns all metrics as text.
    pub(crate) fn render(&self) -> Vec<u8> {
        let mut text = Vec::new();
        if let Err(error) = TextEncoder::new().encode(&self.registry.gather(), &mut text) {
            text = format!("# metrics can't be rendered: {error}\n").into_bytes();
        }
        text
    }
}

fn options(name: &str, help: &str) -> Opts {
    Opts::new(name, help).namespace("agatecourse")
}

fn counters(
    registry: &Registry,
    name: &str,
    help: &str,
    labels: &[&str],
) -> prometheus::Result<IntCounterVec> {
    let metric = IntCounterVec::new(options(name, help), labels)?;
    registry.register(Box::new(metric.clone()))?;
    Ok(metric)
}

/// Creates counters with one label, which show zero for each of its values from the start.
fn counters_from_zero(
    registry: &Registry,
    name: &str,
    help: &str,
    (label, values): (&str, &[&str]),
) -> prometheus::Result<IntCounterVec> {
    let metric = counters(registry, name, help, &[label])?;
    for value in values {
        metric.with_label_values(&[*value]).inc_by(0);
    }
    Ok(metric)
}

fn counter(registry: &Registry, name: &str, help: &str) -> prometheus::Result<IntCounter> {
    let metric = IntCounter::with_opts(options(name, help))?;
    registry.register(Box::new(metric.clone()))?;
    Ok(metric)
}

fn gauge(registry: &Registry, name: &str, help: &str) -> prometheus::Result<IntGauge> {
    let metric = IntGauge::with_opts(options(name, help))?;
    registry.register(Box::new(metric.clone()))?;
    Ok(metric)
}

fn seconds_gauge(registry: &Registry, name: &str, help: &str) -> prometheus::Result<Gauge> {
    let metric = Gauge::with_opts(options(name, help))?;
    registry.register(Box::new(metric.clone()))?;
    Ok(metric)
}

fn histogram(registry: &Registry, name: &str, help: &str) -> prometheus::Result<Histogram> {
    let options =
        HistogramOpts::new(name, help).namespace("agatecourse").buckets(LATENCY_BUCKETS_S.to_vec());
    let metric = Histogram::with_opts(options)?;
    registry.register(Box::new(metric.clone()))?;
    Ok(metric)
}
