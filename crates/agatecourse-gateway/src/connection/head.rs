use super::{BodyFraming, has_no_body};
use snafu::Snafu;

/// Largest incomplete response head in bytes that is buffered.
pub(crate) const MAX_RESPONSE_HEAD_BYTES: usize = 32 * 1024;
/// Largest number of header lines in a message.
const MAX_HEADER_LINES: usize = 100;
/// Status codes of HTTP (RFC 9110, section 15).
const POSSIBLE_STATUSES: std::ops::Range<u16> = 100..600;
/// Status after which the bytes of a connection are those of another protocol.
const SWITCHING_PROTOCOLS: u16 = 101;
/// Hop-by-hop headers, and headers that the node sets itself; never forwarded.
const HOP_BY_HOP: &[&str] = &[
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "expect",
    "content-length",
];

/// Error for a message head that is malformed or leaves the body length ambiguous.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum HeadError {
    /// The bytes are not an HTTP/1 message head.
    #[snafu(display("head can't be parsed: {reason}"))]
    Malformed {
        /// Error text of the parser.
        reason: String,
    },
    /// Lengths conflict, a length is invalid, or the transfer coding is not `chunked` alone.
    #[snafu(display("length of the body is ambiguous"))]
    AmbiguousLength,
    /// The status is none of HTTP's, or announces another protocol, for which no request of a node asks.
    #[snafu(display("status {status} answers no request"))]
    ImpossibleStatus {
        /// Status code as received.
        status: u16,
    },
}

/// Header lines in order of arrival.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Headers {
    lines: Vec<(String, Vec<u8>)>,
}

impl Headers {
    /// Returns the first value of a header, trimmed; `None` when it is absent or not UTF-8.
    pub fn get(&self, name: &str) -> Option<&str> {
        let (_, value) = self.lines.iter().find(|(line, _)| line.eq_ignore_ascii_case(name))?;
        std::str::from_utf8(value).ok().map(str::trim)
    }

    /// Returns all values of a header as text; values that are not UTF-8 are skipped.
    fn all<'a>(&'a self, name: &'a str) -> impl Iterator<Item = &'a str> {
        self.lines
            .iter()
            .filter(move |(line, _)| line.eq_ignore_ascii_case(name))
            .filter_map(|(_, value)| std::str::from_utf8(value).ok())
    }

    /// Returns whether the `Connection` header lists an option.
    pub fn has_connection_option(&self, option: &str) -> bool {
        self.all("connection")
            .flat_map(|value| value.split(','))
            .any(|item| item.trim().eq_ignore_ascii_case(option))
    }

    /// Appends the end-to-end header lines to `out`, except those for whose name `drop` returns true.
    pub fn write_end_to_end(&self, out: &mut Vec<u8>, drop: impl Fn(&str) -> bool) {
        for (name, value) in &self.lines {
            let is_hop = HOP_BY_HOP.iter().any(|hop| name.eq_ignore_ascii_case(hop));
            if is_hop || self.has_connection_option(name) || drop(name) {
                continue;
            }
            out.extend_from_slice(name.as_bytes());
            out.extend_from_slice(b": ");
            out.extend_from_slice(value);
            out.extend_from_slice(b"\r\n");
        }
    }

    fn from_parsed(parsed: &[httparse::Header<'_>]) -> Self {
        Self {
            lines: parsed.iter().map(|line| (line.name.to_string(), line.value.to_vec())).collect(),
        }
    }

    /// Returns the value of `Content-Length`; `None` when absent, an error when it is invalid or values conflict.
    pub(crate) fn content_length(&self) -> Result<Option<u64>, HeadError> {
        let mut length = None;
        for (name, value) in &self.lines {
            if !name.eq_ignore_ascii_case("content-length") {
                continue;
            }
            let text = std::str::from_utf8(value).map_err(|_| HeadError::AmbiguousLength)?.trim();
            if text.is_empty() || !text.bytes().all(|byte| byte.is_ascii_digit()) {
                return Err(HeadError::AmbiguousLength);
            }
            let value = text.parse::<u64>().map_err(|_| HeadError::AmbiguousLength)?;
            if length.is_some_and(|earlier| earlier != value) {
                return Err(HeadError::AmbiguousLength);
            }
            length = Some(value);
        }
        Ok(length)
    }

    /// Returns whether the body is chunked; any other transfer coding is an error.
    fn is_chunked(&self) -> Result<bool, HeadError> {
        let mut codings = 0;
        for (name, value) in &self.lines {
            if name.eq_ignore_ascii_case("transfer-encoding") {
                codings += 1;
                if !value.trim_ascii().eq_ignore_ascii_case(b"chunked") {
                    return Err(HeadError::AmbiguousLength);
                }
            }
        }
        if codings > 1 { Err(HeadError::AmbiguousLength) } else { Ok(codings == 1) }
    }
}

/// Parsed head of a caller's request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RequestHead {
    /// Method in the case in which it was sent, such as `GET`.
    pub method: String,
    /// Path and query as the caller sent them.
    pub path: String,
    /// All header lines, including hop-by-hop headers.
    pub headers: Headers,
    /// True when the connection closes after the response.
    pub closes: bool,
    /// Framing of the body.
    pub(crate) framing: BodyFraming,
    /// Bytes of the head as it was received.
    pub(crate) length: usize,
}

