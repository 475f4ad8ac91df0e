use bytes::BytesMut;
use snafu::Snafu;
use tokio::io::{AsyncRead, AsyncReadExt};

/// Bytes reserved for each read of a socket; the users' answers are below 5 KB and prompts below 100 KB.
const READ_BUFFER_BYTES: usize = 8 * 1024;
/// Longest chunk-size line in bytes, including chunk extensions.
const MAX_CHUNK_LINE_BYTES: usize = 256;
/// Largest trailer in bytes.
const MAX_TRAILER_BYTES: usize = 8 * 1024;

/// Framing of a message body: how its end is determined.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum BodyFraming {
    /// `Content-Length` in bytes.
    Length(u64),
    /// Chunked transfer coding.
    Chunked,
    /// The end of the connection ends the body.
    UntilClose,
}

/// Error while a body is read.
#[derive(Debug, Snafu)]
pub enum BodyError {
    /// A chunk size, or the line end after a chunk, is invalid.
    #[snafu(display("chunk can't be parsed"))]
    BadChunk,
    /// The trailer after the last chunk is too long.
    #[snafu(display("trailer exceeds {MAX_TRAILER_BYTES} bytes"))]
    TrailerTooLong,
    /// The connection was closed before the end of the body.
    #[snafu(display("connection ended inside the body"))]
    Truncated,
    /// Reading from the socket failed.
    #[snafu(display("connection failed: {source}"))]
    Io {
        /// Error that the socket returned.
        source: std::io::Error,
    },
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ChunkState {
    Size,
    /// Inside a chunk, with the number of bytes that remain.
    Data(u64),
    /// Before the line end that follows the data of a chunk.
    DataEnd,
    Trailer,
    Done,
}

/// Incremental decoder of the chunked transfer coding.
#[derive(Debug)]
pub struct ChunkedDecoder {
    state: ChunkState,
    trailer_bytes: usize,
}

impl Default for ChunkedDecoder {
    fn default() -> Self {
        Self::new()
    }
}

impl ChunkedDecoder {
    /// Creates a decoder at the start of a body.
    pub fn new() -> Self {
        Self { state: ChunkState::Size, trailer_bytes: 0 }
    }

    /// Returns whether the last chunk and the trailer were decoded.
    pub fn is_done(&self) -> bool {
        self.state == ChunkState::Done
    }

