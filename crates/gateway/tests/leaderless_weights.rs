//! While only followers report, no prompt requires a version that is outdated for longer than the
//! time limit, counted from the publication of a newer version or the last update of a leader.

mod common;

use common::{choice_request, instance, prompt};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::time::Duration;
use topazmount_control::{Availability, InstanceStatus, LoadedModel};
use topazmount_gateway::Balancer;
use topazmount_routing::PolicyTable;
use topazmount_types::{Start, Time};

const TIME_LIMIT: Duration = Duration::from_millis(6_500);
const START: Time = Time::from_secs(1_000);
const RUNS: u64 = 400;

fn loaded(version: u32) -> Vec<LoadedModel> {
    vec![LoadedModel { model: "model".to_owned(), version }]
}

struct Run {
    balancer: Balancer,
    rng: SmallRng,
    published: Vec<(u32, Time)>,
    last_leader_update: Time,
}

impl Run {
    fn new(seed: u64) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut balancer = Balancer::new("north", seed);
        for number in 0..rng.random_range(1..=12) {
            let id = format!("r{number}");
            balancer.upsert(instance(&id, "pool", "north"));
            let version = rng.random_range(1..=2);
            let status = InstanceStatus {
                id,
                availability: Availability::Available,
                models: loaded(version),
                start: Start::UNKNOWN,
                correction: (0, 0),
            };
            balancer.set_status(&status);
        }
        Run { balancer, rng, published: Vec::new(), last_leader_update: Time::ZERO }
    }

    fn receive_update(&mut self, now: Time) {
        let newest = self.published.last().map_or(1, |(version, _)| *version);
        match self.rng.random_range(0..10) {
            0 => {
                self.balancer.record_leader_contact(now);
                self.last_leader_update = now;
            }
            1 => {
                let version = newest + self.rng.random_range(1..=2);
                self.balancer.set_published(&loaded(version), now);
                self.published.push((version, now));
            }
            // A member that lags reports an older version.
            2 => self.balancer.set_published(&loaded(newest.saturating_sub(1).max(1)), now),
            _ => {}
        }
    }

    fn is_outdated(&self, version: u32, now: Time) -> bool {
        let newer = self.published.iter().find(|(published, _)| *published > version);
        newer.is_some_and(|(_, at)| now >= (*at).max(self.last_leader_update) + TIME_LIMIT)
    }
}

#[test]
fn random_series_require_no_outdated_version() {
    let prompt = prompt(&[(1, 2_500), (100, 3_800), (1_000, 900)]);
    let request = choice_request(&prompt, None);
    let mut outdated = 0;
    for seed in 0..RUNS {
        let mut run = Run::new(seed);
        let mut now = START;
        for _ in 0..200 {
            now = now + Duration::from_millis(run.rng.random_range(10..500));
            run.receive_update(now);
            let choice = run.balancer.choose(&request, now, &mut PolicyTable::default());
            let Some(expected) = choice.and_then(|choice| choice.required_version) else {
                continue;
            };
            outdated += usize::from(run.is_outdated(1, now));
            assert!(
                !run.is_outdated(expected, now),
                "seed {seed}: version {expected} is required at {now:?}; published {:?}, last leader update at {:?}",
                run.published,
                run.last_leader_update
            );
        }
    }
    assert!(outdated > 1_000, "version 1 was outdated at only {outdated} choices");
}
