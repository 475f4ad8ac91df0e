use crate::process::FaultControl;
use crate::{ServiceAnswer, Standin};
use actix_web::http::StatusCode;
use actix_web::{HttpRequest, HttpResponse, web};
use serde_json::json;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

/// Settings of the service stand-in, which accepts any method on any path.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct ServiceSettings {
    name: String,
    service_time: Duration,
}

struct ServiceState {
    settings: ServiceSettings,
    order_count: AtomicU64,
}

impl ServiceSettings {
    /// Creates settings for a service that responds after 20 ms.
    pub fn new(name: impl Into<String>) -> Self {
        let service_time = Duration::from_millis(20);
        Self { name: name.into(), service_time }
    }

    /// Sets the processing time of each request.
    #[must_use]
    pub fn with_service_time(mut self, service_time: Duration) -> Self {
        self.service_time = service_time;
        self
    }

    /// Starts the stand-in.
    ///
    /// # Errors
    ///
    /// Returns an error when the address can't be bound or the server thread can't be started.
    pub fn start(self, address: SocketAddr) -> io::Result<Standin> {
        let supported = &["crash_marker", "slow_factor"];
        let control = Arc::new(FaultControl::new(supported));
        let state = web::Data::new(ServiceState { settings: self, order_count: AtomicU64::new(0) });
        let configure = move |config: &mut web::ServiceConfig| {
            config
                .app_data(state.clone())
                // Nodes probe every target at the load endpoint of engines; any response shows that the target runs.
                .route("/v1/load", web::get().to(HttpResponse::NotFound))
                .default_service(web::to(handle_request));
        };
        Standin::start(address, control, configure, std::future::ready(()))
    }
}

async fn handle_request(
    request: HttpRequest,
    body: web::Bytes,
    state: web::Data<ServiceState>,
    control: web::Data<FaultControl>,
) -> HttpResponse {
    let request_id = header_text(&request, "x-request-id");
    if !control.runs().record(&request_id) {
        return HttpResponse::build(StatusCode::INSUFFICIENT_STORAGE)
            .json(json!({ "error": "run counter is full" }));
    }
    let order_number = state.order_count.fetch_add(1, Ordering::SeqCst) + 1;
    if control.is_crash_marked(&body) {
        control.crash();
        std::future::pending::<()>().await;
    }
    let slow_factor = control.faults().slow_factor;
    actix_rt::time::sleep(state.settings.service_time.mul_f64(slow_factor)).await;
    HttpResponse::Ok().json(ServiceAnswer {
        service: state.settings.name.clone(),
        order_number,
        request_id,
        method: request.method().to_string(),
        path: request.uri().path_and_query().map_or_else(String::new, ToString::to_string),
        body_sha256: ServiceAnswer::hash_body(&body),
    })
}

/// Returns the value of a header, or an empty string when it is missing or not visible ASCII.
pub(crate) fn header_text(request: &HttpRequest, name: &str) -> String {
    let value = request.headers().get(name).and_then(|value| value.to_str().ok());
    value.unwrap_or_default().to_string()
}
