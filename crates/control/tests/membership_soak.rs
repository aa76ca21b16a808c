//! Random overlapping faults in a group of five that loses no more disks at a time than it
//! tolerates. It must recover afterwards. Seeds: `CONTROL_SOAK_SEEDS=A..B`.

mod common;

use common::{Host, World};
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::BTreeMap;
use std::time::Duration;
use topazmount_control::{FleetRequest, FleetResponse, Request, Response};
use topazmount_types::Time;

/// Default seeds.
const SEEDS: std::ops::Range<u64> = 1..60;
/// Members of a group; the first three are founders.
const MEMBERS: Host = 5;
/// Maximum number of disks lost at a time.
const MAX_LOST_DISKS: usize = 2;
/// Time without faults within which a new member, or one with an empty disk, becomes a voter
/// (`catch_up_s`).
const CATCH_UP: Duration = Duration::from_secs(4);
/// Time within which a group accepts changes after all members are back (`recover_s`).
const RECOVER: Duration = Duration::from_secs(12);
/// Faults per run.
const STEPS: usize = 60;
const MODEL: &str = "model";

/// A fault.
#[derive(Clone, Copy, Debug)]
enum Fault {
    Kill,
    /// The process is killed within one of its next writes, and maybe in its start.
    KillInWrite,
    KillAll,
    Wipe,
    Replace,
    Freeze,
    Cut,
    Seeds,
}

const FAULTS: [Fault; 10] = [
    Fault::Kill,
    Fault::Kill,
    Fault::KillAll,
    Fault::Wipe,
    Fault::Wipe,
    Fault::Wipe,
    Fault::Replace,
    Fault::Freeze,
    Fault::Cut,
    Fault::Seeds,
];

/// Faults with processes that end within their writes.
const FAULTS_IN_WRITES: [Fault; 10] = [
    Fault::KillInWrite,
    Fault::KillInWrite,
    Fault::KillInWrite,
    Fault::Kill,
    Fault::KillAll,
    Fault::Wipe,
    Fault::Replace,
    Fault::Freeze,
    Fault::Cut,
    Fault::Seeds,
];
/// Steps of the disk after which such a process ends; more than a start takes.
const MAX_STEPS: u32 = 14;
/// Longest part of a write that is cut, in bytes.
const MAX_WRITTEN: usize = 200;

struct Soak {
    world: World,
    rng: ChaCha8Rng,
    /// Stopped machines, and when they start again.
    starts: BTreeMap<Host, Time>,
    thaws: BTreeMap<Host, Time>,
    heal_at: Option<Time>,
    /// Machines with a lost disk, and since when there have been no faults.
    lost: BTreeMap<Host, Option<Time>>,
    next_host: Host,
    acknowledged: u32,
    history: Vec<String>,
}

impl Soak {
    fn new(seed: u64) -> Self {
        let hosts: Vec<Host> = (1..=MEMBERS).collect();
        let mut world = World::with_founders(&hosts[..3], &hosts, seed);
        world.run(Duration::from_secs(14));
        Soak {
            world,
            rng: ChaCha8Rng::seed_from_u64(seed),
            starts: BTreeMap::new(),
            thaws: BTreeMap::new(),
            heal_at: None,
            lost: BTreeMap::new(),
            next_host: MEMBERS + 1,
            acknowledged: 0,
            history: Vec::new(),
        }
    }

    fn random_time(&mut self, max_ms: u64) -> Duration {
        Duration::from_millis(self.rng.random_range(10..max_ms))
    }

    fn random_running(&mut self) -> Option<Host> {
        let up: Vec<Host> =
            self.world.hosts().into_iter().filter(|host| self.world.is_up(*host)).collect();
        up.choose(&mut self.rng).copied()
    }

    /// Whether all machines run without faults.
    fn is_calm(&self) -> bool {
        self.starts.is_empty() && self.thaws.is_empty() && self.heal_at.is_none()
    }

