use super::CallerRequest;
use super::crash_check::still_runs;
use super::open_connection::{OpenError, open_connection};
use crate::budget::ByteUse;
use crate::connection::{
    BodyFraming, BodyReader, HeaderNames, ResponseError, ResponseHead, TargetConnection,
    has_no_body,
};
use crate::process::Gateway;
use crate::version::Target;
use agatecourse_core::request::dispatch::Closure;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Largest response body in bytes that is buffered before it is forwarded.
const MAX_RESPONSE_BYTES: usize = 8 * 1024 * 1024;

/// Result of one attempt to send a request to a target.
#[derive(Debug)]
pub(crate) enum AttemptEnd {
    /// No byte of the request was sent.
    NotSent { reason: String },
    /// No byte of the request was sent, because this node has no socket for a connection to the target.
    NoSocket,
    /// No byte of the request was sent, because the target leaves or has asked this node for a pause since it was granted.
    Closed { closure: Closure },
    /// The target states that it did not run the request.
    NotRun { status: u16 },
    /// The address belongs to a different target than the expected one (status 421).
    WrongTarget,
    /// A complete response; a successful one carries the target's proof header.
    Complete { head: ResponseHead, body: Vec<u8> },
    /// The response head of a stream; its events follow on the connection.
    Stream { head: ResponseHead, connection: TargetConnection },
    /// The request was sent, but no complete, valid response was received.
    Lost { reason: String },
    /// The request was sent, and this node has no memory for the response.
    NoMemory { reason: String },
}

/// Sends a request to a target and reads the complete response, or only the head of a stream.
pub(crate) async fn attempt(
    gateway: &Gateway,
    request: &CallerRequest,
    target: &Target,
    bytes: &[u8],
    wants_stream: bool,
    sent: &mut bool,
) -> AttemptEnd {
    // Without an id, late bytes of an earlier response could not be told from the response to this request, nor its own late bytes from the
    // response to the next one.
    let has_id = request.id(&gateway.header_names).is_some();
    let pooled =
        has_id.then(|| gateway.pool.borrow_mut().take(&target.id, Instant::now())).flatten();
    let mut connection = if let Some(connection) = pooled {
        connection
    } else {
        match open_connection(gateway, target).await {
            Ok(connection) => connection,
            Err(OpenError::NoSocket) => return AttemptEnd::NoSocket,
            Err(OpenError::Unreachable { reason }) => return AttemptEnd::NotSent { reason },
        }
    };
    // The target may have closed to this node since the grant, while a connection was opened.
    if let Some(closure) = gateway.target_closure(target) {
        if closure != Closure::Leaving {
            gateway.pool_connection(&target.id, connection, None);
        }
        return AttemptEnd::Closed { closure };
    }
    let sent_at = Instant::now();
    let head = match send_and_read_head(
        &mut connection,
        request,
        &gateway.header_names,
        bytes,
        sent,
    )
    .await
    {
        Ok(head) => ResponseHead { closes: head.closes || !has_id, ..head },
        Err(error) => {
            gateway.pool.borrow_mut().remove_target(&target.id);
            return AttemptEnd::Lost { reason: error.to_string() };
        }
    };
    gateway.record_heard(Instant::now(), &target.id);
    if head.status == 421 {
        return AttemptEnd::WrongTarget;
    }
    gateway.record_target_signal(
        target,
        request.id(&gateway.header_names).unwrap_or_default(),
        sent_at,
        &head,
    );
    let has_proof = head.headers.get(&gateway.header_names.response_proof).is_some();
    let is_success = (200..300).contains(&head.status);
    if head.headers.get(&gateway.header_names.not_run).is_some() && !is_success {
        let status = head.status;
        if let Ok(_body) = read_complete_body(gateway, request, target, connection, &head).await {}
        return AttemptEnd::NotRun { status };
    }
    if is_success && !has_proof {
        return AttemptEnd::Lost {
            reason: format!("status {} without the target's proof", head.status),
        };
    }
    if head.headers.get("content-encoding").is_some() {
        return AttemptEnd::Lost {
            reason: "answer has a content encoding that nobody asked for".to_string(),
        };
    }
    // A response that has no body is no stream, also on the route of one.
    if is_success && wants_stream && !has_no_body(&request.head.method, head.status) {
        return AttemptEnd::Stream { head, connection };
    }
    match read_complete_body(gateway, request, target, connection, &head).await {
        Ok(body) => AttemptEnd::Complete { head, body },
        Err(BodyError::Lost(reason)) => AttemptEnd::Lost { reason },
        Err(BodyError::NoMemory(reason)) => AttemptEnd::NoMemory { reason },
    }
}

