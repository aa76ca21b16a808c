//! One request's way through a gateway: attempts at replicas until one answers, or a refusal.

mod answers;
mod attempt;
mod choose;
mod connection;
mod crash;
mod late;
mod limit;
mod pushback;
mod record;
mod relay;
mod resume;

use super::dialect::RequestMetadata;
use super::gateway::Shared;
use super::pool::ConnectionEnd;
use super::stream::EventSplitter;
use crate::http1::{BodyReader, RequestHead, ResponseHead, Wire};
use async_net::TcpStream;
use limit::Grant;
use std::future::Future;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;
use topazmount_gateway::{
    Admission, AttemptEnd, Choice, ChoiceRequest, EngineParameters, NextStep, PromptEvent,
    RequestPlan, cache_salt,
};
use topazmount_types::{ErrorKind, RequestDigest, RunState, TenantId, Time};

/// What becomes of the client's connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Ending {
    /// The answer is whole; the connection may go on.
    Whole,
    /// The answer broke off: the client must see that.
    Cut,
}

/// A request that was admitted.
pub(super) struct Exchange<'a> {
    pub(super) shared: &'a Shared,
    pub(super) head: &'a RequestHead,
    pub(super) body: &'a [u8],
    pub(super) tags: &'a RequestMetadata,
    /// Tells another try of the same request.
    pub(super) digest: RequestDigest,
    pub(super) admission: &'a Admission,
    /// When the request was read.
    pub(super) received: Time,
    pub(super) keeps_alive: bool,
    /// Parameters of the service's engines, if it has any.
    pub(super) engine: Option<EngineParameters>,
    /// Write side of the client's connection.
    pub(super) client: TcpStream,
}

/// How an attempt ended.
enum Attempt {
    /// Nothing that can be passed on.
    Ended(AttemptEnd),
    /// A whole failure of the replica.
    Failure(ResponseHead, Vec<u8>),
    /// A whole success.
    Success(ResponseHead, Vec<u8>),
    /// The begin of a stream.
    Stream(Box<StreamBegin>),
}

/// The connection that an answer came on.
struct Carrier {
    wire: Wire,
    end: ConnectionEnd,
    is_request_sent: bool,
}

struct StreamBegin {
    head: ResponseHead,
    carrier: Carrier,
    reader: BodyReader,
    splitter: EventSplitter,
    first: Option<Vec<u8>>,
    is_until_close: bool,
}

struct WholeAnswer {
    head: ResponseHead,
    body: Vec<u8>,
    carrier: Carrier,
}

/// What a replica sent first.
enum First {
    Whole(Box<WholeAnswer>),
    Stream(Box<StreamBegin>),
    /// The connection ended before any byte came.
    Mute,
    Broken(&'static str),
}

/// How a relayed stream ended.
enum StreamEnd {
    Complete,
    ReplicaBroke,
    /// The replica has said nothing for long; the stream can be read on.
    Silent(Box<StreamBegin>),
    /// The replica fell silent and was let go for another one, which then failed the stream.
    NotResumed(AttemptEnd),
    ClientBroke,
    TimeOver,
}

/// Progress of the client's answer.
#[derive(Default)]
struct Progress {
    has_begun: bool,
    last_event: Option<String>,
    pace: Pace,
}

/// How the events of a stream came.
#[derive(Clone, Copy, Default)]
struct Pace {
    first_at: Option<Time>,
    last_at: Option<Time>,
    longest_pause: Duration,
}

impl Pace {
    fn note_event(&mut self, now: Time) {
        if let Some(last) = self.last_at {
            self.longest_pause = self.longest_pause.max(now.since(last));
        }
        self.first_at = self.first_at.or(Some(now));
        self.last_at = Some(now);
    }
}

/// Counts a request at its replica for as long as it lives.
struct InFlight<'a> {
    shared: &'a Shared,
    choice: Choice,
    /// Grant for a replica that had named a limit when it was chosen.
    grant: Option<Grant<'a>>,
    has_first_token: AtomicBool,
    has_failed: AtomicBool,
}

impl Drop for InFlight<'_> {
    fn drop(&mut self) {
        let has_first_token = self.has_first_token.load(Ordering::SeqCst);
        let event = match self.has_failed.load(Ordering::SeqCst) {
            true => PromptEvent::Failed,
            false => PromptEvent::Ended,
        };
        let now = self.shared.clock.now();
        let news = {
            let mut knowledge = self.shared.knowledge.lock().unwrap();
            knowledge.balancer().on_ended(&self.choice, has_first_token);
            knowledge.end_update(&self.choice, event, now)
        };
        self.shared.peers.tell(news);
    }
}

