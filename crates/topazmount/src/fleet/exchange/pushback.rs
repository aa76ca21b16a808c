//! What replicas' answers ask of this gateway.

use super::super::dialect::ResponseMetadata;
use super::Exchange;
use std::time::Duration;
use topazmount_admission::{LimitChange, RequestLimit};
use topazmount_gateway::Choice;
use topazmount_types::Time;

impl Exchange<'_> {
    /// Notes what an answer on a connection to the chosen replica asks; it may answer an earlier request. It is heard with
    /// the head, before the body, which may come late or never.
    pub(super) fn note_pushback(
        &self,
        choice: &Choice,
        tags: &ResponseMetadata,
        status: u16,
        sent_at: Time,
    ) {
        self.note_limit(choice, tags, sent_at);
        let asked = tags.pushback;
        let asks = asked.asks() || asked.unreadable.is_some();
        let is_other = tags.instance.as_ref().is_some_and(|id| *id != choice.instance.id);
        if is_other || !(asks || tags.is_not_run) {
            return;
        }
        let now = self.shared.clock.now();
        let heard = {
            let mut knowledge = self.shared.knowledge.lock().unwrap();
            knowledge.balancer().record_pushback(choice, asked, now)
        };
        if let Some(heard) = heard {
            self.shared.metrics.rest(&self.admission.service, heard.adds);
        }
        if heard.is_some_and(|heard| heard.leaves) {
            self.shared.pool.close(&choice.instance.incarnation_name());
        }
        // A replica that leaves says so in each answer; what is known already is no news.
        if heard.is_none() && asked.unreadable.is_none() && !tags.is_not_run {
            return;
        }
        let millis = |rest: Option<Duration>| {
            rest.map_or_else(|| "none".to_owned(), |rest| rest.as_millis().to_string())
        };
        self.shared.metrics.event("pushback");
        self.shared.journal.line(|| {
            format!(
                "gateway: event=pushback request={} instance={} start={} status={status} not_run={} rest_ms={} leaving={} \
                 unreadable={} rests_for_ms={}",
                self.tags.id,
                choice.instance.id,
                choice.instance.start,
                tags.is_not_run,
                millis(asked.rest),
                asked.is_leaving,
                asked.unreadable.unwrap_or("none"),
                millis(heard.and_then(|heard| heard.rests_for))
            )
        });
    }

    /// Other gateways learn of a changed limit before they send much.
    fn tell_limit(&self, choice: &Choice, now: Time) {
        let mut knowledge = self.shared.knowledge.lock().unwrap();
        let Some(news) = knowledge.limit_update(choice, now) else { return };
        let to = knowledge.limit_update_recipients(news.replica, now);
        drop(knowledge);
        self.shared.peers.tell_limit(to, news);
    }

    /// Notes the limit that an answer names, or that it names none. A value that can't be read says neither.
    fn note_limit(&self, choice: &Choice, tags: &ResponseMetadata, sent_at: Time) {
        let limit = tags.pushback.limit;
        let is_of_replica = tags.is_sealed || tags.is_not_run;
        let is_other = tags.instance.as_ref().is_some_and(|id| *id != choice.instance.id);
        let says_none = limit.is_none() && is_of_replica && tags.pushback.unreadable.is_none();
        if is_other || tags.is_misdirected || !(limit.is_some() || says_none) {
            return;
        }
        // A late answer to an earlier request says nothing of what holds since.
        let is_late = tags.request_id.as_ref().is_some_and(|id| *id != self.tags.id);
        let sent_at = if is_late { Time::ZERO } else { sent_at };
        let now = self.shared.clock.now();
        let change = {
            let mut knowledge = self.shared.knowledge.lock().unwrap();
            knowledge.balancer().record_limit(choice, limit, sent_at, now)
        };
        let Some(change) = change else { return };
        self.tell_limit(choice, now);
        let (event, limit) = match change {
            LimitChange::Named(limit) => ("limit_named", Some(limit)),
            LimitChange::Ended => ("limit_ended", None),
        };
        self.shared.metrics.event(event);
        self.shared.journal.line(|| {
            format!(
                "gateway: event={event} request={} instance={} start={} per_second={}",
                self.tags.id,
                choice.instance.id,
                choice.instance.start,
                per_second(limit)
            )
        });
    }
}

/// A limit as logs name it.
pub(super) fn per_second(limit: Option<RequestLimit>) -> String {
    limit.map_or_else(|| "none".to_owned(), |limit| limit.rate().to_string())
}
