//! Bench `overhead`: latency that a node adds to direct calls of a service, its maximum rate, memory and start time.

use crate::process::{LoadClient, LoadRequest, NodeProbe};
use agatecourse_demo::{Deployment, DeploymentSettings};
use awc::http::Method;
use futures_util::future::join_all;
use serde::Serialize;
use serde_json::json;
use snafu::{ResultExt, Whatever, whatever};
use std::fmt;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Offered rate of the latency comparison.
const RATE_PER_S: f64 = 1_000.0;
/// Phases of the latency comparison; direct calls and calls through the node alternate, so that other load on the
/// machine affects both equally.
const PHASES: usize = 6;
const PHASE_TIME: Duration = Duration::from_secs(1);
/// Duration of each measurement of the maximum rate.
const PEAK_TIME: Duration = Duration::from_secs(5);
const PEAK_THREADS: usize = 4;
const PEAK_CALLERS_PER_THREAD: usize = 32;
const STREAMS: usize = 1_000;
const STREAM_TOKENS: usize = 400;
/// Time to open all streams before the memory is read.
const STREAM_SETTLE_TIME: Duration = Duration::from_secs(5);
const SERVICES: usize = 4;
const ENGINES: usize = 10;
const TARGET_CONCURRENCY: u32 = 256;
const SERVICE_TIME: Duration = Duration::from_millis(1);
const SHORT_PATH: &str = "/stock/pane";

/// Result of the bench `overhead`.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct OverheadResult {
    /// Name of the bench, `overhead`.
    pub name: &'static str,
    /// Seed from the command line; it has no influence, because the load has no random part.
    pub seed: u64,
    /// Offered rate in the latency comparison, the same for direct calls and calls through the node.
    pub offered_per_s: f64,
    /// Requests answered through the node in the latency comparison, plus the failed ones.
    pub requests: usize,
    /// Number of requests in the latency comparison that failed or got a status other than 200, direct ones included.
    pub failed: usize,
    /// Median latency of direct calls in microseconds.
    pub direct_p50_us: f64,
    /// 99th percentile of the latency of direct calls in microseconds.
    pub direct_p99_us: f64,
    /// Median latency through the node minus that of direct calls, in microseconds.
    pub added_latency_p50_us: f64,
    /// 99th percentile of the latency through the node minus that of direct calls, in microseconds.
    pub added_latency_p99_us: f64,
    /// Maximum rate of short responses through the node, with 128 callers that each send one request after the other.
    pub requests_per_s: f64,
    /// Rate of the same callers without the node: the upper bound of what this machine can measure.
    pub direct_requests_per_s: f64,
    /// Number of requests through the node that failed or got a status other than 200 at the maximum rate.
    pub failed_at_peak: usize,
    /// Resident memory after the maximum rate and before the streams are opened, in megabytes of 2^20 bytes.
    pub rss_before_streams_mb: f64,
    /// Resident memory with the open streams, in megabytes of 2^20 bytes.
    pub rss_mb: f64,
    /// Number of open streams according to the node's metric.
    pub open_streams: u64,
    /// Time from start to readiness of a node in a deployment with two others, in milliseconds.
    pub start_to_ready_ms: f64,
    /// Time from start to readiness of the only node of a deployment, in milliseconds.
    pub start_to_ready_alone_ms: f64,
}

