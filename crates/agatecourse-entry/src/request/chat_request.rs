use crate::request::RequestError;
use agatecourse_types::{ResultCode, stable_hash};
use bytes::Bytes;
use serde::de::{DeserializeSeed, Error, IgnoredAny, MapAccess, SeqAccess, Visitor};
use serde::{Deserialize, Deserializer};
use serde_json::value::RawValue;
use smallvec::SmallVec;
use std::fmt;

/// Maximum number of top-level fields, which bounds the memory for parsing.
const MAX_FIELDS: usize = 128;
/// Tokens in one block of a prompt; block hashes are compared with the prefix caches of engines.
pub(crate) const PREFIX_BLOCK_TOKENS: u32 = 64;
const BYTES_PER_TOKEN: usize = 4;
// 64 blocks cover a shared prefix of 4,096 tokens and take about 600 bytes in a peer message.
const MAX_PREFIX_BLOCKS: usize = 64;

/// A chat-completions request; all fields other than `model` and `stream` are passed to the engine unchanged.
#[derive(Debug)]
pub(crate) struct ChatRequest<'a> {
    /// Value of the `model` field, which names a route.
    pub(crate) model: String,
    /// Whether the caller requested a stream.
    pub(crate) stream: bool,
    /// Size and block hashes of the messages.
    pub(crate) prompt: Prompt,
    /// The caller's limit on output tokens; absent when it set none.
    pub(crate) max_tokens: Option<u32>,
    fields: Vec<(String, &'a RawValue)>,
}

/// Text size of the messages and hashes of their leading blocks.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub(crate) struct Prompt {
    /// Total size of the text of all messages.
    pub(crate) text_bytes: usize,
    /// Number of messages.
    pub(crate) messages: usize,
    /// Chained hashes: each covers its block and all earlier ones.
    pub(crate) prefix_hashes: SmallVec<[u64; 8]>,
    /// Bytes of the incomplete last block.
    block: Vec<u8>,
}

impl Prompt {
    /// Estimates the number of prompt tokens from the text size; at least 1.
    pub(crate) fn tokens(&self) -> u32 {
        u32::try_from(self.text_bytes / BYTES_PER_TOKEN).unwrap_or(u32::MAX).max(1)
    }

    fn add(&mut self, text: &str) {
        self.text_bytes += text.len();
        let block_bytes = PREFIX_BLOCK_TOKENS as usize * BYTES_PER_TOKEN;
        let mut rest = text.as_bytes();
        while !rest.is_empty() && self.prefix_hashes.len() < MAX_PREFIX_BLOCKS {
            let (taken, later) = rest.split_at(rest.len().min(block_bytes - self.block.len()));
            self.block.extend_from_slice(taken);
            rest = later;
            if self.block.len() == block_bytes {
                let before = self.prefix_hashes.last().copied().unwrap_or(0);
                self.prefix_hashes.push(stable_hash(&[&before.to_le_bytes(), &self.block]));
                self.block.clear();
            }
        }
    }
}

impl<'a> ChatRequest<'a> {
    /// Parses a request body.
    ///
    /// # Errors
    ///
    /// Returns an error that names the field when the body is not a JSON object with a string `model`, a non-empty
    /// array `messages` and, optionally, a boolean `stream` and an integer `max_tokens`.
    pub(crate) fn parse(body: &'a [u8]) -> Result<Self, RequestError> {
        let malformed = |detail: String| RequestError::new(ResultCode::Malformed, detail);
        let TopLevelFields(fields) = serde_json::from_slice(body)
            .map_err(|error| malformed(format!("expected a JSON object: {error}")))?;
        let find = |name: &str| fields.iter().find(|(key, _)| key == name).map(|(_, raw)| *raw);
        let read_error =
            |name: &str, expected: &str| malformed(format!("`{name}`: expected {expected}"));
        let model = find("model")
            .and_then(|raw| serde_json::from_str(raw.get()).ok())
            .ok_or_else(|| read_error("model", "the name of a route as text"))?;
        let stream = read_optional(find("stream"))
            .map_err(|()| read_error("stream", "true or false"))?
            .unwrap_or(false);
        let max_tokens = read_optional(find("max_tokens"))
            .map_err(|()| read_error("max_tokens", "a whole number"))?;
        let mut prompt = Prompt::default();
        let messages = find("messages")
            .ok_or_else(|| read_error("messages", "an array with at least one message"))?;
        MessagesVisitor(&mut prompt)
            .deserialize(&mut serde_json::Deserializer::from_str(messages.get()))
            .map_err(|error| malformed(format!("`messages`: {error}")))?;
        if prompt.messages == 0 {
            return Err(read_error("messages", "an array with at least one message"));
        }
        Ok(Self { model, stream, prompt, max_tokens, fields })
    }

