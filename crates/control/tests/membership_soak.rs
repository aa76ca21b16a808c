//! Random series of lost disks, replaced machines, ends, freezes and cuts, which overlap: a group of
//! five never loses more disks at a time than it bears, and must answer again, whole, when it is left
//! in peace. Seeds: `CONTROL_SOAK_SEEDS=A..B`.

mod common;

use common::{Host, World};
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::BTreeMap;
use std::time::Duration;
use topazmount_control::{FleetRequest, FleetResponse, Request, Response};
use topazmount_types::Time;

/// Seeds of a run without a choice.
const SEEDS: std::ops::Range<u64> = 1..60;
/// Members of a group, of which the first three found it.
const MEMBERS: Host = 5;
/// Disks that may be lost at a time.
const TOLERANCE: usize = 2;
/// Time that a new member, or one with an empty disk, is given in peace (`catch_up_s`).
const CATCH_UP: Duration = Duration::from_secs(4);
/// Time within which a group answers again after all its members are back (`recover_s`).
const RECOVER: Duration = Duration::from_secs(12);
/// Steps of a run.
const STEPS: usize = 60;
const MODEL: &str = "model";

/// What is done to a machine.
#[derive(Clone, Copy, Debug)]
enum Trouble {
    Kill,
    KillAll,
    Wipe,
    Replace,
    Freeze,
    Cut,
    Seeds,
}

const TROUBLES: [Trouble; 10] = [
    Trouble::Kill,
    Trouble::Kill,
    Trouble::KillAll,
    Trouble::Wipe,
    Trouble::Wipe,
    Trouble::Wipe,
    Trouble::Replace,
    Trouble::Freeze,
    Trouble::Cut,
    Trouble::Seeds,
];

struct Soak {
    world: World,
    rng: ChaCha8Rng,
    /// Machines that are down, and when they start again.
    starts: BTreeMap<Host, Time>,
    thaws: BTreeMap<Host, Time>,
    heal_at: Option<Time>,
    /// Machines whose disk was lost, with the time from which they had peace to be made up for.
    lost: BTreeMap<Host, Option<Time>>,
    next_host: Host,
    acknowledged: u32,
    history: Vec<String>,
}

