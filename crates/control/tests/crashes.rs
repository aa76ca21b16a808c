//! Blocking of requests that crash replicas: which crashes count, which requests are blocked, and
//! what survives the loss of members.

mod common;

use common::{Host, World};
use proptest::prelude::*;
use std::collections::BTreeSet;
use std::time::Duration;
use topazmount_control::{
    CRASHES_TO_BLOCK, CrashLedger, CrashRecord, CrashReport, FleetRequest, FleetResponse,
    FleetView, HostKey, Request, Response, SeenVersions, WatchRequest,
};
use topazmount_types::{ReplicaId, RequestDigest, Time};

const START: Time = Time::from_secs(1_000);
const CAUSE: RequestDigest = RequestDigest(1);
const OTHER: RequestDigest = RequestDigest(2);
const THIRD: RequestDigest = RequestDigest(3);
/// Time from the start of a run to the crash.
const RUN: Duration = Duration::from_millis(140);
/// Time between two tries of a caller.
const GAP: Duration = Duration::from_millis(900);
const MINUTE: Duration = Duration::from_secs(60);

fn crash(request: RequestDigest, replica: u64) -> CrashRecord {
    CrashRecord {
        request,
        replica: ReplicaId(replica),
        ran_for: RUN,
        age: Duration::ZERO,
        host: HostKey::default(),
    }
}

fn crashes(records: impl IntoIterator<Item = CrashRecord>) -> CrashReport {
    CrashReport { crashes: records.into_iter().collect(), completed: Vec::new() }
}

fn completed(request: RequestDigest) -> CrashReport {
    CrashReport { crashes: Vec::new(), completed: vec![request] }
}

/// A ledger and the current time.
struct Scenario {
    ledger: CrashLedger,
    now: Time,
}

impl Scenario {
    fn new() -> Self {
        Scenario { ledger: CrashLedger::default(), now: START }
    }

    /// A replica crashes while it runs these requests, some time after the last crash.
    fn crash(&mut self, replica: u64, requests: &[RequestDigest]) {
        self.now = self.now + GAP;
        self.ledger
            .record(self.now, &crashes(requests.iter().map(|request| crash(*request, replica))));
    }

    /// The same at this host.
    fn crash_at(&mut self, host: u16, replica: u64, requests: &[RequestDigest]) {
        self.now = self.now + GAP;
        let host = HostKey(host);
        let records =
            requests.iter().map(|request| CrashRecord { host, ..crash(*request, replica) });
        self.ledger.record(self.now, &crashes(records));
    }

