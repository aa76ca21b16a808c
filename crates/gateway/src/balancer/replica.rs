//! What a node knows of one replica.

use super::{ChoiceRequest, ReplicaChange};
use std::collections::HashMap;
use std::time::Duration;
use topazmount_consensus::Term;
use topazmount_control::{Availability, LoadedModel};
use topazmount_types::{Incarnation, Instance, ReplicaId, Start, Time};

/// Weight of a new observation in a replica's smoothed delay.
const DELAY_GAIN: f64 = 0.4;
/// Time after which an observed delay counts half.
const DELAY_HALF_LIFE: Duration = Duration::from_millis(700);
/// First time for which a replica that failed is passed over; doubled with each further failure.
const FIRST_SUSPICION: Duration = Duration::from_millis(500);
/// Longest such time.
const LONGEST_SUSPICION: Duration = Duration::from_secs(4);
/// Age after which another node's word on its load counts nothing.
const PEER_LOAD_AGE: Duration = Duration::from_secs(3);

/// What another node has under way at a replica.
#[derive(Clone, Copy, Debug)]
struct PeerLoad {
    pending_prefill: u64,
    in_flight: u32,
    at: Time,
}

#[derive(Clone, Debug)]
pub(super) struct Replica {
    pub(super) instance: Instance,
    /// Name of this incarnation.
    pub(super) name: String,
    /// Its name among nodes, which number replicas differently. It names the incarnation, so that word of an earlier one
    /// counts nothing for this one.
    pub(super) key: ReplicaId,
    /// What it is where prompts and shards find their replicas: by the identifier alone, so that a restart, which changes
    /// nothing of where it stands, moves no prompt and no shard, and nodes that have not heard of it yet agree.
    pub(super) place: ReplicaId,
    /// Number of this incarnation here; never used again.
    pub(super) slot: u32,
    /// This node's requests there.
    pub(super) in_flight: u32,
    /// Prompt tokens of this node's requests there that have no first token yet.
    pub(super) pending_prefill: u64,
    pub(super) availability: Availability,
    pub(super) models: Vec<LoadedModel>,
    /// The latest correction by which its models were replaced.
    pub(super) correction: (Term, u32),
    /// Until when no request for a model goes there: it was found to hold older weights than was believed.
    pub(super) went_back_until: Time,
    /// The incarnation before it under its identifier, and whether that had said that it leaves.
    pub(super) earlier: Option<(Start, bool)>,
    /// When anything was last received from it.
    pub(super) heard_at: Time,
    peers: HashMap<u64, PeerLoad>,
    failures: u32,
    suspect_until: Time,
    /// Smoothed time by which first tokens came later than expected, and when that was noted.
    delay_ms: f64,
    delay_at: Time,
}

impl Replica {
    pub(super) fn new(instance: Instance, slot: u32) -> Self {
        let name = instance.incarnation_name();
        Replica {
            key: ReplicaId::from_name(&name),
            place: ReplicaId::from_name(&instance.id),
            name,
            instance,
            slot,
            in_flight: 0,
            pending_prefill: 0,
            availability: Availability::Available,
            models: Vec::new(),
            correction: (0, 0),
            went_back_until: Time::ZERO,
            earlier: None,
            heard_at: Time::ZERO,
            peers: HashMap::new(),
            failures: 0,
            suspect_until: Time::ZERO,
            delay_ms: 0.0,
            delay_at: Time::ZERO,
        }
    }

    /// Prompt tokens that wait there, of all nodes that told of theirs.
    pub(super) fn waiting_tokens(&self, now: Time) -> u64 {
        let others = self.peers.values().filter(|load| now < load.at + PEER_LOAD_AGE);
        self.pending_prefill + others.map(|load| load.pending_prefill).sum::<u64>()
    }

    /// Requests there, of all nodes that told of theirs.
    pub(super) fn all_in_flight(&self, now: Time) -> u32 {
        let others = self.peers.values().filter(|load| now < load.at + PEER_LOAD_AGE);
        self.in_flight + others.map(|load| load.in_flight).sum::<u32>()
    }

