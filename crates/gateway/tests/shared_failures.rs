//! Failures of replicas that gateways tell each other, in a fleet that is simulated in one process.

mod common;

use common::{choice_request, instance, prompt};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::cell::RefCell;
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;
use topazmount_control::{FleetView, GatewayListUpdate, GatewayReport, InstanceStatus};
use topazmount_gateway::{
    Choice, ChoiceRequest, Evidence, FailureOutput, GatewaySettings, GatewayState, Prompt,
    REPEAT_INTERVAL, ReplicaReport, ReplicaVerdict,
};
use topazmount_types::{Instance, ReplicaId, Time};

const START: Time = Time::from_secs(1_000);
const PORT: u16 = 7_000;
const REPLICAS: usize = 12;
/// Replicas that fail, a third.
const FAILING: usize = 4;
/// Time from which on the share of served requests is judged.
const SETTLED: Duration = Duration::from_secs(2);

fn address(number: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, (number / 250) as u8, (number % 250) as u8], PORT))
}

fn is_failing(id: &str) -> bool {
    (0..FAILING).any(|number| id == format!("i-{number}"))
}

/// How requests fail.
#[derive(Clone, Copy)]
enum Failure {
    /// The connection breaks.
    Broken,
    /// The replica answers with an error.
    Error,
}

#[derive(Clone)]
enum Message {
    Report(ReplicaReport),
    Verdicts(Vec<ReplicaVerdict>),
}

/// Gateways that exchange messages without delay, and what happened to their requests.
struct Fleet {
    gateways: Vec<GatewayState>,
    failure: Failure,
    prompt: Prompt,
    rng: ChaCha8Rng,
    now: Time,
    repeated_at: Time,
    /// When a request was sent by which gateway to which replica, and whether it failed.
    sent: Vec<(Time, usize, String, bool)>,
    /// How often gateways began to avoid a replica for the failures of others.
    avoided: BTreeMap<String, usize>,
    /// Since when gateways avoid replicas.
    avoided_since: BTreeMap<(usize, String), Time>,
    /// Time of avoided replicas, over all gateways.
    avoided_time: Duration,
    messages: usize,
}

impl Fleet {
    fn new(zones: &[&str]) -> Self {
        let report = |number| GatewayReport {
            address: format!("{}:90", address(number).ip()),
            zone: "north".to_owned(),
            region: "here".to_owned(),
            is_ready: true,
            is_legacy: false,
        };
        let replicas: Vec<Instance> =
            (0..REPLICAS).map(|number| instance(&format!("i-{number}"), "pool", "north")).collect();
        let listed = (0..zones.len()).map(report).collect();
        let view = FleetView {
            leader: Some("leader".to_owned()),
            staleness: Some(Duration::ZERO),
            revision: 1,
            is_full: true,
            instances: replicas,
            statuses: Some(((1, 1), Vec::<InstanceStatus>::new())),
            gateways: Some(GatewayListUpdate::full((1, 1), listed)),
            gateway_count: zones.len() as u32,
            ..FleetView::default()
        };
        let gateway = |(number, zone): (usize, &&str)| {
            let mut state = GatewayState::new(zone, GatewaySettings::default(), number as u64);
            state.set_own_address(address(number));
            state.apply(&view, None, START);
            state
        };
        Fleet {
            gateways: zones.iter().enumerate().map(gateway).collect(),
            failure: Failure::Broken,
            prompt: prompt(&[]),
            rng: ChaCha8Rng::seed_from_u64(1),
            now: START,
            repeated_at: START,
            sent: Vec::new(),
            avoided: BTreeMap::new(),
            avoided_since: BTreeMap::new(),
            avoided_time: Duration::ZERO,
            messages: 0,
        }
    }

    /// Handles outputs of a gateway, and delivers all messages that follow in the order sent.
    fn handle(&mut self, gateway: usize, outputs: Vec<FailureOutput>) {
        let mut queue = VecDeque::new();
        self.record(gateway, outputs, &mut queue);
        while let Some((sender, to, message)) = queue.pop_front() {
            self.messages += 1;
            let to = self.number(to);
            let outputs = match message {
                Message::Report(report) => {
                    self.gateways[to].apply_report(report, address(sender), self.now)
                }
                Message::Verdicts(verdicts) => {
                    self.gateways[to].apply_verdicts(&verdicts, self.now)
                }
            };
            self.record(to, outputs, &mut queue);
        }
    }

