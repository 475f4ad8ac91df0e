use super::{
    BodyReader, CompleteResponse, HeadError, RequestHead, parse_request_head, read_some,
    set_socket_options, unparsed_method,
};
use crate::process::Gateway;
use crate::request::{CallerRequest, Reply, error_response, process_request};
use crate::version::CallerLimits;
use agatecourse_types::ResultCode;
use bytes::BytesMut;
use slog::{info, warn};
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};

/// Bytes of pipelined requests that are buffered while a request is in progress.
const MAX_PIPELINED_BYTES: usize = 64 * 1024;
/// Interval at which an idle connection checks its timeouts and whether the node is shutting down.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Time for which idle connections stay open after shutdown began, so that requests in flight are still served.
const IDLE_DRAIN: Duration = Duration::from_millis(2_500);
/// Time without a request after which such a connection is closed from then on; a caller sends its request right after it has connected.
const DRAINED_IDLE_TIME: Duration = Duration::from_millis(300);
/// Longest wait for the next bytes of a request body.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);
/// Longest time to write a response to a caller that does not read.
const WRITE_TIMEOUT: Duration = Duration::from_secs(10);

/// A caller's connection with the bytes that were read but not parsed yet.
struct CallerConnection {
    gateway: Rc<Gateway>,
    read: OwnedReadHalf,
    write: OwnedWriteHalf,
    buffer: BytesMut,
}

impl Drop for CallerConnection {
    fn drop(&mut self) {
        self.gateway.count_caller_connections(-1);
    }
}

/// Counts a request as open until it is dropped, also when its task panics.
struct OpenRequest(Rc<Gateway>);

impl OpenRequest {
    fn new(gateway: &Rc<Gateway>) -> Self {
        gateway.metrics.open_requests.inc();
        Self(Rc::clone(gateway))
    }
}

impl Drop for OpenRequest {
    fn drop(&mut self) {
        self.0.metrics.open_requests.dec();
    }
}

/// Result of waiting for the next request head.
enum HeadReadResult {
    /// A valid head and the time at which its first byte was read.
    Head(Box<RequestHead>, Instant),
    /// The status, the result code and the reason with which the request is rejected.
    Rejected(u16, ResultCode, String),
    /// The connection was closed, failed or reached its idle timeout.
    Closed,
}

/// Serves the requests of a connection in sequence until it closes.
pub(crate) async fn serve_caller(gateway: Rc<Gateway>, stream: TcpStream) {
    if let Err(error) = set_socket_options(&stream) {
        warn!(gateway.log, "setting the options of a caller's socket failed"; "error" => error.to_string());
    }
    let (read, write) = stream.into_split();
    gateway.count_caller_connections(1);
    let mut connection = CallerConnection { gateway, read, write, buffer: BytesMut::new() };
    while connection.serve_next_request().await {}
}

impl CallerConnection {
    /// Serves one request; returns whether the connection stays open.
    async fn serve_next_request(&mut self) -> bool {
        let limits =
            self.gateway.deployment().map(|deployment| deployment.limits).unwrap_or_default();
        let (head, arrived) = match self.read_head(&limits).await {
            HeadReadResult::Head(head, arrived) => (*head, arrived),
            HeadReadResult::Closed => return false,
            HeadReadResult::Rejected(status, code, reason) => {
                let method = unparsed_method(&self.buffer).to_string();
                self.reject(&method, status, code, &reason).await;
                return false;
            }
        };
        let body = match self.read_body(&head, &limits).await {
            Ok(body) => body,
            Err(Some((code, reason))) => {
                self.reject(&head.method, code.http_status(), code, &reason).await;
                return false;
            }
            Err(None) => return false,
        };
        let request = CallerRequest { head, body, arrived };
        let _open_request = OpenRequest::new(&self.gateway);
        self.process_and_respond(&request).await
    }

    /// Processes a request and writes its response; returns whether the connection stays open.
    async fn process_and_respond(&mut self, request: &CallerRequest) -> bool {
        let gateway = Rc::clone(&self.gateway);
        let closes = request.head.closes || gateway.stopping_since().is_some();
        let reply = {
            let disconnected = wait_for_disconnect(&mut self.read, &mut self.buffer);
            let processed = process_request(&gateway, request, &mut self.write, closes);
            tokio::select! {
                biased;
                reply = processed => reply,
                () = disconnected => {
                    info!(gateway.log, "caller left"; "request" => request.id(&gateway.header_names),
                        "elapsed_ms" => request.arrived.elapsed().as_millis() as u64);
                    return false;
                }
            }
        };
        let closes = closes || gateway.stopping_since().is_some();
        match reply {
            Reply::Complete { bytes, .. } => self.write_bytes(&bytes).await && !closes,
            Reply::StreamEnded => !closes,
            Reply::StreamBroken { .. } => false,
            Reply::Error { code, retry_after, reason } => {
                let id = request
                    .id(&gateway.header_names)
                    .map(|id| (gateway.header_names.request_id.as_str(), id));
                let method = &request.head.method;
                let bytes = error_response(method, code, retry_after, &reason, id, closes);
                self.write_bytes(&bytes).await && !closes
            }
        }
    }

    /// Writes bytes to the caller; returns false when that fails or exceeds [`WRITE_TIMEOUT`].
    async fn write_bytes(&mut self, bytes: &[u8]) -> bool {
        matches!(tokio::time::timeout(WRITE_TIMEOUT, self.write.write_all(bytes)).await, Ok(Ok(())))
    }

