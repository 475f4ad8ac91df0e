//! Case 9: a planned stop cuts requests that were read and passed on, while callers still send long bodies.
//!
//! Arguments: a temporary folder and the path of the record. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.

mod lab;

use lab::*;
use std::collections::HashSet;
use std::io::Write;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

const NODES: usize = 6;
/// Clients of each node, each with a kept connection.
const CLIENTS: usize = 70;
/// Pieces of a body, their size and the pause between two of them: a body of 24 KB in 3 s.
const PIECES: usize = 24;
const PIECE_BYTES: usize = 1024;
const PIECE_PERIOD: Duration = Duration::from_millis(125);
/// Time over which the clients begin to send, from before the stop.
const BEGIN_BEFORE_STOP: Duration = Duration::from_millis(200);
const BEGIN_SPREAD: Duration = Duration::from_millis(2_300);
/// Time that the replica works on a request.
const WORK: Duration = Duration::from_millis(30);
const DEADLINE_MS: u32 = 12_000;

/// How a request ended for its client.
enum Outcome {
    /// A complete answer with this status.
    Answered(u16),
    /// The connection ended before all of the body was sent.
    CutWhileSending,
    /// The connection ended after the whole request was sent, without a complete answer.
    CutAfterSending(Duration),
}

fn run_client(address: std::net::SocketAddr, id: &str, begin: Instant) -> Outcome {
    let Ok(stream) = std::net::TcpStream::connect(address) else { return Outcome::CutWhileSending };
    let _ = stream.set_read_timeout(Some(Duration::from_secs(15)));
    let mut connection = Connection::new(stream);
    // The first request makes the connection a kept one.
    let first = request("POST", "/order/x", &format!("f{}", &id[1..]), 2_000, "", b"{}");
    if connection.stream.write_all(&first).is_err() || !matches!(connection.read_message(), Ok(Some(_))) {
        return Outcome::CutWhileSending;
    }
    std::thread::sleep(begin.saturating_duration_since(Instant::now()));
    let body = vec![b'p'; PIECES * PIECE_BYTES];
    let bytes = request("POST", "/flow/x", id, DEADLINE_MS, "Model: m\r\nToken-Count: 3720,6\r\n", &body);
    let (head, body) = bytes.split_at(bytes.len() - body.len());
    if connection.stream.write_all(head).is_err() {
        return Outcome::CutWhileSending;
    }
    for piece in body.chunks(PIECE_BYTES) {
        std::thread::sleep(PIECE_PERIOD);
        if connection.stream.write_all(piece).is_err() {
            return Outcome::CutWhileSending;
        }
    }
    let sent = Instant::now();
    match connection.read_message() {
        Ok(Some(answer)) if answer.is_whole => Outcome::Answered(answer.status()),
        _ => Outcome::CutAfterSending(sent.elapsed()),
    }
}

fn main() {
    let mut arguments = std::env::args().skip(1);
    let (folder, record_path) = (arguments.next().expect("folder"), arguments.next().expect("record"));
    limit_run_time(110);
    let (record, has_stops) = (Record::create(&record_path), has_trouble());
    let store = Store::start(loopback_ip(0));
    store.put("op", "config", &config(1, 12_000));
    let desk = start_replica(loopback_ip(1), "i-desk", |connection, request| {
        let id = request.header("request-id").unwrap_or("").to_string();
        let reply = answer_head(200, &id) + "Content-Length: 2\r\n\r\nok";
        connection.stream.write_all(reply.as_bytes())?;
        Ok(true)
    });
    register(&store, "i-desk", "desk", desk, 60, "ready");
    // Ids of the requests that a replica has read whole, and of those that it has answered.
    let arrived: Arc<Mutex<HashSet<String>>> = Arc::default();
    for number in 0..3 {
        let (name, arrived, record) = (format!("i-model-{number}"), Arc::clone(&arrived), record.clone());
        let address = start_replica(loopback_ip(2 + number), &name, move |connection, request| {
            let id = request.header("request-id").unwrap_or("").to_string();
            arrived.lock().unwrap().insert(id.clone());
            std::thread::sleep(WORK);
            let events = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";
            let reply = answer_head(200, &id)
                + &format!("Content-Type: text/event-stream\r\nContent-Length: {}\r\n\r\n{events}", events.len());
            let written = connection.stream.write_all(reply.as_bytes());
            record.line(&format!("replica: request {id} ran, answer written: {}", written.is_ok()));
            written.map(|()| true)
        });
        register(&store, &name, "model", address, 20, "ready");
    }
    let ips: Vec<_> = (0..NODES as u8).map(|number| loopback_ip(10 + number)).collect();
    let mut nodes: Vec<Node> =
        (0..NODES).map(|index| Node::new(&folder, index, ips[index], &ips, store.address, "")).collect();
    nodes.iter_mut().for_each(Node::start);
    nodes.iter().for_each(Node::wait_ready);
    std::thread::sleep(SETTLE_TIME);
    let mut lost = 0;
    for (index, node) in nodes.iter_mut().enumerate() {
        let address = node.callers();
        let stop_at = Instant::now() + Duration::from_secs(1);
        let clients: Vec<_> = (0..CLIENTS)
            .map(|client| {
                let id = format!("a{index:03x}{client:012x}");
                let begin = stop_at - BEGIN_BEFORE_STOP + BEGIN_SPREAD * client as u32 / CLIENTS as u32;
                std::thread::spawn(move || (run_client(address, &id, begin), id))
            })
            .collect();
        std::thread::sleep(stop_at.saturating_duration_since(Instant::now()));
        let stopped_at = Instant::now();
        if has_stops {
            node.signal(SIGTERM);
            record.line(&format!("SIGTERM sent to node {index}"));
            while node.has_exited().is_none() && stopped_at.elapsed() < Duration::from_secs(8) {
                std::thread::sleep(Duration::from_millis(5));
            }
            record.line(&format!("node {index} ended {} ms after SIGTERM", stopped_at.elapsed().as_millis()));
        }
        let (mut answered, mut cut_early) = (0, 0);
        for client in clients {
            let (outcome, id) = client.join().expect("a client does not panic");
            let was_passed_on = arrived.lock().unwrap().contains(&id);
            match outcome {
                Outcome::Answered(status) => {
                    answered += 1;
                    if status != 200 {
                        record.line(&format!("client: request {id} got status {status}"));
                    }
                }
                Outcome::CutWhileSending => cut_early += 1,
                Outcome::CutAfterSending(after) => {
                    let is_lost = was_passed_on || after > Duration::from_millis(200);
                    lost += usize::from(is_lost);
                    record.line(&format!(
                        "client: request {id} sent whole, connection ended {} ms later without an answer, passed on: {was_passed_on}{}",
                        after.as_millis(),
                        if is_lost { ", LOST" } else { "" }
                    ));
                }
            }
        }
        record.line(&format!("node {index}: {answered} of {CLIENTS} answered, {cut_early} cut while they were sent"));
        // The platform starts the process again.
        node.stop();
        node.start();
        node.wait_ready();
    }
    nodes.iter_mut().for_each(Node::stop);
    record.line(&format!("LOST: {lost} requests read whole and passed on ended without an answer"));
    println!("{lost} requests were read whole and passed on and got no answer");
    quit(i32::from(lost > 0));
}
