//! Completion requests: queued, sent, relayed, resumed, answered.

mod reply;
mod retry;

use crate::answer::Progress;
use crate::io::{ACCEPT_TIMEOUT, Dispatch, NodeOutput, Resume};
use crate::node::Node;
use std::sync::Arc;
use std::time::Duration;
use topazmount_admission::{RetryBackoff, WaitingRequest};
use topazmount_routing::{Decision, RouteRequest, Target};
use topazmount_types::{
    AttemptId, ChatRequest, ErrorKind, Incarnation, Priority, Refusal, ReplicaId, RequestId, Time,
};

/// Most attempts for one request.
const MAX_ATTEMPTS: u32 = 5;
/// Longest wait in a node's queue, by priority: beyond it the answer would come too late to help,
/// and the caller is told at once.
const QUEUE_PATIENCE: [Duration; 3] =
    [Duration::from_millis(500), Duration::from_millis(3_000), Duration::from_millis(20_000)];
/// Spread added to the time after which refused callers are asked to come back.
const RETURN_SPREAD: Duration = Duration::from_secs(4);
/// Requests found without room before a pass over the queue ends.
const MAX_SATURATED: u32 = 4;
/// Pauses between attempts that engines refused.
const BACKOFF: RetryBackoff =
    RetryBackoff { base: Duration::from_millis(10), max_wait: Duration::from_millis(200) };

/// The attempt that counts.
#[derive(Clone, Debug)]
struct Attempt {
    id: AttemptId,
    target: Target,
    sent_at: Time,
    accepted: Option<Incarnation>,
    has_token: bool,
    heard_at: Time,
    /// Progress of the request before this attempt, restored when nothing of it ran.
    progress_before: Progress,
}

/// A completion request.
pub(crate) struct Chat {
    request: Arc<ChatRequest>,
    arrived: Time,
    deadline: Time,
    policy: usize,
    sequence: u64,
    progress: Progress,
    attempt: Option<Attempt>,
    attempts: u32,
    tried: Vec<ReplicaId>,
    /// Set while it waits in the queue.
    waiting: Option<WaitingRequest>,
    queued_at: Time,
    not_before: Time,
    relayed: u32,
    text: String,
    cached_tokens: u32,
    reserved_tokens: f64,
}

fn route_request(chat: &ChatRequest, sequence: u64) -> RouteRequest<'_> {
    RouteRequest {
        tenant: chat.tenant,
        model: chat.model,
        weights: chat.weights,
        priority: chat.priority,
        prompt_tokens: chat.prompt_tokens,
        max_tokens: chat.max_tokens,
        blocks: &chat.blocks,
        session: chat.session,
        sequence,
    }
}

impl Node {
    pub(crate) fn on_chat(&mut self, id: RequestId, request: ChatRequest) {
        self.counters.chats += 1;
        if self.refuse_if_draining(id) {
            return;
        }
        let reserved = f64::from(request.prompt_tokens) + f64::from(request.max_tokens);
        if let Err(wait) = self.tenants.take(request.tenant, reserved, self.now) {
            let refusal = Refusal::new(ErrorKind::TenantLimit, "the tenant's rate is used up");
            let spread = self.spread(wait);
            self.refuse(id, refusal.with_retry_after(wait + spread));
            return;
        }
        let sequence = self.counters.chats;
        let route = route_request(&request, sequence);
        let policy = self.policies.assign(&route);
        if !self.policies.admit(policy, &route) {
            self.tenants.give_back(request.tenant, reserved, self.now);
            let refusal = Refusal::new(ErrorKind::RefusedByPolicy, "a routing policy refused it");
            self.refuse(id, refusal);
            return;
        }
        let order = self.policies.order(policy, &route);
        let deadline = self.now + request.deadline;
        let waiting = WaitingRequest { request: id, priority: request.priority, order, deadline };
        let chat = Chat {
            arrived: self.now,
            deadline,
            policy,
            sequence,
            progress: Progress::default(),
            attempt: None,
            attempts: 0,
            tried: Vec::new(),
            waiting: None,
            queued_at: self.now,
            not_before: self.now,
            relayed: 0,
            text: String::new(),
            cached_tokens: 0,
            reserved_tokens: reserved,
            request: Arc::new(request),
        };
        self.chats.insert(id, chat);
        self.retries.on_first_attempt();
        self.enqueue(waiting);
        self.timers.set(deadline, id);
    }

    fn enqueue(&mut self, waiting: WaitingRequest) {
        self.may_dispatch = true;
        let id = waiting.request;
        match self.queue.push(waiting) {
            Ok(displaced) => {
                if let Some(chat) = self.chats.get_mut(&id) {
                    chat.waiting = Some(waiting);
                    chat.queued_at = self.now;
                    let patience = QUEUE_PATIENCE[waiting.priority as usize];
                    self.timers.set(self.now + patience, id);
                }
                if let Some(displaced) = displaced {
                    self.overloaded(displaced.request);
                }
            }
            Err(_) => self.overloaded(id),
        }
    }

