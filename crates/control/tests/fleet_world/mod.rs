//! A control member and simulated replicas on a virtual clock.
// Each test file uses a part.
#![allow(dead_code)]

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;
use topazmount_admission::Pushback;
use topazmount_consensus::{Config, MemberInfo, MemoryDisk};
use topazmount_control::{
    ActionReport, CrashReport, FleetAction, FleetRequest, FleetResponse, FleetView, Founding,
    InstanceReport, InstanceStatus, LoadedModel, Member, MemberInput, MemberOutput, MemberSettings,
    OrderOutcome, ReplicaReport, Request, Response, RolloutEvent, RolloutSettings, SeenVersions,
    Token, WatchRequest, WeightsEvent, WeightsOrder,
};
use topazmount_settings::SourceFiles;
use topazmount_types::{Instance, Start, Time};

pub const STEP: Duration = Duration::from_millis(10);
pub const HEARTBEAT: Duration = Duration::from_millis(1_200);
pub const LOAD: Duration = Duration::from_millis(630);
pub const REPORT_LAG: Duration = Duration::from_millis(200);
pub const DEADLINE: Duration = Duration::from_secs(8);
pub const LEASE: Duration = Duration::from_secs(3);
pub const MODEL: &str = "model";

/// How a simulated replica handles orders.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Behavior {
    Normal,
    Refuses,
    /// Responds that another leader has used a higher fence.
    Fences,
    /// Does not respond to the first order and carries it out late.
    LateOnce,
    /// Neither responds to orders nor carries them out.
    IgnoresOrders,
    /// Responds that another order is in progress.
    Conflicts,
    /// Accepts orders and never finishes loading.
    Hangs,
}

pub struct Replica {
    pub behavior: Behavior,
    pub version: u32,
    pub sequence: u64,
    pub loading: Option<(u32, Time)>,
    pub late: Option<(WeightsOrder, Time)>,
    pub heartbeat_at: Time,
    pub is_silent: bool,
    pub loaded_versions: Vec<u32>,
    pub reported: (u32, bool, u64),
    pub changed_at: Time,
    /// Start of its incarnation.
    pub start: Start,
    /// Heartbeats of this incarnation.
    pub count: u64,
    /// Duration of a load.
    pub load: Duration,
    pub model: String,
    pub service: String,
}

pub struct World {
    pub member: Member<MemoryDisk>,
    pub now: Time,
    pub next_token: u64,
    pub responses: BTreeMap<Token, Response>,
    pub replicas: BTreeMap<String, Replica>,
    pub orders: Vec<(Time, WeightsOrder)>,
    pub max_loading: usize,
    pub leader_since: Option<Time>,
    /// Changes of the leader's weights records.
    pub weights_events: Vec<WeightsEvent>,
    /// Concurrent loads above this number slow each other down.
    pub max_full_speed_loads: usize,
    /// The leader's plans, with their times.
    pub plans: Vec<(Time, RolloutEvent)>,
    /// Replicas that do not respond to queries.
    pub ignores_queries: BTreeSet<String>,
    pub queries: usize,
    /// Replicas that refuse queries and orders with this pushback.
    pub pushbacks: BTreeMap<String, Pushback>,
    /// Times and replicas of all queries and orders.
    pub calls: Vec<(Time, String)>,
    settings: MemberSettings,
}

pub fn instance(id: &str) -> Instance {
    Instance {
        id: id.to_owned(),
        service: "pool".to_owned(),
        address: format!("{id}:1"),
        zone: "north".to_owned(),
        slots: 4,
        is_draining: false,
        changed_at: 0,
        start: Start::UNKNOWN,
        software: String::new(),
    }
}

impl World {
    pub fn new(replicas: usize) -> Self {
        let rollout =
            RolloutSettings { lease: LEASE, deadline: DEADLINE, ..RolloutSettings::default() };
        World::with(replicas, rollout)
    }

    pub fn with(replicas: usize, rollout: RolloutSettings) -> Self {
        let info = MemberInfo { name: "m".to_owned(), address: "m:1".to_owned() };
        let founding = Founding { members: vec![info.clone()], source: SourceFiles::default() };
        let settings = MemberSettings {
            info,
            consensus: Config::default(),
            seed: 1,
            rollout,
            heartbeat_interval: HEARTBEAT,
            seeds: Vec::new(),
        };
        let now = Time::from_secs(1_000);
        let disk = MemoryDisk::default();
        let member = Member::open(disk, settings.clone(), Some(&founding), now).unwrap();
        let mut world = World {
            member,
            now,
            next_token: 0,
            responses: BTreeMap::new(),
            replicas: BTreeMap::new(),
            orders: Vec::new(),
            max_loading: 0,
            leader_since: None,
            weights_events: Vec::new(),
            plans: Vec::new(),
            max_full_speed_loads: usize::MAX,
            ignores_queries: BTreeSet::new(),
            queries: 0,
            pushbacks: BTreeMap::new(),
            calls: Vec::new(),
            settings,
        };
        for number in 0..replicas {
            world.add(&format!("r{number:02}"), Behavior::Normal);
        }
        world
    }

