//! Calls that may run at most once: claimed, dispatched once, recorded, answered.
//!
//! Invariant: a call is handed to an application only while this node holds a committed claim, and
//! never again after one attempt may have reached an application.

use crate::control_link::Purpose;
use crate::io::{ActionFailure, NodeOutput};
use crate::node::Node;
use std::sync::Arc;
use std::time::Duration;
use topazmount_control::{ActionResult, ClaimId, ClaimOutcome, Command, Reply, Request};
use topazmount_routing::{Decision, RouteRequest, Target};
use topazmount_types::{
    ActionCall, ActionKey, AttemptId, Digest, ErrorKind, ModelId, Priority, Refusal, ReplicaId,
    RequestId, RunState, Time, WeightsVersion,
};

/// Longest wait for a claim.
const CLAIM_PATIENCE: Duration = Duration::from_millis(3_000);
/// Longest wait for a result to be recorded before the caller is given it anyway.
const RECORD_PATIENCE: Duration = Duration::from_millis(1_000);
/// How long a node goes on trying to record a result or give back a claim.
const RECORD_PERSISTENCE: Duration = Duration::from_secs(600);

/// How far a call has come.
#[derive(Clone, Debug, PartialEq)]
enum Phase {
    /// The claim is asked for.
    Claiming,
    /// The claim is held; an application has the call.
    Dispatched { attempt: AttemptId, target: Target },
    /// The outcome is being recorded; `None` when it can't be told.
    Recording(Option<ActionResult>),
}

/// A call.
pub(crate) struct Action {
    call: Arc<ActionCall>,
    claim: ClaimId,
    deadline: Time,
    claim_until: Time,
    record_until: Time,
    phase: Phase,
    tried: Vec<ReplicaId>,
    /// The caller has its answer, or is gone; what is left is bookkeeping.
    is_answered: bool,
}

impl Action {
    pub(crate) fn caller_gone(&mut self) {
        self.is_answered = true;
    }

    fn key(&self) -> ActionKey {
        ActionKey { tenant: self.call.tenant, key: self.call.key }
    }

    fn digest(&self) -> Digest {
        self.call.digest()
    }
}

impl Node {
    pub(crate) fn on_action(&mut self, id: RequestId, call: ActionCall) {
        self.counters.actions += 1;
        if self.refuse_if_draining(id) {
            return;
        }
        self.next_claim += 1;
        let claim = ClaimId {
            node: self.id,
            incarnation: self.settings.incarnation,
            sequence: self.next_claim,
        };
        let deadline = self.now + call.deadline;
        let claim_until = deadline.min(self.now + CLAIM_PATIENCE);
        let within = call.deadline;
        let action = Action {
            call: Arc::new(call),
            claim,
            deadline,
            claim_until,
            record_until: Time::NEVER,
            phase: Phase::Claiming,
            tried: Vec::new(),
            is_answered: false,
        };
        let (key, digest) = (action.key(), action.digest());
        self.actions.insert(id, action);
        self.timers.set(claim_until, id);
        self.timers.set(deadline, id);
        let command = Command::Claim { key, claim, digest, within };
        self.ask_control(claim_until, Purpose::Action(id), Request::Ledger(command));
    }

    /// Takes the ledger's answer to a claim or a record.
    pub(crate) fn on_ledger(&mut self, id: RequestId, reply: Reply) {
        let Some(action) = self.actions.get(&id) else {
            return;
        };
        match (reply, &action.phase) {
            (Reply::Claim(outcome), Phase::Claiming) => self.on_claim(id, outcome),
            (Reply::Finished(_), Phase::Recording(_)) => {
                self.answer_recorded(id);
                self.actions.remove(&id);
            }
            _ => {}
        }
    }

    fn on_claim(&mut self, id: RequestId, outcome: ClaimOutcome) {
        let kind = match outcome {
            ClaimOutcome::Granted => return self.dispatch_action(id),
            ClaimOutcome::Finished(result) => {
                self.answer_action(id, result, true);
                self.actions.remove(&id);
                return;
            }
            ClaimOutcome::InProgress => ErrorKind::InProgress,
            ClaimOutcome::Unknown => ErrorKind::OutcomeUnknown,
            ClaimOutcome::Expired => ErrorKind::ResultExpired,
            ClaimOutcome::KeyReused => ErrorKind::KeyReused,
            ClaimOutcome::Released => ErrorKind::LedgerUnavailable,
        };
        let message = match kind {
            ErrorKind::InProgress => "the call with this key is still running",
            ErrorKind::OutcomeUnknown => "the call with this key has an unknown outcome",
            ErrorKind::ResultExpired => "the call with this key ran; its result is gone",
            ErrorKind::KeyReused => "the key was used with another request",
            _ => "the call could not be recorded",
        };
        self.refuse_action(id, Refusal::new(kind, message));
        self.actions.remove(&id);
    }

    /// Hands the call to an application. Called with the claim held and nothing handed over.
    fn dispatch_action(&mut self, id: RequestId) {
        let Some(action) = self.actions.get(&id) else {
            return;
        };
        if self.now >= action.deadline {
            let refusal = Refusal::new(ErrorKind::DeadlineExceeded, "the deadline passed");
            return self.give_back(id, refusal);
        }
        let call = action.call.clone();
        let route = RouteRequest {
            tenant: call.tenant,
            model: ModelId::from_name(&call.service),
            weights: WeightsVersion::default(),
            priority: Priority::Interactive,
            prompt_tokens: 0,
            max_tokens: 0,
            blocks: &[],
            session: 0,
            sequence: self.counters.actions,
        };
        let tried = action.tried.clone();
        let decision =
            self.applications.decide(&route, self.now, &tried, &mut self.policies, 0, None);
        let Decision::Send(target) = decision else {
            let refusal = Refusal::new(ErrorKind::NoReplica, "no application replica answers");
            return self.give_back(id, refusal);
        };
        let attempt = self.new_attempt(id);
        self.applications.on_sent(&target, self.now);
        let replica = target.replica;
        if let Some(action) = self.actions.get_mut(&id) {
            action.phase = Phase::Dispatched { attempt, target };
        }
        log::debug!("action: {id} goes to {replica} as {attempt}.");
        self.outputs.push(NodeOutput::DispatchAction { attempt, request: id, replica, call });
    }

