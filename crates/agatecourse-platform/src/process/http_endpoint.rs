use crate::PlatformError;
use crate::process::platform_error::{InvalidNameSnafu, MalformedSnafu, RefusedSnafu};
use awc::error::{ConnectError, SendRequestError};
use awc::http::Method;
use awc::{Client, ClientRequest, Connector, SendClientRequest};
use bytes::Bytes;
use serde::de::DeserializeOwned;
use snafu::ensure;
use std::net::SocketAddr;
use std::time::Duration;

/// Connection attempts get this fraction of the request timeout, so that a connection that was never established
/// is reported as [`ExchangeError::NotSent`] and not as a timeout with an unknown outcome.
const CONNECT_TIMEOUT_DIVISOR: u32 = 2;

/// Room for a list of several thousand VMs; larger responses are rejected.
const MAX_JSON_BYTES: usize = 4 * 1024 * 1024;

/// Failed exchange, by whether the service may have received the request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum ExchangeError {
    /// No byte of the request was sent.
    NotSent(String),
    /// Some bytes may have been sent, and no complete response arrived.
    NoResponse(String),
}

/// HTTP response whose body was received completely.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct HttpResponse {
    pub(crate) status: u16,
    pub(crate) body: Bytes,
}

impl HttpResponse {
    /// Returns the start of the body as text, for error messages.
    pub(crate) fn excerpt(&self) -> String {
        const MAX_EXCERPT_CHARS: usize = 200;
        String::from_utf8_lossy(&self.body).chars().take(MAX_EXCERPT_CHARS).collect()
    }

    /// Returns the response if its status is 2xx, and [`PlatformError::Refused`] otherwise.
    pub(crate) fn into_success(self) -> Result<Self, PlatformError> {
        if (200..300).contains(&self.status) {
            return Ok(self);
        }
        RefusedSnafu { status: self.status, detail: self.excerpt() }.fail()
    }
}

/// HTTP client for one service address, with a connection pool and a timeout for the whole exchange.
#[derive(Clone)]
pub(crate) struct HttpEndpoint {
    address: SocketAddr,
    client: Client,
    timeout: Duration,
}

impl HttpEndpoint {
    /// Creates an endpoint that doesn't follow redirects.
    ///
    /// A redirect could send a write to an address that isn't configured.
    pub(crate) fn new(address: SocketAddr, timeout: Duration) -> Self {
        let connector = Connector::new().timeout(timeout / CONNECT_TIMEOUT_DIVISOR);
        let client =
            Client::builder().connector(connector).timeout(timeout).disable_redirects().finish();
        Self { address, client, timeout }
    }

    /// Replaces the timeout of an exchange; this also replaces the connection pool.
    pub(crate) fn with_timeout(self, timeout: Duration) -> Self {
        Self::new(self.address, timeout)
    }

    /// Builds a request; `path` begins with a slash.
    pub(crate) fn request(&self, method: Method, path: &str) -> ClientRequest {
        self.client.request(method, format!("http://{}{path}", self.address))
    }

    /// Waits for the response and reads its whole body.
    pub(crate) async fn receive(
        &self,
        sent: SendClientRequest,
        body_limit_bytes: usize,
    ) -> Result<HttpResponse, ExchangeError> {
        let mut response = match sent.await {
            Ok(response) => response.timeout(self.timeout),
            Err(error) if is_certainly_not_sent(&error) => {
                return Err(ExchangeError::NotSent(error.to_string()));
            }
            Err(error) => return Err(ExchangeError::NoResponse(error.to_string())),
        };
        let status = response.status().as_u16();
        match response.body().limit(body_limit_bytes).await {
            Ok(body) => Ok(HttpResponse { status, body }),
            Err(error) => {
                Err(ExchangeError::NoResponse(format!("status {status}, incomplete body: {error}")))
            }
        }
    }

    /// Sends a GET request and decodes the JSON response.
    pub(crate) async fn get_json<T: DeserializeOwned>(
        &self,
        path: &str,
    ) -> Result<T, PlatformError> {
        let sent = self.request(Method::GET, path).send();
        let response = self.receive(sent, MAX_JSON_BYTES).await?.into_success()?;
        serde_json::from_slice(&response.body)
            .map_err(|error| MalformedSnafu { detail: error.to_string() }.build())
    }
}

/// Returns the name if it needs no percent-encoding in a path: a `?` or `%` would address another object.
pub(crate) fn validate_name(name: &str) -> Result<&str, PlatformError> {
    let allowed = |c: char| c.is_ascii_alphanumeric() || "-_./".contains(c);
    let has_segments = name.split('/').all(|segment| !["", ".", ".."].contains(&segment));
    ensure!(has_segments && name.chars().all(allowed), InvalidNameSnafu { name });
    Ok(name)
}

/// Returns whether the error proves that no byte of the request was sent.
fn is_certainly_not_sent(error: &SendRequestError) -> bool {
    match error {
        // awc reports Disconnected when the peer closes the connection after the request was sent.
        SendRequestError::Connect(ConnectError::Disconnected) => false,
        SendRequestError::Connect(_) | SendRequestError::Url(_) => true,
        _ => false,
    }
}
