//! Gateways that start together where replicas are registered already, as after a loss of all power: how much each is told at
//! once, and what it costs them that answers are lost. Growth is asserted, not figures.

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
const SETTLING: Duration = Duration::from_secs(8);
const STEP: Duration = Duration::from_millis(10);
const HOLD: Duration = Duration::from_millis(400);
/// Within which all must know all: more than they need.
const LIMIT: Duration = Duration::from_secs(20);
/// What is the same at all sizes may differ by this: other numbers have other lengths.
const SLACK: f64 = 1.2;

/// What they were told.
#[derive(Debug, Default)]
struct Told {
    bytes: usize,
    /// Of replicas alone.
    largest_answer: usize,
    /// Most bytes that were made at one moment: a member holds them until they are sent.
    largest_step: usize,
}

#[derive(Default)]
struct Gateway {
    number: usize,
    seen: SeenVersions,
    token: Option<Token>,
    replicas: BTreeSet<String>,
    /// Replicas that it knew of when it heard what is believed of them.
    believed: BTreeSet<String>,
}

impl Gateway {
    fn request(&self) -> Request {
        let number = self.number;
        let report = GatewayReport {
            address: format!("10.{}.{}.1:8782", number / 250, number % 250),
            zone: "erie-hall".to_owned(),
            region: "great-lakes".to_owned(),
            is_ready: true,
        };
        Request::Fleet(FleetRequest::Watch(WatchRequest {
            gateway: Some(report),
            seen: self.seen,
            wants_gateways: true,
            wait: HOLD,
            crashes: Default::default(),
        }))
    }

    fn read(&mut self, view: &FleetView) {
        if view.revision > self.seen.revision {
            self.replicas.extend(view.instances.iter().map(|one| one.id.clone()));
            self.seen.revision = view.revision;
        }
        if let Some((count, statuses)) = &view.statuses {
            self.seen.statuses = *count;
            let known = statuses.iter().filter(|one| self.replicas.contains(&one.id));
            self.believed.extend(known.map(|one| one.id.clone()));
        }
        if let Some(news) = &view.gateways {
            self.seen.gateways = news.count;
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
    };
    let models = vec![LoadedModel { model: "dense".to_owned(), version: 1 }];
    InstanceReport { instance, models, sequence: 0 }
}

/// All gateways ask at once; of `lost_of` answers one is lost.
fn start_together(gateways: usize, replicas: usize, lost_of: Option<usize>) -> Told {
    let mut world = World::found(&HOSTS);
    world.until("a leader", SETTLING, |world| world.leader().is_some());
    let leader = world.leader().unwrap();
    for number in 0..replicas {
        world.ask(leader, Request::Fleet(FleetRequest::Heartbeat(replica(number)))).unwrap();
        if number % 100 == 99 {
            world.run(STEP);
        }
    }
    world.run(Duration::from_secs(1));
    let mut all: Vec<Gateway> =
        (0..gateways).map(|number| Gateway { number, ..Gateway::default() }).collect();
    let mut told = Told::default();
    let mut answers = 0;
    let end = world.now + LIMIT;
    let is_whole = |one: &Gateway| one.replicas.len() == replicas && one.believed.len() == replicas;
    while !all.iter().all(is_whole) {
        assert!(world.now < end, "not all know all: {told:?}");
        // Replicas go on living.
        for number in (0..replicas).filter(|number| number % 50 == answers % 50) {
            world.ask(leader, Request::Fleet(FleetRequest::Heartbeat(replica(number)))).unwrap();
        }
        let mut step = 0;
        for gateway in &mut all {
            let answer = gateway.token.and_then(|token| world.answer(token));
            if let Some(Response::Fleet(FleetResponse::View(view))) = answer {
                answers += 1;
                let bytes = rmp_serde::to_vec(&view).unwrap().len();
                step += bytes;
                if lost_of.is_none_or(|lost_of| answers % lost_of != 0) {
                    gateway.read(&view);
                }
                // A gateway has to know as many others as there are.
                let of_replicas = FleetView { gateways: None, ..*view };
                let of_replicas = rmp_serde::to_vec(&of_replicas).unwrap().len();
                told.largest_answer = told.largest_answer.max(of_replicas);
                gateway.token = None;
            }
            if gateway.token.is_none() {
                gateway.token = world.ask(leader, gateway.request());
            }
        }
        told.bytes += step;
        told.largest_step = told.largest_step.max(step);
        world.run(STEP);
    }
    told
}

#[test]
fn an_answer_and_a_step_are_bounded_whatever_the_size() {
    let small = start_together(100, 1_000, None);
    let large = start_together(300, 3_000, None);
    println!("100: {small:?}\n300: {large:?}");
    let ratio = |large: usize, small: usize| large as f64 / small as f64;
    let answer = ratio(large.largest_answer, small.largest_answer);
    let step = ratio(large.largest_step, small.largest_step);
    let each = ratio(large.bytes / 300, small.bytes / 100);
    assert!(answer <= SLACK, "the largest answer grew {answer:.2} times");
    assert!(step <= SLACK, "the most at a time grew {step:.2} times");
    assert!(each <= 3.0 * SLACK, "each was told {each:.2} times as much of 3 times the replicas");
}

/// Where everything is in one answer, one that is lost is told anew as a whole.
#[test]
fn lost_answers_cost_no_more_than_their_share() {
    let whole = start_together(60, 3_000, None);
    let lossy = start_together(60, 3_000, Some(3));
    println!("none lost: {whole:?}\none of 3 lost: {lossy:?}");
    let ratio = lossy.bytes as f64 / whole.bytes as f64;
    assert!(ratio <= 1.5 * SLACK, "{ratio:.2} times as much with a third lost");
}
