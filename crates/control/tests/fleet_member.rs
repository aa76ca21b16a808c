//! A member and its fleet: heartbeats, news and the roll-out of weights, on a virtual clock.

use std::collections::BTreeMap;
use std::time::Duration;
use topazmount_consensus::{Config, MemberInfo, MemoryDisk};
use topazmount_control::{
    Availability, CrashNotes, FleetAction, FleetRequest, FleetResponse, FleetView, Founding,
    InstanceReport, InstanceStatus, LoadedModel, Member, MemberInput, MemberOutput, MemberSettings,
    OrderEnd, OrderReport, ReplicaReport, Request, Response, RolloutSettings, Seen, Token,
    WatchRequest, WeightsOrder,
};
use topazmount_settings::SourceFiles;
use topazmount_types::{Instance, Start, Time};

const STEP: Duration = Duration::from_millis(10);
const HEARTBEAT: Duration = Duration::from_millis(1_200);
const LOAD: Duration = Duration::from_millis(630);
const REPORT_LAG: Duration = Duration::from_millis(200);
const SPREAD: Duration = Duration::from_secs(8);
const LEASE: Duration = Duration::from_secs(3);
const MODEL: &str = "model";

/// How a simulated replica takes orders.
#[derive(Clone, Copy, PartialEq)]
enum Manner {
    Obeys,
    Refuses,
    /// Says that another holder has used a higher fence.
    Fences,
    /// The first order gets no answer and is carried out late.
    LateOnce,
}

struct Replica {
    manner: Manner,
    version: u32,
    sequence: u64,
    loading: Option<(u32, Time)>,
    late: Option<(WeightsOrder, Time)>,
    heartbeat_at: Time,
    is_silent: bool,
    versions_seen: Vec<u32>,
    reported: (u32, bool, u64),
    changed_at: Time,
}

struct World {
    member: Member<MemoryDisk>,
    now: Time,
    next_token: u64,
    responses: BTreeMap<Token, Response>,
    replicas: BTreeMap<String, Replica>,
    orders: Vec<(Time, WeightsOrder)>,
    most_loading: usize,
    led_at: Option<Time>,
}

fn instance(id: &str) -> Instance {
    Instance {
        id: id.to_owned(),
        service: "pool".to_owned(),
        address: format!("{id}:1"),
        zone: "north".to_owned(),
        slots: 4,
        is_draining: false,
        changed_at: 0,
        start: Start::UNSAID,
    }
}

impl World {
    fn new(replicas: usize) -> Self {
        let info = MemberInfo { name: "m".to_owned(), address: "m:1".to_owned() };
        let founding = Founding { members: vec![info.clone()], source: SourceFiles::default() };
        let rollout = RolloutSettings { lease: LEASE, spread: SPREAD };
        let settings = MemberSettings {
            info,
            consensus: Config::default(),
            seed: 1,
            rollout,
            seeds: Vec::new(),
        };
        let now = Time::from_secs(1_000);
        let member = Member::open(MemoryDisk::default(), settings, Some(&founding), now).unwrap();
        let mut world = World {
            member,
            now,
            next_token: 0,
            responses: BTreeMap::new(),
            replicas: BTreeMap::new(),
            orders: Vec::new(),
            most_loading: 0,
            led_at: None,
        };
        for number in 0..replicas {
            world.add(&format!("r{number:02}"), Manner::Obeys);
        }
        world
    }

    fn add(&mut self, id: &str, manner: Manner) {
        let replica = Replica {
            manner,
            version: 1,
            sequence: 0,
            loading: None,
            late: None,
            heartbeat_at: self.now,
            is_silent: false,
            versions_seen: Vec::new(),
            reported: (1, false, 0),
            changed_at: self.now,
        };
        self.replicas.insert(id.to_owned(), replica);
    }

    fn send(&mut self, request: FleetRequest) -> Token {
        self.next_token += 1;
        let token = Token(self.next_token);
        self.step(vec![MemberInput::Request(token, Request::Fleet(request))]);
        token
    }

