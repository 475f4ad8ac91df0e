use super::compression::{compress, decompress};
use super::delta::{apply_delta, encode_delta};
use crate::process::ContentHash;

/// Content of a document as it is sent to a peer that decompresses it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(in crate::process) struct EncodedDocument {
    pub(in crate::process) bytes: Vec<u8>,
    /// Content of the peer from which the bytes are the differences; `None` if they are the whole content.
    pub(in crate::process) base: Option<ContentHash>,
}

impl EncodedDocument {
    /// Encodes a content as the differences from one that the peer has, or whole if that is shorter.
    pub(in crate::process) fn new(content: &[u8], base: Option<(ContentHash, &[u8])>) -> Self {
        let whole = compress(content);
        let Some((hash, base)) = base else { return Self { bytes: whole, base: None } };
        let differences = compress(&encode_delta(base, content));
        if differences.len() < whole.len() {
            Self { bytes: differences, base: Some(hash) }
        } else {
            Self { bytes: whole, base: None }
        }
    }
}

/// Restores a content from what a peer has sent; `base` is the content from which the bytes are the differences.
///
/// # Errors
///
/// Returns the reason if the bytes can't be decompressed or do not fit the base.
pub(super) fn decode_document(bytes: &[u8], base: Option<&[u8]>) -> Result<Vec<u8>, String> {
    let bytes = decompress(bytes).map_err(|error| error.to_string())?;
    match base {
        Some(base) => apply_delta(base, &bytes).map_err(|error| error.to_string()),
        None => Ok(bytes),
    }
}
