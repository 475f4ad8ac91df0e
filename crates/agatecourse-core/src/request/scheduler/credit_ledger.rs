use agatecourse_types::ProviderId;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// Size of the token bucket in time at the even spending rate. It allows a burst on a provider whose credit would
/// otherwise expire unused.
const BURST_WINDOW: Duration = Duration::from_mins(1);

/// Credit of one provider for one pool.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ProviderCredit {
    /// Provider that granted the credit.
    pub provider: ProviderId,
    /// Tokens, read and written together, that this pool may still spend.
    pub tokens_left: u64,
    /// Time until the credit expires.
    pub ends_in: Duration,
}

/// Order in which credits are spent; lower ranks first.
pub(super) type SpendRank = u32;

/// Rank of targets without a provider and of providers whose allowance is used up.
pub(super) const LAST_RANK: SpendRank = u32::MAX;

/// Remaining credit of a provider, with a token bucket that limits the spending rate.
#[derive(Debug, Clone)]
struct ProviderAccount {
    tokens_left: f64,
    ends_at: Instant,
    /// Content of the token bucket; negative after overspending.
    allowance_tokens: f64,
    updated_at: Instant,
    rank: SpendRank,
}

impl ProviderAccount {
    /// Returns the rate in tokens per second that spends the credit exactly until it expires.
    fn even_rate_per_s(&self, now: Instant) -> f64 {
        let left = self.ends_at.saturating_duration_since(now).as_secs_f64();
        if left > 0.0 { self.tokens_left.max(0.0) / left } else { 0.0 }
    }

    fn refill(&mut self, now: Instant) {
        let rate_per_s = self.even_rate_per_s(now);
        let passed = now.saturating_duration_since(self.updated_at).as_secs_f64();
        self.allowance_tokens = (self.allowance_tokens + rate_per_s * passed)
            .min(rate_per_s * BURST_WINDOW.as_secs_f64());
        self.updated_at = now;
    }
}

/// Credits of the providers, spent at an even rate with the earliest expiry first.
///
/// Holds one account for each provider of the last [`Credits`](super::PoolEvent::Credits) event.
#[derive(Debug, Clone, Default)]
pub(super) struct CreditLedger {
    accounts: BTreeMap<ProviderId, ProviderAccount>,
}

impl CreditLedger {
    /// Replaces the accounts; a known provider keeps its allowance, up to the new bucket size.
    pub(super) fn replace(&mut self, now: Instant, mut credits: Vec<ProviderCredit>) {
        credits.sort_by(|a, b| (a.ends_in, &a.provider).cmp(&(b.ends_in, &b.provider)));
        let accounts = credits.into_iter().zip(0..).map(|(credit, rank)| {
            let mut account = ProviderAccount {
                tokens_left: credit.tokens_left as f64,
                ends_at: now + credit.ends_in,
                allowance_tokens: 0.0,
                updated_at: now,
                rank,
            };
            let full_allowance = account.even_rate_per_s(now) * BURST_WINDOW.as_secs_f64();
            let known = self.accounts.get(&credit.provider);
            account.allowance_tokens =
                known.map_or(full_allowance, |known| known.allowance_tokens.min(full_allowance));
            (credit.provider, account)
        });
        self.accounts = accounts.collect();
    }

    /// Returns the rank of a provider, or `None` when its credit is used up or has expired.
    pub(super) fn rank(&self, now: Instant, provider: Option<&ProviderId>) -> Option<SpendRank> {
        let Some(account) = provider.and_then(|provider| self.accounts.get(provider)) else {
            return Some(LAST_RANK);
        };
        if account.tokens_left < 1.0 || account.ends_at <= now {
            return None;
        }
        Some(if account.allowance_tokens > 0.0 { account.rank } else { LAST_RANK })
    }

    /// Charges tokens to a provider; a negative number refunds an overcharge.
    pub(super) fn charge(&mut self, now: Instant, provider: Option<&ProviderId>, tokens: f64) {
        if let Some(account) = provider.and_then(|provider| self.accounts.get_mut(provider)) {
            account.refill(now);
            account.tokens_left -= tokens;
            account.allowance_tokens -= tokens;
        }
    }

    /// Refills the allowances for the time since their last update.
    pub(super) fn refill_all(&mut self, now: Instant) {
        self.accounts.values_mut().for_each(|account| account.refill(now));
    }
}
