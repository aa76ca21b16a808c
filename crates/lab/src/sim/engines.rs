//! Engines: the engine model behind simulated connections, and the judge of cache truth.

use crate::engine::{
    EngineCore, EngineEvent, EngineRefusal, Job, JobId, answer_length, token_text,
};
use crate::sim::checks::{Invariant, LEAVING_LIMIT};
use crate::sim::network::Transfer;
use crate::sim::packet::{Packet, Place};
use crate::sim::plant::Plant;
use crate::sim::world::{Event, World};
use std::collections::{BTreeMap, HashMap};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;
use topazmount_node::{AttemptFailure, Dispatch, FinishReason, NodeInput, RefusalCause};
use topazmount_settings::Engine;
use topazmount_types::{
    AttemptId, Digest, Incarnation, ModelId, ReplicaId, RequestId, TenantId, Time, Usage,
    WeightsVersion,
};

/// Pause between two signs of life to a request that waits.
const KEEP_ALIVE: Duration = Duration::from_millis(400);

/// Whom a block was computed for.
type Origin = (TenantId, ModelId, WeightsVersion);

/// A job's owner and what the judge knows of it.
struct Attempt {
    job: JobId,
    node: usize,
    node_run: u64,
    attempt: AttemptId,
    request: RequestId,
    prompt: Digest,
    prompt_tokens: u32,
    end_at: u32,
    ends_early: bool,
    origin: Origin,
    blocks: Arc<[u64]>,
    /// Prompt tokens that some live engine held when the request came here.
    held_somewhere: u32,
    has_token: bool,
}

/// An engine.
pub struct SimEngine {
    /// Which replica it is.
    pub replica: ReplicaId,
    /// The model, shared with the oracle.
    pub core: Arc<Mutex<EngineCore>>,
    weights: BTreeMap<ModelId, WeightsVersion>,
    timer_at: Time,
    attempts: HashMap<JobId, Attempt>,
    origins: HashMap<u64, Origin>,
    next_job: JobId,
    leaving_since: Option<Time>,
}

impl SimEngine {
    /// Prompt tokens computed by the newest run, and of those, for attempts thrown away.
    pub fn computed_tokens(&self) -> (u64, u64) {
        self.core().computed_tokens()
    }

    fn core(&self) -> MutexGuard<'_, EngineCore> {
        self.core.lock().expect("the simulator has one thread")
    }
}

fn failure_of(refusal: EngineRefusal) -> AttemptFailure {
    AttemptFailure::Refused(match refusal {
        EngineRefusal::Busy => RefusalCause::Busy,
        EngineRefusal::Leaving => RefusalCause::Leaving,
        EngineRefusal::OtherWeights => RefusalCause::OtherWeights,
    })
}

impl World {
    pub(crate) fn add_engine(&mut self, declared: &Engine) {
        let models = self.declarations.models.iter();
        let served = models.filter(|model| declared.models.contains(&model.id));
        let weights: BTreeMap<_, _> = served.map(|model| (model.id, model.weights)).collect();
        let number = self.engines.len();
        let core = self.new_core(&weights);
        self.engines.push(SimEngine {
            replica: declared.replica.id,
            core: Arc::new(Mutex::new(core)),
            weights,
            timer_at: Time::NEVER,
            attempts: HashMap::new(),
            origins: HashMap::new(),
            next_job: 0,
            leaving_since: None,
        });
        self.processes.start(Place::Engine(number));
    }

    fn new_core(&self, weights: &BTreeMap<ModelId, WeightsVersion>) -> EngineCore {
        let mut parameters = self.settings.engine.clone();
        parameters.block_tokens = self.declarations.block_tokens;
        EngineCore::new(parameters, weights.clone())
    }

    /// Ends an engine; `is_silent` when its machine is gone and no connection is closed.
    pub(crate) fn stop_engine(&mut self, number: usize, is_silent: bool) {
        let place = Place::Engine(number);
        if self.processes.run(place).is_none() {
            return;
        }
        self.trace(|| format!("engine {number} ends"));
        let attempts = std::mem::take(&mut self.engines[number].attempts);
        let mut attempts: Vec<Attempt> = attempts.into_values().collect();
        attempts.sort_unstable_by_key(|attempt| attempt.job);
        for attempt in attempts {
            if !is_silent {
                let failed = NodeInput::Failed(attempt.attempt, AttemptFailure::Lost);
                self.tell_node(number, attempt.node, attempt.node_run, failed);
            }
        }
        self.count_computed(number);
        let weights = self.engines[number].weights.clone();
        let empty = self.new_core(&weights);
        *self.engines[number].core() = empty;
        self.engines[number].origins.clear();
        self.engines[number].leaving_since = None;
        self.end_process(place, is_silent);
    }

