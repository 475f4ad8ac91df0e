use crate::CallerResult;
use crate::request::chat_events::ChatEvents;
use crate::{Deployment, Outcome, Target};
use agatecourse_standin::{ServiceAnswer, expected_answer};
use awc::http::Method;
use awc::{Client, ClientRequest};
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Length of a claim summary in tokens.
const SUMMARY_TOKENS: usize = 40;
/// Length of a quote in tokens.
const QUOTE_TOKENS: usize = 60;

/// Client timeout; above the 20 s deadline of the demo's tier, so that a node responds before the client times out.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(25);

/// HTTP client of the demo's caller for one node.
struct Caller<'a> {
    node: String,
    address: SocketAddr,
    api_key: &'a str,
    targets: &'a [Target],
    client: Client,
}

/// Complete HTTP response.
struct CallerResponse {
    status: u16,
    request_id: String,
    body: String,
}

/// Sends one request of each kind through each node, and one order through two nodes, and returns the outcomes.
pub async fn run_requests(deployment: &Deployment) -> Vec<Outcome> {
    let callers: Vec<Caller<'_>> = deployment
        .nodes()
        .into_iter()
        .map(|(node, address)| Caller {
            node,
            address,
            api_key: deployment.api_key(),
            targets: deployment.targets(),
            client: Client::builder().timeout(RESPONSE_TIMEOUT).disable_redirects().finish(),
        })
        .collect();
    let mut outcomes = Vec::new();
    for (index, caller) in callers.iter().enumerate() {
        outcomes.push(caller.request_quote(index).await);
        outcomes.push(caller.request_summary(index).await);
        outcomes.push(caller.request_stock(index).await);
        let other = &callers[(index + 1) % callers.len()];
        outcomes.extend(send_order_through_two_nodes(caller, other, index).await);
    }
    outcomes
}

/// Sends an order through two nodes with the same idempotency key; both responses must have the same order number.
async fn send_order_through_two_nodes(
    first: &Caller<'_>,
    second: &Caller<'_>,
    index: usize,
) -> [Outcome; 2] {
    let (path, key) = ("orders", format!("order-{index}"));
    let body = json!({ "branch": 7, "panes": 20 + index, "glass": "4 mm" }).to_string();
    let order = |caller: &Caller<'_>| {
        let request = caller.request(Method::POST, &format!("/services/orders/{path}"));
        request.insert_header(("Idempotency-Key", key.as_str()))
    };
    let (mut sent, first_answer) =
        first.send_service_request("glass order", order(first), path, body.clone()).await;
    let (mut repeated, second_answer) =
        second.send_service_request("same order, same key", order(second), path, body).await;
    if let (Some(first_answer), Some(second_answer)) = (first_answer, second_answer) {
        // Both responses belong to the request that booked the order, even if it went through the other node.
        sent.request_id.clone_from(&first_answer.request_id);
        sent.runs = first.runs_of(&first_answer.request_id);
        repeated.request_id.clone_from(&first_answer.request_id);
        repeated.runs.clone_from(&sent.runs);
        if first_answer != second_answer {
            let numbers = (first_answer.order_number, second_answer.order_number);
            repeated.result = CallerResult::Wrong(format!("two orders were booked: {numbers:?}"));
            repeated.runs.extend(first.runs_of(&second_answer.request_id));
        }
    }
    [sent, repeated]
}