    fn ask(&mut self, request: FleetRequest) -> Response {
        let token = self.send(request);
        for _ in 0..400 {
            if let Some(response) = self.responses.remove(&token) {
                return response;
            }
            self.run_for(STEP);
        }
        panic!("no answer");
    }

    fn step(&mut self, inputs: Vec<MemberInput>) {
        let inputs = inputs.into_iter().chain([MemberInput::Tick]);
        for output in self.member.step(self.now, inputs).unwrap() {
            match output {
                MemberOutput::Respond(token, response) => {
                    self.responses.insert(token, response);
                }
                MemberOutput::Act(action) => self.act(action),
                MemberOutput::Send(..)
                | MemberOutput::Tell(..)
                | MemberOutput::Ask(..)
                | MemberOutput::Note(_)
                | MemberOutput::Weights(_) => {}
            }
        }
        if self.led_at.is_none() && self.member.replica().has_lease(self.now) {
            self.led_at = Some(self.now);
        }
    }

    fn act(&mut self, action: FleetAction) {
        let report = match action {
            FleetAction::Order(order) => {
                self.orders.push((self.now, order.clone()));
                let replica = self.replicas.get_mut(&order.instance).unwrap();
                let end = replica.take(self.now, order.clone());
                OrderReport::Order(order.instance, end)
            }
            FleetAction::Question { instance, .. } => {
                let (version, is_busy, sequence) = self.replicas[&instance].reported;
                let models = vec![LoadedModel { model: MODEL.to_owned(), version }];
                let report = ReplicaReport { models, is_busy, sequence, start: Start::UNSAID };
                OrderReport::Question(instance, Some(report))
            }
        };
        self.send(FleetRequest::OrderEnded(report));
    }

    fn heartbeat(&mut self, id: &str) {
        let models =
            vec![LoadedModel { model: MODEL.to_owned(), version: self.replicas[id].version }];
        let report = InstanceReport { instance: instance(id), models, count: 0 };
        self.send(FleetRequest::Heartbeat(report));
    }

    fn run_for(&mut self, duration: Duration) {
        let end = self.now + duration;
        while self.now < end {
            self.now = self.now + STEP;
            let now = self.now;
            let mut due = Vec::new();
            for (id, replica) in &mut self.replicas {
                replica.advance(now);
                if now >= replica.heartbeat_at && !replica.is_silent {
                    replica.heartbeat_at = now + HEARTBEAT;
                    due.push(id.clone());
                }
            }
            let loading = self.replicas.values().filter(|one| one.loading.is_some()).count();
            self.most_loading = self.most_loading.max(loading);
            due.iter().for_each(|id| self.heartbeat(id));
            self.step(Vec::new());
        }
    }

    fn name(&mut self, version: u32) {
        let request = FleetRequest::NameWeights { model: MODEL.to_owned(), version };
        assert_eq!(self.ask(request), Response::Fleet(FleetResponse::Done));
    }

    fn watch(&mut self, seen: Seen, wait: Duration) -> Token {
        let crashes = CrashNotes::default();
        let request = WatchRequest { gateway: None, seen, wants_gateways: false, wait, crashes };
        self.send(FleetRequest::Watch(request))
    }

    fn view(&mut self) -> FleetView {
        let token = self.watch(Seen::default(), Duration::ZERO);
        match self.responses.remove(&token) {
            Some(Response::Fleet(FleetResponse::View(view))) => *view,
            other => panic!("{other:?}"),
        }
    }

    fn status(&mut self, id: &str) -> InstanceStatus {
        let (_, statuses) = self.view().statuses.unwrap();
        statuses.into_iter().find(|status| status.id == id).unwrap()
    }
}

impl Replica {
    fn take(&mut self, now: Time, order: WeightsOrder) -> OrderEnd {
        match self.manner {
            Manner::Refuses => OrderEnd::Refused,
            Manner::Fences => OrderEnd::Fenced,
            Manner::LateOnce => {
                self.manner = Manner::Obeys;
                self.late = Some((order, now + Duration::from_secs(4)));
                OrderEnd::Unknown
            }
            Manner::Obeys => self.carry_out(now, &order),
        }
    }

