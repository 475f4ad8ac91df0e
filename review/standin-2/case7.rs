//! Case 7: a part of a prompt that crashes each replica that begins to write an answer on it is never refused.
//!
//! Arguments: a temporary folder and the path of the record. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
//! `CRASH_AFTER` sets the number of events after which the replica crashes (2), for trials.

mod lab;

use lab::*;
use std::io::{ErrorKind, Write};
use std::net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

const NODES: usize = 2;
const REPLICAS: usize = 9;
const SLOTS: u32 = 5;
/// Sound clients, each of which sends one stream after the other.
const CLIENTS: usize = 16;
/// Events of a stream and the pause between two of them.
const EVENTS: usize = 40;
const EVENT_PERIOD: Duration = Duration::from_millis(25);
/// Pause between two requests with the part, counted from the end of the one before.
const PART_PERIOD: Duration = Duration::from_millis(1_500);
/// Time after which a crashed replica is back.
const DOWN_TIME: Duration = Duration::from_secs(3);
/// `stableWindowMs`.
const STABLE_WINDOW: Duration = Duration::from_secs(4);
/// Crashes after which the rule begins to count, and requests that it allows from then on.
const CRASHES: usize = 5;
const ALLOWED: usize = 3;
const PLAY_TIME: Duration = Duration::from_secs(60);
const DEADLY_PART: &str = "dead0001";

/// What the replicas have seen of requests with the part.
#[derive(Default)]
struct Seen {
    arrivals: Vec<Instant>,
    crashes: Vec<Instant>,
    /// Streams of other clients that the crashes have cut.
    cut: usize,
}

struct Replica {
    id: String,
    address: SocketAddr,
    store: Store,
    is_up: AtomicBool,
    connections: Mutex<Vec<TcpStream>>,
    running: AtomicUsize,
    born: AtomicU64,
}

impl Replica {
    fn register(&self) {
        let born = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |time| time.as_millis() as u64);
        self.born.store(born, Ordering::Relaxed);
        self.store.put(
            "servers",
            &self.id,
            &format!(
                "{{\"service\":\"model\",\"address\":\"{}\",\"zone\":\"a\",\"version\":\"v1\",\"slots\":{SLOTS},\
                 \"state\":\"ready\",\"coldRemainingMs\":0,\"sequence\":1,\"born\":{born}}}",
                self.address
            ),
        );
    }

    /// Ends the replica as a crash of its process does: all connections close and nobody listens for a while.
    fn crash(self: &Arc<Self>) {
        self.is_up.store(false, Ordering::SeqCst);
        for stream in self.connections.lock().unwrap().drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
        let replica = Arc::clone(self);
        std::thread::spawn(move || {
            std::thread::sleep(DOWN_TIME);
            replica.listen();
            replica.register();
        });
    }

    fn listen(self: &Arc<Self>) {
        let listener = TcpListener::bind(self.address).expect("the address of the replica is free");
        listener.set_nonblocking(true).expect("a socket may be non-blocking");
        self.is_up.store(true, Ordering::SeqCst);
        let replica = Arc::clone(self);
        std::thread::spawn(move || {
            while replica.is_up.load(Ordering::SeqCst) {
                match listener.accept() {
                    Ok((stream, _)) => {
                        let _ = stream.set_nonblocking(false);
                        if let Ok(copy) = stream.try_clone() {
                            replica.connections.lock().unwrap().push(copy);
                        }
                        let replica = Arc::clone(&replica);
                        std::thread::spawn(move || {
                            let mut connection = Connection::new(stream);
                            while let Ok(Some(request)) = connection.read_message() {
                                if replica.answer(&mut connection, &request).is_err() {
                                    return;
                                }
                            }
                        });
                    }
                    Err(error) if error.kind() == ErrorKind::WouldBlock => {
                        std::thread::sleep(Duration::from_millis(1));
                    }
                    Err(_) => std::thread::sleep(Duration::from_millis(1)),
                }
            }
        });
    }

    fn answer(self: &Arc<Self>, connection: &mut Connection, request: &Message) -> std::io::Result<()> {
        let id = request.header("request-id").unwrap_or("").to_string();
        if request.header("expect-instance").is_some_and(|expected| expected != self.id) {
            let reply = format!("HTTP/1.1 421 X\r\nRequest-Id: {id}\r\nContent-Length: 0\r\n\r\n");
            return connection.stream.write_all(reply.as_bytes());
        }
        let is_deadly = request.header("prefix-hash").is_some_and(|parts| parts.contains(DEADLY_PART));
        if is_deadly {
            SEEN.lock().unwrap().arrivals.push(Instant::now());
            RECORD.lock().unwrap().as_ref().unwrap().line(&format!("replica {}: request {id} with the part arrives", self.id));
        }
        // Slots are not enforced: the nodes keep to them, and a request beyond them only runs beside the others.
        self.running.fetch_add(1, Ordering::Relaxed);
        let result = self.stream(connection, &id, is_deadly);
        self.running.fetch_sub(1, Ordering::Relaxed);
        if result.is_err() && !is_deadly && !self.is_up.load(Ordering::SeqCst) {
            SEEN.lock().unwrap().cut += 1;
        }
        result
    }

    fn stream(self: &Arc<Self>, connection: &mut Connection, id: &str, is_deadly: bool) -> std::io::Result<()> {
        let crash_after = std::env::var("CRASH_AFTER").ok().and_then(|text| text.parse().ok()).unwrap_or(2);
        std::thread::sleep(EVENT_PERIOD * 2);
        let head = answer_head(200, id) + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
        connection.stream.write_all(head.as_bytes())?;
        for number in 1..=EVENTS {
            if is_deadly && has_trouble() && number > crash_after {
                let mut seen = SEEN.lock().unwrap();
                seen.crashes.push(Instant::now());
                RECORD.lock().unwrap().as_ref().unwrap().line(&format!(
                    "replica {}: crashes after {crash_after} events of request {id}, {} other requests on it, crash {}",
                    self.id,
                    self.running.load(Ordering::Relaxed).saturating_sub(1),
                    seen.crashes.len()
                ));
                drop(seen);
                self.crash();
                return Err(ErrorKind::ConnectionReset.into());
            }
            let event = format!("id: {number}\ndata: text\n\n");
            connection.stream.write_all(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes())?;
            std::thread::sleep(EVENT_PERIOD);
        }
        connection.stream.write_all(b"0\r\n\r\n")
    }
}

