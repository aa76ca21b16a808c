//! Application replicas, and the judge of at-most-once: runs are counted here, from outside.

use crate::sim::checks::Invariant;
use crate::sim::network::Transfer;
use crate::sim::packet::{Packet, Place};
use crate::sim::plant::Plant;
use crate::sim::world::{Event, World};
use rand::Rng;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;
use topazmount_control::ActionResult;
use topazmount_node::{ActionFailure, NodeInput};
use topazmount_types::{ActionCall, AttemptId, ReplicaId, RequestId};

/// Shortest and longest time of a call in milliseconds.
const WORK_MS: std::ops::Range<u64> = 20..120;

struct Call {
    node: usize,
    node_run: u64,
    attempt: AttemptId,
    result: ActionResult,
    is_open: bool,
}

struct Application {
    replica: ReplicaId,
    calls: Vec<Call>,
}

/// All replicas of all applications; they share what they store.
#[derive(Default)]
pub struct Applications {
    replicas: Vec<Application>,
    runs: BTreeMap<Arc<str>, u32>,
}

impl Applications {
    /// Adds a replica and gives its number.
    pub fn add(&mut self, replica: ReplicaId) -> usize {
        self.replicas.push(Application { replica, calls: Vec::new() });
        self.replicas.len() - 1
    }

    /// Number of replicas.
    pub fn len(&self) -> usize {
        self.replicas.len()
    }

    /// Number of a replica.
    pub fn number_of(&self, replica: ReplicaId) -> Option<usize> {
        self.replicas.iter().position(|application| application.replica == replica)
    }

    /// How often a call ran.
    pub fn runs(&self, key: &str) -> u32 {
        self.runs.get(key).copied().unwrap_or(0)
    }
}

impl World {
    pub(crate) fn application_receives(&mut self, number: usize, transfer: Transfer) {
        let Place::Node(node) = transfer.from else { return };
        let Packet::Call(attempt, request, call) = transfer.packet else { return };
        self.run_call(number, (node, transfer.from_run), attempt, request, &call);
        if self.is_planted(Plant::CallDeliveredTwice) && self.rng.random_bool(0.05) {
            self.run_call(number, (node, transfer.from_run), attempt, request, &call);
        }
    }

    fn run_call(
        &mut self,
        number: usize,
        node: (usize, u64),
        attempt: AttemptId,
        request: RequestId,
        call: &ActionCall,
    ) {
        let now = self.now;
        self.callers.note_run(now, request, &mut self.checks);
        let runs = self.applications.runs.entry(call.key_text.clone()).or_default();
        *runs += 1;
        let run = *runs;
        if run > 1 {
            let detail = format!("{} ran {run} times", call.key_text);
            self.checks.violated(now, Invariant::AtMostOnce, detail);
        }
        let body = format!("{{\"key\":\"{}\",\"run\":{run}}}", call.key_text);
        let result = ActionResult { status: 200, body };
        let (node, node_run) = node;
        let calls = &mut self.applications.replicas[number].calls;
        let position = calls.len();
        calls.push(Call { node, node_run, attempt, result, is_open: true });
        let run = self.processes.run(Place::Application(number)).unwrap_or_default();
        let work = Duration::from_millis(self.rng.random_range(WORK_MS));
        self.schedule.push(now + work, Event::CallDone(number, run, position));
    }

    pub(crate) fn on_call_done(&mut self, number: usize, run: u64, position: usize) {
        let place = Place::Application(number);
        if self.processes.run(place) != Some(run) {
            return;
        }
        if self.processes.is_frozen(place) {
            self.processes.hold(place, Event::CallDone(number, run, position));
            return;
        }
        let call = &mut self.applications.replicas[number].calls[position];
        call.is_open = false;
        let input = NodeInput::ActionAnswered(call.attempt, call.result.clone());
        let (node, node_run) = (call.node, call.node_run);
        let packet = Packet::Input(Box::new(input));
        self.send_to_run(place, Place::Node(node), Some(node_run), packet);
    }

    /// Ends an application replica; what it ran stays run.
    pub(crate) fn stop_application(&mut self, number: usize) {
        let place = Place::Application(number);
        if self.processes.run(place).is_none() {
            return;
        }
        let calls = std::mem::take(&mut self.applications.replicas[number].calls);
        for call in calls.iter().filter(|call| call.is_open) {
            let lost = NodeInput::ActionFailed(call.attempt, ActionFailure::Lost);
            let packet = Packet::Input(Box::new(lost));
            self.send_to_run(place, Place::Node(call.node), Some(call.node_run), packet);
        }
        self.end_process(place, false);
    }
}
