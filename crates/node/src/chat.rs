//! Completion requests: queued, sent, relayed, resumed, answered.

use crate::answer::{Progress, run_state};
use crate::io::{
    ACCEPT_TIMEOUT, AttemptFailure, Dispatch, FinishReason, NodeOutput, RefusalCause, Resume,
};
use crate::node::Node;
use rand::Rng;
use std::sync::Arc;
use std::time::Duration;
use topazmount_admission::{Backoff, Waiting};
use topazmount_routing::{Decision, LoadReport, Outcome, RouteRequest, Target};
use topazmount_types::{
    AttemptId, ChatRequest, ErrorKind, Incarnation, Priority, Refusal, ReplicaId, RequestId, Time,
    Usage,
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
const BACKOFF: Backoff =
    Backoff { base: Duration::from_millis(10), limit: Duration::from_millis(200) };

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
    waiting: Option<Waiting>,
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
        let waiting = Waiting { request: id, priority: request.priority, order, deadline };
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
        self.retries.first_try();
        self.enqueue(waiting);
        self.timers.set(deadline, id);
    }

    fn enqueue(&mut self, waiting: Waiting) {
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
            Decision::Go(target) => self.send_chat(id, target),
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
        self.engines.sent(&target, self.now);
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

    pub(crate) fn on_accepted(
        &mut self,
        attempt: AttemptId,
        incarnation: Incarnation,
        load: Option<LoadReport>,
    ) {
        let Some((_, chat)) = current(&mut self.chats, &self.attempts, attempt) else {
            self.counters.late_replies += 1;
            return;
        };
        chat.progress.accepted = true;
        let Some(current) = &mut chat.attempt else {
            return;
        };
        current.accepted = Some(incarnation);
        current.heard_at = self.now;
        self.engines.heard(current.target.replica, incarnation, load, self.now);
    }

    pub(crate) fn on_waiting(&mut self, attempt: AttemptId) {
        if let Some((_, chat)) = current(&mut self.chats, &self.attempts, attempt)
            && let Some(current) = &mut chat.attempt
        {
            current.heard_at = self.now;
        }
    }

    pub(crate) fn on_tokens(
        &mut self,
        attempt: AttemptId,
        place: (u32, u32),
        text: String,
        cached_tokens: Option<u32>,
    ) {
        let (position, count) = place;
        let Some((id, chat)) = current(&mut self.chats, &self.attempts, attempt) else {
            self.counters.late_replies += 1;
            return;
        };
        if position < chat.relayed {
            self.counters.late_replies += 1;
            return;
        }
        if position > chat.relayed {
            // A token is missing: what follows must not reach the caller.
            self.counters.gaps += 1;
            self.fail_attempt(id, AttemptFailure::Lost);
            return;
        }
        chat.progress.has_tokens = true;
        let is_first_of_request = chat.relayed == 0;
        chat.relayed += count;
        chat.text.push_str(&text);
        self.counters.relayed_tokens += u64::from(count);
        let Some(current) = &mut chat.attempt else {
            return;
        };
        current.heard_at = self.now;
        let is_first_of_attempt = !std::mem::replace(&mut current.has_token, true);
        if is_first_of_attempt {
            self.on_first_token(id, is_first_of_request, cached_tokens);
        }
        self.outputs.push(NodeOutput::Relay { request: id, text });
    }

    fn on_first_token(&mut self, id: RequestId, is_first: bool, cached_tokens: Option<u32>) {
        let Some(chat) = self.chats.get_mut(&id) else {
            return;
        };
        let Some(attempt) = &chat.attempt else { return };
        self.may_dispatch = true;
        self.engines.first_token(&attempt.target, self.now.since(attempt.sent_at));
        if is_first {
            let wait_ms = self.now.since(chat.arrived).as_secs_f64() * 1_000.0;
            self.policies.first_token(chat.policy, wait_ms);
        }
        if let (Some(incarnation), Some(cached_tokens)) = (attempt.accepted, cached_tokens) {
            if is_first {
                chat.cached_tokens = cached_tokens;
            }
            let route = route_request(&chat.request, chat.sequence);
            let outcome = Outcome { incarnation, cached_tokens };
            self.engines.learn(&route, &attempt.target, &outcome, self.now);
        }
        // From here on silence means a stalled engine.
        let stall = self.in_force.declarations.limits.stall_timeout;
        self.timers.set(self.now + stall, id);
    }

    pub(crate) fn on_finished(
        &mut self,
        attempt: AttemptId,
        reason: FinishReason,
        usage: Usage,
        load: Option<LoadReport>,
    ) {
        let Some((id, chat)) = current(&mut self.chats, &self.attempts, attempt) else {
            self.counters.late_replies += 1;
            return;
        };
        let is_whole = usage.completion_tokens == chat.relayed;
        let incarnation = chat.attempt.as_ref().and_then(|attempt| attempt.accepted);
        let replica = chat.attempt.as_ref().map(|attempt| attempt.target.replica);
        if let (Some(replica), Some(incarnation)) = (replica, incarnation) {
            self.engines.heard(replica, incarnation, load, self.now);
        }
        if !is_whole {
            self.counters.gaps += 1;
            self.fail_attempt(id, AttemptFailure::Lost);
            return;
        }
        self.end_attempt(id);
        let Some(chat) = self.remove_chat(id) else {
            return;
        };
        let usage = Usage {
            prompt_tokens: usage.prompt_tokens,
            cached_tokens: chat.cached_tokens,
            completion_tokens: chat.relayed,
        };
        self.counters.answered += 1;
        self.counters.prompt_tokens += u64::from(usage.prompt_tokens);
        self.counters.cached_tokens += u64::from(usage.cached_tokens);
        self.policies.ended(chat.policy, usage.prompt_tokens, usage.cached_tokens);
        let unused = f64::from(chat.request.max_tokens) - f64::from(chat.relayed);
        self.tenants.give_back(chat.request.tenant, unused, self.now);
        let text = if chat.request.stream { String::new() } else { chat.text };
        self.outputs.push(NodeOutput::Finish { request: id, reason, usage, text });
    }

    /// Notes that the current attempt needs nothing more.
    fn end_attempt(&mut self, id: RequestId) {
        let attempt = self.chats.get_mut(&id).and_then(|chat| chat.attempt.take());
        if let Some(attempt) = attempt {
            self.attempts.remove(&attempt.id);
            self.engines.ended(&attempt.target, attempt.has_token);
            self.may_dispatch = true;
        }
    }

    pub(crate) fn on_failed(&mut self, attempt: AttemptId, failure: AttemptFailure) {
        match current(&mut self.chats, &self.attempts, attempt) {
            Some((id, _)) => self.fail_attempt(id, failure),
            None => self.counters.late_replies += 1,
        }
    }

    /// Ends the current attempt and goes on elsewhere, or refuses at once.
    fn fail_attempt(&mut self, id: RequestId, failure: AttemptFailure) {
        let Some(chat) = self.chats.get_mut(&id) else {
            return;
        };
        let Some(attempt) = chat.attempt.take() else {
            return;
        };
        self.may_dispatch = true;
        let replica = attempt.target.replica;
        let weights = chat.request.weights;
        chat.tried.push(replica);
        let nothing_ran = failure != AttemptFailure::Lost;
        if nothing_ran {
            chat.progress = attempt.progress_before;
        }
        self.attempts.remove(&attempt.id);
        self.counters.failed_attempts += 1;
        self.engines.ended(&attempt.target, attempt.has_token);
        self.note_failure(replica, weights, failure);
        if failure == AttemptFailure::Lost {
            self.outputs.push(NodeOutput::Cancel(attempt.id));
        }
        log::info!("route: {id} lost {} at {replica}: {failure:?}.", attempt.id);
        if failure == AttemptFailure::Refused(RefusalCause::Invalid) {
            self.refuse_chat(id, ErrorKind::InvalidRequest, "the engine can't serve the request");
            return;
        }
        self.retry_chat(id, failure);
    }

    fn note_failure(
        &mut self,
        replica: ReplicaId,
        weights: topazmount_types::WeightsVersion,
        failure: AttemptFailure,
    ) {
        let now = self.now;
        let Some(state) = self.engines.replica_mut(replica) else {
            return;
        };
        match failure {
            AttemptFailure::NotConnected | AttemptFailure::Lost => state.failed(now),
            AttemptFailure::Refused(RefusalCause::Leaving) => state.mark_leaving(),
            AttemptFailure::Refused(RefusalCause::OtherWeights) => {
                state.refuse_weights(weights, now);
            }
            AttemptFailure::Refused(_) => {}
        }
    }

    fn retry_chat(&mut self, id: RequestId, failure: AttemptFailure) {
        let Some(chat) = self.chats.get_mut(&id) else {
            return;
        };
        let kind = match failure {
            _ if chat.relayed > 0 => ErrorKind::AnswerIncomplete,
            AttemptFailure::Refused(_) => ErrorKind::Overloaded,
            _ => ErrorKind::NoReplica,
        };
        if chat.attempts >= MAX_ATTEMPTS || !self.retries.retry() {
            self.refuse_chat(id, kind, "other replicas could not take over");
            return;
        }
        let pause = match failure {
            AttemptFailure::Refused(RefusalCause::Busy) => {
                BACKOFF.wait(chat.attempts, &mut self.rng)
            }
            _ => Duration::ZERO,
        };
        chat.not_before = self.now + pause;
        chat.queued_at = self.now;
        let waiting = waiting_of(id, chat);
        chat.waiting = Some(waiting);
        self.timers.set(chat.not_before, id);
        self.timers.set(self.now + QUEUE_PATIENCE[chat.request.priority as usize], id);
        // A retry has waited its turn once; the bound on new work does not hold it off.
        self.queue.put_back(waiting);
    }

    /// Looks at a request whose time has come.
    pub(crate) fn on_chat_timer(&mut self, id: RequestId) {
        let Some(chat) = self.chats.get(&id) else {
            return;
        };
        if self.now >= chat.deadline {
            self.refuse_chat(id, ErrorKind::DeadlineExceeded, "the deadline passed");
            return;
        }
        let Some(attempt) = &chat.attempt else {
            let patience = QUEUE_PATIENCE[chat.request.priority as usize];
            if self.now >= chat.queued_at + patience {
                self.give_up_waiting(id);
            }
            return;
        };
        let stall = self.in_force.declarations.limits.stall_timeout;
        let silence = if attempt.accepted.is_some() { stall } else { ACCEPT_TIMEOUT };
        let limit = attempt.heard_at + silence;
        if self.now >= limit {
            self.counters.stalls += 1;
            self.fail_attempt(id, AttemptFailure::Lost);
        } else {
            self.timers.set(limit, id);
        }
    }

    fn give_up_waiting(&mut self, id: RequestId) {
        let has_text = self.chats.get(&id).is_some_and(|chat| chat.relayed > 0);
        if has_text {
            self.refuse_chat(id, ErrorKind::AnswerIncomplete, "no replica took over in time");
        } else {
            self.overloaded(id);
        }
    }

    /// Refuses because too much waits; the time to come back spreads the returns.
    fn overloaded(&mut self, id: RequestId) {
        let spread = self.spread(RETURN_SPREAD);
        let base = ErrorKind::Overloaded.retry_after().unwrap_or_default();
        let refusal = Refusal::new(ErrorKind::Overloaded, "more work waits than can be served");
        self.end_with(id, refusal.with_retry_after(base + spread));
    }

    fn spread(&mut self, most: Duration) -> Duration {
        Duration::from_micros(self.rng.random_range(0..=most.as_micros() as u64))
    }

    fn refuse_chat(&mut self, id: RequestId, kind: ErrorKind, message: &str) {
        self.end_with(id, Refusal::new(kind, message));
    }

    fn end_with(&mut self, id: RequestId, refusal: Refusal) {
        let Some(chat) = self.remove_chat(id) else {
            return;
        };
        let run = run_state(chat.progress);
        self.tenants.give_back(
            chat.request.tenant,
            chat.reserved_tokens - f64::from(chat.relayed),
            self.now,
        );
        self.refuse(id, refusal.with_run(run));
    }

    /// Forgets a request whose caller went away, and frees its engine.
    pub(crate) fn abandon_chat(&mut self, id: RequestId) {
        if let Some(chat) = self.remove_chat(id) {
            let unused = f64::from(chat.request.max_tokens) - f64::from(chat.relayed);
            self.tenants.give_back(chat.request.tenant, unused, self.now);
        }
    }

    fn remove_chat(&mut self, id: RequestId) -> Option<Chat> {
        let chat = self.chats.remove(&id)?;
        if let Some(waiting) = &chat.waiting {
            self.queue.remove(waiting);
        }
        if let Some(attempt) = &chat.attempt {
            self.attempts.remove(&attempt.id);
            self.engines.ended(&attempt.target, attempt.has_token);
            self.may_dispatch = true;
            self.outputs.push(NodeOutput::Cancel(attempt.id));
        }
        Some(chat)
    }
}

fn waiting_of(id: RequestId, chat: &Chat) -> Waiting {
    Waiting { request: id, priority: chat.request.priority, order: 0.0, deadline: chat.deadline }
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
