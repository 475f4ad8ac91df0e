use super::TokenBucket;
use agatecourse_config::OrganisationConfig;
use agatecourse_types::OrganisationId;
use snafu::Snafu;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// Capacity of a token bucket, as time at the full rate.
const MAX_BURST: Duration = Duration::from_secs(1);

/// Reason for which a request of an organisation is refused.
#[derive(Debug, Clone, PartialEq, Snafu)]
pub enum OrganisationLimitError {
    /// The organisation is not configured.
    #[snafu(display("organisation {organisation:?} is not configured"))]
    Unknown {
        /// Organisation of the refused request.
        organisation: OrganisationId,
    },
    /// The concurrency limit is reached by waiting and running requests.
    #[snafu(display("{limit} requests of organisation {organisation:?} wait or run"))]
    Concurrency {
        /// Organisation of the refused request.
        organisation: OrganisationId,
        /// Share of this node in the concurrency limit.
        limit: u32,
    },
    /// The token bucket is empty: the organisation's requests exceed its rate and burst on this node.
    #[snafu(display("organisation {organisation:?} sends more than {rate_per_s:.2} requests/s"))]
    Rate {
        /// Organisation of the refused request.
        organisation: OrganisationId,
        /// Share of this node in the rate limit, in requests per second.
        rate_per_s: f64,
        /// Time after which the next request is within the rate.
        retry_after: Duration,
    },
}

#[derive(Debug, Clone)]
struct OrganisationLimit {
    rate_per_s: f64,
    concurrency: u32,
    active: u32,
    /// `None` until the first request, which finds the bucket full.
    bucket: Option<TokenBucket>,
}

impl OrganisationLimit {
    fn burst(&self) -> f64 {
        (self.rate_per_s * MAX_BURST.as_secs_f64()).max(1.0)
    }
}

/// Rate limit (token bucket) and concurrency limit of each organisation at one entry node.
///
/// The configured limits apply to all nodes together; each node enforces its share of them. Holds one
/// limit for each configured organisation; requests of other organisations are refused.
#[derive(Debug, Clone, Default)]
pub struct OrganisationLimiter {
    limits: BTreeMap<OrganisationId, OrganisationLimit>,
}

impl OrganisationLimiter {
    /// Creates a limiter without organisations.
    pub fn new() -> Self {
        Self::default()
    }

    /// Replaces the limits with this node's share among `nodes` live nodes; running requests stay counted.
    ///
    /// Shares are rounded up, so that each node can serve at least one request of each organisation.
    pub fn configure(&mut self, organisations: &[OrganisationConfig], nodes: u32) {
        let nodes = nodes.max(1);
        let mut old = std::mem::take(&mut self.limits);
        let limits = organisations.iter().map(|config| {
            let known = old.remove(&config.name);
            let limit = OrganisationLimit {
                rate_per_s: f64::from(config.rate_per_s) / f64::from(nodes),
                concurrency: config.concurrency.div_ceil(nodes),
                active: known.as_ref().map_or(0, |known| known.active),
                bucket: known.and_then(|known| known.bucket),
            };
            (config.name.clone(), limit)
        });
        self.limits = limits.collect();
    }

    /// Counts a new request, or refuses it without counting it.
    ///
    /// # Errors
    ///
    /// Returns an error if the organisation isn't configured or its concurrency or rate limit on this node is reached.
    pub fn try_start(
        &mut self,
        now: Instant,
        organisation: &OrganisationId,
    ) -> Result<(), OrganisationLimitError> {
        let Some(limit) = self.limits.get_mut(organisation) else {
            return UnknownSnafu { organisation }.fail();
        };
        let (rate_per_s, burst) = (limit.rate_per_s, limit.burst());
        let full = TokenBucket::new(now, rate_per_s, burst).with_tokens(burst);
        let bucket = limit.bucket.get_or_insert(full);
        bucket.set_rate(now, rate_per_s, burst);
        if limit.active >= limit.concurrency {
            return ConcurrencySnafu { organisation, limit: limit.concurrency }.fail();
        }
        let tokens = bucket.available(now);
        if tokens < 1.0 {
            let retry_after = Duration::from_secs_f64((1.0 - tokens) / rate_per_s);
            return RateSnafu { organisation, rate_per_s, retry_after }.fail();
        }
        bucket.take(now);
        limit.active += 1;
        Ok(())
    }

    /// Counts the end of a request that [`Self::try_start`] accepted.
    pub fn finish(&mut self, organisation: &OrganisationId) {
        if let Some(limit) = self.limits.get_mut(organisation) {
            limit.active = limit.active.saturating_sub(1);
        }
    }

    /// Returns the number of requests of an organisation that wait or run.
    pub fn active(&self, organisation: &OrganisationId) -> u32 {
        self.limits.get(organisation).map_or(0, |limit| limit.active)
    }
}
