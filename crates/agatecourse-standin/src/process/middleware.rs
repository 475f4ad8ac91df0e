use crate::connection::AcceptedConnection;
use crate::process::FaultControl;
use actix_web::body::MessageBody;
use actix_web::dev::{ServiceRequest, ServiceResponse};
use actix_web::middleware::Next;
use actix_web::{Error, HttpResponse, web};
use serde_json::{Map, Value, json};
use std::time::Duration;

/// Injects the faults that affect a whole request or response: silence, latency, outage, errors and lost responses.
///
/// The endpoints that control the stand-in are exempt.
pub(crate) async fn apply_faults(
    request: ServiceRequest,
    next: Next<impl MessageBody + 'static>,
) -> Result<ServiceResponse<impl MessageBody>, Error> {
    let control = request.app_data::<web::Data<FaultControl>>().cloned();
    let (Some(control), false) = (control, is_control_endpoint(request.path())) else {
        return Ok(next.call(request).await?.map_into_left_body());
    };
    wait_if_silent(&request, &control).await;
    let faults = control.faults();
    if faults.latency_ms > 0 {
        actix_rt::time::sleep(Duration::from_millis(faults.latency_ms)).await;
    }
    if faults.outage {
        let refusal = HttpResponse::ServiceUnavailable().json(json!({ "error": "outage" }));
        return Ok(request.into_response(refusal).map_into_right_body());
    }
    if control.should_inject(faults.error_rate) {
        let refusal = HttpResponse::InternalServerError().json(json!({ "error": "fault" }));
        return Ok(request.into_response(refusal).map_into_right_body());
    }
    let response = next.call(request).await?;
    if control.should_inject(faults.lost_answer_rate)
        && let Some(accepted) = response.request().conn_data::<AcceptedConnection>()
    {
        accepted.close();
    }
    if is_silent(response.request().conn_data(), &control) {
        std::future::pending::<()>().await;
    }
    Ok(response.map_into_left_body())
}

/// Returns whether the stand-in must stop responding on a connection.
pub(crate) fn is_silent(accepted: Option<&AcceptedConnection>, control: &FaultControl) -> bool {
    accepted.is_some_and(|accepted| accepted.is_silent(control.silence_count()))
}

/// Never returns when the connection is silent.
async fn wait_if_silent(request: &ServiceRequest, control: &FaultControl) {
    if is_silent(request.conn_data(), control) {
        std::future::pending::<()>().await;
    }
}

fn is_control_endpoint(path: &str) -> bool {
    path == "/faults" || path == "/runs"
}

/// Registers the endpoints that all stand-ins have.
pub(crate) fn control_endpoints(config: &mut web::ServiceConfig) {
    config
        .route("/faults", web::get().to(get_faults))
        .route("/faults", web::post().to(change_faults))
        .route("/runs", web::get().to(get_runs));
}

async fn get_faults(control: web::Data<FaultControl>) -> HttpResponse {
    HttpResponse::Ok().json(control.faults())
}

async fn change_faults(control: web::Data<FaultControl>, body: web::Bytes) -> HttpResponse {
    let patch: Result<Map<String, Value>, _> = serde_json::from_slice(&body);
    let changed = patch
        .map_err(|error| format!("expected a JSON object: {error}"))
        .and_then(|patch| control.apply_patch(&patch));
    match changed {
        Ok(faults) => HttpResponse::Ok().json(faults),
        Err(detail) => HttpResponse::BadRequest().json(json!({ "error": detail })),
    }
}

async fn get_runs(control: web::Data<FaultControl>) -> HttpResponse {
    HttpResponse::Ok().json(control.runs().counts())
}
