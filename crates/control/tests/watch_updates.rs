//! Responses to gateways that all start together, as after a power loss: each change is sent once,
//! and concurrent changes are combined.

mod common;

use common::{Host, World};
use std::collections::BTreeSet;
use std::time::Duration;
use topazmount_control::{
    FleetRequest, FleetResponse, FleetView, GatewayReport, InstanceReport, Request, Response,
    SeenVersions, Token, WatchRequest,
};
use topazmount_types::{Instance, Start};

const HOSTS: [Host; 3] = [1, 2, 3];
const ELECTION_TIME: Duration = Duration::from_secs(8);
/// Time in which all gateways and replicas start.
const STARTUP: Duration = Duration::from_millis(1_000);
/// Time in which responses are counted.
const MEASURED: Duration = Duration::from_secs(4);
const STEP: Duration = Duration::from_millis(10);
const HOLD: Duration = Duration::from_millis(400);

/// A gateway that sends watch requests continuously.
struct Gateway {
    report: GatewayReport,
    seen: SeenVersions,
    token: Option<Token>,
    /// Known gateways.
    gateways: BTreeSet<String>,
    replicas: BTreeSet<String>,
}

/// Average responses and bytes of one gateway.
struct Received {
    responses: f64,
    bytes: f64,
}

fn start_together(gateways: usize, replicas: usize) -> Received {
    let mut world = World::new(&HOSTS);
    world.run_until("a leader", ELECTION_TIME, |world| world.leader().is_some());
    let leader = world.leader().unwrap();
    let mut all: Vec<Gateway> = (0..gateways).map(gateway).collect();
    let (mut responses, mut bytes) = (0, 0);
    let steps = (STARTUP + MEASURED).as_millis() / STEP.as_millis();
    let startup_steps = STARTUP.as_millis() / STEP.as_millis();
    for step in 0..steps {
        let started =
            |count: usize| (count as u128 * (step + 1) / startup_steps).min(count as u128) as usize;
        let due = if step == 0 {
            0
        } else {
            (replicas as u128 * step / startup_steps).min(replicas as u128)
        };
        for number in due as usize..started(replicas) {
            let request = Request::Fleet(FleetRequest::Heartbeat(replica(number)));
            world.request(leader, request).unwrap();
        }
        for gateway in &mut all[..started(gateways)] {
            let response = gateway.token.and_then(|token| world.take_response(token));
            if let Some(Response::Fleet(FleetResponse::View(view))) = response {
                responses += 1;
                bytes += rmp_serde::to_vec(&view).unwrap().len();
                gateway.apply(*view);
                gateway.token = None;
            }
            if gateway.token.is_none() {
                gateway.token = world.request(leader, gateway.request());
            }
        }
        world.run(STEP);
    }
    for gateway in &all {
        assert_eq!(gateway.gateways.len(), gateways, "each knows all gateways");
        assert_eq!(gateway.replicas.len(), replicas, "each knows all replicas");
    }
    let count = gateways as f64;
    Received { responses: f64::from(responses) / count, bytes: bytes as f64 / count }
}

fn gateway(number: usize) -> Gateway {
    Gateway {
        report: GatewayReport {
            address: format!("10.{}.{}.1:8782", number / 250, number % 250),
            zone: "erie-hall".to_owned(),
            region: "great-lakes".to_owned(),
            is_ready: true,
            is_legacy: false,
        },
        seen: SeenVersions::default(),
        token: None,
        gateways: Default::default(),
        replicas: Default::default(),
    }
}

fn replica(number: usize) -> InstanceReport {
    let instance = Instance {
        id: format!("i-{number}"),
        service: "pool".to_owned(),
        address: format!("10.200.{}.{}:80", number / 250, number % 250),
        zone: "erie-hall".to_owned(),
        slots: 16,
        is_draining: false,
        changed_at: 0,
        start: Start::UNKNOWN,
        software: String::new(),
    };
    InstanceReport { instance, models: Vec::new(), sequence: 0 }
}

impl Gateway {
    fn request(&self) -> Request {
        Request::Fleet(FleetRequest::Watch(WatchRequest {
            gateway: Some(self.report.clone()),
            seen: self.seen,
            accepts_packed: false,
            wants_gateways: true,
            wait: HOLD,
            crashes: Default::default(),
            notices: Vec::new(),
        }))
    }

    fn apply(&mut self, view: FleetView) {
        self.replicas.extend(view.instances.iter().map(|entry| entry.id.clone()));
        self.seen.revision = view.revision;
        if let Some((count, _)) = &view.statuses {
            self.seen.statuses = *count;
        }
        self.apply_gateways(&view);
    }
}

/// Sending every change at once, with the full gateway list, would grow much faster.
#[test]
fn responses_to_a_gateway_grow_no_faster_than_the_fleet() {
    let small = start_together(30, 36);
    let large = start_together(300, 360);
    println!("30: {:.1} responses, {:.0} bytes", small.responses, small.bytes);
    println!("300: {:.1} responses, {:.0} bytes", large.responses, large.bytes);
    assert!(large.responses <= 1.2 * small.responses, "{} responses", large.responses);
    assert!(large.bytes <= 10.0 * small.bytes, "{} of {} bytes", large.bytes, small.bytes);
}

impl Gateway {
    fn apply_gateways(&mut self, view: &FleetView) {
        let Some(update) = &view.gateways else { return };
        self.seen.gateways = update.count;
        if update.is_full {
            self.gateways.clear();
        }
        self.gateways.retain(|address| !update.removed.contains(address));
        self.gateways.extend(update.changed.iter().map(|entry| entry.address.clone()));
    }
}
