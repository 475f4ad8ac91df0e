//! Commands that a node executes at its operators' address.

use crate::command_error::{FileSnafu, NotFoundSnafu, RefusedSnafu, UnavailableSnafu};
use crate::output::format_table;
use crate::{CommandError, Output};
use awc::Client;
use awc::http::Method;
use serde_json::{Value, json};
use snafu::ResultExt;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);
const RESPONSE_LIMIT_BYTES: usize = 64 * 1024 * 1024;

/// HTTP client for the operators' address of one node.
pub struct OperatorClient {
    address: SocketAddr,
    token: String,
    client: Client,
}

impl OperatorClient {
    /// Creates a client that authenticates with the token in a file; white space around the token is ignored.
    ///
    /// # Errors
    ///
    /// Returns [`CommandError::File`] when the file can't be read.
    pub fn new(address: SocketAddr, token_file: &Path) -> Result<Self, CommandError> {
        let token = std::fs::read_to_string(token_file).context(FileSnafu { path: token_file })?;
        let client = Client::builder().timeout(REQUEST_TIMEOUT).disable_redirects().finish();
        Ok(Self { address, token: token.trim().to_string(), client })
    }

    /// Returns the complete state of the node as JSON.
    ///
    /// # Errors
    ///
    /// Returns [`CommandError::Unavailable`] when the node does not answer and [`CommandError::Refused`] when it refuses
    /// the token.
    pub async fn dump(&self) -> Result<Output, CommandError> {
        let state = self.request(Method::GET, "/dump").await?;
        let text = serde_json::to_string_pretty(&state).unwrap_or_default();
        Ok(Output::new(text, state))
    }

    /// Returns the state of the node, the members that it knows and the alerts.
    ///
    /// # Errors
    ///
    /// Returns [`CommandError::Unavailable`] when the node does not answer and [`CommandError::Refused`] when it refuses
    /// the token.
    pub async fn status(&self) -> Result<Output, CommandError> {
        let state = self.request(Method::GET, "/dump").await?;
        let summary: Vec<Vec<String>> = ["node", "zone", "ready", "running", "config_version"]
            .iter()
            .map(|key| vec![(*key).to_string(), cell_text(&state[*key])])
            .collect();
        let mut text = format_table(&["field", "value"], &summary);
        let members = &["node", "state", "zone", "peer_address", "config_version"];
        let sections = [
            ("MEMBERS", &state["membership"]["members"], &members[..]),
            ("ALERTS", &state["alerts"], &["key", "active", "origin", "reason"][..]),
        ];
        for (title, rows, columns) in sections {
            let rows = rows.as_array().map(Vec::as_slice).unwrap_or_default();
            let cells = |row: &Value| columns.iter().map(|key| cell_text(&row[*key])).collect();
            let rows: Vec<Vec<String>> = rows.iter().map(cells).collect();
            text = format!("{text}\n\n{title}\n{}", format_table(columns, &rows));
        }
        let keys = ["node", "zone", "ready", "running", "config_version", "membership", "alerts"];
        let json = keys.iter().map(|key| ((*key).to_string(), state[*key].clone())).collect();
        Ok(Output::new(text, Value::Object(json)))
    }

    /// Explains why a request was placed or refused.
    ///
    /// # Errors
    ///
    /// Returns [`CommandError::NotFound`] when the node does not know the request.
    pub async fn explain(&self, request: &str) -> Result<Output, CommandError> {
        let found =
            self.request(Method::GET, &format!("/explain/{}", percent_encode(request))).await?;
        let rows: Vec<Vec<String>> = found
            .as_object()
            .into_iter()
            .flatten()
            .map(|(key, value)| vec![key.clone(), cell_text(value)])
            .collect();
        Ok(Output::new(format_table(&["field", "value"], &rows), found))
    }

    /// Drains a target, so that no node sends it new requests, or ends the drain.
    ///
    /// # Errors
    ///
    /// Returns [`CommandError::NotFound`] when there is no such target.
    pub async fn drain(&self, target: &str, undo: bool) -> Result<Output, CommandError> {
        let method = if undo { Method::DELETE } else { Method::POST };
        self.request(method, &format!("/drain/{}", percent_encode(target))).await?;
        let done = if undo { "gets new requests again" } else { "gets no new requests" };
        let text = format!("target {target} {done}");
        Ok(Output::new(text, json!({ "target": target, "drained": !undo })))
    }

    /// Releases a fingerprint from quarantine on all nodes.
    ///
    /// # Errors
    ///
    /// Returns [`CommandError::Refused`] when the text is not a fingerprint, and other errors when the node does not
    /// answer. Releasing a fingerprint that is not in quarantine succeeds, so that a release can be repeated.
    pub async fn release(&self, fingerprint: &str) -> Result<Output, CommandError> {
        self.request(Method::POST, &format!("/release/{}", percent_encode(fingerprint))).await?;
        let text = format!("fingerprint {fingerprint} is released");
        Ok(Output::new(text, json!({ "fingerprint": fingerprint, "released": true })))
    }

    async fn request(&self, method: Method, path: &str) -> Result<Value, CommandError> {
        let what = format!("node {}", self.address);
        let unavailable = |detail: String| UnavailableSnafu { what: &what, detail }.build();
        let request = self.client.request(method, format!("http://{}{path}", self.address));
        let sent = request.bearer_auth(&self.token).send().await;
        let mut response = sent.map_err(|error| unavailable(error.to_string()))?;
        let status = response.status();
        let body: Option<Value> = response.json().limit(RESPONSE_LIMIT_BYTES).await.ok();
        let detail = body.as_ref().map(|body| cell_text(&body["detail"])).unwrap_or_default();
        match (status.as_u16(), body) {
            (200..=299, Some(body)) => Ok(body),
            (200..=299, None) => Err(unavailable("the answer is not valid JSON".to_string())),
            (404, _) => NotFoundSnafu { what: format!("{path} ({detail})") }.fail(),
            (status, _) => RefusedSnafu { status, detail }.fail(),
        }
    }
}

/// Percent-encodes a path segment.
fn percent_encode(text: &str) -> String {
    use std::fmt::Write;
    let mut escaped = String::new();
    for byte in text.bytes() {
        if byte.is_ascii_alphanumeric() || b"-_.".contains(&byte) {
            escaped.push(char::from(byte));
        } else {
            // Writing to a string can't fail.
            let _ = write!(escaped, "%{byte:02X}");
        }
    }
    escaped
}

fn cell_text(value: &Value) -> String {
    match value {
        Value::String(text) => text.clone(),
        Value::Null => String::new(),
        value => value.to_string(),
    }
}
