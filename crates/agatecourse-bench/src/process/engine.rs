use super::engine_model::EngineModel;
use super::prefix_cache::PrefixCache;
use crate::request::{BLOCK_TOKENS, SimRequest};
use smallvec::SmallVec;
use std::collections::VecDeque;
use std::time::Duration;

/// Event that an engine reports at the end of a batch step.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EngineEvent {
    /// The request with this index wrote its first token.
    FirstToken(usize),
    /// The request with this index wrote its last token.
    Finished(usize),
}

/// Request that waits or runs on an engine.
#[derive(Debug, Clone)]
pub struct EngineJob {
    /// Index of the request in the load.
    pub index: usize,
    /// Prompt tokens that were found in the prefix cache.
    pub cached_tokens: u32,
    /// Prompt tokens read so far, without the cached ones.
    pub prefilled_tokens: u32,
    /// Tokens written so far.
    pub written_tokens: u32,
    read_tokens: u32,
    write_tokens: u32,
    blocks: SmallVec<[u64; 8]>,
    /// Prompt tokens that the current batch step reads.
    step_read_tokens: u32,
}

impl EngineJob {
    /// Creates a job that has not started.
    pub fn new(index: usize, request: &SimRequest) -> Self {
        Self {
            index,
            cached_tokens: 0,
            prefilled_tokens: 0,
            written_tokens: 0,
            read_tokens: request.read_tokens,
            write_tokens: request.write_tokens,
            blocks: request.blocks.clone(),
            step_read_tokens: 0,
        }
    }

    fn unread_tokens(&self) -> u32 {
        self.read_tokens - self.cached_tokens - self.prefilled_tokens
    }
}

/// Simulated engine with continuous batching, first-come-first-served admission and a prefix cache.
#[derive(Debug, Clone)]
pub struct Engine {
    model: EngineModel,
    waiting: VecDeque<EngineJob>,
    batch: Vec<EngineJob>,
    cache: PrefixCache,
    is_step_running: bool,
    /// Sum of the token gaps since the last report.
    gap_sum: Duration,
    gap_count: u32,
}

impl Engine {
    /// Creates an idle engine.
    pub fn new(model: EngineModel) -> Self {
        Self {
            waiting: VecDeque::new(),
            batch: Vec::new(),
            cache: PrefixCache::new(u64::from(model.cache_tokens)),
            is_step_running: false,
            gap_sum: Duration::ZERO,
            gap_count: 0,
            model,
        }
    }

    /// Appends a request to the queue.
    pub fn enqueue(&mut self, index: usize, request: &SimRequest) {
        self.waiting.push_back(EngineJob::new(index, request));
    }

    /// Removes a request from the queue or the batch and returns it, or `None` when it has already ended.
    pub fn cancel(&mut self, index: usize) -> Option<EngineJob> {
        if let Some(at) = self.waiting.iter().position(|job| job.index == index) {
            return self.waiting.remove(at);
        }
        let at = self.batch.iter().position(|job| job.index == index)?;
        Some(self.batch.remove(at))
    }

    /// Returns the numbers of running and waiting requests.
    pub fn load(&self) -> (u32, u32) {
        (self.batch.len() as u32, self.waiting.len() as u32)
    }

    /// Returns the mean time between tokens since the last call, or `None` when no token was written.
    pub fn take_token_gap(&mut self) -> Option<Duration> {
        let gap = (self.gap_count > 0).then(|| self.gap_sum / self.gap_count);
        (self.gap_sum, self.gap_count) = (Duration::ZERO, 0);
        gap
    }

    /// Returns the blocks evicted from the prefix cache since the last call.
    pub fn take_evicted(&mut self) -> Vec<u64> {
        self.cache.take_evicted()
    }

    /// Starts a batch step and returns its duration, or `None` when a step is running or there are no requests.
    pub fn start_step(&mut self, speed: f64) -> Option<Duration> {
        if self.is_step_running {
            return None;
        }
        self.admit_waiting();
        if self.batch.is_empty() {
            return None;
        }
        let mut budget = self.model.chunk_tokens;
        for job in &mut self.batch {
            job.step_read_tokens = job.unread_tokens().min(budget);
            budget -= job.step_read_tokens;
        }
        let writing =
            self.batch.iter().filter(|job| job.unread_tokens() == job.step_read_tokens).count();
        let time_s = self.model.step_time_s(writing, self.model.chunk_tokens - budget) / speed;
        self.is_step_running = true;
        let time = Duration::from_secs_f64(time_s);
        if writing > 0 {
            self.gap_sum += time;
            self.gap_count += 1;
        }
        Some(time)
    }

    /// Ends the batch step, returns the completed jobs and appends the events of the step.
    pub fn end_step(&mut self, events: &mut Vec<EngineEvent>) -> Vec<EngineJob> {
        self.is_step_running = false;
        for job in &mut self.batch {
            let was_prompt_read = job.unread_tokens() == 0;
            job.prefilled_tokens += job.step_read_tokens;
            let is_prompt_read =
                job.unread_tokens() == 0 && (was_prompt_read || job.step_read_tokens > 0);
            job.step_read_tokens = 0;
            if !is_prompt_read {
                continue;
            }
            if job.written_tokens == 0 {
                let own_tokens =
                    job.read_tokens - job.read_tokens.min(count_block_tokens(&job.blocks));
                // The unshared part of the prompt and the output use cache capacity too; no other request reuses them.
                self.cache.insert(u64::MAX - job.index as u64, own_tokens + job.write_tokens);
                for block in job.blocks.iter().rev() {
                    self.cache.insert(*block, BLOCK_TOKENS);
                }
                events.push(EngineEvent::FirstToken(job.index));
            }
            job.written_tokens += 1;
        }
        let (ended, batch) =
            std::mem::take(&mut self.batch).into_iter().partition(Self::is_completed);
        self.batch = batch;
        let ended: Vec<EngineJob> = ended;
        events.extend(ended.iter().map(|job| EngineEvent::Finished(job.index)));
        ended
    }

    fn is_completed(job: &EngineJob) -> bool {
        job.written_tokens >= job.write_tokens
    }

    fn admit_waiting(&mut self) {
        while self.batch.len() < self.model.max_batch_requests
            && let Some(mut job) = self.waiting.pop_front()
        {
            let blocks = self.cache.match_blocks(&job.blocks) as u32;
            // The last prompt token is always read, because the first output token depends on it.
            job.cached_tokens = (blocks * BLOCK_TOKENS).min(job.read_tokens - 1);
            self.batch.push(job);
        }
    }
}

fn count_block_tokens(blocks: &[u64]) -> u32 {
    BLOCK_TOKENS * blocks.len() as u32
}
