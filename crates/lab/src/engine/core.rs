//! The engine's batch: which requests run, and what an iteration does.

use crate::engine::block_cache::BlockCache;
use crate::engine::parameters::EngineParameters;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;
use topazmount_routing::LoadReport;
use topazmount_types::{ModelId, Priority, Time, WeightsVersion};

/// Number of a job, chosen by whoever submits it.
pub type JobId = u64;

/// A request as the engine sees it.
#[derive(Clone, Debug)]
pub struct Job {
    /// Number.
    pub id: JobId,
    /// Urgency.
    pub priority: Priority,
    /// Model.
    pub model: ModelId,
    /// Weights that must serve it.
    pub weights: WeightsVersion,
    /// Hashes of the prompt's whole blocks.
    pub blocks: Arc<[u64]>,
    /// Prompt length in tokens.
    pub prompt_tokens: u32,
    /// Position of the first token to generate; tokens before it belong to the prompt then.
    pub resume_at: u32,
    /// Position after the last token to generate.
    pub end_at: u32,
}

/// Why a job was not taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EngineRefusal {
    /// Too much waits.
    Busy,
    /// It finishes what it has and takes nothing new.
    Leaving,
    /// It has other weights or lacks the model.
    OtherWeights,
}

/// What an iteration brought.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EngineEvent {
    /// A token was generated.
    Token {
        /// Job.
        job: JobId,
        /// Its position in the answer.
        position: u32,
        /// Prompt tokens that were found in cache.
        cached_tokens: u32,
    },
    /// The last token was generated.
    Finished {
        /// Job.
        job: JobId,
        /// Prompt tokens that were found in cache.
        cached_tokens: u32,
    },
}

#[derive(Debug)]
struct Running {
    job: Job,
    arrival: u64,
    /// Prompt tokens computed or found.
    computed: u32,
    /// Of those, found.
    cached: u32,
    /// Leading blocks pinned.
    pinned: usize,
    /// Next position to generate.
    position: u32,
}

impl Running {
    /// Tokens before the first one to generate.
    fn prefill_target(&self) -> u32 {
        self.job.prompt_tokens + self.job.resume_at
    }

    fn prefill_left(&self) -> u32 {
        self.prefill_target().saturating_sub(self.computed)
    }
}

/// Work of the iteration under way.
#[derive(Debug, Default)]
struct Iteration {
    ends_at: Option<Time>,
    /// Prompt tokens for each job that computes some.
    prefill: Vec<(JobId, u32)>,
}

/// One engine.
#[derive(Debug)]
pub struct EngineCore {
    parameters: EngineParameters,
    weights: BTreeMap<ModelId, WeightsVersion>,
    cache: BlockCache,
    running: Vec<Running>,
    waiting: BTreeMap<(Priority, u64), Running>,
    iteration: Iteration,
    is_leaving: bool,
    next_arrival: u64,
    reported: LoadReport,
    reported_at: Time,
    /// Prompt tokens computed since the start.
    computed_tokens: u64,
    /// Prompt tokens computed for jobs that were then cancelled.
    cancelled_tokens: u64,
}

impl EngineCore {
    /// An engine with an empty cache.
    pub fn new(parameters: EngineParameters, weights: BTreeMap<ModelId, WeightsVersion>) -> Self {
        EngineCore {
            cache: BlockCache::new(parameters.memory_blocks),
            parameters,
            weights,
            running: Vec::new(),
            waiting: BTreeMap::new(),
            iteration: Iteration::default(),
            is_leaving: false,
            next_arrival: 0,
            reported: LoadReport::default(),
            reported_at: Time::ZERO,
            computed_tokens: 0,
            cancelled_tokens: 0,
        }
    }

    /// The cache.
    pub fn cache(&self) -> &BlockCache {
        &self.cache
    }

    /// Prompt tokens computed, and of those, for jobs cancelled later.
    pub fn computed_tokens(&self) -> (u64, u64) {
        (self.computed_tokens, self.cancelled_tokens)
    }

    /// Makes the engine finish what it has and take nothing new.
    pub fn leave(&mut self) {
        self.is_leaving = true;
    }

    /// Puts a weights version in place; cached blocks of the old one no longer match any request.
    pub fn set_weights(&mut self, model: ModelId, weights: WeightsVersion) {
        self.weights.insert(model, weights);
    }

