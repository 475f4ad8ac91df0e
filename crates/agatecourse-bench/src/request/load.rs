use super::sim_request::{BLOCK_TOKENS, SimRequest};
use super::{DeploymentProfile, RequestKind};
use crate::process::EngineModel;
use crate::seeded_rng::SeededRng;
use agatecourse_types::stable_hash;
use smallvec::SmallVec;
use std::time::Duration;

/// Number of entry nodes in both deployment profiles.
pub const NODES: usize = 9;
/// Speeds of the ten engines relative to the fastest; the slowest has a quarter of its speed.
pub const ENGINE_SPEEDS: [f64; 10] = [1.0, 1.0, 1.0, 0.75, 0.75, 0.5, 0.5, 0.35, 0.25, 0.25];
/// Maximum number of leading prompt blocks that requests share.
const MAX_SHARED_BLOCKS: usize = 8;

/// Slowdown of one engine during a part of the run.
#[derive(Debug, Clone, Copy)]
pub struct SlowEngine {
    /// Index of the engine in [`ENGINE_SPEEDS`].
    pub engine: usize,
    /// Factor by which the speed of the engine is multiplied, below 1.
    pub speed_factor: f64,
    /// Start and end of the slowdown, from the start of the run.
    pub period: (Duration, Duration),
}

/// Parameters of a generated load.
#[derive(Debug, Clone)]
pub struct LoadShape {
    /// Profile that determines the kinds of requests and the organisations.
    pub deployment: DeploymentProfile,
    /// Time during which requests arrive.
    pub duration: Duration,
    /// Arriving work relative to the capacity of all engines, outside bursts.
    pub base_load: f64,
    /// Arriving work relative to the capacity of all engines, in bursts.
    pub burst_load: f64,
    /// Start and end of each burst.
    pub burst_periods: Vec<(Duration, Duration)>,
    /// Number of shared prefixes for each organisation and kind of request.
    pub prefixes_per_organisation: usize,
    /// Fraction of the callers that disconnect at a random time before the deadline.
    pub disconnect_ratio: f64,
    /// Longest time that a caller waits for the first token, as a fraction of the deadline; the shortest is half of it.
    /// `None` lets callers wait until the deadline.
    pub max_patience_ratio: Option<f64>,
    /// Slowdown of an engine, if any.
    pub slow_engine: Option<SlowEngine>,
}

impl LoadShape {
    /// Returns the arriving work at a point in time, relative to the capacity of all engines.
    fn relative_load(&self, at: Duration) -> f64 {
        let is_burst = self.burst_periods.iter().any(|(start, end)| *start <= at && at < *end);
        if is_burst { self.burst_load } else { self.base_load }
    }

    /// Returns the speed of an engine at a point in time, relative to the fastest engine at full speed.
    pub fn engine_speed(&self, engine: usize, at: Duration) -> f64 {
        let slow = self
            .slow_engine
            .filter(|slow| slow.engine == engine && slow.period.0 <= at && at < slow.period.1);
        ENGINE_SPEEDS[engine] * slow.map_or(1.0, |slow| slow.speed_factor)
    }
}

/// Generates the requests of a run, ordered by arrival time.
pub fn generate(shape: &LoadShape, seed: u64) -> Vec<SimRequest> {
    let mut rng = SeededRng::new(seed, 1);
    let capacity: f64 = ENGINE_SPEEDS.iter().sum();
    let rate_at_capacity = capacity / mean_work_s(shape, seed);
    let mut requests = Vec::new();
    let mut at = Duration::ZERO;
    loop {
        // A change of the rate takes effect at the next arrival; gaps between arrivals are far shorter than bursts.
        let rate_per_s = rate_at_capacity * shape.relative_load(at);
        at += Duration::from_secs_f64(rng.exponential_s(rate_per_s));
        if at >= shape.duration {
            return requests;
        }
        let index = requests.len();
        requests.push(generate_request(shape, &mut rng, at, index));
    }
}

/// Returns the mean work of a request in seconds of an engine of speed 1.
fn mean_work_s(shape: &LoadShape, seed: u64) -> f64 {
    const SAMPLES: usize = 20_000;
    let mut rng = SeededRng::new(seed, 2);
    let model = EngineModel::default();
    let requests =
        (0..SAMPLES).map(|index| generate_request(shape, &mut rng, Duration::ZERO, index));
    requests.map(|request| model.least_work_s(&request)).sum::<f64>() / SAMPLES as f64
}

fn generate_request(
    shape: &LoadShape,
    rng: &mut SeededRng,
    at: Duration,
    index: usize,
) -> SimRequest {
    let kinds = shape.deployment.kinds();
    let kind_index = rng.weighted_index(kinds.iter().map(|kind| kind.share));
    let kind: &RequestKind = &kinds[kind_index];
    let organisations = shape.deployment.organisations();
    let organisation = rng.weighted_index(organisations.iter().map(|(_, share)| *share));
    let read_tokens = rng.log_uniform(kind.read_tokens.0, kind.read_tokens.1) as u32;
    let write_tokens = rng.log_uniform(kind.write_tokens.0, kind.write_tokens.1) as u32;
    let deadline = Duration::from_secs_f64(kind.deadline_s);
    let disconnects = rng.unit() < shape.disconnect_ratio;
    let disconnects_after = disconnects.then(|| deadline.mul_f64(rng.unit()));
    let patience = shape
        .max_patience_ratio
        .map(|longest| deadline.mul_f64(longest * (0.5 + rng.unit() / 2.0)));
    let blocks = generate_shared_blocks(shape, rng, (organisation, kind_index), read_tokens);
    SimRequest {
        request_id: index as u128 + 1,
        at,
        node: rng.index(NODES),
        tier: kind.tier,
        organisation: organisations[organisation].0.to_string(),
        read_tokens,
        write_tokens,
        deadline,
        disconnects_after,
        patience,
        blocks,
    }
}

/// Generates the block hashes of the shared prefix of a prompt, which represents a form or price list of an
/// organisation. The frequency of a form is inversely proportional to its rank.
fn generate_shared_blocks(
    shape: &LoadShape,
    rng: &mut SeededRng,
    (organisation, kind): (usize, usize),
    read_tokens: u32,
) -> SmallVec<[u64; 8]> {
    let form =
        rng.weighted_index((1..=shape.prefixes_per_organisation).map(|rank| 1.0 / rank as f64));
    // At most two thirds of a prompt are shared; the rest is the caller's own text.
    let count = (read_tokens as usize * 2 / 3 / BLOCK_TOKENS as usize).min(MAX_SHARED_BLOCKS);
    let block = |index: usize| {
        let parts = [organisation, kind, form, index].map(|part| (part as u64).to_le_bytes());
        stable_hash(&[&parts[0], &parts[1], &parts[2], &parts[3]])
    };
    (0..count).map(block).collect()
}
