use crate::DemoError;
use crate::error::{ConfigurationSnafu, IoSnafu, KeysSnafu, TableSnafu};
use crate::process::addresses::{NodeAddresses, choose_node_addresses};
use crate::process::deployment_settings::API_KEY;
use crate::process::fleet_text::replace_addresses;
use crate::process::node_program::find_or_build_node_program;
use crate::process::platform_services::PlatformServices;
use crate::process::{DeploymentSettings, NodeProcess, Target};
use agatecourse_config::FleetConfig;
use agatecourse_peer::KeyStore;
use agatecourse_platform::{TableClient, TableTransaction, VmEntry, VmState};
use agatecourse_standin::{ServiceAnswer, Standin};
use agatecourse_types::ZoneId;
use nix::sys::signal::Signal;
use snafu::{ResultExt, ensure};
use std::fs;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;
use tempfile::TempDir;

/// Validity of the deployment and node certificates in days.
const KEY_VALID_DAYS: u32 = 1;
const OPERATOR_TOKEN: &str = "demo-operator-token";

/// Running stand-ins and node processes on loopback; dropping it kills the nodes and stops the stand-ins.
#[derive(Debug)]
pub struct Deployment {
    nodes: Vec<NodeProcess>,
    addresses: Vec<NodeAddresses>,
    targets: Vec<Target>,
    services: PlatformServices,
    config: FleetConfig,
    is_history_enabled: bool,
    /// Directory of keys, settings, logs and histories; removed on drop.
    directory: TempDir,
}

impl Deployment {
    /// Starts the stand-ins and nodes and waits until all nodes are ready.
    ///
    /// # Errors
    ///
    /// Returns a [`DemoError`] when a stand-in or node does not start; those already started are stopped.
    pub async fn start(settings: DeploymentSettings) -> Result<Self, DemoError> {
        let program = find_or_build_node_program()?;
        let action = "creating a temporary directory";
        let directory = tempfile::tempdir().context(IoSnafu { action })?;
        let planned = parse_fleet_config(&settings.fleet)?;
        let addresses = choose_node_addresses(settings.nodes)?;
        let services = PlatformServices::start(&node_vms(&addresses, &planned.zones));
        let services = services.context(IoSnafu { action: "starting platform services" })?;
        let targets =
            start_target_standins(&planned, services.weight_store.address(), settings.service_time);
        let targets = targets.context(IoSnafu { action: "starting targets" })?;
        let text = replace_target_addresses(&settings.fleet, &planned, &targets);
        let (nodes, config) = (Vec::new(), parse_fleet_config(&text)?);
        let is_history_enabled = settings.is_history_enabled;
        let mut deployment =
            Self { nodes, addresses, targets, services, config, is_history_enabled, directory };
        deployment.write_configuration(text).await?;
        deployment.start_nodes(&program)?;
        for index in 0..deployment.nodes.len() {
            deployment.wait_ready(index).await?;
        }
        Ok(deployment)
    }

    /// Returns the name and the caller address of each node.
    pub fn nodes(&self) -> Vec<(String, SocketAddr)> {
        let indexed = self.addresses.iter().enumerate();
        indexed.map(|(index, addresses)| (node_name(index), addresses.caller)).collect()
    }

    /// Returns the stand-ins of the targets, in the order of the configuration.
    pub fn targets(&self) -> &[Target] {
        &self.targets
    }

    /// Returns the stand-ins of the targets with write access, which a restart needs.
    pub fn targets_mut(&mut self) -> &mut [Target] {
        &mut self.targets
    }

    /// Returns the configuration that the nodes run with, including the addresses of the stand-ins.
    pub fn config(&self) -> &FleetConfig {
        &self.config
    }

    /// Returns the stand-in of the table service.
    pub fn table(&self) -> &Standin {
        &self.services.table
    }

    /// Returns the stand-in of the VM list service.
    pub fn vm_list(&self) -> &Standin {
        &self.services.vm_list
    }

    /// Returns the entries of the VM list for the nodes, all in the state `Live`.
    pub fn node_vms(&self) -> Vec<VmEntry> {
        node_vms(&self.addresses, &self.config.zones)
    }

    /// Returns the operator address of a node.
    ///
    /// # Panics
    ///
    /// Panics when there is no node with this index, like each method that takes the index of a node.
    pub fn operator_address(&self, node: usize) -> SocketAddr {
        self.addresses[node].operator
    }

