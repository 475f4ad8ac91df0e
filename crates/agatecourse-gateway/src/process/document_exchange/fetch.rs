use super::compression::CODING;
use super::encoded_document::decode_document;
use super::newer_documents::{DueFetch, FetchEnd, PeerNeed};
use super::server::{
    BASE_HEADER, HASH_HEADER, HOLDERS_HEADER, NEWER_THAN_HEADER, RETRY_AFTER_HEADER, parse_hash,
};
use crate::connection::{Call, CallError, Headers, SimpleClient};
use crate::process::{Document, DocumentId, Gateway};
use agatecourse_types::stable_hash;
use slog::{info, warn};
use smallvec::SmallVec;
use std::fmt::Write;
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Longest time of fetching a document from a peer.
const FETCH_TIMEOUT: Duration = Duration::from_secs(2);
/// Time without any byte from the peer after which the fetch is given up; a peer that accepts it begins to send much earlier.
pub(super) const STALL_TIMEOUT: Duration = Duration::from_millis(400);

/// Longest pause that a busy peer may ask for.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(2);
/// Maximum number of other holders that a busy peer may name.
const MAX_HOLDERS: usize = 4;

/// Answer of a peer that was asked for a document.
enum PeerAnswer {
    Document {
        document: Document,
        received_bytes: usize,
    },
    /// The peer's link is busy.
    Busy {
        version: u64,
        retry_after: Duration,
        holders: SmallVec<[Ipv4Addr; 4]>,
    },
}

/// Starts the fetch of a document that is due, and logs documents that have become late.
pub(in crate::process) fn fetch_documents(gateway: &Rc<Gateway>, now: Instant) {
    let need = if gateway.is_source_lost() {
        PeerNeed::SourceLost
    } else if gateway.relies_on_relays() {
        PeerNeed::Relayed
    } else {
        PeerNeed::Late
    };
    for late in gateway.newer_documents().take_late(now) {
        let own = gateway.documents.borrow().version(late.id);
        warn!(gateway.log, "document is late"; "document" => late.id, "own_version" => own,
            "newer_version" => late.version, "age_ms" => late.age.as_millis() as u64, "holders" => late.holders,
            "need" => format!("{need:?}"), "source_answer_age_ms" => gateway.source_answer_age(now).as_millis() as u64,
            "upload_backlog_ms" => gateway.upload_backlog(now).as_millis() as u64);
    }
    let due = gateway.newer_documents().start_due_fetch(now, need);
    let Some(DueFetch { id, peer, is_repeat }) = due else { return };
    let gateway = Rc::clone(gateway);
    actix_rt::spawn(async move {
        let address = SocketAddr::V4(SocketAddrV4::new(peer, gateway.settings.peer_port));
        let fetched = fetch_document(&gateway, address, id, !is_repeat).await;
        let node = gateway.members.borrow().node_at(peer).cloned();
        let age_ms = gateway.newer_documents().lag(Instant::now()).as_millis() as u64;
        let call_ms = now.elapsed().as_millis() as u64;
        let end = match fetched {
            Ok(PeerAnswer::Document { document, received_bytes }) => {
                info!(gateway.log, "document taken from a peer"; "document" => id, "peer" => node,
                    "version" => document.version, "bytes" => document.bytes.len(), "received_bytes" => received_bytes, "call_ms" => call_ms,
                    "age_ms" => age_ms);
                gateway.accept_document(id, &document);
                FetchEnd::Taken { version: document.version }
            }
            Ok(PeerAnswer::Busy { version, retry_after, holders }) => {
                info!(gateway.log, "peer is busy with documents"; "document" => id, "peer" => node,
                    "version" => version, "retry_after_ms" => retry_after.as_millis() as u64,
                    "holders" => holders.len(), "age_ms" => age_ms);
                FetchEnd::Busy { version, retry_after, holders }
            }
            Err(error) => {
                warn!(gateway.log, "fetching a document from a peer failed"; "document" => id,
                    "peer" => node, "error" => error.to_string(), "call_ms" => call_ms, "age_ms" => age_ms);
                FetchEnd::Failed
            }
        };
        gateway.finish_fetch(id, peer, &end);
    });
}

/// Fetches a document that is newer than this node's; asks for the differences from it if `takes_differences`.
async fn fetch_document(
    gateway: &Gateway,
    address: SocketAddr,
    id: DocumentId,
    takes_differences: bool,
) -> Result<PeerAnswer, CallError> {
    let path = format!("/documents/{id}");
    let own = gateway.documents.borrow().version(id);
    let base = gateway.documents.borrow().hash(id).filter(|_| takes_differences);
    let mut header_lines = format!("{NEWER_THAN_HEADER}: {own}\r\nAccept-Encoding: {CODING}\r\n");
    if let Some(base) = base {
        // Writing to a string can't fail.
        let _ = write!(header_lines, "{BASE_HEADER}: {base:016x}\r\n");
    }
    let call = Call::new("GET", &path, FETCH_TIMEOUT)
        .with_header_lines(&header_lines)
        .with_stall_limit(STALL_TIMEOUT);
    let (head, bytes) = SimpleClient::new(address).send(&call).await?;
    let headers = &head.headers;
    let version = headers.get("etag").and_then(|text| text.trim_matches('"').parse().ok());
    let retry_after = headers.get(RETRY_AFTER_HEADER).and_then(|text| text.parse().ok());
    match (head.status, version, retry_after) {
        (200, Some(version), _) => {
            let received_bytes = bytes.len();
            let bytes = decode_body(gateway, id, headers, bytes)
                .map_err(|reason| CallError::BadResponse { reason })?;
            Ok(PeerAnswer::Document { document: Document { version, bytes }, received_bytes })
        }
        (503, Some(version), Some(retry_after_ms)) => Ok(PeerAnswer::Busy {
            version,
            retry_after: Duration::from_millis(retry_after_ms).min(MAX_RETRY_AFTER),
            holders: parse_holders(headers.get(HOLDERS_HEADER).unwrap_or_default()),
        }),
        _ => Err(CallError::BadResponse { reason: format!("status {}", head.status) }),
    }
}

/// Restores the content from the body of a response.
///
/// # Errors
///
/// Returns the reason if the body can't be decoded or the content is not the one that the peer has.
fn decode_body(
    gateway: &Gateway,
    id: DocumentId,
    headers: &Headers,
    body: Vec<u8>,
) -> Result<Vec<u8>, String> {
    if headers.get("content-encoding") != Some(CODING) {
        return Ok(body);
    }
    let documents = gateway.documents.borrow();
    let base = match headers.get(BASE_HEADER).and_then(parse_hash) {
        Some(hash) => Some(documents.content(id, hash).ok_or("base is unknown")?),
        None => None,
    };
    let content = decode_document(&body, base)?;
    let hash = headers.get(HASH_HEADER).and_then(parse_hash);
    if hash != Some(stable_hash(&[&content])) {
        return Err("content differs from the peer's".to_string());
    }
    Ok(content)
}

fn parse_holders(text: &str) -> SmallVec<[Ipv4Addr; 4]> {
    text.split(',').filter_map(|address| address.trim().parse().ok()).take(MAX_HOLDERS).collect()
}