static SEEN: Mutex<Seen> = Mutex::new(Seen { arrivals: Vec::new(), crashes: Vec::new(), cut: 0 });
static RECORD: Mutex<Option<Record>> = Mutex::new(None);

/// Sends a stream request; returns its status and whether the answer was whole.
fn call(address: SocketAddr, id: &str, parts: &str) -> (u16, bool) {
    let Ok(stream) = TcpStream::connect_timeout(&address, Duration::from_secs(1)) else { return (0, false) };
    let _ = stream.set_read_timeout(Some(Duration::from_secs(9)));
    let mut connection = Connection::new(stream);
    let more = format!("Model: m\r\nToken-Count: 1060,120\r\nPrefix-Hash: {parts}\r\n");
    let body = format!("{{\"prompt\":\"{id}\"}}");
    if connection.stream.write_all(&request("POST", "/flow/x", id, 8_000, &more, body.as_bytes())).is_err() {
        return (0, false);
    }
    match connection.read_message() {
        Ok(Some(answer)) => (answer.status(), answer.is_whole),
        _ => (0, false),
    }
}

fn main() {
    let mut arguments = std::env::args().skip(1);
    let (folder, record_path) = (arguments.next().expect("folder"), arguments.next().expect("record"));
    limit_run_time(110);
    let record = Record::create(&record_path);
    *RECORD.lock().unwrap() = Some(record.clone());
    let store = Store::start(loopback_ip(0));
    store.put("op", "config", &config(1, 8_000));
    for number in 0..REPLICAS as u8 {
        let ip: Ipv4Addr = loopback_ip(20 + number);
        let replica = Arc::new(Replica {
            id: format!("i-{number}"),
            address: SocketAddr::new(ip.into(), 18_300),
            store: store.clone(),
            is_up: AtomicBool::new(false),
            connections: Mutex::default(),
            running: AtomicUsize::new(0),
            born: AtomicU64::new(0),
        });
        replica.listen();
        replica.register();
    }
    let ips: Vec<Ipv4Addr> = (0..NODES as u8).map(|number| loopback_ip(10 + number)).collect();
    let mut nodes: Vec<Node> =
        (0..NODES).map(|index| Node::new(&folder, index, ips[index], &ips, store.address, "")).collect();
    nodes.iter_mut().for_each(Node::start);
    nodes.iter().for_each(Node::wait_ready);
    std::thread::sleep(SETTLE_TIME);
    let addresses: Vec<SocketAddr> = nodes.iter().map(Node::callers).collect();
    let started = Instant::now();
    let sound: Vec<_> = (0..CLIENTS)
        .map(|client| {
            let addresses = addresses.clone();
            std::thread::spawn(move || {
                let (mut whole, mut broken, mut refused, mut number) = (0, 0, 0, 0_usize);
                while started.elapsed() < PLAY_TIME {
                    number += 1;
                    let id = format!("50{client:04x}{number:010x}");
                    let parts = format!("aa11bb22:60,{id}:1000");
                    match call(addresses[(client + number) % NODES], &id, &parts) {
                        (200, true) => whole += 1,
                        (429 | 503, _) => refused += 1,
                        _ => broken += 1,
                    }
                }
                (whole, broken, refused)
            })
        })
        .collect();
    let mut number = 0_usize;
    while started.elapsed() < PLAY_TIME {
        number += 1;
        let id = format!("de{number:014x}");
        // No two requests with the part are alike; they share the caller and the first part with the sound ones.
        let parts = format!("aa11bb22:60,{DEADLY_PART}:200,{id}:800");
        let (status, whole) = call(addresses[number % NODES], &id, &parts);
        record.line(&format!("client: request {id} with the part got status {status}, whole: {whole}"));
        std::thread::sleep(PART_PERIOD);
    }
    let (mut whole, mut broken, mut refused) = (0, 0, 0);
    for client in sound {
        let (client_whole, client_broken, client_refused) = client.join().unwrap_or((0, 0, 0));
        whole += client_whole;
        broken += client_broken;
        refused += client_refused;
    }
    nodes.iter_mut().for_each(Node::stop);
    let seen = SEEN.lock().unwrap();
    let late = seen.crashes.get(CRASHES - 1).map_or(0, |fifth| {
        seen.arrivals.iter().filter(|at| at.saturating_duration_since(*fifth) > STABLE_WINDOW).count()
    });
    let text = format!(
        "{} requests with the part reached replicas, {late} of them later than 4 s after the fifth crash (allowed: {ALLOWED}); \
         {} crashes cut {} streams of others; sound streams: {whole} whole, {broken} broken, {refused} refused",
        seen.arrivals.len(),
        seen.crashes.len(),
        seen.cut
    );
    record.line(&text);
    println!("{text}");
    quit(i32::from(late > ALLOWED));
}