impl<'e> Exchange<'e> {
    fn ends_at(&self) -> Time {
        let timeout = self.admission.route.timeout;
        self.received + self.tags.deadline.map_or(timeout, |deadline| deadline.min(timeout))
    }

    fn left(&self) -> Duration {
        self.ends_at().since(self.shared.clock.now())
    }

    fn choice_request<'a>(&'a self, plan: &'a RequestPlan) -> ChoiceRequest<'a> {
        ChoiceRequest {
            service: &self.admission.service,
            tenant: self.tenant_hash(),
            prompt: self.tags.prompt.as_ref(),
            model: self.tags.model.as_deref(),
            namespace: self.namespace(),
            isolated_tenant: self.wall(),
            tried: plan.tried(),
            pinned_to: plan.pinned_to(),
            engine: self.engine.as_ref(),
        }
    }

    /// What separates the caches that this request may share.
    fn namespace(&self) -> u64 {
        use std::hash::{DefaultHasher, Hash, Hasher};
        let mut hasher = DefaultHasher::new();
        self.tags.model.hash(&mut hasher);
        self.wall().hash(&mut hasher);
        hasher.finish()
    }

    fn tenant_hash(&self) -> u64 {
        self.admission.tenant.as_ref().map_or(0, |tenant| TenantId::from_name(&tenant.name).0)
    }

    /// The tenant whose cached prompt parts are kept from all others, if it is one.
    fn wall(&self) -> Option<&str> {
        let tenant = self.admission.tenant.as_ref()?;
        tenant.is_isolated.then_some(tenant.name.as_str())
    }

    /// Name under which parts are shared: parts made with other weights or behind another
    /// tenant's wall never have the same. Where the weights are not known, nothing is shared: a run
    /// may outlast a load, and what it leaves would be taken for the new weights' own.
    fn cache_salt(&self, version: Option<u32>) -> String {
        match version {
            Some(version) => cache_salt(version, self.wall()),
            None => format!("request/{}", self.tags.id),
        }
    }

    /// Serves the request to its end.
    pub(super) async fn run(mut self) -> Ending {
        let route = &self.admission.route;
        let mut plan = RequestPlan::new(route.is_retryable(), route.attempts);
        let mut progress =
            Progress { last_event: self.tags.last_event_id.clone(), ..Progress::default() };
        let now = self.shared.clock.now();
        let service = self.admission.service.clone();
        self.shared.knowledge.lock().unwrap().record_request(&service, now);
        if !self.is_admitted_by_policy(&plan) {
            return self.give_up(&plan, &progress, ErrorKind::RefusedByPolicy).await;
        }
        if self.is_blocked() {
            return self.give_up(&plan, &progress, ErrorKind::CrashesReplicas).await;
        }
        let grant = match self.ask_limit().await {
            Ok(grant) => grant,
            Err(over) => return self.refuse_over_limit(&plan, over).await,
        };
        self.run_attempts(&mut plan, &mut progress, grant.as_ref()).await
    }

