//! Kept connections of an exchange: which one carries a request, and when one goes to rest.

use super::super::pool::RestBounds;
use super::{Carrier, Exchange};
use crate::http1::Wire;
use std::time::Duration;
use topazmount_gateway::{Choice, RequestPlan};

impl Exchange<'_> {
    /// A kept connection to the chosen replica, with the time that it rested, if one may carry this
    /// request.
    pub(super) async fn kept_connection(
        &self,
        choice: &Choice,
        plan: &RequestPlan,
    ) -> Option<(Wire, Duration)> {
        let now = self.shared.clock.now();
        let service = &self.admission.service;
        let may_use = |connection| {
            let mut knowledge = self.shared.knowledge.lock().unwrap();
            knowledge.connections().may_reuse(service, connection, plan.is_retryable(), now)
        };
        let incarnation = choice.instance.incarnation_name();
        let taken = self.shared.pool.take(&incarnation, now, may_use).await;
        let kind = if taken.is_some() { "connection_kept" } else { "connection_new" };
        self.shared.metrics.event(kind);
        taken
    }

    /// Puts a connection to rest after a whole answer, if it may be used again.
    pub(super) fn rest(&self, choice: &Choice, carrier: Carrier) {
        let Carrier { wire, end, is_request_sent } = carrier;
        let service = &self.admission.service;
        let now = self.shared.clock.now();
        let bounds = {
            let mut knowledge = self.shared.knowledge.lock().unwrap();
            // Nothing is sent to an incarnation that has ended or leaves.
            let balancer = knowledge.balancer();
            let is_over = balancer.has_ended(choice) || balancer.is_leaving(choice, now);
            let end = end.answer_end(&wire, is_request_sent);
            if is_over || !knowledge.connections().may_pool(end) {
                return;
            }
            let longest = knowledge.connections().max_idle(service, true, now);
            RestBounds { most: knowledge.max_pooled_connections(service), longest }
        };
        self.shared.pool.put(&choice.instance.incarnation_name(), wire, end, bounds, now);
    }

    /// Notes that a kept connection broke before any byte came.
    pub(super) fn note_forgotten(&self, choice: &Choice, idle: Duration) {
        let now = self.shared.clock.now();
        let service = &self.admission.service;
        self.shared.knowledge.lock().unwrap().connections().on_stale_connection(service, idle, now);
        self.shared.metrics.event("connection_forgotten");
        self.shared.journal.line(|| {
            format!(
                "gateway: event=connection_forgotten request={} instance={} idle_ms={}",
                self.tags.id,
                choice.instance.id,
                idle.as_millis()
            )
        });
    }
}
