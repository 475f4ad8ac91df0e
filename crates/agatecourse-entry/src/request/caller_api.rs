use crate::connection::TargetClient;
use crate::process::NodeState;
use crate::request::RequestError;
use crate::request::admission::Admission;
use crate::request::body_reader::{read_body, too_large};
use crate::request::chat_request::ChatRequest;
use crate::request::job::{Job, RequestSize};
use crate::request::job_task::{JobTask, TargetRequest};
use crate::request::model_dispatch::EngineRequest;
use crate::request::response_channel::{ResponseHead, ResponseStart, response_channel};
use crate::request::service_dispatch::{ServiceRequest, forwarded_headers};
use actix_web::http::header::CONTENT_LENGTH;
use actix_web::web::{self, Bytes, Payload};
use actix_web::{HttpRequest, HttpResponse, HttpResponseBuilder};
use agatecourse_config::{RouteConfig, RouteKind};
use agatecourse_history::HistoryEvent;
use agatecourse_types::{RequestId, ResultCode, format_request_id, stable_hash};
use slog::info;
use std::sync::Arc;

/// State that the handlers of one worker thread share.
pub(crate) struct WorkerState {
    pub(crate) state: Arc<NodeState>,
    pub(crate) client: TargetClient,
}

/// Adds the endpoints for callers to an application.
pub(crate) fn configure_routes(config: &mut web::ServiceConfig, state: &Arc<NodeState>) {
    let worker = WorkerState { state: state.clone(), client: TargetClient::new() };
    config
        .app_data(web::Data::new(worker))
        .route("/v1/chat/completions", web::post().to(chat_completions))
        .route("/services/{route}", web::to(forward_to_service))
        .route("/services/{route}/{path:.*}", web::to(forward_to_service))
        .default_service(web::to(unknown_path));
}

async fn chat_completions(
    worker: web::Data<WorkerState>,
    request: HttpRequest,
    payload: Payload,
) -> HttpResponse {
    let request_id = worker.state.new_request_id();
    match prepare_chat(&worker.state, &request, payload, request_id).await {
        Ok((job, request)) => run_request(&worker, job, request).await,
        Err(error) => error_response(&worker.state, request_id, &error),
    }
}

async fn forward_to_service(
    worker: web::Data<WorkerState>,
    request: HttpRequest,
    payload: Payload,
) -> HttpResponse {
    let request_id = worker.state.new_request_id();
    match prepare_service(&worker.state, &request, payload, request_id).await {
        Ok((job, request)) => run_request(&worker, job, request).await,
        Err(error) => error_response(&worker.state, request_id, &error),
    }
}

async fn unknown_path(worker: web::Data<WorkerState>, request: HttpRequest) -> HttpResponse {
    let detail = format!("nothing at {} {}", request.method(), request.path());
    let error = RequestError::new(ResultCode::UnknownRoute, detail);
    error_response(&worker.state, worker.state.new_request_id(), &error)
}

async fn prepare_chat(
    state: &NodeState,
    request: &HttpRequest,
    payload: Payload,
    request_id: RequestId,
) -> Result<(Job, TargetRequest), RequestError> {
    let admission = Admission::check(state, request, request_id)?;
    let body = receive_body(&admission, request, payload).await?;
    let chat = ChatRequest::parse(&body)?;
    let route = admission.route(&chat.model)?.clone();
    check_kind(&route, RouteKind::Model, "/services/<route>")?;
    let fingerprint = stable_hash(&[route.name.as_bytes(), &body]);
    let size = RequestSize {
        read_tokens: chat.prompt.tokens(),
        write_tokens: state.output_lengths.estimate(
            &route.name,
            &admission.organisation,
            chat.max_tokens,
        ),
        prefix_hashes: chat.prompt.prefix_hashes.clone(),
    };
    let request = EngineRequest { body: chat.engine_body(&route.model), stream: chat.stream };
    let job = Job::accept(state, admission, &route, fingerprint, size)?;
    Ok((job, TargetRequest::Chat(request)))
}

