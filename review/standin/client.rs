//! Stand-in for clients: one request on a connection of its own.

use crate::fleet::{HOST, KEY, Record};
use crate::http::{fill, header, position, read_head};
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// What a client saw of a request.
#[derive(Debug, Clone, Default)]
pub struct Outcome {
    /// Status; 0 when no answer came.
    pub status: u16,
    /// Ids of the events in order.
    pub events: Vec<u64>,
    /// True if the end of the answer's body was seen as its framing says.
    pub is_complete: bool,
}

/// Sends a request and reads its answer until its end, that of the connection or the deadline.
pub fn request(
    record: &Record,
    node: SocketAddr,
    method: &str,
    id: &str,
    path: &str,
    deadline: Duration,
) -> Outcome {
    request_with(record, node, method, id, path, deadline, KEY, "")
}

/// Sends a request with another key and further header lines.
pub fn request_with(
    record: &Record,
    node: SocketAddr,
    method: &str,
    id: &str,
    path: &str,
    deadline: Duration,
    key: &str,
    headers: &str,
) -> Outcome {
    request_with_body(record, node, method, id, path, deadline, key, headers, "work")
}

/// Sends a request with another body as well, if its method is POST.
pub fn request_with_body(
    record: &Record,
    node: SocketAddr,
    method: &str,
    id: &str,
    path: &str,
    deadline: Duration,
    key: &str,
    headers: &str,
    body: &str,
) -> Outcome {
    let outcome =
        exchange(node, method, id, path, deadline, key, headers, body).unwrap_or_default();
    let last = outcome.events.last().copied();
    record.add(&format!(
        "client request {id} {path} by node {node}: status {}, {} events, last {last:?}, {}",
        outcome.status,
        outcome.events.len(),
        if outcome.is_complete { "complete" } else { "not complete" }
    ));
    outcome
}

fn exchange(
    node: SocketAddr,
    method: &str,
    id: &str,
    path: &str,
    deadline: Duration,
    key: &str,
    headers: &str,
    body: &str,
) -> Option<Outcome> {
    let until = Instant::now() + deadline;
    let mut stream = TcpStream::connect_timeout(&node, Duration::from_secs(1)).ok()?;
    let _ = stream.set_nodelay(true);
    let body = if method == "POST" { body } else { "" };
    let length = if method == "POST" {
        format!("Content-Length: {}\r\n", body.len())
    } else {
        String::new()
    };
    let head = format!(
        "{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {id}\r\nDeadline-Ms: {}\r\nAuthorization: Token {key}\r\n{headers}{length}\r\n{body}",
        deadline.as_millis()
    );
    stream.write_all(head.as_bytes()).ok()?;
    stream.set_read_timeout(Some(deadline)).ok()?;
    let mut buffer = Vec::new();
    let head = read_head(&mut stream, &mut buffer)?;
    let mut outcome = Outcome {
        status: head.split(' ').nth(1).and_then(|text| text.parse().ok()).unwrap_or(0),
        ..Outcome::default()
    };
    let is_chunked = header(&head, "transfer-encoding").is_some();
    let length: Option<usize> = header(&head, "content-length").and_then(|text| text.parse().ok());
    let mut body = Vec::new();
    loop {
        if is_chunked {
            outcome.is_complete = take_chunks(&mut buffer, &mut body);
        } else {
            body.append(&mut buffer);
            outcome.is_complete = length.is_some_and(|length| body.len() >= length);
        }
        let left = until.saturating_duration_since(Instant::now());
        if outcome.is_complete || left.is_zero() {
            break;
        }
        stream.set_read_timeout(Some(left)).ok()?;
        if !fill(&mut stream, &mut buffer) {
            // Without a length and chunks, the end of the connection ends the body.
            outcome.is_complete = !is_chunked && length.is_none();
            break;
        }
    }
    let text = String::from_utf8_lossy(&body).into_owned();
    outcome.events =
        text.lines().filter_map(|line| line.strip_prefix("id: ")?.parse().ok()).collect();
    Some(outcome)
}

/// Moves whole chunks to the body; returns whether the last one was seen.
fn take_chunks(buffer: &mut Vec<u8>, body: &mut Vec<u8>) -> bool {
    loop {
        let Some(end) = position(buffer, b"\r\n") else { return false };
        let text = String::from_utf8_lossy(&buffer[..end]).into_owned();
        let Ok(size) = usize::from_str_radix(text.trim(), 16) else { return false };
        if buffer.len() < end + 2 + size + 2 {
            return false;
        }
        body.extend_from_slice(&buffer[end + 2..end + 2 + size]);
        buffer.drain(..end + 2 + size + 2);
        if size == 0 {
            return true;
        }
    }
}
