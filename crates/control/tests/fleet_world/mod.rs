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
pub const SPREAD: Duration = Duration::from_secs(8);
pub const LEASE: Duration = Duration::from_secs(3);
pub const MODEL: &str = "model";

/// How a simulated replica takes orders.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Manner {
    Obeys,
    Refuses,
    /// Says that another holder has used a higher fence.
    Fences,
    /// The first order gets no answer and is carried out late.
    LateOnce,
    /// Orders get no answer and are not carried out.
    Mute,
    /// Says that another order is under way.
    Conflicts,
    /// Takes an order and never ends its load.
    Hangs,
}

pub struct Replica {
    pub manner: Manner,
    pub version: u32,
    pub sequence: u64,
    pub loading: Option<(u32, Time)>,
    pub late: Option<(WeightsOrder, Time)>,
    pub heartbeat_at: Time,
    pub is_silent: bool,
    pub versions_seen: Vec<u32>,
    pub reported: (u32, bool, u64),
    pub changed_at: Time,
    /// When its incarnation started.
    pub start: Start,
    /// Heartbeats of this incarnation.
    pub count: u64,
    /// Time that it takes to load.
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
    pub most_loading: usize,
    pub led_at: Option<Time>,
    /// What the leader made of word of weights.
    pub heard: Vec<WeightsEvent>,
    /// How many may load at a time without slowing each other down, where their store is the limit.
    pub store_loads: usize,
    /// What the leader planned, and when.
    pub plans: Vec<(Time, RolloutEvent)>,
    /// Replicas that leave questions unanswered.
    pub deaf: BTreeSet<String>,
    pub questions: usize,
    /// Replicas whose answers ask something, and turn down what they answer.
    pub unwilling: BTreeMap<String, Pushback>,
    /// When which replica was called, with a question or an order.
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
    }
}