    /// Builds the request body for the engine, with `model` as the model name and `stream` set.
    ///
    /// A stream is always requested from the engine, because only streams can be resumed.
    pub(crate) fn engine_body(&self, model: &str) -> Bytes {
        let size: usize =
            self.fields.iter().map(|(key, raw)| key.len() + raw.get().len() + 8).sum();
        let mut body = Vec::with_capacity(size + model.len() + 32);
        body.extend_from_slice(b"{\"model\":");
        body.extend(serde_json::to_vec(model).unwrap_or_default());
        body.extend_from_slice(b",\"stream\":true");
        for (key, raw) in &self.fields {
            if key == "model" || key == "stream" {
                continue;
            }
            body.push(b',');
            body.extend(serde_json::to_vec(key).unwrap_or_default());
            body.push(b':');
            body.extend_from_slice(raw.get().as_bytes());
        }
        body.push(b'}');
        body.into()
    }
}

fn read_optional<'a, T: Deserialize<'a>>(raw: Option<&'a RawValue>) -> Result<Option<T>, ()> {
    raw.map_or(Ok(None), |raw| serde_json::from_str(raw.get()).map_err(|_| ()))
}

struct TopLevelFields<'a>(Vec<(String, &'a RawValue)>);

impl<'de> Deserialize<'de> for TopLevelFields<'de> {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_map(TopLevelFieldsVisitor)
    }
}

struct TopLevelFieldsVisitor;

impl<'de> Visitor<'de> for TopLevelFieldsVisitor {
    type Value = TopLevelFields<'de>;

    fn expecting(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("an object")
    }

    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<Self::Value, A::Error> {
        let mut fields: Vec<(String, &RawValue)> = Vec::new();
        while let Some((key, value)) = map.next_entry::<String, &RawValue>()? {
            if fields.iter().any(|(known, _)| *known == key) {
                return Err(A::Error::custom(format_args!("field `{key}` appears twice")));
            }
            if fields.len() == MAX_FIELDS {
                return Err(A::Error::custom(format_args!("more than {MAX_FIELDS} fields")));
            }
            fields.push((key, value));
        }
        Ok(TopLevelFields(fields))
    }
}

struct MessagesVisitor<'a>(&'a mut Prompt);

impl<'de> DeserializeSeed<'de> for MessagesVisitor<'_> {
    type Value = ();

    fn deserialize<D: Deserializer<'de>>(self, deserializer: D) -> Result<(), D::Error> {
        deserializer.deserialize_seq(self)
    }
}

impl<'de> Visitor<'de> for MessagesVisitor<'_> {
    type Value = ();

    fn expecting(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("an array of messages")
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<(), A::Error> {
        while seq.next_element_seed(MessageVisitor(self.0, true))?.is_some() {
            self.0.messages += 1;
        }
        Ok(())
    }
}

/// Reads a message (`true`) or a content part (`false`); both are objects with text fields.
struct MessageVisitor<'a>(&'a mut Prompt, bool);

impl<'de> DeserializeSeed<'de> for MessageVisitor<'_> {
    type Value = ();

    fn deserialize<D: Deserializer<'de>>(self, deserializer: D) -> Result<(), D::Error> {
        if self.1 && self.0.messages > 0 {
            // Engines join messages with line feeds before they hash the blocks.
            self.0.add("\n");
        }
        deserializer.deserialize_map(self)
    }
}

impl<'de> Visitor<'de> for MessageVisitor<'_> {
    type Value = ();

    fn expecting(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("an object")
    }

    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<(), A::Error> {
        while let Some(key) = map.next_key::<String>()? {
            if key == "content" || key == "text" {
                map.next_value_seed(ContentVisitor(self.0))?;
            } else {
                map.next_value::<IgnoredAny>()?;
            }
        }
        Ok(())
    }
}

struct ContentVisitor<'a>(&'a mut Prompt);

impl<'de> DeserializeSeed<'de> for ContentVisitor<'_> {
    type Value = ();

    fn deserialize<D: Deserializer<'de>>(self, deserializer: D) -> Result<(), D::Error> {
        deserializer.deserialize_any(self)
    }
}

impl<'de> Visitor<'de> for ContentVisitor<'_> {
    type Value = ();

    fn expecting(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("text, null or an array of parts")
    }

    fn visit_str<E: Error>(self, text: &str) -> Result<(), E> {
        self.0.add(text);
        Ok(())
    }

    fn visit_unit<E: Error>(self) -> Result<(), E> {
        Ok(())
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<(), A::Error> {
        while seq.next_element_seed(MessageVisitor(self.0, false))?.is_some() {}
        Ok(())
    }
}

#[cfg(test)]
mod tests;
