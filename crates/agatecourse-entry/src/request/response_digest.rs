use actix_web::http::StatusCode;
use agatecourse_wire::request::KnownOutcome;
use sha2::{Digest, Sha256};

// The journal stores no larger body; only the hash of a larger response is recorded.
const MAX_STORED_BODY_BYTES: usize = 4 * 1024;

/// Computes what the journal stores of a response: its hash and, up to 4 KiB, its body.
#[derive(Debug, Clone, Default)]
pub(crate) struct ResponseDigest {
    hasher: Sha256,
    stored: Vec<u8>,
    size_bytes: usize,
}

impl ResponseDigest {
    pub(crate) fn add(&mut self, chunk: &[u8]) {
        self.hasher.update(chunk);
        self.size_bytes += chunk.len();
        let room = MAX_STORED_BODY_BYTES - self.stored.len();
        self.stored.extend_from_slice(&chunk[..chunk.len().min(room)]);
    }

    pub(crate) fn finish(self, status: StatusCode, content_type: &str) -> KnownOutcome {
        let whole = self.size_bytes == self.stored.len();
        let hash: [u8; 32] = self.hasher.finalize().into();
        let mut first = [0; 8];
        first.copy_from_slice(&hash[..8]);
        KnownOutcome::Answered {
            status: status.as_u16(),
            content_type: content_type.to_string(),
            body: whole.then_some(self.stored),
            body_hash: u64::from_le_bytes(first),
        }
    }
}
