use crate::Envelope;
use snafu::{ResultExt, Snafu, ensure};

/// Largest encoded datagram in bytes; fits the smallest path MTU that QUIC requires.
pub const DATAGRAM_LIMIT_BYTES: usize = 1_150;
/// Largest encoded stream message in bytes.
pub const STREAM_LIMIT_BYTES: usize = 64 * 1024;

const FORMAT_VERSION: u8 = 1;

/// Error for a message that can't be encoded or decoded.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum CodecError {
    /// The message is larger than the limit of its channel.
    #[snafu(display("message of {size_bytes} bytes exceeds the limit of {limit_bytes} bytes"))]
    TooLarge {
        /// Size of the encoded message in bytes.
        size_bytes: usize,
        /// Limit of the channel in bytes.
        limit_bytes: usize,
    },
    /// The input is empty and lacks even the version byte.
    #[snafu(display("message is empty"))]
    Empty,
    /// The sender's release uses another message format.
    #[snafu(display("unknown message format version {found}"))]
    UnknownVersion {
        /// Version byte of the message.
        found: u8,
    },
    /// The payload is not a valid encoding of an [`Envelope`].
    #[snafu(display("malformed message: {source}"))]
    Malformed {
        /// Error of the postcard codec.
        source: postcard::Error,
    },
    /// Bytes follow the end of the message.
    #[snafu(display("{count} bytes follow the message"))]
    TrailingBytes {
        /// Number of bytes after the message.
        count: usize,
    },
}

/// Encodes a message for a QUIC datagram.
///
/// # Errors
///
/// Returns [`CodecError::TooLarge`] above [`DATAGRAM_LIMIT_BYTES`].
pub fn encode_datagram(message: &Envelope) -> Result<Vec<u8>, CodecError> {
    encode(message, DATAGRAM_LIMIT_BYTES)
}

/// Encodes a message for a QUIC stream.
///
/// # Errors
///
/// Returns [`CodecError::TooLarge`] above [`STREAM_LIMIT_BYTES`].
pub fn encode_stream(message: &Envelope) -> Result<Vec<u8>, CodecError> {
    encode(message, STREAM_LIMIT_BYTES)
}

/// Decodes a message from a QUIC datagram.
///
/// # Errors
///
/// Returns a [`CodecError`] for input that [`encode_datagram`] can't have written.
pub fn decode_datagram(bytes: &[u8]) -> Result<Envelope, CodecError> {
    decode(bytes, DATAGRAM_LIMIT_BYTES)
}

/// Decodes a message from a QUIC stream.
///
/// # Errors
///
/// Returns a [`CodecError`] for input that [`encode_stream`] can't have written.
pub fn decode_stream(bytes: &[u8]) -> Result<Envelope, CodecError> {
    decode(bytes, STREAM_LIMIT_BYTES)
}

fn encode(message: &Envelope, limit_bytes: usize) -> Result<Vec<u8>, CodecError> {
    let bytes = postcard::to_extend(message, vec![FORMAT_VERSION]).context(MalformedSnafu)?;
    let size_bytes = bytes.len();
    ensure!(size_bytes <= limit_bytes, TooLargeSnafu { size_bytes, limit_bytes });
    Ok(bytes)
}

fn decode(bytes: &[u8], limit_bytes: usize) -> Result<Envelope, CodecError> {
    let size_bytes = bytes.len();
    ensure!(size_bytes <= limit_bytes, TooLargeSnafu { size_bytes, limit_bytes });
    let (found, payload) = bytes.split_first().ok_or(CodecError::Empty)?;
    ensure!(*found == FORMAT_VERSION, UnknownVersionSnafu { found: *found });
    let (message, rest) = postcard::take_from_bytes(payload).context(MalformedSnafu)?;
    ensure!(rest.is_empty(), TrailingBytesSnafu { count: rest.len() });
    Ok(message)
}

#[cfg(test)]
mod tests;
