//! What the leader tells gateways that all start together, as after a loss of all power: each thing once, and changes that
//! come together in one answer.

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
const SETTLING: Duration = Duration::from_secs(8);
/// Time in which all gateways and replicas start.
const STARTING: Duration = Duration::from_millis(1_000);
/// Time in which it is counted what they are told.
const COUNTED: Duration = Duration::from_secs(4);
const STEP: Duration = Duration::from_millis(10);
const HOLD: Duration = Duration::from_millis(400);

/// A gateway that asks for news again and again.
struct Gateway {
    report: GatewayReport,
    seen: SeenVersions,
    token: Option<Token>,
    /// Gateways that it knows.
    gateways: BTreeSet<String>,
    replicas: BTreeSet<String>,
}

/// What one gateway was told, on average.
struct Told {
    answers: f64,
    bytes: f64,
}

fn start_together(gateways: usize, replicas: usize) -> Told {
    let mut world = World::found(&HOSTS);
    world.until("a leader", SETTLING, |world| world.leader().is_some());
    let leader = world.leader().unwrap();
    let mut all: Vec<Gateway> = (0..gateways).map(gateway).collect();
    let (mut answers, mut bytes) = (0, 0);
    let steps = (STARTING + COUNTED).as_millis() / STEP.as_millis();
    let starting = STARTING.as_millis() / STEP.as_millis();
    for step in 0..steps {
        let begun =
            |count: usize| (count as u128 * (step + 1) / starting).min(count as u128) as usize;
        let due =
            if step == 0 { 0 } else { (replicas as u128 * step / starting).min(replicas as u128) };
        for number in due as usize..begun(replicas) {
            let request = Request::Fleet(FleetRequest::Heartbeat(replica(number)));
            world.ask(leader, request).unwrap();
        }
        for gateway in &mut all[..begun(gateways)] {
            let answer = gateway.token.and_then(|token| world.answer(token));
            if let Some(Response::Fleet(FleetResponse::View(view))) = answer {
                answers += 1;
                bytes += rmp_serde::to_vec(&view).unwrap().len();
                gateway.read(*view);
                gateway.token = None;
            }
            if gateway.token.is_none() {
                gateway.token = world.ask(leader, gateway.request());
            }
        }
        world.run(STEP);
    }
    for one in &all {
        assert_eq!(one.gateways.len(), gateways, "each knows all gateways");
        assert_eq!(one.replicas.len(), replicas, "each knows all replicas");
    }
    let count = gateways as f64;
    Told { answers: f64::from(answers) / count, bytes: bytes as f64 / count }
}

fn gateway(number: usize) -> Gateway {
    Gateway {
        report: GatewayReport {
            address: format!("10.{}.{}.1:8782", number / 250, number % 250),
            zone: "erie-hall".to_owned(),
            region: "great-lakes".to_owned(),
            is_ready: true,
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
    };
    InstanceReport { instance, models: Vec::new(), sequence: 0 }
}

impl Gateway {
    fn request(&self) -> Request {
        Request::Fleet(FleetRequest::Watch(WatchRequest {
            gateway: Some(self.report.clone()),
            seen: self.seen,
            wants_gateways: true,
            wait: HOLD,
            crashes: Default::default(),
        }))
    }

    fn read(&mut self, view: FleetView) {
        self.replicas.extend(view.instances.iter().map(|one| one.id.clone()));
        self.seen.revision = view.revision;
        if let Some((count, _)) = &view.statuses {
            self.seen.statuses = *count;
        }
        self.read_gateways(&view);
    }
}

/// Where each change went to all at once, and the whole list of gateways with each: 17 KB in 43 answers with 30 gateways, and
/// 428 KB in 62 with 300.
#[test]
fn what_a_gateway_is_told_grows_no_faster_than_the_fleet() {
    let small = start_together(30, 36);
    let large = start_together(300, 360);
    println!("30: {:.1} answers, {:.0} bytes", small.answers, small.bytes);
    println!("300: {:.1} answers, {:.0} bytes", large.answers, large.bytes);
    assert!(large.answers <= 1.2 * small.answers, "{} answers", large.answers);
    assert!(large.bytes <= 10.0 * small.bytes, "{} of {} bytes", large.bytes, small.bytes);
}

impl Gateway {
    fn read_gateways(&mut self, view: &FleetView) {
        let Some(news) = &view.gateways else { return };
        self.seen.gateways = news.count;
        if news.is_full {
            self.gateways.clear();
        }
        self.gateways.retain(|address| !news.removed.contains(address));
        self.gateways.extend(news.changed.iter().map(|one| one.address.clone()));
    }
}
