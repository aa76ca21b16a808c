//! Disks are lost while all other machines lose power at the same moment, right after a change was
//! acknowledged. Seeds: `POWER_LOSS_SEEDS=A..B`.

mod common;

use common::{Host, World};
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::BTreeMap;
use std::time::Duration;
use topazmount_control::{FleetRequest, FleetResponse, Request, Response};
use topazmount_types::Time;

const SEEDS: std::ops::Range<u64> = 1..80;
const MEMBERS: Host = 5;
/// Disks that may be lost at a time.
const MAX_LOST_DISKS: usize = 2;
/// Times that power is lost in a run.
const ROUNDS: usize = 4;
/// Longest time until a machine is back.
const MAX_DOWN_MS: u64 = 3_000;
/// Time within which a group accepts changes after all machines are back (`recover_s`).
const RECOVER: Duration = Duration::from_secs(12);
/// Time after which a member with an empty disk no longer counts as lost (`catch_up_s`).
const CATCH_UP: Duration = Duration::from_secs(4);
/// Longest part of unsynced bytes that reach a disk, in bytes.
const MAX_TORN: usize = 200;
const MODEL: &str = "model";

struct Run {
    world: World,
    rng: ChaCha8Rng,
    acknowledged: u32,
    history: Vec<String>,
}

impl Run {
    fn new(seed: u64) -> Self {
        let hosts: Vec<Host> = (1..=MEMBERS).collect();
        let mut world = World::with_founders(&hosts[..3], &hosts, seed);
        world.run(Duration::from_secs(14));
        let rng = ChaCha8Rng::seed_from_u64(seed);
        Run { world, rng, acknowledged: 0, history: Vec::new() }
    }

    /// Version that the leader holds.
    fn version(&self, leader: Host) -> u32 {
        let member = self.world.member(leader);
        member.and_then(|one| one.state().fleet.weights().get(MODEL).copied()).unwrap_or(0)
    }

    /// Sends a change to the leader; returns whether it was acknowledged within some ticks.
    fn change(&mut self) -> bool {
        let Some(leader) = self.world.leader() else { return false };
        let version = self.acknowledged + 1;
        let request = FleetRequest::PublishWeights { model: MODEL.to_owned(), version };
        let Some(token) = self.world.request(leader, Request::Fleet(request)) else { return false };
        for _ in 0..10 {
            self.world.run(Duration::from_millis(10));
            let response = self.world.take_response(token);
            if matches!(response, Some(Response::Fleet(FleetResponse::Done))) {
                self.acknowledged = version;
                return true;
            }
        }
        false
    }

    /// All machines stop at this moment, and some of them lose their disks.
    fn lose_power(&mut self) {
        let hosts = self.world.hosts();
        let lost_count = self.rng.random_range(0..=MAX_LOST_DISKS);
        let lost: Vec<Host> = hosts.choose_multiple(&mut self.rng, lost_count).copied().collect();
        for host in &hosts {
            let torn = self.rng.random_range(0..MAX_TORN);
            match lost.contains(host) {
                true => self.world.wipe(*host),
                false => self.world.lose_power(*host, torn),
            }
        }
        self.history.push(format!("{} power lost, disks lost {lost:?}", self.world.now));
        let mut starts: BTreeMap<Host, Time> = BTreeMap::new();
        for host in hosts {
            let down = Duration::from_millis(self.rng.random_range(0..MAX_DOWN_MS));
            starts.insert(host, self.world.now + down);
        }
        while !starts.is_empty() {
            self.world.run(Duration::from_millis(10));
            let now = self.world.now;
            let due: Vec<Host> =
                starts.iter().filter(|(_, at)| now >= **at).map(|(host, _)| *host).collect();
            for host in due {
                starts.remove(&host);
                self.world.start(host);
            }
        }
    }

    /// The group must accept changes in time, and hold everything that was acknowledged.
    fn check_recovery(&mut self) {
        let end = self.world.now + RECOVER;
        loop {
            if let Some(leader) = self.world.leader() {
                let version = self.version(leader);
                assert!(
                    version >= self.acknowledged,
                    "{leader} leads with {version}, {} was acknowledged; {}",
                    self.acknowledged,
                    self.trace()
                );
            }
            if self.change() {
                break;
            }
            assert!(self.world.now < end, "no change is accepted; {}", self.trace());
            self.world.run(Duration::from_millis(20));
        }
        self.world.run(CATCH_UP);
    }

    fn trace(&self) -> String {
        format!("{}\ndone: {}", self.world.trace(), self.history.join("; "))
    }
}

fn run_seed(seed: u64) {
    let mut run = Run::new(seed);
    for _ in 0..ROUNDS {
        for _ in 0..run.rng.random_range(1..4) {
            run.change();
        }
        // Often right after an acknowledgement, otherwise amid a change.
        let wait_ms = if run.rng.random_bool(0.5) { 0 } else { run.rng.random_range(0..60) };
        if wait_ms > 0
            && let Some(leader) = run.world.leader()
        {
            let version = run.acknowledged + 1;
            let request = FleetRequest::PublishWeights { model: MODEL.to_owned(), version };
            run.world.request(leader, Request::Fleet(request));
            run.world.run(Duration::from_millis(wait_ms));
        }
        run.lose_power();
        run.check_recovery();
    }
}

#[test]
fn acknowledged_changes_are_lost_when_disks_and_power_are_lost_together() {
    let seeds = std::env::var("POWER_LOSS_SEEDS").ok().map_or(SEEDS, |text| {
        let bounds = text.split_once("..").map(|(from, to)| (from.parse(), to.parse()));
        let Some((Ok(from), Ok(to))) = bounds else { panic!("POWER_LOSS_SEEDS: {text}, not A..B") };
        from..to
    });
    let mut failed = Vec::new();
    for seed in seeds {
        if let Err(panic) = std::panic::catch_unwind(|| run_seed(seed)) {
            let panic = panic.downcast_ref::<String>().map_or("", String::as_str);
            eprintln!("seed {seed}: {panic}");
            failed.push(seed);
        }
    }
    assert!(failed.is_empty(), "seeds {failed:?}");
}
