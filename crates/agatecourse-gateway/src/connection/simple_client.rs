use super::{
    BodyReader, HeadError, MAX_RESPONSE_HEAD_BYTES, ResponseHead, parse_response_head, read_some,
    set_socket_options, set_user_timeout,
};
use bytes::BytesMut;
use snafu::Snafu;
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

/// Longest idle time after which a connection is still reused.
const MAX_IDLE_TIME: Duration = Duration::from_secs(3);
/// Largest response body in bytes.
const MAX_RESPONSE_BYTES: usize = 16 * 1024 * 1024;

/// Error of a call without a complete response; the server may have processed the call.
#[derive(Debug, Snafu)]
#[snafu(context(suffix(CallSnafu)))]
pub enum CallError {
    /// No complete response was received within the time limit.
    #[snafu(display("no response within {} ms", limit.as_millis()))]
    TimedOut {
        /// Time limit of the call.
        limit: Duration,
    },
    /// Connecting, writing or reading the response head failed.
    #[snafu(display("connection failed: {source}"))]
    Connection {
        /// Error that the socket returned.
        source: std::io::Error,
    },
    /// The response head is malformed or leaves the body length ambiguous.
    #[snafu(display("response head is invalid: {source}"))]
    NotHttp {
        /// Error of the head parser.
        source: HeadError,
    },
    /// The response ended early, is malformed or is too large.
    #[snafu(display("response can't be read: {reason}"))]
    BadResponse {
        /// Cause, such as a status or a size limit.
        reason: String,
    },
}

/// Call of a [`SimpleClient`].
#[derive(Debug, Clone, Copy)]
pub(crate) struct Call<'a> {
    method: &'a str,
    path: &'a str,
    header_lines: &'a str,
    body: &'a [u8],
    /// Longest time until the end of the response.
    limit: Duration,
    /// Longest time without any progress; `None` for no other limit than that of the call.
    stall_limit: Option<Duration>,
}

impl<'a> Call<'a> {
    /// Creates a call without a body.
    pub(crate) fn new(method: &'a str, path: &'a str, limit: Duration) -> Self {
        Self { method, path, header_lines: "", body: &[], limit, stall_limit: None }
    }

    /// Sets the body.
    pub(crate) fn with_body(self, body: &'a [u8]) -> Self {
        Self { body, ..self }
    }

    /// Adds header lines, each with its line end.
    pub(crate) fn with_header_lines(self, header_lines: &'a str) -> Self {
        Self { header_lines, ..self }
    }

    /// Sets the longest time without any progress.
    pub(crate) fn with_stall_limit(self, stall_limit: Duration) -> Self {
        Self { stall_limit: Some(stall_limit), ..self }
    }

    /// Waits for a step of the exchange.
    ///
    /// # Errors
    ///
    /// Returns [`CallError::TimedOut`] if the step takes longer than the call may stall.
    async fn step<T>(&self, step: impl Future<Output = T>) -> Result<T, CallError> {
        match self.stall_limit {
            Some(limit) => {
                tokio::time::timeout(limit, step).await.map_err(|_| CallError::TimedOut { limit })
            }
            None => Ok(step.await),
        }
    }
}

/// An HTTP client for one address that makes one call at a time; used for the platform's services and for peers.
#[derive(Debug)]
pub struct SimpleClient {
    address: SocketAddr,
    idle: Option<(TcpStream, Instant)>,
}

impl SimpleClient {
    /// Creates a client; the first call opens the connection.
    pub fn new(address: SocketAddr) -> Self {
        Self { address, idle: None }
    }

    /// Sends a request and returns the head and the body of its response.
    ///
    /// # Errors
    ///
    /// Returns a [`CallError`] when no complete response was received within the limit. The connection is then closed,
    /// because a late response would delay those of later calls.
    pub async fn call(
        &mut self,
        method: &str,
        path: &str,
        body: &[u8],
        limit: Duration,
    ) -> Result<(ResponseHead, Vec<u8>), CallError> {
        self.send(&Call::new(method, path, limit).with_body(body)).await
    }

    /// Makes a call and returns the head and the body of its response.
    ///
    /// # Errors
    ///
    /// Returns a [`CallError`] like [`SimpleClient::call`].
    pub(crate) async fn send(
        &mut self,
        call: &Call<'_>,
    ) -> Result<(ResponseHead, Vec<u8>), CallError> {
        let limit = call.limit;
        let reused = self
            .idle
            .take()
            .filter(|(_, since)| since.elapsed() < MAX_IDLE_TIME)
            .map(|(stream, _)| stream);
        tokio::time::timeout(limit, self.exchange(reused, call))
            .await
            .unwrap_or(Err(CallError::TimedOut { limit }))
    }

    async fn exchange(
        &mut self,
        reused: Option<TcpStream>,
        call: &Call<'_>,
    ) -> Result<(ResponseHead, Vec<u8>), CallError> {
        let Call { method, path, body, .. } = *call;
        let failed = |source| CallError::Connection { source };
        let mut stream = match reused {
            Some(stream) => stream,
            None => call.step(TcpStream::connect(self.address)).await?.map_err(failed)?,
        };
        set_socket_options(&stream)
            .and_then(|()| set_user_timeout(&stream, true))
            .map_err(failed)?;
        let mut request =
            format!("{method} {path} HTTP/1.1\r\nHost: {}\r\n", self.address).into_bytes();
        request.extend_from_slice(call.header_lines.as_bytes());
        if method != "GET" {
            let head =
                format!("Content-Type: application/json\r\nContent-Length: {}\r\n", body.len());
            request.extend_from_slice(head.as_bytes());
        }
        request.extend_from_slice(b"\r\n");
        request.extend_from_slice(body);
        call.step(stream.write_all(&request)).await?.map_err(failed)?;
        let mut buffer = BytesMut::new();
        let head = loop {
            let parsed = parse_response_head(&buffer, method)
                .map_err(|source| CallError::NotHttp { source })?;
            if let Some((head, length)) = parsed {
                let _head_bytes = buffer.split_to(length);
                break head;
            }
            if buffer.len() > MAX_RESPONSE_HEAD_BYTES {
                return Err(CallError::BadResponse {
                    reason: format!("response head exceeds {MAX_RESPONSE_HEAD_BYTES} bytes"),
                });
            }
            if call.step(read_some(&mut stream, &mut buffer)).await?.map_err(failed)? == 0 {
                return Err(CallError::BadResponse {
                    reason: "connection ended before the response head".to_string(),
                });
            }
        };
        let (mut reader, mut bytes) = (BodyReader::new(head.framing), Vec::new());
        while !reader.is_done() {
            call.step(reader.read(&mut stream, &mut buffer, &mut bytes))
                .await?
                .map_err(|error| CallError::BadResponse { reason: error.to_string() })?;
            if bytes.len() > MAX_RESPONSE_BYTES {
                return Err(CallError::BadResponse {
                    reason: format!("response body exceeds {MAX_RESPONSE_BYTES} bytes"),
                });
            }
        }
        if !head.closes && buffer.is_empty() {
            self.idle = Some((stream, Instant::now()));
        }
        Ok((head, bytes))
    }
}
