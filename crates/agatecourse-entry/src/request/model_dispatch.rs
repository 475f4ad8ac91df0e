use crate::process::PoolReply;
use crate::request::RequestError;
use crate::request::chat_completion::ChatCompletion;
use crate::request::engine_stream::{EngineStream, StreamError};
use crate::request::job_progress::Dispatch;
use crate::request::job_task::{DispatchResult, JobTask};
use crate::request::request_end::RequestEnd;
use crate::request::response_channel::{CallerLeft, ResponseHead, ResponseStart};
use crate::request::sse_parser::SseEvent;
use crate::request::stream_sharing::publish_stream;
use actix_web::http::StatusCode;
use actix_web::http::header::{CACHE_CONTROL, CONTENT_TYPE, HeaderMap, HeaderValue};
use agatecourse_types::{ResultCode, RunState, format_request_id};
use agatecourse_wire::request::DispatchOutcome;
use bytes::{Bytes, BytesMut};
use serde::Deserialize;
use serde::de::IgnoredAny;
use smallvec::SmallVec;
use std::time::Instant;
use tokio::sync::mpsc;

/// A chat-completions request in the form in which it is sent to an engine.
#[derive(Debug)]
pub(crate) struct EngineRequest {
    pub(crate) body: Bytes,
    /// Whether the caller requested a stream; otherwise it receives one JSON document.
    pub(crate) stream: bool,
}

#[derive(Deserialize)]
struct Chunk {
    #[serde(default)]
    choices: SmallVec<[Choice; 1]>,
    usage: Option<Usage>,
    error: Option<IgnoredAny>,
}

#[derive(Deserialize)]
struct Choice {
    finish_reason: Option<IgnoredAny>,
}

#[derive(Deserialize)]
struct Usage {
    #[serde(default)]
    prompt_tokens: u32,
    #[serde(default)]
    completion_tokens: u32,
    prompt_tokens_details: Option<PromptDetails>,
}

#[derive(Deserialize)]
struct PromptDetails {
    #[serde(default)]
    cached_tokens: u32,
}

/// Dispatches a chat request and relays its stream to the caller.
pub(crate) async fn dispatch_model_request(
    task: &JobTask,
    request: &EngineRequest,
    dispatch: &Dispatch,
    inbox: &mut mpsc::Receiver<PoolReply>,
) -> DispatchResult {
    let mut stream = EngineStream::new(
        &task.client,
        dispatch.target_address,
        &task.job.id_text,
        task.job.progress_timeout,
    );
    if let Err(error) = stream.dispatch(&dispatch.grant.version, request.body.clone()).await {
        return match error {
            StreamError::ConnectionRefused => DispatchResult::NotSent,
            error => DispatchResult::Ended(stream_failure(task, dispatch, &error)),
        };
    }
    publish_stream(task, &dispatch.grant.target);
    task.state.metrics.open_streams.inc();
    let relay = relay(task, request.stream, dispatch, &mut stream);
    let ending = tokio::select! {
        ending = relay => ending,
        () = wait_for_cancellation(inbox) => {
            let error = RequestError::new(ResultCode::Shed, "the pool owner cancelled the request");
            RequestEnd::failed(error.with_run(RunState::Yes), DispatchOutcome::Cancelled)
        }
    };
    task.state.metrics.open_streams.dec();
    DispatchResult::Ended(ending)
}

/// Relays the stream of an earlier request to the caller, from its start.
pub(crate) async fn relay_earlier_stream(
    task: &JobTask,
    request: &EngineRequest,
    dispatch: &Dispatch,
) -> RequestEnd {
    let stream_id = format_request_id(dispatch.grant.request_id);
    let mut stream = EngineStream::new(
        &task.client,
        dispatch.target_address,
        &stream_id,
        task.job.progress_timeout,
    );
    if let Err(error) = stream.join().await {
        return stream_failure(task, dispatch, &error);
    }
    task.state.metrics.open_streams.inc();
    let ending = relay(task, request.stream, dispatch, &mut stream).await;
    task.state.metrics.open_streams.dec();
    ending
}

async fn wait_for_cancellation(inbox: &mut mpsc::Receiver<PoolReply>) {
    while let Some(reply) = inbox.recv().await {
        if matches!(reply, PoolReply::CancelRunning(_)) {
            return;
        }
    }
    std::future::pending::<()>().await;
}

async fn relay(
    task: &JobTask,
    stream_wanted: bool,
    dispatch: &Dispatch,
    stream: &mut EngineStream<'_>,
) -> RequestEnd {
    let mut output =
        if stream_wanted { RelayOutput::Stream(BytesMut::new()) } else { RelayOutput::default() };
    let mut finished = false;
    loop {
        let event = match stream.next().await {
            Ok(event) => event,
            Err(error) => {
                record_resumptions(task, stream, "lost");
                return stream_failure(task, dispatch, &error);
            }
        };
        record_resumptions(task, stream, "ok");
        task.progress.borrow_mut().first_token_at.get_or_insert_with(Instant::now);
        if event.data.as_ref() == b"[DONE]" {
            let end =
                if finished { output.complete(task, &event).await } else { truncated_stream() };
            return end;
        }
        let added = record_chunk(task, &event).and_then(|last| {
            finished |= last;
            output.add(&event)
        });
        if let Err(error) = added {
            return RequestEnd::failed(error, DispatchOutcome::Failed);
        }
        // Chunks that arrived together are sent in one write, which saves system calls.
        if !stream.has_chunk()
            && let Err(error) = output.flush(task).await
        {
            return error.into();
        }
    }
}

