use crate::process::{FaultControl, format_hash, lock};
use crate::request::chat_request::ChatRequest;
use crate::request::engine_state::{EngineState, SubmitRefusal};
use crate::request::engine_stream::EngineStream;
use crate::request::service_settings::header_text;
use crate::version::{Order, OrderRefusal, WeightLoad};
use actix_web::http::StatusCode;
use actix_web::{HttpRequest, HttpResponse, web};
use agatecourse_platform::WeightStoreClient;
use serde::Deserialize;
use serde_json::json;
use std::sync::Mutex;
use std::time::{Duration, Instant};
use tokio::sync::Notify;

/// Time between two requests to a weight store that does not respond.
const WEIGHT_STORE_RETRY_INTERVAL: Duration = Duration::from_millis(500);

type SharedEngineState = web::Data<Mutex<EngineState>>;

/// Registers the endpoints of the engine protocol.
pub(crate) fn engine_endpoints(config: &mut web::ServiceConfig) {
    config
        .route("/v1/chat/completions", web::post().to(submit_request))
        .route("/v1/chat/completions/{id}", web::get().to(resume_run))
        .route("/v1/chat/completions/{id}", web::delete().to(cancel_run))
        .route("/v1/load", web::get().to(get_load))
        .route("/v1/cache-events", web::get().to(get_cache_events))
        .route("/v1/orders", web::post().to(handle_order))
        .route("/v1/state", web::get().to(get_state))
        .route("/v1/kv/export", web::post().to(export_blocks))
        .route("/v1/kv/import", web::post().to(import_blocks));
}

async fn submit_request(
    request: HttpRequest,
    body: web::Bytes,
    state: SharedEngineState,
    control: web::Data<FaultControl>,
    work_arrived: web::Data<Notify>,
) -> HttpResponse {
    let chat: ChatRequest = match serde_json::from_slice(&body) {
        Ok(chat) => chat,
        Err(error) => return error_response(StatusCode::BAD_REQUEST, &error.to_string()),
    };
    let request_id = header_text(&request, "x-request-id");
    if request_id.is_empty() {
        return error_response(StatusCode::BAD_REQUEST, "header X-Request-Id is missing");
    }
    if control.is_crash_marked(&body) {
        let _ = control.runs().record(&request_id);
        control.crash();
        std::future::pending::<()>().await;
    }
    let version = header_text(&request, "x-target-version");
    let faults = control.faults();
    let submitted = lock(&state).submit(&request_id, &version, &chat, &faults);
    if matches!(submitted, Ok(_) | Err(SubmitRefusal::VersionFails))
        && !control.runs().record(&request_id)
    {
        lock(&state).cancel(&request_id, Instant::now());
        return error_response(StatusCode::INSUFFICIENT_STORAGE, "run counter is full");
    }
    work_arrived.notify_one();
    match submitted {
        Ok((run, progress)) => {
            let reader = EngineStream::new(run, progress, 0);
            if chat.stream { reader.respond(request, control) } else { respond_whole(reader).await }
        }
        Err(SubmitRefusal::QueueFull) => {
            error_response(StatusCode::TOO_MANY_REQUESTS, "queue full")
        }
        Err(SubmitRefusal::VersionNotLoaded) => {
            error_response(StatusCode::CONFLICT, "version not loaded")
        }
        Err(SubmitRefusal::VersionFails) => {
            error_response(StatusCode::INTERNAL_SERVER_ERROR, "version failed")
        }
    }
}

