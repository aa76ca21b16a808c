//! The simulated world: its parts, and which part takes which event.

use crate::engine::{EngineParameters, JobId};
use crate::sim::applications::Applications;
use crate::sim::callers::Callers;
use crate::sim::checks::Checks;
use crate::sim::engines::SimEngine;
use crate::sim::faults::{ActiveFaults, Fault};
use crate::sim::links::Processes;
use crate::sim::machines::MachineRows;
use crate::sim::members::SimMember;
use crate::sim::network::{Network, Transfer};
use crate::sim::nodes::SimNode;
use crate::sim::operators::Operators;
use crate::sim::packet::{Packet, Place};
use crate::sim::plant::Plant;
use crate::sim::record::Record;
use crate::sim::schedule::Schedule;
use crate::workload::{Traffic, TrafficSettings};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::sync::Arc;
use std::time::Duration;
use topazmount_node::InForce;
use topazmount_settings::{Declarations, SourceFiles};
use topazmount_types::{RequestId, Revision, Time};

/// How often operators change the configuration when a scenario asks for it.
const CHANGE_INTERVAL: Duration = Duration::from_secs(4);

/// What to simulate.
#[derive(Clone, Debug)]
pub struct WorldSettings {
    /// Seed of everything.
    pub seed: u64,
    /// Deployment.
    pub source: SourceFiles,
    /// Engines' speed and sizes.
    pub engine: EngineParameters,
    /// Traffic.
    pub traffic: TrafficSettings,
    /// When traffic ends.
    pub traffic_until: Time,
    /// When the run ends.
    pub until: Time,
    /// Nodes for each zone.
    pub nodes_per_zone: usize,
    /// Control members; 0 for runs that don't need them.
    pub members: usize,
    /// Whether operators change the configuration.
    pub has_operators: bool,
    /// Faults, in order of time.
    pub faults: Vec<Fault>,
    /// A planted violation.
    pub plant: Option<Plant>,
    /// Whether nodes decide with perfect knowledge.
    pub has_oracle: bool,
    /// Whether to tell on standard error what happens.
    pub is_traced: bool,
    /// Sums up to then are kept apart, for reports that leave the warm-up out.
    pub warm_up: Time,
}

/// Something that happens at a time.
#[derive(Clone, Debug)]
pub(crate) enum Event {
    /// The next arrival is due.
    Arrival,
    /// A message arrives.
    Deliver(Box<Transfer>),
    /// A node's timer, of this run.
    NodeTimer(usize, u64),
    /// An engine's iteration may end, of this run.
    EngineTimer(usize, u64),
    /// An engine tells a waiting request that it is still there: engine, run, job.
    KeepAlive(usize, u64, JobId),
    /// A member's timer, of this run.
    MemberTimer(usize, u64),
    /// An application has done a call: replica, run, position in its list.
    CallDone(usize, u64, usize),
    /// A caller tries again: number of its operation.
    CallerRetry(usize),
    /// An answer is overdue if it has not come.
    CallerCheck(RequestId),
    /// A fault strikes or ends.
    FaultStart(usize),
    /// A fault ends.
    FaultEnd(usize),
    /// Something that a fault does later.
    Later(crate::sim::faults::Later),
    /// The next regular change of the configuration.
    OperatorChange,
    /// An operator's task is looked at again, if nothing came of the request of this number.
    OperatorWake(usize, u64),
    /// All nodes must have this revision, accepted at the time, by now.
    CheckConfiguration(Revision, Time),
}

/// Sums over a run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Totals {
    /// Events handled.
    pub events: u64,
    /// Requests sent by callers, retries included.
    pub asks: u64,
    /// Completions and calls that arrived.
    pub operations: u64,
    /// Faults that struck.
    pub faults: u64,
    /// Attempts submitted to engines.
    pub attempts: u64,
    /// Prompt tokens computed by engines.
    pub computed_tokens: u64,
    /// Tokens computed although a live engine held them when the request was sent there.
    pub recomputed_tokens: u64,
    /// Prompt tokens computed for attempts that were thrown away.
    pub discarded_tokens: u64,
    /// Messages of members, and between nodes and members.
    pub control_messages: u64,
}

