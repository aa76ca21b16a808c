//! One attempt at a replica: the request out, and the begin of an answer in.

use super::super::answer::end_to_end;
use super::super::dialect::UpstreamMetadata;
use super::super::pool::ConnectionEnd;
use super::super::stream::EventSplitter;
use super::limit::Grant;
use super::{
    Attempt, Carrier, Exchange, First, InFlight, Progress, StreamBegin, WholeAnswer, until,
};
use crate::http1::{
    BodyReader, Framing, Headers, ResponseHead, Wire, connect, read_answer_head, request_bytes,
    response_framing,
};
use futures_lite::AsyncWriteExt;
use std::pin::pin;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;
use topazmount_gateway::{AttemptEnd, Choice, RequestPlan, RouteKind};
use topazmount_types::Time;

/// Longest time for a connection to a replica to come up.
const CONNECT_LIMIT: Duration = Duration::from_millis(300);
/// How often a request that waits at a replica looks whether that may still begin on it.
const BARRED_CHECK: Duration = Duration::from_millis(150);
/// Largest body of an answer that is not a stream.
const MAX_ANSWER: usize = 16 * 1024 * 1024;
/// Late answers to earlier requests that are passed over on one connection.
const MAX_LATE_ANSWERS: usize = 2;

/// How a request on one connection ended.
enum Asked {
    /// As an attempt ends.
    Ended(Attempt),
    /// The connection broke before any byte came.
    Mute,
    /// Nothing was sent: the replica wants none any more.
    HeldBack,
}