    fn record(
        &mut self,
        gateway: usize,
        outputs: Vec<FailureOutput>,
        queue: &mut VecDeque<(usize, SocketAddr, Message)>,
    ) {
        for output in outputs {
            match output {
                FailureOutput::SendReport(to, report) => {
                    queue.extend(to.iter().map(|to| (gateway, *to, Message::Report(report))));
                }
                FailureOutput::SendVerdicts(to, verdicts) => {
                    let message = || Message::Verdicts(verdicts.clone());
                    queue.extend(to.iter().map(|to| (gateway, *to, message())));
                }
                FailureOutput::Avoided(id) => {
                    *self.avoided.entry(id.clone()).or_default() += 1;
                    let before = self.avoided_since.insert((gateway, id), self.now);
                    self.add_avoided_time(before);
                }
                FailureOutput::Restored(id) => {
                    let since = self.avoided_since.remove(&(gateway, id));
                    self.add_avoided_time(since);
                }
            }
        }
    }

    fn add_avoided_time(&mut self, since: Option<Time>) {
        if let Some(since) = since {
            self.avoided_time += self.now.since(since);
        }
    }

    fn number(&self, to: SocketAddr) -> usize {
        (0..self.gateways.len()).find(|number| address(*number) == to).expect("it is listed")
    }

    fn send(&mut self, gateway: usize, fails: &impl Fn(usize, &str) -> bool) {
        let choice = self.choose(gateway);
        let id = choice.instance.id.clone();
        let has_failed = fails(gateway, &id);
        let state = &mut self.gateways[gateway];
        let outputs = match (has_failed, self.failure) {
            (true, Failure::Broken) => {
                state.balancer().on_failure(&choice, self.now);
                state.report_failure(&choice, self.now)
            }
            (true, Failure::Error) => {
                state.balancer().on_error_response(&choice, self.now);
                state.report_error_response(&choice, self.now)
            }
            (false, _) => {
                state.balancer().on_success(&choice, self.now);
                state.report_success(&choice, self.now, self.now)
            }
        };
        state.balancer().on_ended(&choice, true);
        self.sent.push((self.now, gateway, id, has_failed));
        self.handle(gateway, outputs);
    }

    fn choose(&mut self, gateway: usize) -> Choice {
        let request =
            ChoiceRequest { prompt: None, model: None, ..choice_request(&self.prompt, None) };
        let state = &mut self.gateways[gateway];
        let choice = state.choose(&request, self.now).expect("there are replicas");
        state.balancer().on_sent(&choice, &request, self.now);
        choice
    }

    /// Sends requests, each `pause` after the last one, through random gateways for a time.
    fn play(&mut self, time: Duration, pause: Duration, fails: impl Fn(usize, &str) -> bool) {
        let end = self.now + time;
        while self.now < end {
            let gateway = self.rng.random_range(0..self.gateways.len());
            self.send(gateway, &fails);
            self.now = self.now + pause;
            if self.now >= self.repeated_at + REPEAT_INTERVAL {
                self.repeated_at = self.now;
                for gateway in 0..self.gateways.len() {
                    let outputs = self.gateways[gateway].repeat_verdicts(self.now);
                    self.handle(gateway, outputs);
                }
            }
        }
    }

    /// Share of requests without failure from a time on.
    fn served_from(&self, from: Time) -> f64 {
        let judged = self.sent.iter().filter(|(at, ..)| *at >= from);
        let served = judged.clone().filter(|(.., has_failed)| !has_failed).count();
        served as f64 / judged.count() as f64
    }
}

