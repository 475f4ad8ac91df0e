//! Tests of discovery, gossip and failure detection between node processes over loopback.

use agatecourse_peer::KeyStore;
use agatecourse_platform::{TableClient, TableTransaction};
use agatecourse_standin::{Standin, TableSettings};
use googletest::prelude::*;
use serde_json::{Value, json};
use sha2::{Digest, Sha256};
use std::fmt::Write;
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};
use tempfile::TempDir;

const OPERATOR_TOKEN: &str = "operator-token";

/// A node process, which is killed when it is dropped.
struct NodeProcess {
    name: String,
    operator: SocketAddr,
    child: Child,
}

impl Drop for NodeProcess {
    fn drop(&mut self) {
        // The process may have been killed by the test already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl NodeProcess {
    fn start(
        name: &str,
        directory: &Path,
        seed: SocketAddr,
        peer: SocketAddr,
        table: SocketAddr,
    ) -> Self {
        let keys = directory.join("keys");
        KeyStore::new(&keys).issue_node_certificate(name, None, 1).expect("a deployment key");
        let operator = free_address();
        let keys = keys.display();
        let mut token = String::new();
        for byte in Sha256::digest(OPERATOR_TOKEN) {
            write!(token, "{byte:02x}").expect("writing to a string");
        }
        let settings = format!(
            "[node]\nname = {name}\nzone = a\ncaller_address = {}\noperator_address = {operator}\n\
             peer_address = {peer}\noperator_token_sha256 = {token}\n[platform]\n\
             table_address = {table}\n[peers]\nseeds = {seed}\n[keys]\n\
             deployment_certificates = {keys}/deployment-1.pem\n\
             node_certificate = {keys}/{name}.pem\nnode_key = {keys}/{name}.key\n",
            free_address()
        );
        let file = directory.join(format!("{name}.ini"));
        std::fs::write(&file, settings).expect("writable directory");
        let child = Command::new(env!("CARGO_BIN_EXE_agatecourse-entry"))
            .arg("--settings")
            .arg(file)
            .stdout(Stdio::null())
            .stderr(Stdio::null())
            .spawn()
            .expect("the node program");
        Self { name: name.to_string(), operator, child }
    }

    /// Returns the response to `/dump`, or null while the node does not answer.
    async fn dump(&self) -> Value {
        let url = format!("http://{}/dump", self.operator);
        let sent = awc::Client::default().get(url).bearer_auth(OPERATOR_TOKEN).send().await;
        match sent {
            Ok(mut response) => response.json().limit(1 << 20).await.unwrap_or_default(),
            Err(_) => Value::Null,
        }
    }
}

fn free_address() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0").and_then(|socket| socket.local_addr()).expect("a free port")
}

fn free_peer_address() -> SocketAddr {
    UdpSocket::bind("127.0.0.1:0").and_then(|socket| socket.local_addr()).expect("a free port")
}

fn config(name: &str) -> String {
    format!(
        "[fleet]\nname = {name}\nregion = local\nzones = a\n[tier.urgent]\nrank = 0\n\
         deadline_ms = 30000\n[organisation.branch]\nweight = 2\n[caller.desk]\n\
         organisation = branch\ntier = urgent\nkey_sha256 = {}\n[route.quotes]\nkind = model\n\
         idempotent = yes\n[target.e1]\nroutes = quotes\nzone = a\naddress = 127.0.0.1:9001\n",
        "a".repeat(64)
    )
}

/// Writes a configuration to the table and makes it the current one.
async fn publish_config(table: SocketAddr, version: u64) -> googletest::Result<()> {
    let put = TableTransaction::new()
        .with_put("config/current", json!({ "version": version }).to_string())
        .with_put(format!("config/{version}"), config(&format!("v{version}")));
    TableClient::new(table).commit(&put).await.or_fail()?;
    Ok(())
}

/// Waits until the dumps of all nodes fulfil a condition and returns how long that took; fails after `limit`.
async fn wait_for(
    nodes: &[NodeProcess],
    limit: Duration,
    condition: impl Fn(&Value) -> bool,
) -> googletest::Result<Duration> {
    let started = Instant::now();
    loop {
        let mut dumps = Vec::new();
        for node in nodes {
            dumps.push(node.dump().await);
        }
        if dumps.iter().all(&condition) {
            return Ok(started.elapsed());
        }
        if started.elapsed() > limit {
            fail!("condition does not hold after {limit:?}: {dumps:#?}")?;
        }
        actix_rt::time::sleep(Duration::from_millis(50)).await;
    }
}

fn state_of<'a>(dump: &'a Value, node: &str) -> Option<&'a str> {
    let members = dump["membership"]["members"].as_array()?;
    members.iter().find(|member| member["node"] == node)?["state"].as_str()
}

/// Guards against nodes that do not discover each other, that get configuration and alerts only while the table is
/// available, or that do not notice the drain of a target, the death of a node or its restart.
#[gtest]
#[actix_rt::test]
async fn processes_agree_on_members_configuration_and_alerts() -> googletest::Result<()> {
    let directory: TempDir = tempfile::tempdir().or_fail()?;
    KeyStore::new(directory.path().join("keys")).create_deployment_key("test", 1).or_fail()?;
    let table = TableSettings::new().start(Standin::EPHEMERAL).or_fail()?;
    publish_config(table.address(), 1).await?;
    let peers: Vec<SocketAddr> = (0..4).map(|_| free_peer_address()).collect();
    let start = |index: usize| {
        let name = format!("node-{index}");
        NodeProcess::start(&name, directory.path(), peers[0], peers[index], table.address())
    };
    let mut nodes: Vec<NodeProcess> = (0..3).map(start).collect();
    let found = wait_for(&nodes, Duration::from_secs(10), |dump| {
        dump["ready"] == true && dump["live_nodes"] == 3 && dump["config_version"] == 1
    })
    .await?;

    publish_config(table.address(), 2).await?;
    let in_force =
        wait_for(&nodes, Duration::from_secs(5), |dump| dump["config_version"] == 2).await?;

    table.change_faults(&json!({"outage": true})).or_fail()?;
    let drain = format!("http://{}/drain/e1", nodes[1].operator);
    let answer =
        awc::Client::default().post(drain).bearer_auth(OPERATOR_TOKEN).send().await.or_fail()?;
    expect_that!(answer.status().as_u16(), eq(200));
    let is_drained =
        |dump: &Value| dump["alerts"].as_array().is_some_and(|alerts| alerts.len() == 1);
    let drained = wait_for(&nodes, Duration::from_secs(2), is_drained).await?;

    nodes.push(start(3));
    let joined = wait_for(&nodes, Duration::from_secs(5), |dump| {
        dump["ready"] == true
            && dump["live_nodes"] == 4
            && dump["config_version"] == 2
            && is_drained(dump)
    })
    .await?;

    let mut killed = nodes.remove(2);
    killed.child.kill().or_fail()?;
    let dead = wait_for(&nodes, Duration::from_secs(3), |dump| {
        state_of(dump, &killed.name) == Some("dead") && dump["live_nodes"] == 3
    })
    .await?;
    killed.child.wait().or_fail()?;
    nodes.push(start(2));
    let restarted = wait_for(&nodes, Duration::from_secs(5), |dump| {
        state_of(dump, "node-2") == Some("alive") && dump["live_nodes"] == 4
    })
    .await?;
    println!(
        "found {found:?}, in force {in_force:?}, drained {drained:?}, joined in an outage {joined:?}, \
         dead {dead:?}, restarted {restarted:?}"
    );
    Ok(())
}
