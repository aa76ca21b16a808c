//! Random events for replicas that restart under their identifier. `INCARNATION_SEEDS=A..B` sets
//! the seeds; a seed is reproducible.

mod fleet_world;

use fleet_world::{Behavior, DEADLINE, HEARTBEAT, World};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::BTreeMap;
use std::ops::Range;
use std::time::Duration;
use topazmount_control::{
    Availability, Document, FleetRequest, FleetResponse, InstanceReport, Response,
};
use topazmount_types::{Start, Time};

const REPLICAS: u64 = 7;
/// Default seeds.
const SEEDS: Range<u64> = 0..60;
/// Events per run.
const STEPS: usize = 60;
/// Interval between two checks.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Time within which a replica is registered after its heartbeat.
const REGISTRATION_TIME: Duration = Duration::from_secs(1);
/// Time for the leader to recover and to give orders, which takes a lease.
const LEADER_RECOVERY: Duration = Duration::from_secs(6);

/// An event.
#[derive(Clone, Copy, Debug)]
enum Event {
    /// A replica crashes and restarts shortly after, with the same or older weights.
    Restart,
    /// The same, after an order to it was delayed; the next incarnation carries it out.
    RestartWithLateOrder,
    /// A delayed heartbeat arrives.
    LateHeartbeat,
    /// An external writer uses a replica's identifier.
    ExternalWriter,
    /// A newer version is published.
    Publish,
    /// The leader changes; the next one has only the log.
    ChangeLeader,
    /// Nothing happens for a while.
    Wait,
}

const EVENTS: [Event; 9] = [
    Event::Restart,
    Event::Restart,
    Event::RestartWithLateOrder,
    Event::LateHeartbeat,
    Event::LateHeartbeat,
    Event::ExternalWriter,
    Event::Publish,
    Event::ChangeLeader,
    Event::Wait,
];

struct Scenario {
    world: World,
    rng: ChaCha8Rng,
    old_heartbeats: Vec<InstanceReport>,
    newest: u32,
    /// When each version was acknowledged.
    published: Vec<(u32, Time)>,
    /// Stopped replicas: when they restart, and with which version.
    down: BTreeMap<String, (Time, u32)>,
    /// When the leader last changed.
    leader_changed_at: Time,
    starts: u64,
}

impl Scenario {
    fn new(seed: u64) -> Self {
        let mut world = World::new(0);
        world.run_for(Duration::from_secs(2));
        let services = vec!["pool".to_owned()];
        let document = Document {
            version: 1,
            bytes: Vec::new(),
            services,
            routing: None,
            longest_stream: None,
        };
        let response = world.ask(FleetRequest::PutDocument(document));
        assert_eq!(response, Response::Fleet(FleetResponse::Done));
        (0..REPLICAS).for_each(|number| world.add_started(&id(number), 1_000 + number));
        world.run_for(Duration::from_secs(10));
        let leader_changed_at = world.now;
        Scenario {
            world,
            rng: ChaCha8Rng::seed_from_u64(seed),
            old_heartbeats: Vec::new(),
            newest: 1,
            published: Vec::new(),
            down: BTreeMap::new(),
            leader_changed_at,
            starts: 10_000,
        }
    }

    fn random_replica(&mut self) -> String {
        id(self.rng.random_range(0..REPLICAS))
    }

    fn apply_random_event(&mut self) {
        match EVENTS[self.rng.random_range(0..EVENTS.len())] {
            Event::Restart => self.crash_random_replica(),
            Event::RestartWithLateOrder => {
                let id = self.random_replica();
                self.world.replicas.get_mut(&id).unwrap().behavior = Behavior::LateOnce;
                self.run_for(Duration::from_millis(1_500));
                self.crash_replica(id);
            }
            Event::LateHeartbeat => {
                if !self.old_heartbeats.is_empty() {
                    let position = self.rng.random_range(0..self.old_heartbeats.len());
                    let late = self.old_heartbeats.swap_remove(position);
                    self.world.send(FleetRequest::Heartbeat(late));
                }
            }
            Event::ExternalWriter => {
                let id = self.random_replica();
                let mut report = self.world.next_heartbeat(&id);
                self.world.replicas.get_mut(&id).unwrap().count -= 1;
                match self.rng.random_range(0..3) {
                    0 => report.instance.service = "nobody".to_owned(),
                    1 => report.instance.address = "elsewhere:1".to_owned(),
                    _ => {
                        report.instance.service = "nobody".to_owned();
                        report.instance.start = Start(u64::MAX);
                    }
                }
                self.world.send(FleetRequest::Heartbeat(report));
            }
            Event::Publish => {
                self.newest += 1;
                self.world.publish(self.newest);
                self.published.push((self.newest, self.world.now));
            }
            Event::ChangeLeader => {
                self.world.change_leader();
                self.leader_changed_at = self.world.now;
            }
            Event::Wait => self.run_for(Duration::from_secs(2)),
        }
        let pause = Duration::from_millis(self.rng.random_range(0..700));
        self.run_for(pause);
    }

