//! Bench `control`: processor time, memory and traffic that configured node processes use without requests.

use crate::process::NodeProbe;
use agatecourse_demo::{Deployment, DeploymentSettings};
use serde::Serialize;
use snafu::{ResultExt, Whatever, whatever};
use std::fmt;
use std::time::{Duration, Instant};

/// Deployment sizes, in node processes.
const NODE_COUNTS: [usize; 4] = [3, 9, 18, 36];
/// Targets per node at the planned size of 360 nodes and 880 targets.
const TARGETS_PER_NODE: f64 = 880.0 / 360.0;
/// Number of nodes to which the measurements are projected.
const PROJECTED_NODES: f64 = 360.0;
/// Delay per node before the measurement. Each pair of nodes opens a connection at its first probe, and a node probes
/// or is probed about eight times a second, so a shorter delay would capture the start instead of the steady state.
const SETTLE_TIME_PER_NODE: Duration = Duration::from_millis(350);
/// Duration of the measurement. With 10 ms ticks of processor time, 5 s resolve 0.2% of a core for one node; the mean
/// over the nodes has a finer resolution.
const MEASURED_TIME: Duration = Duration::from_secs(5);

/// Result of the bench `control`.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct ControlResult {
    /// Name of the bench, `control`.
    pub name: &'static str,
    /// Seed from the command line; it has no influence, because the load has no random part.
    pub seed: u64,
    /// Duration of the measurement at each size, in seconds.
    pub measured_s: f64,
    /// Measurements, one for each number of nodes.
    pub rows: Vec<ControlRow>,
    /// Projection to 360 nodes from a least-squares line through the rows; not measured.
    pub at_360: ControlProjection,
}

/// Measurements of a deployment with one number of nodes.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct ControlRow {
    /// Number of node processes.
    pub nodes: usize,
    /// Number of targets in the configuration.
    pub targets: usize,
    /// Time until all nodes were ready, in seconds, including the start of stand-ins and the creation of keys.
    pub start_s: f64,
    /// Smallest number of live nodes that any node reported at the end.
    pub live_nodes_min: u64,
    /// Processor time per node as a fraction of one core.
    pub cpu_core_ratio: f64,
    /// Resident memory per node in megabytes of 2^20 bytes.
    pub rss_mb: f64,
    /// Bytes per second that a node sends to and receives from other nodes.
    pub bytes_per_s: f64,
    /// Bytes per second that a node sends to other nodes.
    pub sent_bytes_per_s: f64,
    /// Table reads per second, summed over all nodes.
    pub table_reads_per_s: f64,
    /// Table writes per second, summed over all nodes.
    pub table_writes_per_s: f64,
}

/// Values projected to 360 nodes.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct ControlProjection {
    /// Method of the projection, which marks the values as not measured.
    pub method: &'static str,
    /// Processor time per node as a fraction of one core.
    pub cpu_core_ratio: f64,
    /// Resident memory per node in megabytes of 2^20 bytes.
    pub rss_mb: f64,
    /// Bytes per second that a node sends to and receives from other nodes.
    pub bytes_per_s: f64,
    /// Table reads per second, summed over all nodes.
    pub table_reads_per_s: f64,
    /// Table writes per second, summed over all nodes.
    pub table_writes_per_s: f64,
}

/// Counters of all nodes and of the table at one point in time, summed over the nodes.
struct CounterSample {
    at: Instant,
    cpu_s: f64,
    sent_bytes: f64,
    received_bytes: f64,
    table_reads: u64,
    table_writes: u64,
    live_nodes_min: u64,
}

/// Measures deployments of all sizes one after the other.
///
/// # Errors
///
/// Returns an error when a deployment does not start or a node can't be sampled, for example because it exited.
pub async fn control(seed: u64) -> Result<ControlResult, Whatever> {
    let mut rows = Vec::new();
    for nodes in NODE_COUNTS {
        rows.push(measure_deployment(nodes).await?);
    }
    let at_360 = project_to_full_size(&rows);
    let measured_s = MEASURED_TIME.as_secs_f64();
    Ok(ControlResult { name: "control", seed, measured_s, rows, at_360 })
}

async fn measure_deployment(nodes: usize) -> Result<ControlRow, Whatever> {
    let targets = (nodes as f64 * TARGETS_PER_NODE).round() as usize;
    let services = targets / 4;
    let start = Instant::now();
    let settings = DeploymentSettings::new(nodes, targets - services, services);
    let deployment = Deployment::start(settings).await;
    let deployment = deployment.whatever_context("starting the deployment")?;
    let start_s = start.elapsed().as_secs_f64();
    actix_rt::time::sleep(SETTLE_TIME_PER_NODE * nodes as u32).await;
    let probe = NodeProbe::new(&deployment);
    let before = sample_counters(&deployment, &probe, nodes, false).await?;
    actix_rt::time::sleep(MEASURED_TIME).await;
    let after = sample_counters(&deployment, &probe, nodes, true).await?;
    let mut rss_mb = 0.0;
    for node in 0..nodes {
        rss_mb += probe.rss_mb(node).or_else(|detail| whatever!("{detail}"))?;
    }
    // Dropping the deployment kills the idle nodes; 36 graceful shutdowns would take too long.
    let count = nodes as f64;
    let seconds = (after.at - before.at).as_secs_f64();
    let sent = after.sent_bytes - before.sent_bytes;
    let received = after.received_bytes - before.received_bytes;
    Ok(ControlRow {
        nodes,
        targets,
        start_s,
        live_nodes_min: after.live_nodes_min,
        cpu_core_ratio: (after.cpu_s - before.cpu_s) / seconds / count,
        rss_mb: rss_mb / count,
        bytes_per_s: (sent + received) / seconds / count,
        sent_bytes_per_s: sent / seconds / count,
        table_reads_per_s: (after.table_reads - before.table_reads) as f64 / seconds,
        table_writes_per_s: (after.table_writes - before.table_writes) as f64 / seconds,
    })
}

