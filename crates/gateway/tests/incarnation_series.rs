//! Random series of events at a gateway: nothing of an earlier incarnation affects the current one,
//! and no load count leaks.

mod common;

use common::{choice_request, instance, prompt};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::BTreeMap;
use std::time::Duration;
use topazmount_control::{Availability, InstanceStatus, LoadedModel};
use topazmount_gateway::{Balancer, Choice, ChoiceRequest, Prompt, PromptEvent};
use topazmount_routing::PolicyTable;
use topazmount_types::{Instance, Start, Time, incarnation_name};

const SERIES: u64 = 300;
const STEPS: usize = 200;
const IDS: [&str; 3] = ["i-0", "i-1", "i-2"];

/// A request in progress.
struct Running {
    choice: Choice,
    prompt: Prompt,
    /// Number of its incarnation among all that were known.
    incarnation: usize,
    has_first_token: bool,
}

/// Expected record of an incarnation.
#[derive(Clone, Copy)]
struct ExpectedIncarnation {
    start: Start,
    number: usize,
    version: Option<u32>,
    correction: (u64, u32),
    is_excluded: bool,
}

struct Simulation {
    rng: ChaCha8Rng,
    now: Time,
    balancer: Balancer,
    known: BTreeMap<&'static str, ExpectedIncarnation>,
    running: Vec<Running>,
    /// Number of incarnations so far.
    count: usize,
    /// All choices made so far.
    choices: Vec<Choice>,
}

impl Simulation {
    fn new(seed: u64) -> Self {
        Simulation {
            rng: ChaCha8Rng::seed_from_u64(seed),
            now: Time::from_secs(1_000),
            balancer: Balancer::new("north", seed),
            known: BTreeMap::new(),
            running: Vec::new(),
            count: 0,
            choices: Vec::new(),
        }
    }

