//! Pushback and request limits of replicas, and their effect on choices.

use super::Balancer;
use super::choice::{Choice, ChoiceRequest};
use super::replica::Replica;
use crate::shards::Shard;
use std::time::Duration;
use topazmount_admission::{
    LimitChange, Pushback, PushbackChange, PushbackSettings, RequestLimit, RequestLimits,
};
use topazmount_control::{NoticeKind, ReplicaNotice};
use topazmount_types::{Instance, ReplicaId, Time};

impl Balancer {
    /// Sets how long pushback is honored.
    pub fn set_pushback_settings(&mut self, cfg: PushbackSettings) {
        self.pushbacks.set_settings(cfg);
    }

    /// Records the pushback in a response. Pushback of an ended incarnation does not affect the
    /// next one; a response received after the next one's start counts as the next one's.
    pub fn record_pushback(
        &mut self,
        choice: &Choice,
        pushback: Pushback,
        now: Time,
    ) -> Option<PushbackChange> {
        let name = self.responding_incarnation(choice, now)?.incarnation_name();
        self.pushbacks.record(&name, pushback, now)
    }

    /// Records the limit in a response to a request that was sent at `sent_at`.
    pub fn record_limit(
        &mut self,
        choice: &Choice,
        limit: Option<RequestLimit>,
        sent_at: Time,
        now: Time,
    ) -> Option<LimitChange> {
        let key = incarnation_hash(self.responding_incarnation(choice, now)?);
        self.limits.record(key, limit, sent_at, now)
    }

    /// The incarnation that a response comes from; `None` if that incarnation has ended.
    fn responding_incarnation<'a>(&'a self, choice: &'a Choice, now: Time) -> Option<&'a Instance> {
        let known = self.replicas.get(&choice.instance.id).map(|replica| &replica.instance);
        match known.filter(|known| known.start != choice.instance.start) {
            None => Some(&choice.instance),
            Some(next) => (now >= next.start.as_time()).then_some(next),
        }
    }

    /// The current request limit of the chosen replica.
    pub fn limit_of(&self, choice: &Choice) -> Option<RequestLimit> {
        self.limits.limit(incarnation_hash(&choice.instance))
    }

    /// Request limits of all replicas.
    pub(crate) fn limits(&mut self) -> &mut RequestLimits {
        &mut self.limits
    }

    /// What replicas asked of all their callers, as far as this node knows.
    pub(crate) fn notices(&self, now: Time) -> Vec<ReplicaNotice> {
        if self.pushbacks.is_empty() && self.limits.is_empty() {
            return Vec::new();
        }
        let notice = |replica: &Replica, kind, reported_at| ReplicaNotice {
            incarnation: replica.name.clone(),
            kind,
            age: now.since(reported_at),
        };
        let mut notices = Vec::new();
        for replica in self.replicas.values() {
            if let Some(known) = self.limits.get(replica.incarnation_id.0) {
                let kind = NoticeKind::Limit(known.limit);
                notices.push(notice(replica, kind, known.reported_at));
            }
            if let Some(at) = self.pushbacks.leaving_reported_at(&replica.name, now) {
                notices.push(notice(replica, NoticeKind::Leaving, at));
            }
        }
        notices
    }

    /// Applies a notice that another node received. Returns whether it is news to this node.
    pub(crate) fn apply_notice(&mut self, notice: &ReplicaNotice, now: Time) -> bool {
        let reported_at = now - notice.age;
        match notice.kind {
            NoticeKind::Limit(limit) => {
                let incarnation = ReplicaId::from_name(&notice.incarnation).0;
                self.limits.record_update(incarnation, limit, reported_at).is_some()
            }
            NoticeKind::Leaving => {
                self.pushbacks.record_leaving(&notice.incarnation, reported_at, now)
            }
        }
    }

    /// Number of replicas that report a request limit.
    pub fn limited_count(&self) -> usize {
        self.limits.count()
    }

    /// Number of replicas in backoff, and number of leaving ones.
    pub fn pushback_counts(&self, now: Time) -> (usize, usize) {
        self.pushbacks.counts(now)
    }

    /// Whether a request may be sent to its choice now: the replica may have pushed back or ended
    /// since it was chosen.
    pub fn may_send(&self, choice: &Choice, now: Time) -> bool {
        !self.has_ended(choice)
            && self.pushbacks.is_available(&choice.instance.incarnation_name(), now)
    }

    pub(super) fn is_unavailable(&self, replica: &Replica, now: Time) -> bool {
        self.has_pushed_back(replica, now)
            || self.enforces_places && self.has_no_place(replica, now)
    }

    /// Whether a replica wants no requests from this node now, or its limit is used up.
    pub(super) fn has_pushed_back(&self, replica: &Replica, now: Time) -> bool {
        !self.pushbacks.is_available(&replica.name, now)
            || self.limits.exhausted_for(replica.incarnation_id.0, now).is_some()
    }

    /// Names of a shard's replicas that are unavailable to this node, which a coordinator can't
    /// know.
    pub(crate) fn unavailable_replicas(
        &self,
        service: &str,
        shard: Shard,
        now: Time,
    ) -> Vec<String> {
        if self.pushbacks.is_empty() && self.limits.count() == 0 {
            return Vec::new();
        }
        let in_shard = self.serving_in(service, Some(shard)).into_iter();
        in_shard
            .filter(|replica| self.is_unavailable(replica, now))
            .map(|replica| replica.name.clone())
            .collect()
    }

    /// Time until the first eligible replica is available again; `None` if one is available now, or
    /// none will be.
    pub fn time_until_available(&self, request: &ChoiceRequest<'_>, now: Time) -> Option<Duration> {
        if self.has_available_replica(request, now) {
            return None;
        }
        let is_eligible = |replica: &&Replica| self.is_eligible(replica, request, now);
        let serving = self.serving(request.service).filter(is_eligible);
        let available_in = |replica: &Replica| {
            let backoff = self.pushbacks.remaining_backoff(&replica.name, now);
            backoff.max(self.limits.exhausted_for(replica.incarnation_id.0, now))
        };
        serving.filter_map(available_in).min()
    }
}

/// Hash of an incarnation's name, which identifies it among gateways.
pub(crate) fn incarnation_hash(instance: &Instance) -> u64 {
    ReplicaId::from_name(&instance.incarnation_name()).0
}
