use crate::Standin;
use crate::process::{FaultControl, lock};
use crate::request::engine_endpoints::engine_endpoints;
use crate::request::engine_state::EngineState;
use actix_web::web;
use agatecourse_types::VersionId;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tokio::sync::Notify;

/// Largest delay of a batch step that is caught up; otherwise a paused process would emit a burst of tokens.
const MAX_STEP_LAG: Duration = Duration::from_millis(50);

/// Time after which an idle engine records its load.
const IDLE_REPORT_INTERVAL: Duration = Duration::from_millis(100);

/// Settings of the engine stand-in.
///
/// ```
/// use agatecourse_standin::{EngineSettings, Standin};
/// use std::time::Duration;
///
/// let engine = EngineSettings::new("engine-1")
///     .with_read_tokens_per_s(4_000)
///     .with_token_time(Duration::from_millis(10))
///     .start(Standin::EPHEMERAL)?;
/// assert_eq!(engine.total_runs(), 0);
/// # Ok::<(), std::io::Error>(())
/// ```
#[derive(Debug, Clone, PartialEq)]
pub struct EngineSettings {
    pub(crate) name: String,
    pub(crate) model: String,
    pub(crate) version: VersionId,
    pub(crate) read_tokens_per_s: u32,
    pub(crate) token_time: Duration,
    pub(crate) batch_slowdown: f64,
    pub(crate) batch_limit: usize,
    pub(crate) queue_limit: usize,
    pub(crate) cache_blocks: usize,
    pub(crate) block_tokens: usize,
    pub(crate) report_lag: Duration,
    pub(crate) cache_event_lag: Duration,
    pub(crate) cache_event_gap_every: u64,
    pub(crate) checks_fencing: bool,
    pub(crate) version_limit: usize,
    pub(crate) load_time: Duration,
    pub(crate) weight_store: Option<SocketAddr>,
    pub(crate) retention: Duration,
}

impl EngineSettings {
    /// Creates settings with version `v1`, 8,000 prompt tokens per second, 20 ms per generated token (5% more for
    /// each additional request in the batch), batches of 16, and 4,096 cache blocks of 64 tokens.
    pub fn new(name: impl Into<String>) -> Self {
        Self {
            name: name.into(),
            model: "model".to_string(),
            version: "v1".to_string(),
            read_tokens_per_s: 8_000,
            token_time: Duration::from_millis(20),
            batch_slowdown: 0.05,
            batch_limit: 16,
            queue_limit: 1_024,
            cache_blocks: 4_096,
            block_tokens: 64,
            report_lag: Duration::from_secs(1),
            cache_event_lag: Duration::from_millis(500),
            cache_event_gap_every: 50,
            checks_fencing: false,
            version_limit: 2,
            load_time: Duration::from_secs(2),
            weight_store: None,
            retention: Duration::from_mins(1),
        }
    }

    /// Sets the model name under which the weight store lists the engine's versions.
    #[must_use]
    pub fn with_model(mut self, model: impl Into<String>) -> Self {
        self.model = model.into();
        self
    }

    /// Sets the version that is loaded when the engine starts.
    #[must_use]
    pub fn with_version(mut self, version: impl Into<VersionId>) -> Self {
        self.version = version.into();
        self
    }

    /// Sets the prompt tokens processed per second; at least 1.
    #[must_use]
    pub fn with_read_tokens_per_s(mut self, read_tokens_per_s: u32) -> Self {
        self.read_tokens_per_s = read_tokens_per_s.max(1);
        self
    }

    /// Sets the time per generated token of a request that runs alone; at least 100 us.
    #[must_use]
    pub fn with_token_time(mut self, token_time: Duration) -> Self {
        self.token_time = token_time.max(Duration::from_micros(100));
        self
    }

    /// Sets the relative increase of the time per token for each additional request in the batch; at least 0.
    #[must_use]
    pub fn with_batch_slowdown(mut self, batch_slowdown: f64) -> Self {
        self.batch_slowdown = batch_slowdown.max(0.0);
        self
    }

    /// Sets the largest number of requests in a batch; at least 1.
    #[must_use]
    pub fn with_batch_limit(mut self, batch_limit: usize) -> Self {
        self.batch_limit = batch_limit.max(1);
        self
    }

