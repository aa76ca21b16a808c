//! Load shedding: with more prompts than the engines can read, more of them are in time if late
//! ones are refused.
//!
//! The engines are simulated in steps, each of which reads at most 4,096 tokens of one prompt and
//! generates a token of each running answer. There are short prompts with long answers and long
//! prompts with short answers. A refused client retries once, after the delay that it was given.

mod common;

use common::{engine, instance, parts, prompt};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::VecDeque;
use std::time::Duration;
use topazmount_control::{Availability, FleetView, InstanceStatus, LoadedModel};
use topazmount_gateway::{
    Catalog, CatalogParts, Choice, ChoiceRequest, GatewaySettings, GatewayState, Prompt, Service,
    TtftEstimate,
};
use topazmount_types::{Start, Time};

const ENGINES: usize = 8;
const SLOTS: usize = 16;
/// Time of a step without prefill, in milliseconds, and prefill rate in tokens per millisecond.
const STEP_MS: f64 = 5.2;
const RATE: f64 = 38.4;
const MAX_TOKENS_PER_STEP: u32 = 4_096;
/// Number of tokens per event of a stream.
const TOKENS_PER_EVENT: u32 = 6;
const MAX_PAUSE_MS: f64 = 600.0;
const DURATION_S: f64 = 20.0;
const TICK_MS: f64 = 1.0;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Kind {
    Short,
    Long,
}

impl Kind {
    fn target(self) -> Duration {
        Duration::from_millis(if self == Kind::Short { 600 } else { 800 })
    }

    fn priority(self) -> u32 {
        if self == Kind::Short { 0 } else { 1 }
    }
}

struct Job {
    kind: Kind,
    prompt: Prompt,
    choice: Choice,
    arrived_ms: f64,
    unread: u32,
    tokens_left: u32,
    first_ms: Option<f64>,
    event_ms: f64,
    longest_pause_ms: f64,
}

#[derive(Default)]
struct Engine {
    running: Vec<Job>,
    waiting: VecDeque<Job>,
    step_ends_ms: f64,
    reading: Option<(usize, u32)>,
}

/// Results of the requests of one kind.
#[derive(Clone, Copy, Debug, Default)]
struct Results {
    requests: u32,
    in_time: u32,
    late: u32,
    refused: u32,
}

struct Simulation {
    state: GatewayState,
    engines: Vec<Engine>,
    sheds_load: bool,
    rng: ChaCha8Rng,
    results: [Results; 2],
    /// Refused clients and when they retry.
    retrying: Vec<(f64, Kind, Prompt, f64)>,
}

fn time(ms: f64) -> Time {
    Time::from_secs(1_000) + Duration::from_secs_f64(ms / 1_000.0)
}

fn state() -> GatewayState {
    let first = parts(1);
    let pool = Service {
        name: "pool".to_owned(),
        max_connections: 100,
        engine: Some(engine()),
        store: None,
    };
    let services = [first.services.clone(), vec![pool]].concat();
    let catalog = Catalog::new(CatalogParts { services, ..first }).unwrap();
    let engine_instance = |id: &String| {
        let mut instance = instance(id, "pool", "north");
        instance.slots = SLOTS as u32;
        instance
    };
    let ids: Vec<String> = (0..ENGINES).map(|number| format!("engine-{number}")).collect();
    let status = |id: &String| InstanceStatus {
        id: id.clone(),
        availability: Availability::Available,
        models: vec![LoadedModel { model: "model".to_owned(), version: 1 }],
        start: Start::UNKNOWN,
        correction: (0, 0),
    };
    let view = FleetView {
        revision: 1,
        is_full: true,
        instances: ids.iter().map(engine_instance).collect(),
        statuses: Some(((0, 1), ids.iter().map(status).collect())),
        staleness: Some(Duration::ZERO),
        ..FleetView::default()
    };
    let mut state = GatewayState::new("north", GatewaySettings::default(), 1);
    state.apply(&view, Some(catalog), time(0.0));
    state
}

fn request<'a>(
    prompt: &'a Prompt,
    engine: &'a topazmount_gateway::EngineParameters,
) -> ChoiceRequest<'a> {
    common::choice_request(prompt, Some(engine))
}

