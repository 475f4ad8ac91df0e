use super::compression::CODING;
use super::uploads::{
    CHUNK_BYTES, MAX_WAIT, MAX_WAIT_OF_EARLIER_VERSION, Upload, UploadDecision, UploadRequest,
};
use crate::connection::{CompleteResponse, RequestHead};
use crate::process::{ContentHash, Document, DocumentId, Gateway};
use std::fmt::Write;
use std::net::Ipv4Addr;
use std::time::{Duration, Instant};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

/// Header of a request with the version that the sender has; the document is sent only if it is newer.
pub(super) const NEWER_THAN_HEADER: &str = "Newer-Than";
/// Header of a refusal with the time in milliseconds after which the node has sent what it has accepted.
pub(super) const RETRY_AFTER_HEADER: &str = "Retry-After-Ms";
/// Header of a refusal with the addresses of nodes that have got the document.
pub(super) const HOLDERS_HEADER: &str = "Holders";
/// Header with the hash of a content: in a request the one that the sender has, in a response the one from which the body has the differences.
pub(super) const BASE_HEADER: &str = "Base";
/// Header of a response with the hash of the whole content.
pub(super) const HASH_HEADER: &str = "Content-Hash";
/// Time without progress after which a peer that reads a document is given up.
const WRITE_TIMEOUT: Duration = Duration::from_secs(1);

/// What a peer asks for.
struct DocumentRequest {
    /// Document, or `None` if the path names none.
    id: Option<DocumentId>,
    /// Version that the peer has.
    newer_than: u64,
    /// Whether the peer decodes compressed content; those of earlier versions do not.
    takes_encoded: bool,
    /// Content that the peer has.
    base: Option<ContentHash>,
    peer: Ipv4Addr,
}

impl DocumentRequest {
    fn new(head: &RequestHead, peer: Ipv4Addr) -> Self {
        let newer_than = head.headers.get(NEWER_THAN_HEADER).and_then(|text| text.parse().ok());
        Self {
            id: head.path.strip_prefix("/documents/").and_then(|text| text.parse().ok()),
            newer_than: newer_than.unwrap_or_default(),
            takes_encoded: head.headers.get("accept-encoding") == Some(CODING),
            base: head.headers.get(BASE_HEADER).and_then(parse_hash),
            peer,
        }
    }
}

/// Serves a document to a peer; returns whether the connection can be used on.
pub(in crate::process) async fn serve_document(
    gateway: &Gateway,
    stream: &mut TcpStream,
    head: &RequestHead,
    peer: Ipv4Addr,
) -> bool {
    let (bytes, upload) = respond(gateway, &DocumentRequest::new(head, peer), &head.method);
    let is_sent = send(stream, &bytes, upload.as_ref()).await.is_ok();
    if let Some(upload) = &upload {
        gateway.finish_upload(upload, is_sent);
    }
    is_sent && !head.closes
}

/// Returns the response and, if it has the document, when to send it.
fn respond(
    gateway: &Gateway,
    request: &DocumentRequest,
    method: &str,
) -> (Vec<u8>, Option<Upload>) {
    let documents = gateway.documents.borrow();
    let found = request.id.and_then(|id| Some((id, documents.get(id)?)));
    let is_newer = |document: &Document| document.version > request.newer_than;
    let Some((id, document)) = found.filter(|(_, document)| is_newer(document)) else {
        return (CompleteResponse::new(404, "Not Found", b"", b"").serialize(method), None);
    };
    let version = document.version;
    let encoded = if request.takes_encoded { documents.encoded(id, request.base) } else { None };
    let body = encoded.as_ref().map_or(&document.bytes, |encoded| &encoded.bytes);
    let mut lines = format!("ETag: \"{version}\"\r\n");
    let max_wait = if request.takes_encoded { MAX_WAIT } else { MAX_WAIT_OF_EARLIER_VERSION };
    let (bytes, peer) = (body.len(), request.peer);
    match gateway.admit_upload(&UploadRequest { id, version, bytes, peer, max_wait }) {
        UploadDecision::Send(upload) => {
            lines.push_str("Content-Type: application/octet-stream\r\n");
            if let Some(encoded) = &encoded {
                // Writing to a string can't fail, here and below.
                let _ = write!(lines, "Content-Encoding: {CODING}\r\n");
                if let Some(base) = encoded.base {
                    let _ = write!(lines, "{BASE_HEADER}: {base:016x}\r\n");
                }
                let hash = documents.hash(id).unwrap_or_default();
                let _ = write!(lines, "{HASH_HEADER}: {hash:016x}\r\n");
            }
            let response = CompleteResponse::new(200, "OK", lines.as_bytes(), body);
            (response.serialize(method), Some(upload))
        }
        UploadDecision::Busy { retry_after, holders } => {
            let holders: Vec<String> = holders.iter().map(Ipv4Addr::to_string).collect();
            let _ = write!(
                lines,
                "{RETRY_AFTER_HEADER}: {}\r\n{HOLDERS_HEADER}: {}\r\n",
                retry_after.as_millis(),
                holders.join(",")
            );
            let response = CompleteResponse::new(503, "Unavailable", lines.as_bytes(), b"");
            (response.serialize(method), None)
        }
    }
}

/// Parses the hash of a content in a header.
pub(super) fn parse_hash(text: &str) -> Option<ContentHash> {
    ContentHash::from_str_radix(text, 16).ok()
}

/// Sends a response; one with a document in parts, at the speed that the upload has.
async fn send(
    stream: &mut TcpStream,
    bytes: &[u8],
    upload: Option<&Upload>,
) -> std::io::Result<()> {
    for (index, chunk) in bytes.chunks(CHUNK_BYTES).enumerate() {
        if let Some(due) = upload.map(|upload| upload.due(index * CHUNK_BYTES))
            && due > Instant::now()
        {
            tokio::time::sleep_until(due.into()).await;
        }
        tokio::time::timeout(WRITE_TIMEOUT, stream.write_all(chunk)).await??;
    }
    Ok(())
}
