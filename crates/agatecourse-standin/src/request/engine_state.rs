use crate::EngineSettings;
use crate::process::{CacheEvents, Faults, LoadReport, LoadReports, VersionFault};
use crate::request::answer_text::answer_seed;
use crate::request::chat_request::{ChatRequest, count_tokens, prompt_block_hashes};
use crate::request::engine_run::{EngineRun, RunInfo, RunProgress};
use crate::request::prefix_cache::PrefixCache;
use crate::version::VersionTable;
use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};
use tokio::sync::watch;

/// Largest number of prompt tokens per batch step, so that long prompts do not stall the decoding of other requests.
const PREFILL_CHUNK_TOKENS: usize = 512;

/// Answer length in tokens when the request has no `max_tokens`.
const DEFAULT_ANSWER_TOKENS: usize = 64;

/// Largest number of ended runs kept for readers; the oldest are dropped first.
const ENDED_LIMIT: usize = 10_000;

/// Identifies a run; one request id may run several times.
type RunNumber = u64;

/// Batch, queue, prefix cache and versions of an engine.
pub(crate) struct EngineState {
    pub(crate) settings: EngineSettings,
    pub(crate) versions: VersionTable,
    pub(crate) cache: PrefixCache,
    pub(crate) cache_events: CacheEvents,
    pub(crate) reports: LoadReports,
    runs: BTreeMap<RunNumber, EngineRun>,
    /// Latest run of each request id.
    latest_runs: BTreeMap<String, RunNumber>,
    waiting: VecDeque<RunNumber>,
    batch: Vec<RunNumber>,
    ended_runs: VecDeque<(Instant, RunNumber)>,
    last_number: RunNumber,
    /// Number of requests that each version has started.
    started_by_version: BTreeMap<String, u64>,
    /// Prompt tokens that the current step processes for each run.
    prefill_chunks: BTreeMap<RunNumber, usize>,
}

/// Reason why a request was refused before it ran.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum SubmitRefusal {
    QueueFull,
    VersionNotLoaded,
    VersionFails,
}

impl EngineState {
    /// Creates the state of an idle engine with one loaded version.
    pub(crate) fn new(settings: EngineSettings, now: Instant) -> Self {
        let mut state = Self {
            versions: VersionTable::new(
                settings.version.clone(),
                settings.version_limit,
                settings.checks_fencing,
            ),
            cache: PrefixCache::new(settings.cache_blocks),
            cache_events: CacheEvents::new(
                settings.cache_event_lag,
                settings.cache_event_gap_every,
            ),
            reports: LoadReports::new(settings.report_lag),
            settings,
            runs: BTreeMap::new(),
            latest_runs: BTreeMap::new(),
            waiting: VecDeque::new(),
            batch: Vec::new(),
            ended_runs: VecDeque::new(),
            last_number: 0,
            started_by_version: BTreeMap::new(),
            prefill_chunks: BTreeMap::new(),
        };
        state.record_load(&Faults::default(), now);
        state
    }

    /// Appends a request to the queue and returns its run with a receiver of the run's progress.
    pub(crate) fn submit(
        &mut self,
        request_id: &str,
        version: &str,
        request: &ChatRequest,
        faults: &Faults,
    ) -> Result<(RunInfo, watch::Receiver<RunProgress>), SubmitRefusal> {
        let version =
            self.versions.version_for_request(version).ok_or(SubmitRefusal::VersionNotLoaded)?;
        // Requests enter the batch only when a step begins, so free places in the batch count as queue places.
        let places = self.settings.batch_limit.saturating_add(self.settings.queue_limit);
        if self.batch.len() + self.waiting.len() >= places {
            return Err(SubmitRefusal::QueueFull);
        }
        let fault = self.active_fault(faults, &version, &request.model);
        *self.started_by_version.entry(version.clone()).or_default() += 1;
        if fault.is_some_and(|fault| fault.fails) {
            return Err(SubmitRefusal::VersionFails);
        }
        let prompt = request.prompt();
        let info = RunInfo {
            request_id: request_id.to_string(),
            model: request.model.clone(),
            version,
            answer_seed: answer_seed(&prompt),
            prompt_tokens: count_tokens(&prompt),
        };
        let (progress, reader) = watch::channel(RunProgress::default());
        let run = EngineRun {
            blocks: prompt_block_hashes(&prompt, self.settings.block_tokens),
            answer_tokens: request.max_tokens.unwrap_or(DEFAULT_ANSWER_TOKENS).max(1),
            prefill_left: info.prompt_tokens,
            token_share: 0.0,
            progress,
            info: info.clone(),
        };
        self.last_number += 1;
        self.runs.insert(self.last_number, run);
        self.latest_runs.insert(request_id.to_string(), self.last_number);
        self.waiting.push_back(self.last_number);
        Ok((info, reader))
    }

