//! What requests teach of the replicas that they were sent to. Each counts for the incarnation that it was sent to, and
//! for none after it.

use super::choice::{Choice, ChoiceRequest};
use super::replica::Replica;
use super::{Balancer, PREFILL_PRIOR};
use crate::estimator::PrefillEstimator;
use std::time::Duration;
use topazmount_control::Availability;
use topazmount_types::Time;

impl Balancer {
    /// The replica of a choice, while its incarnation is the one that is known.
    pub(super) fn chosen(&self, choice: &Choice) -> Option<&Replica> {
        self.replicas.get(&choice.instance.id).filter(|replica| replica.slot == choice.slot)
    }

    pub(super) fn chosen_mut(&mut self, choice: &Choice) -> Option<&mut Replica> {
        let replica = self.replicas.get_mut(&choice.instance.id);
        replica.filter(|replica| replica.slot == choice.slot)
    }

    /// Notes that a request was sent to its choice.
    pub fn on_sent(&mut self, choice: &Choice, request: &ChoiceRequest<'_>, now: Time) {
        let Some(replica) = self.chosen_mut(choice) else { return };
        replica.in_flight += 1;
        replica.pending_prefill += u64::from(choice.expected_prefill);
        if let Some(version) = choice.version {
            let incarnation = replica.incarnation(version);
            self.holders.sent(&request.shared(), choice.slot, incarnation, now);
        }
    }

    /// Notes the first token of a request, `waited` after it was sent: its prompt is read.
    pub fn on_first_token(
        &mut self,
        choice: &Choice,
        request: &ChoiceRequest<'_>,
        waited: Duration,
        now: Time,
    ) {
        let waited_ms = waited.as_secs_f64() * 1_000.0;
        if choice.has_empty_queue && request.prompt.is_some() {
            let estimate = self.prefill.entry(request.service.to_owned());
            let estimate = estimate.or_insert_with(|| PrefillEstimator::new(PREFILL_PRIOR));
            estimate.record(choice.expected_prefill, waited_ms);
        }
        let expected_ms = f64::from(choice.expected_prefill) / self.prefill_rate(request.service);
        let Some(replica) = self.chosen_mut(choice) else { return };
        let expected = u64::from(choice.expected_prefill);
        replica.pending_prefill = replica.pending_prefill.saturating_sub(expected);
        replica.note_delay((waited_ms - expected_ms).max(0.0), now);
        replica.heard_at = now;
        if let Some(version) = choice.version {
            let incarnation = replica.incarnation(version);
            self.holders.read(&request.shared(), choice.slot, incarnation, now);
        }
    }

    /// Notes that a request no longer occupies its choice. `has_first_token` tells whether
    /// [`Balancer::first_token`] was called for it.
    pub fn on_ended(&mut self, choice: &Choice, has_first_token: bool) {
        let Some(replica) = self.chosen_mut(choice) else { return };
        replica.in_flight = replica.in_flight.saturating_sub(1);
        if !has_first_token {
            let expected = u64::from(choice.expected_prefill);
            replica.pending_prefill = replica.pending_prefill.saturating_sub(expected);
        }
    }

    /// Requests of this node at the replica that is known under an identifier, and their prompt tokens without a first
    /// token.
    pub fn load(&self, id: &str) -> Option<(u32, u64)> {
        self.replicas.get(id).map(|replica| (replica.in_flight, replica.pending_prefill))
    }

    /// Takes the version that a replica named with an answer.
    pub fn record_version(&mut self, choice: &Choice, model: &str, version: u32) {
        if let Some(replica) = self.chosen_mut(choice) {
            replica.note_version(model, version);
        }
    }

    /// Notes that a replica holds other weights than was believed.
    pub fn forget_version(&mut self, choice: &Choice, model: &str) {
        if let Some(replica) = self.chosen_mut(choice) {
            replica.forget_version(model);
        }
    }

    /// Whether a replica must not begin on requests any more: its weights are too old. What runs at an earlier
    /// incarnation is not judged by the next one's weights.
    pub fn is_excluded(&self, choice: &Choice) -> bool {
        let replica = self.chosen(choice);
        replica.is_some_and(|replica| replica.availability == Availability::Excluded)
    }

    /// Whether a replica sent anything after a moment.
    pub fn has_responded_since(&self, choice: &Choice, since: Time) -> bool {
        self.chosen(choice).is_some_and(|replica| replica.heard_at > since)
    }

    /// Whether a replica has said that it leaves, or had when the next incarnation took its place.
    pub fn is_leaving(&self, choice: &Choice, now: Time) -> bool {
        if self.pushbacks.is_leaving(&choice.instance.incarnation_name(), now) {
            return true;
        }
        let Some(replica) = self.replicas.get(&choice.instance.id) else { return false };
        let had_said = (choice.instance.start, true);
        match replica.instance.start == choice.instance.start {
            true => replica.instance.is_draining,
            false => replica.earlier == Some(had_said),
        }
    }

    /// Whether another incarnation is where the choice was.
    pub fn has_ended(&self, choice: &Choice) -> bool {
        let replica = self.replicas.get(&choice.instance.id);
        replica.is_some_and(|replica| replica.instance.start != choice.instance.start)
    }

    /// Notes that a replica answered as it should.
    pub fn on_success(&mut self, choice: &Choice, now: Time) {
        if let Some(replica) = self.chosen_mut(choice) {
            replica.note_success(now);
        }
    }

    /// Notes that a replica failed; it is passed over for a while.
    pub fn on_failure(&mut self, choice: &Choice, now: Time) {
        if let Some(replica) = self.chosen_mut(choice) {
            replica.note_failure(now);
        }
    }

    /// Notes that another replica has the address; it is passed over for the longest time.
    pub fn on_address_reused(&mut self, choice: &Choice, now: Time) {
        if let Some(replica) = self.chosen_mut(choice) {
            replica.note_replaced(now);
        }
    }
}