impl Simulation {
    /// Simulates traffic with these rates of prompts of each kind.
    fn run(short_per_s: f64, long_per_s: f64, sheds_load: bool, seed: u64) -> [Results; 2] {
        let mut simulation = Simulation {
            state: state(),
            engines: (0..ENGINES).map(|_| Engine::default()).collect(),
            sheds_load,
            rng: ChaCha8Rng::seed_from_u64(seed),
            results: Default::default(),
            retrying: Vec::new(),
        };
        let mut now_ms = 0.0;
        while now_ms < DURATION_S * 2_000.0 {
            if now_ms < DURATION_S * 1_000.0 {
                for (kind, per_s) in [(Kind::Short, short_per_s), (Kind::Long, long_per_s)] {
                    if simulation.rng.random_bool(per_s * TICK_MS / 1_000.0) {
                        simulation.arrive(kind, now_ms);
                    }
                }
            }
            simulation.retry(now_ms);
            for number in 0..ENGINES {
                simulation.step(number, now_ms);
            }
            now_ms += TICK_MS;
        }
        simulation.results
    }

    fn arrive(&mut self, kind: Kind, now_ms: f64) {
        let own = self.rng.random::<u64>();
        let mut prompt = match kind {
            Kind::Short => prompt(&[(self.rng.random_range(0..40), 200), (own, 630)]),
            Kind::Long => prompt(&[
                (100 + self.rng.random_range(0..4), 2_500),
                (1_000 + self.rng.random_range(0..5_000), 3_800),
                (own, 2_900),
            ]),
        };
        prompt.output_tokens = if kind == Kind::Short { 49 } else { 9 };
        self.results[kind as usize].requests += 1;
        self.serve(kind, prompt, now_ms, now_ms, true);
    }

    fn retry(&mut self, now_ms: f64) {
        let due: Vec<_> = self.retrying.extract_if(.., |(at, ..)| *at <= now_ms).collect();
        for (_, kind, prompt, arrived_ms) in due {
            self.serve(kind, prompt, arrived_ms, now_ms, false);
        }
    }

    fn serve(&mut self, kind: Kind, prompt: Prompt, arrived_ms: f64, now_ms: f64, is_first: bool) {
        let (engine, now) = (engine(), time(now_ms));
        let choice_request = request(&prompt, &engine);
        let choice = self.state.choose(&choice_request, now).unwrap();
        let ttft = TtftEstimate {
            estimate: Duration::from_secs_f64(choice.estimate_ms.max(0.0) / 1_000.0),
            elapsed: Duration::ZERO,
            target: kind.target(),
            priority: kind.priority(),
            has_empty_queue: choice.has_empty_queue,
            slot_utilization: choice.slot_utilization,
        };
        let wait = ttft.retry_delay_if_late(self.rng.random()).filter(|_| self.sheds_load);
        match wait {
            Some(wait) if is_first => {
                let at = now_ms + wait.as_secs_f64() * 1_000.0;
                return self.retrying.push((at, kind, prompt, arrived_ms));
            }
            Some(_) => return self.results[kind as usize].refused += 1,
            None => {}
        }
        self.state.balancer().on_sent(&choice, &choice_request, now);
        let number: usize = choice.instance.id.rsplit('-').next().unwrap().parse().unwrap();
        let job = Job {
            kind,
            unread: choice.expected_prefill.max(1),
            tokens_left: prompt.output_tokens,
            prompt,
            choice,
            arrived_ms,
            first_ms: None,
            event_ms: now_ms,
            longest_pause_ms: 0.0,
        };
        let waiting = &mut self.engines[number].waiting;
        let position = waiting.partition_point(|other| other.kind.priority() <= kind.priority());
        waiting.insert(position, job);
    }

    /// Ends a step of an engine and starts the next one.
    fn step(&mut self, number: usize, now_ms: f64) {
        if now_ms < self.engines[number].step_ends_ms {
            return;
        }
        let prefilled = self.engines[number].reading.take();
        for position in 0..self.engines[number].running.len() {
            self.record_progress(number, position, prefilled, now_ms);
        }
        let ended: Vec<Job> = self.engines[number]
            .running
            .extract_if(.., |job| job.unread == 0 && job.tokens_left == 0)
            .collect();
        ended.into_iter().for_each(|job| self.end(job));
        let engine = &mut self.engines[number];
        while engine.running.len() < SLOTS
            && let Some(job) = engine.waiting.pop_front()
        {
            engine.running.push(job);
        }
        let next = engine.running.iter().position(|job| job.unread > 0);
        engine.reading = next
            .map(|position| (position, engine.running[position].unread.min(MAX_TOKENS_PER_STEP)));
        let prefilled = engine.reading.map_or(0, |(_, tokens)| tokens);
        engine.step_ends_ms = now_ms + STEP_MS + f64::from(prefilled) / RATE;
    }

