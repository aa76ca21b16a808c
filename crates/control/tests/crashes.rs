//! Which requests are blocked since replicas crash under them: what counts as a crash, who is accused wrongly,
//! and what outlasts the loss of members.

mod common;

use common::{Host, World};
use proptest::prelude::*;
use std::collections::BTreeSet;
use std::time::Duration;
use topazmount_control::{
    CRASHES_TO_BLOCK, CrashLedger, CrashRecord, CrashReport, FleetRequest, FleetResponse,
    FleetView, Request, Response, SeenVersions, WatchRequest,
};
use topazmount_types::{ReplicaId, RequestDigest, Time};

const START: Time = Time::from_secs(1_000);
const CAUSE: RequestDigest = RequestDigest(1);
const OTHER: RequestDigest = RequestDigest(2);
const THIRD: RequestDigest = RequestDigest(3);
/// How long a run takes until its replica crashes.
const RUN: Duration = Duration::from_millis(140);
/// From one try of a caller to the next one.
const GAP: Duration = Duration::from_millis(900);
const MINUTE: Duration = Duration::from_secs(60);

fn crash(request: RequestDigest, replica: u64) -> CrashRecord {
    CrashRecord { request, replica: ReplicaId(replica), ran_for: RUN, age: Duration::ZERO }
}

fn crashes(notes: impl IntoIterator<Item = CrashRecord>) -> CrashReport {
    CrashReport { crashes: notes.into_iter().collect(), completed: Vec::new() }
}

fn completed(request: RequestDigest) -> CrashReport {
    CrashReport { crashes: Vec::new(), completed: vec![request] }
}

/// A ledger, and the moment at which it stands.
struct Story {
    ledger: CrashLedger,
    now: Time,
}

impl Story {
    fn new() -> Self {
        Story { ledger: CrashLedger::default(), now: START }
    }

    /// A replica crashes under these, a while after the last one did.
    fn crash(&mut self, replica: u64, requests: &[RequestDigest]) {
        self.now = self.now + GAP;
        self.ledger.record(self.now, &crashes(requests.iter().map(|one| crash(*one, replica))));
    }

    fn pass(&mut self, time: Duration) {
        self.now = self.now + time;
        self.ledger.expire(self.now);
    }

    fn is_blocked(&self, request: RequestDigest) -> bool {
        self.ledger.is_blocked(request)
    }
}

