//! The newest version of a service is that of its replicas, whatever changes them.

mod common;

use common::{choice_request, instance, prompt};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::time::Duration;
use topazmount_control::{Availability, InstanceStatus, LoadedModel};
use topazmount_gateway::{Balancer, Choice, ChoiceRequest, DOWNGRADE_PAUSE};
use topazmount_routing::PolicyTable;
use topazmount_types::{Instance, Start, Time};

const IDS: [&str; 4] = ["i-0", "i-1", "i-2", "i-3"];
const SERVICES: [&str; 2] = ["pool", "other"];
/// Time between two changes, after which a replica with older weights gets requests again.
const STEP: Duration = Duration::from_millis(2_000);
const STEPS: u64 = 300;

/// The choice of one replica alone, which shows its recorded version.
fn choose_only(balancer: &mut Balancer, known: &Instance, now: Time) -> Option<Choice> {
    let prompt = prompt(&[(1, 2_500), (100, 3_800), (1_000, 900)]);
    let name = known.incarnation_name();
    let request = ChoiceRequest {
        service: &known.service,
        pinned_to: Some(&name),
        ..choice_request(&prompt, None)
    };
    balancer.choose(&request, now, &mut PolicyTable::default())
}

struct Series {
    balancer: Balancer,
    rng: ChaCha8Rng,
    now: Time,
}

impl Series {
    fn any_instance(&mut self) -> Instance {
        let id = IDS[self.rng.random_range(0..IDS.len())];
        let service = SERVICES[self.rng.random_range(0..SERVICES.len())];
        Instance { start: Start(self.rng.random_range(1..4)), ..instance(id, service, "north") }
    }

    fn any_status(&mut self, known: &Instance) -> InstanceStatus {
        let version = self.rng.random_range(0..6);
        let models = vec![LoadedModel { model: "model".to_owned(), version }];
        InstanceStatus {
            id: known.id.clone(),
            availability: Availability::Available,
            models: if self.rng.random_bool(0.9) { models } else { Vec::new() },
            start: known.start,
            correction: (self.rng.random_range(0..3), 0),
        }
    }

    fn change(&mut self) {
        let known: Vec<Instance> = self.balancer.instances().cloned().collect();
        if known.is_empty() || self.rng.random_bool(0.3) {
            let instance = self.any_instance();
            self.balancer.upsert(instance);
            return;
        }
        let chosen = &known[self.rng.random_range(0..known.len())];
        if self.rng.random_bool(0.3) {
            let status = self.any_status(chosen);
            self.balancer.set_status(&status);
            return;
        }
        if self.rng.random_bool(0.1) {
            self.balancer.remove(&chosen.id);
            return;
        }
        let Some(choice) = choose_only(&mut self.balancer, chosen, self.now) else { return };
        let version = self.rng.random_range(0..6);
        let reported = self.rng.random_bool(0.7).then_some(version);
        match self.rng.random_range(0..3) {
            0 => self.balancer.record_version(&choice, "model", version),
            1 => self.balancer.forget_version(&choice, "model"),
            _ => {
                self.balancer.on_version_refused(&choice, "model", reported, self.now);
            }
        }
    }

    fn check(&mut self) {
        let known: Vec<Instance> = self.balancer.instances().cloned().collect();
        for service in SERVICES {
            let replicas = known.iter().filter(|known| known.service == service);
            let newest = replicas
                .filter_map(|known| choose_only(&mut self.balancer, known, self.now)?.version)
                .max();
            assert_eq!(self.balancer.newest_version(service, Some("model")), newest, "{service}");
            assert_eq!(self.balancer.newest_version(service, Some("another")), None);
            assert_eq!(self.balancer.newest_version(service, None), None);
        }
    }
}

#[test]
fn the_newest_version_follows_all_changes() {
    assert!(STEP > DOWNGRADE_PAUSE);
    for seed in 0..40 {
        let mut series = Series {
            balancer: Balancer::new("north", seed),
            rng: ChaCha8Rng::seed_from_u64(seed),
            now: Time::from_secs(1_000),
        };
        for _ in 0..STEPS {
            series.change();
            series.now = series.now + STEP;
            series.check();
        }
    }
}