    pub(crate) fn on_action_answered(&mut self, attempt: AttemptId, result: ActionResult) {
        let Some(id) = self.end_dispatch(attempt) else {
            return;
        };
        if let Some(target_replica) = self.last_tried(id)
            && let Some(state) = self.applications.replica_mut(target_replica)
        {
            state.breaker.on_success();
        }
        self.record(id, Some(result));
    }

    pub(crate) fn on_action_failed(&mut self, attempt: AttemptId, failure: ActionFailure) {
        let Some(id) = self.end_dispatch(attempt) else {
            return;
        };
        let now = self.now;
        if let Some(replica) = self.last_tried(id)
            && let Some(state) = self.applications.replica_mut(replica)
        {
            state.on_failure(now);
        }
        match failure {
            // Nothing ran: the claim is still held and another replica may have the call.
            ActionFailure::NotConnected | ActionFailure::NotAccepted => self.dispatch_action(id),
            ActionFailure::Lost => {
                let message = "the application was lost while it had the call";
                self.refuse_action(id, Refusal::new(ErrorKind::OutcomeUnknown, message));
                self.record(id, None);
            }
        }
    }

    /// Ends the attempt if it is the current one of a call, and returns that call.
    fn end_dispatch(&mut self, attempt: AttemptId) -> Option<RequestId> {
        let Some(id) = self.attempts.remove(&attempt) else {
            self.counters.late_replies += 1;
            return None;
        };
        let action = self.actions.get_mut(&id)?;
        let Phase::Dispatched { attempt: current, target } = action.phase.clone() else {
            return None;
        };
        if current != attempt {
            self.counters.late_replies += 1;
            return None;
        }
        action.tried.push(target.replica);
        self.applications.on_finished(&target, true);
        Some(id)
    }

    fn last_tried(&self, id: RequestId) -> Option<ReplicaId> {
        self.actions.get(&id).and_then(|action| action.tried.last().copied())
    }

    /// Records the outcome; goes on trying after the caller is answered.
    fn record(&mut self, id: RequestId, result: Option<ActionResult>) {
        let retention = self.in_force.declarations.limits.result_retention;
        let now = self.now;
        let Some(action) = self.actions.get_mut(&id) else {
            return;
        };
        let (key, claim) = (action.key(), action.claim);
        action.phase = Phase::Recording(result.clone());
        action.record_until = now + RECORD_PERSISTENCE;
        let until = action.record_until;
        self.timers.set(now + RECORD_PATIENCE, id);
        self.timers.set(until, id);
        let command = Command::Finish { key, claim, result, retention };
        self.ask_control(until, Purpose::Action(id), Request::Ledger(command));
    }

    /// Gives the claim back, having handed nothing over, and refuses.
    fn give_back(&mut self, id: RequestId, refusal: Refusal) {
        let Some(action) = self.actions.remove(&id) else {
            return;
        };
        self.counters.claims_released += 1;
        self.control.stop(Purpose::Action(id));
        let until = self.now + RECORD_PERSISTENCE;
        let command =
            Command::Release { key: action.key(), claim: action.claim, digest: action.digest() };
        self.ask_control(until, Purpose::Release, Request::Ledger(command));
        if !action.is_answered {
            self.refuse(id, refusal.with_run(RunState::NotRun));
        }
    }

    /// Looks at a call whose time has come.
    pub(crate) fn on_action_timer(&mut self, id: RequestId) {
        let Some(action) = self.actions.get(&id) else {
            return;
        };
        match &action.phase {
            Phase::Claiming if self.now >= action.claim_until => {
                let message = "the control group did not record the call in time";
                self.give_back(id, Refusal::new(ErrorKind::LedgerUnavailable, message));
            }
            Phase::Dispatched { .. } if self.now >= action.deadline => {
                let message = "the application did not answer by the deadline";
                self.refuse_action(id, Refusal::new(ErrorKind::OutcomeUnknown, message));
            }
            Phase::Recording(_) => {
                let is_over = self.now >= action.record_until;
                self.answer_recorded(id);
                if is_over {
                    self.actions.remove(&id);
                }
            }
            _ => {}
        }
    }

    /// Gives the caller the outcome that is being, or has been, recorded.
    fn answer_recorded(&mut self, id: RequestId) {
        let Some(action) = self.actions.get(&id) else {
            return;
        };
        if let Phase::Recording(Some(result)) = &action.phase {
            let result = result.clone();
            self.answer_action(id, result, false);
        }
    }

    fn answer_action(&mut self, id: RequestId, result: ActionResult, replayed: bool) {
        let Some(action) = self.actions.get_mut(&id) else {
            return;
        };
        if std::mem::replace(&mut action.is_answered, true) {
            return;
        }
        self.counters.answered += 1;
        self.outputs.push(NodeOutput::AnswerAction { request: id, result, replayed });
    }

    fn refuse_action(&mut self, id: RequestId, refusal: Refusal) {
        let Some(action) = self.actions.get_mut(&id) else {
            return;
        };
        if std::mem::replace(&mut action.is_answered, true) {
            return;
        }
        self.refuse(id, refusal);
    }
}
