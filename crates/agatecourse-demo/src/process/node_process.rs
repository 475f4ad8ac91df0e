use crate::DemoError;
use crate::error::{IoSnafu, NodeSnafu};
use awc::Client;
use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use snafu::{IntoError, ResultExt};
use std::fs::OpenOptions;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

/// Readiness takes less than 1 s; the timeout allows for a machine that is busy with a build.
const READY_TIMEOUT: Duration = Duration::from_secs(20);
/// Time for a graceful shutdown after SIGTERM.
const STOP_TIMEOUT: Duration = Duration::from_secs(10);
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Number of lines from the end of a node's log that an error message contains.
const LOG_LINES_SHOWN: usize = 10;

/// Node process started by the demo; dropping it kills the process.
#[derive(Debug)]
pub(crate) struct NodeProcess {
    name: String,
    program: PathBuf,
    settings: PathBuf,
    child: Child,
    log: PathBuf,
}

impl NodeProcess {
    /// Starts a node with stdout and stderr appended to a log file.
    pub(crate) fn start(
        name: &str,
        program: &Path,
        settings: &Path,
        log: PathBuf,
    ) -> Result<Self, DemoError> {
        let child = spawn_node(name, program, settings, &log)?;
        let (program, settings) = (program.to_path_buf(), settings.to_path_buf());
        Ok(Self { name: name.to_string(), program, settings, child, log })
    }

    /// Restarts the process with the same settings and log after it was killed.
    pub(crate) fn restart(&mut self) -> Result<(), DemoError> {
        self.child = spawn_node(&self.name, &self.program, &self.settings, &self.log)?;
        Ok(())
    }

    /// Kills the process with SIGKILL and waits for its exit.
    pub(crate) fn kill(&mut self) -> Result<(), DemoError> {
        let killed = self.child.kill().and_then(|()| self.child.wait());
        killed.map(|_| ()).context(IoSnafu { action: "killing a node" })
    }

    /// Sends a signal to the process without waiting for its effect.
    pub(crate) fn send_signal(&self, signal: Signal) -> Result<(), DemoError> {
        let action = format!("sending {signal} to a node");
        let id = i32::try_from(self.child.id()).map_err(std::io::Error::other);
        let id = id.context(IoSnafu { action: &action })?;
        kill(Pid::from_raw(id), signal).map_err(|error| IoSnafu { action }.into_error(error.into()))
    }

    /// Returns the process id, which changes with each restart.
    pub(crate) fn process_id(&self) -> u32 {
        self.child.id()
    }

    /// Polls `/readyz` on the operator address until it responds with a success status.
    pub(crate) async fn wait_ready(&mut self, operator: SocketAddr) -> Result<(), DemoError> {
        let client = Client::builder().timeout(Duration::from_secs(1)).finish();
        let start = Instant::now();
        let mut last_response = "no answer".to_string();
        while start.elapsed() < READY_TIMEOUT {
            let exited = self.child.try_wait().context(IoSnafu { action: "watching a node" })?;
            if let Some(status) = exited {
                return Err(self.node_error(&format!("ended with {status}")));
            }
            match client.get(format!("http://{operator}/readyz")).send().await {
                Ok(response) if response.status().is_success() => return Ok(()),
                Ok(response) => last_response = format!("status {}", response.status()),
                Err(error) => last_response = error.to_string(),
            }
            actix_rt::time::sleep(POLL_INTERVAL).await;
        }
        Err(self.node_error(&format!("not ready after {READY_TIMEOUT:?}: {last_response}")))
    }

    /// Sends SIGTERM and waits for a graceful shutdown with exit status 0.
    pub(crate) async fn stop(mut self) -> Result<(), DemoError> {
        self.send_signal(Signal::SIGTERM)?;
        let start = Instant::now();
        while start.elapsed() < STOP_TIMEOUT {
            match self.child.try_wait().context(IoSnafu { action: "stopping a node" })? {
                Some(status) if status.success() => return Ok(()),
                Some(status) => return Err(self.node_error(&format!("shut down with {status}"))),
                None => actix_rt::time::sleep(POLL_INTERVAL).await,
            }
        }
        Err(self.node_error(&format!("did not shut down within {STOP_TIMEOUT:?}")))
    }

    /// Creates an error with the last lines of the node's log.
    fn node_error(&self, detail: &str) -> DemoError {
        let text = std::fs::read_to_string(&self.log).unwrap_or_default();
        let lines: Vec<&str> = text.lines().collect();
        let shown = lines[lines.len().saturating_sub(LOG_LINES_SHOWN)..].join("\n");
        NodeSnafu { node: &self.name, detail: format!("{detail}; end of its log:\n{shown}") }
            .build()
    }
}

fn spawn_node(name: &str, program: &Path, settings: &Path, log: &Path) -> Result<Child, DemoError> {
    let file = OpenOptions::new().create(true).append(true).open(log);
    let file = file.context(IoSnafu { action: "creating a node's log" })?;
    let errors = file.try_clone().context(IoSnafu { action: "creating a node's log" })?;
    Command::new(program)
        .arg("--settings")
        .arg(settings)
        .stdin(Stdio::null())
        .stdout(file)
        .stderr(errors)
        .spawn()
        .context(IoSnafu { action: format!("starting node {name}") })
}

impl Drop for NodeProcess {
    fn drop(&mut self) {
        // Both calls fail only if the process has already exited and been waited for.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