    /// A gateway reports, some time after the last report, and the leader records what is worth it.
    fn report(&mut self, report: &CrashReport) {
        self.now = self.now + GAP;
        let report = self.ledger.worth_recording(self.now, report);
        self.ledger.record(self.now, &report);
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
    three_consecutive_crashes_block_a_request => {
        let mut scenario = Scenario::new();
        for replica in 0..3 {
            assert!(!scenario.is_blocked(CAUSE));
            scenario.crash(replica, &[CAUSE]);
        }
        assert!(scenario.is_blocked(CAUSE));
        assert_eq!(scenario.ledger.blocked()[0].crash_span, GAP * 2);
    }

    /// Gateways repeat their reports, and two may report the same crash.
    a_crash_counts_once => {
        let mut scenario = Scenario::new();
        for replica in [0, 1, 1, 0, 1] {
            scenario.crash(replica, &[CAUSE]);
        }
        assert!(!scenario.is_blocked(CAUSE));
        assert!(scenario.ledger.new_in(&crashes([crash(CAUSE, 0), crash(CAUSE, 1)])).is_empty());
    }

    /// A power loss hits several replicas that run the same request.
    simultaneous_crashes_count_once => {
        let mut scenario = Scenario::new();
        scenario.ledger.record(scenario.now, &crashes((0..5).map(|replica| crash(CAUSE, replica))));
        assert!(!scenario.is_blocked(CAUSE));
    }

    /// Each run began before the crash that ended the other one.
    concurrent_runs_count_once => {
        let mut scenario = Scenario::new();
        for replica in 0..5 {
            scenario.now = scenario.now + Duration::from_millis(50);
            scenario.ledger.record(scenario.now, &crashes([crash(CAUSE, replica)]));
        }
        assert!(!scenario.is_blocked(CAUSE));
    }

    /// Kept connections may outlast the process that served them: attempts over them break off later, at a
    /// replica that another request has ended.
    attempts_at_replicas_that_had_crashed_before_block_no_request => {
        let mut scenario = Scenario::new();
        for replica in 0..5 {
            let host = HostKey(1 + replica as u16);
            scenario.report(&crashes([CrashRecord { host, ..crash(CAUSE, replica) }]));
            let late = CrashRecord { host, ran_for: Duration::ZERO, ..crash(OTHER, replica) };
            scenario.report(&crashes([late]));
        }
        assert!(scenario.is_blocked(CAUSE));
        assert!(!scenario.is_blocked(OTHER));
    }

    /// The same in one report: ages and run times tell which attempt began after the crash.
    an_attempt_that_began_after_the_crash_of_its_replica_is_no_evidence => {
        let mut scenario = Scenario::new();
        for replica in 0..5 {
            let host = HostKey(1 + replica as u16);
            let age = Duration::from_millis(400);
            let cause = CrashRecord { host, age, ..crash(CAUSE, replica) };
            let late = CrashRecord { host, ran_for: Duration::ZERO, ..crash(OTHER, replica) };
            scenario.report(&crashes([late, cause]));
        }
        assert!(scenario.is_blocked(CAUSE));
        assert!(!scenario.is_blocked(OTHER));
    }

    /// A request that ran when its replica crashed is suspected with the others there.
    a_run_that_began_before_the_crash_of_its_replica_counts => {
        let mut scenario = Scenario::new();
        for replica in 0..3 {
            let host = HostKey(1 + replica as u16);
            scenario.report(&crashes([CrashRecord { host, ..crash(OTHER, replica) }]));
            // It is reported later than the other one, and began before.
            let ran_for = GAP + RUN;
            let cause = CrashRecord { host, ran_for, ..crash(CAUSE, replica) };
            scenario.report(&crashes([cause]));
        }
        assert_eq!(scenario.ledger.suspect_count(), 2);
    }

    a_completed_request_starts_again_without_crashes => {
        let mut scenario = Scenario::new();
        scenario.crash(0, &[CAUSE]);
        scenario.crash(1, &[CAUSE]);
        scenario.ledger.record(scenario.now, &completed(CAUSE));
        scenario.crash(2, &[CAUSE]);
        // An earlier crash is reported again.
        scenario.crash(0, &[CAUSE]);
        scenario.crash(3, &[CAUSE]);
        assert!(!scenario.is_blocked(CAUSE));
        scenario.crash(4, &[CAUSE]);
        assert!(scenario.is_blocked(CAUSE));
    }

    a_blocked_request_that_completes_is_unblocked => {
        let mut scenario = Scenario::new();
        (0..3).for_each(|replica| scenario.crash(replica, &[CAUSE]));
        let revision = scenario.ledger.blocked_revision();
        scenario.ledger.record(scenario.now, &completed(CAUSE));
        assert!(!scenario.is_blocked(CAUSE));
        assert!(scenario.ledger.blocked_revision() > revision);
    }

    /// The other request was at all crashes but the first.
    a_request_beside_the_cause_is_not_blocked => {
        let mut scenario = Scenario::new();
        scenario.crash(0, &[CAUSE]);
        for replica in 1..4 {
            scenario.crash(replica, &[OTHER, CAUSE]);
        }
        assert!(scenario.is_blocked(CAUSE));
        assert!(!scenario.is_blocked(OTHER));
    }

    /// Several gateways report the same crash; the cause is reported last.
    a_request_blocked_by_mistake_is_unblocked => {
        let mut scenario = Scenario::new();
        scenario.crash(0, &[CAUSE]);
        scenario.crash(1, &[CAUSE, OTHER]);
        scenario.crash(2, &[CAUSE, OTHER]);
        scenario.crash(3, &[OTHER]);
        scenario.ledger.record(scenario.now, &crashes([crash(CAUSE, 3)]));
        assert!(scenario.is_blocked(CAUSE));
        assert!(!scenario.is_blocked(OTHER));
    }

    two_indistinguishable_requests_wait_for_the_next_crash => {
        let mut scenario = Scenario::new();
        (0..3).for_each(|replica| scenario.crash(replica, &[CAUSE, OTHER]));
        assert!(!scenario.is_blocked(CAUSE));
        scenario.crash(3, &[CAUSE, THIRD]);
        assert!(scenario.is_blocked(CAUSE));
        assert!(!scenario.is_blocked(OTHER) && !scenario.is_blocked(THIRD));
    }

    two_causes_are_both_blocked => {
        let mut scenario = Scenario::new();
        for replica in 0..6 {
            scenario.crash(replica, &[[CAUSE, OTHER][replica as usize % 2]]);
        }
        assert!(scenario.is_blocked(CAUSE) && scenario.is_blocked(OTHER));
    }

    /// Further crashes block for 5, 10 and 20 minutes.
    a_block_ends_and_one_more_crash_doubles_it => {
        let mut scenario = Scenario::new();
        (0..3).for_each(|replica| scenario.crash(replica, &[CAUSE]));
        for (number, minutes) in [5, 10, 20].into_iter().enumerate() {
            scenario.pass(MINUTE * minutes - Duration::from_secs(2));
            assert!(scenario.is_blocked(CAUSE), "for {minutes} minutes");
            scenario.pass(Duration::from_secs(3));
            assert!(!scenario.is_blocked(CAUSE), "after {minutes} minutes");
            scenario.crash(10 + number as u64, &[CAUSE]);
            assert!(scenario.is_blocked(CAUSE), "at once, after {minutes} minutes");
        }
    }

    old_suspects_are_removed => {
        let mut scenario = Scenario::new();
        scenario.crash(0, &[CAUSE, OTHER]);
        assert_eq!(scenario.ledger.suspect_count(), 2);
        scenario.pass(MINUTE * 11);
        assert_eq!(scenario.ledger.suspect_count(), 0);
    }

    suspects_are_bounded_and_blocked_requests_kept => {
        let mut scenario = Scenario::new();
        (0..3).for_each(|replica| scenario.crash(replica, &[CAUSE]));
        for number in 0..1_400 {
            scenario.crash(100 + number, &[RequestDigest(100 + number)]);
        }
        assert!(scenario.ledger.suspect_count() <= 1_024);
        assert!(scenario.is_blocked(CAUSE));
    }

    /// Bytes of the list sent to gateways, of a gateway's report, and of the ledger.
    encoded_sizes_are_bounded => {
        let mut scenario = Scenario::new();
        let mut replica = 0;
        for number in 0..300 {
            for _ in 0..3 {
                replica += 1;
                scenario.crash(u64::MAX - replica, &[RequestDigest(u64::MAX - number)]);
            }
        }
        let size = |bytes: Result<Vec<u8>, rmp_serde::encode::Error>| bytes.unwrap().len();
        let blocked = scenario.ledger.blocked();
        assert_eq!(blocked.len(), 256);
        let list_size = size(rmp_serde::to_vec(&blocked));
        let age = Duration::from_millis(29_999);
        let record = CrashRecord { age, ..crash(RequestDigest(u64::MAX), u64::MAX) };
        let report_size = size(rmp_serde::to_vec(&crashes([record; 64])));
        let all = (0..8_800).map(|number| crash(RequestDigest(number / 8), u64::MAX - number));
        scenario.ledger.record(scenario.now, &crashes(all));
        let ledger_size = size(rmp_serde::to_vec(&scenario.ledger));
        assert!(list_size <= 4_500 && report_size <= 2_200 && ledger_size <= 300_000, "{list_size}, {report_size}, {ledger_size}");
    }

    /// Incarnations at one address crash with and without the request.
    crashes_of_replicas_that_crash_anyway_are_taken_for_proof => {
        let mut scenario = Scenario::new();
        for replica in 0..4 {
            scenario.crash_at(replica as u16 + 1, replica, &[CAUSE]);
        }
        assert!(!scenario.ledger.blocked()[0].is_explained);
        assert_eq!(scenario.ledger.blocked()[0].further_crashes, 1);
        let revision = scenario.ledger.blocked_revision();
        scenario.crash_at(1, 11, &[OTHER]);
        scenario.crash_at(2, 12, &[THIRD]);
        let entry = scenario.ledger.blocked()[0];
        assert!(scenario.is_blocked(CAUSE) && entry.is_explained && entry.further_crashes == 0);
        assert!(scenario.ledger.blocked_revision() > revision, "gateways are told");
    }

    /// What ran there has completed elsewhere by the time of the block.
    crashes_without_a_request_are_forgotten_when_all_else_completes => {
        let mut scenario = Scenario::new();
        for host in 1..4 {
            scenario.crash_at(host, u64::from(host) + 10, &[OTHER]);
            scenario.ledger.record(scenario.now, &completed(OTHER));
        }
        (0..3).for_each(|replica| scenario.crash_at(replica as u16 + 1, replica, &[CAUSE]));
        assert!(scenario.ledger.blocked()[0].is_explained);
    }

    /// Each of two causes crashes the same hosts.
    one_of_two_causes_explains_the_other => {
        let mut scenario = Scenario::new();
        for replica in 0..8 {
            let cause = [CAUSE, OTHER][replica as usize % 2];
            scenario.crash_at(replica as u16 / 2 + 1, replica, &[cause]);
        }
        let blocked = scenario.ledger.blocked();
        assert_eq!(blocked.len(), 2);
        assert!(blocked.iter().all(|entry| !entry.is_explained), "{blocked:?}");
    }

    crashes_long_ago_explain_new_ones => {
        let mut scenario = Scenario::new();
        for host in 1..4 {
            scenario.crash_at(host, u64::from(host) + 10, &[OTHER]);
            scenario.ledger.record(scenario.now, &completed(OTHER));
        }
        scenario.pass(Duration::from_secs(40));
        (0..3).for_each(|replica| scenario.crash_at(replica as u16 + 1, replica, &[CAUSE]));
        assert!(!scenario.ledger.blocked()[0].is_explained);
    }

    /// A list of the most blocked requests, all of which crashed a further replica.
    encoded_sizes_of_confirmed_requests_are_bounded => {
        let mut scenario = Scenario::new();
        let mut replica = 0;
        for number in 0..256 {
            for host in 0..4 {
                replica += 1;
                let host = (number * 4 + host) as u16 + 1;
                scenario.crash_at(host, u64::MAX - replica, &[RequestDigest(u64::MAX - number)]);
            }
        }
        let blocked = scenario.ledger.blocked();
        assert!(blocked.len() == 256 && blocked.iter().all(|entry| entry.further_crashes == 1));
        let list_size = rmp_serde::to_vec(&blocked).unwrap().len();
        let age = Duration::from_millis(29_999);
        let (request, replica) = (RequestDigest(u64::MAX), ReplicaId(u64::MAX));
        let record = CrashRecord { request, replica, ran_for: age, age, host: HostKey(u16::MAX) };
        let report_size = rmp_serde::to_vec(&crashes([record; 64])).unwrap().len();
        let all = (0..8_800u64).map(|number| {
            let host = HostKey(number as u16 | 1);
            CrashRecord { host, ..crash(RequestDigest(number / 8), u64::MAX / 2 - number) }
        });
        scenario.ledger.record(scenario.now, &crashes(all));
        let ledger_size = rmp_serde::to_vec(&scenario.ledger).unwrap().len();
        assert!(
            list_size <= 4_900 && report_size <= 2_400 && ledger_size <= 350_000,
            "{list_size}, {report_size}, {ledger_size}"
        );
    }

    /// The next leader's clock may be seconds behind.
    crashes_count_on_with_a_leader_whose_clock_is_behind => {
        let mut scenario = Scenario::new();
        (0..2).for_each(|replica| scenario.crash(replica, &[CAUSE]));
        scenario.now = scenario.now - Duration::from_secs(5);
        scenario.crash(2, &[CAUSE]);
        assert!(scenario.is_blocked(CAUSE));
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(200))]

