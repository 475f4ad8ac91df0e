use snafu::Snafu;

/// Largest event in bytes that is buffered.
const MAX_EVENT_BYTES: usize = 256 * 1024;

/// Error for bytes that are not the next events of a stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
pub enum EventError {
    /// An event is too long to be buffered.
    #[snafu(display("event exceeds {MAX_EVENT_BYTES} bytes"))]
    TooLong,
    /// A resumed stream has an event without an id, or with one that does not follow the last.
    #[snafu(display("resumed stream does not go on after the last event"))]
    OutOfOrder,
}

/// Splits a stream of server-sent events into complete events and keeps the id of the last one.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct EventSplitter {
    pending: Vec<u8>,
    last_id: Option<String>,
    is_resumed: bool,
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
    /// Returns an error if the event at the end exceeds the size limit, or if a resumed stream does not go on after the last event;
    /// complete events before it are then lost, and the id of the last event stays as it was.
    pub fn push(&mut self, bytes: &[u8]) -> Result<Vec<u8>, EventError> {
        // The bytes before contain no end of an event, but the end may have begun in them.
        let search_from = self.pending.len().saturating_sub(3);
        self.pending.extend_from_slice(bytes);
        let end = last_event_end(&self.pending[search_from..]).map(|end| search_from + end);
        if self.pending.len() - end.unwrap_or(0) > MAX_EVENT_BYTES {
            return Err(EventError::TooLong);
        }
        let Some(end) = end else { return Ok(Vec::new()) };
        let rest = self.pending.split_off(end);
        let complete = std::mem::replace(&mut self.pending, rest);
        if self.is_resumed
            && let Some(last) = &self.last_id
            && !goes_on_after(&complete, last)
        {
            return Err(EventError::OutOfOrder);
        }
        if let Some(id) = last_id(&complete) {
            self.last_id = Some(id);
        }
        Ok(complete)
    }

    /// Returns the id of the last complete event that had one.
    pub fn last_id(&self) -> Option<&str> {
        self.last_id.as_deref()
    }

    /// Requires from now on that events follow the last one, because another target resumes the stream.
    pub fn resume(&mut self) {
        self.is_resumed = true;
    }

    /// Returns whether an incomplete event is buffered.
    pub fn has_partial_event(&self) -> bool {
        !self.pending.is_empty()
    }

    /// Returns the number of bytes for which memory is allocated.
    pub fn pending_bytes(&self) -> usize {
        self.pending.capacity()
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

/// Returns whether each event has an id that follows the one before, the first of them `last`. Comments need no id.
fn goes_on_after(events: &[u8], last: &str) -> bool {
    let mut last = last.to_string();
    let mut lines = events.split(|byte| *byte == b'\n').map(<[u8]>::trim_ascii_end);
    loop {
        let event: Vec<&[u8]> = lines.by_ref().take_while(|line| !line.is_empty()).collect();
        if event.is_empty() {
            return lines.next().is_none();
        }
        if event.iter().all(|line| line.starts_with(b":")) {
            continue;
        }
        let Some(id) = event.iter().find_map(|line| line.strip_prefix(b"id:")) else {
            return false;
        };
        let id = String::from_utf8_lossy(id.trim_ascii()).into_owned();
        let follows = match (id.parse::<u64>(), last.parse::<u64>()) {
            (Ok(id), Ok(last)) => id > last,
            // Ids that are not numbers have no order.
            _ => id != last,
        };
        if !follows {
            return false;
        }
        last = id;
    }
}

/// Returns the value of the last `id` field.
fn last_id(events: &[u8]) -> Option<String> {
    let line =
        events.split(|byte| *byte == b'\n').rev().find_map(|line| line.strip_prefix(b"id:"))?;
    Some(String::from_utf8_lossy(line.trim_ascii()).into_owned())
}
