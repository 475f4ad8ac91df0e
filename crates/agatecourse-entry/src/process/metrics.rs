use prometheus::{
    Encoder, Histogram, HistogramOpts, IntCounter, IntCounterVec, IntGauge, Opts, Registry,
    TextEncoder,
};

/// Metrics of a node; `docs/metrics.md` describes each with suggested alerts.
///
/// Label values come from the configuration and the result codes, so their number is bounded.
#[derive(Debug, Clone)]
pub(crate) struct Metrics {
    registry: Registry,
    pub(crate) requests: IntCounterVec,
    pub(crate) running: IntGauge,
    pub(crate) open_streams: IntGauge,
    pub(crate) wait_seconds: Histogram,
    pub(crate) first_token_seconds: Histogram,
    pub(crate) elapsed_seconds: Histogram,
    pub(crate) resumptions: IntCounterVec,
    pub(crate) cancellations: IntCounterVec,
    pub(crate) refused_connections: IntCounter,
    pub(crate) crashes: IntCounter,
    pub(crate) config_version: IntGauge,
    pub(crate) config_errors: IntCounter,
    pub(crate) ready: IntGauge,
    pub(crate) degraded_placements: IntCounter,
}

impl Metrics {
    /// Creates all metrics and registers them in a new registry.
    ///
    /// # Errors
    ///
    /// Returns [`prometheus::Error::AlreadyReg`] when two metrics have the same name.
    pub(crate) fn new() -> prometheus::Result<Self> {
        let registry = Registry::new();
        Ok(Self {
            requests: register_counter_vec(
                &registry,
                "requests_total",
                "Ended requests",
                &["route", "tier", "code"],
            )?,
            running: register_gauge(&registry, "running_requests", "Requests that wait or run")?,
            open_streams: register_gauge(&registry, "open_streams", "Open streams to engines")?,
            wait_seconds: register_histogram(
                &registry,
                "wait_seconds",
                "Time from acceptance to grant",
            )?,
            first_token_seconds: register_histogram(
                &registry,
                "first_token_seconds",
                "Time from dispatch to first byte",
            )?,
            elapsed_seconds: register_histogram(
                &registry,
                "elapsed_seconds",
                "Time from acceptance to end",
            )?,
            resumptions: register_counter_vec(
                &registry,
                "resumptions_total",
                "Resumptions of streams",
                &["result"],
            )?,
            cancellations: register_counter_vec(
                &registry,
                "cancellations_total",
                "Cancellations at engines",
                &["reason", "result"],
            )?,
            refused_connections: register_counter(
                &registry,
                "refused_connections_total",
                "Refused target connections",
            )?,
            crashes: register_counter(
                &registry,
                "crash_suspicions_total",
                "Targets that crashed while running a request",
            )?,
            config_version: register_gauge(
                &registry,
                "config_version",
                "Configuration version in force",
            )?,
            config_errors: register_counter(
                &registry,
                "config_errors_total",
                "Failed reads of the configuration",
            )?,
            ready: register_gauge(&registry, "ready", "1 when the node takes requests")?,
            degraded_placements: register_counter(
                &registry,
                "degraded_placements_total",
                "Requests placed without a pool owner",
            )?,
            registry,
        })
    }

    /// Encodes all metrics in the Prometheus text format.
    pub(crate) fn render(&self) -> Vec<u8> {
        let mut text = Vec::new();
        // Encoding into memory fails only for metrics without samples, which the registry leaves out.
        let _ = TextEncoder::new().encode(&self.registry.gather(), &mut text);
        text
    }
}

fn metric_options(name: &str, help: &str) -> Opts {
    Opts::new(format!("agatecourse_{name}"), help.to_string())
}

fn register_counter(registry: &Registry, name: &str, help: &str) -> prometheus::Result<IntCounter> {
    let metric = IntCounter::with_opts(metric_options(name, help))?;
    registry.register(Box::new(metric.clone()))?;
    Ok(metric)
}

fn register_counter_vec(
    registry: &Registry,
    name: &str,
    help: &str,
    labels: &[&str],
) -> prometheus::Result<IntCounterVec> {
    let metric = IntCounterVec::new(metric_options(name, help), labels)?;
    registry.register(Box::new(metric.clone()))?;
    Ok(metric)
}

fn register_gauge(registry: &Registry, name: &str, help: &str) -> prometheus::Result<IntGauge> {
    let metric = IntGauge::with_opts(metric_options(name, help))?;
    registry.register(Box::new(metric.clone()))?;
    Ok(metric)
}

fn register_histogram(
    registry: &Registry,
    name: &str,
    help: &str,
) -> prometheus::Result<Histogram> {
    let buckets = prometheus::exponential_buckets(0.000_1, 3.0, 13)?;
    let options = HistogramOpts::from(metric_options(name, help)).buckets(buckets);
    let metric = Histogram::with_opts(options)?;
    registry.register(Box::new(metric.clone()))?;
    Ok(metric)
}
