//! A node's records of one replica.

use super::error_rates::ErrorRate;
use super::fleet_failures::FleetFailures;
use super::places::Share;
use super::{ChoiceRequest, DOWNGRADE_PAUSE, ReplicaChange, ReplicaChanges, VersionRefusal};
use std::cell::Cell;
use std::collections::HashMap;
use std::time::Duration;
use topazmount_consensus::Term;
use topazmount_control::{Availability, InstanceStatus, LoadedModel};
use topazmount_types::{Incarnation, Instance, ReplicaId, SoftwareId, Start, Time};

/// Weight of a new observation in a replica's smoothed delay.
const DELAY_GAIN: f64 = 0.4;
/// Half-life of an observed delay.
const DELAY_HALF_LIFE: Duration = Duration::from_millis(700);
/// Time for which a replica is avoided after a first failure; doubled with each further one.
const MIN_SUSPICION: Duration = Duration::from_millis(500);
/// Longest time for which a replica is avoided after a failure.
const MAX_SUSPICION: Duration = Duration::from_secs(4);
/// Failures without a success between them after which a replica gets one request at a time.
const FAILURES_IN_A_ROW: u32 = 2;
/// Age after which another node's load update is ignored.
const MAX_PEER_LOAD_AGE: Duration = Duration::from_secs(3);

/// Load of another node at a replica.
#[derive(Clone, Copy, Debug)]
struct PeerLoad {
    pending_prefill: u64,
    in_flight: u32,
    at: Time,
}

#[derive(Clone, Debug)]
pub(super) struct Replica {
    pub(super) instance: Instance,
    /// Its software.
    pub(super) software: SoftwareId,
    /// Name of this incarnation.
    pub(super) name: String,
    /// Identifies the incarnation among nodes, so that updates about an earlier one are ignored.
    pub(super) incarnation_id: ReplicaId,
    /// Position in home orders and shards. It depends on the replica's identifier alone, so that a
    /// restart moves no prompt or shard.
    pub(super) stable_id: ReplicaId,
    /// Number of this incarnation at this node; never reused.
    pub(super) slot: u32,
    /// This node's requests in flight.
    pub(super) in_flight: u32,
    /// Prompt tokens of this node's requests without a first token.
    pub(super) pending_prefill: u64,
    pub(super) availability: Availability,
    pub(super) models: Vec<LoadedModel>,
    /// Latest correction that replaced its models.
    pub(super) correction: (Term, u32),
    /// Time until which it gets no request for a model, as it had older weights than recorded.
    pub(super) downgraded_until: Time,
    /// Start of the previous incarnation, and whether that one was draining.
    pub(super) previous: Option<(Start, bool)>,
    /// Time at which anything was last received from it.
    pub(super) last_response_at: Time,
    peers: HashMap<u64, PeerLoad>,
    failures: u32,
    suspect_until: Time,
    pub(super) error_rate: ErrorRate,
    pub(super) fleet_failures: FleetFailures,
    /// This gateway's share of its slots, if it is or may be overload-prone.
    pub(super) share: Cell<Option<Share>>,
    /// Until when it gets no request, as it is overload-prone and rejected one.
    pub(super) rejected_until: Time,
    /// Smoothed delay of first tokens beyond the expected time, and when it was recorded.
    delay_ms: f64,
    delay_at: Time,
}

impl Replica {
    pub(super) fn new(instance: Instance, slot: u32) -> Self {
        let name = instance.incarnation_name();
        Replica {
            incarnation_id: ReplicaId::from_name(&name),
            stable_id: ReplicaId::from_name(&instance.id),
            software: SoftwareId::of(&instance),
            name,
            instance,
            slot,
            in_flight: 0,
            pending_prefill: 0,
            availability: Availability::Available,
            models: Vec::new(),
            correction: (0, 0),
            downgraded_until: Time::ZERO,
            previous: None,
            last_response_at: Time::ZERO,
            peers: HashMap::new(),
            failures: 0,
            suspect_until: Time::ZERO,
            error_rate: ErrorRate::default(),
            fleet_failures: FleetFailures::default(),
            share: Cell::default(),
            rejected_until: Time::ZERO,
            delay_ms: 0.0,
            delay_at: Time::ZERO,
        }
    }