    /// Starts an engine again, with an empty cache.
    pub(crate) fn start_engine(&mut self, number: usize) {
        if self.processes.run(Place::Engine(number)).is_none() {
            let run = self.processes.start(Place::Engine(number));
            self.engines[number].timer_at = Time::NEVER;
            self.trace(|| format!("engine {number} starts as run {run}"));
        }
    }

    /// Makes an engine leave: it finishes what it has.
    pub(crate) fn leave_engine(&mut self, number: usize) {
        self.engines[number].leaving_since = Some(self.now);
        if !self.is_planted(Plant::HiddenLeaving) {
            self.engines[number].core().leave();
        }
        self.trace(|| format!("engine {number} leaves"));
    }

    /// Adds what an engine computed so far to the sums.
    pub(crate) fn count_computed(&mut self, number: usize) {
        let (computed, cancelled) = self.engines[number].computed_tokens();
        self.totals.computed_tokens += computed;
        self.totals.discarded_tokens += cancelled;
    }

    fn tell_node(&mut self, engine: usize, node: usize, node_run: u64, input: NodeInput) {
        let packet = Packet::Input(Box::new(input));
        self.send_to_run(Place::Engine(engine), Place::Node(node), Some(node_run), packet);
    }

    pub(crate) fn engine_receives(&mut self, number: usize, transfer: Transfer) {
        let Place::Node(node) = transfer.from else { return };
        match transfer.packet {
            Packet::Submit(dispatch) => self.submit(number, node, transfer.from_run, *dispatch),
            Packet::Cancel(attempt) => {
                let engine = &mut self.engines[number];
                let found = engine.attempts.iter().find(|(_, known)| {
                    (known.node, known.node_run, known.attempt)
                        == (node, transfer.from_run, attempt)
                });
                if let Some(job) = found.map(|(job, _)| *job) {
                    engine.attempts.remove(&job);
                    engine.core().cancel(job);
                }
            }
            _ => {}
        }
    }

    fn submit(&mut self, number: usize, node: usize, node_run: u64, dispatch: Dispatch) {
        self.totals.attempts += 1;
        let chat = dispatch.chat.clone();
        let prompt = self.callers.prompt_of(dispatch.request);
        let length = answer_length(prompt);
        let held_somewhere = self.longest_held(&chat.blocks);
        let engine = &mut self.engines[number];
        engine.next_job += 1;
        let job = Job {
            id: engine.next_job,
            priority: chat.priority,
            model: chat.model,
            weights: chat.weights,
            blocks: chat.blocks.clone(),
            prompt_tokens: chat.prompt_tokens,
            resume_at: dispatch.resume.as_ref().map_or(0, |resume| resume.position),
            end_at: length.min(chat.max_tokens),
        };
        let attempt = Attempt {
            job: job.id,
            node,
            node_run,
            attempt: dispatch.attempt,
            request: dispatch.request,
            prompt,
            prompt_tokens: chat.prompt_tokens,
            end_at: job.end_at,
            ends_early: length <= chat.max_tokens,
            origin: (chat.tenant, chat.model, chat.weights),
            blocks: chat.blocks.clone(),
            held_somewhere,
            has_token: false,
        };
        let outcome = engine.core().submit(self.now, job);
        let input = match outcome {
            Err(refusal) => NodeInput::Failed(dispatch.attempt, failure_of(refusal)),
            Ok(()) => {
                self.note_accepted(number, attempt);
                let run = self.processes.run(Place::Engine(number)).unwrap_or_default();
                let load = Some(self.engines[number].core().reported_load(self.now));
                let incarnation = Incarnation(run);
                NodeInput::Accepted { attempt: dispatch.attempt, incarnation, load }
            }
        };
        self.tell_node(number, node, node_run, input);
        self.schedule_engine(number);
    }

    fn note_accepted(&mut self, number: usize, attempt: Attempt) {
        let now = self.now;
        self.callers.note_run(now, attempt.request, &mut self.checks);
        let engine = &mut self.engines[number];
        let leaving_for = engine.leaving_since.map(|since| now.since(since));
        for block in attempt.blocks.iter() {
            engine.origins.entry(*block).or_insert(attempt.origin);
        }
        let job = attempt.job;
        engine.attempts.insert(job, attempt);
        let run = self.processes.run(Place::Engine(number)).unwrap_or_default();
        self.schedule.push(now + KEEP_ALIVE, Event::KeepAlive(number, run, job));
        if leaving_for.is_some_and(|time| time > LEAVING_LIMIT) {
            let detail =
                format!("engine {number} got work {leaving_for:?} after it began to leave");
            self.checks.violated(now, Invariant::NoWorkForLeaving, detail);
        }
    }

