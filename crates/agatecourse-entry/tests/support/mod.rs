#![allow(dead_code, reason = "each test binary uses only some of the items")]
//! In-process table and engine with injectable faults, and a node that uses them.

use actix_web::http::header::HeaderMap;
use actix_web::web::{Bytes, Data, Json, Path};
use actix_web::{App, HttpRequest, HttpResponse, HttpServer, web};
use agatecourse_config::NodeSettings;
use agatecourse_entry::Node;
use agatecourse_peer::DeploymentKey;
use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use serde_json::{Value, json};
use sha2::{Digest, Sha256};
use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tempfile::TempDir;
use tokio::net::TcpSocket;

/// API key of the caller `desk`, which may use all routes.
pub const CALLER_KEY: &str = "caller-key";
/// Bearer token for the operator endpoints.
pub const OPERATOR_TOKEN: &str = "operator-token";
/// Number of chunks in a complete stream of the engine.
pub const CHUNK_COUNT: u64 = 6;

/// Fault or behaviour of the engine's streams.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum EngineFault {
    #[default]
    None,
    /// Breaks the first connection after three chunks.
    Break,
    /// Sends three chunks on the first connection, then stalls without closing it.
    Silence,
    /// Breaks each connection after the third chunk.
    BreakAlways,
    /// Sends `[DONE]` without a finish reason.
    NoFinishReason,
    /// Sends one chunk every 100 ms and never ends.
    Endless,
    /// Breaks the first connection after three chunks and repeats two chunks on resumption.
    RepeatOnResume,
    /// Sends the whole response at once.
    Burst,
    /// Waits 150 ms before each chunk.
    Slow,
    /// Sends chunks of 16 KiB as fast as they are read and never ends.
    Flood,
}

/// Fault of the engine and what it has observed.
#[derive(Debug, Default)]
pub struct EngineState {
    pub fault: Mutex<EngineFault>,
    /// Number of dispatches by request id.
    pub runs: Mutex<BTreeMap<String, u32>>,
    /// `Last-Event-ID` of each resumption, in order.
    pub resumed_after: Mutex<Vec<Option<u64>>>,
    /// Stream ids of the cancellations, in order.
    pub cancelled: Mutex<Vec<String>>,
    pub sent_flood_bytes: Mutex<u64>,
}

fn chunk(id: u64, finish: bool) -> Bytes {
    let reason = if finish { json!("stop") } else { Value::Null };
    let usage = if finish {
        json!({"prompt_tokens": 5, "completion_tokens": CHUNK_COUNT})
    } else {
        Value::Null
    };
    let data = json!({"id": "c", "object": "chat.completion.chunk", "usage": usage,
        "choices": [{"index": 0, "delta": {"content": format!("w{id} ")}, "finish_reason": reason}]});
    Bytes::from(format!("id: {id}\ndata: {data}\n\n"))
}

fn stream_response(state: Data<Arc<EngineState>>, after: Option<u64>) -> HttpResponse {
    let fault = *state.fault.lock().unwrap();
    let first = after.is_none();
    let mut next = after.map_or(1, |after| after + 1);
    if fault == EngineFault::RepeatOnResume && !first {
        next -= 2;
    }
    if fault == EngineFault::Burst {
        let mut body: Vec<u8> =
            (1..=CHUNK_COUNT).flat_map(|id| chunk(id, id == CHUNK_COUNT)).collect();
        body.extend_from_slice(b"data: [DONE]\n\n");
        return HttpResponse::Ok().content_type("text/event-stream").body(body);
    }
    let stream = chunk_stream(state, fault, first, next);
    HttpResponse::Ok().content_type("text/event-stream").streaming(stream)
}

