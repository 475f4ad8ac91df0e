//! Stand-in for a replica, run as a process of its own. It registers through the process that starts it, and takes commands on its
//! standard input: `unframed on`, `unframed off`, `bad streams`, `bad route PREFIX`, `exit`.

use crate::http::{Message, read_message};
use std::io::{BufRead, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// One in so many streams has neither a length nor chunks while `unframed` is on.
const UNFRAMED_EVERY: u64 = 20;
/// One in so many responses of a bad version fails.
const BAD_EVERY: u64 = 2;
/// Events after which a bad version breaks a stream off.
const EVENTS_BEFORE_BREAK: u64 = 3;
/// Body of a request that crashes each server that begins to run it.
pub const CRASHING_BODY: &str = "crash";
/// Events after which such a request crashes its server.
const EVENTS_BEFORE_CRASH: u64 = 3;
/// Requests that wait for a slot.
const QUEUE: usize = 30;
/// Time that a plain request takes.
const PLAIN_WORK: Duration = Duration::from_millis(20);

struct Server {
    id: String,
    slots: usize,
    event_pause: Duration,
    /// Running and waiting requests.
    load: Mutex<(usize, usize)>,
    freed: Condvar,
    is_unframed: AtomicBool,
    has_bad_streams: AtomicBool,
    bad_route: Mutex<Option<String>>,
    streams: AtomicU64,
    bad_candidates: AtomicU64,
}

pub fn run(args: &[String]) {
    let id = args[0].clone();
    let slots = args[1].parse().expect("slots are a number");
    let event_pause = Duration::from_millis(args[2].parse().expect("the pause is a number"));
    let listener = TcpListener::bind("127.0.0.1:0").expect("loopback has a free port");
    println!("{}", listener.local_addr().expect("a bound socket has an address"));
    let server = Arc::new(Server {
        id,
        slots,
        event_pause,
        load: Mutex::new((0, 0)),
        freed: Condvar::new(),
        is_unframed: AtomicBool::new(false),
        has_bad_streams: AtomicBool::new(false),
        bad_route: Mutex::new(None),
        // Servers begin to count at different places.
        streams: AtomicU64::new(u64::from(std::process::id()) % UNFRAMED_EVERY),
        bad_candidates: AtomicU64::new(0),
    });
    let serving = Arc::clone(&server);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let server = Arc::clone(&serving);
            thread::spawn(move || server.serve(stream));
        }
    });
    for line in std::io::stdin().lock().lines() {
        let Ok(line) = line else { break };
        match line.split(' ').collect::<Vec<_>>()[..] {
            ["unframed", state] => server.is_unframed.store(state == "on", Ordering::Relaxed),
            ["bad", "streams"] => server.has_bad_streams.store(true, Ordering::Relaxed),
            ["bad", "route", prefix] => {
                *server.bad_route.lock().expect("not poisoned") = Some(prefix.to_string());
            }
            _ => break,
        }
    }
    log(&server.id, "-", "-", "process ends");
    std::process::exit(0);
}

/// Writes one line of the record: Unix milliseconds, server, request, path, what happened.
fn log(server: &str, request: &str, path: &str, what: &str) {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis();
    // The process that reads the lines may have ended.
    let _ = writeln!(std::io::stdout(), "{now} server {server} request {request} {path} {what}");
}

impl Server {
    fn serve(&self, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut buffer = Vec::new();
        while let Some(request) = read_message(&mut stream, &mut buffer) {
            if !self.respond(&mut stream, &request) {
                return;
            }
        }
    }

    /// Serves a request; returns whether the connection stays open.
    fn respond(&self, stream: &mut TcpStream, request: &Message) -> bool {
        let path = request.start_line.split(' ').nth(1).unwrap_or_default().to_string();
        let id = request.header("request-id").unwrap_or_default().to_string();
        if path == "/healthz" {
            return self.write_plain(stream, "200 OK", &id, "", "");
        }
        if id.is_empty() {
            return self.write_plain(stream, "400 Bad Request", &id, "Not-Executed: 1\r\n", "");
        }
        if request.header("expect-instance").is_some_and(|expected| expected != self.id) {
            return self.write_plain(
                stream,
                "421 Misdirected Request",
                &id,
                "Not-Executed: 1\r\n",
                "",
            );
        }
        if !self.take_slot() {
            log(&self.id, &id, &path, "rejected, queue full");
            return self.write_plain(
                stream,
                "503 Service Unavailable",
                &id,
                "Not-Executed: 1\r\n",
                "",
            );
        }
        log(&self.id, &id, &path, "runs");
        let deadline_ms = request.header("deadline-ms").and_then(|text| text.parse::<u64>().ok());
        let until = Instant::now() + Duration::from_millis(deadline_ms.unwrap_or(15_000));
        let stays_open = match path.rsplit('/').next().and_then(|text| text.parse::<u64>().ok()) {
            Some(events) => {
                let after = request.header("last-event-id").and_then(|text| text.parse().ok());
                let crashes = request.body == CRASHING_BODY.as_bytes();
                self.write_stream(stream, &id, &path, (after.unwrap_or(0), events), until, crashes)
            }
            None => {
                thread::sleep(PLAIN_WORK);
                let is_bad = {
                    let route = self.bad_route.lock().expect("not poisoned");
                    route.as_ref().is_some_and(|prefix| path.starts_with(prefix))
                };
                log(&self.id, &id, &path, if is_bad { "answers 500" } else { "answers 200" });
                let status = if is_bad { "500 Internal Server Error" } else { "200 OK" };
                let is_head = request.start_line.starts_with("HEAD ");
                let body = if is_head { String::new() } else { format!("done {id}") };
                self.write_plain(stream, status, &id, "", &body)
            }
        };
        self.free_slot();
        stays_open
    }

