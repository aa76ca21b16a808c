//! Sends the client a replica's response or an error response of the gateway.

use super::super::response::{forwarded_head, response_to};
use super::limit::OverLimit;
use super::{Exchange, ResponseOutcome};
use crate::http1::{BodyDelivery, ResponseHead};
use std::fmt::Display;
use std::io;
use std::time::Duration;
use topazmount_gateway::{ChoiceRequest, RequestPlan};
use topazmount_types::ErrorKind;

impl Exchange<'_> {
    pub(super) async fn forward_response(
        &mut self,
        head: ResponseHead,
        body: &[u8],
        plan: &RequestPlan,
    ) -> ResponseOutcome {
        self.log_end(plan, head.status.code(), "replica");
        let delivery = BodyDelivery::Length(body.len());
        let mut bytes = forwarded_head(&head, delivery, self.keeps_alive);
        bytes.extend_from_slice(body);
        self.send_whole(&bytes).await
    }

    async fn send_whole(&mut self, response: &[u8]) -> ResponseOutcome {
        let sent = self.client.send_whole(response).await;
        self.outcome(sent)
    }

    /// Outcome after the end of a response was sent, or failed to be.
    pub(super) fn outcome(&self, sent: io::Result<()>) -> ResponseOutcome {
        match sent {
            Ok(()) => ResponseOutcome::Complete,
            Err(error) => {
                self.log_not_sent(&error);
                ResponseOutcome::Truncated
            }
        }
    }

    /// Logs a part of the response that could not be sent.
    pub(super) fn log_not_sent(&self, problem: &dyn Display) {
        self.shared.event_log.info(|| {
            let request = &self.metadata.id;
            format!("gateway: event=response_not_sent request={request} problem=\"{problem}\"")
        });
    }

    /// Ends a request that no replica served: forwards a replica's failure response if there is one,
    /// since it is more specific than an error of the gateway.
    pub(super) async fn finish_unserved(
        &mut self,
        plan: &RequestPlan,
        kind: ErrorKind,
        failure: Option<(ResponseHead, Vec<u8>)>,
    ) -> ResponseOutcome {
        match failure.filter(|_| !self.client.has_started()) {
            Some((head, body)) => self.forward_response(head, &body, plan).await,
            None => self.fail(plan, kind).await,
        }
    }

    pub(super) async fn fail(&mut self, plan: &RequestPlan, kind: ErrorKind) -> ResponseOutcome {
        if self.client.has_started() {
            self.log_end(plan, kind.status(), kind.name());
            return ResponseOutcome::Truncated;
        }
        let wait = self.retry_after(plan, kind);
        self.send_error(plan, kind, wait).await
    }

    fn retry_after(&self, plan: &RequestPlan, kind: ErrorKind) -> Option<Duration> {
        let default_wait = self.shared.retry_after(kind)?;
        if kind != ErrorKind::NoReplica {
            return Some(default_wait);
        }
        let now = self.shared.clock.now();
        let request = ChoiceRequest { tried: &[], pinned_to: None, ..self.choice_request(plan) };
        let backoff_wait = self.shared.gateway_state.lock().retry_after_pushback(&request, now);
        Some(backoff_wait.unwrap_or(default_wait))
    }

    /// Refuses a request that is over its tenant's limit.
    pub(super) async fn reject_over_limit(
        &mut self,
        plan: &RequestPlan,
        over: OverLimit,
    ) -> ResponseOutcome {
        match over {
            OverLimit::Exhausted(wait) => {
                self.send_error(plan, ErrorKind::TenantLimit, Some(wait)).await
            }
            OverLimit::NoGranter(wait) => {
                self.send_error(plan, ErrorKind::Overloaded, Some(wait)).await
            }
        }
    }

    pub(super) async fn send_error(
        &mut self,
        plan: &RequestPlan,
        kind: ErrorKind,
        retry_after: Option<Duration>,
    ) -> ResponseOutcome {
        self.send_logged_error(plan, kind, retry_after, "").await
    }

    /// Rejects a request that the routing policy of this name does not admit.
    pub(super) async fn reject_by_policy(
        &mut self,
        plan: &RequestPlan,
        policy: &str,
    ) -> ResponseOutcome {
        let kind = ErrorKind::RefusedByPolicy;
        let wait = self.retry_after(plan, kind);
        self.send_logged_error(plan, kind, wait, &format!(" policy={policy}")).await
    }

    /// Sends an error; `detail` is added to its log line.
    async fn send_logged_error(
        &mut self,
        plan: &RequestPlan,
        kind: ErrorKind,
        retry_after: Option<Duration>,
        detail: &str,
    ) -> ResponseOutcome {
        self.log_end_with(plan, kind.status(), kind.name(), detail);
        let response = self.shared.dialect.error_response(kind, retry_after);
        let bytes = response_to(&response, self.head, self.keeps_alive);
        self.send_whole(&bytes).await
    }
}