    pub fn add(&mut self, id: &str, behavior: Behavior) {
        let replica = Replica {
            behavior,
            version: 1,
            sequence: 0,
            loading: None,
            late: None,
            heartbeat_at: self.now,
            is_silent: false,
            loaded_versions: Vec::new(),
            reported: (1, false, 0),
            changed_at: self.now,
            start: Start::UNKNOWN,
            count: 0,
            load: LOAD,
            model: MODEL.to_owned(),
            service: "pool".to_owned(),
        };
        self.replicas.insert(id.to_owned(), replica);
    }

    /// Restarts the member, which leads in a new term from its disk.
    pub fn change_leader(&mut self) {
        let disk = self.member.disk().clone();
        self.member = Member::open(disk, self.settings.clone(), None, self.now).unwrap();
        self.leader_since = None;
    }

    pub fn send(&mut self, request: FleetRequest) -> Token {
        self.next_token += 1;
        let token = Token(self.next_token);
        self.step(vec![MemberInput::Request(token, Request::Fleet(request))]);
        token
    }

    pub fn ask(&mut self, request: FleetRequest) -> Response {
        let token = self.send(request);
        for _ in 0..400 {
            if let Some(response) = self.responses.remove(&token) {
                return response;
            }
            self.run_for(STEP);
        }
        panic!("no response");
    }

    pub fn step(&mut self, inputs: Vec<MemberInput>) {
        let inputs = inputs.into_iter().chain([MemberInput::Tick]);
        for output in self.member.step(self.now, inputs).unwrap() {
            match output {
                MemberOutput::Respond(token, mut response) => {
                    if let Response::Fleet(FleetResponse::View(view)) = &mut response {
                        view.unpack().unwrap();
                    }
                    self.responses.insert(token, response);
                }
                MemberOutput::Perform(action) => self.act(action),
                MemberOutput::Send(..)
                | MemberOutput::Notify(..)
                | MemberOutput::RequestJoin(..)
                | MemberOutput::Membership(_) => {}
                MemberOutput::Weights(event) => self.weights_events.push(event),
                MemberOutput::Rollout(event) => self.plans.push((self.now, event)),
                MemberOutput::Block(_) => {}
            }
        }
        if self.leader_since.is_none() && self.member.replica().has_lease(self.now) {
            self.leader_since = Some(self.now);
        }
    }

    pub fn act(&mut self, action: FleetAction) {
        let (id, start) = match &action {
            FleetAction::Order(order) => (order.instance.clone(), order.start),
            FleetAction::Query { instance, start, .. } => (instance.clone(), *start),
        };
        self.calls.push((self.now, id.clone()));
        if let Some(said) = self.pushbacks.get(&id).copied() {
            let pushback = ActionReport::Pushback(id.clone(), start, said);
            self.send(FleetRequest::ActionEnded(pushback));
            let ended = match action {
                FleetAction::Order(_) => ActionReport::Order(id, start, OrderOutcome::Refused),
                FleetAction::Query { .. } => ActionReport::Query(id, None),
            };
            self.send(FleetRequest::ActionEnded(ended));
            return;
        }
        let report = match action {
            FleetAction::Order(order) => {
                self.orders.push((self.now, order.clone()));
                let loading =
                    self.replicas.values().filter(|replica| replica.loading.is_some()).count();
                let share = (loading + 1).div_ceil(self.max_full_speed_loads).max(1) as u32;
                let replica = self.replicas.get_mut(&order.instance).unwrap();
                let alone = replica.load;
                replica.load = alone * share;
                let end = replica.on_order(self.now, order.clone());
                replica.load = alone;
                ActionReport::Order(order.instance, order.start, end)
            }
            FleetAction::Query { instance, .. } => {
                let replica = &self.replicas[&instance];
                let (version, is_busy, sequence) = replica.reported;
                let models = vec![LoadedModel { model: replica.model.clone(), version }];
                let report = ReplicaReport { models, is_busy, sequence, start: replica.start };
                self.queries += 1;
                let ignores_query = self.ignores_queries.contains(&instance);
                ActionReport::Query(instance, (!ignores_query).then_some(report))
            }
        };
        self.send(FleetRequest::ActionEnded(report));
    }