    /// Prompt tokens that wait there, over all nodes with recent updates.
    pub(super) fn waiting_tokens(&self, now: Time) -> u64 {
        let others = self.peers.values().filter(|load| now < load.at + MAX_PEER_LOAD_AGE);
        self.pending_prefill + others.map(|load| load.pending_prefill).sum::<u64>()
    }

    /// Requests in flight there, over all nodes with recent updates.
    pub(super) fn all_in_flight(&self, now: Time) -> u32 {
        let others = self.peers.values().filter(|load| now < load.at + MAX_PEER_LOAD_AGE);
        self.in_flight + others.map(|load| load.in_flight).sum::<u32>()
    }

    /// Share of its slots in use, over all nodes with recent updates; 1 if it has no slots.
    pub(super) fn slot_utilization(&self, now: Time) -> f64 {
        match self.instance.slots {
            0 => 1.0,
            slots => f64::from(self.all_in_flight(now)) / f64::from(slots),
        }
    }

    pub(super) fn record_peer_load(
        &mut self,
        peer: u64,
        pending_prefill: u64,
        in_flight: u32,
        at: Time,
    ) {
        if in_flight == 0 {
            self.peers.remove(&peer);
            return;
        }
        self.peers.insert(peer, PeerLoad { pending_prefill, in_flight, at });
        self.peers.retain(|_, load| at < load.at + MAX_PEER_LOAD_AGE);
    }

    pub(super) fn delay_ms(&self, now: Time) -> f64 {
        let age = now.since(self.delay_at).as_secs_f64() / DELAY_HALF_LIFE.as_secs_f64();
        self.delay_ms * 0.5f64.powf(age)
    }

    pub(super) fn record_delay(&mut self, delay_ms: f64, now: Time) {
        let smoothed_ms = self.delay_ms(now);
        self.delay_ms = smoothed_ms + DELAY_GAIN * (delay_ms - smoothed_ms);
        self.delay_at = now;
    }

    pub(super) fn version(&self, model: Option<&str>) -> Option<u32> {
        let model = model?;
        self.models.iter().find(|loaded| loaded.model == model).map(|loaded| loaded.version)
    }

    /// Records a version that may be late information: the weights are at least as new.
    pub(super) fn record_version(&mut self, model: &str, version: u32) {
        match self.models.iter_mut().find(|loaded| loaded.model == model) {
            Some(known) => known.version = known.version.max(version),
            None => self.models.push(LoadedModel { model: model.to_owned(), version }),
        }
    }

    pub(super) fn forget_version(&mut self, model: &str) {
        self.models.retain(|loaded| loaded.model != model);
    }

    /// Applies the leader's status of this incarnation. Returns the downgrades that it reveals.
    pub(super) fn apply_status(&mut self, status: &InstanceStatus) -> ReplicaChanges {
        self.availability = status.availability;
        self.downgraded_until = Time::ZERO;
        if status.correction <= self.correction {
            for loaded in &status.models {
                self.record_version(&loaded.model, loaded.version);
            }
            return ReplicaChanges::new();
        }
        self.correction = status.correction;
        let before = std::mem::replace(&mut self.models, status.models.clone());
        let downgrade = |known: &LoadedModel| {
            let reported = self.version(Some(&known.model));
            (reported < Some(known.version)).then(|| self.downgrade_from(known, reported))
        };
        before.iter().filter_map(downgrade).collect()
    }

