//! Random series of what a gateway hears and does: nothing of an earlier incarnation counts, and no count leaks.

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

/// A request under way.
struct Running {
    choice: Choice,
    prompt: Prompt,
    /// Number of its incarnation among all that were known.
    incarnation: usize,
    has_first_token: bool,
}

/// An incarnation as it should be believed in.
#[derive(Clone, Copy)]
struct Known {
    start: Start,
    number: usize,
    version: Option<u32>,
    correction: (u64, u32),
    is_barred: bool,
}

struct World {
    rng: ChaCha8Rng,
    now: Time,
    balancer: Balancer,
    known: BTreeMap<&'static str, Known>,
    running: Vec<Running>,
    /// Incarnations so far.
    count: usize,
    /// Choices of all incarnations that were ever made.
    made: Vec<Choice>,
}

impl World {
    fn new(seed: u64) -> Self {
        World {
            rng: ChaCha8Rng::seed_from_u64(seed),
            now: Time::from_secs(1_000),
            balancer: Balancer::new("north", seed),
            known: BTreeMap::new(),
            running: Vec::new(),
            count: 0,
            made: Vec::new(),
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
            16..30 => self.hear_status(),
            30..55 => self.send(),
            55..67 => self.first_token(),
            67..85 => self.end(),
            _ => self.hear_late(),
        }
    }

    /// Starts are few, so that the same one is often told again.
    fn upsert(&mut self) {
        let (id, start) = (self.id(), Start(self.rng.random_range(0..4)));
        self.balancer.upsert(Instance { start, ..instance(id, "pool", "north") });
        if self.known.get(id).is_none_or(|known| known.start != start) {
            self.count += 1;
            let (number, correction) = (self.count, (0, 0));
            let known = Known { start, number, version: None, correction, is_barred: false };
            self.known.insert(id, known);
        }
    }

    fn remove(&mut self) {
        let id = self.id();
        self.balancer.remove(id);
        self.known.remove(id);
    }

    fn hear_status(&mut self) {
        let id = self.id();
        let start = Start(self.rng.random_range(0..4));
        let version = self.rng.random_range(1..6);
        let correction = (self.rng.random_range(0..3), self.rng.random_range(0..3));
        let is_barred = self.rng.random_range(0..4) == 0;
        let availability = if is_barred { Availability::Excluded } else { Availability::Available };
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
            known.is_barred = is_barred;
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
        assert_eq!(choice.is_none(), known.is_barred, "{id}");
        let Some(choice) = choice else { return };
        assert_eq!(choice.version, known.version);
        self.balancer.on_sent(&choice, &request, self.now);
        let incarnation = known.number;
        self.made.push(choice.clone());
        self.running.push(Running { choice, prompt, incarnation, has_first_token: false });
    }

    fn first_token(&mut self) {
        if self.running.is_empty() {
            return;
        }
        let position = self.rng.random_range(0..self.running.len());
        let one = &mut self.running[position];
        if !std::mem::replace(&mut one.has_first_token, true) {
            let request = choice_request(&one.prompt, None);
            let waited = Duration::from_millis(300);
            self.balancer.on_first_token(&one.choice, &request, waited, self.now);
        }
    }

    fn end(&mut self) {
        if self.running.is_empty() {
            return;
        }
        let position = self.rng.random_range(0..self.running.len());
        let one = self.running.swap_remove(position);
        self.balancer.on_ended(&one.choice, one.has_first_token);
        match self.rng.random_range(0..3) {
            0 => self.balancer.on_failure(&one.choice, self.now),
            1 => self.balancer.on_success(&one.choice, self.now),
            _ => {}
        }
    }

    /// Word of an incarnation that is there no more.
    fn hear_late(&mut self) {
        if self.made.is_empty() {
            return;
        }
        let choice = self.made[self.rng.random_range(0..self.made.len())].clone();
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
            let here = |one: &&Running| {
                let is_known = known.is_some_and(|known| known.number == one.incarnation);
                is_known && one.choice.instance.id == id
            };
            let running: Vec<&Running> = self.running.iter().filter(here).collect();
            let unread = running.iter().filter(|one| !one.has_first_token);
            let pending = unread.map(|one| u64::from(one.choice.expected_prefill)).sum();
            let expected = known.map(|_| (running.len() as u32, pending));
            assert_eq!(self.balancer.load(id), expected, "{id}");
        }
    }
}

#[test]
fn nothing_of_an_earlier_incarnation_counts_and_no_count_leaks() {
    for seed in 0..SERIES {
        let mut world = World::new(seed);
        for step in 0..STEPS {
            world.step();
            let checked = std::panic::catch_unwind(std::panic::AssertUnwindSafe(|| world.check()));
            assert!(checked.is_ok(), "seed {seed}, step {step}");
        }
    }
}