fn chunk_stream(
    state: Data<Arc<EngineState>>,
    fault: EngineFault,
    first: bool,
    next: u64,
) -> impl futures_util::Stream<Item = Result<Bytes, std::io::Error>> {
    futures_util::stream::unfold((next, 0_u64), move |(id, sent)| {
        let state = state.clone();
        async move {
            let broken = || Some((Err(std::io::Error::other("broken")), (id, sent)));
            let at_fault = sent == 3;
            if fault != EngineFault::Flood {
                // Gives the server time to flush each chunk, because an error discards unwritten data.
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
            match fault {
                EngineFault::Break | EngineFault::RepeatOnResume if first && at_fault => {
                    return broken();
                }
                EngineFault::BreakAlways if id > 3 => return broken(),
                EngineFault::Silence if first && at_fault => return std::future::pending().await,
                EngineFault::Slow => tokio::time::sleep(Duration::from_millis(150)).await,
                EngineFault::Endless => {
                    tokio::time::sleep(Duration::from_millis(100)).await;
                    return Some((Ok(chunk(id, false)), (id + 1, sent + 1)));
                }
                EngineFault::Flood => {
                    *state.sent_flood_bytes.lock().unwrap() += 16_384;
                    let text = "x".repeat(16_384);
                    let data = json!({"choices": [{"index": 0, "delta": {"content": text}}]});
                    let event = Bytes::from(format!("id: {id}\ndata: {data}\n\n"));
                    return Some((Ok(event), (id + 1, sent + 1)));
                }
                _ => {}
            }
            let finish = id == CHUNK_COUNT && fault != EngineFault::NoFinishReason;
            match id {
                1..=CHUNK_COUNT => Some((Ok(chunk(id, finish)), (id + 1, sent + 1))),
                id if id == CHUNK_COUNT + 1 => {
                    Some((Ok(Bytes::from_static(b"data: [DONE]\n\n")), (id + 1, sent + 1)))
                }
                _ => None,
            }
        }
    })
}

async fn start_completion(
    state: Data<Arc<EngineState>>,
    request: HttpRequest,
    _: Bytes,
) -> HttpResponse {
    let id = request_id(request.headers());
    *state.runs.lock().unwrap().entry(id).or_default() += 1;
    stream_response(state, None)
}

async fn resume_completion(
    state: Data<Arc<EngineState>>,
    request: HttpRequest,
    _: Path<String>,
) -> HttpResponse {
    let last =
        request.headers().get("last-event-id").map(|id| id.to_str().unwrap().parse().unwrap());
    state.resumed_after.lock().unwrap().push(last);
    stream_response(state, Some(last.unwrap_or(0)))
}

async fn cancel_completion(state: Data<Arc<EngineState>>, id: Path<String>) -> HttpResponse {
    state.cancelled.lock().unwrap().push(id.into_inner());
    HttpResponse::Ok().finish()
}

async fn echo_service(
    state: Data<Arc<EngineState>>,
    request: HttpRequest,
    body: Bytes,
) -> HttpResponse {
    let id = request_id(request.headers());
    *state.runs.lock().unwrap().entry(id).or_default() += 1;
    let has_key = request.headers().contains_key("authorization");
    HttpResponse::Created().insert_header(("x-depot", "brasov")).json(json!({
        "method": request.method().as_str(), "path": request.uri().to_string(),
        "body": String::from_utf8_lossy(&body), "has_key": has_key,
    }))
}

/// Returns the `X-Request-Id` header of a request or response.
///
/// # Panics
///
/// Panics if the header is missing.
pub fn request_id(headers: &HeaderMap) -> String {
    headers.get("x-request-id").unwrap().to_str().unwrap().to_string()
}

/// Starts an engine that also serves as a service: it echoes requests to all other paths.
pub fn start_engine() -> (SocketAddr, Arc<EngineState>) {
    start_engines(1)
}

/// Starts an engine with `threads` worker threads; see [`start_engine`].
pub fn start_engines(threads: usize) -> (SocketAddr, Arc<EngineState>) {
    let state = Arc::new(EngineState::default());
    let shared = state.clone();
    let server = HttpServer::new(move || {
        App::new()
            .app_data(Data::new(shared.clone()))
            .route("/v1/chat/completions", web::post().to(start_completion))
            .route("/v1/chat/completions/{id}", web::get().to(resume_completion))
            .route("/v1/chat/completions/{id}", web::delete().to(cancel_completion))
            .route("/v1/load", web::get().to(HttpResponse::Ok))
            .route("/v1/cache-events", web::get().to(HttpResponse::NotFound))
            .default_service(web::to(echo_service))
    })
    .workers(threads)
    .disable_signals()
    .bind("127.0.0.1:0")
    .unwrap();
    let address = server.addrs()[0];
    actix_web::rt::spawn(server.run());
    (address, state)
}

async fn range_query(config: Data<String>, request: Json<Value>) -> HttpResponse {
    let key = STANDARD.decode(request["key"].as_str().unwrap()).unwrap();
    let value = match key.as_slice() {
        b"config/current" => json!({"version": 1}).to_string(),
        b"config/1" => config.to_string(),
        _ => return HttpResponse::Ok().json(json!({"header": {"revision": "1"}})),
    };
    HttpResponse::Ok().json(json!({"header": {"revision": "1"}, "count": "1", "kvs": [{
        "key": STANDARD.encode(&key), "value": STANDARD.encode(value),
        "mod_revision": "1", "create_revision": "1", "version": "1"}]}))
}

/// Starts a read-only table that holds `config` as version 1; all writes fail.
pub fn start_table(config: String) -> SocketAddr {
    let server = HttpServer::new(move || {
        App::new()
            .app_data(Data::new(config.clone()))
            .route("/v3/kv/range", web::post().to(range_query))
            .default_service(web::to(HttpResponse::ServiceUnavailable))
    })
    .workers(1)
    .disable_signals()
    .bind("127.0.0.1:0")
    .unwrap();
    let address = server.addrs()[0];
    actix_web::rt::spawn(server.run());
    address
}

fn sha256(text: &str) -> String {
    Sha256::digest(text).iter().fold(String::new(), |text, byte| text + &format!("{byte:02x}"))
}

/// Returns a configuration in which each of the targets serves all routes.
pub fn config(targets: &[SocketAddr]) -> String {
    let mut text = format!(
        "[fleet]\nname = demo\nregion = local\nzones = a\nbody_limit_bytes = 65536\n\
         [tier.urgent]\nrank = 0\ndeadline_ms = 20000\n\
         [organisation.branch]\nrate_per_s = 1000000\nconcurrency = 10000\n\
         [organisation.small]\nrate_per_s = 1\n\
         [caller.desk]\norganisation = branch\ntier = urgent\nkey_sha256 = {}\n\
         [caller.slow]\norganisation = small\ntier = urgent\nkey_sha256 = {}\nroutes = quotes\n\
         [route.quotes]\nkind = model\nidempotent = yes\nprogress_timeout_ms = 500\n\
         [route.stock]\nkind = service\nidempotent = yes\n\
         [route.orders]\nkind = service\nidempotent = no\n",
        sha256(CALLER_KEY),
        sha256("small-key"),
    );
    for (number, address) in targets.iter().enumerate() {
        let _ = write!(
            text,
            "[target.t{number}]\nroutes = quotes, stock, orders\nzone = a\naddress = {address}\nconcurrency = 64\n"
        );
    }
    text
}

/// Deployment key with a temporary directory for the key files of nodes; removed on drop.
pub struct DeploymentKeys(TempDir, DeploymentKey);

impl DeploymentKeys {
    pub fn new() -> Self {
        let key = DeploymentKey::generate("demo", 1, 7).unwrap();
        Self(tempfile::tempdir().unwrap(), key)
    }

    /// Writes a file to the key directory and returns its path.
    pub fn write(&self, name: &str, text: &str) -> String {
        let path = self.0.path().join(name);
        std::fs::write(&path, text).unwrap();
        path.display().to_string()
    }

    /// Issues the certificate of a node, writes its key files and returns the `[keys]` section of its settings.
    fn issue(&self, node: &str) -> String {
        let issued = self.1.issue_certificate(node, 7).unwrap();
        format!(
            "[keys]\ndeployment_certificates = {}\nnode_certificate = {}\nnode_key = {}\n",
            self.write("deployment.pem", self.1.certificate_pem()),
            self.write(&format!("{node}.pem"), &issued.certificate_pem),
            self.write(&format!("{node}.key"), &issued.key_pem),
        )
    }
}

/// Returns the settings file of a node.
pub fn settings(
    name: &str,
    keys: &DeploymentKeys,
    table: SocketAddr,
    callers: SocketAddr,
    operators: SocketAddr,
) -> String {
    format!(
        "[node]\nname = {name}\nzone = a\ncaller_address = {callers}\n\
         operator_address = {operators}\npeer_address = 127.0.0.1:0\n\
         operator_token_sha256 = {}\n[platform]\ntable_address = {table}\n{}",
        sha256(OPERATOR_TOKEN),
        keys.issue(name)
    )
}

/// Waits until a node is ready.
///
/// # Panics
///
/// Panics if the node is not ready after 500 attempts, 10 ms apart.
pub async fn wait_ready(operators: SocketAddr) {
    for _ in 0..500 {
        let ready = client().get(format!("http://{operators}/readyz"));
        if ready.send().await.is_ok_and(|response| response.status().is_success()) {
            return;
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    panic!("expected the node to be ready within 5 s");
}

/// Starts a node with a table that holds `config` and waits until the node is ready.
pub async fn start_node(config: String) -> Node {
    start_named_node("n1", &DeploymentKeys::new(), start_table(config)).await
}

/// Starts a node that reads its configuration from a table and waits until it is ready.
pub async fn start_named_node(name: &str, keys: &DeploymentKeys, table: SocketAddr) -> Node {
    start_node_with_history(name, keys, table, "").await
}

/// Starts a node that reads its configuration from a table, with a history file unless its path is empty, and waits
/// until it is ready.
pub async fn start_node_with_history(
    name: &str,
    keys: &DeploymentKeys,
    table: SocketAddr,
    history_path: &str,
) -> Node {
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let mut text = settings(name, keys, table, any, any);
    if !history_path.is_empty() {
        let history = format!("[node]\nhistory_file = {history_path}\n");
        text = text.replace("[node]\n", &history);
    }
    let node = Node::start(NodeSettings::parse("node.ini", &text).unwrap()).unwrap();
    wait_ready(node.operator_address()).await;
    node
}

/// Starts an engine with a fault and a node whose only target it is.
pub async fn start_node_and_engine(fault: EngineFault) -> (Node, Arc<EngineState>) {
    let (address, engine) = start_engine();
    *engine.fault.lock().unwrap() = fault;
    (start_node(config(&[address])).await, engine)
}

/// Returns a loopback address on which nothing listens, so that connections are refused. The port stays bound until the process
/// ends; otherwise a server of a test that runs at the same time might get it.
pub fn closed_address() -> SocketAddr {
    let socket = TcpSocket::new_v4().unwrap();
    socket.bind(SocketAddr::from(([127, 0, 0, 1], 0))).unwrap();
    let address = socket.local_addr().unwrap();
    std::mem::forget(socket);
    address
}

/// Returns a chat request to a node, to be sent with [`chat_body`].
pub fn chat(node: &Node) -> awc::ClientRequest {
    client()
        .post(format!("http://{}/v1/chat/completions", node.caller_address()))
        .bearer_auth(CALLER_KEY)
}

pub fn chat_body(stream: bool) -> Value {
    json!({"model": "quotes", "stream": stream, "messages": [{"role": "user", "content": "pane"}]})
}

/// Returns a client with a timeout of 30 s, for slow responses.
pub fn client() -> awc::Client {
    awc::Client::builder().timeout(Duration::from_secs(30)).finish()
}

/// Returns the chunk numbers N of all words `wN` in a response, in order.
pub fn word_numbers(text: &str) -> Vec<u64> {
    text.split(['"', ' '])
        .filter_map(|word| word.strip_prefix('w').and_then(|number| number.parse().ok()))
        .collect()
}

/// Polls a condition for up to 5 s; returns whether it became true.
pub async fn wait_until(condition: impl Fn() -> bool) -> bool {
    for _ in 0..500 {
        if condition() {
            return true;
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    false
}
