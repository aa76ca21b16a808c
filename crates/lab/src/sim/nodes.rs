//! Nodes: the product's core behind simulated connections.

use crate::sim::checks::Invariant;
use crate::sim::faults::Later;
use crate::sim::network::Transfer;
use crate::sim::oracle::EngineOracle;
use crate::sim::packet::{Answer, Packet, Place, Question};
use crate::sim::plant::Plant;
use crate::sim::world::{Event, World};
use rand::Rng;
use std::collections::HashMap;
use std::time::Duration;
use topazmount::node_process::LINGER;
use topazmount_node::{InForce, Node, NodeInput, NodeOutput, NodeSettingsCore};
use topazmount_types::{AttemptId, Incarnation, Refusal, ReplicaId, Revision, RunState, Time};

/// Shortest pause between two looks at a node's timers, as in the real process.
const MIN_TICK: Duration = Duration::from_millis(1);
/// Time to sync a kept configuration.
const KEEP_TIME: Duration = Duration::from_millis(2);

/// A node.
pub struct SimNode {
    zone_name: String,
    core: Option<Node>,
    timer_at: Time,
    /// Runs of engines that open attempts are at.
    attempts: HashMap<AttemptId, (Place, u64)>,
    /// The configuration on its disk.
    kept: Option<InForce>,
    /// Newest revision ever in force here.
    newest: Revision,
    /// The stop under way was planned.
    pub is_stopping: bool,
    /// When it last could not reach a member that others could reach.
    unserved_at: Time,
    /// When it stopped listening, at the end of a planned stop.
    closed_at: Option<Time>,
}

impl SimNode {
    /// The core, while the node is up.
    pub fn core(&self) -> Option<&Node> {
        self.core.as_ref()
    }
}

impl World {
    pub(crate) fn add_node(&mut self, zone_name: &str, number: usize) {
        self.nodes.push(SimNode {
            zone_name: zone_name.to_owned(),
            core: None,
            timer_at: Time::NEVER,
            attempts: HashMap::new(),
            kept: None,
            newest: Revision(0),
            is_stopping: false,
            closed_at: None,
            unserved_at: Time::ZERO,
        });
        self.start_node(number);
    }

    /// Starts a node, for the first time or again.
    pub(crate) fn start_node(&mut self, number: usize) {
        if self.processes.run(Place::Node(number)).is_some() {
            return;
        }
        let run = self.processes.start(Place::Node(number));
        let settings = NodeSettingsCore {
            name: format!("node-{number}"),
            zone: self.nodes[number].zone_name.clone(),
            incarnation: Incarnation(self.rng.random()),
            control: self.member_addresses(),
            seed: self.rng.random(),
            tenant_share: 1.0 / (self.nodes.len().max(self.declarations.zones.len())) as f64,
        };
        let forgets = self.is_planted(Plant::ForgottenConfiguration);
        let kept = self.nodes[number].kept.clone().filter(|_| !forgets);
        let configuration = kept.unwrap_or_else(|| self.seed_configuration.clone());
        let mut core = Node::new(settings, configuration, self.now);
        if self.settings.has_oracle {
            core.set_oracle(Box::new(self.oracle()));
        }
        let node = &mut self.nodes[number];
        node.core = Some(core);
        node.attempts.clear();
        node.timer_at = self.now;
        node.is_stopping = false;
        node.closed_at = None;
        self.trace(|| format!("node {number} starts as run {run}"));
        self.check_node_configuration(number);
        self.schedule.push(self.now, Event::NodeTimer(number, run));
    }

    fn oracle(&self) -> EngineOracle {
        let engines = self.engines.iter().map(|engine| (engine.replica, engine.core.clone()));
        EngineOracle::new(engines.collect(), self.declarations.block_tokens)
    }

    /// Ends a node; its connections break.
    pub(crate) fn stop_node(&mut self, number: usize) {
        let place = Place::Node(number);
        if self.processes.run(place).is_none() {
            return;
        }
        self.trace(|| format!("node {number} ends"));
        let attempts = std::mem::take(&mut self.nodes[number].attempts);
        let mut attempts: Vec<_> = attempts.into_iter().collect();
        attempts.sort_unstable_by_key(|(attempt, _)| *attempt);
        for (attempt, (engine, run)) in attempts {
            self.send_to_run(place, engine, Some(run), Packet::Cancel(attempt));
        }
        let closed_at = self.nodes[number].closed_at.unwrap_or(Time::NEVER);
        for ask in self.callers.open_asks_at(number, closed_at) {
            let zone = self.callers.zone_of(ask);
            self.send(place, Place::Caller(zone), Packet::Answer(ask, Answer::Broken));
        }
        self.nodes[number].core = None;
        self.end_process(place, false);
        self.processes.disturb(place, self.now);
    }

