use crate::request::answer_text::answer_token;
use serde_json::{Value, json};
use tokio::sync::watch;

/// Way in which a run ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum RunEnd {
    /// All tokens were generated.
    Completed,
    /// A client cancelled the run.
    Cancelled,
    /// A fault of the version ended the answer early.
    Truncated,
}

/// Progress of a run, published to its readers.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) struct RunProgress {
    /// Number of tokens generated so far.
    pub(crate) tokens: usize,
    /// Prompt tokens found in the prefix cache; 0 until the run enters the batch.
    pub(crate) cached_tokens: usize,
    pub(crate) ending: Option<RunEnd>,
}

/// Properties of a run that stay constant; readers derive the text of the answer from them.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct RunInfo {
    pub(crate) request_id: String,
    pub(crate) model: String,
    pub(crate) version: String,
    pub(crate) answer_seed: u64,
    pub(crate) prompt_tokens: usize,
}

/// Execution of a request: queued, running, or ended and kept for readers.
#[derive(Debug)]
pub(crate) struct EngineRun {
    pub(crate) info: RunInfo,
    pub(crate) blocks: Vec<u64>,
    pub(crate) answer_tokens: usize,
    pub(crate) prefill_left: usize,
    /// Fraction of the next token that is generated; a slow version adds less than one token per step.
    pub(crate) token_share: f64,
    pub(crate) progress: watch::Sender<RunProgress>,
}

impl EngineRun {
    /// Returns whether the run has ended.
    pub(crate) fn is_ended(&self) -> bool {
        self.progress.borrow().ending.is_some()
    }

    /// Adds one token, and ends the run after its last token or at the truncation limit.
    pub(crate) fn add_token(&self, truncate_after: Option<usize>) {
        self.progress.send_modify(|progress| {
            progress.tokens += 1;
            if progress.tokens >= self.answer_tokens {
                progress.ending = Some(RunEnd::Completed);
            } else if truncate_after.is_some_and(|limit| progress.tokens >= limit) {
                progress.ending = Some(RunEnd::Truncated);
            }
        });
    }

    /// Cancels the run and returns whether it was still running.
    pub(crate) fn cancel(&self) -> bool {
        self.progress.send_if_modified(|progress| {
            let running = progress.ending.is_none();
            progress.ending.get_or_insert(RunEnd::Cancelled);
            running
        })
    }
}

impl RunInfo {
    /// Returns the text of one token.
    pub(crate) fn token(&self, index: usize) -> String {
        answer_token(&self.request_id, self.answer_seed, index)
    }

    /// Returns the `usage` object of the chat-completions protocol.
    pub(crate) fn usage(&self, progress: RunProgress) -> Value {
        json!({
            "prompt_tokens": self.prompt_tokens,
            "completion_tokens": progress.tokens,
            "total_tokens": self.prompt_tokens + progress.tokens,
            "prompt_tokens_details": { "cached_tokens": progress.cached_tokens },
        })
    }
}