    /// The cause recurs; other requests run beside it, some reported first or twice. Most complete
    /// later.
    #[test]
    fn only_the_cause_is_blocked(
        others_at_crashes in prop::collection::vec(prop::collection::btree_set(2u64..40, 0..6), 5),
        completing in prop::collection::btree_set(2u64..40, 0..20),
        is_cause_reported_first in any::<bool>(),
        is_reported_twice in any::<bool>(),
    ) {
        let mut scenario = Scenario::new();
        for (replica, others) in others_at_crashes.iter().enumerate() {
            let mut requests: Vec<RequestDigest> = others.iter().copied().map(RequestDigest).collect();
            let position = if is_cause_reported_first { 0 } else { requests.len() };
            requests.insert(position, CAUSE);
            scenario.crash(replica as u64, &requests);
            if is_reported_twice {
                let report = crashes(requests.iter().map(|request| crash(*request, replica as u64)));
                scenario.ledger.record(scenario.now, &report);
            }
            for other in others.intersection(&completing) {
                scenario.ledger.record(scenario.now, &completed(RequestDigest(*other)));
            }
        }
        prop_assert!(scenario.is_blocked(CAUSE));
        let all: BTreeSet<u64> = others_at_crashes.iter().flatten().copied().collect();
        for other in all {
            let times = others_at_crashes.iter().filter(|others| others.contains(&other)).count();
            if completing.contains(&other) || times < others_at_crashes.len() {
                prop_assert!(!scenario.is_blocked(RequestDigest(other)), "{other} was at {times} crashes");
            }
        }
    }
}