    /// Returns the operator token, which is the same for all nodes.
    pub fn operator_token(&self) -> &'static str {
        OPERATOR_TOKEN
    }

    /// Returns the process id of a node.
    pub fn process_id(&self, node: usize) -> u32 {
        self.nodes[node].process_id()
    }

    /// Returns the path of a node's history file; the node writes it only if the settings enable histories.
    pub fn history_file(&self, node: usize) -> PathBuf {
        self.directory.path().join(format!("{}.jsonl", node_name(node)))
    }

    /// Kills a node's process with SIGKILL and waits for its exit.
    ///
    /// # Errors
    ///
    /// Returns [`DemoError::Io`] when the process can't be killed or waited for.
    pub fn kill_node(&mut self, node: usize) -> Result<(), DemoError> {
        self.nodes[node].kill()
    }

    /// Restarts a killed node without waiting for readiness.
    ///
    /// # Errors
    ///
    /// Returns [`DemoError::Io`] when the process can't be started.
    pub fn restart_node(&mut self, node: usize) -> Result<(), DemoError> {
        self.nodes[node].restart()
    }

    /// Suspends a node's process with SIGSTOP until [`Self::resume_node`].
    ///
    /// # Errors
    ///
    /// Returns [`DemoError::Io`] when the signal can't be sent.
    pub fn pause_node(&self, node: usize) -> Result<(), DemoError> {
        self.nodes[node].send_signal(Signal::SIGSTOP)
    }

    /// Resumes a paused node with SIGCONT.
    ///
    /// # Errors
    ///
    /// Returns [`DemoError::Io`] when the signal can't be sent.
    pub fn resume_node(&self, node: usize) -> Result<(), DemoError> {
        self.nodes[node].send_signal(Signal::SIGCONT)
    }

    /// Waits until a node reports readiness.
    ///
    /// # Errors
    ///
    /// Returns [`DemoError::Node`] when the process exited or is not ready within the timeout.
    pub async fn wait_ready(&mut self, node: usize) -> Result<(), DemoError> {
        self.nodes[node].wait_ready(self.addresses[node].operator).await
    }

    /// Returns the API key of the demo's caller.
    pub fn api_key(&self) -> &str {
        API_KEY
    }

    /// Describes the nodes with address and process id, the number of targets, and the table's address in one line.
    pub fn summary(&self) -> String {
        let nodes: Vec<String> = (self.nodes.iter().zip(self.nodes()))
            .map(|(process, (name, address))| {
                format!("{name} {address} (pid {})", process.process_id())
            })
            .collect();
        format!(
            "{}; {} targets; table {}",
            nodes.join(", "),
            self.targets.len(),
            self.services.table.address()
        )
    }

    /// Shuts down the nodes gracefully, then stops the stand-ins.
    ///
    /// # Errors
    ///
    /// Returns the first [`DemoError`]; the remaining nodes are still stopped.
    pub async fn stop(mut self) -> Result<(), DemoError> {
        let mut result = Ok(());
        for node in std::mem::take(&mut self.nodes) {
            let stopped = node.stop().await;
            result = result.and(stopped);
        }
        result
    }

    async fn write_configuration(&self, text: String) -> Result<(), DemoError> {
        let put = TableTransaction::new()
            .with_absent("config/current")
            .with_put("config/current", r#"{"version":1}"#)
            .with_put("config/1", text);
        let client = TableClient::new(self.services.table.address());
        let reply = client.commit(&put).await.context(TableSnafu)?;
        let detail = "the table has a configuration already";
        ensure!(reply.succeeded, ConfigurationSnafu { detail });
        Ok(())
    }

    fn start_nodes(&mut self, program: &Path) -> Result<(), DemoError> {
        let keys = KeyStore::new(self.directory.path());
        let deployment_certificate =
            keys.create_deployment_key("demo", KEY_VALID_DAYS).context(KeysSnafu)?;
        for index in 0..self.addresses.len() {
            let name = node_name(index);
            let (certificate, key) =
                keys.issue_node_certificate(&name, None, KEY_VALID_DAYS).context(KeysSnafu)?;
            let files = [deployment_certificate.as_path(), &certificate, &key];
            let settings = self.directory.path().join(format!("{name}.ini"));
            fs::write(&settings, self.node_settings_text(index, files))
                .context(IoSnafu { action: "writing a node's settings" })?;
            let log = self.directory.path().join(format!("{name}.log"));
            self.nodes.push(NodeProcess::start(&name, program, &settings, log)?);
        }
        Ok(())
    }

    fn node_settings_text(
        &self,
        index: usize,
        [deployment, certificate, key]: [&Path; 3],
    ) -> String {
        let zones = &self.config.zones;
        let (name, zone) = (node_name(index), &zones[index % zones.len()]);
        let history = if self.is_history_enabled {
            format!("history_file = {}\n", self.history_file(index).display())
        } else {
            String::new()
        };
        let NodeAddresses { caller, operator, peer } = self.addresses[index];
        let seeds: Vec<String> =
            self.addresses.iter().map(|addresses| addresses.peer.to_string()).collect();
        format!(
            "[node]\nname = {name}\nzone = {zone}\ncaller_address = {caller}\n\
             operator_address = {operator}\npeer_address = {peer}\noperator_token_sha256 = {}\n{history}\n\
             [platform]\n{}\n[peers]\nseeds = {}\n\n\
             [keys]\ndeployment_certificates = {}\nnode_certificate = {}\nnode_key = {}\n",
            ServiceAnswer::hash_body(OPERATOR_TOKEN.as_bytes()),
            self.services.settings_text(),
            seeds.join(", "),
            deployment.display(),
            certificate.display(),
            key.display(),
        )
    }
}

fn parse_fleet_config(text: &str) -> Result<FleetConfig, DemoError> {
    FleetConfig::parse("config/1", text)
        .map_err(|faults| ConfigurationSnafu { detail: faults.to_string() }.build())
}

fn start_target_standins(
    config: &FleetConfig,
    weight_store: SocketAddr,
    service_time: Duration,
) -> std::io::Result<Vec<Target>> {
    config
        .targets
        .values()
        .map(|target| Target::start(target, config, weight_store, service_time))
        .collect()
}

/// Replaces the placeholder addresses of the configuration by those of the started stand-ins.
fn replace_target_addresses(text: &str, planned: &FleetConfig, targets: &[Target]) -> String {
    let pairs = planned.targets.values().zip(targets);
    let replaced: Vec<_> =
        pairs.map(|(config, target)| (config.address, target.standin().address())).collect();
    replace_addresses(text, &replaced)
}

fn node_vms(addresses: &[NodeAddresses], zones: &[ZoneId]) -> Vec<VmEntry> {
    let entry = |(index, addresses): (usize, &NodeAddresses)| VmEntry {
        vm: node_name(index),
        zone: zones[index % zones.len()].clone(),
        address: addresses.peer,
        state: VmState::Live,
    };
    addresses.iter().enumerate().map(entry).collect()
}

fn node_name(index: usize) -> String {
    format!("node-{}", index + 1)
}
