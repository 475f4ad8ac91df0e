//! At-most-once execution of non-idempotent requests: a node with a journal, against the table and service stand-ins.

mod support;

use actix_web::http::header::HeaderMap;
use agatecourse_entry::Node;
use agatecourse_history::{CheckLimits, HistoryEvent, Record, check_all, read_history};
use agatecourse_platform::{TableClient, TableTransaction};
use agatecourse_standin::{ServiceAnswer, ServiceSettings, Standin, TableSettings};
use agatecourse_types::{RequestId, parse_request_id, stable_hash};
use futures_util::future::join_all;
use googletest::prelude::*;
use serde_json::{Value, json};
use std::cell::RefCell;
use std::io::BufReader;
use std::net::SocketAddr;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use support::{
    CALLER_KEY, DeploymentKeys, client, closed_address, config, request_id, start_node_with_history,
};

/// Stand-ins for the table and the service, the directory of the node's history, and records of the responses that
/// callers received.
struct TestDeployment {
    table: Standin,
    service: Standin,
    directory: tempfile::TempDir,
    deliveries: RefCell<Vec<Record>>,
}

/// Response of a node to one order.
#[derive(Debug, Clone)]
struct OrderResponse {
    status: u16,
    headers: HeaderMap,
    body: Value,
}

impl OrderResponse {
    fn run(&self) -> &str {
        self.body["run"].as_str().unwrap_or_default()
    }

    fn code(&self) -> u64 {
        self.body["code"].as_u64().unwrap_or_default()
    }
}

impl TestDeployment {
    async fn start(service_time: Duration) -> Self {
        let service = ServiceSettings::new("depot").with_service_time(service_time);
        let service = service.start(Standin::EPHEMERAL).unwrap();
        let deployment = Self {
            table: TableSettings::new().start(Standin::EPHEMERAL).unwrap(),
            directory: tempfile::tempdir().unwrap(),
            deliveries: RefCell::default(),
            service,
        };
        deployment.configure(1, deployment.service.address()).await;
        deployment
    }

    /// Writes a configuration version whose routes have `target` as their only target.
    async fn configure(&self, version: u64, target: SocketAddr) {
        let current = json!({ "version": version }).to_string();
        let transaction = TableTransaction::new()
            .with_put("config/current", current)
            .with_put(format!("config/{version}"), service_config(target));
        TableClient::new(self.table.address()).commit(&transaction).await.unwrap();
    }

    fn history_path(&self) -> String {
        self.directory.path().join("history.jsonl").display().to_string()
    }

    async fn start_node(&self) -> Node {
        start_node_with_history(
            "n1",
            &DeploymentKeys::new(),
            self.table.address(),
            &self.history_path(),
        )
        .await
    }

    fn set_table_faults(&self, faults: &Value) {
        self.table.change_faults(faults).unwrap();
    }

    /// Sends an order and records the response for the history check. The service puts the id of the request that it
    /// ran into its response, which shows whose response the caller received.
    async fn send_order(
        &self,
        node: &Node,
        key: &str,
        body: &str,
        deadline_ms: u64,
    ) -> OrderResponse {
        let answer = send_order(node, key, body, deadline_ms).await;
        if answer.status == 200 {
            let request_id = parse_request_id(&request_id(&answer.headers)).unwrap();
            let produced_by =
                parse_request_id(answer.body["request_id"].as_str().unwrap()).unwrap();
            expect_that!(
                answer.body["body_sha256"],
                eq(&json!(ServiceAnswer::hash_body(body.as_bytes())))
            );
            let answer_hash = stable_hash(&[answer.body.to_string().as_bytes()]);
            let now_us = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_micros() as u64;
            let mut deliveries = self.deliveries.borrow_mut();
            if request_id == produced_by {
                let event = HistoryEvent::Produced { request_id, answer_hash };
                deliveries.push(Record::new(now_us, "depot", event));
            }
            let event =
                HistoryEvent::Delivered { request_id, produced_by, answer_hash, whole: true };
            deliveries.push(Record::new(now_us, "caller", event));
        }
        answer
    }

    /// Returns how often the service ran each request. Probes have no request id and are not counted.
    async fn runs_by_request(&self) -> Vec<(RequestId, u64)> {
        let url = format!("http://{}/runs", self.service.address());
        let runs: Value = client().get(url).send().await.unwrap().json().await.unwrap();
        let with_id = runs.as_array().unwrap().iter().filter(|run| run["request_id"] != "");
        with_id
            .map(|run| {
                let request_id = parse_request_id(run["request_id"].as_str().unwrap()).unwrap();
                (request_id, run["runs"].as_u64().unwrap())
            })
            .collect()
    }

    async fn total_runs(&self) -> u64 {
        self.runs_by_request().await.iter().map(|(_, runs)| runs).sum()
    }

