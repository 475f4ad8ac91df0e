//! Engine stand-in and HTTP client shared by the tests in this folder.

use agatecourse_standin::{EngineSettings, Standin};
use awc::Client;
use serde_json::{Value, json};
use std::time::Duration;

/// Running engine stand-in with an HTTP client.
pub struct Engine {
    pub standin: Standin,
    pub client: Client,
}

impl Engine {
    pub fn start(settings: EngineSettings) -> Self {
        let standin = settings.start(Standin::EPHEMERAL).expect("the stand-in starts");
        Self::connect(standin)
    }

    pub fn connect(standin: Standin) -> Self {
        Self { standin, client: Client::builder().timeout(Duration::from_secs(10)).finish() }
    }

    pub fn url(&self, path: &str) -> String {
        format!("http://{}{path}", self.standin.address())
    }

    pub async fn submit(
        &self,
        id: &str,
        prompt: &str,
        stream: bool,
        tokens: usize,
    ) -> (u16, String) {
        let body = json!({
            "model": "quotes", "stream": stream, "max_tokens": tokens,
            "messages": [{ "role": "user", "content": prompt }],
        });
        let request = self.client.post(self.url("/v1/chat/completions"));
        let sent = request.insert_header(("x-request-id", id)).send_json(&body).await;
        read(sent).await
    }

    pub async fn get(&self, path: &str) -> Value {
        let (_, text) = read(self.client.get(self.url(path)).send().await).await;
        serde_json::from_str(&text).expect("the answer is JSON")
    }

    pub async fn post(&self, path: &str, body: &Value) -> (u16, String) {
        read(self.client.post(self.url(path)).send_json(body).await).await
    }
}

/// Returns the status and body of a response, or status 0 when there was none.
pub async fn read<S>(
    sent: std::result::Result<awc::ClientResponse<S>, awc::error::SendRequestError>,
) -> (u16, String)
where
    S: futures_util::Stream<Item = std::result::Result<bytes::Bytes, awc::error::PayloadError>>,
{
    let Ok(mut response) = sent else { return (0, String::new()) };
    let status = response.status().as_u16();
    let body = response.body().await.unwrap_or_default();
    (status, String::from_utf8_lossy(&body).into_owned())
}