/// Processor time of this thread.
fn cpu_time() -> Duration {
    let time = rustix::time::clock_gettime(rustix::time::ClockId::ThreadCPUTime);
    Duration::new(time.tv_sec as u64, time.tv_nsec as u32)
}

/// One report of each of 300 gateways must not delay a member for longer than a heartbeat interval
/// of the leader. Guards against large-scale-2: elections in series while many replicas crash.
#[test]
fn reports_of_three_hundred_gateways_are_recorded_within_a_heartbeat_interval() {
    let mut scenario = Scenario::new();
    let mut requests = (0..).map(RequestDigest);
    let mut report = |replica| crashes(requests.by_ref().take(10).map(|id| crash(id, replica)));
    (0..150).for_each(|replica| scenario.ledger.record(START, &report(replica)));
    let reports: Vec<CrashReport> = (150..450).map(report).collect();
    let began = cpu_time();
    reports.iter().for_each(|report| scenario.ledger.record(START + GAP, report));
    let took = cpu_time() - began;
    let limit = topazmount_consensus::Config::default().heartbeat_interval;
    assert!(took <= limit, "{took:?}, not {limit:?}");
}

/// Time within which a restarted group has a leader.
const RECOVERY: Duration = Duration::from_secs(6);

fn watch_request(report: CrashReport) -> Request {
    Request::Fleet(FleetRequest::Watch(WatchRequest {
        gateway: None,
        seen: SeenVersions::default(),
        accepts_packed: false,
        wants_gateways: false,
        wait: Duration::ZERO,
        crashes: report,
        notices: Vec::new(),
    }))
}