/// Runs all measurements one after the other.
///
/// # Errors
///
/// Returns an error when a process does not start or can't be measured, or when no request was answered.
pub async fn overhead(seed: u64) -> Result<OverheadResult, Whatever> {
    let settings = DeploymentSettings::new(1, ENGINES, SERVICES)
        .with_target_concurrency(TARGET_CONCURRENCY)
        .with_service_time(SERVICE_TIME);
    let deployment = Deployment::start(settings).await;
    let mut deployment = deployment.whatever_context("starting the deployment")?;
    let (node, services) = (deployment.nodes()[0].1, service_addresses(&deployment));
    let through = CallPath { addresses: vec![node], path: format!("/services/stock{SHORT_PATH}") };
    let direct = CallPath { addresses: services, path: SHORT_PATH.to_string() };
    let client = LoadClient::new(deployment.api_key());
    let (mut direct_us, mut through_us, mut failed) = (Vec::new(), Vec::new(), 0);
    for _ in 0..PHASES {
        failed += send_at_fixed_rate(&client, &direct, &mut direct_us).await;
        failed += send_at_fixed_rate(&client, &through, &mut through_us).await;
    }
    let direct_requests_per_s = measure_peak_rate(&direct, deployment.api_key()).await.0;
    let (requests_per_s, failed_at_peak) = measure_peak_rate(&through, deployment.api_key()).await;
    let rss = NodeProbe::new(&deployment).rss_mb(0);
    let rss_before_streams_mb = rss.or_else(|detail| whatever!("{detail}"))?;
    let (rss_mb, open_streams) = measure_open_streams(&deployment, &client).await?;
    let start_to_ready_alone_ms = measure_restart_ms(&mut deployment).await?;
    drop(deployment);
    let group = Deployment::start(DeploymentSettings::new(3, 3, 2)).await;
    let start_to_ready_ms =
        measure_restart_ms(&mut group.whatever_context("starting three nodes")?).await?;
    if through_us.is_empty() || direct_us.is_empty() {
        whatever!("no request was answered; {failed} failed");
    }
    let requests = through_us.len() + failed;
    let added =
        |fraction| percentile(&mut through_us, fraction) - percentile(&mut direct_us, fraction);
    let [added_latency_p50_us, added_latency_p99_us] = [0.5, 0.99].map(added);
    Ok(OverheadResult {
        name: "overhead",
        seed,
        offered_per_s: RATE_PER_S,
        requests,
        failed,
        direct_p50_us: percentile(&mut direct_us, 0.5),
        direct_p99_us: percentile(&mut direct_us, 0.99),
        added_latency_p50_us,
        added_latency_p99_us,
        requests_per_s,
        direct_requests_per_s,
        failed_at_peak,
        rss_before_streams_mb,
        rss_mb,
        open_streams,
        start_to_ready_ms,
        start_to_ready_alone_ms,
    })
}

/// Addresses and path of calls, either direct or through the node.
#[derive(Clone)]
struct CallPath {
    addresses: Vec<SocketAddr>,
    path: String,
}

impl CallPath {
    fn address(&self, index: usize) -> SocketAddr {
        self.addresses[index % self.addresses.len()]
    }
}

fn service_addresses(deployment: &Deployment) -> Vec<SocketAddr> {
    let services = deployment.targets().iter().filter(|target| !target.is_engine());
    services.map(|target| target.standin().address()).collect()
}

/// Sends requests at a fixed rate (open loop) for one phase and returns the number of failures.
async fn send_at_fixed_rate(
    client: &LoadClient,
    call_path: &CallPath,
    latencies_us: &mut Vec<f64>,
) -> usize {
    let count = (RATE_PER_S * PHASE_TIME.as_secs_f64()) as usize;
    let start = Instant::now();
    let mut sent = Vec::with_capacity(count);
    for index in 0..count {
        let due = start + Duration::from_secs_f64(index as f64 / RATE_PER_S);
        actix_rt::time::sleep_until(due.into()).await;
        let (client, address) = (client.clone(), call_path.address(index));
        let request = LoadRequest::get(&call_path.path);
        sent.push(actix_rt::spawn(async move { client.send(address, &request).await }));
    }
    let mut failed = 0;
    for answer in join_all(sent).await {
        match answer {
            Ok(Ok(answer)) if answer.status == 200 => {
                latencies_us.push(answer.elapsed.as_secs_f64() * 1e6);
            }
            _ => failed += 1,
        }
    }
    failed
}

/// Measures the rate of responses to callers that each send one request after the other (closed loop); returns it with
/// the number of failures.
async fn measure_peak_rate(call_path: &CallPath, api_key: &str) -> (f64, usize) {
    let threads: Vec<_> = (0..PEAK_THREADS)
        .map(|_| {
            let (call_path, api_key) = (call_path.clone(), api_key.to_string());
            let run =
                move || actix_rt::System::new().block_on(call_repeatedly(&call_path, &api_key));
            actix_rt::task::spawn_blocking(move || std::thread::spawn(run).join())
        })
        .collect();
    let (mut answered, mut failed) = (0, 0);
    for thread in join_all(threads).await {
        // A thread that panicked has printed the panic message and counts as one failure.
        let counts = thread.ok().and_then(Result::ok).unwrap_or((0, 1));
        answered += counts.0;
        failed += counts.1;
    }
    (answered as f64 / PEAK_TIME.as_secs_f64(), failed)
}

