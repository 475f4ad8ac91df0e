use super::tunnel::TunnelLink;
use super::{
    BodyReader, HeadError, MAX_RESPONSE_HEAD_BYTES, ResponseHead, TargetStream,
    parse_response_head, read_some,
};
use crate::budget::SocketPermit;
use bytes::BytesMut;
use snafu::Snafu;
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

/// Timeout for opening a connection; the latency between the users' zones is below 2 ms.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Largest number of interim responses before a response.
const MAX_INTERIM_RESPONSES: u32 = 8;
/// Largest number of responses with another request id that are skipped on a connection.
const MAX_SKIPPED_RESPONSES: u32 = 2;
/// Largest body in bytes that is skipped in a response with another request id.
const MAX_SKIPPED_BODY_BYTES: usize = 256 * 1024;

/// Error when a connection can't be opened; no byte of the request was sent.
#[derive(Debug, Snafu)]
#[snafu(context(suffix(ConnectSnafu)))]
pub(crate) enum ConnectError {
    #[snafu(display("connection timed out"))]
    Timeout,
    #[snafu(display("connection failed: {source}"))]
    Failed { source: std::io::Error },
}

/// Error when a response can't be read after bytes of the request may have been sent.
#[derive(Debug, Snafu)]
#[snafu(context(suffix(ResponseSnafu)))]
pub(crate) enum ResponseError {
    #[snafu(display("connection ended before the answer"))]
    Ended,
    #[snafu(display("connection failed: {source}"))]
    Failed { source: std::io::Error },
    #[snafu(display("answer is not HTTP: {source}"))]
    Malformed { source: HeadError },
    #[snafu(display("answer's head exceeds {MAX_RESPONSE_HEAD_BYTES} bytes"))]
    HeadTooLong,
    #[snafu(display("answer follows more than {MAX_INTERIM_RESPONSES} interim responses"))]
    TooManyInterimResponses,
    /// Only responses to other requests were read, or one of them could not be skipped.
    #[snafu(display("answer belongs to another request"))]
    OtherRequest,
}

/// Connection to a target with one request in flight at a time.
#[derive(Debug)]
pub(crate) struct TargetConnection {
    pub(crate) stream: TargetStream,
    pub(crate) buffer: BytesMut,
    pub(crate) idle_since: Instant,
    pub(crate) idle_limit: Duration,
    /// Node through which the connection runs; `None` for a direct one.
    pub(crate) tunnel: Option<TunnelLink>,
    _permit: SocketPermit,
}

impl TargetConnection {
    /// Creates a direct connection from a connected socket.
    ///
    /// # Errors
    ///
    /// Returns the error of the kernel when the options of the socket can't be set.
    pub(super) fn new(stream: TcpStream, permit: SocketPermit) -> std::io::Result<Self> {
        Ok(Self {
            stream: TargetStream::new(stream)?,
            buffer: BytesMut::new(),
            idle_since: Instant::now(),
            idle_limit: Duration::ZERO,
            tunnel: None,
            _permit: permit,
        })
    }

    /// Makes it a connection through a node, with bytes that were already read.
    pub(super) fn with_tunnel(self, link: TunnelLink, buffer: BytesMut) -> Self {
        Self { buffer, tunnel: Some(link), ..self }
    }

    /// Connects within [`CONNECT_TIMEOUT`] and sets the socket options.
    pub(crate) async fn connect(
        address: SocketAddr,
        permit: SocketPermit,
    ) -> Result<Self, ConnectError> {
        let stream = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address))
            .await
            .map_err(|_| ConnectError::Timeout)?
            .map_err(|source| ConnectError::Failed { source })?;
        Self::new(stream, permit).map_err(|source| ConnectError::Failed { source })
    }

    /// Returns whether an idle connection is open and has no unexpected bytes to read.
    pub(crate) fn is_reusable(&self) -> bool {
        self.buffer.is_empty() && self.stream.is_open_and_empty()
    }

    /// Sends bytes; sets `sent` before the first write, so that it is valid also after an error or a cancellation.
    pub(crate) async fn send(&mut self, bytes: &[u8], sent: &mut bool) -> std::io::Result<()> {
        let mut rest = bytes;
        while !rest.is_empty() {
            *sent = true;
            let written = self.stream.write(rest).await?;
            rest = &rest[written..];
        }
        Ok(())
    }

    /// Reads the response head of a request; skips interim responses and responses with another request id.
    pub(crate) async fn read_head(
        &mut self,
        method: &str,
        id_header: &str,
        request_id: Option<&str>,
    ) -> Result<ResponseHead, ResponseError> {
        let (mut skipped, mut interim_responses) = (0, 0);
        loop {
            let parsed = parse_response_head(&self.buffer, method)
                .map_err(|source| ResponseError::Malformed { source })?;
            let Some((head, length)) = parsed else {
                if self.buffer.len() > MAX_RESPONSE_HEAD_BYTES {
                    return Err(ResponseError::HeadTooLong);
                }
                let read = read_some(&mut self.stream, &mut self.buffer)
                    .await
                    .map_err(|source| ResponseError::Failed { source })?;
                if read == 0 {
                    return Err(ResponseError::Ended);
                }
                continue;
            };
            let _head_bytes = self.buffer.split_to(length);
            if (100..200).contains(&head.status) {
                interim_responses += 1;
                if interim_responses > MAX_INTERIM_RESPONSES {
                    return Err(ResponseError::TooManyInterimResponses);
                }
                continue;
            }
            if request_id.is_none() || head.headers.get(id_header) == request_id {
                return Ok(head);
            }
            skipped += 1;
            if skipped > MAX_SKIPPED_RESPONSES {
                return Err(ResponseError::OtherRequest);
            }
            self.skip_body(&head).await?;
        }
    }

    /// Reads and discards the body of a response with another request id.
    async fn skip_body(&mut self, head: &ResponseHead) -> Result<(), ResponseError> {
        let mut body = BodyReader::new(head.framing);
        let mut skipped = Vec::new();
        while !body.is_done() {
            body.read(&mut self.stream, &mut self.buffer, &mut skipped)
                .await
                .map_err(|_| ResponseError::OtherRequest)?;
            if skipped.len() > MAX_SKIPPED_BODY_BYTES {
                return Err(ResponseError::OtherRequest);
            }
        }
        if head.closes { Err(ResponseError::Ended) } else { Ok(()) }
    }
}