    fn id(&mut self) -> &'static str {
        IDS[self.rng.random_range(0..IDS.len())]
    }

    fn step(&mut self) {
        self.now = self.now + Duration::from_millis(self.rng.random_range(0..200));
        match self.rng.random_range(0..100) {
            0..12 => self.upsert(),
            12..16 => self.remove(),
            16..30 => self.apply_status(),
            30..55 => self.send(),
            55..67 => self.first_token(),
            67..85 => self.end(),
            _ => self.apply_late_event(),
        }
    }

    /// There are few possible starts, so that the same one is often reported again.
    fn upsert(&mut self) {
        let (id, start) = (self.id(), Start(self.rng.random_range(0..4)));
        self.balancer.upsert(Instance { start, ..instance(id, "pool", "north") });
        if self.known.get(id).is_none_or(|known| known.start != start) {
            self.count += 1;
            let (number, correction) = (self.count, (0, 0));
            let known = ExpectedIncarnation {
                start,
                number,
                version: None,
                correction,
                is_excluded: false,
            };
            self.known.insert(id, known);
        }
    }

    fn remove(&mut self) {
        let id = self.id();
        self.balancer.remove(id);
        self.known.remove(id);
    }

    fn apply_status(&mut self) {
        let id = self.id();
        let start = Start(self.rng.random_range(0..4));
        let version = self.rng.random_range(1..6);
        let correction = (self.rng.random_range(0..3), self.rng.random_range(0..3));
        let is_excluded = self.rng.random_range(0..4) == 0;
        let availability =
            if is_excluded { Availability::Excluded } else { Availability::Available };
        let models = vec![LoadedModel { model: "model".to_owned(), version }];
        let id_text = id.to_owned();
        self.balancer.set_status(&InstanceStatus {
            id: id_text,
            availability,
            models,
            start,
            correction,
        });
        if let Some(known) = self.known.get_mut(id).filter(|known| known.start == start) {
            known.is_excluded = is_excluded;
            let is_later = correction > known.correction;
            known.correction = known.correction.max(correction);
            known.version = if is_later { Some(version) } else { known.version.max(Some(version)) };
        }
    }

    fn send(&mut self) {
        let id = self.id();
        let Some(known) = self.known.get(id).copied() else { return };
        let subject = self.rng.random_range(0..10);
        let prompt = prompt(&[(1, 700), (100 + subject, 900), (self.rng.random(), 300)]);
        let name = incarnation_name(id, known.start);
        let request = ChoiceRequest { pinned_to: Some(&name), ..choice_request(&prompt, None) };
        let choice = self.balancer.choose(&request, self.now, &mut PolicyTable::default());
        assert_eq!(choice.is_none(), known.is_excluded, "{id}");
        let Some(choice) = choice else { return };
        assert_eq!(choice.version, known.version);
        self.balancer.on_sent(&choice, &request, self.now);
        let incarnation = known.number;
        self.choices.push(choice.clone());
        self.running.push(Running { choice, prompt, incarnation, has_first_token: false });
    }

    fn first_token(&mut self) {
        if self.running.is_empty() {
            return;
        }
        let position = self.rng.random_range(0..self.running.len());
        let running = &mut self.running[position];
        if !std::mem::replace(&mut running.has_first_token, true) {
            let request = choice_request(&running.prompt, None);
            let waited = Duration::from_millis(300);
            self.balancer.on_first_token(&running.choice, &request, waited, self.now);
        }
    }

    fn end(&mut self) {
        if self.running.is_empty() {
            return;
        }
        let position = self.rng.random_range(0..self.running.len());
        let request = self.running.swap_remove(position);
        self.balancer.on_ended(&request.choice, request.has_first_token);
        match self.rng.random_range(0..3) {
            0 => self.balancer.on_failure(&request.choice, self.now),
            1 => drop(self.balancer.on_success(&request.choice, self.now)),
            _ => {}
        }
    }

    /// Applies a late event of an incarnation that is not current any more.
    fn apply_late_event(&mut self) {
        if self.choices.is_empty() {
            return;
        }
        let choice = self.choices[self.rng.random_range(0..self.choices.len())].clone();
        let known = self.known.get(choice.instance.id.as_str());
        if known.is_some_and(|known| known.start == choice.instance.start) {
            return;
        }
        let prompt = prompt(&[(1, 700), (100, 900), (7, 300)]);
        let request = choice_request(&prompt, None);
        let (balancer, now) = (&mut self.balancer, self.now);
        assert_eq!(balancer.load_update(&choice, &request, PromptEvent::Sent), None);
        assert!(
            !balancer.is_excluded(&choice) && !balancer.has_responded_since(&choice, Time::ZERO)
        );
        match self.rng.random_range(0..6) {
            0 => balancer.record_version(&choice, "model", 99),
            1 => balancer.forget_version(&choice, "model"),
            2 => drop(balancer.on_version_refused(&choice, "model", Some(0), now)),
            3 => balancer.on_address_reused(&choice, now),
            4 => balancer.on_sent(&choice, &request, now),
            _ => balancer.on_failure(&choice, now),
        }
    }

    fn check(&self) {
        for id in IDS {
            let known = self.known.get(id);
            let is_current = |request: &&Running| {
                let is_known = known.is_some_and(|known| known.number == request.incarnation);
                is_known && request.choice.instance.id == id
            };
            let running: Vec<&Running> = self.running.iter().filter(is_current).collect();
            let without_token = running.iter().filter(|request| !request.has_first_token);
            let pending =
                without_token.map(|request| u64::from(request.choice.expected_prefill)).sum();
            let expected = known.map(|_| (running.len() as u32, pending));
            assert_eq!(self.balancer.load(id), expected, "{id}");
        }
    }
}

#[test]
fn earlier_incarnations_have_no_effect_and_no_count_leaks() {
    for seed in 0..SERIES {
        let mut simulation = Simulation::new(seed);
        for step in 0..STEPS {
            simulation.step();
            let checked =
                std::panic::catch_unwind(std::panic::AssertUnwindSafe(|| simulation.check()));
            assert!(checked.is_ok(), "seed {seed}, step {step}");
        }
    }
}
