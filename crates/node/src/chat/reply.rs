//! What engines answer: accepted, tokens, the end.

use super::{current, route_request};
use crate::io::{AttemptFailure, FinishReason, NodeOutput};
use crate::node::Node;
use topazmount_routing::{CacheReport, LoadReport};
use topazmount_types::{AttemptId, Incarnation, RequestId, Usage};

impl Node {
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
        self.engines.on_response(current.target.replica, incarnation, load, self.now);
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
        self.engines.on_first_token(&attempt.target, self.now.since(attempt.sent_at));
        if is_first {
            let wait_ms = self.now.since(chat.arrived).as_secs_f64() * 1_000.0;
            self.policies.on_first_token(chat.policy, wait_ms);
        }
        if let (Some(incarnation), Some(cached_tokens)) = (attempt.accepted, cached_tokens) {
            if is_first {
                chat.cached_tokens = cached_tokens;
            }
            let route = route_request(&chat.request, chat.sequence);
            let outcome = CacheReport { incarnation, cached_tokens };
            self.engines.on_cache_report(&route, &attempt.target, &outcome, self.now);
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
            self.engines.on_response(replica, incarnation, load, self.now);
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
        self.policies.on_finished(chat.policy, usage.prompt_tokens, usage.cached_tokens);
        let unused = f64::from(chat.request.max_tokens) - f64::from(chat.relayed);
        self.tenants.give_back(chat.request.tenant, unused, self.now);
        let text = if chat.request.stream { String::new() } else { chat.text };
        self.outputs.push(NodeOutput::Finish { request: id, reason, usage, text });
    }

    /// Notes that the current attempt needs nothing more.
    pub(super) fn end_attempt(&mut self, id: RequestId) {
        let attempt = self.chats.get_mut(&id).and_then(|chat| chat.attempt.take());
        if let Some(attempt) = attempt {
            self.attempts.remove(&attempt.id);
            self.engines.on_finished(&attempt.target, attempt.has_token);
            self.may_dispatch = true;
        }
    }
}
