//! When outdated replicas are excluded, whichever member leads.

mod common;

use common::{Host, World};
use std::time::Duration;
use topazmount_control::{
    Availability, CrashReport, FleetRequest, FleetResponse, Request, Response, SeenVersions,
    WatchRequest,
};

const HOSTS: [Host; 3] = [1, 2, 3];
const ELECTION_TIME: Duration = Duration::from_secs(8);
const RESPONSE_TIME: Duration = Duration::from_millis(100);
/// Deadline of a roll-out, and the time before it at which outdated replicas are excluded.
const DEADLINE: Duration = Duration::from_secs(8);
const MARGIN: Duration = Duration::from_millis(1_500);

/// A group, and a replica that stays on version 1 of its weights.
struct Scenario {
    world: World,
    heartbeats: u64,
}

impl Scenario {
    fn new() -> Self {
        let mut world = World::new(&HOSTS);
        world.run_until("a leader", ELECTION_TIME, |world| world.leader().is_some());
        let mut scenario = Scenario { world, heartbeats: 0 };
        scenario.heartbeat();
        // A new leader gives no orders for a while.
        scenario.world.run(RESPONSE_TIME);
        scenario
    }

    fn request(&mut self, request: FleetRequest) -> Option<FleetResponse> {
        let leader = self.world.leader();
        let token = leader.and_then(|leader| self.world.request(leader, Request::Fleet(request)));
        self.world.run(RESPONSE_TIME);
        match self.world.take_response(token?) {
            Some(Response::Fleet(response)) => Some(response),
            _ => None,
        }
    }

    fn heartbeat(&mut self) {
        self.heartbeats += 1;
        let report = common::heartbeat(self.heartbeats);
        self.request(FleetRequest::Heartbeat(report));
    }

    fn availability(&mut self) -> Option<Availability> {
        let watch = WatchRequest {
            gateway: None,
            seen: SeenVersions::default(),
            accepts_packed: false,
            wants_gateways: false,
            wait: Duration::ZERO,
            crashes: CrashReport::default(),
            notices: Vec::new(),
        };
        let Some(FleetResponse::View(view)) = self.request(FleetRequest::Watch(watch)) else {
            return None;
        };
        let (_, statuses) = view.statuses?;
        statuses.first().map(|status| status.availability)
    }

    /// Time from the publication of version 2 to the exclusion of the replica, which sends
    /// heartbeats meanwhile.
    fn time_to_exclusion(&mut self, change_leader: impl Fn(&mut World), at: Duration) -> Duration {
        let publish = FleetRequest::PublishWeights { model: "model".to_owned(), version: 2 };
        assert_eq!(self.request(publish), Some(FleetResponse::Done));
        let mut after = Duration::ZERO;
        let mut has_changed = false;
        while after < DEADLINE * 2 {
            if after >= at && !has_changed {
                change_leader(&mut self.world);
                has_changed = true;
            }
            self.heartbeat();
            if self.availability() == Some(Availability::Excluded) {
                return after;
            }
            after += RESPONSE_TIME * 2;
        }
        panic!("the replica was never excluded");
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
    without_a_leader_change => {
        let after = Scenario::new().time_to_exclusion(|_| {}, Duration::ZERO);
        assert!(after >= DEADLINE - MARGIN - RESPONSE_TIME * 3 && after <= DEADLINE - MARGIN + RESPONSE_TIME * 3, "{after:?}");
    }

    a_former_follower_excludes_on_time => {
        for at in [200, 1_500, 5_000] {
            let after = Scenario::new().time_to_exclusion(kill_leader, Duration::from_millis(at));
            let expected = DEADLINE - MARGIN;
            assert!(after + RESPONSE_TIME * 4 >= expected, "{after:?}, lost at {at} ms");
            assert!(after <= expected + RESPONSE_TIME * 6, "{after:?}, lost at {at} ms");
        }
    }

    a_restarted_leader_excludes_a_deadline_after_its_start => {
        let started = Duration::from_secs(5);
        let after = Scenario::new().time_to_exclusion(restart_leader, started);
        assert!(after + RESPONSE_TIME * 4 >= DEADLINE - MARGIN, "{after:?}");
        assert!(after <= started + DEADLINE - MARGIN + RESPONSE_TIME * 6, "{after:?}");
    }
}
