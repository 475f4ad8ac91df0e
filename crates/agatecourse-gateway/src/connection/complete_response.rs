use std::io::Write;

/// Complete response that the node writes; all its responses but streams are serialized here.
///
/// The head of the response to HEAD is that of the response to GET.
#[derive(Debug, Clone, Copy)]
pub(crate) struct CompleteResponse<'a> {
    pub(crate) status: u16,
    pub(crate) reason: &'a str,
    /// Header lines with their line ends, without those on the connection and the length of the body.
    pub(crate) header_lines: &'a [u8],
    /// Body that the response to GET has, or nothing if the node doesn't know it.
    pub(crate) body: &'a [u8],
    /// Length of that body in bytes; `None` if it is unknown.
    pub(crate) body_length: Option<u64>,
    /// True when the connection closes after the response.
    pub(crate) closes: bool,
}

impl<'a> CompleteResponse<'a> {
    /// Creates a response that keeps the connection open.
    pub(crate) fn new(
        status: u16,
        reason: &'a str,
        header_lines: &'a [u8],
        body: &'a [u8],
    ) -> Self {
        let body_length = Some(body.len() as u64);
        Self { status, reason, header_lines, body, body_length, closes: false }
    }

    /// Sets the length that the response to GET states, for a body that the node doesn't know.
    pub(crate) fn with_body_length(self, body_length: Option<u64>) -> Self {
        Self { body_length, ..self }
    }

    /// Sets whether the connection closes after the response.
    pub(crate) fn with_closes(self, closes: bool) -> Self {
        Self { closes, ..self }
    }

    /// Serializes the response to a request with this method.
    pub(crate) fn serialize(&self, method: &str) -> Vec<u8> {
        let mut out = Vec::with_capacity(self.header_lines.len() + self.body.len() + 128);
        // Writing to a vector can't fail.
        let _ = write!(out, "HTTP/1.1 {} {}\r\n", self.status, self.reason);
        out.extend_from_slice(self.header_lines);
        if self.closes {
            out.extend_from_slice(b"Connection: close\r\n");
        }
        if let Some(length) = self.body_length.filter(|_| self.status != 204) {
            let _ = write!(out, "Content-Length: {length}\r\n");
        }
        out.extend_from_slice(b"\r\n");
        if !has_no_body(method, self.status) {
            out.extend_from_slice(self.body);
        }
        out
    }
}

/// Returns whether the response with this status to a request with this method has no body, whatever its head says.
pub(crate) fn has_no_body(method: &str, status: u16) -> bool {
    method == "HEAD" || status == 204 || status == 304 || (100..200).contains(&status)
}

/// Returns the method at the start of a request whose head was not parsed.
pub(crate) fn unparsed_method(bytes: &[u8]) -> &str {
    let method = bytes.split(|byte| *byte == b' ').next().unwrap_or_default();
    std::str::from_utf8(method).unwrap_or_default()
}
