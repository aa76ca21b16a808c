//! Records pushback and request limits from replicas' responses.

use super::super::dialect::ResponseMetadata;
use super::super::log_text::per_second;
use super::Exchange;
use std::time::Duration;
use topazmount_admission::LimitChange;
use topazmount_gateway::Choice;
use topazmount_types::Time;

impl Exchange<'_> {
    /// Records the pushback in a response, which may belong to an earlier request on the connection.
    /// Called when the head arrives, since the body may come late or never.
    pub(super) fn record_pushback(
        &self,
        choice: &Choice,
        metadata: &ResponseMetadata,
        status: u16,
        sent_at: Time,
    ) {
        self.record_limit(choice, metadata, sent_at);
        self.record_overload_risk(choice, metadata, sent_at);
        let pushback = metadata.pushback;
        let has_pushback = pushback.is_requested() || pushback.invalid_field.is_some();
        let is_other_replica =
            metadata.instance.as_ref().is_some_and(|id| *id != choice.instance.id);
        if is_other_replica || !(has_pushback || metadata.is_not_run) {
            return;
        }
        let now = self.shared.clock.now();
        let change = {
            let mut gateway_state = self.shared.gateway_state.lock();
            gateway_state.balancer().record_pushback(choice, pushback, now)
        };
        if let Some(change) = change {
            self.shared.metrics.add_backoff(&self.admission.service, change.added);
        }
        if change.is_some_and(|change| change.is_leaving) {
            self.shared.pool.close(&choice.instance.incarnation_name());
            self.shared.request_report();
        }
        // A leaving replica repeats this in each response; only changes are logged.
        if change.is_none() && pushback.invalid_field.is_none() && !metadata.is_not_run {
            return;
        }
        let millis = |backoff: Option<Duration>| {
            backoff.map_or_else(|| "none".to_owned(), |backoff| backoff.as_millis().to_string())
        };
        self.shared.metrics.count_event("pushback");
        self.shared.event_log.info(|| {
            format!(
                "gateway: event=pushback request={} instance={} start={} status={status} not_run={} rest_ms={} leaving={} \
                 unreadable={} rests_for_ms={}",
                self.metadata.id,
                choice.instance.id,
                choice.instance.start,
                metadata.is_not_run,
                millis(pushback.backoff),
                pushback.is_leaving,
                pushback.invalid_field.unwrap_or("none"),
                millis(change.and_then(|change| change.backoff))
            )
        });
    }

    /// Records whether a response of the replica says that it is overload-prone, and a rejection.
    fn record_overload_risk(&self, choice: &Choice, metadata: &ResponseMetadata, sent_at: Time) {
        let is_from_replica = metadata.is_sealed || metadata.is_not_run;
        let is_earlier_request =
            metadata.request_id.as_ref().is_some_and(|id| *id != self.metadata.id);
        if !is_from_replica || metadata.is_misdirected || is_earlier_request {
            return;
        }
        let service = &choice.instance.service;
        let max_rejections = metadata.pushback.max_rejections;
        let now = self.shared.clock.now();
        let change = {
            let mut gateway_state = self.shared.gateway_state.lock();
            let balancer = gateway_state.balancer();
            let change = balancer.record_overload_risk(service, max_rejections.is_some(), sent_at);
            if metadata.is_not_run {
                balancer.record_rejection(choice, now);
            }
            change
        };
        let Some(is_overload_prone) = change else { return };
        self.shared.metrics.count_event(if is_overload_prone {
            "overload_prone"
        } else {
            "not_overload_prone"
        });
        self.shared.event_log.info(|| {
            let instance = &choice.instance.id;
            let most = max_rejections.map_or_else(|| "none".to_owned(), |most| most.to_string());
            format!(
                "gateway: event=overload_prone service={service} instance={instance} is_overload_prone={is_overload_prone} \
                 max_rejections={most}"
            )
        });
    }

    /// Sends a changed limit to other gateways.
    fn send_limit_update(&self, choice: &Choice, now: Time) {
        let mut gateway_state = self.shared.gateway_state.lock();
        let Some(update) = gateway_state.limit_update(choice, now) else { return };
        let recipients = gateway_state.limit_update_recipients(update.replica, now);
        drop(gateway_state);
        self.shared.peers.send_limit_update(recipients, update);
    }

    /// Records the request limit in a response, or its absence. An unreadable value is ignored.
    fn record_limit(&self, choice: &Choice, metadata: &ResponseMetadata, sent_at: Time) {
        let limit = metadata.pushback.limit;
        let is_from_replica = metadata.is_sealed || metadata.is_not_run;
        let is_other_replica =
            metadata.instance.as_ref().is_some_and(|id| *id != choice.instance.id);
        let has_ended =
            limit.is_none() && is_from_replica && metadata.pushback.invalid_field.is_none();
        if is_other_replica || metadata.is_misdirected || !(limit.is_some() || has_ended) {
            return;
        }
        // A late response to an earlier request may be outdated.
        let is_earlier_request =
            metadata.request_id.as_ref().is_some_and(|id| *id != self.metadata.id);
        let sent_at = if is_earlier_request { Time::ZERO } else { sent_at };
        let now = self.shared.clock.now();
        let change = {
            let mut gateway_state = self.shared.gateway_state.lock();
            gateway_state.balancer().record_limit(choice, limit, sent_at, now)
        };
        let Some(change) = change else { return };
        self.send_limit_update(choice, now);
        self.shared.request_report();
        let (event, limit) = match change {
            LimitChange::Set(limit) => ("limit_named", Some(limit)),
            LimitChange::Removed => ("limit_ended", None),
        };
        self.shared.metrics.count_event(event);
        self.shared.event_log.info(|| {
            format!(
                "gateway: event={event} request={} instance={} start={} per_second={}",
                self.metadata.id,
                choice.instance.id,
                choice.instance.start,
                per_second(limit)
            )
        });
    }
}
