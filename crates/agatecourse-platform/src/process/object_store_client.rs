use crate::PlatformError;
use crate::process::http_endpoint::{HttpEndpoint, HttpResponse, validate_name};
use awc::http::Method;
use bytes::Bytes;
use std::net::SocketAddr;
use std::time::Duration;

/// Larger objects are rejected, so that a faulty store can't exhaust memory.
const MAX_OBJECT_BYTES: usize = 16 * 1024 * 1024;

/// Client of one bucket of the platform's object store (S3-style paths).
///
/// A put replaces the whole object, so it is idempotent and can be retried after an error.
#[derive(Clone)]
pub struct ObjectStoreClient {
    endpoint: HttpEndpoint,
    bucket: String,
}

impl ObjectStoreClient {
    /// Creates a client with a timeout of 5 s per exchange.
    pub fn new(address: SocketAddr, bucket: impl Into<String>) -> Self {
        let endpoint = HttpEndpoint::new(address, Duration::from_secs(5));
        Self { endpoint, bucket: bucket.into() }
    }

    /// Sets the timeout of one exchange; this opens new connections.
    #[must_use]
    pub fn with_timeout(mut self, timeout: Duration) -> Self {
        self.endpoint = self.endpoint.with_timeout(timeout);
        self
    }

    /// Creates or replaces an object.
    ///
    /// # Errors
    ///
    /// Returns a [`PlatformError`] when the store didn't confirm the write. The object may have been written,
    /// except after [`PlatformError::Unreachable`] and [`PlatformError::InvalidName`].
    pub async fn put(&self, key: &str, value: impl Into<Bytes>) -> Result<(), PlatformError> {
        let request = self.endpoint.request(Method::PUT, &self.object_path(key)?);
        let sent = request.content_type("application/octet-stream").send_body(value.into());
        self.receive_success(sent).await.map(drop)
    }

    /// Reads an object; `None` when it doesn't exist.
    ///
    /// # Errors
    ///
    /// Returns a [`PlatformError`] when the key is invalid, no complete response arrived, or its status is neither
    /// 2xx nor 404.
    pub async fn get(&self, key: &str) -> Result<Option<Bytes>, PlatformError> {
        let request = self.endpoint.request(Method::GET, &self.object_path(key)?);
        match self.receive_success(request.send()).await {
            Ok(response) => Ok(Some(response.body)),
            Err(PlatformError::Refused { status: 404, .. }) => Ok(None),
            Err(error) => Err(error),
        }
    }

    async fn receive_success(
        &self,
        sent: awc::SendClientRequest,
    ) -> Result<HttpResponse, PlatformError> {
        self.endpoint.receive(sent, MAX_OBJECT_BYTES).await?.into_success()
    }

    fn object_path(&self, key: &str) -> Result<String, PlatformError> {
        Ok(format!("/{}/{}", validate_name(&self.bucket)?, validate_name(key)?))
    }
}
