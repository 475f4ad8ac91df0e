use crate::Standin;
use crate::process::{FaultControl, lock};
use actix_web::{HttpResponse, web};
use agatecourse_platform::WeightInfo;
use agatecourse_types::VersionId;
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Instant;

/// Settings of the weight store stand-in, whose bandwidth is divided among the concurrent readers.
///
/// A request for a version counts as the start of a read. The read lasts for the time that its size takes at the
/// returned rate, and until then it reduces the rate of new readers.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct WeightStoreSettings {
    rate_bytes_per_s: u64,
    size_bytes: u64,
    missing: Vec<VersionId>,
    sizes: BTreeMap<VersionId, u64>,
}

struct WeightStore {
    settings: WeightStoreSettings,
    read_ends: Vec<Instant>,
}

impl WeightStoreSettings {
    /// Creates settings for weights of 100 MB each at 100 MB/s.
    pub fn new() -> Self {
        Self {
            rate_bytes_per_s: 100_000_000,
            size_bytes: 100_000_000,
            missing: Vec::new(),
            sizes: BTreeMap::new(),
        }
    }

    /// Sets the total bandwidth of all readers in bytes per second; at least 1.
    #[must_use]
    pub fn with_rate_bytes_per_s(mut self, rate_bytes_per_s: u64) -> Self {
        self.rate_bytes_per_s = rate_bytes_per_s.max(1);
        self
    }

    /// Sets the size in bytes of all versions for which [`Self::with_version_size`] sets none.
    #[must_use]
    pub fn with_size_bytes(mut self, size_bytes: u64) -> Self {
        self.size_bytes = size_bytes;
        self
    }

    /// Sets the size in bytes of one version's weights.
    #[must_use]
    pub fn with_version_size(mut self, version: impl Into<VersionId>, size_bytes: u64) -> Self {
        self.sizes.insert(version.into(), size_bytes);
        self
    }

    /// Makes the store respond with status 404 for a version.
    #[must_use]
    pub fn with_missing(mut self, version: impl Into<VersionId>) -> Self {
        self.missing.push(version.into());
        self
    }

    /// Starts the stand-in.
    ///
    /// # Errors
    ///
    /// Returns an error when the address can't be bound or the server thread can't be started.
    pub fn start(self, address: SocketAddr) -> io::Result<Standin> {
        let store = WeightStore { settings: self, read_ends: Vec::new() };
        let store = web::Data::new(Mutex::new(store));
        let configure = move |config: &mut web::ServiceConfig| {
            config
                .app_data(store.clone())
                .route("/v1/weights/{model}/{version}", web::get().to(get_weights));
        };
        let control = Arc::new(FaultControl::new(&[]));
        Standin::start(address, control, configure, std::future::ready(()))
    }
}

impl Default for WeightStoreSettings {
    fn default() -> Self {
        Self::new()
    }
}

impl WeightStore {
    fn start_read(&mut self, version: &str, now: Instant) -> Option<WeightInfo> {
        let settings = &self.settings;
        if settings.missing.iter().any(|missing| missing == version) {
            return None;
        }
        self.read_ends.retain(|end| *end > now);
        let readers = self.read_ends.len() as u64 + 1;
        let info = WeightInfo {
            size_bytes: settings.sizes.get(version).copied().unwrap_or(settings.size_bytes),
            rate_bytes_per_s: (settings.rate_bytes_per_s / readers).max(1),
        };
        self.read_ends.push(now + info.read_time());
        Some(info)
    }
}

async fn get_weights(
    store: web::Data<Mutex<WeightStore>>,
    path: web::Path<(String, String)>,
) -> HttpResponse {
    match lock(&store).start_read(&path.1, Instant::now()) {
        Some(info) => HttpResponse::Ok().json(info),
        None => HttpResponse::NotFound().finish(),
    }
}
