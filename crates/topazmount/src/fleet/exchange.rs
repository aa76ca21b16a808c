//! One request's way through a gateway: attempts at replicas until one answers, or a refusal.

use super::answer::{Delivery, end_to_end, forwarded_head, own_answer};
use super::dialect::{RequestTags, Upstream};
use super::gateway::Shared;
use super::stream::EventSplitter;
use crate::http1::{
    BodyReader, Framing, Headers, LAST_CHUNK, RequestHead, ResponseHead, Wire, chunk, connect,
    read_answer_head, request_bytes, response_framing,
};
use async_net::TcpStream;
use futures_lite::AsyncWriteExt;
use std::future::Future;
use std::pin::pin;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;
use topazmount_gateway::{
    Admission, AttemptEnd, Choice, ChoiceRequest, EngineParameters, LoadNews, NextStep,
    RequestPlan, RouteKind,
};
use topazmount_types::{ErrorKind, RunState, TenantId, Time};

/// Longest time for a connection to a replica to come up.
const CONNECT_LIMIT: Duration = Duration::from_millis(300);
/// Part of the target latency after which a replica that sent nothing is given up, where the
/// request may be sent to another.
const SILENCE_SHARE: f64 = 0.7;
/// Least such silence of a replica that has a prompt to read.
const PROMPT_SILENCE: Duration = Duration::from_millis(1_200);
/// Times that the estimated time to the first token is added to that.
const SILENCE_ESTIMATES: f64 = 2.0;
/// Silence in the middle of a stream after which it is resumed elsewhere.
const STREAM_SILENCE: Duration = Duration::from_millis(1_200);
/// Largest body of an answer that is not a stream.
const MAX_ANSWER: usize = 16 * 1024 * 1024;
/// Late answers to earlier requests that are passed over on one connection.
const MAX_LATE_ANSWERS: usize = 2;

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
    pub(super) tags: &'a RequestTags,
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

struct StreamBegin {
    head: ResponseHead,
    wire: Wire,
    reader: BodyReader,
    splitter: EventSplitter,
    first: Option<Vec<u8>>,
    is_until_close: bool,
}

/// What a replica sent first.
enum First {
    Whole(ResponseHead, Vec<u8>),
    Stream(Box<StreamBegin>),
    Broken(&'static str),
}

/// How a relayed stream ended.
enum StreamEnd {
    Complete,
    ReplicaBroke,
    ClientBroke,
    TimeOver,
}

/// Progress of the client's answer.
#[derive(Default)]
struct Progress {
    has_begun: bool,
    last_event: Option<String>,
}

/// Counts a request at its replica for as long as it lives.
struct InFlight<'a> {
    shared: &'a Shared,
    choice: Choice,
    has_first_token: AtomicBool,
}

