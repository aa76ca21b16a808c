//! When replicas on old weights are barred, whoever leads.

mod common;

use common::{Host, World};
use std::time::Duration;
use topazmount_control::{
    Availability, CrashReport, FleetRequest, FleetResponse, Request, Response, SeenVersions,
    WatchRequest,
};

const HOSTS: [Host; 3] = [1, 2, 3];
const SETTLING: Duration = Duration::from_secs(8);
const MOMENT: Duration = Duration::from_millis(100);
/// Bound of a roll-out, and the time before its end from which old weights are barred.
const SPREAD: Duration = Duration::from_secs(8);
const MARGIN: Duration = Duration::from_millis(1_500);

/// A group, and a replica that stays on version 1 of its weights.
struct Story {
    world: World,
    heartbeats: u64,
}

impl Story {
    fn new() -> Self {
        let mut world = World::found(&HOSTS);
        world.until("a leader", SETTLING, |world| world.leader().is_some());
        let mut story = Story { world, heartbeats: 0 };
        story.heartbeat();
        // A new leader gives no orders for a while, so that the replica is left alone.
        story.world.run(MOMENT);
        story
    }

    fn ask(&mut self, request: FleetRequest) -> Option<FleetResponse> {
        let leader = self.world.leader();
        let asked = leader.and_then(|leader| self.world.ask(leader, Request::Fleet(request)));
        self.world.run(MOMENT);
        match self.world.answer(asked?) {
            Some(Response::Fleet(response)) => Some(response),
            _ => None,
        }
    }

    fn heartbeat(&mut self) {
        self.heartbeats += 1;
        let report = common::heartbeat(self.heartbeats);
        self.ask(FleetRequest::Heartbeat(report));
    }

    fn availability(&mut self) -> Option<Availability> {
        let watch = WatchRequest {
            gateway: None,
            seen: SeenVersions::default(),
            wants_gateways: false,
            wait: Duration::ZERO,
            crashes: CrashReport::default(),
        };
        let Some(FleetResponse::View(view)) = self.ask(FleetRequest::Watch(watch)) else {
            return None;
        };
        let (_, statuses) = view.statuses?;
        statuses.first().map(|status| status.availability)
    }

    /// Time after the naming of version 2 at which the replica is told of as barred, with heartbeats all the while.
    fn barred_after(&mut self, change_leader: impl Fn(&mut World), at: Duration) -> Duration {
        let name = FleetRequest::PublishWeights { model: "model".to_owned(), version: 2 };
        assert_eq!(self.ask(name), Some(FleetResponse::Done));
        let mut after = Duration::ZERO;
        let mut has_changed = false;
        while after < SPREAD * 2 {
            if after >= at && !has_changed {
                change_leader(&mut self.world);
                has_changed = true;
            }
            self.heartbeat();
            if self.availability() == Some(Availability::Excluded) {
                return after;
            }
            after += MOMENT * 2;
        }
        panic!("it was never barred");
    }
}

fn kill_leader(world: &mut World) {
    let leader = world.leader().unwrap();
    world.kill(leader);
}

fn restart_leader(world: &mut World) {
    let leader = world.leader().unwrap();
    world.kill(leader);
    world.start(leader);
}

cases! {
    without_a_change_of_leader => {
        let after = Story::new().barred_after(|_| {}, Duration::ZERO);
        assert!(after >= SPREAD - MARGIN - MOMENT * 3 && after <= SPREAD - MARGIN + MOMENT * 3, "{after:?}");
    }

    a_leader_that_followed_before_bars_neither_early_nor_late => {
        for at in [200, 1_500, 5_000] {
            let after = Story::new().barred_after(kill_leader, Duration::from_millis(at));
            let expected = SPREAD - MARGIN;
            assert!(after + MOMENT * 4 >= expected, "{after:?}, lost at {at} ms");
            assert!(after <= expected + MOMENT * 6, "{after:?}, lost at {at} ms");
        }
    }

    a_leader_that_has_just_started_bars_a_bound_after_its_start => {
        let started = Duration::from_secs(5);
        let after = Story::new().barred_after(restart_leader, started);
        assert!(after + MOMENT * 4 >= SPREAD - MARGIN, "{after:?}");
        assert!(after <= started + SPREAD - MARGIN + MOMENT * 6, "{after:?}");
    }
}
