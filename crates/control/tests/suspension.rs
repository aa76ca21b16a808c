//! Machines that are suspended for seconds while the others go on. A promise to others rests on a clock that counts that
//! time; with one that stands still a member goes on from where it stopped, and the checks here find that.

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
const SETTLING: Duration = Duration::from_secs(8);

/// One step of a series.
#[derive(Clone, Copy, Debug)]
enum Step {
    /// The leader is suspended right after it has heard from the others.
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

/// The group, and what was promised by it.
struct Story {
    world: World,
    next_version: u64,
    changes: BTreeMap<Token, u64>,
    /// Reads by the newest version that had been acknowledged when they were sent.
    reads: BTreeMap<Token, u64>,
    acknowledged: u64,
    /// When each version was acknowledged first.
    acknowledged_at: Vec<(Time, u64)>,
    broken: Vec<String>,
}

impl Story {
    fn new(do_clocks_stop: bool) -> Self {
        let mut world = World::found(&HOSTS);
        world.do_clocks_stop = do_clocks_stop;
        world.until("a leader", SETTLING, |world| world.leader().is_some());
        Story {
            world,
            next_version: 1,
            changes: BTreeMap::new(),
            reads: BTreeMap::new(),
            acknowledged: 0,
            acknowledged_at: Vec::new(),
            broken: Vec::new(),
        }
    }

    fn take(&mut self, step: Step) {
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
                let token = self.world.ask(host, Request::Fleet(FleetRequest::ReadDocument));
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
            if let Some(token) = self.world.ask(host, request) {
                self.changes.insert(token, version);
                self.next_version += 1;
            }
        }
    }

    /// A read is the first that each sees, and a gateway's request for news the second.
    fn resume_all(&mut self) {
        for host in HOSTS {
            let read = Request::Fleet(FleetRequest::ReadDocument);
            let Some(token) = self.world.resume(host, read) else { continue };
            self.reads.insert(token, self.acknowledged);
            self.collect();
            self.check_news(host);
        }
    }

    fn check_news(&mut self, host: Host) {
        let watch = WatchRequest {
            gateway: None,
            seen: SeenVersions::default(),
            wants_gateways: false,
            wait: Duration::ZERO,
            crashes: Default::default(),
        };
        let token = self.world.ask(host, Request::Fleet(FleetRequest::Watch(watch)));
        let answer = token.and_then(|token| self.world.answer(token));
        let Some(Response::Fleet(FleetResponse::View(view))) = answer else { return };
        let Some(staleness) = view.staleness else { return };
        let vouched_for = self.world.now - staleness;
        let before = self.acknowledged_at.iter().filter(|(at, _)| *at < vouched_for);
        let owed = before.map(|(_, version)| *version).max().unwrap_or(0);
        let version = view.document.map_or(0, |document| document.version);
        if version < owed {
            self.broken.push(format!("{host} vouches for {version}, {owed} was acknowledged"));
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
        let holders = self.world.holders();
        if holders.len() > 1 {
            self.broken.push(format!("{holders:?} lead at {}", self.world.now));
        }
        for (token, version) in std::mem::take(&mut self.changes) {
            match self.world.answer(token) {
                Some(Response::Fleet(FleetResponse::Done)) => {
                    self.acknowledged = self.acknowledged.max(version);
                    self.acknowledged_at.push((self.world.now, version));
                }
                Some(_) => {}
                None => drop(self.changes.insert(token, version)),
            }
        }
        for (token, owed) in std::mem::take(&mut self.reads) {
            match self.world.answer(token) {
                Some(Response::Fleet(FleetResponse::Document(document))) => {
                    let version = document.map_or(0, |document| document.version);
                    if version < owed {
                        self.broken.push(format!("read {version}, {owed} was acknowledged"));
                    }
                }
                Some(_) => {}
                None => drop(self.reads.insert(token, owed)),
            }
        }
    }
}

/// A leader is suspended, the others elect the next one and accept a change, and the first is back.
fn suspended_leader(do_clocks_stop: bool) -> Story {
    let mut story = Story::new(do_clocks_stop);
    story.take(Step::Change);
    story.take(Step::Pass(500));
    let first = story.world.leader().unwrap();
    story.take(Step::SuspendLeader);
    story.world.until("another leader", SETTLING, |world| {
        world.leader().is_some_and(|leader| leader != first)
    });
    story.take(Step::Change);
    story.take(Step::Pass(500));
    story.take(Step::ResumeAll);
    story.take(Step::Pass(2_000));
    assert!(story.acknowledged > 1);
    story
}

cases! {
    a_suspended_leader_answers_nothing_that_is_over => {
        assert_eq!(suspended_leader(false).broken, [""; 0]);
    }

    /// The fault that the checks must see.
    a_clock_that_stands_still_breaks_promises => {
        let broken = suspended_leader(true).broken;
        assert!(broken.iter().any(|what| what.starts_with("read")), "{broken:?}");
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
    fn suspensions_break_no_promise(steps in prop::collection::vec(any_step(), 10..40)) {
        let mut story = Story::new(false);
        steps.into_iter().for_each(|step| story.take(step));
        story.take(Step::Heal);
        story.take(Step::ResumeAll);
        story.world.until("a leader", SETTLING, |world| world.leader().is_some());
        let leader = story.world.leader().unwrap();
        story.take(Step::Pass(1_000));
        story.take(Step::Read(leader));
        story.take(Step::Pass(500));
        prop_assert!(story.broken.is_empty(), "{:?}", story.broken);
        let version = story.world.member(leader).unwrap().state().fleet.document_version();
        prop_assert!(version >= story.acknowledged, "a change is lost");
    }
}