impl World {
    pub fn new(replicas: usize) -> Self {
        let rollout =
            RolloutSettings { lease: LEASE, deadline: SPREAD, ..RolloutSettings::default() };
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
            most_loading: 0,
            led_at: None,
            heard: Vec::new(),
            plans: Vec::new(),
            store_loads: usize::MAX,
            deaf: BTreeSet::new(),
            questions: 0,
            unwilling: BTreeMap::new(),
            calls: Vec::new(),
            settings,
        };
        for number in 0..replicas {
            world.add(&format!("r{number:02}"), Manner::Obeys);
        }
        world
    }

    pub fn add(&mut self, id: &str, manner: Manner) {
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
            start: Start::UNKNOWN,
            count: 0,
            load: LOAD,
            model: MODEL.to_owned(),
            service: "pool".to_owned(),
        };
        self.replicas.insert(id.to_owned(), replica);
    }

    /// The member starts again, and leads in a new term with nothing but its disk.
    pub fn change_leader(&mut self) {
        let disk = self.member.disk().clone();
        self.member = Member::open(disk, self.settings.clone(), None, self.now).unwrap();
        self.led_at = None;
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
        panic!("no answer");
    }

    pub fn step(&mut self, inputs: Vec<MemberInput>) {
        let inputs = inputs.into_iter().chain([MemberInput::Tick]);
        for output in self.member.step(self.now, inputs).unwrap() {
            match output {
                MemberOutput::Respond(token, response) => {
                    self.responses.insert(token, response);
                }
                MemberOutput::Perform(action) => self.act(action),
                MemberOutput::Send(..)
                | MemberOutput::Notify(..)
                | MemberOutput::RequestJoin(..)
                | MemberOutput::Membership(_) => {}
                MemberOutput::Weights(event) => self.heard.push(event),
                MemberOutput::Rollout(event) => self.plans.push((self.now, event)),
            }
        }
        if self.led_at.is_none() && self.member.replica().has_lease(self.now) {
            self.led_at = Some(self.now);
        }
    }

    pub fn act(&mut self, action: FleetAction) {
        let (id, start) = match &action {
            FleetAction::Order(order) => (order.instance.clone(), order.start),
            FleetAction::Query { instance, start, .. } => (instance.clone(), *start),
        };
        self.calls.push((self.now, id.clone()));
        if let Some(said) = self.unwilling.get(&id).copied() {
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
                let loading = self.replicas.values().filter(|one| one.loading.is_some()).count();
                let share = (loading + 1).div_ceil(self.store_loads).max(1) as u32;
                let replica = self.replicas.get_mut(&order.instance).unwrap();
                let alone = replica.load;
                replica.load = alone * share;
                let end = replica.take(self.now, order.clone());
                replica.load = alone;
                ActionReport::Order(order.instance, order.start, end)
            }
            FleetAction::Query { instance, .. } => {
                let replica = &self.replicas[&instance];
                let (version, is_busy, sequence) = replica.reported;
                let models = vec![LoadedModel { model: replica.model.clone(), version }];
                let report = ReplicaReport { models, is_busy, sequence, start: replica.start };
                self.questions += 1;
                let is_deaf = self.deaf.contains(&instance);
                ActionReport::Query(instance, (!is_deaf).then_some(report))
            }
        };
        self.send(FleetRequest::ActionEnded(report));
    }

    pub fn heartbeat(&mut self, id: &str) {
        let report = self.next_heartbeat(id);
        self.send(FleetRequest::Heartbeat(report));
    }

    /// What a replica says next, for whoever delivers it.
    pub fn next_heartbeat(&mut self, id: &str) -> InstanceReport {
        let replica = self.replicas.get_mut(id).unwrap();
        replica.count += 1;
        let models = vec![LoadedModel { model: replica.model.clone(), version: replica.version }];
        let service = replica.service.clone();
        let instance = Instance { start: replica.start, service, ..instance(id) };
        InstanceReport { instance, models, sequence: replica.count }
    }

    /// Adds a replica that says when it started.
    pub fn add_started(&mut self, id: &str, start: u64) {
        self.add(id, Manner::Obeys);
        self.replicas.get_mut(id).unwrap().start = Start(start);
    }

    /// A replica crashes and starts again under its identifier with a version of the weights. It knows nothing of before.
    pub fn restart(&mut self, id: &str, start: u64, version: u32) {
        let before = self.replicas.remove(id).unwrap();
        self.add(id, before.manner);
        let replica = self.replicas.get_mut(id).unwrap();
        // An order on its way reaches whoever lives there by then.
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
            let loading = self.replicas.values().filter(|one| one.loading.is_some()).count();
            self.most_loading = self.most_loading.max(loading);
            due.iter().for_each(|id| self.heartbeat(id));
            self.step(Vec::new());
        }
    }

    /// Names a version as operators do: again, where the member does not lead at that moment.
    pub fn name(&mut self, version: u32) {
        self.name_for(MODEL, version);
    }

    pub fn name_for(&mut self, model: &str, version: u32) {
        let request = FleetRequest::PublishWeights { model: model.to_owned(), version };
        while self.ask(request.clone()) != Response::Fleet(FleetResponse::Done) {
            self.run_for(STEP);
        }
    }

    pub fn watch(&mut self, seen: SeenVersions, wait: Duration) -> Token {
        let crashes = CrashReport::default();
        let request = WatchRequest { gateway: None, seen, wants_gateways: false, wait, crashes };
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
    pub fn take(&mut self, now: Time, order: WeightsOrder) -> OrderOutcome {
        match self.manner {
            Manner::Refuses => OrderOutcome::Refused,
            Manner::Mute => OrderOutcome::Unknown,
            Manner::Conflicts => OrderOutcome::Conflict,
            Manner::Hangs => {
                let _ = self.carry_out(now, &order);
                if let Some((_, at)) = &mut self.loading {
                    *at = now + Duration::from_secs(10_000);
                }
                OrderOutcome::Accepted
            }
            Manner::Fences => OrderOutcome::Fenced,
            Manner::LateOnce => {
                self.manner = Manner::Obeys;
                self.late = Some((order, now + Duration::from_secs(4)));
                OrderOutcome::Unknown
            }
            Manner::Obeys => self.carry_out(now, &order),
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
            self.versions_seen.push(version);
        }
        if now >= self.changed_at + REPORT_LAG {
            self.reported = (self.version, self.loading.is_some(), self.sequence);
        }
    }
}