    /// Returns the latest run of a request with a receiver of the run's progress.
    pub(crate) fn subscribe(
        &self,
        request_id: &str,
    ) -> Option<(RunInfo, watch::Receiver<RunProgress>)> {
        let run = self.runs.get(self.latest_runs.get(request_id)?)?;
        Some((run.info.clone(), run.progress.subscribe()))
    }

    /// Cancels the latest run of a request and returns whether it was still running, or `None` for an unknown request.
    pub(crate) fn cancel(&mut self, request_id: &str, now: Instant) -> Option<bool> {
        let cancelled = self.runs.get(self.latest_runs.get(request_id)?)?.cancel();
        self.remove_ended_runs(now);
        Some(cancelled)
    }

    /// Fills the batch from the queue and returns the duration of the next step, or `None` when the batch is empty.
    pub(crate) fn begin_step(&mut self, faults: &Faults, now: Instant) -> Option<Duration> {
        self.record_load(faults, now);
        self.drop_expired_runs(now);
        while self.batch.len() < self.settings.batch_limit
            && let Some(number) = self.waiting.pop_front()
        {
            self.add_to_batch(number);
        }
        if self.batch.is_empty() {
            return None;
        }
        self.plan_prefill();
        let chunk_tokens: usize = self.prefill_chunks.values().sum();
        let decoding_runs = self.batch.len() - self.prefill_chunks.len();
        let prefill_s = chunk_tokens as f64 / f64::from(self.settings.read_tokens_per_s);
        let decode_s = if decoding_runs == 0 {
            0.0
        } else {
            let other_decoding_runs = (decoding_runs - 1) as f64;
            self.settings.token_time.as_secs_f64()
                * (1.0 + self.settings.batch_slowdown * other_decoding_runs)
        };
        Some(Duration::from_secs_f64((prefill_s + decode_s) * faults.slow_factor))
    }

    /// Applies the results of the current step.
    pub(crate) fn end_step(&mut self, faults: &Faults, now: Instant) {
        let prefill_chunks = std::mem::take(&mut self.prefill_chunks);
        let batch_size = self.batch.len();
        for number in self.batch.clone() {
            let Some(run) = self.runs.get_mut(&number) else { continue };
            let started = self.started_by_version.get(&run.info.version).copied().unwrap_or(0);
            let fault =
                find_active_fault(faults, &run.info.version, &run.info.model, started, batch_size);
            let speed = fault.map_or(1.0, |fault| 1.0 / fault.slow_factor);
            match prefill_chunks.get(&number) {
                Some(tokens) => {
                    let read = ((*tokens as f64 * speed).ceil() as usize).min(run.prefill_left);
                    run.prefill_left -= read;
                    run.token_share = 1.0;
                    if run.prefill_left > 0 {
                        continue;
                    }
                    let mut changes = Vec::new();
                    self.cache.store(&run.blocks, &mut changes);
                    self.cache_events.push(&changes, now);
                }
                None => run.token_share += speed,
            }
            while run.token_share >= 1.0 && !run.is_ended() {
                run.token_share -= 1.0;
                run.add_token(fault.and_then(|fault| fault.truncate_after_tokens));
            }
        }
        self.remove_ended_runs(now);
    }

