use crate::Standin;
use crate::process::{FaultControl, RateLimit, lock};
use actix_web::{HttpResponse, web};
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Instant;

/// Settings of the object store stand-in (S3-style `PUT|GET /<bucket>/<key>`).
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub struct ObjectStoreSettings {
    reads_per_s: Option<u32>,
    writes_per_s: Option<u32>,
}

struct ObjectStore {
    objects: BTreeMap<(String, String), web::Bytes>,
    reads: Option<RateLimit>,
    writes: Option<RateLimit>,
}

impl ObjectStoreSettings {
    /// Creates settings without rate limits.
    pub fn new() -> Self {
        Self::default()
    }

    /// Sets the reads and writes per second above which the store responds with status 503.
    #[must_use]
    pub fn with_rates_per_s(mut self, reads_per_s: u32, writes_per_s: u32) -> Self {
        (self.reads_per_s, self.writes_per_s) = (Some(reads_per_s), Some(writes_per_s));
        self
    }

    /// Starts the stand-in.
    ///
    /// # Errors
    ///
    /// Returns an error when the address can't be bound or the server thread can't be started.
    pub fn start(self, address: SocketAddr) -> io::Result<Standin> {
        let now = Instant::now();
        let store = web::Data::new(Mutex::new(ObjectStore {
            objects: BTreeMap::new(),
            reads: RateLimit::optional(self.reads_per_s, now),
            writes: RateLimit::optional(self.writes_per_s, now),
        }));
        let configure = move |config: &mut web::ServiceConfig| {
            config
                .app_data(store.clone())
                .route("/{bucket}/{key:.+}", web::put().to(put_object))
                .route("/{bucket}/{key:.+}", web::get().to(get_object));
        };
        let control = Arc::new(FaultControl::new(&[]));
        Standin::start(address, control, configure, std::future::ready(()))
    }
}

async fn put_object(
    store: web::Data<Mutex<ObjectStore>>,
    path: web::Path<(String, String)>,
    body: web::Bytes,
) -> HttpResponse {
    let mut store = lock(&store);
    if !RateLimit::allows(&mut store.writes, Instant::now()) {
        return rate_limited_response();
    }
    store.objects.insert(path.into_inner(), body);
    HttpResponse::Ok().finish()
}

async fn get_object(
    store: web::Data<Mutex<ObjectStore>>,
    path: web::Path<(String, String)>,
) -> HttpResponse {
    let mut store = lock(&store);
    if !RateLimit::allows(&mut store.reads, Instant::now()) {
        return rate_limited_response();
    }
    match store.objects.get(&path.into_inner()) {
        Some(object) => HttpResponse::Ok().body(object.clone()),
        None => HttpResponse::NotFound().body("NoSuchKey"),
    }
}

/// Returns the response of an exceeded rate limit, which S3 calls `SlowDown`.
fn rate_limited_response() -> HttpResponse {
    HttpResponse::ServiceUnavailable().body("SlowDown")
}
