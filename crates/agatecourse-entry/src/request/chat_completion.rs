use crate::request::RequestError;
use agatecourse_types::ResultCode;
use bytes::Bytes;
use serde_json::{Map, Value};

/// Maximum size of a completion that is assembled for a caller that did not request a stream.
const MAX_COMPLETION_BYTES: usize = 4 * 1024 * 1024;

/// Assembles the chunks of a stream into one chat completion.
#[derive(Debug, Clone, Default)]
pub(crate) struct ChatCompletion {
    head: Map<String, Value>,
    choices: Vec<Map<String, Value>>,
    size_bytes: usize,
}

impl ChatCompletion {
    /// Merges one chunk into the completion.
    ///
    /// # Errors
    ///
    /// Returns an error when the chunks exceed [`MAX_COMPLETION_BYTES`] and when a chunk is not a JSON object.
    pub(crate) fn add(&mut self, chunk: &[u8]) -> Result<(), RequestError> {
        self.size_bytes += chunk.len();
        if self.size_bytes > MAX_COMPLETION_BYTES {
            let detail = format!("answer exceeds {MAX_COMPLETION_BYTES} bytes; ask for a stream");
            return Err(RequestError::new(ResultCode::TargetFailed, detail));
        }
        let chunk: Map<String, Value> = serde_json::from_slice(chunk).map_err(|error| {
            RequestError::new(ResultCode::TargetFailed, format!("malformed chunk: {error}"))
        })?;
        for (key, value) in chunk {
            match (key.as_str(), value) {
                ("choices", Value::Array(choices)) => {
                    for choice in choices {
                        self.add_choice(choice);
                    }
                }
                ("object", _) | (_, Value::Null) => {}
                (_, value) => {
                    self.head.insert(key, value);
                }
            }
        }
        Ok(())
    }

    fn add_choice(&mut self, choice: Value) {
        let Value::Object(mut choice) = choice else { return };
        let index = choice.get("index").and_then(Value::as_u64).unwrap_or(0);
        let delta = choice.remove("delta").unwrap_or(Value::Null);
        let found = self
            .choices
            .iter()
            .position(|known| known.get("index").and_then(Value::as_u64).unwrap_or(0) == index);
        let position = found.unwrap_or_else(|| {
            self.choices.push(Map::new());
            self.choices.len() - 1
        });
        let known = &mut self.choices[position];
        choice.into_iter().filter(|(_, value)| !value.is_null()).for_each(|(key, value)| {
            known.insert(key, value);
        });
        merge(known.entry("message").or_insert(Value::Null), delta);
    }

    /// Serializes the completion.
    pub(crate) fn finish(mut self) -> Bytes {
        self.head.insert("object".into(), "chat.completion".into());
        self.head.insert("choices".into(), self.choices.into_iter().map(Value::Object).collect());
        serde_json::to_vec(&self.head).unwrap_or_default().into()
    }
}

/// Merges a delta into a value: concatenates strings, merges objects, and merges array elements of the same `index`.
fn merge(known: &mut Value, delta: Value) {
    match (known, delta) {
        (_, Value::Null) => {}
        (Value::Object(known), Value::Object(delta)) => {
            for (key, value) in delta {
                match known.get_mut(&key) {
                    // These fields are identifiers, which engines send whole; all other strings arrive in pieces.
                    Some(old) if !["role", "id", "type", "name"].contains(&key.as_str()) => {
                        merge(old, value);
                    }
                    _ => {
                        known.insert(key, value);
                    }
                }
            }
        }
        (Value::String(known), Value::String(delta)) => known.push_str(&delta),
        (Value::Array(known), Value::Array(delta)) => {
            for value in delta {
                let index = value.get("index").cloned();
                match known
                    .iter_mut()
                    .find(|old| index.is_some() && old.get("index") == index.as_ref())
                {
                    Some(old) => merge(old, value),
                    None => known.push(value),
                }
            }
        }
        (known, delta) => *known = delta,
    }
}

#[cfg(test)]
mod tests;
