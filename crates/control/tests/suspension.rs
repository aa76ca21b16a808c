//! Machines that are suspended for seconds. Leases need a clock that counts this time; with a clock
//! that stops, the checks here must fail.

mod common;

use common::{Host, World};
use proptest::prelude::*;
use std::collections::BTreeMap;
use std::time::Duration;
use topazmount_control::{
    Document, FleetRequest, FleetResponse, Request, Response, SeenVersions, Token, WatchRequest,
};
use topazmount_types::Time;

const HOSTS: [Host; 3] = [1, 2, 3];
/// Time within which a group has a leader.
const ELECTION_TIME: Duration = Duration::from_secs(8);

/// One step of a sequence.
#[derive(Clone, Copy, Debug)]
enum Step {
    /// Suspends the leader right after it received messages.
    SuspendLeader,
    Suspend(Host),
    ResumeAll,
    CutLeader,
    Heal,
    Restart(Host),
    Change,
    Read(Host),
    Pass(u64),
}

/// The group, and the changes and reads to check.
struct Scenario {
    world: World,
    next_version: u64,
    changes: BTreeMap<Token, u64>,
    /// Reads, with the newest acknowledged version when they were sent.
    reads: BTreeMap<Token, u64>,
    acknowledged: u64,
    /// When each version was first acknowledged.
    acknowledged_at: Vec<(Time, u64)>,
    violations: Vec<String>,
}

impl Scenario {
    fn new(do_clocks_stop: bool) -> Self {
        let mut world = World::new(&HOSTS);
        world.do_clocks_stop = do_clocks_stop;
        world.run_until("a leader", ELECTION_TIME, |world| world.leader().is_some());
        Scenario {
            world,
            next_version: 1,
            changes: BTreeMap::new(),
            reads: BTreeMap::new(),
            acknowledged: 0,
            acknowledged_at: Vec::new(),
            violations: Vec::new(),
        }
    }

    fn apply(&mut self, step: Step) {
        match step {
            Step::SuspendLeader => {
                if let Some(leader) = self.world.leader() {
                    self.world.suspend(leader);
                }
            }
            Step::Suspend(host) => self.world.suspend(host),
            Step::ResumeAll => self.resume_all(),
            Step::CutLeader => {
                if let Some(leader) = self.world.leader() {
                    HOSTS.iter().for_each(|host| self.world.cut(leader, *host));
                }
            }
            Step::Heal => self.world.heal(),
            Step::Restart(host) => {
                self.world.kill(host);
                self.world.start(host);
            }
            Step::Change => self.change(),
            Step::Read(host) => {
                let token = self.world.request(host, Request::Fleet(FleetRequest::ReadDocument));
                self.reads.extend(token.map(|token| (token, self.acknowledged)));
            }
            Step::Pass(millis) => self.pass(Duration::from_millis(millis)),
        }
        self.collect();
    }

    fn change(&mut self) {
        for host in HOSTS {
            let version = self.next_version;
            let document = Document { version, ..Document::default() };
            let request = Request::Fleet(FleetRequest::PutDocument(document));
            if let Some(token) = self.world.request(host, request) {
                self.changes.insert(token, version);
                self.next_version += 1;
            }
        }
    }

    /// Each machine first sees a read, and then a watch request.
    fn resume_all(&mut self) {
        for host in HOSTS {
            let read = Request::Fleet(FleetRequest::ReadDocument);
            let Some(token) = self.world.resume(host, read) else { continue };
            self.reads.insert(token, self.acknowledged);
            self.collect();
            self.check_watch(host);
        }
    }

    fn check_watch(&mut self, host: Host) {
        let watch = WatchRequest {
            gateway: None,
            seen: SeenVersions::default(),
            accepts_packed: false,
            wants_gateways: false,
            wait: Duration::ZERO,
            crashes: Default::default(),
            notices: Vec::new(),
        };
        let token = self.world.request(host, Request::Fleet(FleetRequest::Watch(watch)));
        let response = token.and_then(|token| self.world.take_response(token));
        let Some(Response::Fleet(FleetResponse::View(view))) = response else { return };
        let Some(staleness) = view.staleness else { return };
        let known_until = self.world.now - staleness;
        let before = self.acknowledged_at.iter().filter(|(at, _)| *at < known_until);
        let expected = before.map(|(_, version)| *version).max().unwrap_or(0);
        let version = view.document.map_or(0, |document| document.version);
        if version < expected {
            self.violations.push(format!("{host} returned {version}, {expected} was acknowledged"));
        }
    }

