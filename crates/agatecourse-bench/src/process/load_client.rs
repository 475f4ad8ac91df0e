use awc::http::Method;
use awc::{Client, Connector};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Default timeout for the head and for the body of a response.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(20);

/// HTTP client of a bench, which keeps connections alive and sends the API key with each request.
#[derive(Clone)]
pub struct LoadClient {
    client: Client,
    api_key: String,
    timeout: Duration,
}

/// Request of a caller, without the address of the node or service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LoadRequest {
    /// HTTP method, such as `GET`.
    pub method: Method,
    /// Path with query string.
    pub path: String,
    /// Value of the header `Idempotency-Key`, which is not sent without one.
    pub key: Option<String>,
    /// Request body; may be empty.
    pub body: String,
}

/// Complete response to a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LoadResponse {
    /// HTTP status code.
    pub status: u16,
    /// Value of the header `X-Request-Id`; empty when there is none.
    pub request_id: String,
    /// Complete response body.
    pub body: Vec<u8>,
    /// Time from sending the request to the end of the body.
    pub elapsed: Duration,
}

impl LoadRequest {
    /// Creates a GET request without a body and without an idempotency key.
    pub fn get(path: impl Into<String>) -> Self {
        Self { method: Method::GET, path: path.into(), key: None, body: String::new() }
    }
}

impl LoadClient {
    /// Creates a client without a limit on the number of connections.
    pub fn new(api_key: &str) -> Self {
        let connector = Connector::new().limit(0).timeout(Duration::from_secs(2));
        let client = Client::builder().connector(connector).timeout(RESPONSE_TIMEOUT);
        Self {
            client: client.disable_redirects().finish(),
            api_key: api_key.to_string(),
            timeout: RESPONSE_TIMEOUT,
        }
    }

    /// Sets the timeout for the head and for the body of a response; 20 s unless set.
    #[must_use]
    pub fn with_timeout(mut self, timeout: Duration) -> Self {
        self.timeout = timeout;
        self
    }

    /// Sends a request without retries.
    ///
    /// # Errors
    ///
    /// Returns a description when no complete response arrived.
    pub async fn send(
        &self,
        address: SocketAddr,
        request: &LoadRequest,
    ) -> Result<LoadResponse, String> {
        let start = Instant::now();
        let url = format!("http://{address}{}", request.path);
        let mut head = self
            .client
            .request(request.method.clone(), url)
            .insert_header(("Authorization", format!("Bearer {}", self.api_key)))
            .content_type("application/json")
            .timeout(self.timeout);
        if let Some(key) = &request.key {
            head = head.insert_header(("Idempotency-Key", key.as_str()));
        }
        let sent = head.send_body(request.body.clone()).await;
        let mut response = sent.map_err(|error| error.to_string())?.timeout(self.timeout);
        let request_id = response.headers().get("x-request-id").and_then(|id| id.to_str().ok());
        let request_id = request_id.unwrap_or_default().to_string();
        let status = response.status().as_u16();
        let body = response.body().await.map_err(|error| format!("status {status}: {error}"))?;
        Ok(LoadResponse { status, request_id, body: body.to_vec(), elapsed: start.elapsed() })
    }
}