    /// Checks the invariants over the node's history, the runs of the service and the responses of the callers.
    async fn check_history(&self) {
        let file = std::fs::File::open(self.history_path()).unwrap();
        let mut history = read_history(BufReader::new(file)).unwrap();
        let end = history.last().map_or(0, |record| record.at_us);
        for (request_id, runs) in self.runs_by_request().await {
            for _ in 0..runs {
                let target = "depot".to_string();
                history.push(Record::new(end, "depot", HistoryEvent::Ran { request_id, target }));
            }
        }
        history.extend(self.deliveries.borrow().iter().cloned());
        history.sort_by_key(|record| record.at_us);
        let violations = check_all(&history, &CheckLimits::default());
        assert_that!(violations, is_empty());
    }
}

/// Returns a configuration with the service routes only, whose one target is `target`.
fn service_config(target: SocketAddr) -> String {
    let model = "[route.quotes]\nkind = model\nidempotent = yes\nprogress_timeout_ms = 500\n";
    config(&[target])
        .replace(model, "")
        .replace("routes = quotes, stock, orders", "routes = stock, orders")
        .replace("routes = quotes\n", "routes = stock\n")
}

async fn send_order(node: &Node, key: &str, body: &str, deadline_ms: u64) -> OrderResponse {
    let url = format!("http://{}/services/orders/book", node.caller_address());
    let request =
        client().post(url).bearer_auth(CALLER_KEY).insert_header(("Idempotency-Key", key));
    let request = request.insert_header(("X-Deadline-Ms", deadline_ms));
    let mut response = request.send_body(body.to_string()).await.unwrap();
    let body = response.json().await.unwrap_or_default();
    OrderResponse { status: response.status().as_u16(), headers: response.headers().clone(), body }
}

/// Guards against a second run when requests with one key arrive concurrently, later, or after a restart of the node.
#[gtest]
#[actix_web::test]
async fn one_key_gives_one_run_and_one_answer() {
    let deployment = TestDeployment::start(Duration::from_millis(100)).await;
    let node = deployment.start_node().await;
    let orders = (0..10).map(|_| deployment.send_order(&node, "k", "2 panes", 5_000));
    let mut answers = join_all(orders).await;
    answers.push(deployment.send_order(&node, "k", "2 panes", 5_000).await);
    node.shut_down().await;
    let successor = deployment.start_node().await;
    answers.push(deployment.send_order(&successor, "k", "2 panes", 5_000).await);
    for answer in &answers {
        expect_that!(answer.status, eq(200), "{answer:?}");
        expect_that!(answer.body, eq(&answers[0].body));
    }
    let repeated = answers.iter().filter(|a| a.headers.contains_key("idempotent-replayed")).count();
    expect_that!(repeated, eq(11));
    expect_that!(deployment.total_runs().await, eq(1));
    deployment.check_history().await;
}

/// Guards against a key that is accepted for a different body, against requests without a key, and against deadlines
/// beyond the retention of keys.
#[gtest]
#[actix_web::test]
async fn reused_keys_missing_keys_and_distant_deadlines_are_refused() {
    let deployment = TestDeployment::start(Duration::from_millis(5)).await;
    let node = deployment.start_node().await;
    expect_that!(deployment.send_order(&node, "k", "2 panes", 5_000).await.status, eq(200));
    let other = deployment.send_order(&node, "k", "3 panes", 5_000).await;
    expect_that!((other.status, other.code(), other.run()), eq((422, 1006, "no")));
    let url = format!("http://{}/services/orders/book", node.caller_address());
    let mut missing = client().post(url).bearer_auth(CALLER_KEY).send().await.unwrap();
    let problem: Value = missing.json().await.unwrap();
    expect_that!(problem["code"].as_u64(), some(eq(1005)));
    let distant_deadline = deployment.send_order(&node, "far", "2 panes", 80_000_000).await;
    expect_that!(
        (distant_deadline.status, distant_deadline.code(), distant_deadline.run()),
        eq((400, 1004, "no"))
    );
    expect_that!(deployment.total_runs().await, eq(1));
    deployment.check_history().await;
}

/// Guards against orders that are lost or run twice because the table applied a write but its response was lost.
#[gtest]
#[actix_web::test]
async fn lost_table_responses_cause_no_second_run() {
    let deployment = TestDeployment::start(Duration::from_millis(5)).await;
    let node = deployment.start_node().await;
    deployment.set_table_faults(&json!({"lost_answer_rate": 0.4}));
    let keys: Vec<String> = (0..20).map(|number| format!("k{number}")).collect();
    let orders = keys
        .iter()
        .flat_map(|key| [key, key])
        .map(|key| deployment.send_order(&node, key, "1 pane", 15_000));
    let answers = join_all(orders).await;
    deployment.set_table_faults(&json!({"lost_answer_rate": 0.0}));
    for pair in answers.chunks(2) {
        expect_that!(pair[0].status, eq(200), "{:?}", pair[0]);
        expect_that!(pair[1].body, eq(&pair[0].body));
    }
    expect_that!(deployment.total_runs().await, eq(20));
    deployment.check_history().await;
}