macro_rules! each_gateway_fails_at_a_replica_before_it_is_avoided {
    ($($name:ident: $gateways:expr, $pause_ms:expr, $failure:expr;)*) => {$(
        #[test]
        fn $name() {
            let mut fleet = Fleet { failure: $failure, ..Fleet::new(&["north"; $gateways]) };
            let pause = Duration::from_millis($pause_ms);
            fleet.play(Duration::from_secs(3), pause, |_, _| false);
            let began = fleet.now;
            fleet.play(Duration::from_secs(20), pause, |_, id| is_failing(id));
            let served = fleet.served_from(began + SETTLED);
            assert!(served >= 0.97, "{served:.3} of the first attempts, {} messages", fleet.messages);
            let sound = fleet.avoided.keys().find(|id| !is_failing(id));
            assert_eq!(sound, None, "{:?}", fleet.avoided);
        }
    )*};
}

each_gateway_fails_at_a_replica_before_it_is_avoided! {
    each_of_6_gateways_fails_at_a_replica_before_it_is_avoided: 6, 10, Failure::Broken;
    each_of_24_gateways_fails_at_a_replica_before_it_is_avoided: 24, 10, Failure::Broken;
    each_of_300_gateways_fails_at_a_replica_before_it_is_avoided: 300, 10, Failure::Broken;
    each_of_6_gateways_gets_errors_of_a_replica_before_it_is_avoided: 6, 10, Failure::Error;
    each_of_24_gateways_gets_errors_of_a_replica_before_it_is_avoided: 24, 10, Failure::Error;
    each_of_300_gateways_gets_errors_of_a_replica_before_it_is_avoided: 300, 10, Failure::Error;
}

macro_rules! a_service_that_fails_a_share_of_its_requests_loses_replicas {
    ($($name:ident: $gateways:expr, $share:expr;)*) => {$(
        #[test]
        fn $name() {
            let mut fleet = Fleet { failure: Failure::Error, ..Fleet::new(&["north"; $gateways]) };
            let rng = RefCell::new(ChaCha8Rng::seed_from_u64(2));
            let pause = Duration::from_millis(10);
            fleet.play(Duration::from_secs(30), pause, |_, _| rng.borrow_mut().random_bool($share));
            for since in std::mem::take(&mut fleet.avoided_since).into_values() {
                fleet.add_avoided_time(Some(since));
            }
            let avoided = fleet.avoided_time.as_secs_f64();
            let share = avoided / (30 * $gateways * REPLICAS) as f64;
            assert!(share <= 0.05, "{share:.3} of the time, {:?}", fleet.avoided);
        }
    )*};
}

a_service_that_fails_a_share_of_its_requests_loses_replicas! {
    a_service_that_fails_one_request_in_seven_loses_replicas: 300, 0.14;
    a_service_that_fails_half_of_its_requests_loses_replicas: 24, 0.5;
    a_service_that_fails_half_of_its_requests_in_a_large_fleet_loses_replicas: 300, 0.5;
    a_service_that_fails_nearly_all_requests_loses_replicas: 24, 0.9;
}

#[test]
fn a_gateway_without_network_makes_others_avoid_replicas() {
    let mut fleet = Fleet::new(&["north"; 24]);
    fleet.play(Duration::from_secs(10), Duration::from_millis(5), |gateway, _| gateway == 3);
    assert!(fleet.avoided.is_empty(), "{:?}", fleet.avoided);
}

#[test]
fn gateways_without_network_make_others_avoid_replicas_for_long() {
    let mut fleet = Fleet::new(&["north"; 24]);
    fleet.play(Duration::from_secs(3), Duration::from_millis(5), |_, _| false);
    let before = fleet.sent.len();
    fleet.play(Duration::from_secs(20), Duration::from_millis(5), |gateway, _| gateway < 6);
    let mut sent: BTreeMap<&str, usize> = BTreeMap::new();
    for (_, gateway, id, _) in &fleet.sent[before..] {
        *sent.entry(id).or_default() += usize::from(*gateway >= 6);
    }
    let share = sent.values().sum::<usize>() / REPLICAS;
    assert!(sent.values().all(|count| *count * 2 >= share), "{sent:?} {:?}", fleet.avoided);
    assert!(fleet.served_from(START) >= 0.74, "{}", fleet.served_from(START));
}