impl Drop for InFlight<'_> {
    fn drop(&mut self) {
        let has_first_token = self.has_first_token.load(Ordering::SeqCst);
        let mut knowledge = self.shared.knowledge.lock().unwrap();
        knowledge.balancer().ended(&self.choice, has_first_token);
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
            exclude: plan.tried(),
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
    /// tenant's wall never have the same.
    fn cache_salt(&self, version: Option<u32>) -> String {
        let version = version.map_or("unknown".to_owned(), |version| version.to_string());
        format!("v{version}/{}", self.wall().unwrap_or_default())
    }

    /// Serves the request to its end.
    pub(super) async fn run(mut self) -> Ending {
        let route = &self.admission.route;
        let mut plan = RequestPlan::new(route.is_repeatable(), route.attempts);
        let mut progress =
            Progress { last_event: self.tags.last_event.clone(), ..Progress::default() };
        let now = self.shared.clock.now();
        let service = self.admission.service.clone();
        self.shared.knowledge.lock().unwrap().count_request(&service, now);
        if !self.is_admitted_by_policy(&plan) {
            return self.give_up(&plan, &progress, ErrorKind::RefusedByPolicy).await;
        }
        loop {
            if self.left().is_zero() {
                return self.give_up(&plan, &progress, time_over(&plan)).await;
            }
            let Some((in_flight, news)) = self.choose(&plan) else {
                return self.give_up(&plan, &progress, plan.refusal()).await;
            };
            plan.begin(in_flight.choice.instance.id.clone());
            if let Some(news) = news {
                self.shared.peers.tell(news).await;
            }
            let attempt = self.attempt(&plan, &in_flight, &progress).await;
            let end = match attempt {
                Attempt::Success(head, body) => {
                    self.note_success(&in_flight.choice);
                    self.log_attempt(&in_flight.choice, "success");
                    return self.pass_on(head, &body, &plan).await;
                }
                Attempt::Failure(head, body) => {
                    self.log_attempt(&in_flight.choice, "failure");
                    drop(in_flight);
                    match self.next(&mut plan, AttemptEnd::Failed, &progress) {
                        None => continue,
                        Some(_) if progress.has_begun => return Ending::Cut,
                        Some(_) => return self.pass_on(head, &body, &plan).await,
                    }
                }
                Attempt::Stream(begin) => match self.relay(*begin, &mut progress).await {
                    StreamEnd::Complete => {
                        self.note_success(&in_flight.choice);
                        self.log_attempt(&in_flight.choice, "success");
                        self.log_end(&plan, 200, "stream");
                        return Ending::Whole;
                    }
                    StreamEnd::ClientBroke => {
                        self.log_end(&plan, 0, "client_gone");
                        return Ending::Cut;
                    }
                    StreamEnd::TimeOver => {
                        self.log_end(&plan, 0, "time_over");
                        return Ending::Cut;
                    }
                    StreamEnd::ReplicaBroke => AttemptEnd::Broken,
                },
                Attempt::Ended(end) => end,
            };
            self.note_failure(&in_flight.choice, end);
            self.log_attempt(&in_flight.choice, &format!("{end:?}"));
            drop(in_flight);
            if let Some(kind) = self.next(&mut plan, end, &progress) {
                return self.give_up(&plan, &progress, kind).await;
            }
        }
    }

    fn is_admitted_by_policy(&self, plan: &RequestPlan) -> bool {
        let request = self.choice_request(plan);
        let has_prompt = request.prompt.is_some();
        !has_prompt || self.shared.knowledge.lock().unwrap().is_admitted_by_policy(&request)
    }

    /// Chooses a replica and counts the request there; the other gateways should have the news.
    fn choose(&self, plan: &RequestPlan) -> Option<(InFlight<'e>, Option<LoadNews>)> {
        let request = self.choice_request(plan);
        let now = self.shared.clock.now();
        let mut knowledge = self.shared.knowledge.lock().unwrap();
        let choice = knowledge.choose(&request, now)?;
        knowledge.balancer().sent(&choice, &request, now);
        let news = knowledge.balancer().news(&choice, &request, false);
        let has_first_token = AtomicBool::new(false);
        Some((InFlight { shared: self.shared, choice, has_first_token }, news))
    }

    /// Asks the plan and the budget what follows: another attempt, or the kind of the answer.
    fn next(
        &self,
        plan: &mut RequestPlan,
        end: AttemptEnd,
        progress: &Progress,
    ) -> Option<ErrorKind> {
        let may_repeat = || {
            let now = self.shared.clock.now();
            self.shared.knowledge.lock().unwrap().may_repeat(&self.admission.service, now)
        };
        // A stream whose events have no identifiers can't be taken up in the middle.
        if progress.has_begun && progress.last_event.is_none() {
            return Some(ErrorKind::AnswerIncomplete);
        }
        match plan.end(end) {
            NextStep::Retry { is_repeat: false, .. } => None,
            NextStep::Retry { otherwise, .. } => (!may_repeat()).then_some(otherwise),
            NextStep::RetryOrPassOn => (!may_repeat()).then_some(ErrorKind::BackendFailed),
            NextStep::PassOn => Some(ErrorKind::BackendFailed),
            NextStep::Answer(kind) => Some(kind),
        }
    }

    /// Sends the request to a replica and waits for the begin of its answer.
    async fn attempt(
        &self,
        plan: &RequestPlan,
        in_flight: &InFlight<'_>,
        progress: &Progress,
    ) -> Attempt {
        let choice = &in_flight.choice;
        let Ok(address) = choice.instance.address.parse() else {
            return Attempt::Ended(AttemptEnd::Unreachable);
        };
        let limit = CONNECT_LIMIT.min(self.left());
        let Ok(wire) = connect(address, limit).await else {
            return Attempt::Ended(AttemptEnd::Unreachable);
        };
        let bytes = self.upstream_bytes(choice, progress);
        let sent_at = self.shared.clock.now();
        let mut first = pin!(self.first_answer(wire, &bytes));
        let silence = self.silence_limit(choice);
        let mut answer = until(silence.min(self.left()), first.as_mut()).await;
        if answer.is_none() && !self.left().is_zero() {
            if self.note_silence(choice, sent_at) && self.may_switch(plan) {
                return Attempt::Ended(AttemptEnd::Silent);
            }
            answer = until(self.left(), first.as_mut()).await;
        }
        match answer {
            None => Attempt::Ended(AttemptEnd::TimedOut),
            Some(First::Broken(reason)) => {
                log::debug!("gateway: event=broken request={} reason={reason}", self.tags.id);
                Attempt::Ended(AttemptEnd::Broken)
            }
            Some(First::Whole(head, body)) => {
                self.note_version(choice, &head);
                self.judge(choice, head, body)
            }
            Some(First::Stream(begin)) => {
                self.note_version(choice, &begin.head);
                self.note_first_token(in_flight, plan, sent_at).await;
                Attempt::Stream(begin)
            }
        }
    }

    /// Whether a request whose replica is silent is better sent to another one: nothing forbids
    /// it, and there is another.
    fn may_switch(&self, plan: &RequestPlan) -> bool {
        if !plan.may_be_sent_again() {
            return false;
        }
        let now = self.shared.clock.now();
        let mut knowledge = self.shared.knowledge.lock().unwrap();
        knowledge.choose(&self.choice_request(plan), now).is_some()
    }

    fn upstream_bytes(&self, choice: &Choice, progress: &Progress) -> Vec<u8> {
        let has_prompt = self.tags.prompt.is_some();
        let version = choice.version.filter(|_| has_prompt);
        let upstream = Upstream {
            instance: choice.instance.id.clone(),
            time_left: self.left(),
            tenant: self.admission.tenant.as_ref().map(|tenant| tenant.name.clone()),
            cache_salt: has_prompt.then(|| self.cache_salt(version)),
            expected_version: version,
            // Without a known version nothing may be shared with other replicas.
            fetch_from: choice.source.clone().filter(|_| version.is_some()),
            last_event: progress.last_event.clone(),
            priority: self.tags.prompt.as_ref().map(|_| self.rank()),
        };
        let dialect = &self.shared.dialect;
        let mut fields = end_to_end(&self.head.headers);
        fields.retain(|(name, _)| !dialect.is_own_field(name));
        let own = dialect.upstream_fields(&upstream).into_iter();
        fields.extend(own.map(|(name, value)| (name, value.into_bytes())));
        request_bytes(&self.head.method, &self.head.target, &Headers(fields), self.body)
    }

    /// The tenant's rank goes before the route's.
    fn rank(&self) -> u32 {
        let tenant = self.admission.tenant.as_ref().map_or(0, |tenant| tenant.priority);
        (tenant.min(2) * 3 + self.admission.route.priority.min(2)).min(9)
    }

    /// Writes the request and reads what the replica sends first; it may answer before it has
    /// read the whole body.
    async fn first_answer(&self, wire: Wire, bytes: &[u8]) -> First {
        let mut writer = wire.writer();
        let write = async {
            let _ = writer.write_all(bytes).await;
            futures_lite::future::pending::<First>().await
        };
        futures_lite::future::or(self.read_first(wire), write).await
    }

    async fn read_first(&self, mut wire: Wire) -> First {
        for _ in 0..=MAX_LATE_ANSWERS {
            let Ok(head) = read_answer_head(&mut wire).await else {
                return First::Broken("no answer");
            };
            let Ok(framing) = response_framing(&head, &self.head.method) else {
                return First::Broken("ambiguous length");
            };
            let tags = self.shared.dialect.answer(&head);
            let mut reader = BodyReader::new(framing);
            if tags.request_id.as_ref().is_some_and(|id| *id != self.tags.id) {
                // A late answer to somebody else's request.
                if framing == Framing::UntilClose
                    || reader.read_all(&mut wire, MAX_ANSWER).await.is_err()
                {
                    return First::Broken("late answer");
                }
                continue;
            }
            let is_success = (200..300).contains(&head.status);
            if is_success && (!tags.is_sealed || tags.is_encoded) {
                return First::Broken("not the replica's answer");
            }
            if is_success && self.admission.route.kind == RouteKind::Streaming {
                return self.read_first_event(wire, head, reader, framing).await;
            }
            return match reader.read_all(&mut wire, MAX_ANSWER).await {
                Ok(body) => First::Whole(head, body),
                Err(_) => First::Broken("the body broke off"),
            };
        }
        First::Broken("too many late answers")
    }

    async fn read_first_event(
        &self,
        mut wire: Wire,
        head: ResponseHead,
        mut reader: BodyReader,
        framing: Framing,
    ) -> First {
        let mut splitter = EventSplitter::default();
        let is_until_close = framing == Framing::UntilClose;
        loop {
            if let Some(event) = splitter.next() {
                let first = Some(event);
                let begin = StreamBegin { head, wire, reader, splitter, first, is_until_close };
                return First::Stream(Box::new(begin));
            }
            match reader.next(&mut wire).await {
                Ok(Some(bytes)) => splitter.push(&bytes),
                Ok(None) if is_until_close => return First::Broken("an empty stream"),
                Ok(None) => return First::Whole(head, splitter.rest()),
                Err(_) => return First::Broken("the stream broke off"),
            }
        }
    }

    /// What a whole answer means.
    fn judge(&self, choice: &Choice, head: ResponseHead, body: Vec<u8>) -> Attempt {
        let tags = self.shared.dialect.answer(&head);
        if tags.is_unexpected {
            let is_other = tags.instance.is_none_or(|id| id != choice.instance.id);
            let end = if is_other { AttemptEnd::WrongInstance } else { AttemptEnd::NotRun };
            return Attempt::Ended(end);
        }
        if tags.is_not_run {
            return Attempt::Ended(AttemptEnd::NotRun);
        }
        match head.status {
            200..300 => Attempt::Success(head, body),
            // Statuses that promise "not run", without the replica's word for it.
            408 | 421 | 429 | 503 => Attempt::Ended(AttemptEnd::Broken),
            _ if !tags.is_sealed => Attempt::Ended(AttemptEnd::Broken),
            500.. => Attempt::Failure(head, body),
            _ => Attempt::Success(head, body),
        }
    }

    /// Passes events on as they come.
    async fn relay(&mut self, begin: StreamBegin, progress: &mut Progress) -> StreamEnd {
        let StreamBegin { head, mut wire, mut reader, mut splitter, first, is_until_close } = begin;
        let delivery = self.delivery();
        let mut out = Vec::new();
        if !progress.has_begun {
            out = forwarded_head(&head, delivery, self.keeps_alive);
        }
        if let Some(event) = first {
            self.push_event(&mut out, event, progress, delivery);
        }
        loop {
            while let Some(event) = splitter.next() {
                self.push_event(&mut out, event, progress, delivery);
            }
            if !out.is_empty() {
                progress.has_begun = true;
                match until(self.left(), self.client.write_all(&out)).await {
                    Some(Ok(())) => out.clear(),
                    Some(Err(_)) => return StreamEnd::ClientBroke,
                    None => return StreamEnd::TimeOver,
                }
            }
            let limit = self.left().min(STREAM_SILENCE);
            match until(limit, reader.next(&mut wire)).await {
                Some(Ok(Some(bytes))) => splitter.push(&bytes),
                Some(Ok(None)) if is_until_close && splitter.pending() > 0 => {
                    return StreamEnd::ReplicaBroke;
                }
                Some(Ok(None)) => break,
                Some(Err(_)) => return StreamEnd::ReplicaBroke,
                None if self.left().is_zero() => return StreamEnd::TimeOver,
                None if self.admission.route.is_resumable => return StreamEnd::ReplicaBroke,
                None => {}
            }
        }
        let rest = splitter.rest();
        push_body(&mut out, &rest, delivery);
        if delivery == Delivery::Chunked {
            out.extend_from_slice(LAST_CHUNK);
        }
        match until(self.left(), self.client.write_all(&out)).await {
            Some(Ok(())) => StreamEnd::Complete,
            _ => StreamEnd::ClientBroke,
        }
    }

    /// Adds an event that the client does not have yet.
    fn push_event(
        &self,
        out: &mut Vec<u8>,
        event: Vec<u8>,
        progress: &mut Progress,
        delivery: Delivery,
    ) {
        let id = self.shared.dialect.event_id(&event);
        if is_at_or_before(id.as_deref(), progress.last_event.as_deref()) {
            return;
        }
        if id.is_some() {
            progress.last_event = id;
        }
        push_body(out, &event, delivery);
    }

    fn delivery(&self) -> Delivery {
        if self.head.minor_version == 0 { Delivery::UntilClose } else { Delivery::Chunked }
    }

    async fn pass_on(&mut self, head: ResponseHead, body: &[u8], plan: &RequestPlan) -> Ending {
        self.log_end(plan, head.status, "replica");
        let delivery = Delivery::Whole(body.len());
        let mut bytes = forwarded_head(&head, delivery, self.keeps_alive);
        bytes.extend_from_slice(body);
        match self.client.write_all(&bytes).await {
            Ok(()) => Ending::Whole,
            Err(_) => Ending::Cut,
        }
    }

    async fn give_up(
        &mut self,
        plan: &RequestPlan,
        progress: &Progress,
        kind: ErrorKind,
    ) -> Ending {
        self.log_end(plan, kind.status(), kind.name());
        if progress.has_begun {
            return Ending::Cut;
        }
        let answer = self.shared.dialect.refusal(kind, self.shared.retry_after(kind));
        let bytes = own_answer(&answer, self.head, self.keeps_alive);
        match self.client.write_all(&bytes).await {
            Ok(()) => Ending::Whole,
            Err(_) => Ending::Cut,
        }
    }

    fn note_version(&self, choice: &Choice, head: &ResponseHead) {
        let version = self.shared.dialect.answer(head).version;
        if let (Some(model), Some(version)) = (&self.tags.model, version) {
            let mut knowledge = self.shared.knowledge.lock().unwrap();
            knowledge.balancer().saw_version(&choice.instance.id, model, version);
        }
    }

    fn note_success(&self, choice: &Choice) {
        self.shared
            .knowledge
            .lock()
            .unwrap()
            .balancer()
            .succeeded(&choice.instance.id, self.shared.clock.now());
    }

    /// How long a sound replica may be silent after it was sent the request: the longer, the more
    /// of a prompt it has to read.
    fn silence_limit(&self, choice: &Choice) -> Duration {
        let target = self.admission.route.target_latency;
        let share = match self.tags.prompt {
            // A queue of other prompts may be before it, and reading one twice costs much.
            Some(_) => target.max(PROMPT_SILENCE),
            None => target.mul_f64(SILENCE_SHARE),
        };
        share + Duration::from_secs_f64(SILENCE_ESTIMATES * choice.estimate_ms.max(0.0) / 1_000.0)
    }

    /// Judges a replica that has been silent for so long: it has failed, unless others had answers
    /// from it meanwhile. Returns whether it has failed.
    fn note_silence(&self, choice: &Choice, sent_at: Time) -> bool {
        let now = self.shared.clock.now();
        let mut knowledge = self.shared.knowledge.lock().unwrap();
        let balancer = knowledge.balancer();
        let has_failed = !balancer.was_heard_since(&choice.instance.id, sent_at);
        if has_failed {
            balancer.failed(&choice.instance.id, now);
        }
        has_failed
    }

    fn note_failure(&self, choice: &Choice, end: AttemptEnd) {
        let now = self.shared.clock.now();
        let mut knowledge = self.shared.knowledge.lock().unwrap();
        let balancer = knowledge.balancer();
        match end {
            AttemptEnd::WrongInstance => balancer.is_replaced(&choice.instance.id, now),
            // A full replica is sound, and silence was noted when it was seen.
            AttemptEnd::NotRun | AttemptEnd::Silent | AttemptEnd::TimedOut => {}
            AttemptEnd::Unreachable | AttemptEnd::Broken | AttemptEnd::Failed => {
                balancer.failed(&choice.instance.id, now);
            }
        }
    }

    async fn note_first_token(&self, in_flight: &InFlight<'_>, plan: &RequestPlan, sent_at: Time) {
        let choice = &in_flight.choice;
        in_flight.has_first_token.store(true, Ordering::SeqCst);
        let now = self.shared.clock.now();
        self.shared.metrics.first_event(now.since(self.received));
        let request = self.choice_request(plan);
        let news = {
            let mut knowledge = self.shared.knowledge.lock().unwrap();
            knowledge.first_token(choice, &request, now.since(sent_at), now);
            knowledge.balancer().news(choice, &request, true)
        };
        if let Some(news) = news {
            self.shared.peers.tell(news).await;
        }
    }

    fn log_attempt(&self, choice: &Choice, end: &str) {
        self.shared.metrics.attempt(end);
        self.shared.journal.line(|| {
            format!(
                "gateway: event=attempt request={} instance={} address={} home_rank={} \
                 version={} prefill={} estimate_ms={:.0} end={end} after_ms={}",
                self.tags.id,
                choice.instance.id,
                choice.instance.address,
                choice.home_rank,
                choice.version.unwrap_or(0),
                choice.expected_prefill,
                choice.estimate_ms,
                self.shared.clock.now().since(self.received).as_millis()
            )
        });
    }

    fn log_end(&self, plan: &RequestPlan, status: u16, reason: &str) {
        self.shared.metrics.answer(reason, self.shared.clock.now().since(self.received));
        let run = match plan.run_state() {
            RunState::NotRun => "not_run",
            _ => "may_have_run",
        };
        self.shared.journal.line(|| {
            format!(
                "gateway: event=answer request={} route={} service={} version={} status={status} \
                 reason={reason} run={run} attempts={} after_ms={}",
                self.tags.id,
                self.admission.route.name,
                self.admission.service,
                self.admission.version,
                plan.tried().len(),
                self.shared.clock.now().since(self.received).as_millis()
            )
        });
    }
}

fn push_body(out: &mut Vec<u8>, bytes: &[u8], delivery: Delivery) {
    if bytes.is_empty() {
        return;
    }
    match delivery {
        Delivery::Chunked => out.extend_from_slice(&chunk(bytes)),
        _ => out.extend_from_slice(bytes),
    }
}

/// Kind of the answer to a request whose time is over.
fn time_over(plan: &RequestPlan) -> ErrorKind {
    match plan.run_state() {
        RunState::NotRun => ErrorKind::Overloaded,
        _ => ErrorKind::OutcomeTimedOut,
    }
}

/// Whether an event is one that the client has. Identifiers that are numbers rise.
fn is_at_or_before(id: Option<&str>, last: Option<&str>) -> bool {
    let number = |text: Option<&str>| text.and_then(|text| text.trim().parse::<u64>().ok());
    match (number(id), number(last)) {
        (Some(id), Some(last)) => id <= last,
        _ => false,
    }
}

/// Runs a future for a limited time.
async fn until<T>(limit: Duration, future: impl Future<Output = T>) -> Option<T> {
    super::http_service::within(limit, future).await
}
