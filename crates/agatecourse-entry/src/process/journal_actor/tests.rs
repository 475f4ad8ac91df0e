use crate::Node;
use crate::process::SnapshotJournal;
use crate::process::node::tests::{set_live, support};
use agatecourse_platform::{TableClient, TableTransaction};
use agatecourse_standin::{ServiceSettings, Standin, TableSettings};
use googletest::prelude::*;
use serde_json::{Value, json};
use std::time::{Duration, Instant};
use support::{CALLER_KEY, DeploymentKeys, client, config, start_named_node};

/// Two nodes that know each other, with one table and one service as target.
struct NodePair {
    nodes: Vec<Node>,
    service: Standin,
    _table: Standin,
}

impl NodePair {
    async fn start() -> Self {
        let service = ServiceSettings::new("depot").start(Standin::EPHEMERAL).unwrap();
        let table = TableSettings::new().start(Standin::EPHEMERAL).unwrap();
        let rows = TableTransaction::new()
            .with_put("config/current", json!({ "version": 1 }).to_string())
            .with_put("config/1", config(&[service.address()]));
        TableClient::new(table.address()).commit(&rows).await.unwrap();
        let keys = DeploymentKeys::new();
        let mut nodes = Vec::new();
        for name in ["n1", "n2"] {
            nodes.push(start_named_node(name, &keys, table.address()).await);
        }
        let live = nodes.iter().flat_map(|node| (*node.state.cluster.live()).clone()).collect();
        for node in &nodes {
            set_live(node, &live);
        }
        Self { nodes, service, _table: table }
    }

    /// Sends an order with an idempotency key to a node and returns the status and body of the response.
    async fn order(&self, node: usize, key: &str) -> (u16, Value) {
        let url = format!("http://{}/services/orders/book", self.nodes[node].caller_address());
        let request =
            client().post(url).bearer_auth(CALLER_KEY).insert_header(("Idempotency-Key", key));
        let request = request.insert_header(("X-Deadline-Ms", 8_000));
        let mut response = request.send_body("2 panes").await.unwrap();
        (response.status().as_u16(), response.json().await.unwrap())
    }

    /// Returns how often the service ran the request that a response names.
    fn runs(&self, answer: &Value) -> u64 {
        self.service.runs_of(answer["request_id"].as_str().unwrap_or_default())
    }
}

/// Guards against two runs of a request whose key is sent to two nodes, and against a result that only one of the nodes
/// can return.
#[gtest]
#[actix_web::test]
async fn a_key_sent_to_two_nodes_runs_once_and_gets_one_answer() {
    let pair = NodePair::start().await;
    for number in 0..12 {
        let key = format!("k{number}");
        let (first, second) = futures_util::join!(pair.order(0, &key), pair.order(1, &key));
        expect_that!(first.0, eq(200), "{first:?}");
        expect_that!(second, eq(&first));
        expect_that!(pair.runs(&first.1), eq(1));
    }
}

/// Guards against a second run of a model request whose key is sent to two nodes.
#[gtest]
#[actix_web::test]
async fn a_model_request_sent_to_two_nodes_runs_once() {
    let (engine, engine_state) = support::start_engine();
    *engine_state.fault.lock().unwrap() = support::EngineFault::Slow;
    let (keys, table) = (DeploymentKeys::new(), support::start_table(config(&[engine])));
    let nodes =
        [start_named_node("n1", &keys, table).await, start_named_node("n2", &keys, table).await];
    let live = nodes.iter().flat_map(|node| (*node.state.cluster.live()).clone()).collect();
    for node in &nodes {
        set_live(node, &live);
    }
    for (count, key) in ["a", "b", "c"].into_iter().enumerate() {
        let sends = nodes.iter().map(|node| async move {
            let request = support::chat(node).insert_header(("Idempotency-Key", key));
            let mut response = request.send_json(&support::chat_body(true)).await.unwrap();
            String::from_utf8(response.body().await.unwrap().to_vec()).unwrap()
        });
        for body in futures_util::future::join_all(sends).await {
            expect_that!(
                support::word_numbers(&body).len() as u64,
                eq(support::CHUNK_COUNT),
                "{body}"
            );
            expect_that!(body, ends_with("data: [DONE]\n\n"));
        }
        let runs: u32 = engine_state.runs.lock().unwrap().values().sum();
        expect_that!(runs as usize, eq(count + 1));
    }
}

/// Guards against a new shard owner that does not answer the reservations and outcomes of a node that is leaving.
#[gtest]
#[actix_web::test]
async fn a_leaving_node_finishes_its_requests() {
    let pair = NodePair::start().await;
    let name = pair.nodes[0].state.settings.name.clone();
    let mut live = (*pair.nodes[1].state.cluster.live()).clone();
    live.remove(&name);
    // Both nodes see the first one as leaving when the request arrives there.
    for node in &pair.nodes {
        set_live(node, &live);
    }
    let (status, answer) = pair.order(0, "k").await;
    expect_that!(status, eq(200), "{answer}");
    for _ in 0..100 {
        let dump = pair.nodes[0].state.journal.send(SnapshotJournal).await.unwrap_or_default();
        if dump.open_requests == 0 {
            break;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    let dump = pair.nodes[0].state.journal.send(SnapshotJournal).await.unwrap_or_default();
    expect_that!(dump.open_requests, eq(0));
    expect_that!(pair.order(1, "k").await.1, eq(&answer));
}

/// Guards against a second run of a request after the owner of its shard crashes, and against a take-over of 5 s or
/// longer.
#[gtest]
#[actix_web::test]
async fn the_successor_of_a_dead_shard_owner_answers_from_its_records() {
    let pair = NodePair::start().await;
    let mut answers = Vec::new();
    for number in 0..12 {
        answers.push(pair.order(number % 2, &format!("k{number}")).await);
    }
    // Closing the endpoint without leaving the membership simulates a crash.
    pair.nodes[0].state.cluster.endpoint().unwrap().close().await;
    let name = pair.nodes[0].state.settings.name.clone();
    let mut live = (*pair.nodes[1].state.cluster.live()).clone();
    live.remove(&name);
    set_live(&pair.nodes[1], &live);
    let started = Instant::now();
    for (number, first) in answers.iter().enumerate() {
        let again = pair.order(1, &format!("k{number}")).await;
        expect_that!(first.0, eq(200), "{first:?}");
        expect_that!(again, eq(first));
        expect_that!(pair.runs(&first.1), eq(1));
    }
    expect_that!(pair.order(1, "new").await.0, eq(200));
    expect_that!(started.elapsed(), lt(Duration::from_secs(5)));
}