    fn carry_out(&mut self, now: Time, order: &WeightsOrder) -> OrderEnd {
        if self.loading.is_some() || order.expected_sequence != self.sequence {
            return OrderEnd::Conflict;
        }
        self.sequence += 1;
        self.changed_at = now;
        self.loading = Some((order.version, now + LOAD));
        OrderEnd::Accepted
    }

    fn advance(&mut self, now: Time) {
        if let Some((order, at)) = self.late.take() {
            if now >= at {
                self.carry_out(now, &order);
            } else {
                self.late = Some((order, at));
            }
        }
        if let Some((version, at)) = self.loading
            && now >= at
        {
            self.loading = None;
            self.version = version;
            self.changed_at = now;
            self.versions_seen.push(version);
        }
        if now >= self.changed_at + REPORT_LAG {
            self.reported = (self.version, self.loading.is_some(), self.sequence);
        }
    }
}

#[test]
fn versions_are_everywhere_in_time_with_few_loads() {
    for replicas in [3, 12, 18, 40] {
        let mut world = World::new(replicas);
        world.run_for(Duration::from_secs(10));
        let mut named = Vec::new();
        for version in 2..=5 {
            world.name(version);
            named.push((version, world.now));
            world.run_for(Duration::from_millis(3_200));
        }
        let mut due = named.into_iter().peekable();
        let end = world.now + Duration::from_secs(10);
        while world.now < end {
            world.run_for(STEP);
            while let Some((version, _)) = due.next_if(|(_, at)| world.now >= *at + SPREAD) {
                let oldest = world.replicas.values().map(|one| one.version).min();
                assert!(oldest >= Some(version), "{replicas} replicas: {oldest:?} < {version}");
            }
        }
        let for_each_version = replicas * 4;
        assert!(
            world.orders.len() < for_each_version,
            "{} orders for {replicas}",
            world.orders.len()
        );
        let at_once = replicas.div_ceil(6);
        assert!(world.most_loading <= at_once, "{} loaded at once", world.most_loading);
    }
}

#[test]
fn a_new_holder_waits_for_the_lease_of_the_one_before() {
    let mut world = World::new(3);
    world.run_for(Duration::from_secs(2));
    world.name(2);
    world.run_for(Duration::from_secs(8));
    let first = world.orders.first().unwrap().0;
    let led_at = world.led_at.unwrap();
    assert!(first >= led_at + LEASE, "{first} is less than a lease after {led_at}");
}

#[test]
fn an_order_carried_out_late_does_not_take_a_replica_back() {
    let mut world = World::new(2);
    world.run_for(Duration::from_secs(10));
    world.add("late", Manner::LateOnce);
    world.run_for(Duration::from_secs(2));
    for version in 2..=4 {
        world.name(version);
        world.run_for(Duration::from_millis(3_000));
    }
    world.run_for(Duration::from_secs(12));
    let seen = &world.replicas["late"].versions_seen;
    assert!(seen.is_sorted(), "{seen:?}");
    assert_eq!(world.replicas["late"].version, 4);
}

/// A holder that was refused for its fence does not use that fence there again.
#[test]
fn a_fenced_holder_orders_nothing_more_there() {
    let mut world = World::new(2);
    world.run_for(Duration::from_secs(10));
    world.add("fenced", Manner::Fences);
    world.run_for(Duration::from_secs(2));
    world.name(2);
    world.run_for(Duration::from_secs(12));
    let orders = world.orders.iter().filter(|(_, order)| order.instance == "fenced").count();
    assert_eq!(orders, 1);
    assert_eq!(world.status("fenced").availability, Availability::Barred);
    assert!(["r00", "r01"].iter().all(|id| world.replicas[*id].version == 2));
}

#[test]
fn a_replica_whose_weights_are_too_old_is_barred_in_time() {
    let mut world = World::new(2);
    world.run_for(Duration::from_secs(10));
    world.add("stubborn", Manner::Refuses);
    world.run_for(Duration::from_secs(2));
    world.name(2);
    let named_at = world.now;
    while world.now < named_at + SPREAD - Duration::from_millis(1_400) {
        world.run_for(STEP);
    }
    assert_eq!(world.status("stubborn").availability, Availability::Barred);
    assert_eq!(world.status("r00").availability, Availability::Open);
}

