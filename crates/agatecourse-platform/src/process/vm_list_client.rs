use crate::PlatformError;
use crate::process::http_endpoint::HttpEndpoint;
use agatecourse_types::{VmId, ZoneId};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::time::Duration;

/// State of a VM in the platform's list, which lags behind the actual state.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum VmState {
    /// The VM is running, and its stop isn't announced.
    #[default]
    Live,
    /// The platform has announced that it will stop the VM.
    Leaving,
}

/// VM in the platform's list.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct VmEntry {
    /// Name that the platform gave the VM.
    pub vm: VmId,
    /// Availability zone that the VM runs in.
    pub zone: ZoneId,
    /// Address on which the node or target on the VM listens.
    pub address: SocketAddr,
    /// Whether the VM keeps running or is about to be stopped.
    pub state: VmState,
}

/// Client of the platform's list of VMs.
#[derive(Clone)]
pub struct VmListClient {
    endpoint: HttpEndpoint,
}

impl VmListClient {
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

    /// Reads the list of live and leaving VMs.
    ///
    /// # Errors
    ///
    /// Returns a [`PlatformError`] when no complete response arrived, its status isn't 2xx, or its body isn't a
    /// valid list.
    pub async fn list(&self) -> Result<Vec<VmEntry>, PlatformError> {
        self.endpoint.get_json("/v1/vms").await
    }
}
