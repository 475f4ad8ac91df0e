use agatecourse_types::stable_hash;
use serde::Deserialize;
use serde_json::Value;

/// Bytes of text that count as one token in this simulation.
const BYTES_PER_TOKEN: usize = 4;

/// Request body of `POST /v1/chat/completions`; unknown fields are ignored.
#[derive(Debug, Clone, Default, PartialEq, Deserialize)]
#[serde(default)]
pub(crate) struct ChatRequest {
    pub(crate) model: String,
    pub(crate) messages: Vec<Message>,
    pub(crate) stream: bool,
    pub(crate) max_tokens: Option<usize>,
}

/// Message of a prompt; its content is a text or a list of parts with texts.
#[derive(Debug, Clone, Default, PartialEq, Deserialize)]
#[serde(default)]
pub(crate) struct Message {
    content: Value,
}

impl ChatRequest {
    /// Returns the concatenated texts of all messages.
    pub(crate) fn prompt(&self) -> String {
        self.messages.iter().map(|message| content_text(&message.content)).collect()
    }
}

/// Returns the concatenated texts of the messages in a chat request body, or `None` when the body is no chat request.
pub fn prompt_text(body: &[u8]) -> Option<String> {
    serde_json::from_slice::<ChatRequest>(body).ok().map(|request| request.prompt())
}

/// Returns the number of tokens in a prompt; at least 1.
pub(crate) fn count_tokens(prompt: &str) -> usize {
    (prompt.len() / BYTES_PER_TOKEN).max(1)
}

/// Returns the hashes of a prompt's full blocks; each hash covers the block and all blocks before it.
///
/// A hash is [`stable_hash`] of the previous hash (8 bytes, little endian; 0 before the first block) and the
/// bytes of the block, where a token counts as 4 bytes of text.
pub fn prompt_block_hashes(prompt: &str, block_tokens: usize) -> Vec<u64> {
    let mut previous = 0;
    let hash_block = |block: &[u8]| {
        previous = stable_hash(&[&u64::to_le_bytes(previous), block]);
        previous
    };
    prompt.as_bytes().chunks_exact(block_tokens.max(1) * BYTES_PER_TOKEN).map(hash_block).collect()
}

fn content_text(content: &Value) -> String {
    match content {
        Value::String(text) => text.clone(),
        Value::Array(parts) => {
            parts.iter().filter_map(|part| part.get("text").and_then(Value::as_str)).collect()
        }
        _ => String::new(),
    }
}
