//! Heartbeats that any member answers and forwards to the leader in batches.

mod common;

use common::{Host, World};
use rstest::rstest;
use std::time::Duration;
use topazmount_control::{FleetRequest, FleetResponse, InstanceReport, Request, Response};
use topazmount_types::{Instance, Start};

const HOSTS: [Host; 3] = [1, 2, 3];
const ELECTION_TIME: Duration = Duration::from_secs(8);
const HEARTBEAT: Duration = Duration::from_millis(1_200);
const RESPONSE_TIME: Duration = Duration::from_millis(100);

fn report(id: &str, is_draining: bool) -> Request {
    let instance = Instance {
        id: id.to_owned(),
        service: "pool".to_owned(),
        address: format!("{id}:1"),
        zone: "north".to_owned(),
        slots: 4,
        is_draining,
        changed_at: 0,
        start: Start::UNKNOWN,
        software: String::new(),
    };
    Request::Fleet(FleetRequest::Heartbeat(InstanceReport {
        instance,
        models: Vec::new(),
        sequence: 0,
    }))
}

struct Scenario {
    world: World,
    leader: Host,
    follower: Host,
}

impl Scenario {
    /// A group with a registered replica.
    fn new() -> Self {
        let mut world = World::new(&HOSTS);
        world.run_until("a leader", ELECTION_TIME, |world| world.leader().is_some());
        let leader = world.leader().unwrap();
        let follower = HOSTS.into_iter().find(|host| *host != leader).unwrap();
        let mut scenario = Scenario { world, leader, follower };
        assert!(scenario.is_done(leader, report("r", false)));
        scenario
    }

    fn response(&mut self, host: Host, request: Request) -> Option<Response> {
        let token = self.world.request(host, request)?;
        self.world.run(RESPONSE_TIME);
        self.world.take_response(token)
    }

    fn is_done(&mut self, host: Host, request: Request) -> bool {
        let response = self.response(host, request);
        response == Some(Response::Fleet(FleetResponse::Done))
    }

    fn is_registered(&self) -> bool {
        let fleet = &self.world.member(self.leader).unwrap().state().fleet;
        fleet.instances().contains_key("r")
    }
}

cases! {
    a_replica_that_contacts_only_a_follower_stays_registered => {
        let mut scenario = Scenario::new();
        for _ in 0..12 {
            assert!(scenario.is_done(scenario.follower, report("r", false)));
            scenario.world.run(HEARTBEAT);
            assert!(scenario.is_registered());
        }
        scenario.world.run(ELECTION_TIME);
        assert!(!scenario.is_registered(), "a replica without heartbeats is removed");
    }

    heartbeats_with_changes_are_redirected_to_the_leader => {
        let mut scenario = Scenario::new();
        for request in [report("r", true), report("other", false)] {
            let response = scenario.response(scenario.follower, request);
            assert!(matches!(response, Some(Response::NotLeader(_))), "{response:?}");
        }
    }

    an_isolated_follower_stops_answering => {
        let mut scenario = Scenario::new();
        let others = HOSTS.into_iter().filter(|host| *host != scenario.follower);
        for other in others.collect::<Vec<Host>>() {
            scenario.world.cut(scenario.follower, other);
        }
        scenario.world.run(Duration::from_secs(2));
        let response = scenario.response(scenario.follower, report("r", false));
        assert!(matches!(response, Some(Response::NotLeader(_))), "{response:?}");
        // Heartbeats answered before the cut count from then, not from the time of forwarding.
        scenario.world.run(ELECTION_TIME);
        assert!(!scenario.is_registered());
    }

    a_follower_reports_a_departed_replica_as_superseded => {
        let mut scenario = Scenario::new();
        let depart = Request::Fleet(FleetRequest::Depart("r".to_owned(), Start::UNKNOWN));
        assert!(scenario.is_done(scenario.leader, depart));
        scenario.world.run(RESPONSE_TIME * 5);
        let response = scenario.response(scenario.follower, report("r", false));
        assert_eq!(response, Some(Response::Fleet(FleetResponse::Superseded)));
    }
}

/// Whether the leader lists replica `r`; `None` without a leader.
fn is_listed(world: &World) -> Option<bool> {
    let leader = world.member(world.leader()?)?;
    Some(leader.state().fleet.instances().contains_key("r"))
}

/// Runs for a time and fails if the replica leaves the list.
fn run_listed(world: &mut World, time: Duration) {
    let until = world.now + time;
    while world.now < until {
        world.run(Duration::from_millis(50));
        assert_ne!(is_listed(world), Some(false), "a sound replica left the list");
    }
}

fn send_to_any(world: &mut World, number: usize) {
    let up: Vec<Host> = HOSTS.into_iter().filter(|host| world.is_up(*host)).collect();
    world.request(up[number % up.len()], report("r", false));
}

/// Guards against a time limit that holds at one interval of heartbeats only.
#[rstest]
#[case::usual(1_200, false)]
#[case::usual_with_the_leader_killed(1_200, true)]
#[case::long(3_000, false)]
#[case::long_with_the_leader_killed(3_000, true)]
#[case::very_long(10_000, false)]
#[case::very_long_with_the_leader_killed(10_000, true)]
fn a_replica_stays_listed_when_a_heartbeat_is_lost_and_the_next_one_is_late(
    #[case] interval_ms: u64,
    #[case] is_leader_killed: bool,
) {
    let interval = Duration::from_millis(interval_ms);
    let late = Duration::from_secs(2);
    for seed in 0..4 {
        let mut world = World::with_heartbeats(&HOSTS, &HOSTS, seed, interval);
        world.run_until("a leader", ELECTION_TIME, |world| world.leader().is_some());
        let leader = world.leader().unwrap();
        world.request(leader, report("r", false));
        world.run(RESPONSE_TIME);
        for number in 0..3 {
            run_listed(&mut world, interval);
            send_to_any(&mut world, number);
        }
        run_listed(&mut world, interval);
        if is_leader_killed {
            let leader = world.leader().unwrap();
            world.kill(leader);
        }
        // The heartbeat that was due now is lost.
        run_listed(&mut world, interval + late);
        send_to_any(&mut world, 0);
        run_listed(&mut world, interval);
        // It ends: two intervals and the longest delay of a heartbeat later it is gone, and a new
        // leader counts from its own start.
        world.run(interval * 3 + late + ELECTION_TIME);
        assert_eq!(is_listed(&world), Some(false), "seed {seed}: a silent replica leaves the list");
    }
}