async fn respond_whole(reader: EngineStream) -> HttpResponse {
    match reader.whole_answer().await {
        Some(answer) => HttpResponse::Ok().json(answer),
        None => {
            error_response(StatusCode::INTERNAL_SERVER_ERROR, "the request ended before its answer")
        }
    }
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
struct ResumeQuery {
    stream: Option<bool>,
}

/// Returns a run again: the events after `Last-Event-ID` or, with `?stream=false`, the complete answer.
async fn resume_run(
    request: HttpRequest,
    id: web::Path<String>,
    query: web::Query<ResumeQuery>,
    state: SharedEngineState,
    control: web::Data<FaultControl>,
) -> HttpResponse {
    let last_event_id = header_text(&request, "last-event-id");
    let position = if last_event_id.is_empty() { Ok(0) } else { last_event_id.parse() };
    let Ok(position) = position else {
        return error_response(StatusCode::BAD_REQUEST, "Last-Event-ID is not a number");
    };
    let Some((run, progress)) = lock(&state).subscribe(&id) else {
        return error_response(StatusCode::NOT_FOUND, "unknown request");
    };
    let reader = EngineStream::new(run, progress, position);
    if query.stream == Some(false) {
        respond_whole(reader).await
    } else {
        reader.respond(request, control)
    }
}

async fn cancel_run(id: web::Path<String>, state: SharedEngineState) -> HttpResponse {
    match lock(&state).cancel(&id, Instant::now()) {
        Some(cancelled) => HttpResponse::Ok().json(json!({ "id": *id, "cancelled": cancelled })),
        None => error_response(StatusCode::NOT_FOUND, "unknown request"),
    }
}

async fn get_load(state: SharedEngineState) -> HttpResponse {
    HttpResponse::Ok().json(lock(&state).reports.visible_report(Instant::now()))
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
struct CacheEventQuery {
    after: u64,
}

async fn get_cache_events(
    state: SharedEngineState,
    query: web::Query<CacheEventQuery>,
) -> HttpResponse {
    HttpResponse::Ok().json(lock(&state).cache_events.events_after(query.after, Instant::now()))
}

async fn get_state(state: SharedEngineState) -> HttpResponse {
    let state = lock(&state);
    HttpResponse::Ok().json(json!({ "engine": state.settings.name, "state": state.versions }))
}

async fn handle_order(state: SharedEngineState, order: web::Json<Order>) -> HttpResponse {
    let applied = lock(&state).versions.apply_order(&order);
    match applied {
        Ok(started) => {
            if let Some(load) = started {
                actix_rt::spawn(load_version(state.clone(), load));
            }
            HttpResponse::Accepted().json(&lock(&state).versions)
        }
        Err(OrderRefusal::StaleFencing(seen)) => {
            let detail = format!("fencing number {} is older than {seen}", order.fencing);
            error_response(StatusCode::CONFLICT, &detail)
        }
        Err(OrderRefusal::Invalid(detail)) => error_response(StatusCode::BAD_REQUEST, &detail),
    }
}

/// Simulates loading a version: waits for the weights at the weight store's rate, then marks the version as loaded.
async fn load_version(state: SharedEngineState, load: WeightLoad) {
    let (load_time, weight_store, model) = {
        let state = lock(&state);
        let settings = &state.settings;
        (settings.load_time, settings.weight_store, settings.model.clone())
    };
    if let Some(address) = weight_store {
        let store = WeightStoreClient::new(address);
        let info = loop {
            if !lock(&state).versions.is_current_load(&load) {
                return;
            }
            match store.info(&model, &load.version).await {
                Ok(info) => break info,
                // Retried while the store is unavailable, until the version is unloaded or loaded by a newer order.
                Err(_) => actix_rt::time::sleep(WEIGHT_STORE_RETRY_INTERVAL).await,
            }
        };
        let Some(info) = info else {
            return lock(&state).versions.finish_load(&load, false);
        };
        actix_rt::time::sleep(info.read_time()).await;
    }
    actix_rt::time::sleep(load_time).await;
    lock(&state).versions.finish_load(&load, true);
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct ExportRequest {
    request_id: String,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct ImportRequest {
    blocks: Vec<String>,
}

async fn export_blocks(
    state: SharedEngineState,
    request: web::Json<ExportRequest>,
) -> HttpResponse {
    match lock(&state).cached_blocks(&request.request_id) {
        Some(blocks) => {
            let blocks: Vec<String> = blocks.into_iter().map(format_hash).collect();
            HttpResponse::Ok().json(json!({ "blocks": blocks }))
        }
        None => error_response(StatusCode::NOT_FOUND, "unknown request"),
    }
}

async fn import_blocks(
    state: SharedEngineState,
    request: web::Json<ImportRequest>,
) -> HttpResponse {
    let parsed: Result<Vec<u64>, _> =
        request.blocks.iter().map(|block| u64::from_str_radix(block, 16)).collect();
    match parsed {
        Ok(blocks) => {
            lock(&state).import_blocks(&blocks, Instant::now());
            HttpResponse::Ok().json(json!({ "imported": blocks.len() }))
        }
        Err(error) => error_response(StatusCode::BAD_REQUEST, &format!("block hash: {error}")),
    }
}

fn error_response(status: StatusCode, detail: &str) -> HttpResponse {
    HttpResponse::build(status).json(json!({ "error": detail }))
}
