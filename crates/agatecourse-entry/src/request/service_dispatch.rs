use crate::connection::{DispatchError, TargetResponse};
use crate::request::RequestError;
use crate::request::job_progress::Dispatch;
use crate::request::job_task::{DispatchResult, JobTask};
use crate::request::request_end::RequestEnd;
use crate::request::response_channel::{BUFFER_BYTES, ResponseHead, ResponseStart};
use crate::request::response_digest::ResponseDigest;
use actix_web::http::Method;
use actix_web::http::header::{CONTENT_TYPE, HeaderMap, HeaderName, HeaderValue};
use agatecourse_types::ResultCode;
use agatecourse_wire::request::DispatchOutcome;
use bytes::{Bytes, BytesMut};
use futures_util::StreamExt;
use std::time::Instant;

/// A caller's request in the form in which it is forwarded to a service.
#[derive(Debug)]
pub(crate) struct ServiceRequest {
    pub(crate) method: Method,
    /// Path and query, without the prefix `/services/<route>`.
    pub(crate) path: String,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
}

/// Hop-by-hop headers, headers that the node sets itself, and the caller's credentials.
const NOT_FORWARDED: [&str; 13] = [
    "authorization",
    "connection",
    "content-length",
    "expect",
    "host",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// Dispatches a service request and relays its response to the caller.
pub(crate) async fn dispatch_service_request(
    task: &JobTask,
    request: &ServiceRequest,
    dispatch: &Dispatch,
) -> DispatchResult {
    let url = format!("http://{}{}", dispatch.target_address, request.path);
    let mut headers = forwarded_headers(&request.headers);
    if let Ok(id) = HeaderValue::from_str(&task.job.id_text) {
        headers.insert(HeaderName::from_static("x-request-id"), id);
    }
    let timeout = task.job.deadline.saturating_duration_since(Instant::now());
    let body = request.body.clone();
    match task.client.dispatch(request.method.clone(), &url, headers, body, timeout).await {
        Ok(response) => DispatchResult::Ended(relay(task, response).await),
        Err(DispatchError::ConnectionRefused) => DispatchResult::NotSent,
        Err(error @ DispatchError::NotConnected { .. }) => {
            let error = RequestError::new(ResultCode::NoTarget, error.to_string());
            DispatchResult::Ended(RequestEnd::failed(error, DispatchOutcome::NotSent))
        }
        Err(DispatchError::TimedOut) => DispatchResult::Ended(RequestEnd::Expired),
        Err(error @ DispatchError::ConnectionLost { .. }) => {
            DispatchResult::Ended(lost_connection(task, dispatch, &error.to_string()).await)
        }
    }
}

/// Copies the end-to-end headers of a request or response.
pub(crate) fn forwarded_headers(headers: &HeaderMap) -> HeaderMap {
    let mut copy = HeaderMap::new();
    for (name, value) in headers {
        if !NOT_FORWARDED.contains(&name.as_str()) {
            copy.append(name.clone(), value.clone());
        }
    }
    copy
}

/// Returns how a request ended whose connection was lost; the service may have run it.
async fn lost_connection(task: &JobTask, dispatch: &Dispatch, detail: &str) -> RequestEnd {
    if task.client.probe(dispatch.target_address).await == Err(DispatchError::ConnectionRefused) {
        task.report_crash(dispatch);
        let error = RequestError::new(ResultCode::CrashSuspected, detail);
        return RequestEnd::failed(error, DispatchOutcome::Broken);
    }
    RequestEnd::failed(
        RequestError::new(ResultCode::OutcomeUnknown, detail),
        DispatchOutcome::Broken,
    )
}

/// Relays a response to the caller.
///
/// A response that fits the buffer is sent whole, so that a truncated one can still be replaced by a problem
/// document. A larger one is streamed, and aborted if it is truncated.
async fn relay(task: &JobTask, mut response: TargetResponse) -> RequestEnd {
    task.progress.borrow_mut().first_token_at.get_or_insert_with(Instant::now);
    let head =
        ResponseHead { status: response.status(), headers: forwarded_headers(response.headers()) };
    let failed = head.status.is_server_error();
    let mut digest = ResponseDigest::default();
    let mut buffer = BytesMut::new();
    let mut streaming = false;
    while let Some(chunk) = response.next().await {
        let Ok(chunk) = chunk else {
            let error = RequestError::new(ResultCode::Truncated, "the answer was cut off");
            return RequestEnd::failed(error, DispatchOutcome::Broken);
        };
        if !task.job.idempotent {
            digest.add(&chunk);
        }
        buffer.extend_from_slice(&chunk);
        if streaming || buffer.len() > BUFFER_BYTES {
            if !streaming {
                streaming = true;
                task.progress.borrow_mut().response_started = true;
                if let Err(error) =
                    task.response.send_start(ResponseStart::Stream(head.clone())).await
                {
                    return error.into();
                }
            }
            if let Err(error) = task.response.send_data(buffer.split().freeze()).await {
                return error.into();
            }
        }
    }
    if !task.job.idempotent {
        let content_type = head.headers.get(CONTENT_TYPE).and_then(|value| value.to_str().ok());
        let answer = digest.finish(head.status, content_type.unwrap_or_default());
        task.progress.borrow_mut().answer = Some(answer);
    }
    let sent = if streaming {
        task.response.send_end().await
    } else {
        task.response.send_start(ResponseStart::Whole(head, buffer.freeze())).await
    };
    match sent {
        Err(error) => error.into(),
        Ok(()) if failed => RequestEnd::AnsweredWithError,
        Ok(()) => RequestEnd::Answered,
    }
}
