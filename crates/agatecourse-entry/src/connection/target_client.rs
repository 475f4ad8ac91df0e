use crate::connection::DispatchError;
use actix_web::http::Method;
use actix_web::http::header::HeaderMap;
use awc::{Client, ClientRequest, ClientResponse, Connector};
use bytes::Bytes;
use std::net::SocketAddr;
use std::time::Duration;

/// Response of a target whose body has not been read yet.
pub(crate) type TargetResponse = ClientResponse;

const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
const CONTROL_REQUEST_TIMEOUT: Duration = Duration::from_secs(1);
// Cancellations are idempotent; three attempts cover a lost connection and end soon when the target is dead.
const MAX_CANCEL_ATTEMPTS: u32 = 3;
const MAX_CONNECTIONS: usize = 16_384;

/// HTTP client of one worker thread.
///
/// Requests use a pool of kept-alive connections. Probes, resumptions and cancellations use new connections, because
/// the pooled connection may be the one that stalled.
#[derive(Clone)]
pub(crate) struct TargetClient {
    pooled: Client,
    unpooled: Client,
}

impl TargetClient {
    pub(crate) fn new() -> Self {
        Self {
            pooled: build_client(Duration::from_secs(15)),
            unpooled: build_client(Duration::ZERO),
        }
    }

    /// Sends a request once and waits up to `timeout` for the response head.
    pub(crate) async fn dispatch(
        &self,
        method: Method,
        url: &str,
        headers: HeaderMap,
        body: Bytes,
        timeout: Duration,
    ) -> Result<TargetResponse, DispatchError> {
        let mut request = self.pooled.request(method, url);
        for (name, value) in &headers {
            request = request.append_header((name, value));
        }
        let sent = tokio::time::timeout(timeout, request.send_body(body)).await;
        sent.map_err(|_| DispatchError::TimedOut)?.map_err(Into::into)
    }

    /// Resumes a stream after the chunk `last_event_id`, or from its start, on a new connection.
    pub(crate) async fn resume(
        &self,
        target: SocketAddr,
        stream_id: &str,
        last_event_id: Option<u64>,
        timeout: Duration,
    ) -> Result<TargetResponse, DispatchError> {
        let mut request = self.unpooled.get(stream_url(target, stream_id)).force_close();
        if let Some(last) = last_event_id {
            request = request.insert_header(("Last-Event-ID", last));
        }
        send_within(request, timeout).await
    }

    /// Requests the target's load on a new connection; a response with any status shows that the target is alive.
    pub(crate) async fn probe(&self, target: SocketAddr) -> Result<(), DispatchError> {
        let request = self.unpooled.get(format!("http://{target}/v1/load")).force_close();
        send_within(request, CONTROL_REQUEST_TIMEOUT).await.map(drop)
    }

    /// Cancels a stream at its engine, with retries unless the engine refuses the connection.
    pub(crate) async fn cancel(
        &self,
        target: SocketAddr,
        stream_id: &str,
    ) -> Result<(), DispatchError> {
        let mut result = Ok(());
        for attempt in 1..=MAX_CANCEL_ATTEMPTS {
            let request = self.unpooled.delete(stream_url(target, stream_id)).force_close();
            result = send_within(request, CONTROL_REQUEST_TIMEOUT).await.map(drop);
            if matches!(result, Ok(()) | Err(DispatchError::ConnectionRefused)) {
                break;
            }
            tokio::time::sleep(Duration::from_millis(100) * attempt).await;
        }
        result
    }
}

async fn send_within(
    request: ClientRequest,
    timeout: Duration,
) -> Result<TargetResponse, DispatchError> {
    let sent = tokio::time::timeout(timeout, request.send()).await;
    sent.map_err(|_| DispatchError::TimedOut)?.map_err(Into::into)
}

fn stream_url(target: SocketAddr, stream_id: &str) -> String {
    format!("http://{target}/v1/chat/completions/{stream_id}")
}

fn build_client(keep_alive: Duration) -> Client {
    let connector = Connector::new()
        .timeout(CONNECT_TIMEOUT)
        .conn_keep_alive(keep_alive)
        .limit(MAX_CONNECTIONS);
    // A followed redirect would send the request a second time, which violates at-most-once dispatch.
    Client::builder().connector(connector).disable_timeout().disable_redirects().finish()
}
