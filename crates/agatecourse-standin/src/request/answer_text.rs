use agatecourse_types::stable_hash;

/// Vocabulary of the generated answers.
const WORDS: [&str; 16] = [
    "pane", "frame", "glass", "seal", "putty", "ridge", "vent", "bench", "storm", "hail", "order",
    "branch", "depot", "cone", "lane", "sign",
];

/// Returns the complete answer of an engine to a prompt, so that a caller can verify the answer that it received.
///
/// The first word is a hash of the prompt, the second one is the `X-Request-Id` of the request.
pub fn expected_answer(request_id: &str, prompt: &str, tokens: usize) -> String {
    let seed = answer_seed(prompt);
    (0..tokens).map(|index| answer_token(request_id, seed, index)).collect()
}

/// Returns the hash of the prompt from which the words of its answer are derived.
pub(crate) fn answer_seed(prompt: &str) -> u64 {
    stable_hash(&[b"answer", prompt.as_bytes()])
}

/// Returns one token of an answer with a trailing space.
pub(crate) fn answer_token(request_id: &str, seed: u64, index: usize) -> String {
    match index {
        0 => format!("{seed:016x} "),
        1 => format!("{request_id} "),
        _ => {
            let hash = stable_hash(&[&seed.to_le_bytes(), &(index as u64).to_le_bytes()]);
            format!("{} ", WORDS[(hash % 16) as usize])
        }
    }
}