    /// Part of its places that requests take, of all nodes that told of theirs; one that names no places counts as full.
    pub(super) fn taken_share(&self, now: Time) -> f64 {
        match self.instance.slots {
            0 => 1.0,
            slots => f64::from(self.all_in_flight(now)) / f64::from(slots),
        }
    }

    pub(super) fn note_peer(&mut self, peer: u64, pending_prefill: u64, in_flight: u32, at: Time) {
        if in_flight == 0 {
            self.peers.remove(&peer);
            return;
        }
        self.peers.insert(peer, PeerLoad { pending_prefill, in_flight, at });
        self.peers.retain(|_, load| at < load.at + PEER_LOAD_AGE);
    }

    pub(super) fn delay_ms(&self, now: Time) -> f64 {
        let age = now.since(self.delay_at).as_secs_f64() / DELAY_HALF_LIFE.as_secs_f64();
        self.delay_ms * 0.5f64.powf(age)
    }

    pub(super) fn note_delay(&mut self, delay_ms: f64, now: Time) {
        let before = self.delay_ms(now);
        self.delay_ms = before + DELAY_GAIN * (delay_ms - before);
        self.delay_at = now;
    }

    pub(super) fn version(&self, model: Option<&str>) -> Option<u32> {
        let model = model?;
        self.models.iter().find(|one| one.model == model).map(|one| one.version)
    }

    /// Takes word that may be late: it says that the weights are as new as that at least.
    pub(super) fn note_version(&mut self, model: &str, version: u32) {
        match self.models.iter_mut().find(|one| one.model == model) {
            Some(known) => known.version = known.version.max(version),
            None => self.models.push(LoadedModel { model: model.to_owned(), version }),
        }
    }

    pub(super) fn forget_version(&mut self, model: &str) {
        self.models.retain(|loaded| loaded.model != model);
    }

    /// What is told where it holds older weights than was believed.
    pub(super) fn went_back_from(&self, before: &LoadedModel, said: Option<u32>) -> ReplicaChange {
        ReplicaChange::Downgraded {
            id: self.instance.id.clone(),
            start: self.instance.start,
            model: before.model.clone(),
            recorded: before.version,
            reported: said,
        }
    }

    /// Whether it may be sent a request, as far as anybody but the request's own failures says.
    pub(super) fn may_take(&self, request: &ChoiceRequest<'_>) -> bool {
        !self.instance.is_draining
            && self.availability != Availability::Excluded
            && !request.tried.contains(&self.name)
            && request.pinned_to.is_none_or(|name| *name == self.name)
    }

    /// Whether it holds older weights than was believed, as a request found that names a model.
    pub(super) fn went_back(&self, request: &ChoiceRequest<'_>, now: Time) -> bool {
        request.model.is_some() && now < self.went_back_until
    }

    /// Whether others may take parts of prompts from it. One that is about to load still holds what
    /// it read; once it loads, taking from it fails quickly.
    pub(super) fn may_give(&self) -> bool {
        self.availability != Availability::Excluded
    }

    /// What its cache belongs to: this incarnation, with these weights.
    pub(super) fn incarnation(&self, version: u32) -> Incarnation {
        Incarnation((u64::from(self.slot) << 32) | u64::from(version))
    }

    pub(super) fn is_suspect(&self, now: Time) -> bool {
        now < self.suspect_until
    }

    pub(super) fn note_success(&mut self, now: Time) {
        self.heard_at = now;
        self.failures = 0;
        self.suspect_until = Time::ZERO;
    }

    pub(super) fn note_failure(&mut self, now: Time) {
        let wait = FIRST_SUSPICION.saturating_mul(1 << self.failures.min(8));
        self.failures += 1;
        self.suspect_until = now + wait.min(LONGEST_SUSPICION);
    }

    /// Takes another node's word that it failed there: that node may be the one that is cut off, so
    /// that only the shortest suspicion follows.
    pub(super) fn note_failure_elsewhere(&mut self, now: Time) {
        self.suspect_until = self.suspect_until.max(now + FIRST_SUSPICION);
    }

    pub(super) fn note_replaced(&mut self, now: Time) {
        self.failures += 1;
        self.suspect_until = now + LONGEST_SUSPICION;
    }
}