    /// Requests in the engine.
    pub fn open_jobs(&self) -> usize {
        self.running.len() + self.waiting.len()
    }

    /// Load as it is now.
    pub fn load(&self) -> LoadReport {
        let running = self.running.iter();
        let all = running.chain(self.waiting.values());
        LoadReport {
            running: self.running.len() as u32,
            waiting: self.waiting.len() as u32,
            waiting_tokens: all.map(|running| self.uncomputed(running)).sum(),
        }
    }

    /// Prompt tokens that a job would still compute.
    fn uncomputed(&self, running: &Running) -> u32 {
        if running.computed > 0 {
            return running.prefill_left();
        }
        let found = self.cache.prefix_length(&running.job.blocks) as u32;
        running.prefill_target().saturating_sub(found * self.parameters.block_tokens)
    }

    /// Load as it is reported: some time old.
    pub fn reported_load(&mut self, now: Time) -> LoadReport {
        if now >= self.reported_at + self.parameters.load_lag || self.reported_at == Time::ZERO {
            self.reported = self.load();
            self.reported_at = now;
        }
        self.reported
    }

    /// Takes a job.
    ///
    /// # Errors
    /// Why it was not taken; nothing of it runs then.
    pub fn submit(&mut self, now: Time, job: Job) -> Result<(), EngineRefusal> {
        if self.is_leaving {
            return Err(EngineRefusal::Leaving);
        }
        if self.weights.get(&job.model) != Some(&job.weights) {
            return Err(EngineRefusal::OtherWeights);
        }
        if self.waiting.len() >= self.parameters.max_waiting {
            return Err(EngineRefusal::Busy);
        }
        self.next_arrival += 1;
        let position = job.resume_at;
        let arrival = self.next_arrival;
        let key = (job.priority, arrival);
        let entry = Running { job, arrival, computed: 0, cached: 0, pinned: 0, position };
        self.waiting.insert(key, entry);
        self.start_iteration(now);
        Ok(())
    }

    /// Stops a job.
    pub fn cancel(&mut self, id: JobId) {
        if let Some(index) = self.running.iter().position(|running| running.job.id == id) {
            let running = self.running.remove(index);
            self.cancelled_tokens += u64::from(running.computed - running.cached);
            self.release(&running);
        }
        self.waiting.retain(|_, waiting| waiting.job.id != id);
    }

    /// When the iteration under way ends.
    pub fn next_wakeup(&self) -> Option<Time> {
        self.iteration.ends_at
    }

    /// Ends the iteration under way if its time has come, and starts the next one.
    pub fn advance(&mut self, now: Time, events: &mut Vec<EngineEvent>) {
        if self.iteration.ends_at.is_none_or(|ends_at| now < ends_at) {
            return;
        }
        self.iteration.ends_at = None;
        let prefill = std::mem::take(&mut self.iteration.prefill);
        self.generate(&prefill, events);
        for (id, tokens) in prefill {
            self.finish_prefill(id, tokens, events);
        }
        self.start_iteration(now);
    }

    /// One token for each answer whose prompt was complete when the iteration started.
    fn generate(&mut self, prefill: &[(JobId, u32)], events: &mut Vec<EngineEvent>) {
        let mut index = 0;
        while index < self.running.len() {
            let running = &mut self.running[index];
            let id = running.job.id;
            let was_complete = running.prefill_left() == 0 && running.computed > 0;
            if !was_complete || prefill.iter().any(|(job, _)| *job == id) {
                index += 1;
                continue;
            }
            if !self.emit(index, events) {
                index += 1;
            }
        }
    }

    /// Emits the next token of a running answer; returns whether that ended and removed it.
    fn emit(&mut self, index: usize, events: &mut Vec<EngineEvent>) -> bool {
        let running = &mut self.running[index];
        let (job, cached_tokens) = (running.job.id, running.cached);
        if running.position < running.job.end_at {
            events.push(EngineEvent::Token { job, position: running.position, cached_tokens });
            running.position += 1;
        }
        if running.position < running.job.end_at {
            return false;
        }
        events.push(EngineEvent::Finished { job, cached_tokens });
        let running = self.running.remove(index);
        self.release(&running);
        true
    }