    /// Sends an admitted request to replicas until one answers or there is nothing left to try.
    async fn run_attempts(
        &mut self,
        plan: &mut RequestPlan,
        progress: &mut Progress,
        grant: Option<&Grant<'_>>,
    ) -> Ending {
        // A replica's whole failure, while others are tried.
        let mut failure = None;
        loop {
            if self.is_blocked() {
                return self.give_up(plan, progress, ErrorKind::CrashesReplicas).await;
            }
            if self.left().is_zero() {
                return self.end_without(plan, progress, time_over(plan), failure).await;
            }
            let Some(mut in_flight) = self.choose(plan).await else {
                // The incarnation that it was held to has ended.
                if plan.unpin() {
                    continue;
                }
                return self.end_without(plan, progress, plan.refusal(), failure).await;
            };
            if let Some(wait) = self.wait_if_late(plan, &in_flight.choice) {
                drop(in_flight);
                return self.refuse(plan, ErrorKind::Overloaded, Some(wait)).await;
            }
            plan.begin(in_flight.choice.instance.incarnation_name());
            set_used(grant, true);
            let began = self.shared.clock.now();
            let attempt = self.attempt(plan, &in_flight, progress).await;
            let end = match attempt {
                Attempt::Success(head, body) => {
                    self.note_success(&in_flight.choice, began);
                    self.log_attempt(&in_flight.choice, "success");
                    return self.pass_on(head, &body, plan).await;
                }
                Attempt::Failure(head, body) => {
                    self.log_attempt(&in_flight.choice, "failure");
                    drop(in_flight);
                    match self.next(plan, AttemptEnd::Failed, progress) {
                        None => {
                            failure = Some((head, body));
                            continue;
                        }
                        Some(_) if progress.has_begun => return Ending::Cut,
                        Some(_) => return self.pass_on(head, &body, plan).await,
                    }
                }
                Attempt::Stream(begin) => {
                    let end;
                    (in_flight, end) = self.relay_resuming(plan, in_flight, begin, progress).await;
                    match end {
                        StreamEnd::Complete => {
                            self.note_success(&in_flight.choice, began);
                            self.log_attempt(&in_flight.choice, "success");
                            self.shared.metrics.longest_pause(progress.pace.longest_pause);
                            self.log_stream(plan, &progress.pace);
                            return Ending::Whole;
                        }
                        StreamEnd::ClientBroke => {
                            self.log_end(plan, 0, "client_gone");
                            return Ending::Cut;
                        }
                        StreamEnd::TimeOver => {
                            self.log_end(plan, 0, "time_over");
                            return Ending::Cut;
                        }
                        StreamEnd::NotResumed(end) => end,
                        StreamEnd::ReplicaBroke | StreamEnd::Silent(_) => AttemptEnd::Broken,
                    }
                }
                Attempt::Ended(end) => end,
            };
            self.note_failure(&in_flight, end);
            self.log_attempt(&in_flight.choice, end.name());
            if end == AttemptEnd::Broken {
                self.look_for_crash(&in_flight.choice, began).await;
            }
            drop(in_flight);
            let next = self.next(plan, end, progress);
            set_used(grant, plan.may_have_run());
            if let Some(kind) = next {
                if self.is_blocked() {
                    return self.give_up(plan, progress, ErrorKind::CrashesReplicas).await;
                }
                return self.end_without(plan, progress, kind, failure).await;
            }
        }
    }

    fn is_admitted_by_policy(&self, plan: &RequestPlan) -> bool {
        let request = self.choice_request(plan);
        let has_prompt = request.prompt.is_some();
        !has_prompt || self.shared.knowledge.lock().unwrap().is_admitted_by_policy(&request)
    }

    /// Asks the plan and the budget what follows: another attempt, or the kind of the answer.
    fn next(
        &self,
        plan: &mut RequestPlan,
        end: AttemptEnd,
        progress: &Progress,
    ) -> Option<ErrorKind> {
        // A stream whose events have no identifiers can't be taken up in the middle.
        if progress.has_begun && progress.last_event.is_none() {
            return Some(ErrorKind::AnswerIncomplete);
        }
        match plan.end(end) {
            NextStep::Retry { needs_budget: false, .. } => None,
            NextStep::Retry { fallback: otherwise, .. } => {
                (!self.may_repeat()).then_some(otherwise)
            }
            NextStep::RetryOrForward => (!self.may_repeat()).then_some(ErrorKind::BackendFailed),
            NextStep::Forward => Some(ErrorKind::BackendFailed),
            NextStep::Respond(kind) => Some(kind),
        }
    }

    /// Asks the service's budget for one repeat.
    fn may_repeat(&self) -> bool {
        let now = self.shared.clock.now();
        self.shared.knowledge.lock().unwrap().try_retry(&self.admission.service, now)
    }
}

fn set_used(grant: Option<&Grant<'_>>, may_have_run: bool) {
    if let Some(grant) = grant {
        grant.set_used(may_have_run);
    }
}

/// Kind of the answer to a request whose time is over.
fn time_over(plan: &RequestPlan) -> ErrorKind {
    match plan.run_state() {
        RunState::NotRun => ErrorKind::Overloaded,
        _ => ErrorKind::OutcomeTimedOut,
    }
}

/// Runs a future for a limited time.
async fn until<T>(limit: Duration, future: impl Future<Output = T>) -> Option<T> {
    super::http_service::within(limit, future).await
}
