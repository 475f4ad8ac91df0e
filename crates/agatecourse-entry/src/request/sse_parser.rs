use bytes::{Bytes, BytesMut};

/// Maximum size of an event; a larger one ends the stream with an error, which bounds the memory of a stream.
pub(crate) const MAX_EVENT_BYTES: usize = 1024 * 1024;

/// One server-sent event.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct SseEvent {
    /// Bytes of the event, including the blank line that ends it.
    pub(crate) raw: Bytes,
    /// Value of the `id` field; absent when there is none or it is not a number.
    pub(crate) id: Option<u64>,
    /// Value of the last `data` field.
    pub(crate) data: Bytes,
}

/// Splits the bytes of a stream into events.
#[derive(Debug, Default)]
pub(crate) struct SseParser {
    buffer: BytesMut,
    scanned_bytes: usize,
}

impl SseParser {
    pub(crate) fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Returns whether the buffered, incomplete event exceeds [`MAX_EVENT_BYTES`].
    pub(crate) fn has_oversized_event(&self) -> bool {
        self.buffer.len() > MAX_EVENT_BYTES
    }

    /// Returns whether a complete event is buffered.
    pub(crate) fn has_event(&mut self) -> bool {
        let scanned_bytes = self.scanned_bytes;
        let found = self.find_event_end().is_some();
        if found {
            self.scanned_bytes = scanned_bytes;
        }
        found
    }

    /// Removes and returns the next complete event that has data; skips events without data.
    pub(crate) fn next_event(&mut self) -> Option<SseEvent> {
        loop {
            let end = self.find_event_end()?;
            self.scanned_bytes = 0;
            let raw = self.buffer.split_to(end).freeze();
            if let Some(event) = parse_event(&raw) {
                return Some(event);
            }
        }
    }

    fn find_event_end(&mut self) -> Option<usize> {
        // Resumes the search three bytes earlier, because a blank line may be split between reads.
        let from = self.scanned_bytes.saturating_sub(3);
        let bytes = &self.buffer[from..];
        let found = bytes.iter().enumerate().find_map(|(index, byte)| {
            let rest = &bytes[index..];
            match byte {
                b'\n' if rest.starts_with(b"\n\n") => Some(index + 2),
                b'\n' if rest.starts_with(b"\n\r\n") => Some(index + 3),
                _ => None,
            }
        });
        self.scanned_bytes = self.buffer.len();
        found.map(|index| from + index)
    }
}

fn parse_event(raw: &Bytes) -> Option<SseEvent> {
    let mut id = None;
    let mut data = None;
    for line in raw.split(|byte| *byte == b'\n') {
        let line = line.strip_suffix(b"\r").unwrap_or(line);
        if let Some(value) = field_value(line, b"id:") {
            id = std::str::from_utf8(value).ok().and_then(|text| text.parse().ok());
        } else if let Some(value) = field_value(line, b"data:") {
            data = Some(raw.slice_ref(value));
        }
    }
    data.map(|data| SseEvent { raw: raw.clone(), id, data })
}

fn field_value<'a>(line: &'a [u8], name: &[u8]) -> Option<&'a [u8]> {
    let value = line.strip_prefix(name)?;
    Some(value.strip_prefix(b" ").unwrap_or(value))
}

#[cfg(test)]
mod tests;