fn watch(world: &mut World, host: Host, report: CrashReport) -> Option<FleetView> {
    let token = world.request(host, watch_request(report))?;
    world.run(Duration::from_millis(100));
    match world.take_response(token) {
        Some(Response::Fleet(FleetResponse::View(view))) => Some(*view),
        _ => None,
    }
}

/// Number of log entries that a member has applied.
fn applied(world: &World, host: Host) -> u64 {
    world.member(host).unwrap().replica().applied()
}

fn report_to_leader(world: &mut World, replica: u64) {
    let leader = world.leader().unwrap();
    watch(world, leader, crashes([crash(CAUSE, replica)]));
    world.run(GAP);
}

fn is_blocked_at(world: &mut World, host: Host) -> bool {
    let view = watch(world, host, CrashReport::default());
    let (_, blocked) = view.and_then(|view| view.blocked).unwrap_or_default();
    blocked.iter().any(|blocked| blocked.request == CAUSE)
}

fn group() -> World {
    let mut world = World::new(&[1, 2, 3]);
    world.run_until("a leader", RECOVERY, |world| world.leader().is_some());
    world
}

cases! {
    all_members_send_blocked_requests => {
        let mut world = group();
        (0..CRASHES_TO_BLOCK as u64).for_each(|replica| report_to_leader(&mut world, replica));
        for host in world.hosts() {
            assert!(is_blocked_at(&mut world, host), "member {host}");
        }
    }

    /// Two crashes before the power loss, and one after it.
    recorded_crashes_survive_a_power_loss => {
        let mut world = group();
        (0..2).for_each(|replica| report_to_leader(&mut world, replica));
        world.hosts().into_iter().for_each(|host| world.kill(host));
        world.run(GAP);
        world.hosts().into_iter().for_each(|host| world.start(host));
        world.run_until("a leader", RECOVERY, |world| world.leader().is_some());
        report_to_leader(&mut world, 2);
        assert!(is_blocked_at(&mut world, 1), "{}", world.trace());
    }

    /// Guards against large-scale-2: reports that were repeated while they waited filled the log.
    reports_repeated_before_they_are_committed_are_proposed_once => {
        let mut world = group();
        let leader = world.leader().unwrap();
        let before = applied(&world, leader);
        for _ in 0..20 {
            world.request(leader, watch_request(crashes([crash(CAUSE, 1), crash(OTHER, 1)])));
        }
        world.run(GAP);
        assert_eq!(applied(&world, leader) - before, 1);
    }

    /// Guards against large-scale-2: with more suspects than are kept, each report named some that
    /// had been removed, and was proposed again.
    repeated_reports_about_removed_suspects_are_not_proposed_again => {
        let mut world = group();
        let leader = world.leader().unwrap();
        let reports: Vec<CrashReport> = (0..24u64)
            .map(|replica| crashes((0..64).map(|id| crash(RequestDigest(64 * replica + id), replica))))
            .collect();
        let mut age = Duration::ZERO;
        let mut report_all = |world: &mut World| {
            for report in &reports {
                let aged = report.crashes.iter().map(|crash| CrashRecord { age, ..*crash });
                watch(world, leader, crashes(aged));
                age += Duration::from_millis(100);
            }
            applied(world, leader)
        };
        let first = report_all(&mut world);
        let second = report_all(&mut world);
        assert_eq!(second, first);
    }

    a_request_stays_blocked_with_the_next_leader => {
        let mut world = group();
        (0..3).for_each(|replica| report_to_leader(&mut world, replica));
        let first = world.leader().unwrap();
        world.wipe(first);
        world.run_until("another leader", RECOVERY, |world| {
            world.leader().is_some_and(|leader| leader != first)
        });
        let next = world.leader().unwrap();
        assert!(is_blocked_at(&mut world, next), "{}", world.trace());
    }
}
