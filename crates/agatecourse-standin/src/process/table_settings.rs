use crate::Standin;
use crate::process::table_state::{TableRefusal, TableState};
use crate::process::table_wire::{RangeRequest, TxnRequest};
use crate::process::{FaultControl, lock};
use actix_web::{HttpResponse, web};
use serde::Serialize;
use serde_json::json;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Instant;

/// Settings of the table stand-in (JSON mapping of the etcd v3 API).
///
/// The table has no request ids: it counts its operations under the ids `range` and `txn`.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub struct TableSettings {
    reads_per_s: Option<u32>,
    writes_per_s: Option<u32>,
}

impl TableSettings {
    /// Creates settings without rate limits.
    pub fn new() -> Self {
        Self::default()
    }

    /// Sets the reads per second above which the table responds with status 429.
    #[must_use]
    pub fn with_reads_per_s(mut self, reads_per_s: u32) -> Self {
        self.reads_per_s = Some(reads_per_s);
        self
    }

    /// Sets the transactions per second above which the table responds with status 429.
    #[must_use]
    pub fn with_writes_per_s(mut self, writes_per_s: u32) -> Self {
        self.writes_per_s = Some(writes_per_s);
        self
    }

    /// Starts the stand-in.
    ///
    /// # Errors
    ///
    /// Returns an error when the address can't be bound or the server thread can't be started.
    pub fn start(self, address: SocketAddr) -> io::Result<Standin> {
        let state = TableState::new(self.reads_per_s, self.writes_per_s, Instant::now());
        let state = web::Data::new(Mutex::new(state));
        let configure = move |config: &mut web::ServiceConfig| {
            config
                .app_data(state.clone())
                .route("/v3/kv/range", web::post().to(handle_range))
                .route("/v3/kv/txn", web::post().to(handle_txn));
        };
        let control = Arc::new(FaultControl::new(&[]));
        Standin::start(address, control, configure, std::future::ready(()))
    }
}

async fn handle_range(
    state: web::Data<Mutex<TableState>>,
    control: web::Data<FaultControl>,
    request: web::Json<RangeRequest>,
) -> HttpResponse {
    // The table uses two ids only, so the counter can't be full.
    let _ = control.runs().record("range");
    to_response(lock(&state).range(&request, Instant::now()))
}

async fn handle_txn(
    state: web::Data<Mutex<TableState>>,
    control: web::Data<FaultControl>,
    request: web::Json<TxnRequest>,
) -> HttpResponse {
    let _ = control.runs().record("txn");
    to_response(lock(&state).commit(&request, Instant::now()))
}

fn to_response(result: Result<impl Serialize, TableRefusal>) -> HttpResponse {
    match result {
        Ok(reply) => HttpResponse::Ok().json(reply),
        Err(TableRefusal::RateExceeded) => {
            HttpResponse::TooManyRequests().json(json!({ "error": "too many requests", "code": 8 }))
        }
        Err(TableRefusal::Invalid(detail)) => {
            HttpResponse::BadRequest().json(json!({ "error": detail, "code": 3 }))
        }
    }
}
