//! No prompt begins on weights whose bound is over, whoever tells a gateway of it, and when.
//!
//! What happens: members that follow tell a gateway of a newer version while nobody leads; the gateway goes on naming the one before.
//! Why: only a leader's statuses, and its entry in the log that a bound is over, barred old weights. In the plays below 20 s without a leader
//! left all prompts on version 1. The gateway counts the bound by itself from when it heard of the newer version, or from
//! a leader's last word where that is later: a leader bars in time, and one that has just begun counts anew.
//!
//! Each play draws replicas, models, versions, when which is heard of, and when a leader last told news. What is checked: a
//! choice never names a version while a newer one was heard of, and a leader's last word is, a bound (6.5 s, 1.5 s before its end) and more ago.

mod common;

use common::{choice_request, instance, prompt};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::time::Duration;
use topazmount_control::{Availability, InstanceStatus, LoadedModel};
use topazmount_gateway::Balancer;
use topazmount_routing::PolicyTable;
use topazmount_types::{Start, Time};

const BAR_AFTER: Duration = Duration::from_millis(6_500);
const START: Time = Time::from_secs(1_000);
const PLAYS: u64 = 400;

fn loaded(version: u32) -> Vec<LoadedModel> {
    vec![LoadedModel { model: "model".to_owned(), version }]
}

struct Play {
    balancer: Balancer,
    rng: SmallRng,
    named: Vec<(u32, Time)>,
    led_at: Time,
}

impl Play {
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
                start: Start::UNSAID,
                correction: (0, 0),
            };
            balancer.set_status(&status);
        }
        Play { balancer, rng, named: Vec::new(), led_at: Time::ZERO }
    }

    fn news(&mut self, now: Time) {
        let newest = self.named.last().map_or(1, |(version, _)| *version);
        match self.rng.random_range(0..10) {
            0 => {
                self.balancer.record_leader_contact(now);
                self.led_at = now;
            }
            1 => {
                let version = newest + self.rng.random_range(1..=2);
                self.balancer.set_published(&loaded(version), now);
                self.named.push((version, now));
            }
            // A member that lags tells of an older one.
            2 => self.balancer.set_published(&loaded(newest.saturating_sub(1).max(1)), now),
            _ => {}
        }
    }

    fn is_over(&self, version: u32, now: Time) -> bool {
        let newer = self.named.iter().find(|(named, _)| *named > version);
        newer.is_some_and(|(_, at)| now >= (*at).max(self.led_at) + BAR_AFTER)
    }
}

#[test]
fn random_series_name_no_version_whose_bound_is_over() {
    let prompt = prompt(&[(1, 2_500), (100, 3_800), (1_000, 900)]);
    let request = choice_request(&prompt, None);
    let mut over = 0;
    for seed in 0..PLAYS {
        let mut play = Play::new(seed);
        let mut now = START;
        for _ in 0..200 {
            now = now + Duration::from_millis(play.rng.random_range(10..500));
            play.news(now);
            let choice = play.balancer.choose(&request, now, &mut PolicyTable::default());
            let Some(expected) = choice.and_then(|choice| choice.required_version) else {
                continue;
            };
            over += usize::from(play.is_over(1, now));
            assert!(
                !play.is_over(expected, now),
                "seed {seed}: version {expected} is named {now:?}; named {:?}, leader last at {:?}",
                play.named,
                play.led_at
            );
        }
    }
    assert!(over > 1_000, "the bound on version 1 was over at {over} choices only");
}
