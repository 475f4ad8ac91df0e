use crate::connection::{DispatchError, TargetClient, TargetResponse};
use crate::request::sse_parser::{SseEvent, SseParser};
use actix_web::http::header::{CONTENT_TYPE, HeaderMap, HeaderName, HeaderValue};
use actix_web::http::{Method, StatusCode};
use bytes::Bytes;
use futures_util::StreamExt;
use snafu::Snafu;
use std::net::SocketAddr;
use std::time::Duration;

// A restarting target refuses connections for a short time. These delays between attempts add up to 1.5 s, so that
// detection after 2 s of silence and resumption together take less than 5 s.
const RESUME_BACKOFF: [Duration; 4] = [
    Duration::from_millis(50),
    Duration::from_millis(200),
    Duration::from_millis(450),
    Duration::from_millis(800),
];
const MAX_ERROR_BODY_BYTES: usize = 4 * 1024;

/// Reports why a stream ended and can't be resumed.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub(crate) enum StreamError {
    /// The target refused the connection, so no byte was sent.
    #[snafu(display("connection refused"))]
    ConnectionRefused,
    /// The connection could not be established, so no byte was sent.
    #[snafu(display("{reason}"))]
    NotConnected { reason: String },
    /// The engine responded with an error status.
    #[snafu(display("the target answered with status {status}"))]
    Rejected { status: u16 },
    /// The connection was lost and the target then refused new ones.
    #[snafu(display("the target's connection was lost and it refuses new ones"))]
    Crashed,
    /// The stream was lost and could not be resumed.
    #[snafu(display("{reason}"))]
    Lost { reason: String },
}

/// A stream from an engine that is resumed when its connection is lost or stalls.
///
/// Chunks are numbered by their event ids. Duplicates are dropped and a gap triggers a resumption, so that each chunk
/// is returned exactly once and in order.
pub(crate) struct EngineStream<'a> {
    client: &'a TargetClient,
    target: SocketAddr,
    stream_id: &'a str,
    progress_timeout: Duration,
    response: Option<TargetResponse>,
    parser: SseParser,
    last_event_id: Option<u64>,
    failed_attempts: usize,
    /// Whether a chunk without an event id arrived; resuming such a stream would duplicate its chunks.
    has_unnumbered_chunk: bool,
    resumptions: u32,
}

impl<'a> EngineStream<'a> {
    pub(crate) fn new(
        client: &'a TargetClient,
        target: SocketAddr,
        stream_id: &'a str,
        progress_timeout: Duration,
    ) -> Self {
        Self {
            client,
            target,
            stream_id,
            progress_timeout,
            response: None,
            parser: SseParser::default(),
            last_event_id: None,
            failed_attempts: 0,
            has_unnumbered_chunk: false,
            resumptions: 0,
        }
    }

    /// Returns how often the stream was resumed.
    pub(crate) fn resumptions(&self) -> u32 {
        self.resumptions
    }

    /// Sends the request once; if its connection is lost afterwards, resumes the stream instead of sending it again.
    pub(crate) async fn dispatch(&mut self, version: &str, body: Bytes) -> Result<(), StreamError> {
        let url = format!("http://{}/v1/chat/completions", self.target);
        let mut headers = HeaderMap::new();
        headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
        for (name, value) in [("x-request-id", self.stream_id), ("x-target-version", version)] {
            if let Ok(value) = HeaderValue::from_str(value) {
                headers.insert(HeaderName::from_static(name), value);
            }
        }
        let timeout = self.progress_timeout;
        match self.client.dispatch(Method::POST, &url, headers, body, timeout).await {
            Ok(response) => self.accept(response).await,
            Err(DispatchError::ConnectionRefused) => Err(StreamError::ConnectionRefused),
            Err(DispatchError::NotConnected { reason }) => {
                Err(StreamError::NotConnected { reason })
            }
            Err(DispatchError::ConnectionLost { .. }) => self.resume(true).await,
            Err(DispatchError::TimedOut) => self.resume(false).await,
        }
    }

    /// Opens the stream of an earlier request at its start.
    pub(crate) async fn join(&mut self) -> Result<(), StreamError> {
        self.resume(true).await
    }

    /// Returns whether the next chunk is already buffered.
    pub(crate) fn has_chunk(&mut self) -> bool {
        self.parser.has_event()
    }