    /// Moves decoded bytes from `input` to `output`; stops at the end of the body.
    ///
    /// # Errors
    ///
    /// Returns [`BodyError::BadChunk`] when the input is not valid chunked coding, and [`BodyError::TrailerTooLong`] when the
    /// trailer exceeds its limit.
    pub fn decode(&mut self, input: &mut BytesMut, output: &mut Vec<u8>) -> Result<(), BodyError> {
        loop {
            match self.state {
                ChunkState::Size => {
                    let Some(line) = take_line(input)? else { return Ok(()) };
                    let size = line[..].split(|byte| *byte == b';').next().unwrap_or_default();
                    let text =
                        std::str::from_utf8(size.trim_ascii()).map_err(|_| BodyError::BadChunk)?;
                    if text.is_empty() || !text.bytes().all(|byte| byte.is_ascii_hexdigit()) {
                        return Err(BodyError::BadChunk);
                    }
                    let size = u64::from_str_radix(text, 16).map_err(|_| BodyError::BadChunk)?;
                    self.state =
                        if size == 0 { ChunkState::Trailer } else { ChunkState::Data(size) };
                }
                ChunkState::Data(left) => {
                    if input.is_empty() {
                        return Ok(());
                    }
                    let taken = input.len().min(usize::try_from(left).unwrap_or(usize::MAX));
                    output.extend_from_slice(&input.split_to(taken));
                    let left = left - taken as u64;
                    self.state =
                        if left == 0 { ChunkState::DataEnd } else { ChunkState::Data(left) };
                }
                ChunkState::DataEnd => {
                    if input.len() < 2 {
                        return Ok(());
                    }
                    if &input.split_to(2)[..] != b"\r\n" {
                        return Err(BodyError::BadChunk);
                    }
                    self.state = ChunkState::Size;
                }
                ChunkState::Trailer => {
                    let Some(line) = take_line(input)? else { return Ok(()) };
                    self.trailer_bytes += line.len() + 2;
                    if line.is_empty() {
                        self.state = ChunkState::Done;
                    } else if self.trailer_bytes > MAX_TRAILER_BYTES {
                        return Err(BodyError::TrailerTooLong);
                    }
                }
                ChunkState::Done => return Ok(()),
            }
        }
    }
}

/// Removes a complete line from the input and returns it without its line end; `None` while it is incomplete.
fn take_line(input: &mut BytesMut) -> Result<Option<BytesMut>, BodyError> {
    let Some(end) = input.windows(2).position(|pair| pair == b"\r\n") else {
        return if input.len() > MAX_CHUNK_LINE_BYTES {
            Err(BodyError::BadChunk)
        } else {
            Ok(None)
        };
    };
    let mut line = input.split_to(end + 2);
    line.truncate(end);
    Ok(Some(line))
}

/// Reads a body from a connection according to its framing.
#[derive(Debug)]
pub(crate) struct BodyReader {
    framing: BodyFraming,
    left: u64,
    chunks: ChunkedDecoder,
    is_done: bool,
}

impl BodyReader {
    pub(crate) fn new(framing: BodyFraming) -> Self {
        let left = if let BodyFraming::Length(length) = framing { length } else { 0 };
        Self {
            framing,
            left,
            chunks: ChunkedDecoder::new(),
            is_done: framing == BodyFraming::Length(0),
        }
    }

    /// Returns whether the body was read to its end.
    pub(crate) fn is_done(&self) -> bool {
        self.is_done
    }

    /// Reads until at least one byte of the body was appended to `output` or the body ended.
    ///
    /// Cancellation-safe: bytes that were read stay in `buffer` until they are decoded.
    ///
    /// # Errors
    ///
    /// Returns a [`BodyError`] when the connection ends or fails inside the body, or the chunks are malformed.
    pub(crate) async fn read(
        &mut self,
        stream: &mut (impl AsyncRead + Unpin),
        buffer: &mut BytesMut,
        output: &mut Vec<u8>,
    ) -> Result<(), BodyError> {
        let before = output.len();
        while !self.is_done {
            self.decode(buffer, output)?;
            if self.is_done || output.len() > before {
                return Ok(());
            }
            if read_some(stream, buffer).await.map_err(|source| BodyError::Io { source })? == 0 {
                if self.framing != BodyFraming::UntilClose {
                    return Err(BodyError::Truncated);
                }
                self.is_done = true;
            }
        }
        Ok(())
    }

    fn decode(&mut self, buffer: &mut BytesMut, output: &mut Vec<u8>) -> Result<(), BodyError> {
        match self.framing {
            BodyFraming::Length(_) => {
                let taken = buffer.len().min(usize::try_from(self.left).unwrap_or(usize::MAX));
                output.extend_from_slice(&buffer.split_to(taken));
                self.left -= taken as u64;
                self.is_done = self.left == 0;
            }
            BodyFraming::Chunked => {
                self.chunks.decode(buffer, output)?;
                self.is_done = self.chunks.is_done();
            }
            BodyFraming::UntilClose => output.extend_from_slice(&buffer.split()),
        }
        Ok(())
    }
}

/// Reads available bytes into a buffer and returns their number; 0 means the end of the stream.
pub(crate) async fn read_some(
    stream: &mut (impl AsyncRead + Unpin),
    buffer: &mut BytesMut,
) -> std::io::Result<usize> {
    buffer.reserve(READ_BUFFER_BYTES);
    stream.read_buf(buffer).await
}
