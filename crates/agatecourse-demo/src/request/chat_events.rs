use serde_json::Value;

/// Content of a chat completion that is streamed as server-sent events.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub(crate) struct ChatEvents {
    /// Concatenated content of all chunks.
    pub(crate) text: String,
    /// Whether `[DONE]` was received.
    pub(crate) is_done: bool,
    /// Whether an `error` event was received.
    pub(crate) is_failed: bool,
}

impl ChatEvents {
    /// Parses a complete response body; chunks that are not valid JSON add no text.
    pub(crate) fn parse(body: &str) -> Self {
        let mut events = Self::default();
        for line in body.lines() {
            match line.split_once(':').map(|(field, value)| (field, value.trim_start())) {
                Some(("event", "error")) => events.is_failed = true,
                Some(("data", "[DONE]")) => events.is_done = true,
                Some(("data", data)) => events.append_chunk(data),
                _ => {}
            }
        }
        events
    }

    fn append_chunk(&mut self, data: &str) {
        let chunk: Value = serde_json::from_str(data).unwrap_or_default();
        self.text.push_str(chunk["choices"][0]["delta"]["content"].as_str().unwrap_or_default());
    }
}

#[cfg(test)]
mod tests;
