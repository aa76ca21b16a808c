//! Hollow nodes by the hundred before a real control group, on a virtual clock.

use crate::scale::control::{Group, frame_bytes};
use crate::scale::declared::deployment;
use crate::scale::meter::{resident_bytes, seconds_of};
use crate::scale::node::{chat, node, serve};
use std::collections::HashMap;
use std::time::Duration;
use topazmount_control::{Frame, Request, RequestNumber, Response, Token};
use topazmount_node::{InForce, Node, NodeInput, NodeOutput};
use topazmount_types::{RequestId, Revision, Time};

/// Simulated time.
const DURATION: Duration = Duration::from_secs(20);
/// When the configuration is changed.
const CHANGE_AT: Duration = Duration::from_secs(10);
/// Requests of each node in a second: fewer than in service, to keep the run short; the cost of one
/// request is measured by itself.
const NODE_RATE: f64 = 4.0;
/// Tokens of each answer.
const TOKENS: u32 = 4;

/// What a hollow run showed.
#[derive(Clone, Copy, Debug, Default)]
pub struct HollowRun {
    /// Nodes.
    pub nodes: usize,
    /// Replicas.
    pub replicas: usize,
    /// Requests served.
    pub requests: u64,
    /// Processor time of a node for control, in seconds of each second.
    pub node_control_share: f64,
    /// Processor time of a node for requests, in seconds of each second.
    pub node_request_share: f64,
    /// Processor time of all control members, in seconds of each second.
    pub member_share: f64,
    /// Bytes a second between a node and control.
    pub node_bytes: f64,
    /// Memory of a node that shares its texts with the others, in bytes.
    pub node_memory: f64,
    /// Seconds from the acceptance of a change until it was in force on every node.
    pub in_force_after: f64,
    /// Largest queue of a node.
    pub largest_queue: usize,
}

struct Hollow {
    group: Group,
    nodes: Vec<Node>,
    wakeups: Vec<Time>,
    waiting: HashMap<Token, (usize, RequestNumber)>,
    control_bytes: usize,
}

impl Hollow {
    /// Does what a node said; gives configurations that it keeps.
    fn perform(&mut self, number: usize, outputs: Vec<NodeOutput>) {
        let mut queue = outputs;
        while let Some(output) = queue.pop() {
            match output {
                NodeOutput::AskControl { number: request_number, request, .. } => {
                    self.ask(number, request_number, *request);
                }
                NodeOutput::Keep(next) => {
                    let kept = NodeInput::Kept(next.revision);
                    queue.extend(self.nodes[number].step(self.group.now, kept));
                }
                _ => {}
            }
        }
    }

    fn ask(&mut self, number: usize, request_number: RequestNumber, request: Request) {
        self.control_bytes += frame_bytes(&Frame::Request(request_number, request.clone()));
        let member = number % self.group.members.len();
        let token = self.group.ask(member, request);
        self.waiting.insert(token, (number, request_number));
    }

    fn answer(&mut self, token: Token, response: Response) {
        let Some((number, request_number)) = self.waiting.remove(&token) else { return };
        self.control_bytes += frame_bytes(&Frame::Response(request_number, response.clone()));
        let input = NodeInput::Control(request_number, Ok(response));
        let outputs = self.nodes[number].step(self.group.now, input);
        self.perform(number, outputs);
    }

    fn tick_nodes(&mut self) {
        let now = self.group.now;
        for number in 0..self.nodes.len() {
            if self.wakeups[number] <= now {
                let outputs = self.nodes[number].step(now, NodeInput::Tick);
                self.wakeups[number] = self.nodes[number].next_wakeup();
                self.perform(number, outputs);
            }
        }
    }
}

/// Runs hollow nodes before hollow replicas, with a change of the configuration on the way.
pub fn run(nodes: usize, replicas: usize, tenants: usize) -> HollowRun {
    let source = deployment(replicas, 7, tenants);
    let group = Group::new(source.clone());
    let configuration = InForce::seed(source).expect("generated text is right");
    let before = resident_bytes();
    let mut hollow = Hollow {
        wakeups: vec![group.now; nodes],
        group,
        nodes: (0..nodes).map(|number| node(&configuration, number)).collect(),
        waiting: HashMap::new(),
        control_bytes: 0,
    };
    let start = hollow.group.now;
    let mut shown = HollowRun { nodes, replicas, ..HollowRun::default() };
    let (mut control, mut requests, mut members) = (0.0, 0.0, 0.0);
    let mut change: Option<(Token, Option<Time>)> = None;
    let mut due = 0.0;
    while hollow.group.now < start + DURATION {
        let mut answers = Vec::new();
        members += seconds_of(|| answers = hollow.group.tick());
        if change.is_none() && hollow.group.now >= start + CHANGE_AT {
            change = Some((begin_change(&mut hollow), None));
        }
        for (token, response) in answers {
            if let Some((asked, accepted)) = &mut change
                && *asked == token
            {
                *accepted = Some(hollow.group.now);
            } else {
                control += seconds_of(|| hollow.answer(token, response));
            }
        }
        control += seconds_of(|| hollow.tick_nodes());
        due += NODE_RATE * 0.02;
        while due >= 1.0 {
            due -= 1.0;
            requests += seconds_of(|| serve_all(&mut hollow, &configuration, &mut shown));
        }
        note_in_force(&hollow, &change, &mut shown);
    }
    let seconds = DURATION.as_secs_f64();
    let of_node = 1.0 / (nodes as f64 * seconds);
    shown.node_control_share = control * of_node;
    shown.node_request_share = requests * of_node;
    shown.member_share = members / seconds;
    shown.node_bytes = hollow.control_bytes as f64 * of_node;
    shown.node_memory = (resident_bytes() - before) / nodes as f64;
    shown
}

fn serve_all(hollow: &mut Hollow, configuration: &InForce, shown: &mut HollowRun) {
    let now = hollow.group.now;
    for (number, node) in hollow.nodes.iter_mut().enumerate() {
        shown.requests += 1;
        let id = RequestId(shown.requests);
        let prompt = shown.requests.wrapping_mul(0x9e37_79b9) % 100_000;
        let chat = chat(&configuration.declarations, number, prompt);
        serve(node, now, id, chat, TOKENS);
        shown.largest_queue = shown.largest_queue.max(node.open_requests().0);
    }
}

fn begin_change(hollow: &mut Hollow) -> Token {
    let leader = hollow.group.leader().unwrap_or(0);
    let configuration = &hollow.group.members[leader].state().configuration;
    let mut source = configuration.source().clone();
    if let Some(text) = source.0.get_mut("deployment.toml") {
        text.push_str("# changed\n");
    }
    let change = topazmount_control::ChangeRequest {
        expected: configuration.revision(),
        request: topazmount_types::Digest::of(b"change"),
        source,
    };
    hollow.group.ask(leader, Request::Change(change))
}

fn note_in_force(hollow: &Hollow, change: &Option<(Token, Option<Time>)>, shown: &mut HollowRun) {
    let Some((_, Some(accepted))) = change else { return };
    let is_everywhere = hollow.nodes.iter().all(|node| node.in_force().revision >= Revision(2));
    if is_everywhere && shown.in_force_after == 0.0 {
        shown.in_force_after = hollow.group.now.since(*accepted).as_secs_f64();
    }
}
