//! Gateways that start together with many registered replicas, as after a power loss: size of the
//! responses, and cost of lost ones.

mod common;

use common::{Host, World};
use std::collections::BTreeSet;
use std::time::Duration;
use topazmount_control::{
    FleetRequest, FleetResponse, FleetView, GatewayReport, InstanceReport, LoadedModel, Request,
    Response, SeenVersions, Token, WatchRequest,
};
use topazmount_types::{Instance, Start};

const HOSTS: [Host; 3] = [1, 2, 3];
const ELECTION_TIME: Duration = Duration::from_secs(8);
const STEP: Duration = Duration::from_millis(10);
const HOLD: Duration = Duration::from_millis(400);
/// Time within which all gateways must know all replicas.
const LIMIT: Duration = Duration::from_secs(20);
/// Tolerance for sizes that should be equal; numbers differ in length.
const SLACK: f64 = 1.2;

/// Bytes sent to gateways.
#[derive(Debug, Default)]
struct Sent {
    bytes: usize,
    /// Without gateway lists.
    largest_response: usize,
    /// Maximum bytes sent in one step, which a member holds in memory.
    largest_step: usize,
}

#[derive(Default)]
struct Gateway {
    number: usize,
    seen: SeenVersions,
    token: Option<Token>,
    replicas: BTreeSet<String>,
    /// Replicas with a received status.
    with_status: BTreeSet<String>,
}

impl Gateway {
    fn request(&self) -> Request {
        let number = self.number;
        let report = GatewayReport {
            address: format!("10.{}.{}.1:8782", number / 250, number % 250),
            zone: "erie-hall".to_owned(),
            region: "great-lakes".to_owned(),
            is_ready: true,
            is_legacy: false,
        };
        Request::Fleet(FleetRequest::Watch(WatchRequest {
            gateway: Some(report),
            seen: self.seen,
            accepts_packed: false,
            wants_gateways: true,
            wait: HOLD,
            crashes: Default::default(),
            notices: Vec::new(),
        }))
    }

    fn apply(&mut self, view: &FleetView) {
        if view.revision > self.seen.revision {
            self.replicas.extend(view.instances.iter().map(|entry| entry.id.clone()));
            self.seen.revision = view.revision;
        }
        if let Some((count, statuses)) = &view.statuses {
            self.seen.statuses = *count;
            let known = statuses.iter().filter(|entry| self.replicas.contains(&entry.id));
            self.with_status.extend(known.map(|entry| entry.id.clone()));
        }
        if let Some(update) = &view.gateways {
            self.seen.gateways = update.count;
        }
    }
}

fn replica(number: usize) -> InstanceReport {
    let instance = Instance {
        // Not in the order of registration.
        id: format!("i-{:04}", number * 7_919 % 10_000),
        service: "pool".to_owned(),
        address: format!("10.200.{}.{}:80", number / 250, number % 250),
        zone: "erie-hall".to_owned(),
        slots: 16,
        is_draining: false,
        changed_at: 0,
        start: Start::UNKNOWN,
        software: String::new(),
    };
    let models = vec![LoadedModel { model: "dense".to_owned(), version: 1 }];
    InstanceReport { instance, models, sequence: 0 }
}

/// All gateways send requests at once; one of `lost_of` responses is lost.
fn start_together(gateways: usize, replicas: usize, lost_of: Option<usize>) -> Sent {
    let mut world = World::new(&HOSTS);
    world.run_until("a leader", ELECTION_TIME, |world| world.leader().is_some());
    let leader = world.leader().unwrap();
    for number in 0..replicas {
        world.request(leader, Request::Fleet(FleetRequest::Heartbeat(replica(number)))).unwrap();
        if number % 100 == 99 {
            world.run(STEP);
        }
    }
    world.run(Duration::from_secs(1));
    let mut all: Vec<Gateway> =
        (0..gateways).map(|number| Gateway { number, ..Gateway::default() }).collect();
    let mut sent = Sent::default();
    let mut responses = 0;
    let end = world.now + LIMIT;
    let is_complete = |gateway: &Gateway| {
        gateway.replicas.len() == replicas && gateway.with_status.len() == replicas
    };
    while !all.iter().all(is_complete) {
        assert!(world.now < end, "not all gateways are up to date: {sent:?}");
        // Replicas keep sending heartbeats.
        for number in (0..replicas).filter(|number| number % 50 == responses % 50) {
            world
                .request(leader, Request::Fleet(FleetRequest::Heartbeat(replica(number))))
                .unwrap();
        }
        let mut step = 0;
        for gateway in &mut all {
            let response = gateway.token.and_then(|token| world.take_response(token));
            if let Some(Response::Fleet(FleetResponse::View(view))) = response {
                responses += 1;
                let bytes = rmp_serde::to_vec(&view).unwrap().len();
                step += bytes;
                if lost_of.is_none_or(|lost_of| responses % lost_of != 0) {
                    gateway.apply(&view);
                }
                // The size of the gateway list depends on the number of gateways.
                let without_gateways = FleetView { gateways: None, ..*view };
                let without_gateways = rmp_serde::to_vec(&without_gateways).unwrap().len();
                sent.largest_response = sent.largest_response.max(without_gateways);
                gateway.token = None;
            }
            if gateway.token.is_none() {
                gateway.token = world.request(leader, gateway.request());
            }
        }
        sent.bytes += step;
        sent.largest_step = sent.largest_step.max(step);
        world.run(STEP);
    }
    sent
}

#[test]
fn response_size_and_work_per_step_are_bounded_at_any_fleet_size() {
    let small = start_together(100, 1_000, None);
    let large = start_together(300, 3_000, None);
    println!("100: {small:?}\n300: {large:?}");
    let ratio = |large: usize, small: usize| large as f64 / small as f64;
    let response = ratio(large.largest_response, small.largest_response);
    let step = ratio(large.largest_step, small.largest_step);
    let each = ratio(large.bytes / 300, small.bytes / 100);
    assert!(response <= SLACK, "the largest response grew {response:.2} times");
    assert!(step <= SLACK, "the maximum per step grew {step:.2} times");
    assert!(each <= 3.0 * SLACK, "each received {each:.2} times as much with 3 times the replicas");
}

/// With everything in one response, a lost one would be sent again as a whole.
#[test]
fn lost_responses_cost_only_their_share() {
    let lossless = start_together(60, 3_000, None);
    let lossy = start_together(60, 3_000, Some(3));
    println!("none lost: {lossless:?}\none of 3 lost: {lossy:?}");
    let ratio = lossy.bytes as f64 / lossless.bytes as f64;
    assert!(ratio <= 1.5 * SLACK, "{ratio:.2} times as much with a third lost");
}