    fn finish_prefill(&mut self, id: JobId, tokens: u32, events: &mut Vec<EngineEvent>) {
        let Some(index) = self.running.iter().position(|running| running.job.id == id) else {
            return;
        };
        self.computed_tokens += u64::from(tokens);
        let block_tokens = self.parameters.block_tokens;
        let running = &mut self.running[index];
        running.computed += tokens;
        let whole = (running.computed / block_tokens) as usize;
        for block in &running.job.blocks[running.pinned..whole.min(running.job.blocks.len())] {
            // With all memory pinned the block is computed but not kept.
            if !self.cache.pin(*block) {
                break;
            }
            running.pinned += 1;
        }
        if running.prefill_left() == 0 {
            self.emit(index, events);
        }
    }

    fn release(&mut self, running: &Running) {
        for block in running.job.blocks[..running.pinned].iter().rev() {
            self.cache.unpin(*block);
        }
    }

    fn start_iteration(&mut self, now: Time) {
        if self.iteration.ends_at.is_some() {
            return;
        }
        self.admit();
        if self.running.is_empty() {
            return;
        }
        let mut budget = self.parameters.iteration_tokens;
        let mut order: Vec<usize> = (0..self.running.len()).collect();
        order.sort_by_key(|index| {
            let running = &self.running[*index];
            (running.job.priority, running.arrival)
        });
        for index in order {
            budget -= self.plan_prefill(index, budget);
        }
        self.iteration.ends_at = Some(now + self.iteration_time());
    }

    /// Plans a job's share of the iteration's prompt tokens; returns the tokens planned.
    fn plan_prefill(&mut self, index: usize, budget: u32) -> u32 {
        let block_tokens = self.parameters.block_tokens;
        let running = &mut self.running[index];
        if running.prefill_left() == 0 && running.computed > 0 {
            return 0;
        }
        // Blocks that another job computed in the meantime are shared.
        let at_boundary = running.computed == running.pinned as u32 * block_tokens;
        while at_boundary && running.pinned < running.job.blocks.len() {
            let block = running.job.blocks[running.pinned];
            if self.cache.prefix_length(&[block]) == 0 || !self.cache.pin(block) {
                break;
            }
            running.pinned += 1;
            running.computed += block_tokens;
            running.cached += block_tokens;
        }
        // The last token is computed anew in any case, to have something to generate from.
        let tokens = running.prefill_left().max(1).min(budget);
        let is_whole_prompt_cached = running.prefill_left() == 0;
        if is_whole_prompt_cached && tokens > 0 {
            running.computed -= 1;
            running.cached -= 1;
        }
        if tokens > 0 {
            self.iteration.prefill.push((running.job.id, tokens));
        }
        tokens
    }

    fn iteration_time(&self) -> Duration {
        let prefill: u32 = self.iteration.prefill.iter().map(|(_, tokens)| tokens).sum();
        let is_decoding = |running: &&Running| running.prefill_left() == 0;
        let decoding = self.running.iter().filter(is_decoding);
        let (mut sequences, mut context) = (0u32, 0u32);
        for running in decoding {
            sequences += 1;
            context += running.job.prompt_tokens + running.position;
        }
        let parameters = &self.parameters;
        parameters.iteration_base
            + parameters.prefill_token * prefill
            + parameters.decode_sequence * sequences
            + parameters.decode_context * (context / 1_000)
    }

    /// Moves waiting jobs into the batch, most urgent first; a full batch gives up its least
    /// urgent job for a more urgent one.
    fn admit(&mut self) {
        while let Some((key, _)) = self.waiting.first_key_value() {
            let key = *key;
            let is_full = self.running.len() >= self.parameters.max_running;
            if is_full && !self.preempt(key.0) {
                return;
            }
            if let Some(job) = self.waiting.remove(&key) {
                self.running.push(job);
            }
        }
    }

    fn preempt(&mut self, priority: Priority) -> bool {
        let last = self
            .running
            .iter()
            .enumerate()
            .max_by_key(|(_, running)| (running.job.priority, running.arrival));
        let Some((index, _)) = last.filter(|(_, running)| running.job.priority > priority) else {
            return false;
        };
        let mut running = self.running.remove(index);
        self.release(&running);
        // What it generated becomes part of its prompt.
        running.job.resume_at = running.position;
        running.computed = 0;
        running.cached = 0;
        running.pinned = 0;
        self.waiting.insert((running.job.priority, running.arrival), running);
        true
    }
}