/// Runs the callers of one thread; returns the numbers of answered and failed requests.
async fn call_repeatedly(call_path: &CallPath, api_key: &str) -> (usize, usize) {
    let client = LoadClient::new(api_key);
    let end = Instant::now() + PEAK_TIME;
    let callers = (0..PEAK_CALLERS_PER_THREAD).map(|index| {
        let (client, address, request) =
            (client.clone(), call_path.address(index), LoadRequest::get(&call_path.path));
        async move {
            let (mut answered, mut failed) = (0, 0);
            while Instant::now() < end {
                match client.send(address, &request).await {
                    Ok(answer) if answer.status == 200 => answered += 1,
                    _ => failed += 1,
                }
            }
            (answered, failed)
        }
    });
    let counts = join_all(callers).await;
    counts.into_iter().fold((0, 0), |sum, count| (sum.0 + count.0, sum.1 + count.1))
}

/// Opens streams to engines through the node; returns the node's resident memory and its number of open streams.
async fn measure_open_streams(
    deployment: &Deployment,
    client: &LoadClient,
) -> Result<(f64, u64), Whatever> {
    let node = deployment.nodes()[0].1;
    let streams: Vec<_> = (0..STREAMS)
        .map(|index| {
            let client = client.clone();
            actix_rt::spawn(async move { client.send(node, &stream_request(index)).await })
        })
        .collect();
    actix_rt::time::sleep(STREAM_SETTLE_TIME).await;
    let probe = NodeProbe::new(deployment);
    let open = probe.metric(0, "agatecourse_open_streams").await;
    let rss_mb = probe.rss_mb(0);
    for stream in &streams {
        stream.abort();
    }
    match (rss_mb, open) {
        (Ok(rss_mb), Ok(open)) => Ok((rss_mb, open as u64)),
        (Err(detail), _) | (_, Err(detail)) => whatever!("{detail}"),
    }
}

fn stream_request(index: usize) -> LoadRequest {
    let message = json!([{ "role": "user", "content": format!("Quote for greenhouse {index}") }]);
    let body = json!({
        "model": "quotes", "messages": message, "stream": true, "max_tokens": STREAM_TOKENS
    });
    let path = "/v1/chat/completions".to_string();
    LoadRequest { method: Method::POST, path, key: None, body: body.to_string() }
}

/// Kills and restarts the first node; returns the time until it is ready, in milliseconds.
async fn measure_restart_ms(deployment: &mut Deployment) -> Result<f64, Whatever> {
    deployment.kill_node(0).whatever_context("killing the node")?;
    let start = Instant::now();
    deployment.restart_node(0).whatever_context("starting the node")?;
    deployment.wait_ready(0).await.whatever_context("waiting for the node")?;
    Ok(start.elapsed().as_secs_f64() * 1e3)
}

/// Returns the value below which the given fraction of the values lies. Sorts the values in place.
///
/// # Panics
///
/// Panics when there are no values.
fn percentile(values: &mut [f64], fraction: f64) -> f64 {
    values.sort_by(f64::total_cmp);
    values[((values.len() - 1) as f64 * fraction).round() as usize]
}

impl fmt::Display for OverheadResult {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { requests, failed, failed_at_peak, open_streams, .. } = self;
        writeln!(
            formatter,
            "latency at {:.0} requests/s    direct p50 {:.0} us, p99 {:.0} us; added p50 {:.0} us, p99 {:.0} us; \
             {failed} of {requests} failed",
            self.offered_per_s,
            self.direct_p50_us,
            self.direct_p99_us,
            self.added_latency_p50_us,
            self.added_latency_p99_us,
        )?;
        writeln!(
            formatter,
            "largest rate              {:.0} requests/s, direct {:.0}; {failed_at_peak} failed",
            self.requests_per_s, self.direct_requests_per_s
        )?;
        writeln!(
            formatter,
            "memory                    {:.1} MB, {open_streams} streams; {:.1} MB before",
            self.rss_mb, self.rss_before_streams_mb
        )?;
        write!(
            formatter,
            "start to ready            {:.0} ms, without other nodes {:.0} ms",
            self.start_to_ready_ms, self.start_to_ready_alone_ms
        )
    }
}

#[cfg(test)]
mod tests;
