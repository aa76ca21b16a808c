//! Heartbeats that any member answers, of which the leader hears together.

mod common;

use common::{Host, World};
use std::time::Duration;
use topazmount_control::{FleetRequest, FleetResponse, InstanceReport, Request, Response};
use topazmount_types::{Instance, Start};

const HOSTS: [Host; 3] = [1, 2, 3];
const SETTLING: Duration = Duration::from_secs(8);
const HEARTBEAT: Duration = Duration::from_millis(1_200);
const MOMENT: Duration = Duration::from_millis(100);

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
    };
    Request::Fleet(FleetRequest::Heartbeat(InstanceReport {
        instance,
        models: Vec::new(),
        sequence: 0,
    }))
}

struct Story {
    world: World,
    leader: Host,
    follower: Host,
}

impl Story {
    /// A group with a replica that is registered.
    fn new() -> Self {
        let mut world = World::found(&HOSTS);
        world.until("a leader", SETTLING, |world| world.leader().is_some());
        let leader = world.leader().unwrap();
        let follower = HOSTS.into_iter().find(|host| *host != leader).unwrap();
        let mut story = Story { world, leader, follower };
        assert!(story.is_done(leader, report("r", false)));
        story
    }

    fn answer(&mut self, host: Host, request: Request) -> Option<Response> {
        let token = self.world.ask(host, request)?;
        self.world.run(MOMENT);
        self.world.answer(token)
    }

    fn is_done(&mut self, host: Host, request: Request) -> bool {
        let answer = self.answer(host, request);
        answer == Some(Response::Fleet(FleetResponse::Done))
    }

    fn is_registered(&self) -> bool {
        let fleet = &self.world.member(self.leader).unwrap().state().fleet;
        fleet.instances().contains_key("r")
    }
}

cases! {
    a_replica_that_only_a_follower_hears_stays => {
        let mut story = Story::new();
        for _ in 0..12 {
            assert!(story.is_done(story.follower, report("r", false)));
            story.world.run(HEARTBEAT);
            assert!(story.is_registered());
        }
        story.world.run(SETTLING);
        assert!(!story.is_registered(), "one that nobody hears goes");
    }

    what_says_something_new_is_for_the_leader => {
        let mut story = Story::new();
        for request in [report("r", true), report("other", false)] {
            let answer = story.answer(story.follower, request);
            assert!(matches!(answer, Some(Response::NotLeader(_))), "{answer:?}");
        }
    }

    a_follower_that_is_cut_off_answers_for_a_moment_only => {
        let mut story = Story::new();
        let others = HOSTS.into_iter().filter(|host| *host != story.follower);
        for other in others.collect::<Vec<Host>>() {
            story.world.cut(story.follower, other);
        }
        story.world.run(Duration::from_secs(2));
        let answer = story.answer(story.follower, report("r", false));
        assert!(matches!(answer, Some(Response::NotLeader(_))), "{answer:?}");
        // What it answered before the cut and could not tell counts from then, not from the time it is heard.
        story.world.run(SETTLING);
        assert!(!story.is_registered());
    }

    a_replica_that_left_is_told_so_by_a_follower => {
        let mut story = Story::new();
        let depart = Request::Fleet(FleetRequest::Depart("r".to_owned(), Start::UNKNOWN));
        assert!(story.is_done(story.leader, depart));
        story.world.run(MOMENT * 5);
        let answer = story.answer(story.follower, report("r", false));
        assert_eq!(answer, Some(Response::Fleet(FleetResponse::Superseded)));
    }
}
