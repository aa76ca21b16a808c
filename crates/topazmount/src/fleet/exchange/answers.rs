//! How an exchange ends: a replica's whole answer, or one of the gateway's own.

use super::super::answer::{Delivery, forwarded_head, own_answer};
use super::limit::OverLimit;
use super::{Ending, Exchange, Progress};
use crate::http1::ResponseHead;
use futures_lite::AsyncWriteExt;
use std::time::Duration;
use topazmount_gateway::{ChoiceRequest, RequestPlan};
use topazmount_types::ErrorKind;

impl Exchange<'_> {
    pub(super) async fn pass_on(
        &mut self,
        head: ResponseHead,
        body: &[u8],
        plan: &RequestPlan,
    ) -> Ending {
        self.log_end(plan, head.status, "replica");
        let delivery = Delivery::Whole(body.len());
        let mut bytes = forwarded_head(&head, delivery, self.keeps_alive);
        bytes.extend_from_slice(body);
        match self.client.write_all(&bytes).await {
            Ok(()) => Ending::Whole,
            Err(_) => Ending::Cut,
        }
    }

    /// Ends a request that no replica served: with a replica's whole failure, if there is one, since it says more than any
    /// answer of the gateway's own; else with the gateway's. Of 502 in place of 500 the client learns neither what
    /// failed nor that an answer was ready.
    pub(super) async fn end_without(
        &mut self,
        plan: &RequestPlan,
        progress: &Progress,
        kind: ErrorKind,
        failure: Option<(ResponseHead, Vec<u8>)>,
    ) -> Ending {
        match failure.filter(|_| !progress.has_begun) {
            Some((head, body)) => self.pass_on(head, &body, plan).await,
            None => self.give_up(plan, progress, kind).await,
        }
    }

    pub(super) async fn give_up(
        &mut self,
        plan: &RequestPlan,
        progress: &Progress,
        kind: ErrorKind,
    ) -> Ending {
        if progress.has_begun {
            self.log_end(plan, kind.status(), kind.name());
            return Ending::Cut;
        }
        let wait = self.retry_after(plan, kind);
        self.refuse(plan, kind, wait).await
    }

    fn retry_after(&self, plan: &RequestPlan, kind: ErrorKind) -> Option<Duration> {
        let usual = self.shared.retry_after(kind)?;
        if kind != ErrorKind::NoReplica {
            return Some(usual);
        }
        let now = self.shared.clock.now();
        let request = ChoiceRequest { tried: &[], pinned_to: None, ..self.choice_request(plan) };
        let rested = self.shared.knowledge.lock().unwrap().retry_after_pushback(&request, now);
        Some(rested.unwrap_or(usual))
    }

    /// Refuses a request that nothing was sent of.
    pub(super) async fn refuse_over_limit(
        &mut self,
        plan: &RequestPlan,
        over: OverLimit,
    ) -> Ending {
        match over {
            OverLimit::Used(wait) => self.refuse(plan, ErrorKind::TenantLimit, Some(wait)).await,
            OverLimit::NoGranter(wait) => {
                self.refuse(plan, ErrorKind::Overloaded, Some(wait)).await
            }
        }
    }

    pub(super) async fn refuse(
        &mut self,
        plan: &RequestPlan,
        kind: ErrorKind,
        retry_after: Option<Duration>,
    ) -> Ending {
        self.log_end(plan, kind.status(), kind.name());
        let answer = self.shared.dialect.error_response(kind, retry_after);
        let bytes = own_answer(&answer, self.head, self.keeps_alive);
        match self.client.write_all(&bytes).await {
            Ok(()) => Ending::Whole,
            Err(_) => Ending::Cut,
        }
    }
}