/// Guards against `run: no` for an order that ran during a table outage, and against a key that stays reserved after
/// the outage.
#[gtest]
#[actix_web::test]
async fn table_outage_refuses_without_a_run_and_releases_the_key() {
    let deployment = TestDeployment::start(Duration::from_millis(5)).await;
    let node = deployment.start_node().await;
    expect_that!(deployment.send_order(&node, "before", "1 pane", 5_000).await.status, eq(200));
    deployment.set_table_faults(&json!({"outage": true}));
    let refused = deployment.send_order(&node, "k", "2 panes", 700).await;
    expect_that!((refused.status, refused.code(), refused.run()), eq((503, 2005, "no")));
    expect_that!(deployment.total_runs().await, eq(1));
    let known = deployment.send_order(&node, "before", "1 pane", 700).await;
    expect_that!(known.status, eq(200));
    deployment.set_table_faults(&json!({"outage": false}));
    expect_that!(deployment.send_order(&node, "k", "2 panes", 8_000).await.status, eq(200));
    expect_that!(deployment.total_runs().await, eq(2));
    deployment.check_history().await;
}

/// Guards against a second run with the same key when the response of the first was lost, since it may have run.
#[gtest]
#[actix_web::test]
async fn lost_service_response_keeps_the_outcome_unknown() {
    let deployment = TestDeployment::start(Duration::from_millis(5)).await;
    let node = deployment.start_node().await;
    deployment.service.change_faults(&json!({"lost_answer_rate": 1.0})).unwrap();
    let first = deployment.send_order(&node, "k", "2 panes", 5_000).await;
    expect_that!((first.status, first.run()), eq((502, "unknown")), "{first:?}");
    deployment.service.change_faults(&json!({"lost_answer_rate": 0.0})).unwrap();
    let second = deployment.send_order(&node, "k", "2 panes", 5_000).await;
    expect_that!((second.status, second.code(), second.run()), eq((409, 3004, "unknown")));
    expect_that!(deployment.total_runs().await, eq(1));
    deployment.check_history().await;
}

/// Guards against `run: no` for a second request whose deadline passes while the first with the same key runs.
#[gtest]
#[actix_web::test]
async fn running_order_is_reported_as_unknown_at_the_deadline() {
    let deployment = TestDeployment::start(Duration::from_millis(1_500)).await;
    let node = deployment.start_node().await;
    let second_order = async {
        tokio::time::sleep(Duration::from_millis(300)).await;
        deployment.send_order(&node, "k", "2 panes", 400).await
    };
    let (first, second) =
        futures_util::join!(deployment.send_order(&node, "k", "2 panes", 8_000), second_order);
    expect_that!(first.status, eq(200));
    expect_that!((second.status, second.code(), second.run()), eq((409, 3006, "unknown")));
    expect_that!(deployment.total_runs().await, eq(1));
    deployment.check_history().await;
}

/// Guards against a request that crashes the service a second time, with the same key or another one.
#[gtest]
#[actix_web::test]
async fn crashing_order_is_quarantined_after_one_crash() {
    let deployment = TestDeployment::start(Duration::from_millis(5)).await;
    let node = deployment.start_node().await;
    deployment.service.change_faults(&json!({"crash_marker": "boom"})).unwrap();
    let first = deployment.send_order(&node, "k", "boom", 5_000).await;
    expect_that!((first.status, first.code(), first.run()), eq((502, 3005, "unknown")));
    for key in ["k", "other"] {
        let refused = deployment.send_order(&node, key, "boom", 5_000).await;
        expect_that!((refused.status, refused.code(), refused.run()), eq((422, 2004, "no")));
    }
}

/// Guards against a key that stays reserved after a target refused the connection.
#[gtest]
#[actix_web::test]
async fn refused_connection_releases_the_key() {
    let deployment = TestDeployment::start(Duration::from_millis(5)).await;
    deployment.configure(2, closed_address()).await;
    let node = deployment.start_node().await;
    let refused = deployment.send_order(&node, "k", "2 panes", 3_000).await;
    expect_that!((refused.status, refused.run()), eq((503, "no")), "{refused:?}");
    deployment.configure(3, deployment.service.address()).await;
    let mut answer = refused;
    for _ in 0..20 {
        answer = deployment.send_order(&node, "k", "2 panes", 3_000).await;
        expect_that!(answer.run(), not(eq("unknown")), "{answer:?}");
        if answer.status == 200 {
            break;
        }
        tokio::time::sleep(Duration::from_millis(300)).await;
    }
    expect_that!(answer.status, eq(200));
    expect_that!(deployment.total_runs().await, eq(1));
    deployment.check_history().await;
}
