use actix_web::web::Bytes;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

/// Response body of the service stand-in; it echoes the request, so that callers can verify that it is theirs.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ServiceAnswer {
    /// Name from [`ServiceSettings::new`](crate::ServiceSettings::new).
    pub service: String,
    /// Sequence number of the run in this service, starting at 1.
    pub order_number: u64,
    /// `X-Request-Id` of the request; empty when the header is missing.
    pub request_id: String,
    /// HTTP method of the request.
    pub method: String,
    /// Path and query of the request.
    pub path: String,
    /// SHA-256 of the request body as 64 hexadecimal digits.
    pub body_sha256: String,
}

impl ServiceAnswer {
    /// Returns the value of [`Self::body_sha256`] for a request body.
    pub fn hash_body(body: &[u8]) -> String {
        format!("{:x}", Bytes::copy_from_slice(&Sha256::digest(body)))
    }
}