    fn may_lose_disk(&self, host: Host) -> bool {
        self.lost.contains_key(&host) || self.lost.len() < MAX_LOST_DISKS
    }

    fn inject(&mut self, fault: Fault) {
        let Some(host) = self.random_running() else { return };
        let now = self.world.now;
        match fault {
            Fault::Kill => {
                self.world.kill(host);
                let down = self.random_time(4_000);
                self.starts.insert(host, now + down);
            }
            Fault::KillInWrite => {
                let steps = self.rng.random_range(0..MAX_STEPS);
                let written = self.rng.random_range(0..MAX_WRITTEN);
                self.world.kill_in_write(host, steps, written);
            }
            Fault::KillAll => {
                for host in self.world.hosts() {
                    self.world.kill(host);
                    let down = self.random_time(1_500);
                    self.starts.entry(host).or_insert(now + down);
                }
            }
            Fault::Wipe if self.may_lose_disk(host) => {
                self.world.wipe(host);
                self.lost.insert(host, None);
                let down = self.random_time(2_000);
                self.starts.insert(host, now + down);
            }
            Fault::Replace if self.may_lose_disk(host) => {
                let successor = self.next_host;
                self.next_host += 1;
                self.world.remove(host);
                self.lost.remove(&host);
                self.lost.insert(successor, None);
                let seeds = self.random_seeds();
                self.world.set_seeds(successor, &seeds);
                let down = self.random_time(2_000);
                self.starts.insert(successor, now + down);
            }
            Fault::Freeze => {
                self.world.freeze(host);
                let time = self.random_time(5_000);
                self.thaws.insert(host, now + time);
            }
            Fault::Cut => {
                for other in self.world.hosts().into_iter().filter(|other| *other != host) {
                    if self.rng.random_bool(0.7) {
                        self.world.cut(host, other);
                    }
                }
                let time = self.random_time(5_000);
                self.heal_at = Some(now + time);
            }
            Fault::Seeds => {
                let seeds = self.random_seeds();
                self.world.set_seeds(host, &seeds);
            }
            Fault::Wipe | Fault::Replace => return,
        }
        self.history.push(format!("{now} {fault:?} {host}"));
    }

    /// Seeds of three existing machines.
    fn random_seeds(&mut self) -> Vec<Host> {
        let hosts = self.world.hosts();
        hosts.choose_multiple(&mut self.rng, 3).copied().collect()
    }

    /// Lets time pass, and ends the faults that are due.
    fn pass(&mut self, time: Duration) {
        let until = self.world.now + time;
        while self.world.now < until {
            self.world.run(Duration::from_millis(50));
            let now = self.world.now;
            for host in due(&mut self.starts, now) {
                self.world.start(host);
            }
            self.start_ended();
            for host in due(&mut self.thaws, now) {
                self.world.thaw(host);
            }
            if self.heal_at.is_some_and(|at| now >= at) {
                self.heal_at = None;
                self.world.heal();
            }
            self.change();
            self.expire_lost_disks();
        }
    }

    /// Processes that ended within a write start again.
    fn start_ended(&mut self) {
        for host in self.world.hosts() {
            if !self.world.is_up(host) && !self.starts.contains_key(&host) {
                self.thaws.remove(&host);
                let down = self.random_time(4_000);
                self.starts.insert(host, self.world.now + down);
            }
        }
    }

    /// A lost disk counts until there have been no faults for `CATCH_UP`.
    fn expire_lost_disks(&mut self) {
        let (now, is_calm) = (self.world.now, self.is_calm());
        for since in self.lost.values_mut() {
            *since = if is_calm { since.or(Some(now)) } else { None };
        }
        self.lost.retain(|_, since| since.is_none_or(|since| now < since + CATCH_UP));
    }

