//! What a node knows of one replica.

use serde::{Deserialize, Serialize};
use std::time::Duration;
use topazmount_admission::{Breaker, BreakerSettings, BreakerState, PushbackSettings};
use topazmount_types::{Incarnation, ModelId, ReplicaId, Time, WeightsVersion, ZoneId};

/// Retention assumed before an eviction was observed.
const INITIAL_RETENTION: Duration = Duration::from_secs(60);
/// A weights refusal counts this long; the replica may have loaded them since.
const WEIGHTS_RETRY: Duration = Duration::from_millis(500);

/// A replica as declared.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReplicaDescription {
    /// Identifier.
    pub id: ReplicaId,
    /// Zone.
    pub zone: ZoneId,
    /// Models that it serves.
    pub models: Vec<ModelId>,
}

/// Load as an engine reports it with each answer; it lags.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Requests in the running batch.
    pub running: u32,
    /// Requests waiting for a place in it.
    pub waiting: u32,
    /// Prompt tokens of running and waiting requests that are still to be computed.
    pub waiting_tokens: u32,
}

/// Evidence about whether a replica takes new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ReplicaStatus {
    /// It serves.
    Live,
    /// It finishes what it has and takes nothing new.
    Leaving,
}

/// State of a replica, as a node knows it.
#[derive(Clone, Debug)]
pub struct ReplicaState {
    /// As declared.
    pub description: ReplicaDescription,
    /// Newest incarnation heard of.
    pub incarnation: Option<Incarnation>,
    /// Incarnation that is leaving; a later one may serve again. `None` inside means that it left
    /// before its incarnation was known.
    pub leaving: Option<Option<Incarnation>>,
    /// Requests of this node in flight there.
    pub in_flight: u32,
    /// Uncached prompt tokens of this node's requests there that have no first token yet.
    pub pending_prefill: u32,
    /// Newest load report.
    pub load: LoadReport,
    /// When it came.
    pub load_received_at: Option<Time>,
    /// This node's pending prefill there when the report came, already counted in it.
    pub pending_prefill_at_load: u32,
    /// Age up to which cached blocks are usually still found.
    pub retention: Duration,
    /// Breaker.
    pub breaker: Breaker,
    /// Until when the replica is passed over for a weights version that it refused.
    pub refused_weights: Option<(WeightsVersion, Time)>,
    /// Until when its present incarnation wants nothing of this node.
    pub backoff_until: Time,
}

impl ReplicaState {
    /// A replica about which nothing is known yet.
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

    /// Whether new work may go there.
    pub fn is_available(&self, weights: WeightsVersion, now: Time) -> bool {
        let lacks =
            self.refused_weights.is_some_and(|(lacking, until)| lacking == weights && now < until);
        self.leaving.is_none()
            && !lacks
            && now >= self.backoff_until
            && self.breaker.state(now) != BreakerState::Open
    }

    /// Notes an incarnation. A new one starts with an empty cache and is not leaving. Returns
    /// whether it is new.
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

    /// Notes that the replica's present incarnation is leaving.
    pub fn mark_leaving(&mut self) {
        self.leaving = Some(self.incarnation);
    }

    /// Notes that it wants nothing for so long. The latest end that it names holds.
    pub fn back_off(&mut self, time: Duration, now: Time) {
        let longest = PushbackSettings::default().max_backoff;
        self.backoff_until = self.backoff_until.max(now + time.min(longest));
    }

    /// Notes a load report.
    pub fn observe_load(&mut self, load: LoadReport, now: Time) {
        self.load = load;
        self.load_received_at = Some(now);
        self.pending_prefill_at_load = self.pending_prefill;
    }

    /// Notes that blocks of this age were found, or were not.
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

    /// Notes that it refused because it has other weights.
    pub fn on_weights_refused(&mut self, weights: WeightsVersion, now: Time) {
        self.refused_weights = Some((weights, now + WEIGHTS_RETRY));
    }

    /// Notes a failure of the connection or of the replica.
    pub fn on_failure(&mut self, now: Time) {
        self.breaker.on_failure(now, &BreakerSettings::default());
    }

    /// Prompt tokens believed to wait there: the report, aged, and this node's own since then.
    /// `rate` is the prefill rate in tokens a second.
    pub fn waiting_tokens(&self, now: Time, rate: f64) -> f64 {
        let own = f64::from(self.pending_prefill);
        let Some(at) = self.load_received_at else { return own };
        let drained = now.since(at).as_secs_f64() * rate;
        let reported = f64::from(self.load.waiting_tokens);
        let others = (reported - f64::from(self.pending_prefill_at_load) - drained).max(0.0);
        others + own
    }
}
