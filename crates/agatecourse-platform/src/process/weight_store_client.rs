use crate::PlatformError;
use crate::process::http_endpoint::{HttpEndpoint, validate_name};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::time::Duration;

/// Size and current download rate of the weights of one model version.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct WeightInfo {
    /// Total number of bytes to download.
    pub size_bytes: u64,
    /// Rate that one additional reader would get now; readers share the rate of the store.
    pub rate_bytes_per_s: u64,
}

impl WeightInfo {
    /// Returns the expected download time at the current rate.
    ///
    /// ```
    /// use agatecourse_platform::WeightInfo;
    ///
    /// let info = WeightInfo { size_bytes: 3_000, rate_bytes_per_s: 1_000 };
    /// assert_eq!(info.read_time(), std::time::Duration::from_secs(3));
    /// ```
    pub fn read_time(&self) -> Duration {
        Duration::from_secs_f64(self.size_bytes as f64 / self.rate_bytes_per_s.max(1) as f64)
    }
}

/// Client of the platform's weight store, whose readers share a limited rate.
#[derive(Clone)]
pub struct WeightStoreClient {
    endpoint: HttpEndpoint,
}

impl WeightStoreClient {
    /// Creates a client with a timeout of 2 s per exchange.
    pub fn new(address: SocketAddr) -> Self {
        Self { endpoint: HttpEndpoint::new(address, Duration::from_secs(2)) }
    }

    /// Sets the timeout of one exchange; this opens new connections.
    #[must_use]
    pub fn with_timeout(mut self, timeout: Duration) -> Self {
        self.endpoint = self.endpoint.with_timeout(timeout);
        self
    }

    /// Reads the size and current rate of a version's weights; `None` when the store doesn't have them.
    ///
    /// # Errors
    ///
    /// Returns a [`PlatformError`] when a name is invalid, no complete and valid response arrived, or its status is
    /// neither 2xx nor 404.
    pub async fn info(
        &self,
        model: &str,
        version: &str,
    ) -> Result<Option<WeightInfo>, PlatformError> {
        let path = format!("/v1/weights/{}/{}", validate_name(model)?, validate_name(version)?);
        match self.endpoint.get_json(&path).await {
            Ok(info) => Ok(Some(info)),
            Err(PlatformError::Refused { status: 404, .. }) => Ok(None),
            Err(error) => Err(error),
        }
    }
}
