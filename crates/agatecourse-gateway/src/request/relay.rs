use super::event_splitter::EventSplitter;
use crate::budget::{BudgetFull, ByteUse, HeldBytes};
use crate::connection::write_to_caller;
use crate::connection::{BodyFraming, BodyReader, HeaderNames, ResponseHead, TargetConnection};
use snafu::Snafu;
use std::time::{Duration, Instant};
use tokio::net::tcp::OwnedWriteHalf;

/// Relays a stream to the caller; keeps its state when another target resumes the stream.
#[derive(Debug, Default)]
pub(crate) struct Relay {
    /// Serialized response head, to be sent with the first event; `None` once it was sent.
    head: Option<Vec<u8>>,
    splitter: EventSplitter,
    /// Time at which the first event was sent to the caller.
    pub(crate) first_event: Option<Instant>,
    /// Status and media type of the response that the caller has the head of.
    sent_format: Option<(u16, String)>,
    /// True once the present target has sent events more than once, so that its answer goes on after it has begun.
    answer_goes_on: bool,
}

/// How a stream is relayed.
#[derive(Debug, Clone, Copy)]
pub(crate) struct RelayOptions<'a> {
    pub(crate) header_names: &'a HeaderNames,
    /// True when the caller's connection closes after the response.
    pub(crate) closes: bool,
    /// Time without a complete event after which the stream may be given up; `None` if it is never given up.
    pub(crate) stall_limit: Option<Duration>,
    /// Bytes that are held for what was read and not yet written.
    pub(crate) held: &'a HeldBytes,
}

/// How the stream from one target ended.
#[derive(Debug, Snafu)]
pub(crate) enum RelayEnd {
    /// The target completed the stream; the caller was not told yet.
    #[snafu(display("complete"))]
    Complete,
    /// The connection to the target broke, or the stream ended inside or before an event.
    #[snafu(display("{reason}"))]
    TargetFailed { reason: String },
    /// No complete event arrived for this time, and the stream was given up so that another target resumes it.
    #[snafu(display("no complete event for {} ms", limit.as_millis()))]
    Stalled { limit: Duration },
    /// Writing to the caller failed.
    #[snafu(display("writing to the caller failed"))]
    CallerDisconnected,
    /// The memory has no room for what was read.
    #[snafu(display("{source}"))]
    MemoryFull { source: BudgetFull },
}

impl Relay {
    /// Creates a relay at the start of a stream.
    pub(crate) fn new() -> Self {
        Self::default()
    }

    /// Returns whether the head was sent to the caller.
    pub(crate) fn has_started(&self) -> bool {
        self.first_event.is_some()
    }

    /// Returns whether the answer of the present target went on after its first events.
    pub(crate) fn answer_goes_on(&self) -> bool {
        self.answer_goes_on
    }

    /// Returns the id of the last complete event, after which another target may resume.
    pub(crate) fn last_event_id(&self) -> Option<&str> {
        self.splitter.last_id()
    }

