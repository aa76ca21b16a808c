//! Updates whose lists are encoded once for all requesters.

mod fleet_world;

use fleet_world::{World, instance};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rustix::time::{ClockId, clock_gettime};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;
use topazmount_control::{
    CrashReport, FleetRequest, FleetResponse, FleetView, Frame, GatewayReport, InstanceReport,
    InstanceStatus, MemberInput, MemberOutput, Request, Response, SeenVersions, Token,
    WatchRequest,
};
use topazmount_types::{Instance, InstanceId};
use topazmount_wire::{encode_payload, without_compression};

const SECOND: Duration = Duration::from_secs(1);

/// What a gateway has applied.
#[derive(Default)]
struct Requester {
    number: usize,
    accepts_packed: bool,
    seen: SeenVersions,
    instances: BTreeMap<InstanceId, Instance>,
    statuses: BTreeMap<InstanceId, InstanceStatus>,
    gateways: BTreeSet<String>,
}

impl Requester {
    fn request(&self) -> Request {
        let gateway = GatewayReport {
            address: format!("10.0.{}.{}:80", self.number / 250, self.number % 250),
            zone: "north".to_owned(),
            region: "here".to_owned(),
            is_ready: true,
            is_legacy: false,
        };
        Request::Fleet(FleetRequest::Watch(WatchRequest {
            gateway: Some(gateway),
            seen: self.seen,
            wants_gateways: true,
            wait: Duration::ZERO,
            crashes: CrashReport::default(),
            notices: Vec::new(),
            accepts_packed: self.accepts_packed,
        }))
    }

    fn apply(&mut self, mut view: FleetView) {
        view.unpack().expect("the member packed it");
        if view.is_full {
            self.instances.clear();
        }
        for removed in &view.removed {
            self.instances.remove(&removed.id);
        }
        self.instances.extend(view.instances.into_iter().map(|known| (known.id.clone(), known)));
        self.seen.revision = view.revision;
        if let Some((count, statuses)) = view.statuses {
            self.seen.statuses = count;
            self.statuses.extend(statuses.into_iter().map(|status| (status.id.clone(), status)));
        }
        self.statuses.retain(|id, _| self.instances.contains_key(id));
        if let Some(update) = view.gateways {
            self.seen.gateways = update.count;
            if update.is_full {
                self.gateways.clear();
            }
            self.gateways.extend(update.changed.into_iter().map(|report| report.address));
            let gone: BTreeSet<String> = update.removed.into_iter().collect();
            self.gateways.retain(|address| !gone.contains(address));
        }
    }
}

fn ask(world: &mut World, requester: &mut Requester) {
    let Request::Fleet(request) = requester.request() else { unreachable!() };
    match world.ask(request) {
        Response::Fleet(FleetResponse::View(view)) => requester.apply(*view),
        other => panic!("{other:?}"),
    }
}

fn register(world: &mut World, number: usize, count: u64) {
    let instance = instance(&format!("x{number:04}"));
    let report = InstanceReport { instance, models: Vec::new(), sequence: count };
    world.send(FleetRequest::Heartbeat(report));
}

/// Guards against shared updates that leave out a change, whoever asked for them first.
#[test]
fn requesters_that_share_updates_have_the_same_lists_as_others() {
    for seed in 0..4 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut world = World::new(3);
        world.run_for(4 * SECOND);
        let mut requesters: Vec<Requester> = (0..8)
            .map(|number| Requester {
                number,
                accepts_packed: number % 4 > 0,
                ..Requester::default()
            })
            .collect();
        for round in 0..30 {
            for _ in 0..rng.random_range(0..60) {
                register(&mut world, rng.random_range(0..1_500), round);
            }
            if rng.random_bool(0.1) {
                world.change_leader();
            }
            world.run_for(Duration::from_millis(rng.random_range(10..1_500)));
            for requester in &mut requesters {
                if rng.random_bool(0.6) {
                    ask(&mut world, requester);
                }
            }
        }
        world.run_for(SECOND);
        for requester in &mut requesters {
            (0..20).for_each(|_| ask(&mut world, requester));
        }
        world.run_for(SECOND);
        requesters.iter_mut().for_each(|requester| ask(&mut world, requester));
        let expected = world.member.state().fleet.instances().clone();
        for requester in &requesters {
            assert_eq!(requester.instances, expected, "seed {seed}, {}", requester.number);
            assert_eq!(requester.gateways, requesters[0].gateways, "{}", requester.number);
            assert_eq!(requester.statuses, requesters[0].statuses, "{}", requester.number);
        }
    }
}

/// Processor time for telling all replicas to gateways that start together.
fn time_for_starts(gateways: usize) -> Duration {
    let mut world = World::new(0);
    world.run_for(4 * SECOND);
    (0..2_000).for_each(|number| register(&mut world, number, 1));
    world.run_for(SECOND);
    let mut requesters: Vec<Requester> = (0..gateways)
        .map(|number| Requester { number, accepts_packed: true, ..Requester::default() })
        .collect();
    let mut spent = Duration::ZERO;
    let mut waiting: BTreeSet<usize> = BTreeSet::new();
    for _ in 0..200 {
        world.now = world.now + Duration::from_millis(10);
        let is_asking = |requester: &&Requester| {
            requester.instances.len() < 2_000 && !waiting.contains(&requester.number)
        };
        let asking: Vec<&Requester> = requesters.iter().filter(is_asking).collect();
        if asking.is_empty() && waiting.is_empty() {
            break;
        }
        let input = |requester: &&Requester| {
            MemberInput::Request(Token(requester.number as u64), requester.request())
        };
        let inputs: Vec<MemberInput> =
            asking.iter().map(input).chain([MemberInput::Tick]).collect();
        waiting.extend(asking.iter().map(|requester| requester.number));
        let began = clock_gettime(ClockId::ThreadCPUTime);
        let outputs = world.member.step(world.now, inputs).unwrap();
        let views: Vec<(Token, FleetView)> = outputs.into_iter().filter_map(view_of).collect();
        for (_, view) in &views {
            let response = Response::Fleet(FleetResponse::View(Box::new(view.clone())));
            let payload = encode_payload(&Frame::Response(1, response)).unwrap();
            without_compression(&payload);
        }
        let ended = clock_gettime(ClockId::ThreadCPUTime);
        let nanos = (ended.tv_sec - began.tv_sec) * 1_000_000_000 + ended.tv_nsec - began.tv_nsec;
        spent += Duration::from_nanos(nanos as u64);
        for (token, view) in views {
            waiting.remove(&(token.0 as usize));
            requesters[token.0 as usize].apply(view);
        }
    }
    let complete = requesters.iter().filter(|requester| requester.instances.len() == 2_000);
    assert_eq!(complete.count(), gateways, "all gateways have all replicas after 2 s");
    spent
}

fn view_of(output: MemberOutput) -> Option<(Token, FleetView)> {
    match output {
        MemberOutput::Respond(token, Response::Fleet(FleetResponse::View(view))) => {
            Some((token, *view))
        }
        _ => None,
    }
}

/// Guards against lists that are collected and encoded for each gateway: with a thousand gateways and ten
/// thousand replicas that keeps a member busy for minutes.
#[test]
fn twenty_times_as_many_starting_gateways_cost_less_than_four_times_as_much() {
    let few = (0..2).map(|_| time_for_starts(5)).min().unwrap();
    let many = (0..2).map(|_| time_for_starts(100)).min().unwrap();
    assert!(many < few * 4, "{few:?} for 5 gateways, {many:?} for 100");
}
