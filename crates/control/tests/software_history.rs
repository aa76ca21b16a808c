//! What the leader proves of the software version that a stream of a service began at.

mod common;

use common::{Host, World};
use std::time::Duration;
use topazmount_control::{
    Document, FleetRequest, FleetResponse, InstanceReport, Request, Response, STREAM_RETENTION,
};
use topazmount_types::{Instance, SoftwareId, Start};

const HOSTS: [Host; 3] = [1, 2, 3];
const RESPONSE_TIME: Duration = Duration::from_millis(100);
const ELECTION_TIME: Duration = Duration::from_secs(8);
const MARGIN: Duration = Duration::from_secs(1);
const LONGEST_STREAM: Duration = Duration::from_secs(30);

/// A replica of `pool`; heartbeats of one replica count up.
fn report(id: &str, software: &str, start: u64, sequence: u64) -> InstanceReport {
    let mut report = common::heartbeat(sequence);
    report.instance = Instance {
        id: id.to_owned(),
        address: format!("{id}:1"),
        software: software.to_owned(),
        start: Start(start),
        ..report.instance
    };
    report
}

fn software(version: &str) -> SoftwareId {
    SoftwareId::of(&report("r", version, 1, 1).instance)
}

/// A group with a leader.
struct Group {
    world: World,
    /// Replicas that send heartbeats: identifier, software, start.
    replicas: Vec<(&'static str, &'static str, u64)>,
    heartbeats: u64,
}

impl Group {
    fn form() -> Self {
        let mut group = Group { world: World::new(&HOSTS), replicas: Vec::new(), heartbeats: 0 };
        group.elect();
        group
    }

    fn elect(&mut self) {
        self.world.run_until("a leader", ELECTION_TIME, |world| world.leader().is_some());
    }

    fn ask(&mut self, host: Host, request: FleetRequest) -> Option<Response> {
        let token = self.world.request(host, Request::Fleet(request))?;
        self.world.run(RESPONSE_TIME);
        self.world.take_response(token)
    }

    fn ask_leader(&mut self, request: FleetRequest) -> Option<FleetResponse> {
        let leader = self.world.leader()?;
        match self.ask(leader, request)? {
            Response::Fleet(response) => Some(response),
            _ => None,
        }
    }

    /// Sends heartbeats of all replicas, so that none times out, for a while.
    fn run(&mut self, time: Duration) {
        let until = self.world.now + time;
        loop {
            self.heartbeats += 1;
            for (id, version, start) in self.replicas.clone() {
                let report = report(id, version, start, self.heartbeats);
                self.ask_leader(FleetRequest::Heartbeat(report));
            }
            if self.world.now >= until {
                return;
            }
            self.world.run(MARGIN.min(until.since(self.world.now)));
        }
    }

    fn start(&mut self, id: &'static str, version: &'static str, start: u64) {
        self.replicas.retain(|(other, ..)| *other != id);
        self.replicas.push((id, version, start));
        self.run(Duration::ZERO);
    }

    fn leave(&mut self, id: &'static str) {
        let (_, _, start) = *self.replicas.iter().find(|(other, ..)| *other == id).unwrap();
        self.replicas.retain(|(other, ..)| *other != id);
        let departed = self.ask_leader(FleetRequest::Depart(id.to_owned(), Start(start)));
        assert_eq!(departed, Some(FleetResponse::Done));
    }

    fn put_document(&mut self, version: u64, bytes: usize, routing: Option<u64>) {
        self.put_streams(version, bytes, routing, Some(Duration::ZERO));
    }

    fn put_streams(
        &mut self,
        version: u64,
        bytes: usize,
        routing: Option<u64>,
        longest_stream: Option<Duration>,
    ) {
        let bytes = vec![7; bytes];
        let document = Document { version, bytes, services: Vec::new(), routing, longest_stream };
        let put = self.ask_leader(FleetRequest::PutDocument(document));
        assert_eq!(put, Some(FleetResponse::Done));
    }

    fn restart_all(&mut self) {
        HOSTS.iter().for_each(|host| self.world.kill(*host));
        HOSTS.iter().for_each(|host| self.world.start(*host));
        self.elect();
        self.run(Duration::ZERO);
    }

