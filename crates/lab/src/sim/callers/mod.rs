//! Callers: what they ask, when they ask again, and what they check of their answers.

mod answers;

use crate::engine::{answer_length, token_text};
use crate::sim::checks::{ANSWER_SLACK, Checks, Invariant};
use crate::sim::network::Transfer;
use crate::sim::packet::{Answer, Packet, Place, Question};
use crate::sim::plant::Plant;
use crate::sim::record::{Outcome, Record};
use crate::sim::world::{Event, World};
use crate::workload::{Arrival, Class, PromptPath, Work};
use rand::Rng;
use std::sync::Arc;
use std::time::Duration;
use topazmount_control::{ActionResult, LookupOutcome};
use topazmount_types::{
    ActionCall, ActionKey, ChatRequest, Digest, Endpoint, ErrorKind, Refusal, RequestId, RunState,
    TenantId, Time,
};

/// Most tries of a completion.
const CHAT_TRIES: u32 = 4;
/// Most tries of an at-most-once call.
const ACTION_TRIES: u32 = 10;
/// Chance that a caller sends a call to two nodes at once.
const TWIN_CHANCE: f64 = 0.1;
/// Chance that a caller goes away in the middle of its answer.
const LEAVE_CHANCE: f64 = 0.01;
/// Pause before an at-most-once call is sent again, in milliseconds.
const RESEND_MS: std::ops::Range<u64> = 200..1_500;
/// Time by which a lookup must be answered.
const LOOKUP_LIMIT: Duration = Duration::from_secs(4);
/// Characters of one token of the engine model.
const TOKEN_CHARACTERS: usize = 6;

/// One thing that a caller wants.
struct Operation {
    arrival: Arrival,
    tries: u32,
    /// The first result of a call that any try was given.
    result: Option<ActionResult>,
    is_done: bool,
}

/// One request for it.
struct Ask {
    operation: usize,
    node: usize,
    node_run: Option<u64>,
    zone: usize,
    sent_at: Time,
    prompt: Digest,
    max_tokens: u32,
    /// Tokens received.
    position: u32,
    first_token: Option<Time>,
    last_token: Option<Time>,
    longest_pause: Duration,
    is_open: bool,
    /// An engine or application began to run it.
    has_run: bool,
    /// It was answered that nothing ran.
    said_not_run: bool,
    /// The caller closed the connection: what still comes reaches nobody.
    has_left: bool,
}

impl Ask {
    fn new(operation: usize, node: usize, node_run: Option<u64>, zone: usize, now: Time) -> Ask {
        Ask {
            operation,
            node,
            node_run,
            zone,
            sent_at: now,
            prompt: Digest::default(),
            max_tokens: 0,
            position: 0,
            first_token: None,
            last_token: None,
            longest_pause: Duration::ZERO,
            is_open: true,
            has_run: false,
            said_not_run: false,
            has_left: false,
        }
    }
}

/// All callers.
#[derive(Default)]
pub struct Callers {
    /// The next arrival, already drawn.
    pub upcoming: Option<Arrival>,
    operations: Vec<Operation>,
    asks: Vec<Ask>,
}

impl Callers {
    fn ask(&self, request: RequestId) -> Option<&Ask> {
        self.asks.get(request.0 as usize)
    }

    /// Digest of a request's prompt.
    pub fn prompt_of(&self, request: RequestId) -> Digest {
        self.ask(request).map(|ask| ask.prompt).unwrap_or_default()
    }

    /// Zone of a request's caller.
    pub fn zone_of(&self, request: RequestId) -> usize {
        self.ask(request).map_or(0, |ask| ask.zone)
    }

    /// Open requests that were sent to a node before it stopped listening.
    pub fn open_asks_at(&self, node: usize, closed_at: Time) -> Vec<RequestId> {
        let is_there = |ask: &Ask| ask.is_open && ask.node == node && ask.sent_at < closed_at;
        let open = self.asks.iter().enumerate().filter(|(_, ask)| is_there(ask));
        open.map(|(number, _)| RequestId(number as u64)).collect()
    }

    /// Notes that an engine or application began to run a request.
    pub fn note_run(&mut self, now: Time, request: RequestId, checks: &mut Checks) {
        let Some(ask) = self.asks.get_mut(request.0 as usize) else { return };
        ask.has_run = true;
        if ask.said_not_run {
            let detail = format!("{request} ran after its caller was told that it did not");
            checks.violated(now, Invariant::TrueNotRun, detail);
        }
    }

    /// Requests that have no answer.
    pub fn open(&self) -> usize {
        self.asks.iter().filter(|ask| ask.is_open).count()
    }
}

impl World {
    pub(crate) fn begin_operation(&mut self, arrival: Arrival) {
        self.totals.operations += 1;
        let number = self.callers.operations.len();
        let zone = arrival.zone;
        let is_action = matches!(arrival.work, Work::Action { .. });
        let operation = Operation { arrival, tries: 0, result: None, is_done: false };
        self.callers.operations.push(operation);
        self.send_ask(number, zone);
        if is_action && self.rng.random_bool(TWIN_CHANCE) {
            let other = self.other_zone(zone);
            self.send_ask(number, other);
        }
    }

    fn other_zone(&mut self, zone: usize) -> usize {
        let zones = self.declarations.zones.len();
        (zone + self.rng.random_range(1..zones.max(2))) % zones
    }

    /// A node of a zone that callers there can reach.
    fn node_in(&mut self, zone: usize) -> usize {
        let copy = self.rng.random_range(0..self.settings.nodes_per_zone);
        zone + copy * self.declarations.zones.len()
    }