    /// Returns the leading blocks of a request's prompt that are in the prefix cache.
    pub(crate) fn cached_blocks(&self, request_id: &str) -> Option<Vec<u64>> {
        let run = self.runs.get(self.latest_runs.get(request_id)?)?;
        let cached = run.blocks.iter().copied().take_while(|block| self.cache.contains(*block));
        Some(cached.collect())
    }

    /// Adds blocks that another engine exported to the prefix cache.
    pub(crate) fn import_blocks(&mut self, blocks: &[u64], now: Instant) {
        let mut changes = Vec::new();
        self.cache.store(blocks, &mut changes);
        self.cache_events.push(&changes, now);
    }

    fn add_to_batch(&mut self, number: RunNumber) {
        let Some(run) = self.runs.get_mut(&number) else { return };
        let cached = self.cache.use_cached_prefix(&run.blocks) * self.settings.block_tokens;
        // The last prompt token is always processed, because the first generated token is computed from it.
        let cached = cached.min(run.info.prompt_tokens - 1);
        run.prefill_left -= cached;
        run.progress.send_modify(|progress| progress.cached_tokens = cached);
        self.batch.push(number);
    }

    fn plan_prefill(&mut self) {
        let mut budget = PREFILL_CHUNK_TOKENS;
        self.prefill_chunks.clear();
        for number in &self.batch {
            let unprocessed = self.runs.get(number).map_or(0, |run| run.prefill_left);
            if unprocessed > 0 {
                let chunk = unprocessed.min(budget);
                budget -= chunk;
                self.prefill_chunks.insert(*number, chunk);
            }
        }
    }

    fn active_fault<'a>(
        &self,
        faults: &'a Faults,
        version: &str,
        model: &str,
    ) -> Option<&'a VersionFault> {
        let started = self.started_by_version.get(version).copied().unwrap_or(0);
        find_active_fault(
            faults,
            version,
            model,
            started,
            self.batch.len() + self.waiting.len() + 1,
        )
    }

    fn remove_ended_runs(&mut self, now: Instant) {
        let runs = &self.runs;
        let is_ended = |number: &RunNumber| runs.get(number).is_none_or(EngineRun::is_ended);
        let ended = self.batch.iter().chain(&self.waiting).filter(|number| is_ended(number));
        self.ended_runs.extend(ended.map(|number| (now, *number)));
        self.batch.retain(|number| !is_ended(number));
        self.waiting.retain(|number| !is_ended(number));
    }

    fn drop_expired_runs(&mut self, now: Instant) {
        let retention = self.settings.retention;
        while let Some((at, number)) = self.ended_runs.front().copied()
            && (now.saturating_duration_since(at) > retention
                || self.ended_runs.len() > ENDED_LIMIT)
        {
            self.ended_runs.pop_front();
            let Some(run) = self.runs.remove(&number) else { continue };
            if self.latest_runs.get(&run.info.request_id) == Some(&number) {
                self.latest_runs.remove(&run.info.request_id);
            }
        }
    }

    fn record_load(&mut self, faults: &Faults, now: Instant) {
        if !self.reports.is_due(now) {
            return;
        }
        let unprocessed =
            |number| self.runs.get(number).map_or(0, |run: &EngineRun| run.prefill_left);
        let report = LoadReport {
            running: self.batch.len(),
            waiting: self.waiting.len(),
            prefill_tokens: self.batch.iter().chain(&self.waiting).map(unprocessed).sum(),
            batch_limit: self.settings.batch_limit,
            cache_blocks: self.cache.len(),
            cache_limit_blocks: self.settings.cache_blocks,
            versions: self.versions.loaded_versions(),
            role: self.versions.role().to_string(),
            leaving: faults.leaving,
            age_ms: 0,
        };
        self.reports.push(report, now);
    }
}

fn find_active_fault<'a>(
    faults: &'a Faults,
    version: &str,
    model: &str,
    started: u64,
    batch_size: usize,
) -> Option<&'a VersionFault> {
    faults.versions.iter().find(|fault| {
        fault.version == version
            && started >= fault.after_requests
            && batch_size > fault.above_batch
            && fault.route.as_deref().is_none_or(|route| route == model)
    })
}
