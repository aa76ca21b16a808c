//! Records the progress of requests at their replicas. Each event only affects the incarnation that
//! the request was sent to.

use super::choice::{Choice, ChoiceRequest};
use super::error_rates::{median, significant_errors};
use super::replica::Replica;
use super::{Balancer, DEFAULT_TOKENS_PER_MS};
use crate::estimator::PrefillEstimator;
use std::time::Duration;
use topazmount_control::Availability;
use topazmount_types::Time;

/// Time for which what is known of the errors of a service is used; it takes a pass over all replicas.
const ERRORS_INTERVAL: Duration = Duration::from_millis(200);

impl Balancer {
    /// The replica of a choice, if its incarnation is still the current one.
    pub(super) fn chosen(&self, choice: &Choice) -> Option<&Replica> {
        self.replicas.get(&choice.instance.id).filter(|replica| replica.slot == choice.slot)
    }

    pub(super) fn chosen_mut(&mut self, choice: &Choice) -> Option<&mut Replica> {
        let replica = self.replicas.get_mut(&choice.instance.id);
        replica.filter(|replica| replica.slot == choice.slot)
    }

    /// Records that a request was sent to its choice.
    pub fn on_sent(&mut self, choice: &Choice, request: &ChoiceRequest<'_>, now: Time) {
        self.places.on_sent(&choice.instance.service);
        let Some(replica) = self.chosen_mut(choice) else { return };
        replica.in_flight += 1;
        replica.pending_prefill += u64::from(choice.expected_prefill);
        if let Some(version) = choice.version {
            let incarnation = replica.incarnation(version);
            self.cache_records.on_sent(&request.shared_hashes(), choice.slot, incarnation, now);
        }
    }

    /// Records the first token of a request, `waited` after it was sent.
    pub fn on_first_token(
        &mut self,
        choice: &Choice,
        request: &ChoiceRequest<'_>,
        waited: Duration,
        now: Time,
    ) {
        let waited_ms = waited.as_secs_f64() * 1_000.0;
        if choice.has_empty_queue && request.prompt.is_some() {
            let estimator = self.prefill_estimators.entry(request.service.to_owned());
            let estimator =
                estimator.or_insert_with(|| PrefillEstimator::new(DEFAULT_TOKENS_PER_MS));
            estimator.record(choice.expected_prefill, waited_ms);
        }
        let expected_ms = f64::from(choice.expected_prefill) / self.prefill_rate(request.service);
        let Some(replica) = self.chosen_mut(choice) else { return };
        let expected = u64::from(choice.expected_prefill);
        replica.pending_prefill = replica.pending_prefill.saturating_sub(expected);
        replica.record_delay((waited_ms - expected_ms).max(0.0), now);
        replica.last_response_at = now;
        if let Some(version) = choice.version {
            let incarnation = replica.incarnation(version);
            self.cache_records.on_prefilled(
                &request.shared_hashes(),
                choice.slot,
                incarnation,
                now,
            );
        }
    }

    /// Records that a request ended. `has_first_token` tells whether [`Balancer::on_first_token`]
    /// was called for it.
    pub fn on_ended(&mut self, choice: &Choice, has_first_token: bool) {
        self.places.on_ended(&choice.instance.service);
        let Some(replica) = self.chosen_mut(choice) else { return };
        replica.in_flight = replica.in_flight.saturating_sub(1);
        if !has_first_token {
            let expected = u64::from(choice.expected_prefill);
            replica.pending_prefill = replica.pending_prefill.saturating_sub(expected);
        }
    }

    /// This node's requests in flight at a replica, and their prompt tokens without a first token.
    pub fn load(&self, id: &str) -> Option<(u32, u64)> {
        self.replicas.get(id).map(|replica| (replica.in_flight, replica.pending_prefill))
    }

    /// Records the version that a replica reported with a response.
    pub fn record_version(&mut self, choice: &Choice, model: &str, version: u32) {
        self.change_versions(choice, |replica| replica.record_version(model, version));
    }

