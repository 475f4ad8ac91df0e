use flate2::Compression;
use flate2::read::ZlibDecoder;
use flate2::write::ZlibEncoder;
use std::io::{Error, ErrorKind, Read, Result, Write};

/// Name of the coding in headers; the zlib format of RFC 9110, section 8.4.1.2.
pub(super) const CODING: &str = "deflate";
/// Largest document in bytes that is decompressed.
const MAX_DOCUMENT_BYTES: u64 = 16 * 1024 * 1024;

/// Compresses a document. The fastest level is used, because VMs with small links have small processors as well.
pub(super) fn compress(bytes: &[u8]) -> Vec<u8> {
    let mut encoder = ZlibEncoder::new(Vec::new(), Compression::fast());
    // Writing to a vector can't fail.
    let _ = encoder.write_all(bytes);
    encoder.finish().unwrap_or_default()
}

/// Decompresses a document.
///
/// # Errors
///
/// Returns an error if the bytes are no complete document of this coding, or the document is larger than 16 MiB.
pub(super) fn decompress(bytes: &[u8]) -> Result<Vec<u8>> {
    let mut document = Vec::new();
    ZlibDecoder::new(bytes).take(MAX_DOCUMENT_BYTES + 1).read_to_end(&mut document)?;
    if document.len() as u64 > MAX_DOCUMENT_BYTES {
        return Err(Error::new(ErrorKind::InvalidData, "document exceeds 16 MiB"));
    }
    Ok(document)
}