    fn crash_random_replica(&mut self) {
        let id = self.random_replica();
        self.crash_replica(id);
    }

    fn crash_replica(&mut self, id: String) {
        let replica = self.world.replicas.get_mut(&id).unwrap();
        replica.is_silent = true;
        let version = self.rng.random_range(1..=replica.version);
        let down = Duration::from_millis(self.rng.random_range(50..2_500));
        // Its earlier heartbeat may arrive later.
        let heartbeat = self.world.next_heartbeat(&id);
        self.old_heartbeats.push(heartbeat);
        self.down.insert(id, (self.world.now + down, version));
    }

    fn run_for(&mut self, time: Duration) {
        let end = self.world.now + time;
        while self.world.now < end {
            self.world.run_for(CHECK_INTERVAL);
            let now = self.world.now;
            let due: Vec<String> = self
                .down
                .iter()
                .filter(|(_, (at, _))| now >= *at)
                .map(|(id, _)| id.clone())
                .collect();
            for id in due {
                let (_, version) = self.down.remove(&id).unwrap();
                self.starts += 1;
                self.world.restart(&id, self.starts, version);
            }
            self.check();
        }
    }

    /// No request begins on weights older than the deadline allows. Such a replica is excluded, or
    /// recorded with other weights, so that it refuses requests for these.
    fn check(&mut self) {
        let now = self.world.now;
        if now < self.leader_changed_at + LEADER_RECOVERY {
            return;
        }
        let is_past_deadline = |published: &&(u32, Time)| {
            now >= published.1.max(self.leader_changed_at + LEADER_RECOVERY) + DEADLINE
        };
        let Some((oldest, _)) = self.published.iter().rfind(is_past_deadline).copied() else {
            return;
        };
        let view = self.world.view();
        let statuses = view.statuses.map(|(_, statuses)| statuses).unwrap_or_default();
        for status in statuses {
            let replica = &self.world.replicas[&status.id];
            let is_down = self.down.contains_key(&status.id);
            let is_recorded = status.start == replica.start
                && status.models.iter().any(|loaded| loaded.version == replica.version);
            let is_available = status.availability != Availability::Excluded;
            assert!(
                is_down || !is_available || !is_recorded || replica.version >= oldest,
                "{} has version {} and is available past the deadline of {oldest}, at {now}",
                status.id,
                replica.version
            );
        }
    }

    /// Whether a replica is registered with its start.
    fn is_registered(&self, id: &str) -> bool {
        let known = self.world.member.state().fleet.instances().get(id);
        known.is_some_and(|known| known.start == self.world.replicas[id].start)
    }
}

fn id(number: u64) -> String {
    format!("r{number:02}")
}

fn seeds() -> Range<u64> {
    let Ok(text) = std::env::var("INCARNATION_SEEDS") else { return SEEDS };
    let (from, to) = text.split_once("..").expect("A..B");
    from.parse().unwrap()..to.parse().unwrap()
}

#[test]
fn state_of_an_earlier_incarnation_is_not_applied_to_a_later_one() {
    for seed in seeds() {
        let mut scenario = Scenario::new(seed);
        for _ in 0..STEPS {
            scenario.apply_random_event();
        }
        scenario.run_for(Duration::from_secs(3));
        // No replica is lost, and each is registered soon after its heartbeat.
        scenario.run_for(HEARTBEAT + REGISTRATION_TIME + LEADER_RECOVERY);
        for number in 0..REPLICAS {
            let id = id(number);
            assert!(scenario.is_registered(&id), "seed {seed}: {id} is not registered");
        }
        scenario.run_for(DEADLINE + LEADER_RECOVERY);
        let newest = scenario.newest;
        for number in 0..REPLICAS {
            let id = id(number);
            let version = scenario.world.replicas[&id].version;
            assert_eq!(version, newest, "seed {seed}: {id} has older weights");
            let status = scenario.world.status(&id);
            let reported = status.models.first().map(|replica| replica.version);
            assert_eq!(
                reported,
                Some(newest),
                "seed {seed}: {id} is reported with another version"
            );
            assert_eq!(status.availability, Availability::Available, "seed {seed}: {id}");
        }
    }
}

/// This must hold whichever member leads.
#[test]
fn a_restarted_replica_is_registered_within_a_second_of_its_heartbeat() {
    let mut scenario = Scenario::new(1);
    for start in 0..20 {
        let id = id(start % REPLICAS);
        scenario.world.restart(&id, 50_000 + start, 1);
        scenario.world.heartbeat(&id);
        scenario.world.run_for(REGISTRATION_TIME);
        assert!(scenario.is_registered(&id), "{id} after start {start}");
    }
}