    /// Sends waiting requests as far as engines have room.
    pub(crate) fn dispatch_waiting(&mut self) {
        if !std::mem::take(&mut self.may_dispatch) {
            return;
        }
        let mut postponed = Vec::new();
        let mut saturated = 0;
        while let Some(waiting) = self.queue.pop() {
            let is_due =
                self.chats.get(&waiting.request).is_some_and(|chat| chat.not_before <= self.now);
            if !is_due {
                postponed.push(waiting);
                continue;
            }
            if !self.dispatch(waiting.request) {
                postponed.push(waiting);
                saturated += 1;
            }
            // Another model's engines may have room; but not every request is tried every time.
            if saturated >= MAX_SATURATED {
                break;
            }
        }
        for waiting in postponed {
            if self.chats.contains_key(&waiting.request) {
                self.queue.put_back(waiting);
            }
        }
    }

    /// Sends one request; returns false when all engines are saturated.
    fn dispatch(&mut self, id: RequestId) -> bool {
        let Some(chat) = self.chats.get(&id) else {
            return true;
        };
        let request = chat.request.clone();
        let (policy, sequence) = (chat.policy, chat.sequence);
        let tried = chat.tried.clone();
        let route = route_request(&request, sequence);
        let oracle = self.take_oracle();
        let knowledge = oracle.as_deref().map(|oracle| oracle as _);
        let decision =
            self.engines.decide(&route, self.now, &tried, &mut self.policies, policy, knowledge);
        self.put_oracle(oracle);
        match decision {
            Decision::Send(target) => self.send_chat(id, target),
            Decision::Saturated => return false,
            Decision::NoReplica => self.no_replica(id),
        }
        true
    }

    fn send_chat(&mut self, id: RequestId, target: Target) {
        let attempt = self.new_attempt(id);
        let Some(chat) = self.chats.get_mut(&id) else {
            return;
        };
        chat.waiting = None;
        chat.attempts += 1;
        let progress_before = chat.progress;
        chat.progress.handed_over = true;
        chat.attempt = Some(Attempt {
            id: attempt,
            target,
            sent_at: self.now,
            accepted: None,
            has_token: false,
            heard_at: self.now,
            progress_before,
        });
        let resume =
            (chat.relayed > 0).then(|| Resume { position: chat.relayed, text: chat.text.clone() });
        self.counters.attempts += 1;
        self.counters.resumed += u64::from(resume.is_some());
        self.engines.on_sent(&target, self.now);
        self.timers.set(self.now + ACCEPT_TIMEOUT, id);
        log::debug!("route: {id} goes to {} as {attempt}.", target.replica);
        self.outputs.push(NodeOutput::Dispatch(Dispatch {
            attempt,
            request: id,
            replica: target.replica,
            chat: chat.request.clone(),
            resume,
        }));
    }

    /// No replica is left: those that were tried may be tried again later, within patience.
    fn no_replica(&mut self, id: RequestId) {
        let Some(chat) = self.chats.get_mut(&id) else {
            return;
        };
        let waited = self.now.since(chat.queued_at);
        let patience = QUEUE_PATIENCE[chat.request.priority as usize];
        let may_wait = waited < patience && chat.attempts < MAX_ATTEMPTS;
        if !may_wait {
            let kind =
                if chat.relayed > 0 { ErrorKind::AnswerIncomplete } else { ErrorKind::NoReplica };
            self.refuse_chat(id, kind, "no replica can serve the request now");
            return;
        }
        chat.tried.clear();
        let pause = BACKOFF.wait(chat.attempts, &mut self.rng).max(BACKOFF.base);
        chat.not_before = self.now + pause;
        self.timers.set(chat.not_before, id);
        let waiting = waiting_of(id, chat);
        chat.waiting = Some(waiting);
        self.queue.put_back(waiting);
    }
}

fn waiting_of(id: RequestId, chat: &Chat) -> WaitingRequest {
    WaitingRequest {
        request: id,
        priority: chat.request.priority,
        order: 0.0,
        deadline: chat.deadline,
    }
}

/// The request whose current attempt this is.
fn current<'a>(
    chats: &'a mut std::collections::HashMap<RequestId, Chat>,
    attempts: &std::collections::HashMap<AttemptId, RequestId>,
    attempt: AttemptId,
) -> Option<(RequestId, &'a mut Chat)> {
    let id = *attempts.get(&attempt)?;
    let chat = chats.get_mut(&id)?;
    let is_current = chat.attempt.as_ref().is_some_and(|current| current.id == attempt);
    is_current.then_some((id, chat))
}

/// Priorities as indices of the tables above.
const _: () = assert!(Priority::ALL.len() == QUEUE_PATIENCE.len());
