//! Takes connections to replicas from the pool and returns them.

use super::super::link_monitor::Path;
use super::super::pool::PoolLimits;
use super::{Exchange, ReplicaConnection};
use crate::http1::Wire;
use std::time::Duration;
use topazmount_gateway::{Choice, RequestPlan};

impl Exchange<'_> {
    /// Takes a pooled connection to the chosen replica that this request may use, with its idle time.
    pub(super) async fn pooled_connection(
        &self,
        choice: &Choice,
        plan: &RequestPlan,
    ) -> Option<(Wire, Duration)> {
        if self.shared.uses_tunnels() {
            return None;
        }
        let now = self.shared.clock.now();
        let service = &self.admission.service;
        let may_use = |idle| {
            let mut gateway_state = self.shared.gateway_state.lock();
            gateway_state.connections().may_reuse(service, idle, plan.is_retryable(), now)
        };
        let incarnation = choice.instance.incarnation_name();
        let taken = self.shared.pool.take(&incarnation, now, may_use).await;
        let kind = if taken.is_some() { "connection_kept" } else { "connection_new" };
        self.shared.metrics.count_event(kind);
        taken
    }

    /// Returns a connection to the pool after a complete response, if it may be reused. Connections of
    /// requests that must run at most once serve retryable ones afterwards. A tunnel carries one
    /// request, so that its carrier can stop as soon as no request is open.
    pub(super) fn return_to_pool(&self, choice: &Choice, connection: ReplicaConnection) {
        let ReplicaConnection { wire, path, keep_alive, is_request_sent } = connection;
        if path == Path::Tunnel || self.shared.uses_tunnels() {
            return;
        }
        let service = &self.admission.service;
        let now = self.shared.clock.now();
        let limits = {
            let mut gateway_state = self.shared.gateway_state.lock();
            // No more requests go to an incarnation that has ended or is leaving.
            let balancer = gateway_state.balancer();
            let is_gone = balancer.has_ended(choice) || balancer.is_leaving(choice, now);
            let end = keep_alive.response_end(&wire, is_request_sent);
            if is_gone || !gateway_state.connections().may_pool(end) {
                return;
            }
            let max_idle = gateway_state.connections().max_idle(service, now);
            PoolLimits { max_connections: gateway_state.max_pooled_connections(service), max_idle }
        };
        self.shared.pool.put(&choice.instance.incarnation_name(), wire, keep_alive, limits, now);
    }

    /// Records that a pooled connection ended before any byte arrived.
    pub(super) fn record_stale_connection(&self, choice: &Choice, idle: Duration) {
        let now = self.shared.clock.now();
        let service = &self.admission.service;
        self.shared.gateway_state.lock().connections().on_stale_connection(service, idle, now);
        self.shared.metrics.count_event("connection_forgotten");
        self.shared.event_log.info(|| {
            format!(
                "gateway: event=connection_forgotten request={} instance={} idle_ms={}",
                self.metadata.id,
                choice.instance.id,
                idle.as_millis()
            )
        });
    }
}
