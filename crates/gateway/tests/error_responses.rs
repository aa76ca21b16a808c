//! Replicas that answer with errors more often than the others of their service.

mod common;

use common::{choice_request, instance, prompt};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::BTreeMap;
use std::time::Duration;
use topazmount_gateway::{Balancer, Choice, ChoiceRequest, Prompt};
use topazmount_routing::PolicyTable;
use topazmount_types::Time;

const START: Time = Time::from_secs(1_000);
/// Pause between two requests.
const PAUSE: Duration = Duration::from_millis(10);

/// Requests to a service, one after another, and where they went.
struct Scenario {
    balancer: Balancer,
    prompt: Prompt,
    rng: ChaCha8Rng,
    now: Time,
    sent: BTreeMap<String, usize>,
    avoided: Vec<String>,
}

impl Scenario {
    fn new(replicas: usize) -> Self {
        let mut balancer = Balancer::new("north", 7);
        for number in 0..replicas {
            balancer.upsert(instance(&format!("i-{number}"), "pool", "north"));
        }
        Scenario {
            balancer,
            prompt: prompt(&[]),
            rng: ChaCha8Rng::seed_from_u64(1),
            now: START,
            sent: BTreeMap::new(),
            avoided: Vec::new(),
        }
    }

    fn begin(&mut self) -> Choice {
        let request =
            ChoiceRequest { prompt: None, model: None, ..choice_request(&self.prompt, None) };
        let mut policies = PolicyTable::default();
        let choice =
            self.balancer.choose(&request, self.now, &mut policies).expect("there are replicas");
        self.balancer.on_sent(&choice, &request, self.now);
        *self.sent.entry(choice.instance.id.clone()).or_default() += 1;
        choice
    }

    fn end(&mut self, choice: &Choice, is_error: bool) {
        match is_error {
            true => {
                if self.balancer.on_error_response(choice, self.now).is_some() {
                    self.avoided.push(choice.instance.id.clone());
                }
            }
            false => drop(self.balancer.on_success(choice, self.now)),
        }
        self.balancer.on_ended(choice, true);
    }

    /// Sends requests; each replica fails a share of them.
    fn play(&mut self, requests: usize, error_share: impl Fn(&str) -> f64) {
        for _ in 0..requests {
            let choice = self.begin();
            let is_error = self.rng.random_bool(error_share(&choice.instance.id));
            self.end(&choice, is_error);
            self.now = self.now + PAUSE;
        }
    }

    fn sent_to(&self, id: &str) -> usize {
        self.sent.get(id).copied().unwrap_or(0)
    }
}

#[test]
fn a_replica_that_fails_all_requests_draws_them() {
    let mut scenario = Scenario::new(12);
    scenario.play(200, |_| 0.0);
    scenario.sent.clear();
    scenario.play(2_000, |id| if id == "i-3" { 1.0 } else { 0.0 });
    assert!(scenario.sent_to("i-3") <= 20, "{:?}", scenario.sent);
    assert!(scenario.avoided.iter().all(|id| id == "i-3"), "{:?}", scenario.avoided);
}

#[test]
fn replicas_of_a_service_that_fails_by_nature_are_avoided() {
    let mut scenario = Scenario::new(4);
    scenario.play(20_000, |_| 0.14);
    assert!(scenario.avoided.len() <= 20, "{} times in 20,000", scenario.avoided.len());
    assert!(scenario.sent.values().all(|sent| *sent >= 4_000), "{:?}", scenario.sent);
}

#[test]
fn a_sick_replica_of_a_service_that_fails_by_nature_is_not_avoided() {
    let mut scenario = Scenario::new(4);
    scenario.play(10_000, |id| if id == "i-1" { 0.9 } else { 0.14 });
    assert!(scenario.sent_to("i-1") <= 1_000, "{:?}", scenario.sent);
}

#[test]
fn replicas_are_avoided_although_all_fail_alike() {
    let mut scenario = Scenario::new(6);
    scenario.play(2_000, |_| 1.0);
    assert!(scenario.avoided.len() <= 6, "{:?}", scenario.avoided);
    assert!(scenario.sent.values().all(|sent| *sent >= 200), "{:?}", scenario.sent);
}

/// Half of them at most; without a majority that is well there is no measure.
#[test]
fn most_replicas_of_a_service_are_avoided_at_once() {
    let mut scenario = Scenario::new(6);
    scenario.play(300, |_| 0.0);
    scenario.avoided.clear();
    scenario.play(3_000, |id| if id < "i-4" { 1.0 } else { 0.0 });
    let served = scenario.sent_to("i-4") + scenario.sent_to("i-5");
    assert!(served >= 600, "{:?}", scenario.sent);
}

#[test]
fn a_repaired_replica_is_avoided_for_long() {
    let mut scenario = Scenario::new(4);
    scenario.play(200, |_| 0.0);
    scenario.play(2_000, |id| if id == "i-0" { 1.0 } else { 0.0 });
    scenario.sent.clear();
    // 5 s, the longest avoidance and a trial request.
    scenario.play(500, |_| 0.0);
    scenario.sent.clear();
    scenario.play(400, |_| 0.0);
    assert!(scenario.sent_to("i-0") >= 50, "{:?}", scenario.sent);
}

/// It gets one request after another until one succeeds.
#[test]
fn a_replica_that_was_avoided_is_flooded() {
    let mut scenario = Scenario::new(4);
    scenario.play(200, |_| 0.0);
    scenario.play(300, |id| if id == "i-0" { 1.0 } else { 0.0 });
    scenario.now = scenario.now + Duration::from_secs(5);
    scenario.sent.clear();
    let begun: Vec<Choice> = (0..20).map(|_| scenario.begin()).collect();
    assert_eq!(scenario.sent_to("i-0"), 1, "{:?}", scenario.sent);
    begun.iter().for_each(|choice| scenario.end(choice, false));
}

#[test]
fn two_errors_among_few_requests_condemn_a_replica() {
    let mut scenario = Scenario::new(4);
    scenario.play(8, |_| 0.0);
    let choice = scenario.begin();
    scenario.end(&choice, true);
    assert!(scenario.avoided.is_empty());
}
