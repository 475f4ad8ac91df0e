use crate::process::{CRASH_MARKER, LoadClient, LoadRequest, LoadResponse, now_us};
use agatecourse_standin::{ServiceAnswer, expected_answer};
use agatecourse_types::{Problem, RunState, stable_hash};
use awc::http::Method;
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Length of a cutting note in tokens.
const ANSWER_TOKENS: usize = 10;
/// Maximum number of attempts for one operation.
const MAX_ATTEMPTS: usize = 5;
/// Delay before each retry.
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// Kind of a caller's operation.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum OperationKind {
    /// Order of glass; not idempotent, so it must not run twice.
    Order,
    /// Stock check by a service; idempotent.
    Stock,
    /// Cutting note written by an engine; idempotent.
    Note,
    /// Cutting note with the [`CRASH_MARKER`], which crashes engines while a crash fault is active.
    Crashing,
}

/// Operation that a caller retries with the same idempotency key until it is answered.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallerOperation {
    /// Kind of the operation, which determines route and body.
    pub kind: OperationKind,
    number: usize,
    request: LoadRequest,
}

/// Result of an operation after its last attempt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OperationEnd {
    /// Time from the first attempt to the end.
    pub elapsed: Duration,
    /// Time of the end in microseconds since the Unix epoch.
    pub at_us: u64,
    /// Complete response with status 200, if there was one.
    pub answer: Option<LoadResponse>,
    /// Whether the operation ran, according to the last attempt; `Yes` with a response.
    pub run: RunState,
}

impl CallerOperation {
    /// Creates an operation; its number must be unique in the run, because the idempotency key contains it.
    pub fn new(kind: OperationKind, number: usize) -> Self {
        let key = Some(format!("operation-{number}"));
        let (method, path, body) = match kind {
            OperationKind::Order => {
                let body = json!({ "branch": number, "panes": 20 }).to_string();
                (Method::POST, "/services/glass-orders/orders".to_string(), body)
            }
            OperationKind::Stock => {
                let path = format!("/services/stock/panes?number={number}");
                (Method::GET, path, String::new())
            }
            OperationKind::Note | OperationKind::Crashing => {
                let message = json!([{ "role": "user", "content": prompt(kind, number) }]);
                let body = json!({
                    "model": "cutting-notes", "messages": message, "stream": false,
                    "max_tokens": ANSWER_TOKENS
                });
                (Method::POST, "/v1/chat/completions".to_string(), body.to_string())
            }
        };
        Self { kind, number, request: LoadRequest { method, path, key, body } }
    }

    /// Returns the idempotency key.
    pub fn key(&self) -> &str {
        self.request.key.as_deref().unwrap_or_default()
    }

    /// Returns the hash of the response that a target gives to this operation under a request id.
    pub fn expected_hash(&self, request_id: &str) -> u64 {
        match self.kind {
            OperationKind::Order | OperationKind::Stock => {
                let method = self.request.method.as_str();
                let path = self.request.path.splitn(4, '/').nth(3).unwrap_or_default();
                let body = ServiceAnswer::hash_body(self.request.body.as_bytes());
                service_hash(request_id, method, &format!("/{path}"), &body)
            }
            OperationKind::Note | OperationKind::Crashing => {
                let prompt = prompt(self.kind, self.number);
                stable_hash(&[expected_answer(request_id, &prompt, ANSWER_TOKENS).as_bytes()])
            }
        }
    }

    /// Returns the hash of a received response and, if the response contains one, the request id that it belongs to.
    pub fn received_hash(&self, answer: &LoadResponse) -> (u64, Option<String>) {
        match self.kind {
            OperationKind::Order | OperationKind::Stock => {
                match serde_json::from_slice::<ServiceAnswer>(&answer.body) {
                    Ok(found) => {
                        let ServiceAnswer { request_id, method, path, body_sha256, .. } = found;
                        let hash = service_hash(&request_id, &method, &path, &body_sha256);
                        (hash, Some(request_id))
                    }
                    Err(_) => (stable_hash(&[&answer.body]), None),
                }
            }
            OperationKind::Note | OperationKind::Crashing => {
                let document: Value = serde_json::from_slice(&answer.body).unwrap_or_default();
                let text = document["choices"][0]["message"]["content"].as_str();
                (stable_hash(&[text.unwrap_or_default().as_bytes()]), None)
            }
        }
    }

    /// Sends the operation through one node after another until it is answered, at most five times.
    pub async fn run_with_retries(
        &self,
        client: &LoadClient,
        nodes: &[SocketAddr],
    ) -> OperationEnd {
        let start = Instant::now();
        let mut run = RunState::Unknown;
        for attempt in 0..MAX_ATTEMPTS {
            if attempt > 0 {
                actix_rt::time::sleep(RETRY_DELAY).await;
            }
            let node = nodes[(self.number + attempt) % nodes.len()];
            match client.send(node, &self.request).await {
                Ok(answer) if answer.status == 200 => {
                    let (elapsed, answer) = (start.elapsed(), Some(answer));
                    return OperationEnd { elapsed, at_us: now_us(), answer, run: RunState::Yes };
                }
                Ok(answer) => {
                    let problem = serde_json::from_slice::<Problem>(&answer.body);
                    run = problem.map_or(RunState::Unknown, |problem| problem.run);
                }
                Err(_) => run = RunState::Unknown,
            }
        }
        OperationEnd { elapsed: start.elapsed(), at_us: now_us(), answer: None, run }
    }
}

fn prompt(kind: OperationKind, number: usize) -> String {
    match kind {
        OperationKind::Crashing => format!("Cutting note {number} {CRASH_MARKER}"),
        _ => format!("Cutting note {number} for pane 60x90"),
    }
}

fn service_hash(request_id: &str, method: &str, path: &str, body_sha256: &str) -> u64 {
    stable_hash(&[
        request_id.as_bytes(),
        method.as_bytes(),
        path.as_bytes(),
        body_sha256.as_bytes(),
    ])
}

#[cfg(test)]
mod tests;