/// A simulated deployment.
pub struct World {
    /// Now.
    pub now: Time,
    /// Settings.
    pub settings: WorldSettings,
    /// Judges.
    pub checks: Checks,
    /// Completions that ended.
    pub records: Vec<Record>,
    /// Sums.
    pub totals: Totals,
    /// Sums at the end of the warm-up.
    pub totals_at_warm_up: Totals,
    pub(crate) declarations: Arc<Declarations>,
    pub(crate) seed_configuration: InForce,
    pub(crate) schedule: Schedule<Event>,
    pub(crate) rng: ChaCha8Rng,
    /// Chooses what the disks of members do.
    pub(crate) disk_rng: ChaCha8Rng,
    pub(crate) network: Network,
    pub(crate) processes: Processes,
    pub(crate) nodes: Vec<SimNode>,
    pub(crate) engines: Vec<SimEngine>,
    pub(crate) applications: Applications,
    pub(crate) members: Vec<SimMember>,
    pub(crate) machines: MachineRows,
    pub(crate) callers: Callers,
    pub(crate) operators: Operators,
    pub(crate) active: ActiveFaults,
    traffic: Traffic,
}

impl World {
    /// A world at time zero, with everything started.
    ///
    /// # Panics
    /// When the deployment has problems; callers check it before.
    pub fn new(settings: WorldSettings) -> Self {
        let seed_configuration = InForce::seed(settings.source.clone()).expect("checked before");
        let declarations = seed_configuration.declarations.clone();
        let network =
            Network::new(declarations.network.zone_delay, declarations.network.client_delay);
        let mut world = World {
            now: Time::ZERO,
            checks: Checks::default(),
            records: Vec::new(),
            totals: Totals::default(),
            totals_at_warm_up: Totals::default(),
            schedule: Schedule::default(),
            rng: ChaCha8Rng::seed_from_u64(settings.seed),
            disk_rng: ChaCha8Rng::seed_from_u64(!settings.seed),
            network,
            processes: Processes::default(),
            nodes: Vec::new(),
            engines: Vec::new(),
            applications: Applications::default(),
            members: Vec::new(),
            machines: MachineRows::default(),
            callers: Callers::default(),
            operators: Operators::default(),
            active: ActiveFaults::default(),
            traffic: Traffic::new(settings.traffic.clone(), &declarations),
            declarations,
            seed_configuration,
            settings,
        };
        world.build();
        world
    }

    fn build(&mut self) {
        let zones = self.declarations.zones.clone();
        let zone_number = |id| zones.iter().position(|zone| zone.id == id).unwrap_or(0);
        for zone in 0..zones.len() {
            self.network.place(Place::Caller(zone), zone);
        }
        for (number, engine) in self.declarations.clone().engines.iter().enumerate() {
            self.network.place(Place::Engine(number), zone_number(engine.replica.zone));
            self.add_engine(engine);
        }
        for application in &self.declarations.clone().applications {
            for replica in &application.replicas {
                let number = self.applications.add(replica.id);
                self.network.place(Place::Application(number), zone_number(replica.zone));
                self.processes.start(Place::Application(number));
            }
        }
        self.build_members(zones.len());
        for number in 0..zones.len() * self.settings.nodes_per_zone {
            self.network.place(Place::Node(number), number % zones.len());
            self.add_node(&zones[number % zones.len()].name, number);
        }
        self.schedule_first();
    }

    fn schedule_first(&mut self) {
        self.schedule_arrival();
        for number in 0..self.settings.faults.len() {
            self.schedule.push(self.settings.faults[number].at, Event::FaultStart(number));
        }
        if self.settings.has_operators {
            self.schedule.push(Time::from_secs(2), Event::OperatorChange);
        }
    }

    fn schedule_arrival(&mut self) {
        let Some(arrival) = self.traffic.next() else { return };
        if arrival.at < self.settings.traffic_until {
            self.schedule.push(arrival.at, Event::Arrival);
            self.callers.upcoming = Some(arrival);
        }
    }

    /// Runs to the end.
    pub fn run(&mut self) {
        while let Some((at, event)) = self.schedule.pop() {
            if at > self.settings.until {
                break;
            }
            if at >= self.settings.warm_up && self.now < self.settings.warm_up {
                self.totals_at_warm_up = self.totals_now();
            }
            self.now = at;
            self.totals.events += 1;
            self.handle(event);
        }
        self.now = self.settings.until;
        self.final_checks();
    }

    /// Sums so far, with what running engines have computed.
    pub fn totals_now(&self) -> Totals {
        let mut totals = self.totals;
        for engine in &self.engines {
            let (computed, discarded) = engine.computed_tokens();
            totals.computed_tokens += computed;
            totals.discarded_tokens += discarded;
        }
        totals
    }