impl Soak {
    fn new(seed: u64) -> Self {
        let hosts: Vec<Host> = (1..=MEMBERS).collect();
        let mut world = World::found_with(&hosts[..3], &hosts, seed);
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

    fn some_time(&mut self, most_ms: u64) -> Duration {
        Duration::from_millis(self.rng.random_range(10..most_ms))
    }

    fn any_up(&mut self) -> Option<Host> {
        let up: Vec<Host> =
            self.world.hosts().into_iter().filter(|h| self.world.is_up(*h)).collect();
        up.choose(&mut self.rng).copied()
    }

    /// Whether all machines run, reach one another and do not stand still.
    fn is_calm(&self) -> bool {
        self.starts.is_empty() && self.thaws.is_empty() && self.heal_at.is_none()
    }

    fn may_lose_disk(&self, host: Host) -> bool {
        self.lost.contains_key(&host) || self.lost.len() < TOLERANCE
    }

    fn trouble(&mut self, trouble: Trouble) {
        let Some(host) = self.any_up() else { return };
        let now = self.world.now;
        match trouble {
            Trouble::Kill => {
                self.world.kill(host);
                let down = self.some_time(4_000);
                self.starts.insert(host, now + down);
            }
            Trouble::KillAll => {
                for host in self.world.hosts() {
                    self.world.kill(host);
                    let down = self.some_time(1_500);
                    self.starts.entry(host).or_insert(now + down);
                }
            }
            Trouble::Wipe if self.may_lose_disk(host) => {
                self.world.wipe(host);
                self.lost.insert(host, None);
                let down = self.some_time(2_000);
                self.starts.insert(host, now + down);
            }
            Trouble::Replace if self.may_lose_disk(host) => {
                let successor = self.next_host;
                self.next_host += 1;
                self.world.remove(host);
                self.lost.remove(&host);
                self.lost.insert(successor, None);
                let seeds = self.some_seeds();
                self.world.name_seeds(successor, &seeds);
                let down = self.some_time(2_000);
                self.starts.insert(successor, now + down);
            }
            Trouble::Freeze => {
                self.world.freeze(host);
                let time = self.some_time(5_000);
                self.thaws.insert(host, now + time);
            }
            Trouble::Cut => {
                for other in self.world.hosts().into_iter().filter(|other| *other != host) {
                    if self.rng.random_bool(0.7) {
                        self.world.cut(host, other);
                    }
                }
                let time = self.some_time(5_000);
                self.heal_at = Some(now + time);
            }
            Trouble::Seeds => {
                let seeds = self.some_seeds();
                self.world.name_seeds(host, &seeds);
            }
            Trouble::Wipe | Trouble::Replace => return,
        }
        self.history.push(format!("{now} {trouble:?} {host}"));
    }

    /// Three machines that there are: a process that nobody sends to needs one that lives.
    fn some_seeds(&mut self) -> Vec<Host> {
        let hosts = self.world.hosts();
        hosts.choose_multiple(&mut self.rng, 3).copied().collect()
    }

    /// Lets time pass, and what was due in it happen.
    fn pass(&mut self, time: Duration) {
        let until = self.world.now + time;
        while self.world.now < until {
            self.world.run(Duration::from_millis(50));
            let now = self.world.now;
            for host in due(&mut self.starts, now) {
                self.world.start(host);
            }
            for host in due(&mut self.thaws, now) {
                self.world.thaw(host);
            }
            if self.heal_at.is_some_and(|at| now >= at) {
                self.heal_at = None;
                self.world.heal();
            }
            self.change();
            self.count_peace();
        }
    }

    /// A disk that is lost counts until its machine, and all others, had peace for a while.
    fn count_peace(&mut self) {
        let (now, is_calm) = (self.world.now, self.is_calm());
        for since in self.lost.values_mut() {
            *since = if is_calm { since.or(Some(now)) } else { None };
        }
        self.lost.retain(|_, since| since.is_none_or(|since| now < since + CATCH_UP));
    }

    /// Sends a change to the leader; what it acknowledges must last.
    fn change(&mut self) -> bool {
        let Some(leader) = self.world.leader() else { return false };
        let held = self
            .world
            .member(leader)
            .and_then(|member| member.state().fleet.weights().get(MODEL).copied());
        // An entry of its term is committed, so it knows of all that was acknowledged.
        assert!(
            held.unwrap_or(0) >= self.acknowledged,
            "{leader} leads with {held:?} after {} was acknowledged; {}",
            self.acknowledged,
            self.told()
        );
        let version = self.acknowledged + 1;
        let request = FleetRequest::PublishWeights { model: MODEL.to_owned(), version };
        let Some(token) = self.world.ask(leader, Request::Fleet(request)) else { return false };
        self.world.run(Duration::from_millis(40));
        let is_done =
            matches!(self.world.answer(token), Some(Response::Fleet(FleetResponse::Done)));
        if is_done {
            self.acknowledged = version;
        }
        is_done
    }

    /// Ends all trouble, and looks whether the group is whole again.
    fn make_peace(&mut self) {
        while !self.is_calm() {
            self.pass(Duration::from_millis(100));
        }
        let end = self.world.now + RECOVER;
        while !self.change() {
            assert!(self.world.now < end, "no change is accepted any more; {}", self.told());
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
                "{missing:?} take no part, {} voters for {} machines; {}",
                self.world.voters(),
                hosts.len(),
                self.told()
            );
            self.pass(Duration::from_millis(50));
        }
        self.lost.clear();
    }

    fn told(&self) -> String {
        format!("{}\ndone: {}", self.world.told(), self.history.join("; "))
    }
}

fn due(times: &mut BTreeMap<Host, Time>, now: Time) -> Vec<Host> {
    let due: Vec<Host> = times.iter().filter(|(_, at)| now >= **at).map(|(h, _)| *h).collect();
    for host in &due {
        times.remove(host);
    }
    due
}

fn play(seed: u64) {
    let mut soak = Soak::new(seed);
    for step in 0..STEPS {
        let trouble = *TROUBLES.choose(&mut soak.rng).expect("there are some");
        soak.trouble(trouble);
        // Mostly the next blow comes while the last one is being recovered from.
        let pause = soak.some_time(if step % 4 == 3 { 6_000 } else { 1_500 });
        soak.pass(pause);
        if step % 15 == 14 {
            soak.make_peace();
        }
    }
}

fn seeds() -> std::ops::Range<u64> {
    let Ok(text) = std::env::var("CONTROL_SOAK_SEEDS") else { return SEEDS };
    let bounds = text.split_once("..").map(|(from, to)| (from.parse(), to.parse()));
    let Some((Ok(from), Ok(to))) = bounds else { panic!("CONTROL_SOAK_SEEDS: {text}, not A..B") };
    from..to
}

#[test]
fn a_group_is_whole_again_after_any_series_that_it_must_bear() {
    let failed: Vec<u64> = seeds()
        .filter(|seed| {
            let played = std::panic::catch_unwind(|| play(*seed));
            if let Err(problem) = &played {
                let problem = problem.downcast_ref::<String>().map_or("", String::as_str);
                eprintln!("seed {seed}: {problem}");
            }
            played.is_err()
        })
        .collect();
    assert!(failed.is_empty(), "seeds {failed:?}");
}
