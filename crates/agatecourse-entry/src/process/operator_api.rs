use crate::process::{NodeState, SnapshotJournal, secret_matches};
use crate::request::{RequestError, bearer_token};
use actix_web::{HttpRequest, HttpResponse, web};
use agatecourse_peer::PeerEndpoint;
use agatecourse_types::{ResultCode, parse_request_id};
use agatecourse_wire::process::AlertKey;
use serde_json::json;
use std::sync::Arc;
use std::sync::atomic::Ordering;

const OPERATOR_REASON: &str = "by an operator";

type StateData = web::Data<Arc<NodeState>>;

/// Adds the operators' endpoints to an application.
///
/// `/healthz` and `/readyz` need no token, because load balancers can't send one and their responses only say
/// whether the node is running and ready.
pub(crate) fn configure(config: &mut web::ServiceConfig, state: &Arc<NodeState>) {
    config
        .app_data(web::Data::new(state.clone()))
        .route("/healthz", web::get().to(healthz))
        .route("/readyz", web::get().to(readyz))
        .route("/metrics", web::get().to(metrics))
        .route("/dump", web::get().to(dump))
        .route("/explain/{request_id}", web::get().to(explain))
        .route("/drain/{target}", web::post().to(drain))
        .route("/drain/{target}", web::delete().to(undrain))
        .route("/release/{fingerprint}", web::post().to(release))
        .default_service(web::to(unknown_path));
}

async fn healthz() -> HttpResponse {
    HttpResponse::Ok().json(json!({ "status": "ok" }))
}

async fn readyz(state: StateData) -> HttpResponse {
    let reason = if state.gate.is_closed() {
        "the node is shutting down"
    } else if !state.cluster.is_joined() {
        "the node has not found the other nodes yet"
    } else if state.view().is_none() {
        "the node has read no configuration yet"
    } else {
        return HttpResponse::Ok().json(json!({ "status": "ready" }));
    };
    HttpResponse::ServiceUnavailable().json(json!({ "status": "not ready", "reason": reason }))
}

async fn metrics(state: StateData, request: HttpRequest) -> HttpResponse {
    if let Some(response) = reject_unauthorized(&state, &request) {
        return response;
    }
    state.metrics.ready.set(i64::from(state.is_ready()));
    state.metrics.running.set(i64::try_from(state.gate.running()).unwrap_or(i64::MAX));
    HttpResponse::Ok().content_type("text/plain; version=0.0.4").body(state.metrics.render())
}

async fn dump(state: StateData, request: HttpRequest) -> HttpResponse {
    if let Some(response) = reject_unauthorized(&state, &request) {
        return response;
    }
    let pools = state.pools.snapshots();
    let journal = state.journal.send(SnapshotJournal).await.unwrap_or_default();
    let view = state.view();
    HttpResponse::Ok().json(json!({
        "node": state.settings.name,
        "incarnation": state.incarnation,
        "zone": state.settings.zone,
        "ready": state.is_ready(),
        "shutting_down": state.gate.is_closed(),
        "running": state.gate.running(),
        "live_nodes": state.live_nodes.load(Ordering::Relaxed),
        "membership": state.group().snapshot(),
        "alerts": state.group().alerts(),
        "config_version": view.as_ref().map_or(0, |view| view.version),
        "traffic": state.cluster.endpoint().map(PeerEndpoint::traffic),
        "pools": pools,
        "journal": journal,
        "verdicts": state.quarantine.verdicts(),
    }))
}

async fn explain(state: StateData, request: HttpRequest) -> HttpResponse {
    if let Some(response) = reject_unauthorized(&state, &request) {
        return response;
    }
    let text = request.match_info().get("request_id").unwrap_or_default();
    match parse_request_id(text).map(|id| state.explanations.find(id)) {
        Ok(Some(explanation)) => HttpResponse::Ok().json(explanation),
        Ok(None) => {
            error_response(&state, ResultCode::UnknownRoute, "the request is not known here")
        }
        Err(error) => error_response(&state, ResultCode::Malformed, &error.to_string()),
    }
}

async fn drain(state: StateData, request: HttpRequest) -> HttpResponse {
    set_drained(&state, &request, true)
}

async fn undrain(state: StateData, request: HttpRequest) -> HttpResponse {
    set_drained(&state, &request, false)
}

fn set_drained(state: &Arc<NodeState>, request: &HttpRequest, drained: bool) -> HttpResponse {
    if let Some(response) = reject_unauthorized(state, request) {
        return response;
    }
    let target = request.match_info().get("target").unwrap_or_default().to_string();
    let known = state.view().is_some_and(|view| view.config.targets.contains_key(&target));
    if !known {
        return error_response(
            state,
            ResultCode::UnknownRoute,
            "the configuration has no such target",
        );
    }
    let key = AlertKey::TargetDrained { target: target.clone() };
    state.group().set_alert(state, key, drained, OPERATOR_REASON);
    HttpResponse::Ok().json(json!({ "target": target, "drained": drained }))
}

async fn release(state: StateData, request: HttpRequest) -> HttpResponse {
    if let Some(response) = reject_unauthorized(&state, &request) {
        return response;
    }
    let text = request.match_info().get("fingerprint").unwrap_or_default();
    let Ok(fingerprint) = u64::from_str_radix(text, 16) else {
        return error_response(&state, ResultCode::Malformed, "expected 16 hexadecimal digits");
    };
    for key in [AlertKey::Quarantine { fingerprint }, AlertKey::Suspect { fingerprint }] {
        state.group().set_alert(&state, key, false, OPERATOR_REASON);
    }
    HttpResponse::Ok().json(json!({ "fingerprint": text, "released": true }))
}

async fn unknown_path(state: StateData) -> HttpResponse {
    error_response(
        &state,
        ResultCode::UnknownRoute,
        "expected /healthz, /readyz, /metrics, /dump, /explain/<request id>, /drain/<target> or \
         /release/<fingerprint>",
    )
}

/// Returns an error response unless the request has the operators' token, which is compared in constant time.
fn reject_unauthorized(state: &NodeState, request: &HttpRequest) -> Option<HttpResponse> {
    let token = bearer_token(request);
    let expected = &state.settings.operator_token_sha256;
    if token.is_some_and(|token| secret_matches(token, expected)) {
        return None;
    }
    Some(error_response(
        state,
        ResultCode::Unauthorized,
        "expected the operators' token in `Authorization: Bearer`",
    ))
}

fn error_response(state: &NodeState, code: ResultCode, detail: &str) -> HttpResponse {
    RequestError::new(code, detail).response(state.new_request_id())
}