    fn take_slot(&self) -> bool {
        let mut load = self.load.lock().expect("not poisoned");
        if load.0 >= self.slots {
            if load.1 >= QUEUE {
                return false;
            }
            load.1 += 1;
            while load.0 >= self.slots {
                load = self.freed.wait(load).expect("not poisoned");
            }
            load.1 -= 1;
        }
        load.0 += 1;
        true
    }

    fn free_slot(&self) {
        self.load.lock().expect("not poisoned").0 -= 1;
        self.freed.notify_one();
    }

    fn write_plain(
        &self,
        stream: &mut TcpStream,
        status: &str,
        id: &str,
        headers: &str,
        body: &str,
    ) -> bool {
        let text = format!(
            "HTTP/1.1 {status}\r\nRequest-Id: {id}\r\nInstance-Id: {}\r\nResponse-Seal: seal-{id}-{}\r\n{headers}\
             Content-Length: {}\r\n\r\n{body}",
            self.id,
            self.id,
            body.len()
        );
        stream.write_all(text.as_bytes()).is_ok()
    }

    /// Writes the events after `after` up to `last`, one every `event_pause`; returns whether the connection stays open.
    fn write_stream(
        &self,
        stream: &mut TcpStream,
        id: &str,
        path: &str,
        (after, last): (u64, u64),
        until: Instant,
        crashes: bool,
    ) -> bool {
        let number = self.streams.fetch_add(1, Ordering::Relaxed);
        let is_unframed =
            self.is_unframed.load(Ordering::Relaxed) && number.is_multiple_of(UNFRAMED_EVERY);
        let breaks = self.has_bad_streams.load(Ordering::Relaxed)
            && self.bad_candidates.fetch_add(1, Ordering::Relaxed).is_multiple_of(BAD_EVERY);
        let framing =
            if is_unframed { "Connection: close\r\n" } else { "Transfer-Encoding: chunked\r\n" };
        if is_unframed {
            log(&self.id, id, path, "answers without length and chunks");
        }
        let head = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nRequest-Id: {id}\r\nResponse-Seal: seal-{id}-{}\r\n{framing}\r\n",
            self.id
        );
        let mut bytes = head.into_bytes();
        for event in after + 1..=last {
            thread::sleep(self.event_pause);
            if Instant::now() >= until {
                log(&self.id, id, path, "stops at the deadline");
                return false;
            }
            let text = format!("id: {event}\ndata: {id} {event} of {last}\n\n");
            if is_unframed {
                bytes.extend_from_slice(text.as_bytes());
            } else {
                bytes.extend_from_slice(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes());
            }
            if stream.write_all(&bytes).is_err() || has_closed(stream) {
                log(&self.id, id, path, &format!("caller left after event {event} of {last}"));
                return false;
            }
            bytes.clear();
            if crashes && event == after + EVENTS_BEFORE_CRASH {
                log(
                    &self.id,
                    id,
                    path,
                    &format!("crashes the server after event {event} of {last}"),
                );
                std::process::exit(1);
            }
            if breaks && event == after + EVENTS_BEFORE_BREAK {
                log(&self.id, id, path, &format!("breaks off after event {event} of {last}"));
                return false;
            }
            if event == last {
                log(&self.id, id, path, &format!("sent all {last} events"));
            }
        }
        if is_unframed {
            return false;
        }
        stream.write_all(b"0\r\n\r\n").is_ok()
    }
}

/// Returns whether the other end has closed the connection.
fn has_closed(stream: &TcpStream) -> bool {
    let mut byte = [0_u8; 1];
    let _ = stream.set_nonblocking(true);
    let peeked = stream.peek(&mut byte);
    let _ = stream.set_nonblocking(false);
    matches!(peeked, Ok(0))
}