    fn send_ask(&mut self, operation: usize, zone: usize) {
        let arrival = self.callers.operations[operation].arrival.clone();
        self.callers.operations[operation].tries += 1;
        self.totals.asks += 1;
        let tenant = self.declarations.tenants[arrival.tenant].id;
        let request = RequestId(self.callers.asks.len() as u64);
        let (question, prompt, max_tokens) = match &arrival.work {
            Work::Chat { class, path, max_tokens, session } => {
                let (chat, prompt) = self.chat(tenant, *class, path, *max_tokens, *session);
                (Question::Chat(Box::new(chat)), prompt, *max_tokens)
            }
            Work::Action { key, body } => {
                let call = self.call(tenant, key, body, arrival.deadline);
                (Question::Action(Box::new(call)), Digest::default(), 0)
            }
        };
        let node = self.node_in(zone);
        let place = Place::Node(node);
        let node_run = self.processes.run(place);
        let ask = Ask {
            prompt,
            max_tokens,
            ..Ask::new(operation, node, node_run, arrival.zone, self.now)
        };
        self.callers.asks.push(ask);
        self.trace(|| format!("caller asks node {node} {request} for operation {operation}"));
        self.send(Place::Caller(arrival.zone), place, Packet::Ask(request, question));
        let due = self.now + arrival.deadline + ANSWER_SLACK;
        self.schedule.push(due, Event::CallerCheck(request));
    }

    fn chat(
        &mut self,
        tenant: TenantId,
        class: Class,
        path: &PromptPath,
        max_tokens: u32,
        session: u64,
    ) -> (ChatRequest, Digest) {
        let model = self.declarations.models[0].clone();
        let hashed_tenant =
            if self.is_planted(Plant::SharedHashes) { TenantId::default() } else { tenant };
        let block_tokens = self.declarations.block_tokens;
        let prompt = path.prompt(hashed_tenant, model.id, model.weights, block_tokens);
        let chat = ChatRequest {
            endpoint: Endpoint::Chat,
            tenant,
            model: model.id,
            weights: model.weights,
            priority: class.shape().priority,
            stream: true,
            prompt_tokens: prompt.tokens,
            max_tokens,
            blocks: prompt.blocks.into(),
            session,
            body: Arc::from("{}"),
            deadline: Duration::from_secs(30),
        };
        (chat, prompt.digest)
    }

    fn call(&self, tenant: TenantId, key: &str, body: &str, deadline: Duration) -> ActionCall {
        let mix = &self.settings.traffic.mix;
        ActionCall {
            tenant,
            key: Digest::of(key.as_bytes()),
            key_text: Arc::from(key),
            service: Arc::from(mix.service),
            operation: Arc::from(mix.operation),
            body: Arc::from(body),
            deadline,
        }
    }

    fn close(&mut self, request: RequestId, outcome: Outcome) {
        self.close_with(request, outcome, 0);
    }

    fn close_with(&mut self, request: RequestId, outcome: Outcome, cached_tokens: u32) {
        let now = self.now;
        let Some(ask) = self.callers.asks.get_mut(request.0 as usize) else { return };
        ask.is_open = false;
        let operation = &mut self.callers.operations[ask.operation];
        let Work::Chat { class, path, .. } = &operation.arrival.work else { return };
        let tokens = path.labels.len() as u32 * self.declarations.block_tokens + path.tail_tokens;
        operation.is_done |= outcome == Outcome::Answered;
        self.records.push(Record {
            class: *class,
            tenant: operation.arrival.tenant,
            sent_at: ask.sent_at,
            first_token: ask.first_token.map(|at| at.since(ask.sent_at)),
            longest_pause: ask.longest_pause,
            took: now.since(ask.sent_at),
            prompt_tokens: tokens,
            cached_tokens,
            outcome,
        });
    }

    fn ask_again(&mut self, request: RequestId, wait: Duration) {
        let Some(ask) = self.callers.ask(request) else { return };
        let number = ask.operation;
        let operation = &self.callers.operations[number];
        let is_action = matches!(operation.arrival.work, Work::Action { .. });
        let tries = if is_action { ACTION_TRIES } else { CHAT_TRIES };
        if operation.is_done || operation.tries >= tries {
            return;
        }
        let pause = match is_action {
            true => Duration::from_millis(self.rng.random_range(RESEND_MS)),
            false => Duration::from_millis(self.rng.random_range(5..50)),
        };
        self.schedule.push(self.now + wait + pause, Event::CallerRetry(number));
    }

    pub(crate) fn retry_operation(&mut self, number: usize) {
        if self.callers.operations[number].is_done {
            return;
        }
        let zone = self.callers.operations[number].arrival.zone;
        let other = self.other_zone(zone);
        let zone = if self.rng.random_bool(0.5) { zone } else { other };
        self.send_ask(number, zone);
    }

    /// A request must have its answer by now, unless its node was kept from giving it.
    pub(crate) fn check_answered(&mut self, request: RequestId) {
        let Some(ask) = self.callers.ask(request) else { return };
        if !ask.is_open {
            return;
        }
        let node = Place::Node(ask.node);
        if self.processes.is_undisturbed_since(node, ask.sent_at) {
            let sent_at = ask.sent_at;
            let detail = format!("{request} of {sent_at} has no answer after its deadline");
            self.checks.violated(self.now, Invariant::OneAnswer, detail);
        } else if self.now < self.settings.until {
            let again = self.now + ANSWER_SLACK * 4;
            self.schedule.push(again, Event::CallerCheck(request));
        }
    }

    /// When all is over, every request must have ended.
    pub(crate) fn final_checks(&mut self) {
        let open = self.callers.open();
        let is_settled =
            self.settings.until > self.settings.traffic_until + Duration::from_secs(40);
        if open > 0 && is_settled {
            let detail = format!("{open} requests never ended");
            self.checks.violated(self.now, Invariant::OneAnswer, detail);
        }
    }
}