    /// Prompt tokens that the best live engine holds.
    fn longest_held(&self, blocks: &[u64]) -> u32 {
        let live = self
            .engines
            .iter()
            .enumerate()
            .filter(|(number, _)| self.processes.run(Place::Engine(*number)).is_some());
        let held = live.map(|(_, engine)| engine.core().cache().prefix_length(blocks)).max();
        held.unwrap_or(0) as u32 * self.declarations.block_tokens
    }

    /// As the real stand-in does with comments in its stream, until there is a token.
    pub(crate) fn keep_alive(&mut self, number: usize, run: u64, job: JobId) {
        let place = Place::Engine(number);
        if self.processes.run(place) != Some(run) {
            return;
        }
        if self.processes.is_frozen(place) {
            self.processes.hold(place, Event::KeepAlive(number, run, job));
            return;
        }
        let Some(attempt) = self.engines[number].attempts.get(&job) else { return };
        if attempt.has_token {
            return;
        }
        let waiting = NodeInput::Waiting(attempt.attempt);
        let (node, node_run) = (attempt.node, attempt.node_run);
        self.tell_node(number, node, node_run, waiting);
        self.schedule.push(self.now + KEEP_ALIVE, Event::KeepAlive(number, run, job));
    }

    fn schedule_engine(&mut self, number: usize) {
        let next = self.engines[number].core().next_wakeup();
        let engine = &mut self.engines[number];
        let Some(next) = next.filter(|next| *next < engine.timer_at) else { return };
        engine.timer_at = next;
        let run = self.processes.run(Place::Engine(number)).unwrap_or_default();
        self.schedule.push(next, Event::EngineTimer(number, run));
    }

    pub(crate) fn on_engine_timer(&mut self, number: usize, run: u64) {
        let place = Place::Engine(number);
        if self.processes.run(place) != Some(run) {
            return;
        }
        if self.processes.is_frozen(place) {
            self.processes.hold(place, Event::EngineTimer(number, run));
            return;
        }
        let mut events = Vec::new();
        self.engines[number].timer_at = Time::NEVER;
        self.engines[number].core().advance(self.now, &mut events);
        for event in events {
            self.engine_event(number, event);
        }
        self.schedule_engine(number);
    }

    fn engine_event(&mut self, number: usize, event: EngineEvent) {
        match event {
            EngineEvent::Token { job, position, cached_tokens } => {
                self.token(number, job, position, cached_tokens);
            }
            EngineEvent::Finished { job, cached_tokens } => {
                let Some(attempt) = self.engines[number].attempts.remove(&job) else { return };
                let load = Some(self.engines[number].core().reported_load(self.now));
                let reason =
                    if attempt.ends_early { FinishReason::Stop } else { FinishReason::Length };
                let usage = Usage {
                    prompt_tokens: attempt.prompt_tokens,
                    cached_tokens,
                    completion_tokens: attempt.end_at,
                };
                let input = NodeInput::Finished { attempt: attempt.attempt, reason, usage, load };
                self.tell_node(number, attempt.node, attempt.node_run, input);
            }
        }
    }

    fn token(&mut self, number: usize, job: JobId, position: u32, cached_tokens: u32) {
        let Some(attempt) = self.engines[number].attempts.get_mut(&job) else { return };
        let is_first = !std::mem::replace(&mut attempt.has_token, true);
        let (node, run, id) = (attempt.node, attempt.node_run, attempt.attempt);
        let text = token_text(attempt.prompt, position);
        let wasted = attempt.held_somewhere.saturating_sub(cached_tokens);
        if is_first {
            self.totals.recomputed_tokens += u64::from(wasted);
            self.check_reuse(number, job, cached_tokens);
        }
        let input = NodeInput::Tokens {
            attempt: id,
            position,
            count: 1,
            text,
            cached_tokens: is_first.then_some(cached_tokens),
        };
        self.tell_node(number, node, run, input);
    }

    /// A reused block must have been computed for the same tenant, model and weights by this run.
    fn check_reuse(&mut self, number: usize, job: JobId, cached_tokens: u32) {
        let engine = &self.engines[number];
        let Some(attempt) = engine.attempts.get(&job) else { return };
        let reused = (cached_tokens / self.declarations.block_tokens) as usize;
        let foreign = attempt.blocks[..reused.min(attempt.blocks.len())]
            .iter()
            .find(|block| engine.origins.get(block) != Some(&attempt.origin));
        if foreign.is_some() {
            let detail = format!("engine {number} reused a block of another origin");
            self.checks.violated(self.now, Invariant::CacheTruth, detail);
        }
    }
}
