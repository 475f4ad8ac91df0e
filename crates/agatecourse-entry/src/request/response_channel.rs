use crate::request::RequestError;
use actix_web::http::StatusCode;
use actix_web::http::header::HeaderMap;
use bytes::Bytes;
use futures_util::Stream;
use snafu::Snafu;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use tokio::sync::{Semaphore, mpsc};

/// Maximum bytes of one response that are buffered for a slow caller; the sender waits when the buffer is full.
pub(crate) const BUFFER_BYTES: usize = 64 * 1024;
const MAX_BUFFERED_PARTS: usize = 64;

/// Status and headers of a response.
#[derive(Debug, Clone)]
pub(crate) struct ResponseHead {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
}

/// First part of a response.
#[derive(Debug)]
pub(crate) enum ResponseStart {
    /// The request ended without a response from a target.
    Refused(RequestError),
    /// Head and complete body; nothing follows.
    Whole(ResponseHead, Bytes),
    /// The head of a response whose body follows as data parts.
    Stream(ResponseHead),
}

#[derive(Debug)]
enum ResponsePart {
    /// Boxed, because a channel block reserves the size of the largest variant for each of its 32 slots.
    Start(Box<ResponseStart>),
    Data(Bytes),
    End,
}

/// Reports that the caller closed its connection before the response was complete.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
#[snafu(display("the caller left"))]
pub(crate) struct CallerLeft;

/// Reports that the response is incomplete; the connection is closed without the end of the body.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
#[snafu(display("the response is incomplete"))]
pub(crate) struct IncompleteResponse;

/// Sending half of a response channel, owned by the task that runs the request.
#[derive(Debug)]
pub(crate) struct ResponseSender {
    parts: mpsc::Sender<ResponsePart>,
    budget: Arc<Semaphore>,
}

/// Receiving half of a response channel and body of the HTTP response.
///
/// The guard `G` is dropped once the response has been written or abandoned.
#[derive(Debug)]
pub(crate) struct ResponseBody<G> {
    parts: mpsc::Receiver<ResponsePart>,
    budget: Arc<Semaphore>,
    ended: bool,
    _guard: G,
}

pub(crate) fn response_channel<G>(guard: G) -> (ResponseSender, ResponseBody<G>) {
    let (sender, receiver) = mpsc::channel(MAX_BUFFERED_PARTS);
    let budget = Arc::new(Semaphore::new(BUFFER_BYTES));
    let body =
        ResponseBody { parts: receiver, budget: budget.clone(), ended: false, _guard: guard };
    (ResponseSender { parts: sender, budget }, body)
}

impl ResponseSender {
    pub(crate) async fn send_start(&self, start: ResponseStart) -> Result<(), CallerLeft> {
        self.parts.send(ResponsePart::Start(Box::new(start))).await.map_err(|_| CallerLeft)
    }

    /// Sends body bytes; waits while the buffer is full.
    pub(crate) async fn send_data(&self, mut data: Bytes) -> Result<(), CallerLeft> {
        while !data.is_empty() {
            let piece = data.split_to(data.len().min(BUFFER_BYTES));
            let permits = u32::try_from(piece.len()).unwrap_or(u32::MAX);
            self.budget.acquire_many(permits).await.map_err(|_| CallerLeft)?.forget();
            self.parts.send(ResponsePart::Data(piece)).await.map_err(|_| CallerLeft)?;
        }
        Ok(())
    }

    /// Marks the body as complete; dropping the sender without this call aborts the response.
    pub(crate) async fn send_end(&self) -> Result<(), CallerLeft> {
        self.parts.send(ResponsePart::End).await.map_err(|_| CallerLeft)
    }

    /// Waits until the caller has closed its connection.
    pub(crate) async fn caller_left(&self) {
        self.parts.closed().await;
    }
}

impl<G> ResponseBody<G> {
    /// Waits for the first part; returns `None` when the request's task ended without sending one.
    pub(crate) async fn receive_start(&mut self) -> Option<ResponseStart> {
        match self.parts.recv().await {
            Some(ResponsePart::Start(start)) => Some(*start),
            _ => None,
        }
    }
}

impl<G: Unpin> Stream for ResponseBody<G> {
    type Item = Result<Bytes, IncompleteResponse>;

    fn poll_next(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        if self.ended {
            return Poll::Ready(None);
        }
        let part = std::task::ready!(self.parts.poll_recv(context));
        Poll::Ready(match part {
            Some(ResponsePart::Data(data)) => {
                self.budget.add_permits(data.len());
                Some(Ok(data))
            }
            Some(ResponsePart::End) => {
                self.ended = true;
                None
            }
            Some(ResponsePart::Start(_)) | None => {
                self.ended = true;
                Some(Err(IncompleteResponse))
            }
        })
    }
}

impl<G> Drop for ResponseBody<G> {
    fn drop(&mut self) {
        self.budget.close();
    }
}
