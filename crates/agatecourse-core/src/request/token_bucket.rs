use std::time::Instant;

/// Token bucket: permits a rate, and a burst after a time without use.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct TokenBucket {
    rate_per_s: f64,
    burst: f64,
    tokens: f64,
    updated_at: Instant,
}

impl TokenBucket {
    /// Creates an empty bucket.
    pub fn new(now: Instant, rate_per_s: f64, burst: f64) -> Self {
        Self { rate_per_s, burst, tokens: 0.0, updated_at: now }
    }

    /// Sets the number of tokens in the bucket, at most the burst.
    #[must_use]
    pub fn with_tokens(self, tokens: f64) -> Self {
        Self { tokens: tokens.min(self.burst), ..self }
    }

    /// Changes rate and burst from now on.
    pub fn set_rate(&mut self, now: Instant, rate_per_s: f64, burst: f64) {
        self.tokens = self.available(now).min(burst);
        self.updated_at = now;
        self.rate_per_s = rate_per_s;
        self.burst = burst;
    }

    /// Returns the permitted rate.
    pub fn rate_per_s(&self) -> f64 {
        self.rate_per_s
    }

    /// Returns the tokens in the bucket.
    pub fn available(&self, now: Instant) -> f64 {
        let elapsed_s = now.saturating_duration_since(self.updated_at).as_secs_f64();
        (self.tokens + elapsed_s * self.rate_per_s).min(self.burst)
    }

    /// Takes a token, also from an empty bucket.
    pub fn take(&mut self, now: Instant) {
        self.tokens = self.available(now) - 1.0;
        self.updated_at = now;
    }

    /// Returns a token that was not used.
    pub fn refund(&mut self) {
        self.tokens = (self.tokens + 1.0).min(self.burst);
    }
}