    /// Waits for the next chunk; resumes the stream if necessary.
    pub(crate) async fn next(&mut self) -> Result<SseEvent, StreamError> {
        loop {
            while let Some(event) = self.parser.next_event() {
                match self.check_event_order(&event) {
                    EventOrder::ReservationResult => return Ok(event),
                    EventOrder::Repeated => {}
                    EventOrder::Gap => self.resume(true).await?,
                }
            }
            if self.parser.has_oversized_event() {
                return Err(StreamError::Lost {
                    reason: "the target sent an oversized chunk".into(),
                });
            }
            let Some(response) = &mut self.response else {
                self.resume(true).await?;
                continue;
            };
            match tokio::time::timeout(self.progress_timeout, response.next()).await {
                Ok(Some(Ok(bytes))) => self.parser.push(&bytes),
                Ok(Some(Err(_)) | None) => self.resume(true).await?,
                Err(_) => self.resume(false).await?,
            }
        }
    }

    fn check_event_order(&mut self, event: &SseEvent) -> EventOrder {
        let Some(id) = event.id else {
            self.has_unnumbered_chunk |= event.data.as_ref() != b"[DONE]";
            return EventOrder::ReservationResult;
        };
        match self.last_event_id {
            Some(last) if id <= last => return EventOrder::Repeated,
            Some(last) if id > last + 1 => return EventOrder::Gap,
            _ => {}
        }
        self.last_event_id = Some(id);
        self.failed_attempts = 0;
        EventOrder::ReservationResult
    }

    /// Resumes the stream on a new connection; `broken` is true if the old one ended and false if it timed out.
    async fn resume(&mut self, broken: bool) -> Result<(), StreamError> {
        if broken {
            self.response = None;
        }
        if self.has_unnumbered_chunk {
            let reason = "the stream was lost and its chunks have no numbers to resume at";
            return Err(StreamError::Lost { reason: reason.into() });
        }
        let mut refusals = 0;
        let mut error = StreamError::Lost { reason: "the stream ended early".into() };
        loop {
            if let Some(earlier) = self.failed_attempts.checked_sub(1) {
                let Some(pause) = RESUME_BACKOFF.get(earlier) else { return Err(error) };
                tokio::time::sleep(*pause).await;
            }
            match self.try_resume().await {
                Ok(response) => {
                    self.parser = SseParser::default();
                    self.resumptions += 1;
                    // An attempt counts as failed until a new chunk arrives. This bounds the attempts at a target
                    // that accepts each resumption and then closes it. The deadline bounds those at a silent target.
                    self.failed_attempts += usize::from(broken);
                    return self.accept(response).await;
                }
                // The target responded to the probe, so it is alive and only has no chunk to send yet.
                Err(ResumeError::NoChunkYet) => continue,
                Err(ResumeError::Probe(DispatchError::ConnectionRefused)) => {
                    refusals += 1;
                    error = StreamError::Crashed;
                    // Two refusals in a row show that the target is down; one may only mean a full accept queue.
                    if broken && refusals == 2 {
                        return Err(error);
                    }
                }
                Err(ResumeError::Probe(cause) | ResumeError::Resume(cause)) => {
                    error = StreamError::Lost { reason: cause.to_string() };
                }
            }
            self.failed_attempts += 1;
        }
    }

    async fn try_resume(&self) -> Result<TargetResponse, ResumeError> {
        self.client.probe(self.target).await.map_err(ResumeError::Probe)?;
        let resumed = self
            .client
            .resume(self.target, self.stream_id, self.last_event_id, self.progress_timeout)
            .await;
        resumed.map_err(|error| match error {
            DispatchError::TimedOut => ResumeError::NoChunkYet,
            error => ResumeError::Resume(error),
        })
    }

    async fn accept(&mut self, mut response: TargetResponse) -> Result<(), StreamError> {
        let status = response.status();
        if status == StatusCode::OK {
            self.response = Some(response);
            return Ok(());
        }
        // The error body is read so that the connection can be reused. Its text is not passed on, because it may
        // quote the request.
        let _ = response.body().limit(MAX_ERROR_BODY_BYTES).await;
        if self.resumptions > 0 {
            let reason =
                format!("the target did not resume the stream: status {}", status.as_u16());
            return Err(StreamError::Lost { reason });
        }
        Err(StreamError::Rejected { status: status.as_u16() })
    }
}

enum EventOrder {
    ReservationResult,
    Repeated,
    Gap,
}

enum ResumeError {
    Probe(DispatchError),
    Resume(DispatchError),
    NoChunkYet,
}
