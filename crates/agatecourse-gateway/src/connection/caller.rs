use super::{
    BodyReader, CompleteResponse, Disconnect, PeerWatch, RequestHead, WATCH_INTERVAL,
    parse_request_head, read_some, set_socket_options, unparsed_method, wait_until_lost,
    write_to_caller,
};
use crate::budget::{BudgetFull, ByteUse, CallerSlot, Eviction, HeldBytes, RequestBody};
use crate::process::Gateway;
use crate::request::{CallerRequest, Reply, check_head, error_response, process_request};
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
/// Time for which the rest of a rejected request is read and discarded, so that closing the connection does not reset it before the caller
/// has read the response.
const LINGER_TIME: Duration = Duration::from_secs(1);
/// `Retry-After` of a request that the memory has no room for; bodies that have stalled are given up after a second.
const MEMORY_RETRY: Duration = Duration::from_secs(1);
/// Bytes that a request needs besides its head and its body: its task, and the buffers of its connection to a target.
const REQUEST_BYTES: usize = 16 * 1024;
/// Size of a parsed head in multiples of its bytes; each line is kept in allocations of its own.
const PARSED_HEAD_FACTOR: usize = 3;
/// Size from which on route and key are checked before the rest of the body is read.
const EARLY_CHECK_BYTES: usize = 64 * 1024;