    /// Sends a change to the leader; acknowledged changes must last.
    fn change(&mut self) -> bool {
        let Some(leader) = self.world.leader() else { return false };
        let version = self
            .world
            .member(leader)
            .and_then(|member| member.state().fleet.weights().get(MODEL).copied());
        // The leader has committed an entry of its term, so it has all acknowledged changes.
        assert!(
            version.unwrap_or(0) >= self.acknowledged,
            "{leader} leads with {version:?} after {} was acknowledged; {}",
            self.acknowledged,
            self.trace()
        );
        let version = self.acknowledged + 1;
        let request = FleetRequest::PublishWeights { model: MODEL.to_owned(), version };
        let Some(token) = self.world.request(leader, Request::Fleet(request)) else { return false };
        self.world.run(Duration::from_millis(40));
        let is_done =
            matches!(self.world.take_response(token), Some(Response::Fleet(FleetResponse::Done)));
        if is_done {
            self.acknowledged = version;
        }
        is_done
    }

    /// Ends all faults, and checks that the group recovers.
    fn end_faults_and_check(&mut self) {
        self.world.kill_none_in_write();
        while !self.is_calm() {
            self.pass(Duration::from_millis(100));
        }
        let end = self.world.now + RECOVER;
        while !self.change() {
            assert!(self.world.now < end, "no change is accepted; {}", self.trace());
            self.pass(Duration::from_millis(50));
        }
        let hosts = self.world.hosts();
        let end = self.world.now + CATCH_UP;
        while !hosts.iter().all(|host| self.world.is_voter(*host))
            || self.world.voters() != hosts.len()
        {
            let missing: Vec<&Host> =
                hosts.iter().filter(|host| !self.world.is_voter(**host)).collect();
            assert!(
                self.world.now < end,
                "{missing:?} are not voters, {} voters for {} machines; {}",
                self.world.voters(),
                hosts.len(),
                self.trace()
            );
            self.pass(Duration::from_millis(50));
        }
        self.lost.clear();
    }

    fn trace(&self) -> String {
        format!("{}\ndone: {}", self.world.trace(), self.history.join("; "))
    }
}

fn due(times: &mut BTreeMap<Host, Time>, now: Time) -> Vec<Host> {
    let due: Vec<Host> =
        times.iter().filter(|(_, at)| now >= **at).map(|(host, _)| *host).collect();
    for host in &due {
        times.remove(host);
    }
    due
}

fn run_seed(seed: u64, faults: &[Fault]) {
    let mut soak = Soak::new(seed);
    for step in 0..STEPS {
        let fault = *faults.choose(&mut soak.rng).expect("the list is not empty");
        soak.inject(fault);
        // Most faults begin before the last one is repaired.
        let pause = soak.random_time(if step % 4 == 3 { 6_000 } else { 1_500 });
        soak.pass(pause);
        if step % 15 == 14 {
            soak.end_faults_and_check();
        }
    }
}

fn seeds() -> std::ops::Range<u64> {
    let Ok(text) = std::env::var("CONTROL_SOAK_SEEDS") else { return SEEDS };
    let bounds = text.split_once("..").map(|(from, to)| (from.parse(), to.parse()));
    let Some((Ok(from), Ok(to))) = bounds else { panic!("CONTROL_SOAK_SEEDS: {text}, not A..B") };
    from..to
}

fn run_seeds(faults: &[Fault]) {
    let failed: Vec<u64> = seeds()
        .filter(|seed| {
            let result = std::panic::catch_unwind(|| run_seed(*seed, faults));
            if let Err(panic) = &result {
                let panic = panic.downcast_ref::<String>().map_or("", String::as_str);
                eprintln!("seed {seed}: {panic}");
            }
            result.is_err()
        })
        .collect();
    assert!(failed.is_empty(), "seeds {failed:?}");
}

#[test]
fn a_group_recovers_after_any_tolerable_fault_sequence() {
    run_seeds(&FAULTS);
}

/// Members killed in their writes and starts come back, and lose nothing that was acknowledged.
#[test]
fn a_group_recovers_after_ends_within_writes() {
    run_seeds(&FAULTS_IN_WRITES);
}
