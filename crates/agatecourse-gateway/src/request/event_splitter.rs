use snafu::Snafu;

/// Largest event in bytes that is buffered.
const MAX_EVENT_BYTES: usize = 256 * 1024;

/// Error for an event that is too long to be buffered.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
#[snafu(display("event exceeds {MAX_EVENT_BYTES} bytes"))]
pub struct EventTooLongError;

/// Splits a stream of server-sent events into complete events and keeps the id of the last one.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct EventSplitter {
    pending: Vec<u8>,
    last_id: Option<String>,
}

impl EventSplitter {
    /// Creates a splitter at the start of a stream.
    pub fn new() -> Self {
        Self::default()
    }

    /// Appends bytes of the stream and returns the events that are now complete, with their terminating empty lines.
    ///
    /// # Errors
    ///
    /// Returns an error if the event at the end exceeds the size limit; complete events before it are then lost.
    pub fn push(&mut self, bytes: &[u8]) -> Result<Vec<u8>, EventTooLongError> {
        // The bytes before contain no end of an event, but the end may have begun in them.
        let search_from = self.pending.len().saturating_sub(3);
        self.pending.extend_from_slice(bytes);
        let end = last_event_end(&self.pending[search_from..]).map(|end| search_from + end);
        if self.pending.len() - end.unwrap_or(0) > MAX_EVENT_BYTES {
            return Err(EventTooLongError);
        }
        let Some(end) = end else { return Ok(Vec::new()) };
        let rest = self.pending.split_off(end);
        let complete = std::mem::replace(&mut self.pending, rest);
        if let Some(id) = last_id(&complete) {
            self.last_id = Some(id);
        }
        Ok(complete)
    }

    /// Returns the id of the last complete event that had one.
    pub fn last_id(&self) -> Option<&str> {
        self.last_id.as_deref()
    }

    /// Returns whether an incomplete event is buffered.
    pub fn has_partial_event(&self) -> bool {
        !self.pending.is_empty()
    }

    /// Discards an incomplete event after the stream broke inside it.
    pub fn drop_partial_event(&mut self) {
        self.pending.clear();
    }
}

/// Returns the position after the last empty line, which ends an event.
fn last_event_end(bytes: &[u8]) -> Option<usize> {
    let line_feeds = bytes.windows(2).rposition(|pair| pair == b"\n\n").map(|at| at + 2);
    let with_returns = bytes.windows(4).rposition(|quad| quad == b"\r\n\r\n").map(|at| at + 4);
    line_feeds.max(with_returns)
}

/// Returns the value of the last `id` field.
fn last_id(events: &[u8]) -> Option<String> {
    let line =
        events.split(|byte| *byte == b'\n').rev().find_map(|line| line.strip_prefix(b"id:"))?;
    Some(String::from_utf8_lossy(line.trim_ascii()).into_owned())
}
