//! Finds replicas that answer with errors far more often than the others of their service.
//!
//! A service may fail a share of its requests by nature, so that only the difference counts, and
//! only if it is more than chance makes of a few requests. The median of the replicas is the
//! measure, as those that fail at once draw most requests. So at most half of them are avoided.

use std::time::Duration;
use topazmount_types::Time;

/// Half-life of an observed response.
const HALF_LIFE: Duration = Duration::from_secs(5);
/// Weighted responses from which on a replica counts in the median.
const MIN_RESPONSES: f64 = 2.0;
/// Standard deviations by which an error rate must exceed the limit.
const DEVIATIONS: f64 = 2.0;
/// An error rate is exceptional beyond the median times the factor plus the margin.
const FACTOR: f64 = 2.0;
const MARGIN: f64 = 0.1;
/// Probability that so many errors in a row are chance, from which on they show something.
const SIGNIFICANCE: f64 = 0.001;
/// Responses and errors among them that are assumed before any is known.
const PRIOR_RESPONSES: f64 = 4.0;
const PRIOR_ERRORS: f64 = 1.0;
/// Time for which a replica is avoided at first; doubled each time, until it has responded well.
const MIN_AVOIDANCE: Duration = Duration::from_secs(1);
const MAX_AVOIDANCE: Duration = Duration::from_secs(4);

/// A replica's responses, weighted by their age.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(super) struct ErrorRate {
    responses: f64,
    errors: f64,
    at: Time,
    /// How often it was avoided since it last responded well.
    avoidances: u32,
    avoided_until: Time,
}

impl ErrorRate {
    /// Records a response.
    pub(super) fn record(&mut self, is_error: bool, now: Time) {
        let age = now.since(self.at).as_secs_f64() / HALF_LIFE.as_secs_f64();
        let weight = 0.5f64.powf(age);
        self.responses = self.responses * weight + 1.0;
        self.errors = self.errors * weight + if is_error { 1.0 } else { 0.0 };
        self.at = now;
    }

    /// Share of errors, if there are enough responses.
    pub(super) fn rate(&self) -> Option<f64> {
        (self.responses >= MIN_RESPONSES).then(|| self.errors / self.responses)
    }

    /// Weighted responses and errors.
    pub(super) fn counts(&self) -> (f64, f64) {
        (self.responses, self.errors)
    }

    /// Whether the share of errors exceeds the median of the service by more than chance.
    fn is_exceptional(&self, median: f64) -> bool {
        let Some(rate) = self.rate() else { return false };
        let deviation = (self.errors * (1.0 - rate) + 1.0).sqrt();
        let least = (self.errors - DEVIATIONS * deviation) / self.responses;
        least > median * FACTOR + MARGIN
    }

    /// Avoids the replica for a while if its share of errors is exceptional, which is returned.
    /// Responses to requests from before the avoidance don't prolong it.
    pub(super) fn avoid_if_exceptional(&mut self, median: f64, now: Time) -> Option<f64> {
        if now < self.avoided_until || !self.is_exceptional(median) {
            return None;
        }
        let time = MIN_AVOIDANCE.saturating_mul(1 << self.avoidances.min(8));
        self.avoidances += 1;
        self.avoided_until = now + time.min(MAX_AVOIDANCE);
        self.rate()
    }

    /// Records a response without error. Returns whether the replica was avoided until then.
    pub(super) fn on_success(&mut self, now: Time) -> bool {
        self.record(false, now);
        let was_avoided = self.avoidances > 0;
        if was_avoided {
            // What it answered before it was repaired says little.
            *self = ErrorRate { at: now, ..ErrorRate::default() };
        }
        was_avoided
    }

    /// Whether requests go to other replicas. One after another is sent there from the end of the
    /// avoidance until it responds well.
    pub(super) fn is_avoided(&self, in_flight: u32, now: Time) -> bool {
        now < self.avoided_until || self.avoidances > 0 && in_flight > 0
    }
}

/// Median error rate of a service's replicas; `None` if too few have responded.
pub(super) fn median(rates: impl Iterator<Item = f64>) -> Option<f64> {
    let mut rates: Vec<f64> = rates.collect();
    rates.sort_by(f64::total_cmp);
    let middle = rates.len().checked_sub(1)? / 2;
    rates.get(middle).copied()
}

/// Errors in a row that are more than chance where all replicas of a service together gave these
/// counts of responses and errors.
pub(super) fn significant_errors(counts: impl Iterator<Item = (f64, f64)>) -> u32 {
    let (responses, errors) = counts
        .fold((PRIOR_RESPONSES, PRIOR_ERRORS), |sum, counts| (sum.0 + counts.0, sum.1 + counts.1));
    // The prior keeps the share below 1.
    (SIGNIFICANCE.ln() / (errors / responses).ln()).ceil() as u32
}