/// From the first hunt: gateways were told of a replica that came back without what it holds, and
/// sent it requests that its old weights served.
#[test]
fn a_replica_that_comes_back_is_told_of_with_its_status() {
    let mut world = World::new(2);
    world.run_for(Duration::from_secs(10));
    // A replica that sends nothing takes no orders either.
    let silent = world.replicas.get_mut("r01").unwrap();
    silent.is_silent = true;
    silent.manner = Manner::Refuses;
    world.name(2);
    world.run_for(Duration::from_secs(9));
    assert!(!world.member.state().fleet.instances().contains_key("r01"), "it was silent");
    let seen = Seen { revision: world.view().revision, ..Seen::default() };
    world.replicas.get_mut("r01").unwrap().is_silent = false;
    world.heartbeat("r01");
    let revision = world.member.state().fleet.revision();
    assert!(revision > seen.revision, "it is registered");
    let status = world.status("r01");
    assert_eq!(status.models[0].version, 1);
    assert_eq!(status.availability, Availability::Barred);
    // Ticks in between forget nothing.
    world.run_for(HEARTBEAT / 2);
    assert_eq!(world.status("r01").models.len(), 1);
}

#[test]
fn news_is_told_at_once_and_its_lack_after_a_while() {
    let mut world = World::new(1);
    world.run_for(Duration::from_secs(4));
    let view = world.view();
    let seen =
        Seen { revision: view.revision, statuses: view.statuses.unwrap().0, ..Seen::default() };
    let token = world.watch(seen, Duration::from_millis(400));
    world.run_for(Duration::from_millis(300));
    assert!(!world.responses.contains_key(&token), "there is no news yet");
    world.run_for(Duration::from_millis(120));
    assert!(world.responses.remove(&token).is_some(), "the wait is over");
    let token = world.watch(seen, Duration::from_millis(400));
    world.add("new", Manner::Obeys);
    world.heartbeat("new");
    let Some(Response::Fleet(FleetResponse::View(view))) = world.responses.remove(&token) else {
        panic!("no news of a new replica");
    };
    assert_eq!(view.instances.len(), 1);
    assert_eq!(view.staleness, Some(Duration::ZERO));
}

/// Its own heartbeats go on meanwhile, and nothing of the old life counts for it.
#[test]
fn a_late_heartbeat_of_an_earlier_life_is_answered_and_changes_nothing() {
    let mut world = World::new(0);
    world.run_for(Duration::from_secs(4));
    let life = |id: &str| {
        let instance = Instance { address: "one:1".to_owned(), ..instance(id) };
        FleetRequest::Heartbeat(InstanceReport { instance, models: Vec::new(), count: 0 })
    };
    assert_eq!(world.ask(life("old")), Response::Fleet(FleetResponse::Done));
    world.run_for(Duration::from_secs(6));
    assert!(world.member.state().fleet.instances().is_empty(), "it was silent");
    assert_eq!(world.ask(life("new")), Response::Fleet(FleetResponse::Done));
    let revision = world.member.state().fleet.revision();
    for _ in 0..3 {
        assert_eq!(world.ask(life("old")), Response::Fleet(FleetResponse::Superseded));
        assert_eq!(world.ask(life("new")), Response::Fleet(FleetResponse::Done));
        world.run_for(Duration::from_secs(2));
    }
    assert_eq!(world.member.state().fleet.revision(), revision);
    assert!(world.member.state().fleet.instances().contains_key("new"));
}

#[test]
fn a_draining_replica_is_acknowledged_when_it_is_committed() {
    let mut world = World::new(1);
    world.run_for(Duration::from_secs(4));
    let draining = Instance { is_draining: true, ..instance("r00") };
    let report = InstanceReport { instance: draining, models: Vec::new(), count: 0 };
    let answer = world.ask(FleetRequest::Heartbeat(report));
    assert_eq!(answer, Response::Fleet(FleetResponse::Done));
    assert!(world.member.state().fleet.instances()["r00"].is_draining);
}