/// Reads all counters.
///
/// `cpu_first` reads the processor time before the dumps instead of after them. The first sample reads it last and the
/// second one first, so that the difference excludes the cost of the dumps.
async fn sample_counters(
    deployment: &Deployment,
    probe: &NodeProbe<'_>,
    nodes: usize,
    cpu_first: bool,
) -> Result<CounterSample, Whatever> {
    let early_cpu_s = total_cpu_s(probe, nodes)?;
    let (mut sent_bytes, mut received_bytes, mut live_nodes_min) = (0.0, 0.0, u64::MAX);
    let at = Instant::now();
    for node in 0..nodes {
        let dump = probe.dump(node).await.or_else(|detail| whatever!("{detail}"))?;
        let traffic = &dump["traffic"];
        let (Some(sent), Some(received), Some(live)) = (
            traffic["sent_bytes"].as_f64(),
            traffic["received_bytes"].as_f64(),
            dump["live_nodes"].as_u64(),
        ) else {
            whatever!("the dump of node {node} has no traffic or no live nodes")
        };
        sent_bytes += sent;
        received_bytes += received;
        live_nodes_min = live_nodes_min.min(live);
    }
    let table = deployment.table();
    let cpu_s = if cpu_first { early_cpu_s } else { total_cpu_s(probe, nodes)? };
    let (table_reads, table_writes) = (table.runs_of("range"), table.runs_of("txn"));
    Ok(CounterSample {
        at,
        cpu_s,
        sent_bytes,
        received_bytes,
        table_reads,
        table_writes,
        live_nodes_min,
    })
}

fn total_cpu_s(probe: &NodeProbe<'_>, nodes: usize) -> Result<f64, Whatever> {
    let times: Result<Vec<f64>, String> = (0..nodes).map(|node| probe.cpu_s(node)).collect();
    match times {
        Ok(times) => Ok(times.iter().sum()),
        Err(detail) => whatever!("{detail}"),
    }
}

fn project_to_full_size(rows: &[ControlRow]) -> ControlProjection {
    let value = |field: fn(&ControlRow) -> f64| {
        let points: Vec<_> = rows.iter().map(|row| (row.nodes as f64, field(row))).collect();
        evaluate_least_squares_line(&points, PROJECTED_NODES)
    };
    ControlProjection {
        method: "projection of a least-squares line over the rows",
        cpu_core_ratio: value(|row| row.cpu_core_ratio),
        rss_mb: value(|row| row.rss_mb),
        bytes_per_s: value(|row| row.bytes_per_s),
        table_reads_per_s: value(|row| row.table_reads_per_s),
        table_writes_per_s: value(|row| row.table_writes_per_s),
    }
}

/// Returns the value at `x` of the least-squares line through the points.
fn evaluate_least_squares_line(points: &[(f64, f64)], x: f64) -> f64 {
    let count = points.len() as f64;
    let mean_x = points.iter().map(|point| point.0).sum::<f64>() / count;
    let mean_y = points.iter().map(|point| point.1).sum::<f64>() / count;
    let covariance: f64 = points.iter().map(|point| (point.0 - mean_x) * (point.1 - mean_y)).sum();
    let variance: f64 = points.iter().map(|point| (point.0 - mean_x).powi(2)).sum();
    mean_y + covariance / variance * (x - mean_x)
}

impl fmt::Display for ControlResult {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            formatter,
            "nodes targets live  CPU of a core  RSS MB  bytes/s  table reads/s writes/s"
        )?;
        for row in &self.rows {
            let ControlRow { nodes, targets, live_nodes_min, rss_mb, bytes_per_s, .. } = row;
            writeln!(
                formatter,
                "{nodes:>5} {targets:>7} {live_nodes_min:>4} {:>13.2}% {rss_mb:>7.1} {bytes_per_s:>8.0} {:>14.1} {:>8.1}",
                row.cpu_core_ratio * 100.0,
                row.table_reads_per_s,
                row.table_writes_per_s,
            )?;
        }
        let ControlProjection { rss_mb, bytes_per_s, .. } = &self.at_360;
        write!(
            formatter,
            "  360 (projection) {:>13.2}% {rss_mb:>7.1} {bytes_per_s:>8.0} {:>14.1} {:>8.1}",
            self.at_360.cpu_core_ratio * 100.0,
            self.at_360.table_reads_per_s,
            self.at_360.table_writes_per_s,
        )
    }
}

#[cfg(test)]
mod tests;