    fn record_progress(
        &mut self,
        number: usize,
        position: usize,
        prefilled: Option<(usize, u32)>,
        now_ms: f64,
    ) {
        let job = &mut self.engines[number].running[position];
        if let Some((_, tokens)) = prefilled.filter(|(reading, _)| *reading == position) {
            job.unread -= tokens;
        }
        if job.unread > 0 {
            return;
        }
        job.tokens_left -= 1;
        let sent = job.prompt.output_tokens - job.tokens_left;
        if job.first_ms.is_none() {
            job.first_ms = Some(now_ms);
            job.event_ms = now_ms;
            let engine = engine();
            let choice_request = request(&job.prompt, &engine);
            let waited = Duration::from_secs_f64((now_ms - job.arrived_ms) / 1_000.0);
            self.state.on_first_token(&job.choice, &choice_request, waited, time(now_ms));
        } else if sent.is_multiple_of(TOKENS_PER_EVENT) || job.tokens_left == 0 {
            job.longest_pause_ms = job.longest_pause_ms.max(now_ms - job.event_ms);
            job.event_ms = now_ms;
        }
    }

    fn end(&mut self, job: Job) {
        self.state.balancer().on_ended(&job.choice, true);
        let first_ms = job.first_ms.unwrap_or(f64::MAX) - job.arrived_ms;
        let target_ms = job.kind.target().as_secs_f64() * 1_000.0;
        let results = &mut self.results[job.kind as usize];
        match first_ms <= target_ms && job.longest_pause_ms <= MAX_PAUSE_MS {
            true => results.in_time += 1,
            false => results.late += 1,
        }
    }
}

/// A quarter more than the capacity of the engines.
#[test]
fn load_shedding_serves_more_of_each_kind_in_time() {
    let without_shedding = Simulation::run(70.0, 65.0, false, 7);
    let with_shedding = Simulation::run(70.0, 65.0, true, 7);
    println!("without {without_shedding:?}\nwith {with_shedding:?}");
    let share = |results: [Results; 2], kind: Kind| {
        let results = results[kind as usize];
        f64::from(results.in_time) / f64::from(results.requests)
    };
    assert!(share(with_shedding, Kind::Long) > share(without_shedding, Kind::Long) + 0.3);
    let missed_share = |results: [Results; 2]| 1.0 - share(results, Kind::Short);
    assert!(missed_share(with_shedding) * 3.0 < missed_share(without_shedding));
    assert_eq!(
        with_shedding[Kind::Short as usize].refused,
        0,
        "prompts of priority 0 are not refused"
    );
}

/// A third of the capacity of the engines.
#[test]
fn nothing_is_refused_finally_under_normal_load() {
    let results = Simulation::run(20.0, 16.0, true, 7);
    for of_kind in results {
        assert!(of_kind.refused * 1_000 <= of_kind.requests, "{of_kind:?}");
        assert!(of_kind.in_time * 100 >= of_kind.requests * 95, "{of_kind:?}");
    }
}

#[test]
fn urgent_prompts_and_prompts_at_idle_engines_are_not_refused() {
    let late_prompt = TtftEstimate {
        estimate: Duration::from_secs(5),
        elapsed: Duration::ZERO,
        target: Duration::from_millis(800),
        priority: 1,
        has_empty_queue: false,
        slot_utilization: 1.0,
    };
    assert!(late_prompt.retry_delay_if_late(0.5).is_some());
    assert!(TtftEstimate { priority: 0, ..late_prompt }.retry_delay_if_late(0.5).is_none());
    assert!(
        TtftEstimate { has_empty_queue: true, ..late_prompt }.retry_delay_if_late(0.5).is_none()
    );
    assert!(
        TtftEstimate { slot_utilization: 0.4, ..late_prompt }.retry_delay_if_late(0.5).is_none()
    );
    let soon = TtftEstimate { estimate: Duration::from_millis(500), ..late_prompt };
    assert!(soon.retry_delay_if_late(0.5).is_none());
    assert!(
        TtftEstimate { elapsed: Duration::from_millis(100), ..soon }
            .retry_delay_if_late(0.5)
            .is_some()
    );
}

/// Clients that are refused together get different retry delays, none shorter than the time until
/// the queue can be done.
#[test]
fn retry_delays_are_spread() {
    let late_prompt = TtftEstimate {
        estimate: Duration::from_millis(1_560),
        elapsed: Duration::ZERO,
        target: Duration::from_millis(800),
        priority: 1,
        has_empty_queue: false,
        slot_utilization: 1.0,
    };
    let waits: Vec<u128> = [0.0, 0.5, 1.0]
        .map(|spread| late_prompt.retry_delay_if_late(spread).unwrap().as_millis())
        .to_vec();
    assert_eq!(waits, [900, 1_800, 2_700]);
}
