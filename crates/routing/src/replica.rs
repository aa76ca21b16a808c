//! State of a replica as known to a node.

use serde::{Deserialize, Serialize};
use std::time::Duration;
use topazmount_admission::{Breaker, BreakerSettings, BreakerState, PushbackSettings};
use topazmount_types::{Incarnation, ModelId, ReplicaId, Time, WeightsVersion, ZoneId};

/// Cache retention assumed before the first observed eviction.
const INITIAL_RETENTION: Duration = Duration::from_secs(60);
/// How long a replica is skipped after it refused a weights version.
const WEIGHTS_RETRY_DELAY: Duration = Duration::from_millis(500);

/// A replica as declared in the configuration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReplicaDescription {
    /// Identifier.
    pub id: ReplicaId,
    /// Zone.
    pub zone: ZoneId,
    /// Models that it serves.
    pub models: Vec<ModelId>,
}

/// Load that an engine reports with each response.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Requests in the running batch.
    pub running: u32,
    /// Requests waiting for the batch.
    pub waiting: u32,
    /// Prompt tokens of running and waiting requests that are not computed yet.
    pub waiting_tokens: u32,
}

/// Whether a replica accepts new requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ReplicaStatus {
    /// It accepts requests.
    Live,
    /// It finishes its requests and accepts no new ones.
    Leaving,
}

/// State of a replica as known to a node.
#[derive(Clone, Debug)]
pub struct ReplicaState {
    /// Declaration.
    pub description: ReplicaDescription,
    /// Newest known incarnation.
    pub incarnation: Option<Incarnation>,
    /// Incarnation that is leaving; a later one may serve again. `Some(None)` when it was leaving
    /// before its incarnation was known.
    pub leaving: Option<Option<Incarnation>>,
    /// Requests that this node has in flight there.
    pub in_flight: u32,
    /// Uncached prompt tokens of this node's requests there that have no first token yet.
    pub pending_prefill: u32,
    /// Latest load report.
    pub load: LoadReport,
    /// When the load report was received.
    pub load_received_at: Option<Time>,
    /// This node's pending prefill when the load report was received, which includes it.
    pub pending_prefill_at_load: u32,
    /// Age up to which blocks are expected to remain cached.
    pub retention: Duration,
    /// Circuit breaker.
    pub breaker: Breaker,
    /// Weights version that it refused, and until when it is skipped for that version.
    pub refused_weights: Option<(WeightsVersion, Time)>,
    /// Until when the current incarnation asked this node to back off.
    pub backoff_until: Time,
}

impl ReplicaState {
    /// Initial state of a replica.
    pub fn new(description: ReplicaDescription) -> Self {
        ReplicaState {
            description,
            incarnation: None,
            leaving: None,
            in_flight: 0,
            pending_prefill: 0,
            load: LoadReport::default(),
            load_received_at: None,
            pending_prefill_at_load: 0,
            retention: INITIAL_RETENTION,
            breaker: Breaker::default(),
            refused_weights: None,
            backoff_until: Time::ZERO,
        }
    }

    /// Whether new requests for this weights version may be sent to it.
    pub fn is_available(&self, weights: WeightsVersion, now: Time) -> bool {
        let has_refused =
            self.refused_weights.is_some_and(|(refused, until)| refused == weights && now < until);
        self.leaving.is_none()
            && !has_refused
            && now >= self.backoff_until
            && self.breaker.state(now) != BreakerState::Open
    }

    /// Records the incarnation of a response. A new one has an empty cache and is not leaving.
    /// Returns whether it replaced another incarnation.
    pub fn observe_incarnation(&mut self, incarnation: Incarnation) -> bool {
        if self.incarnation == Some(incarnation) {
            return false;
        }
        let was_known = self.incarnation.is_some();
        self.incarnation = Some(incarnation);
        if self.leaving.is_some_and(|leaving| leaving != Some(incarnation)) && was_known {
            self.leaving = None;
        }
        self.load_received_at = None;
        self.backoff_until = Time::ZERO;
        self.retention = INITIAL_RETENTION;
        was_known
    }

    /// Records that the current incarnation is leaving.
    pub fn mark_leaving(&mut self) {
        self.leaving = Some(self.incarnation);
    }

    /// Records that the replica asked for a backoff; the latest end applies.
    pub fn back_off(&mut self, time: Duration, now: Time) {
        let max = PushbackSettings::default().max_backoff;
        self.backoff_until = self.backoff_until.max(now + time.min(max));
    }

    /// Records a load report.
    pub fn observe_load(&mut self, load: LoadReport, now: Time) {
        self.load = load;
        self.load_received_at = Some(now);
        self.pending_prefill_at_load = self.pending_prefill;
    }

    /// Adjusts the expected retention after blocks of this age were found in the cache or not.
    pub fn observe_retention(&mut self, age: Duration, found: bool) {
        const SHRINK: f64 = 0.8;
        const GROW: f64 = 1.05;
        if found && age > self.retention {
            self.retention = age;
        } else if found {
            self.retention = self.retention.mul_f64(GROW).min(INITIAL_RETENTION);
        } else if age < self.retention {
            self.retention = self.retention.mul_f64(SHRINK).max(age / 2);
        }
    }

    /// Records that it refused a request because it has other weights.
    pub fn on_weights_refused(&mut self, weights: WeightsVersion, now: Time) {
        self.refused_weights = Some((weights, now + WEIGHTS_RETRY_DELAY));
    }

    /// Records a failure of the connection or of the replica.
    pub fn on_failure(&mut self, now: Time) {
        self.breaker.on_failure(now, &BreakerSettings::default());
    }

    /// Estimated prompt tokens waiting: the load report minus the work done since, plus this node's
    /// own tokens. `rate` is the prefill rate in tokens per second.
    pub fn waiting_tokens(&self, now: Time, rate: f64) -> f64 {
        let own = f64::from(self.pending_prefill);
        let Some(received_at) = self.load_received_at else { return own };
        let drained = now.since(received_at).as_secs_f64() * rate;
        let reported = f64::from(self.load.waiting_tokens);
        let others = (reported - f64::from(self.pending_prefill_at_load) - drained).max(0.0);
        others + own
    }
}