/// Parsed head of a response.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ResponseHead {
    /// Status code from 100 to 599.
    pub status: u16,
    /// Reason phrase; may be empty.
    pub reason: String,
    /// All header lines, including hop-by-hop headers.
    pub headers: Headers,
    /// True when the connection closes after the response.
    pub closes: bool,
    /// Framing of the body.
    pub(crate) framing: BodyFraming,
}

/// Parses a request head and returns it with its length in bytes, or `None` while it is incomplete.
///
/// # Errors
///
/// Returns a [`HeadError`] when the head is malformed or the body length is ambiguous.
pub fn parse_request_head(bytes: &[u8]) -> Result<Option<(RequestHead, usize)>, HeadError> {
    let mut lines = [httparse::EMPTY_HEADER; MAX_HEADER_LINES];
    let mut parsed = httparse::Request::new(&mut lines);
    let length = match parsed.parse(bytes) {
        Ok(httparse::Status::Complete(length)) => length,
        Ok(httparse::Status::Partial) => return Ok(None),
        Err(error) => return Err(HeadError::Malformed { reason: error.to_string() }),
    };
    let headers = Headers::from_parsed(parsed.headers);
    let is_http_1_0 = parsed.version == Some(0);
    let (content_length, is_chunked) = (headers.content_length()?, headers.is_chunked()?);
    if is_chunked && (content_length.is_some() || is_http_1_0) {
        return Err(HeadError::AmbiguousLength);
    }
    let framing = match content_length {
        _ if is_chunked => BodyFraming::Chunked,
        Some(length) => BodyFraming::Length(length),
        None => BodyFraming::Length(0),
    };
    let closes = headers.has_connection_option("close")
        || (is_http_1_0 && !headers.has_connection_option("keep-alive"));
    let head = RequestHead {
        method: parsed.method.unwrap_or_default().to_string(),
        path: parsed.path.unwrap_or_default().to_string(),
        headers,
        closes,
        framing,
        length,
    };
    Ok(Some((head, length)))
}

/// Parses the head of a response to a request with `method` and returns it with its length in bytes, or `None` while it
/// is incomplete.
///
/// # Errors
///
/// Returns a [`HeadError`] when the head is malformed, the body length is ambiguous or the status answers no request.
pub fn parse_response_head(
    bytes: &[u8],
    method: &str,
) -> Result<Option<(ResponseHead, usize)>, HeadError> {
    let mut lines = [httparse::EMPTY_HEADER; MAX_HEADER_LINES];
    let mut parsed = httparse::Response::new(&mut lines);
    let length = match parsed.parse(bytes) {
        Ok(httparse::Status::Complete(length)) => length,
        Ok(httparse::Status::Partial) => return Ok(None),
        Err(error) => return Err(HeadError::Malformed { reason: error.to_string() }),
    };
    let headers = Headers::from_parsed(parsed.headers);
    let status = parsed.code.unwrap_or_default();
    if !POSSIBLE_STATUSES.contains(&status) || status == SWITCHING_PROTOCOLS {
        return Err(HeadError::ImpossibleStatus { status });
    }
    let (content_length, is_chunked) = (headers.content_length()?, headers.is_chunked()?);
    if is_chunked && content_length.is_some() {
        return Err(HeadError::AmbiguousLength);
    }
    let framing = match content_length {
        _ if has_no_body(method, status) => BodyFraming::Length(0),
        _ if is_chunked => BodyFraming::Chunked,
        Some(length) => BodyFraming::Length(length),
        None => BodyFraming::UntilClose,
    };
    let closes = headers.has_connection_option("close") || parsed.version == Some(0);
    let head = ResponseHead {
        status,
        reason: parsed.reason.unwrap_or_default().to_string(),
        headers,
        closes,
        framing,
    };
    Ok(Some((head, length)))
}