impl Caller<'_> {
    async fn request_quote(&self, index: usize) -> Outcome {
        let prompt = format!("Quote for greenhouse {index}: {}", "pane 60x90 cracked; ".repeat(80));
        let request = self.request(Method::POST, "/v1/chat/completions");
        let body = chat_body("quotes", &prompt, true, QUOTE_TOKENS);
        let check = |answer: &CallerResponse| {
            let events = ChatEvents::parse(&answer.body);
            if !events.is_done || events.is_failed {
                return CallerResult::Wrong("the stream ended before [DONE]".to_string());
            }
            check_chat_text(answer, &prompt, QUOTE_TOKENS, &events.text)
        };
        self.send_and_check("quote, streamed", request, body, check).await.0
    }

    async fn request_summary(&self, index: usize) -> Outcome {
        let prompt = format!("Summarise warranty claim {index}: seal failed after two winters.");
        let request = self.request(Method::POST, "/v1/chat/completions");
        let body = chat_body("summaries", &prompt, false, SUMMARY_TOKENS);
        let check = |answer: &CallerResponse| {
            let document: Value = serde_json::from_str(&answer.body).unwrap_or_default();
            let text = document["choices"][0]["message"]["content"].as_str().unwrap_or_default();
            check_chat_text(answer, &prompt, SUMMARY_TOKENS, text)
        };
        self.send_and_check("claim summary", request, body, check).await.0
    }

    async fn request_stock(&self, index: usize) -> Outcome {
        let path = format!("stock/pane-60x90?branch={index}");
        let request = self.request(Method::GET, &format!("/services/stock/{path}"));
        self.send_service_request("stock check", request, &path, String::new()).await.0
    }

    /// Sends a service request and checks that the response echoes its method, path and body hash.
    async fn send_service_request(
        &self,
        label: &str,
        request: ClientRequest,
        path: &str,
        body: String,
    ) -> (Outcome, Option<ServiceAnswer>) {
        let method = request.get_method().to_string();
        let expected_hash = ServiceAnswer::hash_body(body.as_bytes());
        let check =
            |answer: &CallerResponse| match serde_json::from_str::<ServiceAnswer>(&answer.body) {
                Ok(found)
                    if found.body_sha256 == expected_hash
                        && found.method == method
                        && found.path == format!("/{path}") =>
                {
                    CallerResult::Answered
                }
                Ok(found) => CallerResult::Wrong(format!("answer to another request: {found:?}")),
                Err(error) => CallerResult::Wrong(format!("not the service's answer: {error}")),
            };
        let (outcome, answer) = self.send_and_check(label, request, body, check).await;
        (outcome, answer.and_then(|answer| serde_json::from_str(&answer.body).ok()))
    }

    fn request(&self, method: Method, path: &str) -> ClientRequest {
        self.client
            .request(method, format!("http://{}{path}", self.address))
            .insert_header(("Authorization", format!("Bearer {}", self.api_key)))
            .content_type("application/json")
    }

    /// Sends a request without retries and checks the response.
    async fn send_and_check(
        &self,
        label: &str,
        request: ClientRequest,
        body: String,
        check: impl FnOnce(&CallerResponse) -> CallerResult,
    ) -> (Outcome, Option<CallerResponse>) {
        let start = Instant::now();
        let received = receive_response(request, body).await;
        let elapsed = start.elapsed();
        let (result, request_id) = match &received {
            Ok(answer) if answer.status == 200 => (check(answer), answer.request_id.clone()),
            Ok(answer) => (
                CallerResult::from_error_response(answer.status, &answer.body),
                answer.request_id.clone(),
            ),
            Err(detail) => (CallerResult::unknown(detail.clone()), String::new()),
        };
        let runs = self.runs_of(&request_id);
        let (label, node) = (label.to_string(), self.node.clone());
        (Outcome { label, node, result, request_id, runs, elapsed }, received.ok())
    }

    fn runs_of(&self, request_id: &str) -> Vec<(String, u64)> {
        let count = |target: &Target| (target.name().to_string(), target.runs_of(request_id));
        let counts = self.targets.iter().map(count);
        counts.filter(|(_, runs)| *runs > 0).collect()
    }
}

async fn receive_response(request: ClientRequest, body: String) -> Result<CallerResponse, String> {
    let sent = request.send_body(body).await.map_err(|error| error.to_string())?;
    let mut response = sent.timeout(RESPONSE_TIMEOUT);
    let request_id = response.headers().get("x-request-id").and_then(|id| id.to_str().ok());
    let request_id = request_id.unwrap_or_default().to_string();
    let status = response.status().as_u16();
    let body = response.body().await.map_err(|error| format!("status {status}: {error}"))?;
    Ok(CallerResponse { status, request_id, body: String::from_utf8_lossy(&body).into_owned() })
}

fn chat_body(route: &str, prompt: &str, stream: bool, max_tokens: usize) -> String {
    let messages = json!([{ "role": "user", "content": prompt }]);
    json!({ "model": route, "messages": messages, "stream": stream, "max_tokens": max_tokens })
        .to_string()
}

fn check_chat_text(
    answer: &CallerResponse,
    prompt: &str,
    tokens: usize,
    text: &str,
) -> CallerResult {
    if text == expected_answer(&answer.request_id, prompt, tokens) {
        CallerResult::Answered
    } else {
        let start: String = text.chars().take(80).collect();
        CallerResult::Wrong(format!("{} bytes that start with {start:?}", text.len()))
    }
}
