use agatecourse_demo::Deployment;
use awc::Client;
use serde_json::Value;
use std::fs;
use std::time::Duration;

/// Clock ticks per second of processor times in `/proc`; Linux uses 100 on all architectures.
const TICKS_PER_S: f64 = 100.0;
/// Maximum size of a response from the operator address.
const MAX_RESPONSE_BYTES: usize = 64 * 1024 * 1024;

/// Reads the resource usage, state and metrics of the node processes of a deployment.
pub struct NodeProbe<'a> {
    deployment: &'a Deployment,
    client: Client,
}

impl<'a> NodeProbe<'a> {
    /// Creates a probe for all nodes of a deployment.
    pub fn new(deployment: &'a Deployment) -> Self {
        let client = Client::builder().timeout(Duration::from_secs(5)).finish();
        Self { deployment, client }
    }

    /// Returns the user and system processor time of a node since its start, in seconds.
    ///
    /// # Errors
    ///
    /// Returns a description when the process has exited or its state can't be parsed.
    pub fn cpu_s(&self, node: usize) -> Result<f64, String> {
        let text = self.read_proc_file(node, "stat")?;
        // The second field is the program name in parentheses, which may contain spaces.
        let fields: Vec<&str> = text.rsplit(')').next().unwrap_or("").split_whitespace().collect();
        let ticks = |index: usize| fields.get(index).and_then(|field| field.parse::<f64>().ok());
        let (user, system) = (ticks(11), ticks(12));
        user.zip(system)
            .map(|(user, system)| (user + system) / TICKS_PER_S)
            .ok_or_else(|| format!("unexpected process state {text:?}"))
    }

    /// Returns the resident memory of a node in megabytes of 2^20 bytes.
    ///
    /// # Errors
    ///
    /// Returns a description when the process has exited or its state can't be parsed.
    pub fn rss_mb(&self, node: usize) -> Result<f64, String> {
        let text = self.read_proc_file(node, "status")?;
        let line = text.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        let kilobytes = line.and_then(|line| line.trim().trim_end_matches(" kB").parse().ok());
        kilobytes.map(|kb: f64| kb / 1024.0).ok_or_else(|| "no VmRSS in the status".to_string())
    }

    /// Returns the state that a node reports at `/dump`.
    ///
    /// # Errors
    ///
    /// Returns a description when the node does not respond with a JSON document.
    pub async fn dump(&self, node: usize) -> Result<Value, String> {
        let body = self.fetch(node, "dump").await?;
        serde_json::from_slice(&body).map_err(|error| error.to_string())
    }

    /// Returns the value of a metric without labels.
    ///
    /// # Errors
    ///
    /// Returns a description when the node does not respond or has no such metric.
    pub async fn metric(&self, node: usize, name: &str) -> Result<f64, String> {
        let body = self.fetch(node, "metrics").await?;
        let text = String::from_utf8_lossy(&body);
        let value = text.lines().find_map(|line| line.strip_prefix(name)?.trim().parse().ok());
        value.ok_or_else(|| format!("node {node} has no metric {name}"))
    }

    /// Sends a GET request to the operator address of a node and returns the body.
    async fn fetch(&self, node: usize, path: &str) -> Result<Vec<u8>, String> {
        let url = format!("http://{}/{path}", self.deployment.operator_address(node));
        let token = format!("Bearer {}", self.deployment.operator_token());
        let request = self.client.get(url).insert_header(("Authorization", token));
        let mut response = request.send().await.map_err(|error| error.to_string())?;
        let status = response.status();
        if !status.is_success() {
            return Err(format!("/{path} of node {node}: status {status}"));
        }
        let body = response.body().limit(MAX_RESPONSE_BYTES).await;
        body.map(|body| body.to_vec()).map_err(|error| error.to_string())
    }

    /// Reads a file of a node's process in `/proc`.
    fn read_proc_file(&self, node: usize, file: &str) -> Result<String, String> {
        let path = format!("/proc/{}/{file}", self.deployment.process_id(node));
        fs::read_to_string(&path).map_err(|error| format!("{path}: {error}"))
    }
}