    fn pass(&mut self, time: Duration) {
        let end = self.world.now + time;
        while self.world.now < end {
            self.world.run(Duration::from_millis(10));
            self.collect();
        }
    }

    fn collect(&mut self) {
        let leaders = self.world.leaders();
        if leaders.len() > 1 {
            self.violations.push(format!("{leaders:?} lead at {}", self.world.now));
        }
        for (token, version) in std::mem::take(&mut self.changes) {
            match self.world.take_response(token) {
                Some(Response::Fleet(FleetResponse::Done)) => {
                    self.acknowledged = self.acknowledged.max(version);
                    self.acknowledged_at.push((self.world.now, version));
                }
                Some(_) => {}
                None => drop(self.changes.insert(token, version)),
            }
        }
        for (token, expected) in std::mem::take(&mut self.reads) {
            match self.world.take_response(token) {
                Some(Response::Fleet(FleetResponse::Document(document))) => {
                    let version = document.map_or(0, |document| document.version);
                    if version < expected {
                        self.violations
                            .push(format!("read {version}, {expected} was acknowledged"));
                    }
                }
                Some(_) => {}
                None => drop(self.reads.insert(token, expected)),
            }
        }
    }
}

/// A leader is suspended and resumed after the others have elected another one and accepted a
/// change.
fn suspended_leader(do_clocks_stop: bool) -> Scenario {
    let mut scenario = Scenario::new(do_clocks_stop);
    scenario.apply(Step::Change);
    scenario.apply(Step::Pass(500));
    let first = scenario.world.leader().unwrap();
    scenario.apply(Step::SuspendLeader);
    scenario.world.run_until("another leader", ELECTION_TIME, |world| {
        world.leader().is_some_and(|leader| leader != first)
    });
    scenario.apply(Step::Change);
    scenario.apply(Step::Pass(500));
    scenario.apply(Step::ResumeAll);
    scenario.apply(Step::Pass(2_000));
    assert!(scenario.acknowledged > 1);
    scenario
}

cases! {
    a_resumed_leader_returns_no_stale_data => {
        assert_eq!(suspended_leader(false).violations, [""; 0]);
    }

    /// The checks must detect the fault.
    a_clock_stopped_by_suspension_breaks_guarantees => {
        let violations = suspended_leader(true).violations;
        assert!(violations.iter().any(|what| what.starts_with("read")), "{violations:?}");
    }
}

fn any_step() -> impl Strategy<Value = Step> {
    prop_oneof![
        3 => Just(Step::SuspendLeader),
        1 => (1u8..4).prop_map(Step::Suspend),
        3 => Just(Step::ResumeAll),
        1 => Just(Step::CutLeader),
        2 => Just(Step::Heal),
        1 => (1u8..4).prop_map(Step::Restart),
        4 => Just(Step::Change),
        3 => (1u8..4).prop_map(Step::Read),
        6 => (10u64..2_500).prop_map(Step::Pass),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(300))]

    #[test]
    fn suspensions_break_no_guarantee(steps in prop::collection::vec(any_step(), 10..40)) {
        let mut scenario = Scenario::new(false);
        steps.into_iter().for_each(|step| scenario.apply(step));
        scenario.apply(Step::Heal);
        scenario.apply(Step::ResumeAll);
        scenario.world.run_until("a leader", ELECTION_TIME, |world| world.leader().is_some());
        let leader = scenario.world.leader().unwrap();
        scenario.apply(Step::Pass(1_000));
        scenario.apply(Step::Read(leader));
        scenario.apply(Step::Pass(500));
        prop_assert!(scenario.violations.is_empty(), "{:?}", scenario.violations);
        let version = scenario.world.member(leader).unwrap().state().fleet.document_version();
        prop_assert!(version >= scenario.acknowledged, "a change is lost");
    }
}
