use std::time::Instant;

/// Token bucket with a capacity of 100 ms of its rate, and at least one token.
#[derive(Debug, Clone)]
pub(crate) struct RateLimit {
    rate_per_s: f64,
    tokens: f64,
    refilled_at: Instant,
}

impl RateLimit {
    /// Creates a full bucket.
    pub(crate) fn new(rate_per_s: u32, now: Instant) -> Self {
        let rate_per_s = f64::from(rate_per_s);
        Self { rate_per_s, tokens: Self::capacity(rate_per_s), refilled_at: now }
    }

    /// Creates a full bucket, or `None` when the rate is unlimited.
    pub(crate) fn optional(rate_per_s: Option<u32>, now: Instant) -> Option<Self> {
        rate_per_s.map(|rate| Self::new(rate, now))
    }

    /// Takes a token and returns whether the operation is allowed; without a limit it always is.
    pub(crate) fn allows(limit: &mut Option<Self>, now: Instant) -> bool {
        limit.as_mut().is_none_or(|limit| limit.try_take_token(now))
    }

    /// Takes a token if one is available, and returns whether it did.
    pub(crate) fn try_take_token(&mut self, now: Instant) -> bool {
        let elapsed_s = now.saturating_duration_since(self.refilled_at).as_secs_f64();
        self.tokens =
            (self.tokens + elapsed_s * self.rate_per_s).min(Self::capacity(self.rate_per_s));
        self.refilled_at = now;
        let taken = self.tokens >= 1.0;
        if taken {
            self.tokens -= 1.0;
        }
        taken
    }

    fn capacity(rate_per_s: f64) -> f64 {
        (rate_per_s / 10.0).max(1.0)
    }
}