cases! {
    three_crashes_in_a_row_block_a_request => {
        let mut story = Story::new();
        for replica in 0..3 {
            assert!(!story.is_blocked(CAUSE));
            story.crash(replica, &[CAUSE]);
        }
        assert!(story.is_blocked(CAUSE));
        assert_eq!(story.ledger.blocked()[0].crash_span, GAP * 2);
    }

    /// A gateway tells its notes again and again, and two may have seen the same crash.
    a_crash_counts_once => {
        let mut story = Story::new();
        for replica in [0, 1, 1, 0, 1] {
            story.crash(replica, &[CAUSE]);
        }
        assert!(!story.is_blocked(CAUSE));
        assert!(story.ledger.new_in(&crashes([crash(CAUSE, 0), crash(CAUSE, 1)])).is_empty());
    }

    /// A request that many clients send alike is at several replicas when a zone loses power.
    crashes_at_one_moment_count_as_one => {
        let mut story = Story::new();
        story.ledger.record(story.now, &crashes((0..5).map(|replica| crash(CAUSE, replica))));
        assert!(!story.is_blocked(CAUSE));
    }

    /// The run had begun before the crash that ended the other one, so it does not follow on it.
    runs_side_by_side_count_as_one => {
        let mut story = Story::new();
        for replica in 0..5 {
            story.now = story.now + Duration::from_millis(50);
            story.ledger.record(story.now, &crashes([crash(CAUSE, replica)]));
        }
        assert!(!story.is_blocked(CAUSE));
    }

    a_request_that_ran_well_since_begins_anew => {
        let mut story = Story::new();
        story.crash(0, &[CAUSE]);
        story.crash(1, &[CAUSE]);
        story.ledger.record(story.now, &completed(CAUSE));
        story.crash(2, &[CAUSE]);
        // An earlier one is told again.
        story.crash(0, &[CAUSE]);
        story.crash(3, &[CAUSE]);
        assert!(!story.is_blocked(CAUSE));
        story.crash(4, &[CAUSE]);
        assert!(story.is_blocked(CAUSE));
    }

    a_blocked_request_that_ran_well_is_let_go => {
        let mut story = Story::new();
        (0..3).for_each(|replica| story.crash(replica, &[CAUSE]));
        let changes = story.ledger.blocked_revision();
        story.ledger.record(story.now, &completed(CAUSE));
        assert!(!story.is_blocked(CAUSE));
        assert!(story.ledger.blocked_revision() > changes);
    }

    /// The other one was there each time, but not the first.
    who_was_beside_is_explained_by_the_cause => {
        let mut story = Story::new();
        story.crash(0, &[CAUSE]);
        for replica in 1..4 {
            story.crash(replica, &[OTHER, CAUSE]);
        }
        assert!(story.is_blocked(CAUSE));
        assert!(!story.is_blocked(OTHER));
    }

    /// Reports of one crash come from several gateways, the cause's last.
    who_was_accused_first_is_let_go => {
        let mut story = Story::new();
        story.crash(0, &[CAUSE]);
        story.crash(1, &[CAUSE, OTHER]);
        story.crash(2, &[CAUSE, OTHER]);
        story.crash(3, &[OTHER]);
        story.ledger.record(story.now, &crashes([crash(CAUSE, 3)]));
        assert!(story.is_blocked(CAUSE));
        assert!(!story.is_blocked(OTHER));
    }

    two_that_can_not_be_told_apart_wait_for_the_next_crash => {
        let mut story = Story::new();
        (0..3).for_each(|replica| story.crash(replica, &[CAUSE, OTHER]));
        assert!(!story.is_blocked(CAUSE));
        story.crash(3, &[CAUSE, THIRD]);
        assert!(story.is_blocked(CAUSE));
        assert!(!story.is_blocked(OTHER) && !story.is_blocked(THIRD));
    }

    two_causes_are_both_blocked => {
        let mut story = Story::new();
        for replica in 0..6 {
            story.crash(replica, &[[CAUSE, OTHER][replica as usize % 2]]);
        }
        assert!(story.is_blocked(CAUSE) && story.is_blocked(OTHER));
    }

    /// Later tries meet one crash each, after 5 minutes, then 10, then 20.
    a_block_ends_and_one_more_crash_doubles_it => {
        let mut story = Story::new();
        (0..3).for_each(|replica| story.crash(replica, &[CAUSE]));
        for (number, minutes) in [5, 10, 20].into_iter().enumerate() {
            story.pass(MINUTE * minutes - Duration::from_secs(2));
            assert!(story.is_blocked(CAUSE), "for {minutes} minutes");
            story.pass(Duration::from_secs(3));
            assert!(!story.is_blocked(CAUSE), "after {minutes} minutes");
            story.crash(10 + number as u64, &[CAUSE]);
            assert!(story.is_blocked(CAUSE), "at once, after {minutes} minutes");
        }
    }

    suspicions_are_forgotten => {
        let mut story = Story::new();
        story.crash(0, &[CAUSE, OTHER]);
        assert_eq!(story.ledger.suspect_count(), 2);
        story.pass(MINUTE * 11);
        assert_eq!(story.ledger.suspect_count(), 0);
    }

    memory_is_bounded_and_keeps_the_blocked => {
        let mut story = Story::new();
        (0..3).for_each(|replica| story.crash(replica, &[CAUSE]));
        for number in 0..1_400 {
            story.crash(100 + number, &[RequestDigest(100 + number)]);
        }
        assert!(story.ledger.suspect_count() <= 1_024);
        assert!(story.is_blocked(CAUSE));
    }

    /// In bytes: the list that each gateway gets when it changes, what a gateway tells at most, and all that is kept.
    what_is_sent_and_kept_is_small => {
        let mut story = Story::new();
        let mut replica = 0;
        for number in 0..300 {
            for _ in 0..3 {
                replica += 1;
                story.crash(u64::MAX - replica, &[RequestDigest(u64::MAX - number)]);
            }
        }
        let size = |bytes: Result<Vec<u8>, rmp_serde::encode::Error>| bytes.unwrap().len();
        let blocked = story.ledger.blocked();
        assert_eq!(blocked.len(), 256);
        let list = size(rmp_serde::to_vec(&blocked));
        let age = Duration::from_millis(29_999);
        let note = CrashRecord { age, ..crash(RequestDigest(u64::MAX), u64::MAX) };
        let told = size(rmp_serde::to_vec(&crashes([note; 64])));
        let all = (0..8_800).map(|number| crash(RequestDigest(number / 8), u64::MAX - number));
        story.ledger.record(story.now, &crashes(all));
        let kept = size(rmp_serde::to_vec(&story.ledger));
        assert!(list <= 4_500 && told <= 2_200 && kept <= 300_000, "{list}, {told}, {kept}");
    }

    /// The clock of the next leader may be behind by seconds.
    a_leader_whose_clock_is_behind_counts_on => {
        let mut story = Story::new();
        (0..2).for_each(|replica| story.crash(replica, &[CAUSE]));
        story.now = story.now - Duration::from_secs(5);
        story.crash(2, &[CAUSE]);
        assert!(story.is_blocked(CAUSE));
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(200))]

    /// A cause comes again and again; up to five others are at each of its replicas, some of them told by gateways
    /// that tell twice or first. Most complete after a crash or are not seen again.
    #[test]
    fn the_cause_is_blocked_and_nobody_else(
        beside in prop::collection::vec(prop::collection::btree_set(2u64..40, 0..6), 5),
        well in prop::collection::btree_set(2u64..40, 0..20),
        is_cause_told_first in any::<bool>(),
        twice in any::<bool>(),
    ) {
        let mut story = Story::new();
        for (replica, others) in beside.iter().enumerate() {
            let mut requests: Vec<RequestDigest> = others.iter().copied().map(RequestDigest).collect();
            let place = if is_cause_told_first { 0 } else { requests.len() };
            requests.insert(place, CAUSE);
            story.crash(replica as u64, &requests);
            if twice {
                let notes = crashes(requests.iter().map(|one| crash(*one, replica as u64)));
                story.ledger.record(story.now, &notes);
            }
            for one in others.intersection(&well) {
                story.ledger.record(story.now, &completed(RequestDigest(*one)));
            }
        }
        prop_assert!(story.is_blocked(CAUSE));
        let all: BTreeSet<u64> = beside.iter().flatten().copied().collect();
        for one in all {
            let times = beside.iter().filter(|others| others.contains(&one)).count();
            if well.contains(&one) || times < beside.len() {
                prop_assert!(!story.is_blocked(RequestDigest(one)), "{one} was beside {times}");
            }
        }
    }
}

