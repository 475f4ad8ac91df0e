//! A tenant sends more than its quota on connections that it keeps; some of its requests are HEAD.

use crate::fleet::{HOST, KEY, Nodes, Record, Replica};
use crate::http::{fill, header, read_head};
use crate::quota::{BURST, RATE_PER_S};
use crate::store::Store;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

const CLIENTS: usize = 9;
const PLAY_TIME: Duration = Duration::from_secs(20);
/// Time from the start to the moment at which the tenant sends more, and for how long it does.
const TIME_BEFORE: Duration = Duration::from_secs(3);
const HOT_TIME: Duration = Duration::from_secs(11);
/// Pauses of each client: all together send 11 requests a second, or six times as many.
const USUAL_PAUSE: Duration = Duration::from_millis(800);
const HOT_PAUSE: Duration = Duration::from_millis(133);

fn config() -> String {
    format!(
        "{{\"version\":7,\"routes\":[{{\"name\":\"r-check\",\"host\":\"{HOST}\",\"pathPrefix\":\"/check/\",\"routeKind\":\"safe\",\
         \"timeoutMs\":1000,\"sloMs\":150,\"priority\":1,\"service\":\"desk\",\"maxAttempts\":2,\"public\":false}}],\
         \"services\":[{{\"name\":\"desk\",\"healthPath\":\"/healthz\",\
         \"maxConnections\":110,\"protocol\":\"h1\",\"tls\":false}}],\"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\
         \"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}},\"tenants\":[{{\"name\":\"org-1\",\"apiKeys\":[\"{KEY}\"],\
         \"priority\":1,\"unit\":\"tokens\",\"uncachedTokens\":200,\"ratePerS\":{RATE_PER_S},\"burst\":{BURST}}}]}}"
    )
}

/// Plays the case; returns whether the rule held.
pub fn play(record_path: &str, has_trouble: bool) -> Result<bool, String> {
    let (record, store) = (Record::default(), Store::start());
    store.put("op", "config", &config());
    let mut replicas = Vec::new();
    for index in 0..3 {
        let replica = Replica::start(&record, &format!("i-{index}"), "desk", "v1", 6, 30);
        let mut replica = replica.map_err(|error| error.to_string())?;
        replica.register(&store, "ready");
        replicas.push(replica);
    }
    let nodes = Nodes::start(3, &store).map_err(|error| error.to_string())?;
    if !nodes.wait_ready() {
        return Err("the nodes are not ready".to_string());
    }
    thread::sleep(Duration::from_secs(2));
    let started = Instant::now();
    let hot_from = has_trouble.then(|| started + TIME_BEFORE);
    let until = started + PLAY_TIME;
    let clients: Vec<_> = (0..CLIENTS)
        .map(|index| {
            let (record, node) = (record.clone(), nodes.callers[index % nodes.callers.len()]);
            thread::spawn(move || {
                thread::sleep(Duration::from_millis(40 * index as u64));
                let mut broken = 0;
                while Instant::now() < until {
                    broken += use_connection(&record, node, index, hot_from, until).unwrap_or(0);
                }
                broken
            })
        })
        .collect();
    let broken: u32 = clients.into_iter().filter_map(|client| client.join().ok()).sum();
    drop((nodes, replicas));
    thread::sleep(Duration::from_millis(100));
    record.add(&format!("result: {broken} answers that are no answers"));
    record.write(record_path).map_err(|error| error.to_string())?;
    println!("{broken} answers that are no answers");
    Ok(broken == 0)
}

/// Sends requests on one connection until it closes or something that is no answer comes; returns the number of these.
fn use_connection(
    record: &Record,
    node: SocketAddr,
    client: usize,
    hot_from: Option<Instant>,
    until: Instant,
) -> Option<u32> {
    let mut stream = TcpStream::connect(node).ok()?;
    let _ = stream.set_nodelay(true);
    stream.set_read_timeout(Some(Duration::from_secs(2))).ok()?;
    let mut buffer = Vec::new();
    for number in 0.. {
        if Instant::now() >= until {
            return Some(0);
        }
        let method = if number % 4 == 0 { "HEAD" } else { "GET" };
        let at = crate::fleet::unix_ms() & 0xffff_ffff;
        let id = format!("{client:04x}{at:08x}{:04x}", number & 0xffff);
        let request = format!(
            "{method} /check/item HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {id}\r\nDeadline-Ms: 1000\r\nToken-Count: 3720,280\r\nAuthorization: Token {KEY}\r\n\r\n"
        );
        stream.write_all(request.as_bytes()).ok()?;
        let head = read_head(&mut stream, &mut buffer)?;
        let line = head.lines().next().unwrap_or_default().to_string();
        record.add(&format!("client {client} request {id} {method} by node {node}: {line}"));
        if !line.starts_with("HTTP/1.1 ") {
            record.add(&format!("BROKEN: request {id} got bytes that are no answer"));
            return Some(1);
        }
        // The answer to HEAD has no body, whatever its length says.
        let length = header(&head, "content-length").and_then(|text| text.parse().ok());
        let length: usize = if method == "HEAD" { 0 } else { length.unwrap_or(0) };
        while buffer.len() < length {
            if !fill(&mut stream, &mut buffer) {
                return Some(0);
            }
        }
        buffer.drain(..length);
        let now = Instant::now();
        let is_hot = hot_from.is_some_and(|from| now >= from && now < from + HOT_TIME);
        thread::sleep(if is_hot { HOT_PAUSE } else { USUAL_PAUSE });
    }
    Some(0)
}