    fn proved(&mut self) -> Option<SoftwareId> {
        match self.ask_leader(FleetRequest::OnlySoftware("pool".to_owned())) {
            Some(FleetResponse::OnlySoftware(software)) => software,
            other => panic!("{other:?}"),
        }
    }

    /// Checks that nothing is proved until no stream from before now can be resumed.
    fn assert_proved_only_after_retention(&mut self, version: &str) {
        self.assert_proved_only_after(STREAM_RETENTION, version);
    }

    /// Checks that nothing is proved for a while from now, and the version then.
    fn assert_proved_only_after(&mut self, time: Duration, version: &str) {
        assert_eq!(self.proved(), None);
        self.run(time - MARGIN * 5);
        assert_eq!(self.proved(), None);
        self.run(MARGIN * 6);
        assert_eq!(self.proved(), Some(software(version)));
    }
}

cases! {
    /// Guards against a rejection in the first minute of a group.
    the_only_version_since_the_group_formed_is_not_proved => {
        let mut group = Group::form();
        assert_eq!(group.proved(), None, "no replica is registered");
        group.start("a", "v1", 1);
        group.start("b", "v1", 1);
        assert_eq!(group.proved(), Some(software("v1")));
    }
    /// Guards against any of several versions.
    one_of_two_versions_is_proved => {
        let mut group = Group::form();
        group.start("a", "v1", 1);
        group.start("b", "v2", 1);
        assert_eq!(group.proved(), None);
    }
    /// Guards against the present list as proof.
    a_stream_of_a_version_that_is_gone_goes_on_at_the_remaining_one => {
        let mut group = Group::form();
        group.start("a", "v1", 1);
        group.start("b", "v2", 1);
        group.leave("a");
        group.assert_proved_only_after_retention("v2");
    }
    /// Its last heartbeat came long before it was removed.
    a_stream_of_a_version_that_timed_out_goes_on_at_the_remaining_one => {
        let mut group = Group::form();
        group.start("a", "v1", 1);
        group.start("b", "v2", 1);
        group.replicas.retain(|(id, ..)| *id != "a");
        group.run(Duration::from_secs(10));
        assert_eq!(group.proved(), None);
    }
    /// Guards against an end that is no removal.
    a_stream_goes_on_at_a_replica_that_came_back_with_another_version => {
        for start in [1, 2] {
            let mut group = Group::form();
            group.start("a", "v1", 1);
            group.start("a", "v2", start);
            group.assert_proved_only_after_retention("v2");
        }
    }
    /// The version came and went between any two views of a gateway.
    a_stream_of_a_version_that_was_registered_for_a_moment_goes_on_at_another_one => {
        let mut group = Group::form();
        group.start("a", "v1", 1);
        group.start("b", "v2", 1);
        group.leave("b");
        group.assert_proved_only_after_retention("v1");
    }
    /// Guards against another service, which a route may have led to before.
    a_version_is_proved_right_after_routes_changed => {
        for (before, after) in [(Some(1), Some(2)), (None, None), (Some(1), None), (None, Some(1))] {
            let mut group = Group::form();
            group.put_document(1, 10, before);
            group.start("a", "v1", 1);
            assert_eq!(group.proved(), Some(software("v1")));
            group.put_document(2, 10, after);
            group.assert_proved_only_after_retention("v1");
        }
    }
    /// Guards against rejections after each change of the configuration.
    a_version_is_not_proved_after_a_document_without_other_routes => {
        let mut group = Group::form();
        group.put_document(1, 10, Some(1));
        group.start("a", "v1", 1);
        group.put_document(2, 20, Some(1));
        assert_eq!(group.proved(), Some(software("v1")));
    }
    /// Guards against rejections after the first configuration with streams.
    a_version_is_not_proved_after_the_first_routes_of_streams => {
        let mut group = Group::form();
        group.put_document(1, 10, Some(Document::NO_STREAMS));
        group.start("a", "v1", 1);
        group.put_document(2, 20, Some(1));
        assert_eq!(group.proved(), Some(software("v1")));
    }
    /// Guards against a history that only the leader keeps.
    the_next_leader_does_not_know_which_versions_have_ended => {
        let mut group = Group::form();
        group.start("a", "v1", 1);
        group.start("b", "v2", 1);
        group.leave("a");
        let first = group.world.leader().unwrap();
        group.world.kill(first);
        group.elect();
        group.run(Duration::ZERO);
        assert_eq!(group.proved(), None);
    }
    /// Guards against rejections after an election.
    the_next_leader_can_not_tell_the_only_version => {
        let mut group = Group::form();
        group.start("a", "v1", 1);
        let first = group.world.leader().unwrap();
        group.world.kill(first);
        group.elect();
        group.run(Duration::ZERO);
        assert_eq!(group.proved(), Some(software("v1")));
    }
    /// Guards against an empty history as proof.
    members_that_restart_forget_which_versions_have_ended => {
        let mut group = Group::form();
        group.start("a", "v1", 1);
        group.start("b", "v2", 1);
        group.leave("a");
        group.restart_all();
        group.assert_proved_only_after_retention("v2");
    }
    /// Their log, which they read from its begin, has no other version.
    members_that_restart_with_their_whole_log_can_not_tell_the_only_version => {
        let mut group = Group::form();
        group.start("a", "v1", 1);
        group.restart_all();
        assert_eq!(group.proved(), Some(software("v1")));
    }
    /// A snapshot does not tell which versions have ended.
    members_that_restart_from_a_snapshot_prove_a_version => {
        let mut group = Group::form();
        group.start("a", "v1", 1);
        group.put_document(1, 5 * 1024 * 1024, None);
        group.start("b", "v1", 1);
        group.restart_all();
        group.assert_proved_only_after_retention("v1");
    }
    /// Guards against a client that comes back a minute after an event that came long after its replica was removed.
    a_stream_that_outlasts_its_version_goes_on_at_the_remaining_one => {
        let mut group = Group::form();
        group.put_streams(1, 10, Some(1), Some(LONGEST_STREAM));
        group.start("a", "v1", 1);
        group.start("b", "v2", 1);
        group.leave("a");
        group.assert_proved_only_after(LONGEST_STREAM + STREAM_RETENTION, "v2");
    }
    /// Guards against the same where later streams end sooner.
    a_stream_of_an_earlier_document_goes_on_at_the_remaining_version => {
        let mut group = Group::form();
        group.put_streams(1, 10, Some(1), Some(LONGEST_STREAM));
        group.start("a", "v1", 1);
        group.start("b", "v2", 1);
        group.put_streams(2, 10, Some(1), Some(Duration::ZERO));
        group.leave("a");
        group.assert_proved_only_after(LONGEST_STREAM + STREAM_RETENTION, "v2");
    }
    /// Guards against the same after a change of routes, and beside members of an older build.
    a_stream_of_unknown_length_goes_on_at_another_service => {
        let mut group = Group::form();
        group.put_streams(1, 10, None, None);
        group.start("a", "v1", 1);
        group.put_streams(2, 10, None, None);
        group.assert_proved_only_after(STREAM_RETENTION * 2, "v1");
    }
    /// Guards against a minute for all streams after a start from a snapshot.
    members_that_restart_from_a_snapshot_forget_a_stream_under_way => {
        let mut group = Group::form();
        group.start("a", "v1", 1);
        group.put_streams(1, 5 * 1024 * 1024, Some(1), Some(LONGEST_STREAM));
        group.start("b", "v1", 1);
        group.restart_all();
        group.assert_proved_only_after(LONGEST_STREAM + STREAM_RETENTION, "v1");
    }
    /// Guards against an answer from outdated state.
    a_follower_proves_a_version => {
        let mut group = Group::form();
        group.start("a", "v1", 1);
        let leader = group.world.leader().unwrap();
        for follower in HOSTS.into_iter().filter(|host| *host != leader) {
            let response = group.ask(follower, FleetRequest::OnlySoftware("pool".to_owned()));
            assert!(matches!(response, Some(Response::NotLeader(_))), "{response:?}");
        }
    }
    /// Another leader may have registered further versions meanwhile.
    a_leader_that_is_cut_off_proves_a_version => {
        let mut group = Group::form();
        group.start("a", "v1", 1);
        let cut_off = group.world.leader().unwrap();
        HOSTS.into_iter().filter(|host| *host != cut_off).for_each(|host| group.world.cut(cut_off, host));
        group.world.run(ELECTION_TIME);
        let response = group.ask(cut_off, FleetRequest::OnlySoftware("pool".to_owned()));
        assert!(!matches!(response, Some(Response::Fleet(FleetResponse::OnlySoftware(Some(_))))), "{response:?}");
    }
}