impl Exchange<'_> {
    /// Sends the request to a replica, on a kept connection where that is safe, and waits for the
    /// begin of its answer.
    pub(super) async fn attempt(
        &self,
        plan: &RequestPlan,
        in_flight: &InFlight<'_>,
        progress: &Progress,
    ) -> Attempt {
        let choice = &in_flight.choice;
        let kept = self.kept_connection(choice, plan).await;
        let Some((wire, idle)) = kept else {
            let unreachable = AttemptEnd::Unreachable;
            return self.ask_on_new(plan, in_flight, progress, unreachable).await;
        };
        match self.ask(wire, plan, in_flight, progress).await {
            Asked::Ended(attempt) => attempt,
            Asked::HeldBack => Attempt::Ended(AttemptEnd::NotSent),
            Asked::Mute => self.after_kept_broke(idle, plan, in_flight, progress).await,
        }
    }

    /// A kept connection broke before any byte came. The replica may have forgotten it, or ended
    /// after it took the request: only what may be repeated is sent again.
    async fn after_kept_broke(
        &self,
        idle: Duration,
        plan: &RequestPlan,
        in_flight: &InFlight<'_>,
        progress: &Progress,
    ) -> Attempt {
        let choice = &in_flight.choice;
        self.note_forgotten(choice, idle);
        if !plan.is_retryable() || !self.may_repeat() {
            return Attempt::Ended(AttemptEnd::Broken);
        }
        // Also where no connection comes up: the first one may have carried the request.
        self.ask_on_new(plan, in_flight, progress, AttemptEnd::Broken).await
    }

    /// Sends the request on a new connection; `unreachable` is the end where none comes up, or the replica wants none any
    /// more, after an earlier connection may have carried it.
    async fn ask_on_new(
        &self,
        plan: &RequestPlan,
        in_flight: &InFlight<'_>,
        progress: &Progress,
        unreachable: AttemptEnd,
    ) -> Attempt {
        let Some(wire) = self.connect(&in_flight.choice).await else {
            return Attempt::Ended(unreachable);
        };
        match self.ask(wire, plan, in_flight, progress).await {
            Asked::Ended(attempt) => attempt,
            Asked::HeldBack if unreachable == AttemptEnd::Unreachable => {
                Attempt::Ended(AttemptEnd::NotSent)
            }
            Asked::HeldBack => Attempt::Ended(unreachable),
            Asked::Mute => Attempt::Ended(AttemptEnd::Broken),
        }
    }

    async fn connect(&self, choice: &Choice) -> Option<Wire> {
        let address = choice.instance.address.parse().ok()?;
        connect(address, CONNECT_LIMIT.min(self.left())).await.ok()
    }

    /// Sends the request on a connection and waits for the begin of its answer.
    async fn ask(
        &self,
        wire: Wire,
        plan: &RequestPlan,
        in_flight: &InFlight<'_>,
        progress: &Progress,
    ) -> Asked {
        let choice = &in_flight.choice;
        let bytes = self.upstream_bytes(choice, progress);
        let sent_at = self.shared.clock.now();
        // Looked at last: answers to other requests came while this one waited for a coordinator or a connection.
        if !self.may_send(in_flight, sent_at).await {
            return Asked::HeldBack;
        }
        let mut first = pin!(self.first_answer(wire, &bytes, choice, sent_at));
        let silent_at = sent_at + self.silence_limit(choice);
        let mut is_judged = false;
        let mut answer = until(self.next_look(silent_at, is_judged), first.as_mut()).await;
        while answer.is_none() && !self.left().is_zero() {
            let is_silent = !is_judged && self.shared.clock.now() >= silent_at;
            let has_failed = is_silent && self.note_silence(choice, sent_at);
            is_judged |= is_silent;
            if let Some(end) = self.give_way(plan, choice, has_failed) {
                return Asked::Ended(Attempt::Ended(end));
            }
            answer = until(self.next_look(silent_at, is_judged), first.as_mut()).await;
        }
        Asked::Ended(match answer {
            None => Attempt::Ended(AttemptEnd::TimedOut),
            Some(First::Mute) => return Asked::Mute,
            Some(First::Broken(reason)) => {
                log::debug!("gateway: event=broken request={} reason={reason}", self.tags.id);
                Attempt::Ended(AttemptEnd::Broken)
            }
            Some(First::Whole(whole)) => {
                let WholeAnswer { head, body, carrier } = *whole;
                self.rest(choice, carrier);
                self.note_version(choice, &head);
                self.judge(choice, head, body)
            }
            Some(First::Stream(begin)) => {
                self.note_version(choice, &begin.head);
                self.note_first_token(in_flight, plan, sent_at);
                Attempt::Stream(begin)
            }
        })
    }

    /// Whether a request may go out now. A grant covers one send: a limit may have been named since the choice, and a kept
    /// connection that broke may have carried the request.
    async fn may_send(&self, in_flight: &InFlight<'_>, now: Time) -> bool {
        let choice = &in_flight.choice;
        let (may_send, is_limited) = {
            let mut knowledge = self.shared.knowledge.lock().unwrap();
            let balancer = knowledge.balancer();
            (balancer.may_send(choice, now), balancer.limit_of(choice).is_some())
        };
        if !may_send || !is_limited {
            return may_send;
        }
        if in_flight.grant.as_ref().is_some_and(Grant::take) {
            return true;
        }
        let Some(grant) = self.ask_send_grant(choice).await else { return false };
        let now = self.shared.clock.now();
        let may_send = self.shared.knowledge.lock().unwrap().balancer().may_send(choice, now);
        may_send && grant.take()
    }

    /// Time until a replica that has not answered is looked at again. Only one that was sent a prompt
    /// may have weights that become too old.
    fn next_look(&self, silent_at: Time, is_judged: bool) -> Duration {
        let until_silent = match is_judged {
            true => Duration::MAX,
            false => silent_at.since(self.shared.clock.now()),
        };
        let until_check = match self.tags.prompt.is_some() {
            true => BARRED_CHECK,
            false => Duration::MAX,
        };
        until_silent.min(until_check).min(self.left())
    }

    /// How the attempt ends if a replica that has not answered is let go; `None` where it is held on to. It may be at
    /// work, so that nothing is won by letting it go while the budget allows no other attempt.
    fn give_way(
        &self,
        plan: &RequestPlan,
        choice: &Choice,
        has_failed: bool,
    ) -> Option<AttemptEnd> {
        // A replica that has not begun when its weights become too old must not begin any more.
        let is_barred = self.is_barred(choice);
        if !(has_failed || is_barred) || !self.may_switch(plan) {
            return None;
        }
        match self.may_repeat() {
            true => Some(AttemptEnd::Unresponsive),
            false => is_barred.then_some(AttemptEnd::Abandoned),
        }
    }

    fn is_barred(&self, choice: &Choice) -> bool {
        self.shared.knowledge.lock().unwrap().balancer().is_excluded(choice)
    }

    /// Whether a request whose replica is silent is better sent to another one: nothing forbids
    /// it, and there is another.
    pub(super) fn may_switch(&self, plan: &RequestPlan) -> bool {
        if !plan.may_resend() {
            return false;
        }
        let now = self.shared.clock.now();
        let mut knowledge = self.shared.knowledge.lock().unwrap();
        knowledge.balancer().has_available_replica(&self.choice_request(plan), now)
    }

    fn upstream_bytes(&self, choice: &Choice, progress: &Progress) -> Vec<u8> {
        let has_prompt = self.tags.prompt.is_some();
        let version = choice.version.filter(|_| has_prompt);
        let upstream = UpstreamMetadata {
            instance: choice.instance.id.clone(),
            remaining_time: self.left(),
            tenant: self.admission.tenant.as_ref().map(|tenant| tenant.name.clone()),
            cache_salt: has_prompt.then(|| self.cache_salt(version)),
            expected_version: choice.required_version.filter(|_| has_prompt),
            // Without a known version nothing may be shared with other replicas.
            fetch_from: choice.source.clone().filter(|_| version.is_some()),
            save_to: choice.save_to.clone().filter(|_| version.is_some()),
            last_event_id: progress.last_event.clone(),
            priority: self.tags.prompt.as_ref().map(|_| self.rank()),
        };
        let dialect = &self.shared.dialect;
        let mut fields = end_to_end(&self.head.headers);
        fields.retain(|(name, _)| !dialect.is_gateway_header(name));
        let own = dialect.upstream_headers(&upstream).into_iter();
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
    async fn first_answer(
        &self,
        wire: Wire,
        bytes: &[u8],
        choice: &Choice,
        sent_at: Time,
    ) -> First {
        let mut writer = wire.writer();
        let is_sent = AtomicBool::new(false);
        let write = async {
            let written = writer.write_all(bytes).await;
            is_sent.store(written.is_ok(), Ordering::SeqCst);
            futures_lite::future::pending::<First>().await
        };
        futures_lite::future::or(self.read_first(wire, &is_sent, choice, sent_at), write).await
    }

    async fn read_first(
        &self,
        mut wire: Wire,
        is_sent: &AtomicBool,
        choice: &Choice,
        sent_at: Time,
    ) -> First {
        for earlier in 0..=MAX_LATE_ANSWERS {
            let head = match read_answer_head(&mut wire).await {
                Ok(head) => head,
                Err(_) if earlier == 0 && wire.buffered().is_empty() => return First::Mute,
                Err(_) => return First::Broken("no answer"),
            };
            let Ok(framing) = response_framing(&head, &self.head.method) else {
                return First::Broken("ambiguous length");
            };
            let tags = self.shared.dialect.response_metadata(&head);
            self.note_pushback(choice, &tags, head.status, sent_at);
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
            let is_request_sent = is_sent.load(Ordering::SeqCst);
            let end = ConnectionEnd::of(&head, framing);
            if is_success && self.admission.route.kind == RouteKind::Streaming {
                let carrier = Carrier { wire, end, is_request_sent };
                return self.read_first_event(carrier, head, reader, framing).await;
            }
            return match reader.read_all(&mut wire, MAX_ANSWER).await {
                Ok(body) => {
                    let carrier = Carrier { wire, end, is_request_sent };
                    First::Whole(Box::new(WholeAnswer { head, body, carrier }))
                }
                Err(_) => First::Broken("the body broke off"),
            };
        }
        First::Broken("too many late answers")
    }

    async fn read_first_event(
        &self,
        mut carrier: Carrier,
        head: ResponseHead,
        mut reader: BodyReader,
        framing: Framing,
    ) -> First {
        let mut splitter = EventSplitter::default();
        let is_until_close = framing == Framing::UntilClose;
        loop {
            if let Some(event) = splitter.next() {
                let first = Some(event);
                let begin = StreamBegin { head, carrier, reader, splitter, first, is_until_close };
                return First::Stream(Box::new(begin));
            }
            match reader.next(&mut carrier.wire).await {
                Ok(Some(bytes)) => splitter.push(&bytes),
                Ok(None) if is_until_close => return First::Broken("an empty stream"),
                Ok(None) => {
                    let body = splitter.rest();
                    return First::Whole(Box::new(WholeAnswer { head, body, carrier }));
                }
                Err(_) => return First::Broken("the stream broke off"),
            }
        }
    }

    /// What a whole answer means.
    fn judge(&self, choice: &Choice, head: ResponseHead, body: Vec<u8>) -> Attempt {
        let tags = self.shared.dialect.response_metadata(&head);
        if tags.is_misdirected {
            let is_other = tags.instance.is_none_or(|id| id != choice.instance.id);
            let named_weights = choice.required_version.is_some() && self.tags.prompt.is_some();
            return Attempt::Ended(match (is_other, named_weights) {
                (true, _) => AttemptEnd::WrongInstance,
                (false, true) => self.judge_refused_version(choice, tags.weights_version),
                (false, false) => AttemptEnd::NotRun,
            });
        }
        if tags.is_not_run {
            let asked_for_rest = tags.pushback.rest.is_some();
            let end = if asked_for_rest { AttemptEnd::PushedBack } else { AttemptEnd::NotRun };
            return Attempt::Ended(end);
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
}