    /// Handles its refusal of the required version, and the version that it reports, if any.
    pub(super) fn on_version_refused(
        &mut self,
        required: LoadedModel,
        reported: Option<u32>,
        published: Option<u32>,
        now: Time,
    ) -> VersionRefusal {
        let (model, expected) = (&required.model, required.version);
        match reported {
            Some(reported) if reported == expected => return VersionRefusal::Unexplained,
            Some(reported) if reported > expected => {
                self.record_version(model, reported);
                return VersionRefusal::RetrySame;
            }
            // The published version remains to be tried, or no version if none was published.
            None if published.is_none_or(|published| published > expected) => {
                self.forget_version(model);
                return VersionRefusal::RetrySame;
            }
            _ => {}
        }
        self.forget_version(model);
        if let Some(reported) = reported {
            self.record_version(model, reported);
        }
        self.downgraded_until = now + DOWNGRADE_PAUSE;
        VersionRefusal::Downgraded(self.downgrade_from(&required, reported))
    }

    /// The change to report when it has older weights than recorded.
    fn downgrade_from(&self, recorded: &LoadedModel, reported: Option<u32>) -> ReplicaChange {
        ReplicaChange::Downgraded {
            id: self.instance.id.clone(),
            start: self.instance.start,
            model: recorded.model.clone(),
            recorded: recorded.version,
            reported,
        }
    }

    /// Whether it may be sent a request, apart from recent failures and pushback.
    pub(super) fn accepts(&self, request: &ChoiceRequest<'_>) -> bool {
        !self.instance.is_draining
            && self.availability != Availability::Excluded
            && !request.tried.contains(&self.name)
            && request.pinned_to.is_none_or(|name| *name == self.name)
            && request.software.is_none_or(|software| software == self.software)
    }

    /// Whether it recently turned out to have older weights than recorded, for requests that name a
    /// model.
    pub(super) fn is_downgraded(&self, request: &ChoiceRequest<'_>, now: Time) -> bool {
        request.model.is_some() && now < self.downgraded_until
    }

    /// Whether other replicas may fetch parts from it. A paused one still has its cache.
    pub(super) fn can_transfer(&self) -> bool {
        self.availability != Availability::Excluded
    }

    /// Incarnation with these weights, which its cache contents belong to.
    pub(super) fn incarnation(&self, version: u32) -> Incarnation {
        Incarnation((u64::from(self.slot) << 32) | u64::from(version))
    }

    /// Whether it failed lately. After failures in a row it gets one request after another until one
    /// succeeds.
    pub(super) fn is_suspect(&self, now: Time) -> bool {
        now < self.suspect_until || self.failures >= FAILURES_IN_A_ROW && self.in_flight > 0
    }

    /// Whether its last request did not fail.
    pub(super) fn has_no_failures(&self, now: Time) -> bool {
        self.failures == 0 && now >= self.suspect_until
    }

    /// Whether it answers with errors more often than others.
    pub(super) fn is_erring(&self, now: Time) -> bool {
        self.error_rate.is_avoided(self.in_flight, now)
    }

    /// Returns whether it was avoided for its errors until now.
    pub(super) fn record_success(&mut self, now: Time) -> bool {
        self.last_response_at = now;
        self.failures = 0;
        self.suspect_until = Time::ZERO;
        self.error_rate.on_success(now)
    }

    pub(super) fn record_failure(&mut self, now: Time) {
        let wait = MIN_SUSPICION.saturating_mul(1 << self.failures.min(8));
        self.failures += 1;
        self.suspect_until = now + wait.min(MAX_SUSPICION);
    }

    /// Lets one request at a time find out whether it works again.
    pub(super) fn allow_trial(&mut self, now: Time) {
        self.failures = self.failures.max(FAILURES_IN_A_ROW);
        self.suspect_until = self.suspect_until.min(now);
    }

    /// Records a failure that another node reported. Only the shortest suspicion follows, as that
    /// node's network may be at fault.
    pub(super) fn record_remote_failure(&mut self, now: Time) {
        self.suspect_until = self.suspect_until.max(now + MIN_SUSPICION);
    }

    pub(super) fn record_address_reused(&mut self, now: Time) {
        self.failures += 1;
        self.suspect_until = now + MAX_SUSPICION;
    }
}
