//! Failed attempts, time that is over, and refusals.

use super::{BACKOFF, Chat, MAX_ATTEMPTS, QUEUE_PATIENCE, RETURN_SPREAD, current, waiting_of};
use crate::answer::run_state;
use crate::io::{ACCEPT_TIMEOUT, AttemptFailure, NodeOutput, RefusalCause};
use crate::node::Node;
use rand::Rng;
use std::time::Duration;
use topazmount_types::{AttemptId, ErrorKind, Refusal, ReplicaId, RequestId};

impl Node {
    pub(crate) fn on_failed(&mut self, attempt: AttemptId, failure: AttemptFailure) {
        match current(&mut self.chats, &self.attempts, attempt) {
            Some((id, _)) => self.fail_attempt(id, failure),
            None => self.counters.late_replies += 1,
        }
    }

    /// Ends the current attempt and goes on elsewhere, or refuses at once.
    pub(super) fn fail_attempt(&mut self, id: RequestId, failure: AttemptFailure) {
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
        self.engines.on_finished(&attempt.target, attempt.has_token);
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
            AttemptFailure::NotConnected | AttemptFailure::Lost => state.on_failure(now),
            AttemptFailure::Refused(RefusalCause::Leaving) => state.mark_leaving(),
            AttemptFailure::Refused(RefusalCause::OtherWeights) => {
                state.on_weights_refused(weights, now);
            }
            AttemptFailure::Refused(RefusalCause::Resting(rest)) => state.back_off(rest, now),
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
        if chat.attempts >= MAX_ATTEMPTS || !self.retries.try_retry() {
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
    pub(super) fn overloaded(&mut self, id: RequestId) {
        let spread = self.spread(RETURN_SPREAD);
        let base = ErrorKind::Overloaded.retry_after().unwrap_or_default();
        let refusal = Refusal::new(ErrorKind::Overloaded, "more work waits than can be served");
        self.end_with(id, refusal.with_retry_after(base + spread));
    }

    pub(super) fn spread(&mut self, most: Duration) -> Duration {
        Duration::from_micros(self.rng.random_range(0..=most.as_micros() as u64))
    }

    pub(super) fn refuse_chat(&mut self, id: RequestId, kind: ErrorKind, message: &str) {
        self.end_with(id, Refusal::new(kind, message));
    }

    pub(super) fn end_with(&mut self, id: RequestId, refusal: Refusal) {
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

    pub(super) fn remove_chat(&mut self, id: RequestId) -> Option<Chat> {
        let chat = self.chats.remove(&id)?;
        if let Some(waiting) = &chat.waiting {
            self.queue.remove(waiting);
        }
        if let Some(attempt) = &chat.attempt {
            self.attempts.remove(&attempt.id);
            self.engines.on_finished(&attempt.target, attempt.has_token);
            self.may_dispatch = true;
            self.outputs.push(NodeOutput::Cancel(attempt.id));
        }
        Some(chat)
    }
}
