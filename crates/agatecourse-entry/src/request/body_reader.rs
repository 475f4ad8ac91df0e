use crate::request::RequestError;
use actix_web::web::Payload;
use agatecourse_types::ResultCode;
use bytes::{Bytes, BytesMut};
use futures_util::StreamExt;
use std::time::Duration;

/// Time limit for reading a whole body, so that slow senders can't occupy buffers.
pub(crate) const BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// Reads a request body.
///
/// # Errors
///
/// Returns an error when the body exceeds `limit_bytes`, does not arrive within [`BODY_TIMEOUT`] or can't be read.
pub(crate) async fn read_body(
    mut payload: Payload,
    limit_bytes: usize,
) -> Result<Bytes, RequestError> {
    let read = async {
        let mut body = BytesMut::new();
        while let Some(chunk) = payload.next().await {
            let chunk = chunk.map_err(|error| {
                RequestError::new(ResultCode::Malformed, format!("body can't be read: {error}"))
            })?;
            if body.len() + chunk.len() > limit_bytes {
                return Err(too_large(limit_bytes));
            }
            body.extend_from_slice(&chunk);
        }
        Ok(body.freeze())
    };
    tokio::time::timeout(BODY_TIMEOUT, read).await.unwrap_or_else(|_| {
        let detail = format!("expected the whole body within {} s", BODY_TIMEOUT.as_secs());
        Err(RequestError::new(ResultCode::BodyTimeout, detail))
    })
}

pub(crate) fn too_large(limit_bytes: usize) -> RequestError {
    RequestError::new(ResultCode::BodyTooLarge, format!("expected at most {limit_bytes} bytes"))
}
