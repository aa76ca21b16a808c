//! One attempt at a replica: sends the request and reads the start of the response.

use super::super::dialect::UpstreamMetadata;
use super::super::link_monitor::Path;
use super::super::pool::KeepAliveHint;
use super::super::response::end_to_end_headers;
use super::super::stream::EventSplitter;
use super::super::tunnel::{Tunnel, TunnelError};
use super::limit::Grant;
use super::{
    AttemptResult, ClientProgress, CompleteResponse, Exchange, FirstResponse, InFlight,
    ReplicaConnection, StreamStart, with_timeout,
};
use crate::http1::{
    BodyError, BodyReader, Framing, HeadError, Headers, ResponseHead, Wire, connect,
    read_answer_head, request_bytes, response_framing,
};
use futures_lite::AsyncWriteExt;
use std::pin::pin;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;
use topazmount_gateway::{AttemptEnd, Choice, RequestPlan, RouteKind};
use topazmount_types::Time;

/// Time limit for connecting to a replica.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// How often a request that waits for a response checks whether its replica has been excluded.
const EXCLUSION_CHECK_INTERVAL: Duration = Duration::from_millis(150);
/// Time for which a prompt that can't be sent elsewhere is left at an excluded replica, where it may
/// still begin. Replicas are excluded 1.5 s before the deadline of their weights, which leaves the
/// rest for a late status and for the replica to notice the withdrawal.
const EXCLUDED_GRACE: Duration = Duration::from_millis(500);
/// Late responses to earlier requests that are skipped on one connection.
const MAX_LATE_RESPONSES: usize = 2;

/// Result of a request on one connection.
enum SendResult {
    /// The attempt has a result.
    Ended(AttemptResult),
    /// The connection ended before any byte arrived.
    NoData,
    /// Nothing was sent: the replica no longer accepts requests.
    NotSent,
}