    pub(crate) fn on_node_timer(&mut self, number: usize, run: u64) {
        let place = Place::Node(number);
        if self.processes.run(place) != Some(run) {
            return;
        }
        if self.processes.is_frozen(place) {
            self.processes.hold(place, Event::NodeTimer(number, run));
            return;
        }
        if self.now >= self.nodes[number].timer_at {
            self.nodes[number].timer_at = Time::NEVER;
            self.step_node(number, NodeInput::Tick);
        }
    }

    pub(crate) fn node_receives(&mut self, number: usize, transfer: Transfer) {
        let zone_of = transfer.from;
        let is_late = self.nodes[number].closed_at.is_some_and(|at| transfer.sent_at >= at);
        if is_late && matches!(transfer.packet, Packet::Ask(..)) {
            return self.bounce(transfer);
        }
        match transfer.packet {
            Packet::Ask(request, question) => {
                self.trace(|| format!("node {number} is asked {request} by {zone_of:?}"));
                let input = match question {
                    Question::Chat(chat) => NodeInput::Chat(request, chat),
                    Question::Action(call) => NodeInput::Action(request, call),
                    Question::Lookup(key) => NodeInput::Lookup(request, key),
                };
                self.step_node(number, input);
            }
            Packet::Leave(request) => self.step_node(number, NodeInput::CallerGone(request)),
            Packet::Input(input) => self.take_input(number, *input),
            _ => {}
        }
    }

    fn take_input(&mut self, number: usize, input: NodeInput) {
        let attempts = &mut self.nodes[number].attempts;
        match &input {
            NodeInput::Finished { attempt, .. } | NodeInput::Failed(attempt, _) => {
                attempts.remove(attempt);
            }
            NodeInput::Kept(revision) => {
                let revision = *revision;
                self.trace(|| format!("node {number} has kept configuration {revision}"));
            }
            _ => {}
        }
        self.step_node(number, input);
    }

    /// Feeds a node's core and does what it says.
    pub(crate) fn step_node(&mut self, number: usize, input: NodeInput) {
        let now = self.now;
        let node = &mut self.nodes[number];
        let Some(core) = &mut node.core else { return };
        let outputs = core.step(now, input);
        let wakeup = core.next_wakeup().max(now + MIN_TICK);
        if wakeup < node.timer_at {
            node.timer_at = wakeup;
            let run = self.processes.run(Place::Node(number)).unwrap_or_default();
            self.schedule.push(wakeup, Event::NodeTimer(number, run));
        }
        for output in outputs {
            self.perform(number, output);
        }
    }

