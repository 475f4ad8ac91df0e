use crate::Standin;
use crate::process::{FaultControl, lock};
use actix_web::{HttpResponse, web};
use agatecourse_platform::VmEntry;
use serde_json::json;
use std::collections::VecDeque;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Largest number of changes that are not visible yet; further changes are refused with status 429.
const CHANGE_LIMIT: usize = 10_000;

/// Settings of the VM list stand-in; `PUT /v1/vms` replaces the list, and the change becomes visible after the lag.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub struct VmListSettings {
    vms: Vec<VmEntry>,
    lag: Duration,
}

struct VmList {
    lag: Duration,
    visible: Vec<VmEntry>,
    pending_changes: VecDeque<(Instant, Vec<VmEntry>)>,
}

impl VmListSettings {
    /// Creates settings for an empty list without lag.
    pub fn new() -> Self {
        Self::default()
    }

    /// Sets the VMs that are listed when the stand-in starts.
    #[must_use]
    pub fn with_vms(mut self, vms: Vec<VmEntry>) -> Self {
        self.vms = vms;
        self
    }

    /// Sets the time after which a change becomes visible.
    #[must_use]
    pub fn with_lag(mut self, lag: Duration) -> Self {
        self.lag = lag;
        self
    }

    /// Starts the stand-in.
    ///
    /// # Errors
    ///
    /// Returns an error when the address can't be bound or the server thread can't be started.
    pub fn start(self, address: SocketAddr) -> io::Result<Standin> {
        let list = VmList { lag: self.lag, visible: self.vms, pending_changes: VecDeque::new() };
        let list = web::Data::new(Mutex::new(list));
        let configure = move |config: &mut web::ServiceConfig| {
            config
                .app_data(list.clone())
                .route("/v1/vms", web::get().to(list_vms))
                .route("/v1/vms", web::put().to(replace_vms));
        };
        let control = Arc::new(FaultControl::new(&[]));
        Standin::start(address, control, configure, std::future::ready(()))
    }
}

impl VmList {
    fn apply_due_changes(&mut self, now: Instant) {
        while let Some((at, _)) = self.pending_changes.front()
            && now.saturating_duration_since(*at) >= self.lag
        {
            if let Some((_, vms)) = self.pending_changes.pop_front() {
                self.visible = vms;
            }
        }
    }
}

async fn list_vms(list: web::Data<Mutex<VmList>>) -> HttpResponse {
    let mut list = lock(&list);
    list.apply_due_changes(Instant::now());
    HttpResponse::Ok().json(&list.visible)
}

async fn replace_vms(list: web::Data<Mutex<VmList>>, vms: web::Json<Vec<VmEntry>>) -> HttpResponse {
    let mut list = lock(&list);
    let now = Instant::now();
    list.apply_due_changes(now);
    if list.pending_changes.len() >= CHANGE_LIMIT {
        let detail = json!({ "error": "too many changes wait for the lag" });
        return HttpResponse::TooManyRequests().json(detail);
    }
    list.pending_changes.push_back((now, vms.into_inner()));
    HttpResponse::Ok().finish()
}
