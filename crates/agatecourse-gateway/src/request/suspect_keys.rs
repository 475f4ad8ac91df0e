use super::CallerRequest;
use crate::connection::HeaderNames;
use agatecourse_core::request::SuspectKeys;
use agatecourse_types::{stable_hash, stable_hash_with_segments};

/// Upper bound of the keys of a request, so that a report of its crash fits a datagram.
const MAX_KEYS: usize = 64;

/// Returns the keys of a request: a hash of path, caller credentials and body, which repeats of the request share, and one of
/// each part of the prompt but the last, which belongs to the request itself.
pub(crate) fn suspect_keys(request: &CallerRequest, header_names: &HeaderNames) -> SuspectKeys {
    let headers = &request.head.headers;
    let caller = headers.get("authorization").unwrap_or_default();
    let mut keys = SuspectKeys::new();
    let path = request.head.path.as_bytes();
    keys.push(stable_hash_with_segments(&[path, caller.as_bytes()], request.body.segments()));
    let parts = headers.get(&header_names.prompt_parts).unwrap_or_default();
    let shared = parts.rsplit_once(',').map_or("", |(shared, _)| shared);
    for part in shared.split(',').filter(|part| !part.trim().is_empty()) {
        let id = part.split(':').next().unwrap_or_default().trim();
        let key = stable_hash(&[b"prompt part", id.as_bytes()]);
        if keys.len() < MAX_KEYS && !keys.contains(&key) {
            keys.push(key);
        }
    }
    keys
}

#[cfg(test)]
mod tests;