    fn perform(&mut self, number: usize, output: NodeOutput) {
        let place = Place::Node(number);
        match output {
            NodeOutput::Dispatch(dispatch) => {
                let Some(engine) = self.engine_of(dispatch.replica) else { return };
                let to = Place::Engine(engine);
                let run = self.processes.run(to).unwrap_or_default();
                self.trace(|| {
                    format!(
                        "node {number} sends {} as {} to engine {engine}",
                        dispatch.request, dispatch.attempt
                    )
                });
                self.nodes[number].attempts.insert(dispatch.attempt, (to, run));
                self.open_and_send(place, to, Packet::Submit(Box::new(dispatch)));
            }
            NodeOutput::DispatchAction { attempt, request, replica, call } => {
                let Some(application) = self.applications.number_of(replica) else { return };
                let to = Place::Application(application);
                self.trace(|| {
                    format!("node {number} calls application {application} for {request}")
                });
                let call = Packet::Call(attempt, request, Box::new((*call).clone()));
                self.open_and_send(place, to, call);
            }
            NodeOutput::Cancel(attempt) => {
                if let Some((engine, run)) = self.nodes[number].attempts.remove(&attempt) {
                    self.send_to_run(place, engine, Some(run), Packet::Cancel(attempt));
                }
            }
            NodeOutput::Relay { request, text } => self.answer(place, request, Answer::Text(text)),
            NodeOutput::Finish { request, usage, .. } => {
                self.answer(place, request, Answer::Finish(usage));
            }
            NodeOutput::Refuse(request, refusal) => {
                let refusal = self.planted_refusal(refusal);
                self.answer(place, request, Answer::Refuse(refusal));
            }
            NodeOutput::AnswerAction { request, result, .. } => {
                self.answer(place, request, Answer::Action(result));
            }
            NodeOutput::AnswerLookup(request, outcome) => {
                self.answer(place, request, Answer::Lookup(outcome));
            }
            NodeOutput::AskControl { number: request_number, member, request } => {
                self.totals.control_messages += 1;
                let packet = Packet::Control(request_number, request);
                self.send(place, Place::Member(member), packet);
            }
            NodeOutput::ReadMachines => {
                let entries = self.machines.shown(self.now);
                self.answer_after(
                    MIN_TICK,
                    place,
                    Packet::Input(Box::new(NodeInput::Machines(entries))),
                );
            }
            NodeOutput::Keep(configuration) => self.keep(number, *configuration),
            NodeOutput::Configured => self.check_node_configuration(number),
            NodeOutput::Drained => {
                self.trace(|| format!("node {number} is drained"));
                // As the real process: it stops listening, and stays for requests under way.
                self.nodes[number].closed_at = Some(self.now);
                let run = self.processes.run(place).unwrap_or_default();
                let stop = Event::Later(Later::StopNode(number, run));
                self.schedule.push(self.now + LINGER, stop);
            }
        }
    }

    fn answer(&mut self, place: Place, request: topazmount_types::RequestId, answer: Answer) {
        if self.is_planted(Plant::SilentEnd)
            && matches!(answer, Answer::Finish(..))
            && self.rng.random_bool(0.05)
        {
            return;
        }
        let zone = self.callers.zone_of(request);
        self.send(place, Place::Caller(zone), Packet::Answer(request, answer));
    }

    fn planted_refusal(&mut self, refusal: Refusal) -> Refusal {
        if self.is_planted(Plant::FalseNotRun) {
            return refusal.with_run(RunState::NotRun);
        }
        refusal
    }

    fn keep(&mut self, number: usize, configuration: InForce) {
        if self.is_planted(Plant::WithheldUpdates) && number == 0 {
            return;
        }
        let revision = configuration.revision;
        // Durable before the node hears of it; a crash in between leaves the newer one.
        self.nodes[number].kept = Some(configuration);
        let kept = Packet::Input(Box::new(NodeInput::Kept(revision)));
        self.answer_after(KEEP_TIME, Place::Node(number), kept);
    }

    fn check_node_configuration(&mut self, number: usize) {
        let Some(core) = self.nodes[number].core() else { return };
        let revision = core.in_force().revision;
        let digest = core.in_force().source.digest();
        if revision > Revision(0) {
            self.checks.saw_configuration(self.now, revision, digest);
        }
        let newest = self.nodes[number].newest;
        if revision < newest {
            let detail = format!("node {number} went back from {newest} to {revision}");
            self.checks.violated(self.now, Invariant::ConfigurationForward, detail);
        }
        self.nodes[number].newest = newest.max(revision);
    }

    /// All nodes that nothing was done to must have a revision by now.
    pub(crate) fn check_configuration(&mut self, revision: Revision, since: Time) {
        for number in 0..self.nodes.len() {
            let is_served = self.is_served(number) && self.nodes[number].unserved_at < since;
            let is_running = self.processes.is_undisturbed_since(Place::Node(number), since);
            let is_excused = !is_served || !is_running;
            let Some(core) = self.nodes[number].core() else { continue };
            let have = core.in_force().revision;
            if !is_excused && have < revision {
                let detail = format!("node {number} has {have} and not {revision} after 8 s");
                self.checks.violated(self.now, Invariant::ConfigurationInForce, detail);
            }
        }
    }

    /// Remembers which nodes the configuration can't reach now.
    pub(crate) fn note_unserved(&mut self) {
        for number in 0..self.nodes.len() {
            if !self.is_served(number) {
                self.nodes[number].unserved_at = self.now;
            }
        }
    }

    fn engine_of(&self, replica: ReplicaId) -> Option<usize> {
        self.engines.iter().position(|engine| engine.replica == replica)
    }
}