    /// Prompt tokens that each engine's newest run has computed.
    pub fn computed_by_engine(&self) -> Vec<u64> {
        self.engines.iter().map(|engine| engine.computed_tokens().0).collect()
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrival => {
                if let Some(arrival) = self.callers.upcoming.take() {
                    self.schedule_arrival();
                    self.begin_operation(arrival);
                }
            }
            Event::Deliver(transfer) => self.deliver(*transfer),
            Event::NodeTimer(node, run) => self.on_node_timer(node, run),
            Event::EngineTimer(engine, run) => self.on_engine_timer(engine, run),
            Event::KeepAlive(engine, run, job) => self.keep_alive(engine, run, job),
            Event::MemberTimer(member, run) => self.on_member_timer(member, run),
            Event::CallDone(application, run, call) => self.on_call_done(application, run, call),
            Event::CallerRetry(operation) => self.retry_operation(operation),
            Event::CallerCheck(ask) => self.check_answered(ask),
            Event::FaultStart(fault) => {
                self.start_fault(fault);
                self.note_unserved();
            }
            Event::FaultEnd(fault) => {
                self.note_unserved();
                self.end_fault(fault);
            }
            Event::Later(later) => {
                self.note_unserved();
                self.do_later(later);
            }
            Event::OperatorChange => {
                self.begin_change();
                let pause = CHANGE_INTERVAL.mul_f64(self.rng.random_range(0.5..1.5));
                if self.now < self.settings.traffic_until {
                    self.schedule.push(self.now + pause, Event::OperatorChange);
                }
            }
            Event::OperatorWake(task, asked) => self.wake_operator(task, asked),
            Event::CheckConfiguration(revision, since) => {
                self.check_configuration(revision, since);
            }
        }
    }

    fn deliver(&mut self, transfer: Transfer) {
        if self.network.is_cut(transfer.from, transfer.to) {
            self.network.hold(transfer);
            return;
        }
        if self.processes.is_frozen(transfer.to) {
            self.processes.hold(transfer.to, Event::Deliver(Box::new(transfer)));
            return;
        }
        let run = self.processes.run(transfer.to);
        if run.is_none() || transfer.to_run.is_some_and(|expected| run != Some(expected)) {
            self.bounce(transfer);
            return;
        }
        match transfer.to {
            Place::Caller(_) => self.caller_receives(transfer),
            Place::Node(node) => self.node_receives(node, transfer),
            Place::Engine(engine) => self.engine_receives(engine, transfer),
            Place::Application(application) => self.application_receives(application, transfer),
            Place::Member(member) => self.member_receives(member, transfer),
            Place::Operator => self.operator_receives(transfer),
        }
    }

    /// Says what happens, when asked to.
    pub(crate) fn trace(&self, line: impl FnOnce() -> String) {
        if self.settings.is_traced {
            eprintln!("{:>10.4} {}", self.now.0 as f64 / 1e6, line());
        }
    }

    /// Whether a violation is planted.
    pub(crate) fn is_planted(&self, plant: Plant) -> bool {
        self.settings.plant == Some(plant)
    }

    /// Sends a message over a connection that exists, or that is made at once.
    pub(crate) fn send(&mut self, from: Place, to: Place, packet: Packet) {
        let to_run = self.processes.run(to);
        self.send_to_run(from, to, to_run, packet);
    }

    /// Sends a message to a certain run of a process.
    pub(crate) fn send_to_run(
        &mut self,
        from: Place,
        to: Place,
        to_run: Option<u64>,
        packet: Packet,
    ) {
        self.send_later(Duration::ZERO, from, to, to_run, packet);
    }

    /// Sends a message after a delay of the sender's.
    pub(crate) fn send_later(
        &mut self,
        delay: Duration,
        from: Place,
        to: Place,
        to_run: Option<u64>,
        packet: Packet,
    ) {
        let at = self.network.arrival(self.now + delay, from, to, &mut self.rng);
        let from_run = self.processes.run(from).unwrap_or_default();
        let transfer = Transfer { from, from_run, to, to_run, sent_at: self.now, packet };
        if self.network.is_cut(from, to) {
            self.network.hold(transfer);
        } else {
            self.schedule.push(at, Event::Deliver(Box::new(transfer)));
        }
    }
}