    /// Forwards events as they arrive; the response head is sent with the first event. Calls `on_events` when events arrive, with true once
    /// when the answer goes on after its first events. If no complete event arrives for the stall limit, ends the stream when `gives_up` returns true, else
    /// waits on without a limit.
    ///
    /// A target that resumes the stream must answer in the format of the first, with events that follow the last one: its response may be
    /// an error page or another stream.
    pub(crate) async fn forward_stream(
        &mut self,
        head: &ResponseHead,
        connection: &mut TargetConnection,
        caller: &mut OwnedWriteHalf,
        options: RelayOptions<'_>,
        mut on_events: impl FnMut(bool),
        gives_up: impl Fn() -> bool,
    ) -> RelayEnd {
        let RelayOptions { header_names, closes, mut stall_limit, held } = options;
        self.answer_goes_on = false;
        let mut has_events = false;
        let format = (head.status, media_type(head));
        if !self.has_started() {
            self.head = Some(serialize_stream_head(head, header_names, closes));
            self.sent_format = Some(format);
        } else if self.sent_format.as_ref() != Some(&format) {
            let (status, media_type) = format;
            let reason = format!("resumed stream has status {status} and type `{media_type}`");
            return RelayEnd::TargetFailed { reason };
        } else {
            self.splitter.resume();
        }
        let mut last_progress = Instant::now();
        let mut body = BodyReader::new(head.framing);
        while !body.is_done() {
            let mut bytes = Vec::new();
            let read = body.read(&mut connection.stream, &mut connection.buffer, &mut bytes);
            let read = match stall_limit {
                Some(limit) => {
                    let until = tokio::time::Instant::from_std(last_progress + limit);
                    match tokio::time::timeout_at(until, read).await {
                        Ok(read) => read,
                        Err(_) if gives_up() => {
                            self.splitter.drop_partial_event();
                            return RelayEnd::Stalled { limit };
                        }
                        Err(_) => {
                            stall_limit = None;
                            continue;
                        }
                    }
                }
                None => read.await,
            };
            if let Err(error) = read {
                self.splitter.drop_partial_event();
                return RelayEnd::TargetFailed { reason: error.to_string() };
            }
            let events = match self.splitter.push(&bytes) {
                Ok(events) => events,
                Err(error) => {
                    self.splitter.drop_partial_event();
                    return RelayEnd::TargetFailed { reason: error.to_string() };
                }
            };
            // The events are copied once more when they are written.
            let total_bytes = self.splitter.pending_bytes() + bytes.capacity() + 2 * events.len();
            if let Err(source) = held.resize(total_bytes, ByteUse::Answer { total_bytes }) {
                return RelayEnd::MemoryFull { source };
            }
            if events.is_empty() {
                continue;
            }
            last_progress = Instant::now();
            let is_second = has_events && !self.answer_goes_on;
            self.answer_goes_on |= is_second;
            on_events(is_second);
            has_events = true;
            if self.write_events(caller, &events, held).await.is_err() {
                return RelayEnd::CallerDisconnected;
            }
        }
        if self.splitter.has_partial_event() {
            self.splitter.drop_partial_event();
            return RelayEnd::TargetFailed { reason: "stream ended inside an event".to_string() };
        }
        // The end of the connection ends such a body, also when the target ends before it has written anything.
        if !has_events && head.framing == BodyFraming::UntilClose {
            return RelayEnd::TargetFailed { reason: "stream ended before an event".to_string() };
        }
        RelayEnd::Complete
    }

    /// Tells the caller that the stream is complete.
    pub(crate) async fn finish(
        &mut self,
        caller: &mut OwnedWriteHalf,
        held: &HeldBytes,
    ) -> std::io::Result<()> {
        if !self.has_started() {
            self.write_events(caller, &[], held).await?;
        }
        write_to_caller(caller, b"0\r\n\r\n", held.slot()).await
    }

    /// Writes complete events as one chunk, after the response head if it has not been sent yet.
    async fn write_events(
        &mut self,
        caller: &mut OwnedWriteHalf,
        events: &[u8],
        held: &HeldBytes,
    ) -> std::io::Result<()> {
        let mut out = self.head.take().unwrap_or_default();
        if !events.is_empty() {
            out.extend_from_slice(format!("{:x}\r\n", events.len()).as_bytes());
            out.extend_from_slice(events);
            out.extend_from_slice(b"\r\n");
        }
        self.first_event.get_or_insert_with(Instant::now);
        write_to_caller(caller, &out, held.slot()).await
    }
}

/// Returns the media type of a response in lower case, without parameters; empty if it names none.
fn media_type(head: &ResponseHead) -> String {
    let value = head.headers.get("content-type").unwrap_or_default();
    value.split(';').next().unwrap_or_default().trim().to_ascii_lowercase()
}

/// Serializes the response head of a stream; the body is always sent in chunks.
fn serialize_stream_head(head: &ResponseHead, header_names: &HeaderNames, closes: bool) -> Vec<u8> {
    let mut out = format!("HTTP/1.1 {} {}\r\n", head.status, head.reason).into_bytes();
    head.headers
        .write_end_to_end(&mut out, |name| name.eq_ignore_ascii_case(&header_names.not_run));
    if closes {
        out.extend_from_slice(b"Connection: close\r\n");
    }
    out.extend_from_slice(b"Transfer-Encoding: chunked\r\n\r\n");
    out
}
