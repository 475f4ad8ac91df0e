use crate::connection::AcceptedConnection;
use crate::process::{FaultControl, is_silent};
use crate::request::engine_run::{RunEnd, RunInfo, RunProgress};
use actix_web::web::{self, Bytes};
use actix_web::{Error, HttpRequest, HttpResponse};
use futures_util::{Stream, stream};
use serde_json::{Value, json};
use std::fmt::Write;
use tokio::sync::watch;

/// Reader of a run's answer; the run continues when its readers disconnect.
pub(crate) struct EngineStream {
    run: RunInfo,
    progress: watch::Receiver<RunProgress>,
    sent_tokens: usize,
    ended: bool,
}

impl EngineStream {
    /// Creates a reader that starts after the event with the given id; 0 starts with the first event.
    pub(crate) fn new(
        run: RunInfo,
        progress: watch::Receiver<RunProgress>,
        last_event_id: usize,
    ) -> Self {
        Self { run, progress, sent_tokens: last_event_id, ended: false }
    }

    /// Returns a response of server-sent events: one per token, one with the token counts, then `[DONE]`.
    pub(crate) fn respond(
        self,
        request: HttpRequest,
        control: web::Data<FaultControl>,
    ) -> HttpResponse {
        HttpResponse::Ok()
            .content_type("text/event-stream")
            .insert_header(("cache-control", "no-store"))
            .streaming(self.into_events(request, control))
    }

    fn into_events(
        self,
        request: HttpRequest,
        control: web::Data<FaultControl>,
    ) -> impl Stream<Item = Result<Bytes, Error>> {
        stream::unfold((self, request, control), |(mut reader, request, control)| async move {
            let events = reader.next_events().await?;
            if is_silent(request.conn_data::<AcceptedConnection>(), &control) {
                std::future::pending::<()>().await;
            }
            Some((Ok(Bytes::from(events)), (reader, request, control)))
        })
    }

    /// Waits for events that were not sent yet; returns `None` after the last one.
    async fn next_events(&mut self) -> Option<String> {
        if self.ended {
            return None;
        }
        let sent = self.sent_tokens;
        let has_new_events =
            |progress: &RunProgress| progress.tokens > sent || progress.ending.is_some();
        let progress = *self.progress.wait_for(has_new_events).await.ok()?;
        let mut events = String::new();
        for index in sent..progress.tokens {
            Self::append_event(&mut events, index + 1, &self.token_chunk(index));
        }
        self.sent_tokens = sent.max(progress.tokens);
        self.ended = progress.ending.is_some();
        if progress.ending == Some(RunEnd::Completed) {
            if sent <= progress.tokens {
                Self::append_event(&mut events, progress.tokens + 1, &self.last_chunk(progress));
            }
            events.push_str("data: [DONE]\n\n");
        }
        Some(events)
    }

    /// Waits for the end of the run and returns the answer as a JSON document, or `None` when the answer is incomplete.
    pub(crate) async fn whole_answer(mut self) -> Option<Value> {
        let has_ended = |progress: &RunProgress| progress.ending.is_some();
        let progress = *self.progress.wait_for(has_ended).await.ok()?;
        let content: String = (0..progress.tokens).map(|index| self.run.token(index)).collect();
        (progress.ending == Some(RunEnd::Completed)).then(|| {
            json!({
                "id": self.run.request_id,
                "object": "chat.completion",
                "model": self.run.model,
                "choices": [{
                    "index": 0,
                    "message": { "role": "assistant", "content": content },
                    "finish_reason": "stop",
                }],
                "usage": self.run.usage(progress),
            })
        })
    }

    fn append_event(events: &mut String, id: usize, chunk: &Value) {
        // Writing to a `String` can't fail.
        let _ = write!(events, "id: {id}\ndata: {chunk}\n\n");
    }

    fn token_chunk(&self, index: usize) -> Value {
        let delta = json!({ "content": self.run.token(index) });
        self.chunk(&json!({ "index": 0, "delta": delta, "finish_reason": null }))
    }

    fn last_chunk(&self, progress: RunProgress) -> Value {
        let mut chunk = self.chunk(&json!({ "index": 0, "delta": {}, "finish_reason": "stop" }));
        chunk["usage"] = self.run.usage(progress);
        chunk
    }

    fn chunk(&self, choice: &Value) -> Value {
        json!({
            "id": self.run.request_id,
            "object": "chat.completion.chunk",
            "model": self.run.model,
            "choices": [choice],
        })
    }
}
