use crate::request::SimRequest;

/// Batch timing and cache size of an engine of relative speed 1.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct EngineModel {
    /// Fixed duration of one batch step in seconds.
    pub step_s: f64,
    /// Time that each written token adds to a step, in seconds.
    pub token_s: f64,
    /// Prompt tokens that the engine reads per second.
    pub read_tokens_per_s: f64,
    /// Maximum number of requests in a batch.
    pub max_batch_requests: usize,
    /// Maximum number of prompt tokens read in one step (chunked prefill).
    pub chunk_tokens: u32,
    /// Capacity of the prefix cache in tokens.
    pub cache_tokens: u32,
}

impl Default for EngineModel {
    fn default() -> Self {
        Self {
            step_s: 0.008,
            token_s: 0.000_35,
            read_tokens_per_s: 20_000.0,
            max_batch_requests: 16,
            chunk_tokens: 512,
            cache_tokens: 120_000,
        }
    }
}

impl EngineModel {
    /// Returns the duration of a step in seconds that writes and reads the given numbers of tokens.
    pub fn step_time_s(&self, written: usize, read_tokens: u32) -> f64 {
        self.step_s
            + self.token_s * written as f64
            + f64::from(read_tokens) / self.read_tokens_per_s
    }

    /// Returns a lower bound of the time that a request needs on an engine of speed 1, in seconds.
    ///
    /// All shared prompt blocks count as cached, and each written token is charged its fraction of the fixed step time
    /// of a full batch. No schedule can spend less on the request.
    pub fn least_work_s(&self, request: &SimRequest) -> f64 {
        let own_tokens = f64::from(request.read_tokens - request.shared_tokens());
        let token_s = self.step_s / self.max_batch_requests as f64 + self.token_s;
        own_tokens / self.read_tokens_per_s + f64::from(request.write_tokens) * token_s
    }
}
