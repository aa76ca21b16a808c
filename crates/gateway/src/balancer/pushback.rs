//! What replicas asked of this process, and what follows for choices among them.

use super::Balancer;
use super::choice::{Choice, ChoiceRequest};
use super::replica::Replica;
use crate::shards::Shard;
use std::time::Duration;
use topazmount_admission::{
    Heard, LimitChange, Pushback, PushbackSettings, RequestLimit, RequestLimits,
};
use topazmount_types::{Instance, ReplicaId, Time};

impl Balancer {
    /// Changes how long what replicas ask is believed.
    pub fn set_pushback_settings(&mut self, cfg: PushbackSettings) {
        self.pushbacks.set(cfg);
    }

    /// Takes what an answer asks that came from where the chosen incarnation was. One that has ended asks nothing of the
    /// next; but what comes after the next one's start is that one's.
    pub fn record_pushback(&mut self, choice: &Choice, said: Pushback, now: Time) -> Option<Heard> {
        let name = self.answering(choice, now)?.incarnation_name();
        self.pushbacks.hear(&name, said, now)
    }

    /// Takes what an answer says of its replica's limit; the request was sent at `sent_at`.
    pub fn record_limit(
        &mut self,
        choice: &Choice,
        limit: Option<RequestLimit>,
        sent_at: Time,
        now: Time,
    ) -> Option<LimitChange> {
        let key = key_of(self.answering(choice, now)?);
        self.limits.hear(key, limit, sent_at, now)
    }

    /// The incarnation that answers where the chosen one was; `None` where the answer is of one that has ended.
    fn answering<'a>(&'a self, choice: &'a Choice, now: Time) -> Option<&'a Instance> {
        let known = self.replicas.get(&choice.instance.id).map(|replica| &replica.instance);
        match known.filter(|known| known.start != choice.instance.start) {
            None => Some(&choice.instance),
            Some(next) => (now >= next.start.as_time()).then_some(next),
        }
    }

    /// The limit that the chosen replica names now.
    pub fn limit_of(&self, choice: &Choice) -> Option<RequestLimit> {
        self.limits.limit(key_of(&choice.instance))
    }

    /// Limits that replicas name.
    pub(crate) fn limits(&mut self) -> &mut RequestLimits {
        &mut self.limits
    }

    /// How many replicas name a limit.
    pub fn limited_count(&self) -> usize {
        self.limits.count()
    }

    /// How many replicas rest by what they asked of this process, and how many leave.
    pub fn pushback_counts(&self, now: Time) -> (usize, usize) {
        self.pushbacks.counts(now)
    }

    /// Whether a request may be sent to its choice at this moment: it may have asked for rest since it was chosen, or have
    /// ended, so that the next incarnation would get what was never weighed for it.
    pub fn may_send(&self, choice: &Choice, now: Time) -> bool {
        !self.has_ended(choice) && self.pushbacks.may_call(&choice.instance.incarnation_name(), now)
    }

    pub(super) fn wants_none(&self, replica: &Replica, now: Time) -> bool {
        !self.pushbacks.may_call(&replica.name, now)
            || self.limits.spent_for(replica.key.0, now).is_some()
    }

    /// Names of the replicas of a shard that this process must not call; another one can't know of them.
    pub(crate) fn unwilling(&self, service: &str, shard: Shard, now: Time) -> Vec<String> {
        if self.pushbacks.is_empty() && self.limits.count() == 0 {
            return Vec::new();
        }
        let in_shard = self.serving(service).filter(|one| shard.contains(one.place));
        in_shard.filter(|one| self.wants_none(one, now)).map(|one| one.name.clone()).collect()
    }

    /// Time until the first replica that could otherwise be sent a request has rested, or may be sent one within its limit;
    /// `None` where one may be sent it now, or none of them will.
    pub fn time_until_available(&self, request: &ChoiceRequest<'_>, now: Time) -> Option<Duration> {
        if self.has_available_replica(request, now) {
            return None;
        }
        let could_serve = |replica: &&Replica| self.could_serve(replica, request, now);
        let serving = self.serving(request.service).filter(could_serve);
        let free_in = |one: &Replica| {
            let rests_for = self.pushbacks.rests_for(&one.name, now);
            rests_for.max(self.limits.spent_for(one.key.0, now))
        };
        serving.filter_map(free_in).min()
    }
}

/// Hash of an incarnation's name, by which gateways speak of it.
pub(crate) fn key_of(instance: &Instance) -> u64 {
    ReplicaId::from_name(&instance.incarnation_name()).0
}