    pub fn heartbeat(&mut self, id: &str) {
        let report = self.next_heartbeat(id);
        self.send(FleetRequest::Heartbeat(report));
    }

    /// A replica's next heartbeat, to be delivered by the caller.
    pub fn next_heartbeat(&mut self, id: &str) -> InstanceReport {
        let replica = self.replicas.get_mut(id).unwrap();
        replica.count += 1;
        let models = vec![LoadedModel { model: replica.model.clone(), version: replica.version }];
        let service = replica.service.clone();
        let instance = Instance { start: replica.start, service, ..instance(id) };
        InstanceReport { instance, models, sequence: replica.count }
    }

    /// Adds a replica with a start.
    pub fn add_started(&mut self, id: &str, start: u64) {
        self.add(id, Behavior::Normal);
        self.replicas.get_mut(id).unwrap().start = Start(start);
    }

    /// Crashes and restarts a replica under its identifier, with the given weights and no other
    /// state.
    pub fn restart(&mut self, id: &str, start: u64, version: u32) {
        let before = self.replicas.remove(id).unwrap();
        self.add(id, before.behavior);
        let replica = self.replicas.get_mut(id).unwrap();
        // A delayed order reaches the next incarnation.
        replica.late = before.late;
        (replica.load, replica.model, replica.service) =
            (before.load, before.model, before.service);
        replica.start = Start(start);
        replica.version = version;
        replica.reported = (version, false, 0);
    }

    pub fn run_for(&mut self, duration: Duration) {
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
            let loading =
                self.replicas.values().filter(|replica| replica.loading.is_some()).count();
            self.max_loading = self.max_loading.max(loading);
            due.iter().for_each(|id| self.heartbeat(id));
            self.step(Vec::new());
        }
    }

    /// Publishes a version; repeated while the member is not the leader.
    pub fn publish(&mut self, version: u32) {
        self.publish_for(MODEL, version);
    }

    pub fn publish_for(&mut self, model: &str, version: u32) {
        let request = FleetRequest::PublishWeights { model: model.to_owned(), version };
        while self.ask(request.clone()) != Response::Fleet(FleetResponse::Done) {
            self.run_for(STEP);
        }
    }

    pub fn watch(&mut self, seen: SeenVersions, wait: Duration) -> Token {
        let crashes = CrashReport::default();
        let notices = Vec::new();
        let request = WatchRequest {
            gateway: None,
            seen,
            accepts_packed: true,
            wants_gateways: false,
            wait,
            crashes,
            notices,
        };
        self.send(FleetRequest::Watch(request))
    }

    pub fn view(&mut self) -> FleetView {
        let token = self.watch(SeenVersions::default(), Duration::ZERO);
        match self.responses.remove(&token) {
            Some(Response::Fleet(FleetResponse::View(view))) => *view,
            other => panic!("{other:?}"),
        }
    }

    pub fn status(&mut self, id: &str) -> InstanceStatus {
        let (_, statuses) = self.view().statuses.unwrap();
        statuses.into_iter().find(|status| status.id == id).unwrap()
    }
}

impl Replica {
    pub fn on_order(&mut self, now: Time, order: WeightsOrder) -> OrderOutcome {
        match self.behavior {
            Behavior::Refuses => OrderOutcome::Refused,
            Behavior::IgnoresOrders => OrderOutcome::Unknown,
            Behavior::Conflicts => OrderOutcome::Conflict,
            Behavior::Hangs => {
                let _ = self.carry_out(now, &order);
                if let Some((_, at)) = &mut self.loading {
                    *at = now + Duration::from_secs(10_000);
                }
                OrderOutcome::Accepted
            }
            Behavior::Fences => OrderOutcome::Fenced,
            Behavior::LateOnce => {
                self.behavior = Behavior::Normal;
                self.late = Some((order, now + Duration::from_secs(4)));
                OrderOutcome::Unknown
            }
            Behavior::Normal => self.carry_out(now, &order),
        }
    }

    pub fn carry_out(&mut self, now: Time, order: &WeightsOrder) -> OrderOutcome {
        if self.loading.is_some() || order.expected_sequence != self.sequence {
            return OrderOutcome::Conflict;
        }
        self.sequence += 1;
        self.changed_at = now;
        self.loading = Some((order.version, now + self.load));
        OrderOutcome::Accepted
    }

    pub fn advance(&mut self, now: Time) {
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
            self.loaded_versions.push(version);
        }
        if now >= self.changed_at + REPORT_LAG {
            self.reported = (self.version, self.loading.is_some(), self.sequence);
        }
    }
}