    /// Writes an error response to a request that was not read completely, and closes the connection.
    async fn reject(&mut self, method: &str, status: u16, code: ResultCode, reason: &str) {
        warn!(self.gateway.log, "request rejected before it was read completely"; "status" => status,
            "code" => code.number(), "reason" => reason);
        let mut bytes = error_response(method, code, None, reason, None, true);
        if status == 431 {
            let response = CompleteResponse::new(431, "Request Header Fields Too Large", &[], &[]);
            bytes = response.with_closes(true).serialize(method);
        }
        // Errors are ignored because the connection closes in any case.
        let _ = self.write_bytes(&bytes).await;
        let _ = self.write.shutdown().await;
    }

    /// Reads the head of the next request within the limits on size, idle time and header time.
    async fn read_head(&mut self, limits: &CallerLimits) -> HeadReadResult {
        let idle_since = Instant::now();
        let mut first_byte = if self.buffer.is_empty() { None } else { Some(idle_since) };
        loop {
            match parse_request_head(&self.buffer) {
                Ok(Some((head, length))) if length <= limits.header_bytes => {
                    let _head_bytes = self.buffer.split_to(length);
                    return HeadReadResult::Head(Box::new(head), first_byte.unwrap_or(idle_since));
                }
                Ok(None) if self.buffer.len() <= limits.header_bytes => {}
                Ok(_) => {
                    return HeadReadResult::Rejected(
                        431,
                        ResultCode::Malformed,
                        "head is too large".to_string(),
                    );
                }
                Err(error @ (HeadError::Malformed { .. } | HeadError::AmbiguousLength)) => {
                    return HeadReadResult::Rejected(400, ResultCode::Malformed, error.to_string());
                }
            }
            let now = Instant::now();
            if first_byte.is_none() && self.has_idle_timed_out(now, idle_since, limits) {
                return HeadReadResult::Closed;
            }
            if first_byte
                .is_some_and(|first| now.saturating_duration_since(first) > limits.header_timeout)
            {
                return HeadReadResult::Rejected(
                    408,
                    ResultCode::BodyTimeout,
                    "head came too slowly".to_string(),
                );
            }
            let read = read_some(&mut self.read, &mut self.buffer);
            match tokio::time::timeout(IDLE_CHECK_INTERVAL, read).await {
                Ok(Ok(0) | Err(_)) => return HeadReadResult::Closed,
                Ok(Ok(_)) => {
                    first_byte.get_or_insert_with(Instant::now);
                }
                Err(_) => {}
            }
        }
    }

    /// Returns whether an idle connection must close, because of its timeout or because the node is shutting down.
    fn has_idle_timed_out(&self, now: Instant, idle_since: Instant, limits: &CallerLimits) -> bool {
        let idle = now.saturating_duration_since(idle_since);
        let is_drained = self
            .gateway
            .stopping_since()
            .is_some_and(|since| now.saturating_duration_since(since) > IDLE_DRAIN);
        (is_drained && idle >= DRAINED_IDLE_TIME)
            || (self.gateway.is_closing() && idle >= IDLE_CHECK_INTERVAL)
            || idle > limits.idle_timeout
    }

    /// Buffers the complete request body, so that a retry can send it again.
    async fn read_body(
        &mut self,
        head: &RequestHead,
        limits: &CallerLimits,
    ) -> Result<Vec<u8>, Option<(ResultCode, String)>> {
        let (mut reader, mut body) = (BodyReader::new(head.framing), Vec::new());
        let too_large = || {
            Some((ResultCode::BodyTooLarge, format!("body exceeds {} bytes", limits.body_bytes)))
        };
        if let super::BodyFraming::Length(length) = head.framing
            && length > limits.body_bytes as u64
        {
            return Err(too_large());
        }
        let expects_continue = head
            .headers
            .get("expect")
            .is_some_and(|value| value.eq_ignore_ascii_case("100-continue"));
        if expects_continue
            && !reader.is_done()
            && !self.write_bytes(b"HTTP/1.1 100 Continue\r\n\r\n").await
        {
            return Err(None);
        }
        while !reader.is_done() {
            let read = reader.read(&mut self.read, &mut self.buffer, &mut body);
            match tokio::time::timeout(BODY_TIMEOUT, read).await {
                Ok(Ok(())) if body.len() > limits.body_bytes => return Err(too_large()),
                Ok(Ok(())) => {}
                Ok(Err(super::BodyError::BadChunk)) => {
                    return Err(Some((
                        ResultCode::Malformed,
                        "body's chunks can't be parsed".to_string(),
                    )));
                }
                Ok(Err(_)) => return Err(None),
                Err(_) => {
                    return Err(Some((
                        ResultCode::BodyTimeout,
                        "body came too slowly".to_string(),
                    )));
                }
            }
        }
        Ok(body)
    }
}

/// Completes when the caller closes or resets its connection; buffers pipelined requests meanwhile.
async fn wait_for_disconnect(read: &mut OwnedReadHalf, buffer: &mut BytesMut) {
    loop {
        if buffer.len() > MAX_PIPELINED_BYTES {
            // A full buffer is not read further, so a disconnect is no longer noticed.
            std::future::pending::<()>().await;
        }
        match read_some(read, buffer).await {
            Ok(0) | Err(_) => return,
            Ok(_) => {}
        }
    }
}