/// Reason why a response body was not read to its end.
enum BodyError {
    /// The target or its connection failed.
    Lost(String),
    /// This node has no memory for the body.
    NoMemory(String),
}

/// Sends the head of a request, with the body if it is small, and reads the response head. A larger body is sent while the response is read.
async fn send_and_read_head(
    connection: &mut TargetConnection,
    request: &CallerRequest,
    header_names: &HeaderNames,
    bytes: &[u8],
    sent: &mut bool,
) -> Result<ResponseHead, ResponseError> {
    connection
        .stream
        .begin_request(!request.is_body_joined())
        .map_err(|source| ResponseError::Failed { source })?;
    let written = connection.send(bytes, sent).await;
    if written.is_ok() && !request.is_body_joined() {
        connection.stream.send_while_reading(Rc::clone(&request.body));
    }
    // A target may respond and close before it has read the request, so the response is read even after a failed write.
    let head = connection
        .read_head(&request.head.method, &header_names.request_id, request.id(header_names))
        .await;
    match (head, written) {
        (Err(_), Err(source)) => Err(ResponseError::Failed { source }),
        (head, _) => head,
    }
}

/// Reads a response body to its end and returns the connection to the pool if it can be reused.
async fn read_complete_body(
    gateway: &Gateway,
    request: &CallerRequest,
    target: &Target,
    mut connection: TargetConnection,
    head: &ResponseHead,
) -> Result<Vec<u8>, BodyError> {
    let (mut reader, mut body) = (BodyReader::new(head.framing), Vec::new());
    let body_bytes = request.held.slot().hold();
    while !reader.is_done() {
        reader
            .read(&mut connection.stream, &mut connection.buffer, &mut body)
            .await
            .map_err(|error| BodyError::Lost(error.to_string()))?;
        if body.len() > MAX_RESPONSE_BYTES {
            return Err(BodyError::Lost(format!("answer exceeds {MAX_RESPONSE_BYTES} bytes")));
        }
        body_bytes
            .resize(body.capacity(), ByteUse::Answer { total_bytes: body.len() })
            .map_err(|error| BodyError::NoMemory(error.to_string()))?;
    }
    if head.framing == BodyFraming::UntilClose
        && !still_runs(gateway, target, connection.tunnel.as_ref()).await
    {
        return Err(BodyError::Lost("target ended with the connection".to_string()));
    }
    return_to_pool(gateway, target, connection, head);
    request.held.absorb(&body_bytes);
    Ok(body)
}

/// Returns a connection to the pool, unless the target closes it, its close marks the end of the body, or a part of the request was not
/// sent; the pool drops a connection with unread bytes.
pub(crate) fn return_to_pool(
    gateway: &Gateway,
    target: &Target,
    connection: TargetConnection,
    head: &ResponseHead,
) {
    let is_over = head.closes || head.framing == BodyFraming::UntilClose;
    if is_over || !connection.stream.is_request_sent() {
        return;
    }
    let stated_idle = head.headers.get("keep-alive").and_then(|text| {
        let value = text.split(',').find_map(|item| item.trim().strip_prefix("timeout="))?;
        parse_seconds(value)
    });
    gateway.pool_connection(&target.id, connection, stated_idle);
}

/// Parses a non-negative number of seconds; caps it at 600 s.
pub(crate) fn parse_seconds(text: &str) -> Option<Duration> {
    let seconds =
        text.trim().parse::<f64>().ok().filter(|value| value.is_finite() && *value >= 0.0)?;
    Some(Duration::from_secs_f64(seconds.min(600.0)))
}
