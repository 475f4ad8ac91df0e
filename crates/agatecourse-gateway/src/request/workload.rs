use crate::connection::HeaderNames;
use crate::request::CallerRequest;
use agatecourse_core::request::dispatch::{PromptPart, PromptParts};
use agatecourse_types::stable_hash;

/// Output tokens assumed for a request that states neither a limit nor an estimate.
const UNKNOWN_OUTPUT_TOKENS: u32 = 100;

/// Most parts of a prompt that are considered, so that a submission fits a datagram.
const MAX_PROMPT_PARTS: usize = 16;

/// Work that a request asks for, as its headers state it.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct Workload {
    /// Tokens of the prompt; 0 when the request does not state them.
    pub(crate) prompt_tokens: u32,
    /// Limit on the tokens of the answer; 0 when the request does not state one.
    pub(crate) max_output_tokens: u32,
    /// Estimated tokens of the answer, at most the limit if there is one.
    pub(crate) expected_output_tokens: u32,
    /// Hash of the first part of the prompt, which other requests may share; 0 without one.
    pub(crate) shared_part: u64,
    /// Parts of the prompt in order, at most [`MAX_PROMPT_PARTS`].
    pub(crate) prompt_parts: PromptParts,
}

impl Workload {
    /// Reads the workload from a request's headers; headers that can't be parsed count as absent.
    pub(crate) fn from_request(request: &CallerRequest, header_names: &HeaderNames) -> Self {
        let headers = &request.head.headers;
        let counts = headers.get(&header_names.token_count).and_then(|text| text.split_once(','));
        let parse = |text: &str| text.trim().parse::<f64>().ok().map(|value| value.max(0.0) as u32);
        let prompt_tokens = counts.and_then(|(prompt, _)| parse(prompt)).unwrap_or(0);
        let largest = counts.and_then(|(_, output)| parse(output)).unwrap_or(0);
        let hint = headers.get(&header_names.length_hint).and_then(parse);
        let expected = hint.unwrap_or(if largest > 0 { largest } else { UNKNOWN_OUTPUT_TOKENS });
        let parts = headers.get(&header_names.prompt_parts);
        let first_part = parts.and_then(|text| text.split(',').next());
        let prompt_parts = parts.map_or(PromptParts::new(), |text| {
            text.split(',').take(MAX_PROMPT_PARTS).map_while(parse_part).collect()
        });
        Self {
            prompt_tokens,
            max_output_tokens: largest,
            expected_output_tokens: if largest > 0 { expected.min(largest) } else { expected },
            prompt_parts,
            shared_part: first_part.map_or(0, |part| stable_hash(&[part.trim().as_bytes()])),
        }
    }

    /// Returns the tokens that the request uses of a token quota; `default_tokens` when it states none.
    pub(crate) fn quota_tokens(&self, default_tokens: u64) -> u64 {
        let named = u64::from(self.prompt_tokens) + u64::from(self.max_output_tokens);
        if named == 0 { default_tokens } else { named }
    }
}

/// Parses a part of a prompt, `ID:TOKENS`.
fn parse_part(text: &str) -> Option<PromptPart> {
    let (id, tokens) = text.trim().split_once(':')?;
    Some(PromptPart { part: stable_hash(&[id.as_bytes()]), tokens: tokens.parse().ok()? })
}