/// A caller's connection with the bytes that were read but not parsed yet.
struct CallerConnection {
    gateway: Rc<Gateway>,
    read: OwnedReadHalf,
    write: OwnedWriteHalf,
    buffer: BytesMut,
    slot: Rc<CallerSlot>,
    /// Bytes that are held for `buffer`.
    buffer_held: HeldBytes,
    /// True once the connection had a request with a known route and a valid key.
    is_known: bool,
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
pub(crate) async fn serve_caller(gateway: Rc<Gateway>, stream: TcpStream, slot: Rc<CallerSlot>) {
    if let Err(error) = set_socket_options(&stream) {
        warn!(gateway.log, "setting the options of a caller's socket failed"; "error" => error.to_string());
    }
    let (read, write) = stream.into_split();
    gateway.count_caller_connections(1);
    let buffer_held = slot.hold();
    let buffer = BytesMut::new();
    let mut connection =
        CallerConnection { gateway, read, write, buffer, slot, buffer_held, is_known: false };
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
                let retry_after = (status == 503).then_some(MEMORY_RETRY);
                self.reject(&method, status, code, retry_after, &reason).await;
                return false;
            }
        };
        let request_bytes = self.slot.hold();
        let body = match self.read_body(&head, &limits, &request_bytes).await {
            Ok(body) => body,
            Err(Some(Reply::Error { code, retry_after, reason })) => {
                self.reject(&head.method, code.http_status(), code, retry_after, &reason).await;
                return false;
            }
            Err(_) => return false,
        };
        self.slot.begin_work();
        let body = Rc::new(body);
        let request = CallerRequest { head, body, held: request_bytes, arrived };
        let _open_request = OpenRequest::new(&self.gateway);
        self.process_and_respond(&request).await
    }

    /// Processes a request and writes its response; returns whether the connection stays open.
    async fn process_and_respond(&mut self, request: &CallerRequest) -> bool {
        let gateway = Rc::clone(&self.gateway);
        let closes = request.head.closes || gateway.stopping_since().is_some();
        let reply = {
            let disconnected =
                wait_for_disconnect(&mut self.read, &mut self.buffer, &self.buffer_held);
            let processed = process_request(&gateway, request, &mut self.write, closes);
            // The close comes first: a node that is short of processor time may read a request after its caller has left, or get its grant
            // together with the close.
            tokio::select! {
                biased;
                disconnect = disconnected => {
                    info!(gateway.log, "caller left"; "request" => request.id(&gateway.header_names),
                        "elapsed_ms" => request.arrived.elapsed().as_millis() as u64, "how" => format!("{disconnect:?}"));
                    return false;
                }
                reply = processed => reply,
            }
        };
        let closes = closes || gateway.stopping_since().is_some();
        let is_unknown = matches!(
            reply,
            Reply::Error { code: ResultCode::Unauthorized | ResultCode::UnknownRoute, .. }
        );
        self.is_known |= !is_unknown;
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

    /// Writes bytes to the caller; returns false when that fails or the caller is lost.
    async fn write_bytes(&mut self, bytes: &[u8]) -> bool {
        let written = write_to_caller(&mut self.write, bytes, &self.slot);
        tokio::select! {
            biased;
            written = written => written.is_ok(),
            () = wait_until_lost(self.read.as_ref()) => false,
        }
    }

    /// Writes an error response to a request that was not read completely, and closes the connection.
    async fn reject(
        &mut self,
        method: &str,
        status: u16,
        code: ResultCode,
        retry_after: Option<Duration>,
        reason: &str,
    ) {
        let code_text = code.number().to_string();
        self.gateway.metrics.requests.with_label_values(&["", code_text.as_str()]).inc();
        warn!(self.gateway.log, "request rejected before it was read completely"; "status" => status,
            "code" => code.number(), "reason" => reason);
        let mut bytes = error_response(method, code, retry_after, reason, None, true);
        if status == 431 {
            let response = CompleteResponse::new(431, "Request Header Fields Too Large", &[], &[]);
            bytes = response.with_closes(true).serialize(method);
        }
        // Errors are ignored because the connection closes in any case.
        let _ = self.write_bytes(&bytes).await;
        let _ = self.write.shutdown().await;
        // A caller that was given up so that others can use its socket is closed at once.
        if self.slot.eviction() != Some(Eviction::Socket) {
            let _ = tokio::time::timeout(LINGER_TIME, self.discard_rest()).await;
        }
    }

    /// Reads and discards what the caller still sends, until it closes the connection or its socket is needed for others.
    async fn discard_rest(&mut self) {
        self.slot.wait_for_request(Instant::now(), false);
        loop {
            self.buffer.clear();
            let can_be_given_up = self.slot.eviction().is_none();
            let read = tokio::select! {
                biased;
                _ = self.slot.evicted(), if can_be_given_up => return,
                read = read_some(&mut self.read, &mut self.buffer) => read,
            };
            if matches!(read, Ok(0) | Err(_)) {
                return;
            }
        }
    }

    /// Accounts for the buffer of the connection, which is released while it is empty.
    fn hold_buffer(&mut self) -> Result<(), BudgetFull> {
        if self.buffer.is_empty() {
            self.buffer = BytesMut::new();
        }
        let byte_use = ByteUse::Request { total_bytes: self.buffer.len() };
        self.buffer_held.resize(self.buffer.capacity(), byte_use)
    }

    /// Reads the head of the next request within the limits on size, idle time and header time.
    async fn read_head(&mut self, limits: &CallerLimits) -> HeadReadResult {
        let idle_since = Instant::now();
        self.slot.wait_for_request(idle_since, self.is_known);
        let mut first_byte = if self.buffer.is_empty() { None } else { Some(idle_since) };
        let mut has_new_bytes = true;
        loop {
            // An incomplete head is parsed again only after more of it has arrived.
            let parsed = if has_new_bytes { parse_request_head(&self.buffer) } else { Ok(None) };
            match parsed {
                Ok(Some((head, length))) if length <= limits.header_bytes => {
                    let _head_bytes = self.buffer.split_to(length);
                    return HeadReadResult::Head(Box::new(head), first_byte.unwrap_or(idle_since));
                }
                Ok(None) if self.buffer.len() <= limits.header_bytes => {
                    if let Err(error) = self.hold_buffer() {
                        return HeadReadResult::Rejected(503, ResultCode::Shed, error.to_string());
                    }
                }
                Ok(_) => {
                    return HeadReadResult::Rejected(
                        431,
                        ResultCode::Malformed,
                        "head is too large".to_string(),
                    );
                }
                Err(error) => {
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
            let read = read_when_ready(&mut self.read, &mut self.buffer);
            let read = tokio::select! {
                biased;
                _ = self.slot.evicted() => return HeadReadResult::Closed,
                read = tokio::time::timeout(IDLE_CHECK_INTERVAL, read) => read,
            };
            match read {
                Ok(Ok(0) | Err(_)) => return HeadReadResult::Closed,
                Ok(Ok(_)) => {
                    first_byte.get_or_insert_with(Instant::now);
                    has_new_bytes = true;
                }
                Err(_) => has_new_bytes = false,
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

    /// Buffers the complete request body, so that a retry can send it again. Returns the refusal of a request that is not read completely, or
    /// `None` if the connection ended.
    async fn read_body(
        &mut self,
        head: &RequestHead,
        limits: &CallerLimits,
        request_bytes: &HeldBytes,
    ) -> Result<RequestBody, Option<Reply>> {
        let (mut reader, mut body) = (BodyReader::new(head.framing), RequestBody::new());
        let too_large = || {
            let reason = format!("body exceeds {} bytes", limits.body_bytes);
            Some(Reply::error(ResultCode::BodyTooLarge, reason))
        };
        let mut is_checked = false;
        if let super::BodyFraming::Length(length) = head.framing {
            if length > limits.body_bytes as u64 {
                return Err(too_large());
            }
            if length > EARLY_CHECK_BYTES as u64 {
                check_head(&self.gateway, head).map_err(Some)?;
                is_checked = true;
            }
        }
        let fixed_bytes = REQUEST_BYTES + PARSED_HEAD_FACTOR * head.length;
        let byte_use = |total_bytes| ByteUse::Request { total_bytes };
        request_bytes
            .resize(fixed_bytes, byte_use(0))
            .map_err(|error| Some(memory_refusal(error)))?;
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
        let mut piece = Vec::new();
        while !reader.is_done() {
            self.slot.advance_body(Instant::now());
            let read = reader.read(&mut self.read, &mut self.buffer, &mut piece);
            let read = tokio::select! {
                biased;
                eviction = self.slot.evicted() => {
                    return Err((eviction == Eviction::Memory).then(|| memory_refusal(BudgetFull)));
                }
                read = tokio::time::timeout(BODY_TIMEOUT, read) => read,
            };
            match read {
                Ok(Ok(())) if body.len() + piece.len() > limits.body_bytes => {
                    return Err(too_large());
                }
                Ok(Ok(())) => {}
                Ok(Err(super::BodyError::BadChunk)) => {
                    let reason = "body's chunks can't be parsed";
                    return Err(Some(Reply::error(ResultCode::Malformed, reason)));
                }
                Ok(Err(_)) => return Err(None),
                Err(_) => {
                    let reason = "body came too slowly";
                    return Err(Some(Reply::error(ResultCode::BodyTimeout, reason)));
                }
            }
            body.append(&mut piece);
            let total_bytes = fixed_bytes + body.capacity() + piece.capacity();
            request_bytes
                .resize(total_bytes, byte_use(body.len()))
                .map_err(|error| Some(memory_refusal(error)))?;
            if !is_checked && body.len() > EARLY_CHECK_BYTES {
                check_head(&self.gateway, head).map_err(Some)?;
                is_checked = true;
            }
        }
        Ok(body)
    }
}

/// Returns the refusal of a request that the memory has no room for.
fn memory_refusal(error: BudgetFull) -> Reply {
    Reply::refusal(ResultCode::Shed, MEMORY_RETRY, error.to_string())
}

/// Reads available bytes like [`read_some`]; the buffer takes memory only once there are any.
async fn read_when_ready(
    read: &mut OwnedReadHalf,
    buffer: &mut BytesMut,
) -> std::io::Result<usize> {
    read.readable().await?;
    read_some(read, buffer).await
}

/// Completes when the caller closes or resets its connection or is lost; buffers pipelined requests meanwhile.
async fn wait_for_disconnect(
    read: &mut OwnedReadHalf,
    buffer: &mut BytesMut,
    held: &HeldBytes,
) -> Disconnect {
    let mut watch = PeerWatch::new();
    let first_reading = tokio::time::Instant::now() + WATCH_INTERVAL;
    let mut next_reading = tokio::time::interval_at(first_reading, WATCH_INTERVAL);
    let mut buffers_more = true;
    loop {
        // A full buffer is not read further; a close is then noticed by the state of the connection.
        buffers_more &= buffer.len() <= MAX_PIPELINED_BYTES;
        tokio::select! {
            biased;
            read = read_when_ready(read, buffer), if buffers_more => match read {
                Ok(0) | Err(_) => return Disconnect::Closed,
                Ok(_) => {
                    let byte_use = ByteUse::Request { total_bytes: buffer.len() };
                    // The request at work goes on; what its caller sends next is left in the socket.
                    buffers_more = held.resize(buffer.capacity(), byte_use).is_ok();
                }
            },
            _ = next_reading.tick() => {
                match watch.check(Instant::now(), read.as_ref()) {
                    Some(disconnect) if disconnect == Disconnect::Lost || !buffers_more => return disconnect,
                    _ => {}
                }
            }
        }
    }
}