/// Form in which the caller receives the stream of an engine.
enum RelayOutput {
    /// Server-sent events, unchanged; holds those that were not sent yet.
    Stream(BytesMut),
    /// One JSON document, assembled from the events.
    Whole(ChatCompletion),
}

impl Default for RelayOutput {
    fn default() -> Self {
        Self::Whole(ChatCompletion::default())
    }
}

impl RelayOutput {
    fn add(&mut self, event: &SseEvent) -> Result<(), RequestError> {
        match self {
            Self::Stream(unsent) => unsent.extend_from_slice(&event.raw),
            Self::Whole(answer) => answer.add(&event.data)?,
        }
        Ok(())
    }

    async fn flush(&mut self, task: &JobTask) -> Result<(), CallerLeft> {
        let Self::Stream(unsent) = self else { return Ok(()) };
        if unsent.is_empty() {
            return Ok(());
        }
        if !task.progress.borrow().response_started {
            let mut headers = HeaderMap::new();
            headers.insert(CONTENT_TYPE, HeaderValue::from_static("text/event-stream"));
            headers.insert(CACHE_CONTROL, HeaderValue::from_static("no-cache"));
            task.progress.borrow_mut().response_started = true;
            let head = ResponseHead { status: StatusCode::OK, headers };
            task.response.send_start(ResponseStart::Stream(head)).await?;
        }
        task.response.send_data(unsent.split().freeze()).await
    }

    async fn complete(mut self, task: &JobTask, done: &SseEvent) -> RequestEnd {
        let sent = match &mut self {
            Self::Stream(unsent) => {
                unsent.extend_from_slice(&done.raw);
                match self.flush(task).await {
                    Ok(()) => task.response.send_end().await,
                    Err(error) => Err(error),
                }
            }
            Self::Whole(answer) => {
                let mut headers = HeaderMap::new();
                headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
                let head = ResponseHead { status: StatusCode::OK, headers };
                let body = std::mem::take(answer).finish();
                task.response.send_start(ResponseStart::Whole(head, body)).await
            }
        };
        sent.map_or_else(Into::into, |()| RequestEnd::Answered)
    }
}

fn record_resumptions(task: &JobTask, stream: &EngineStream<'_>, result: &str) {
    let mut progress = task.progress.borrow_mut();
    if progress.resumptions != stream.resumptions() || result == "lost" {
        progress.resumptions = stream.resumptions();
        task.state.metrics.resumptions.with_label_values(&[result]).inc();
    }
}

/// Records the token counts of a chunk; returns whether the chunk has a finish reason.
fn record_chunk(task: &JobTask, event: &SseEvent) -> Result<bool, RequestError> {
    let chunk: Chunk = serde_json::from_slice(&event.data).map_err(|error| {
        RequestError::new(ResultCode::TargetFailed, format!("malformed chunk: {error}"))
    })?;
    if chunk.error.is_some() {
        return Err(RequestError::new(ResultCode::TargetFailed, "the target reported an error"));
    }
    let mut progress = task.progress.borrow_mut();
    progress.written_tokens += u32::from(!chunk.choices.is_empty());
    if let Some(usage) = chunk.usage {
        progress.read_tokens = usage.prompt_tokens;
        progress.written_tokens = usage.completion_tokens;
        progress.cached_tokens =
            usage.prompt_tokens_details.map_or(0, |details| details.cached_tokens);
    }
    Ok(chunk.choices.iter().any(|choice| choice.finish_reason.is_some()))
}

fn truncated_stream() -> RequestEnd {
    let error =
        RequestError::new(ResultCode::Truncated, "the stream ended without a finish reason");
    RequestEnd::failed(error, DispatchOutcome::Failed)
}

fn stream_failure(task: &JobTask, dispatch: &Dispatch, error: &StreamError) -> RequestEnd {
    let detail = error.to_string();
    match error {
        StreamError::ConnectionRefused | StreamError::NotConnected { .. } => {
            let error = RequestError::new(ResultCode::NoTarget, detail);
            RequestEnd::failed(error, DispatchOutcome::NotSent)
        }
        StreamError::Rejected { .. } => RequestEnd::failed(
            RequestError::new(ResultCode::TargetFailed, detail),
            DispatchOutcome::Failed,
        ),
        StreamError::Crashed => {
            task.report_crash(dispatch);
            let error = RequestError::new(ResultCode::CrashSuspected, detail);
            RequestEnd::failed(error, DispatchOutcome::Broken)
        }
        StreamError::Lost { .. } => {
            let begun = task.progress.borrow().first_token_at.is_some();
            let code = if begun { ResultCode::Truncated } else { ResultCode::OutcomeUnknown };
            RequestEnd::failed(RequestError::new(code, detail), DispatchOutcome::Broken)
        }
    }
}