#[test]
fn a_zone_that_is_cut_off_from_a_replica_makes_other_zones_avoid_it() {
    let zones: Vec<&str> = (0..24).map(|number| ["north", "south"][number % 2]).collect();
    let mut fleet = Fleet::new(&zones);
    fleet.play(Duration::from_secs(10), Duration::from_millis(5), |gateway, id| {
        gateway % 2 == 1 && is_failing(id)
    });
    let by_north =
        fleet.sent.iter().filter(|(_, gateway, id, _)| gateway % 2 == 0 && is_failing(id));
    let all_by_north = fleet.sent.iter().filter(|(_, gateway, ..)| gateway % 2 == 0).count();
    let share = by_north.count() as f64 / all_by_north as f64;
    assert!(share >= 0.3, "{share:.2} of the requests of the connected zone");
    assert!(fleet.served_from(START + SETTLED) >= 0.97, "{}", fleet.served_from(START + SETTLED));
}

#[test]
fn a_repaired_replica_stays_avoided() {
    let mut fleet = Fleet::new(&["north"; 24]);
    let pause = Duration::from_millis(5);
    fleet.play(Duration::from_secs(10), pause, |_, id| is_failing(id));
    fleet.play(Duration::from_secs(5), pause, |_, _| false);
    let before = fleet.sent.len();
    fleet.play(Duration::from_secs(5), pause, |_, _| false);
    let all = fleet.sent.len() - before;
    let repaired = fleet.sent[before..].iter().filter(|(_, _, id, _)| is_failing(id)).count();
    let share = (all * FAILING / REPLICAS) as f64;
    assert!(repaired as f64 >= 0.8 * share, "{repaired} of {all}");
}

#[test]
fn replicas_that_all_fail_alike_are_all_avoided() {
    let mut fleet = Fleet::new(&["north"; 24]);
    fleet.play(Duration::from_secs(5), Duration::from_millis(5), |_, _| true);
    let before = fleet.sent.len();
    fleet.play(Duration::from_secs(5), Duration::from_millis(5), |_, _| false);
    let served = fleet.sent[before..].iter().filter(|(.., has_failed)| !has_failed).count();
    assert_eq!(served, fleet.sent.len() - before);
}

fn hash(name: &str) -> u64 {
    ReplicaId::from_name(name).0
}

#[test]
fn one_report_after_a_start_makes_gateways_avoid_a_replica() {
    let mut fleet = Fleet::new(&["north"; 6]);
    let incarnation = hash(&instance("i-0", "pool", "north").incarnation_name());
    let report = ReplicaReport { incarnation, zone: hash("north"), evidence: Evidence::Failure(1) };
    let outputs = fleet.gateways[0].apply_report(report, address(1), Time::from_millis(10));
    assert_eq!(outputs, []);
}

#[test]
fn a_permission_for_a_trial_outlasts_the_avoidance() {
    let mut fleet = Fleet::new(&["north"]);
    let name = instance("i-0", "pool", "north").incarnation_name();
    let avoided = ReplicaVerdict {
        incarnation: hash(&name),
        zone: hash("north"),
        failing_for: Some(Duration::from_secs(1)),
        testers: vec![address(0)],
    };
    let restored = ReplicaVerdict { failing_for: None, testers: Vec::new(), ..avoided.clone() };
    fleet.gateways[0].apply_verdicts(&[avoided, restored], fleet.now);
    let choose_failing = |fleet: &mut Fleet| {
        (0..100).map(|_| fleet.choose(0)).find(|choice| choice.instance.id == "i-0")
    };
    let choice = choose_failing(&mut fleet).expect("it is avoided no longer");
    fleet.gateways[0].balancer().on_ended(&choice, true);
    fleet.gateways[0].balancer().on_success(&choice, fleet.now);
    fleet.gateways[0].balancer().on_failure(&choice, fleet.now);
    fleet.gateways[0].report_failure(&choice, fleet.now);
    fleet.now = fleet.now + Duration::from_secs(1);
    assert!(choose_failing(&mut fleet).is_some(), "one failure keeps it avoided for over 1 s");
}
