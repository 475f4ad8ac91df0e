/// Header names and authorization scheme of a deployment, set by its adapter.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HeaderNames {
    /// Id of one attempt of a caller; targets return it in their responses.
    pub request_id: String,
    /// Time in milliseconds for which the sender waits for the response.
    pub deadline_ms: String,
    /// Id of the target that must run the request; any other target rejects it.
    pub expected_target: String,
    /// Organisation of the caller, set by the node.
    pub organisation: String,
    /// Proof that a target produced the response; its absence makes a successful response invalid.
    pub response_proof: String,
    /// Set by a target that did not run the request.
    pub not_run: String,
    /// Requests per second that a target takes from all nodes together, for as long as its responses say so.
    pub target_limit: String,
    /// Requests per second that a brittle target can turn away for want of room before it falls over, for as long as its responses say so.
    pub target_brittleness: String,
    /// Present in the responses of a target that is about to leave.
    pub target_leaving: String,
    /// Id of the last event that was received, after which a stream resumes.
    pub last_event_id: String,
    /// Prompt tokens and the limit on output tokens, separated by a comma.
    pub token_count: String,
    /// Caller's estimate of the output tokens.
    pub length_hint: String,
    /// Parts of the prompt in order, as `ID:TOKENS` separated by commas.
    pub prompt_parts: String,
    /// Scheme of the `Authorization` header that holds a caller's API key.
    pub key_scheme: String,
    /// Headers that only the node may set; removed from requests of callers.
    pub reserved: Vec<String>,
}