    /// Sets the largest number of queued requests; further ones are refused with status 429.
    #[must_use]
    pub fn with_queue_limit(mut self, queue_limit: usize) -> Self {
        self.queue_limit = queue_limit;
        self
    }

    /// Sets the capacity of the prefix cache in blocks.
    #[must_use]
    pub fn with_cache_blocks(mut self, cache_blocks: usize) -> Self {
        self.cache_blocks = cache_blocks;
        self
    }

    /// Sets the number of tokens in a block; at least 1.
    #[must_use]
    pub fn with_block_tokens(mut self, block_tokens: usize) -> Self {
        self.block_tokens = block_tokens.max(1);
        self
    }

    /// Sets the time after which a load report becomes visible.
    #[must_use]
    pub fn with_report_lag(mut self, report_lag: Duration) -> Self {
        self.report_lag = report_lag;
        self
    }

    /// Sets the time after which a cache event becomes visible.
    #[must_use]
    pub fn with_cache_event_lag(mut self, cache_event_lag: Duration) -> Self {
        self.cache_event_lag = cache_event_lag;
        self
    }

    /// Drops every cache event whose sequence number is a multiple of `gap_every`; 0 drops none.
    #[must_use]
    pub fn with_cache_event_gap_every(mut self, gap_every: u64) -> Self {
        self.cache_event_gap_every = gap_every;
        self
    }

    /// Makes the engine refuse orders with a fencing number lower than one seen before.
    #[must_use]
    pub fn with_fencing_check(mut self) -> Self {
        self.checks_fencing = true;
        self
    }

    /// Sets the number of versions that fit into memory; at least 1.
    #[must_use]
    pub fn with_version_limit(mut self, version_limit: usize) -> Self {
        self.version_limit = version_limit.max(1);
        self
    }

    /// Sets the time that loading a version takes in addition to reading its weights.
    #[must_use]
    pub fn with_load_time(mut self, load_time: Duration) -> Self {
        self.load_time = load_time;
        self
    }

    /// Sets the address of the weight store, whose rate determines how long reading the weights takes.
    #[must_use]
    pub fn with_weight_store(mut self, address: SocketAddr) -> Self {
        self.weight_store = Some(address);
        self
    }

    /// Sets the time for which the answers of ended requests can be read again.
    #[must_use]
    pub fn with_retention(mut self, retention: Duration) -> Self {
        self.retention = retention;
        self
    }

    /// Starts the stand-in.
    ///
    /// # Errors
    ///
    /// Returns an error when the address can't be bound or the server thread can't be started.
    pub fn start(self, address: SocketAddr) -> io::Result<Standin> {
        let supported = &["crash_marker", "slow_factor", "leaving", "versions"];
        let control = Arc::new(FaultControl::new(supported));
        let state = Arc::new(Mutex::new(EngineState::new(self, Instant::now())));
        let work_arrived = Arc::new(Notify::new());
        let background =
            run_steps(Arc::clone(&state), Arc::clone(&control), Arc::clone(&work_arrived));
        let (state, work_arrived) = (web::Data::from(state), web::Data::from(work_arrived));
        let configure = move |config: &mut web::ServiceConfig| {
            config
                .app_data(state.clone())
                .app_data(work_arrived.clone())
                .configure(engine_endpoints);
        };
        Standin::start(address, control, configure, background)
    }
}

/// Runs batch steps in a loop, and waits for requests while the batch is empty.
async fn run_steps(
    state: Arc<Mutex<EngineState>>,
    control: Arc<FaultControl>,
    work_arrived: Arc<Notify>,
) {
    let mut step_start = Instant::now();
    loop {
        let now = Instant::now();
        // Timers round up to milliseconds; starting at the planned end of the last step keeps the mean rate exact.
        if now.saturating_duration_since(step_start) > MAX_STEP_LAG {
            step_start = now;
        }
        let faults = control.faults();
        let step = lock(&state).begin_step(&faults, now);
        let Some(step) = step else {
            // On a timeout the loop only records the load.
            let _ = tokio::time::timeout(IDLE_REPORT_INTERVAL, work_arrived.notified()).await;
            step_start = Instant::now();
            continue;
        };
        step_start += step;
        actix_rt::time::sleep_until(step_start.into()).await;
        lock(&state).end_step(&faults, Instant::now());
    }
}