async fn prepare_service(
    state: &NodeState,
    request: &HttpRequest,
    payload: Payload,
    request_id: RequestId,
) -> Result<(Job, TargetRequest), RequestError> {
    let admission = Admission::check(state, request, request_id)?;
    let name = request.match_info().get("route").unwrap_or_default();
    let route = admission.route(name)?.clone();
    check_kind(&route, RouteKind::Service, "/v1/chat/completions")?;
    let body = receive_body(&admission, request, payload).await?;
    // The path is taken from the raw URI, so that percent-encoding reaches the service unchanged.
    let target = request.uri().path_and_query().map_or("/", |target| target.as_str());
    let rest = target.splitn(4, '/').nth(3).unwrap_or_default();
    let path = format!("/{rest}");
    let method = request.method().clone();
    let fingerprint =
        stable_hash(&[route.name.as_bytes(), method.as_str().as_bytes(), path.as_bytes(), &body]);
    let request =
        ServiceRequest { method, path, headers: forwarded_headers(request.headers()), body };
    let size = RequestSize { read_tokens: 1, write_tokens: 1, ..RequestSize::default() };
    let job = Job::accept(state, admission, &route, fingerprint, size)?;
    Ok((job, TargetRequest::Service(request)))
}

async fn receive_body(
    admission: &Admission,
    request: &HttpRequest,
    payload: Payload,
) -> Result<Bytes, RequestError> {
    let limit_bytes = admission.view.config.body_limit_bytes;
    let announced = request.headers().get(CONTENT_LENGTH).and_then(|value| value.to_str().ok());
    if announced.and_then(|text| text.parse().ok()).is_some_and(|size: usize| size > limit_bytes) {
        return Err(too_large(limit_bytes));
    }
    read_body(payload, limit_bytes).await
}

fn check_kind(route: &RouteConfig, expected: RouteKind, other: &str) -> Result<(), RequestError> {
    if route.kind == expected {
        return Ok(());
    }
    let detail = format!("route {:?} is served at {other}", route.name);
    Err(RequestError::new(ResultCode::UnknownRoute, detail))
}

/// Spawns the task of a request and builds the HTTP response from what the task sends.
async fn run_request(worker: &WorkerState, job: Job, request: TargetRequest) -> HttpResponse {
    let request_id = job.request_id;
    let (sender, mut body) = response_channel(job.guards.clone());
    let task = JobTask::new(worker.state.clone(), worker.client.clone(), job, sender);
    actix_web::rt::spawn(task.run(request));
    match body.receive_start().await {
        Some(ResponseStart::Refused(error)) => error.response(request_id),
        Some(ResponseStart::Whole(head, bytes)) => build_response(&head, request_id).body(bytes),
        Some(ResponseStart::Stream(head)) => build_response(&head, request_id).streaming(body),
        None => {
            let error = RequestError::new(ResultCode::OutcomeUnknown, "the request's task ended");
            error.response(request_id)
        }
    }
}

fn build_response(head: &ResponseHead, request_id: RequestId) -> HttpResponseBuilder {
    let mut response = HttpResponse::build(head.status);
    for (name, value) in &head.headers {
        response.append_header((name, value));
    }
    response.insert_header(("X-Request-Id", format_request_id(request_id)));
    response
}

fn error_response(state: &NodeState, request_id: RequestId, error: &RequestError) -> HttpResponse {
    let code = error.code.number();
    state.metrics.requests.with_label_values(&["", "", code.to_string().as_str()]).inc();
    let run = error.run();
    state.history.write(|| HistoryEvent::Refused { request_id, code, run });
    info!(state.log, "request refused"; "request_id" => format_request_id(request_id),
        "code" => code, "detail" => error.code.title());
    let mut response = error.response(request_id);
    if state.gate.is_closed() {
        response.head_mut().set_connection_type(actix_web::http::ConnectionType::Close);
    }
    response
}