/// Time within which a group that was killed leads again.
const RECOVERY: Duration = Duration::from_secs(6);

fn watch(world: &mut World, host: Host, notes: CrashReport) -> Option<FleetView> {
    let request = WatchRequest {
        gateway: None,
        seen: SeenVersions::default(),
        wants_gateways: false,
        wait: Duration::ZERO,
        crashes: notes,
    };
    let token = world.ask(host, Request::Fleet(FleetRequest::Watch(request)))?;
    world.run(Duration::from_millis(100));
    match world.answer(token) {
        Some(Response::Fleet(FleetResponse::View(view))) => Some(*view),
        _ => None,
    }
}

fn tell_leader(world: &mut World, replica: u64) {
    let leader = world.leader().unwrap();
    watch(world, leader, crashes([crash(CAUSE, replica)]));
    world.run(GAP);
}

fn is_blocked_at(world: &mut World, host: Host) -> bool {
    let view = watch(world, host, CrashReport::default());
    let (_, blocked) = view.and_then(|view| view.blocked).unwrap_or_default();
    blocked.iter().any(|one| one.request == CAUSE)
}

fn group() -> World {
    let mut world = World::found(&[1, 2, 3]);
    world.until("a leader", RECOVERY, |world| world.leader().is_some());
    world
}

cases! {
    all_members_tell_what_is_blocked => {
        let mut world = group();
        (0..CRASHES_TO_BLOCK as u64).for_each(|replica| tell_leader(&mut world, replica));
        for host in world.hosts() {
            assert!(is_blocked_at(&mut world, host), "member {host}");
        }
    }

    /// Two crashes before all lose power, and one after it.
    crashes_outlast_the_loss_of_all_power => {
        let mut world = group();
        (0..2).for_each(|replica| tell_leader(&mut world, replica));
        world.hosts().into_iter().for_each(|host| world.kill(host));
        world.run(GAP);
        world.hosts().into_iter().for_each(|host| world.start(host));
        world.until("a leader", RECOVERY, |world| world.leader().is_some());
        tell_leader(&mut world, 2);
        assert!(is_blocked_at(&mut world, 1), "{}", world.told());
    }

    a_blocked_request_stays_so_with_the_next_leader => {
        let mut world = group();
        (0..3).for_each(|replica| tell_leader(&mut world, replica));
        let first = world.leader().unwrap();
        world.wipe(first);
        world.until("another leader", RECOVERY, |world| {
            world.leader().is_some_and(|leader| leader != first)
        });
        let next = world.leader().unwrap();
        assert!(is_blocked_at(&mut world, next), "{}", world.told());
    }
}