    /// Drops the recorded version of a replica that turned out to have another one.
    pub fn forget_version(&mut self, choice: &Choice, model: &str) {
        self.change_versions(choice, |replica| replica.forget_version(model));
    }

    /// Whether the chosen incarnation is excluded from routing, as its weights are too old.
    pub fn is_excluded(&self, choice: &Choice) -> bool {
        let replica = self.chosen(choice);
        replica.is_some_and(|replica| replica.availability == Availability::Excluded)
    }

    /// Whether the chosen replica sent anything after a moment.
    pub fn has_responded_since(&self, choice: &Choice, since: Time) -> bool {
        self.chosen(choice).is_some_and(|replica| replica.last_response_at > since)
    }

    /// Whether the chosen incarnation is draining, or was when the next one replaced it.
    pub fn is_leaving(&self, choice: &Choice, now: Time) -> bool {
        if self.pushbacks.is_leaving(&choice.instance.incarnation_name(), now) {
            return true;
        }
        let Some(replica) = self.replicas.get(&choice.instance.id) else { return false };
        let was_draining = (choice.instance.start, true);
        match replica.instance.start == choice.instance.start {
            true => replica.instance.is_draining,
            false => replica.previous == Some(was_draining),
        }
    }

    /// Whether another incarnation has replaced the chosen one.
    pub fn has_ended(&self, choice: &Choice) -> bool {
        let replica = self.replicas.get(&choice.instance.id);
        replica.is_some_and(|replica| replica.instance.start != choice.instance.start)
    }

    /// Records a successful response. Returns whether the replica was avoided for its errors.
    pub fn on_success(&mut self, choice: &Choice, now: Time) -> bool {
        self.chosen_mut(choice).is_some_and(|replica| replica.record_success(now))
    }

    /// Records a complete response that reports an error. Returns the replica's share of errors and
    /// the median of its service if the replica is avoided from now on.
    pub fn on_error_response(&mut self, choice: &Choice, now: Time) -> Option<(f64, f64)> {
        self.chosen_mut(choice)?.error_rate.record(true, now);
        let median = self.median_error_rate(&choice.instance.service, now)?;
        let replica = self.chosen_mut(choice)?;
        let rate = replica.error_rate.avoid_if_exceptional(median, now)?;
        Some((rate, median))
    }

    /// Errors in a row at a replica of a service, at any gateways, that show more than chance.
    pub(crate) fn significant_errors(&mut self, service: &str, now: Time) -> u32 {
        let known = self.significant_errors.get(service);
        if let Some((needed, _)) = known.filter(|(_, at)| now < *at + ERRORS_INTERVAL) {
            return *needed;
        }
        let needed = significant_errors(self.serving(service).map(|it| it.error_rate.counts()));
        self.significant_errors.insert(service.to_owned(), (needed, now));
        needed
    }

    /// Median share of errors of a service's replicas, as of a moment ago.
    fn median_error_rate(&mut self, service: &str, now: Time) -> Option<f64> {
        let known = self.median_error_rates.get(service);
        if let Some((median, _)) = known.filter(|(_, at)| now < *at + ERRORS_INTERVAL) {
            return Some(*median);
        }
        let replicas = self.replicas.values().filter(|it| it.instance.service == service);
        let median = median(replicas.filter_map(|replica| replica.error_rate.rate()))?;
        self.median_error_rates.insert(service.to_owned(), (median, now));
        Some(median)
    }

    /// Records a failure; the replica is avoided for a while.
    pub fn on_failure(&mut self, choice: &Choice, now: Time) {
        if let Some(replica) = self.chosen_mut(choice) {
            replica.record_failure(now);
        }
    }

    /// Records that another replica uses the address; the chosen one is avoided for the longest
    /// suspicion time.
    pub fn on_address_reused(&mut self, choice: &Choice, now: Time) {
        if let Some(replica) = self.chosen_mut(choice) {
            replica.record_address_reused(now);
        }
    }
}