impl Exchange<'_> {
    /// Sends the request to a replica, on a pooled connection where that is safe, and waits for the
    /// start of the response.
    pub(super) async fn attempt(
        &self,
        plan: &RequestPlan,
        in_flight: &InFlight<'_>,
        progress: &ClientProgress,
    ) -> AttemptResult {
        let choice = &in_flight.choice;
        let pooled = self.pooled_connection(choice, plan).await;
        let Some((wire, idle)) = pooled else {
            let unreachable = AttemptEnd::Unreachable;
            return self.send_on_new_connection(plan, in_flight, progress, unreachable).await;
        };
        match self.send(wire, Path::Pooled, plan, in_flight, progress).await {
            SendResult::Ended(attempt) => attempt,
            SendResult::NotSent => AttemptResult::Ended(AttemptEnd::NotSent),
            SendResult::NoData => {
                self.retry_after_stale_connection(idle, plan, in_flight, progress).await
            }
        }
    }

    /// Sends the request again after its pooled connection ended before any byte arrived: the replica
    /// may have closed it while idle, or may have ended while serving the request.
    async fn retry_after_stale_connection(
        &self,
        idle: Duration,
        plan: &RequestPlan,
        in_flight: &InFlight<'_>,
        progress: &ClientProgress,
    ) -> AttemptResult {
        let choice = &in_flight.choice;
        self.record_stale_connection(choice, idle);
        if !self.take_retry() {
            return AttemptResult::Ended(AttemptEnd::Broken);
        }
        // Also if connecting fails: the first connection may have delivered the request.
        self.send_on_new_connection(plan, in_flight, progress, AttemptEnd::Broken).await
    }

    /// Sends the request on a new connection. `unreachable` is the result if connecting fails, and, if
    /// an earlier connection may have delivered the request, also if the replica no longer accepts
    /// requests.
    async fn send_on_new_connection(
        &self,
        plan: &RequestPlan,
        in_flight: &InFlight<'_>,
        progress: &ClientProgress,
        unreachable: AttemptEnd,
    ) -> AttemptResult {
        let Some((wire, path)) = self.connect(in_flight).await else {
            return AttemptResult::Ended(unreachable);
        };
        match self.send(wire, path, plan, in_flight, progress).await {
            SendResult::Ended(attempt) => attempt,
            SendResult::NotSent if unreachable == AttemptEnd::Unreachable => {
                AttemptResult::Ended(AttemptEnd::NotSent)
            }
            SendResult::NotSent => AttemptResult::Ended(unreachable),
            SendResult::NoData => AttemptResult::Ended(AttemptEnd::Broken),
        }
    }

    /// Connects to the chosen replica, through another gateway if this one may be cut off.
    async fn connect(&self, in_flight: &InFlight<'_>) -> Option<(Wire, Path)> {
        let instance = &in_flight.choice.instance;
        if !self.shared.uses_tunnels() {
            let address = instance.address.parse().ok()?;
            let began = self.shared.clock.now();
            let limit = CONNECT_TIMEOUT.min(self.remaining_time());
            if let Ok(wire) = connect(address, self.shared.local_ip, limit).await {
                return Some((wire, Path::Direct(began)));
            }
            if !self.shared.is_link_failure(began) {
                return None;
            }
        }
        match self.shared.open_tunnel(instance, self.remaining_time()).await {
            Ok(Tunnel { wire, carrier }) => {
                self.log_tunnel(&in_flight.choice, carrier);
                Some((wire, Path::Tunnel))
            }
            Err(TunnelError::ReplicaRefused | TunnelError::ReplicaUnreachable) => None,
            Err(TunnelError::NoCarrier) => {
                in_flight.is_path_suspect.store(true, Ordering::SeqCst);
                None
            }
            Err(TunnelError::OnlyGateway) => None,
        }
    }

    /// Sends the request on a connection and waits for the start of the response.
    async fn send(
        &self,
        wire: Wire,
        path: Path,
        plan: &RequestPlan,
        in_flight: &InFlight<'_>,
        progress: &ClientProgress,
    ) -> SendResult {
        in_flight.set_path(path);
        let choice = &in_flight.choice;
        let bytes = self.upstream_bytes(choice, progress);
        let sent_at = self.shared.clock.now();
        // Checked last: the replica may have sent pushback while this request waited for a coordinator
        // or a connection.
        if !self.may_send(in_flight, sent_at).await {
            return SendResult::NotSent;
        }
        let mut first = pin!(self.first_response(wire, path, &bytes, choice, sent_at, progress));
        let silent_at = sent_at + self.silence_limit(choice);
        let mut is_silence_recorded = false;
        let mut excluded_since = None;
        let mut response =
            with_timeout(self.next_check_delay(silent_at, is_silence_recorded), first.as_mut())
                .await;
        while response.is_none() && !self.remaining_time().is_zero() {
            let now = self.shared.clock.now();
            let is_silent = !is_silence_recorded && now >= silent_at;
            let has_failed = is_silent && self.record_silence(choice, path, sent_at);
            is_silence_recorded |= is_silent;
            let excluded_for =
                self.is_excluded(choice).then(|| now.since(*excluded_since.get_or_insert(now)));
            if let Some(end) = self.abandon_reason(plan, has_failed, excluded_for) {
                return SendResult::Ended(AttemptResult::Ended(end));
            }
            response =
                with_timeout(self.next_check_delay(silent_at, is_silence_recorded), first.as_mut())
                    .await;
        }
        SendResult::Ended(match response {
            None => AttemptResult::Ended(AttemptEnd::TimedOut),
            Some(FirstResponse::NoData) => {
                in_flight.on_interrupted();
                return SendResult::NoData;
            }
            Some(FirstResponse::Interrupted(reason)) => {
                in_flight.on_interrupted();
                self.broken(reason)
            }
            Some(FirstResponse::Invalid(reason)) => self.invalid(choice, reason),
            Some(FirstResponse::NotContinued(head)) => {
                self.log_not_continued(choice, &head);
                AttemptResult::Ended(AttemptEnd::NotContinued)
            }
            Some(FirstResponse::Complete(response)) => {
                let CompleteResponse { head, body, connection } = *response;
                self.return_to_pool(choice, connection);
                self.record_version(choice, &head);
                self.classify_response(choice, head, body)
            }
            Some(FirstResponse::Stream(stream)) => {
                self.record_version(choice, &stream.head);
                self.record_first_token(in_flight, plan, sent_at);
                AttemptResult::Stream(stream)
            }
        })
    }

    fn broken(&self, reason: &str) -> AttemptResult {
        log::debug!("gateway: event=broken request={} reason={reason}", self.metadata.id);
        AttemptResult::Ended(AttemptEnd::Broken)
    }

    /// Ends an attempt whose bytes are no response to the request.
    fn invalid(&self, choice: &Choice, reason: &str) -> AttemptResult {
        self.shared.metrics.count_event("invalid_response");
        self.shared.event_log.info(|| {
            format!(
                "gateway: event=invalid_response request={} instance={} reason=\"{reason}\"",
                self.metadata.id, choice.instance.id
            )
        });
        AttemptResult::Ended(AttemptEnd::Broken)
    }

    /// Whether the request may be sent now. A grant covers one send: the replica may have set a limit
    /// since it was chosen, and a connection that broke may have delivered the request.
    async fn may_send(&self, in_flight: &InFlight<'_>, now: Time) -> bool {
        let choice = &in_flight.choice;
        let (may_send, is_limited) = {
            let mut gateway_state = self.shared.gateway_state.lock();
            let balancer = gateway_state.balancer();
            (balancer.may_send(choice, now), balancer.limit_of(choice).is_some())
        };
        if !may_send || !is_limited {
            return may_send;
        }
        if in_flight.grant.as_ref().is_some_and(Grant::take) {
            return true;
        }
        let Some(grant) = self.acquire_send_grant(choice).await else { return false };
        let now = self.shared.clock.now();
        let may_send = self.shared.gateway_state.lock().balancer().may_send(choice, now);
        may_send && grant.take()
    }

    /// Time until the next check of a replica that has not responded. Exclusion for old weights only
    /// matters for prompts.
    fn next_check_delay(&self, silent_at: Time, is_silence_recorded: bool) -> Duration {
        let until_silent = match is_silence_recorded {
            true => Duration::MAX,
            false => silent_at.since(self.shared.clock.now()),
        };
        let until_check = match self.metadata.prompt.is_some() {
            true => EXCLUSION_CHECK_INTERVAL,
            false => Duration::MAX,
        };
        until_silent.min(until_check).min(self.remaining_time())
    }

    /// How the attempt ends if a replica that has not responded is abandoned; `None` to keep waiting.
    /// A silent replica may be working, so it is only abandoned if the retry budget allows another
    /// attempt. One whose weights are too old by now must not start on a prompt, also if there is no
    /// other attempt.
    fn abandon_reason(
        &self,
        plan: &RequestPlan,
        has_failed: bool,
        excluded_for: Option<Duration>,
    ) -> Option<AttemptEnd> {
        let is_excluded = excluded_for.is_some();
        if (has_failed || is_excluded) && self.may_switch(plan) {
            return match self.take_retry() {
                true => Some(AttemptEnd::Unresponsive),
                false => is_excluded.then_some(AttemptEnd::Abandoned),
            };
        }
        let is_due = self.metadata.prompt.is_some() && excluded_for >= Some(EXCLUDED_GRACE);
        is_due.then_some(AttemptEnd::Abandoned)
    }

    fn is_excluded(&self, choice: &Choice) -> bool {
        self.shared.gateway_state.lock().balancer().is_excluded(choice)
    }

    /// Whether a request whose replica is silent may be sent to another one, and there is another.
    pub(super) fn may_switch(&self, plan: &RequestPlan) -> bool {
        if !plan.may_resend() {
            return false;
        }
        let now = self.shared.clock.now();
        let mut gateway_state = self.shared.gateway_state.lock();
        gateway_state.balancer().has_available_replica(&self.choice_request(plan), now)
    }

    fn upstream_bytes(&self, choice: &Choice, progress: &ClientProgress) -> Vec<u8> {
        let has_prompt = self.metadata.prompt.is_some();
        let version = choice.version.filter(|_| has_prompt);
        let upstream = UpstreamMetadata {
            instance: choice.instance.id.clone(),
            remaining_time: self.remaining_time(),
            tenant: self.admission.tenant.as_ref().map(|tenant| tenant.name.clone()),
            cache_salt: has_prompt.then(|| self.cache_salt(version)),
            expected_version: choice.required_version.filter(|_| has_prompt),
            // Without a known version, cached parts may not be shared with other replicas.
            fetch_from: choice.source.clone().filter(|_| version.is_some()),
            save_to: choice.save_to.clone().filter(|_| version.is_some()),
            last_event_id: progress.last_event_id.clone(),
            priority: self.metadata.prompt.as_ref().map(|_| self.priority()),
        };
        let dialect = &self.shared.dialect;
        let mut headers = end_to_end_headers(&self.head.headers);
        headers.retain(|(name, _)| !dialect.is_gateway_header(name));
        let added = dialect.upstream_headers(&upstream).into_iter();
        headers.extend(added.map(|(name, value)| (name, value.into_bytes())));
        request_bytes(&self.head.method, &self.head.target, &Headers(headers), self.body)
    }

    /// Priority of the request, 0 to 9: ordered by the tenant's priority, then by the route's.
    fn priority(&self) -> u32 {
        let tenant = self.admission.tenant.as_ref().map_or(0, |tenant| tenant.priority);
        (tenant.min(2) * 3 + self.admission.route.priority.min(2)).min(9)
    }

    /// Writes the request and reads the first response data at the same time, since the replica may
    /// respond before it has read the body.
    async fn first_response(
        &self,
        wire: Wire,
        path: Path,
        bytes: &[u8],
        choice: &Choice,
        sent_at: Time,
        progress: &ClientProgress,
    ) -> FirstResponse {
        let mut writer = wire.writer();
        let is_sent = AtomicBool::new(false);
        let write = async {
            let written = writer.write_all(bytes).await;
            is_sent.store(written.is_ok(), Ordering::SeqCst);
            futures_lite::future::pending::<FirstResponse>().await
        };
        let read = self.read_first(wire, path, &is_sent, choice, sent_at, progress);
        futures_lite::future::or(read, write).await
    }

    async fn read_first(
        &self,
        mut wire: Wire,
        path: Path,
        is_sent: &AtomicBool,
        choice: &Choice,
        sent_at: Time,
        progress: &ClientProgress,
    ) -> FirstResponse {
        for earlier in 0..=MAX_LATE_RESPONSES {
            let head = match read_answer_head(&mut wire).await {
                Ok(head) => head,
                Err(error) if error.is::<HeadError>() => {
                    return FirstResponse::Invalid("invalid head");
                }
                Err(_) if earlier == 0 && wire.buffered().is_empty() => {
                    return FirstResponse::NoData;
                }
                Err(_) => return FirstResponse::Interrupted("no answer"),
            };
            self.shared.on_replica_data(path);
            let Ok(framing) = response_framing(&head, &self.head.method) else {
                return FirstResponse::Invalid("ambiguous length");
            };
            let metadata = self.shared.dialect.response_metadata(&head);
            self.record_pushback(choice, &metadata, head.status.code(), sent_at);
            let mut reader = BodyReader::new(framing);
            if metadata.request_id.as_ref().is_some_and(|id| *id != self.metadata.id) {
                // A late response to an earlier request on this connection.
                if framing == Framing::UntilClose
                    || self.shared.body_memory.read(&mut reader, &mut wire).await.is_err()
                {
                    return FirstResponse::Invalid("late answer");
                }
                continue;
            }
            let is_success = head.status.is_success();
            if is_success && (!metadata.is_sealed || metadata.is_encoded) {
                return FirstResponse::Invalid("not the replica's answer");
            }
            let is_request_sent = is_sent.load(Ordering::SeqCst);
            let keep_alive = KeepAliveHint::from_head(&head, framing);
            let is_stream = self.admission.route.kind == RouteKind::Streaming;
            if is_success && is_stream && !progress.is_continued_by(&head) {
                return FirstResponse::NotContinued(head);
            }
            if is_success && is_stream {
                let connection = ReplicaConnection { wire, path, keep_alive, is_request_sent };
                return self.read_first_event(connection, head, reader, framing).await;
            }
            return match self.shared.body_memory.read(&mut reader, &mut wire).await {
                Ok(_)
                    if framing == Framing::UntilClose
                        && self.may_be_cut_off(choice, sent_at).await =>
                {
                    FirstResponse::Interrupted("the replica ended with its answer")
                }
                Ok(body) => {
                    let connection = ReplicaConnection { wire, path, keep_alive, is_request_sent };
                    FirstResponse::Complete(Box::new(CompleteResponse { head, body, connection }))
                }
                Err(error) => unreadable_body(error),
            };
        }
        FirstResponse::Invalid("too many late answers")
    }

    async fn read_first_event(
        &self,
        mut connection: ReplicaConnection,
        head: ResponseHead,
        mut reader: BodyReader,
        framing: Framing,
    ) -> FirstResponse {
        let mut splitter = EventSplitter::default();
        let ends_at_close = framing == Framing::UntilClose;
        loop {
            if let Some(event) = splitter.next() {
                let first_event = Some(event);
                let stream = StreamStart {
                    head,
                    connection,
                    reader,
                    splitter,
                    first_event,
                    ends_at_close,
                    is_continuation: self.client.has_started(),
                    has_new_events: false,
                };
                return FirstResponse::Stream(Box::new(stream));
            }
            if splitter.is_oversized() {
                return FirstResponse::Invalid("an event without end");
            }
            match reader.next(&mut connection.wire).await {
                Ok(Some(bytes)) => splitter.push(&bytes),
                Ok(None) if ends_at_close => return FirstResponse::Invalid("an empty stream"),
                Ok(None) => {
                    let body = splitter.take_remainder();
                    return FirstResponse::Complete(Box::new(CompleteResponse {
                        head,
                        body,
                        connection,
                    }));
                }
                Err(error) => return unreadable_body(error),
            }
        }
    }

    /// Classifies a complete response.
    fn classify_response(
        &self,
        choice: &Choice,
        head: ResponseHead,
        body: Vec<u8>,
    ) -> AttemptResult {
        let metadata = self.shared.dialect.response_metadata(&head);
        if metadata.is_misdirected {
            let is_other = metadata.instance.is_none_or(|id| id != choice.instance.id);
            let expected_version =
                choice.required_version.is_some() && self.metadata.prompt.is_some();
            return AttemptResult::Ended(match (is_other, expected_version) {
                (true, _) => AttemptEnd::WrongInstance,
                (false, true) => self.classify_version_refusal(choice, metadata.weights_version),
                (false, false) => AttemptEnd::NotRun,
            });
        }
        if metadata.is_not_run {
            let has_backoff = metadata.pushback.backoff.is_some();
            let end = if has_backoff { AttemptEnd::PushedBack } else { AttemptEnd::NotRun };
            return AttemptResult::Ended(end);
        }
        match head.status.code() {
            200..300 => AttemptResult::Success(head, body),
            // These statuses imply that the request was not run, but the replica did not confirm it.
            408 | 421 | 429 | 503 => AttemptResult::Ended(AttemptEnd::Broken),
            _ if !metadata.is_sealed => AttemptResult::Ended(AttemptEnd::Broken),
            500.. => AttemptResult::Failure(head, body),
            _ => AttemptResult::Success(head, body),
        }
    }
}

/// A body that could not be read. Bytes that break the grammar are the replica's fault, not that of the
/// path to it.
fn unreadable_body(error: BodyError) -> FirstResponse {
    match error {
        BodyError::Malformed => FirstResponse::Invalid("malformed body"),
        BodyError::Truncated | BodyError::TooLarge => {
            FirstResponse::Interrupted("the body broke off")
        }
    }
}
