//! Replicated state of the fleet.

use super::crashes::{CrashLedger, CrashReport};
use super::pieces::end_of_piece;
use serde::{Deserialize, Serialize};
use std::cmp::Ordering;
use std::collections::BTreeMap;
use topazmount_types::{Instance, InstanceId, Start, Time};

/// Removed replicas that are remembered.
const KEPT_REMOVALS: usize = 4_096;

/// The catalog as the operator sent it; its format is the dialect's.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Document {
    /// Version, chosen by the operator. The highest is in force.
    pub version: u64,
    /// The text.
    #[serde(with = "serde_bytes")]
    pub bytes: Vec<u8>,
    /// Services that it declares.
    #[serde(default)]
    pub services: Vec<String>,
}

/// A replica that is no longer registered.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RemovedInstance {
    /// Replica.
    pub id: InstanceId,
    /// Whether it had said that it leaves. Otherwise it fell silent, or its next life is at its address.
    pub was_announced: bool,
    /// Its last incarnation.
    #[serde(default)]
    pub start: Start,
}

/// Changes of the list of replicas.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReplicaChanges {
    /// Replicas that are new or have changed.
    pub changed: Vec<Instance>,
    /// Replicas that are gone.
    pub removed: Vec<RemovedInstance>,
    /// Whether `changed` begins the whole list anew.
    pub is_full: bool,
    /// Revision of the list after them.
    pub revision: u64,
}

/// A change to the fleet.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum FleetCommand {
    /// Puts a document in force if its version is higher than the one held.
    PutDocument(Document),
    /// Adds a replica, or changes what is known of it.
    Register(Instance),
    /// Removes a replica that said that it leaves, whichever incarnation is known: this one never comes back.
    Depart(InstanceId),
    /// Removes a replica that fell silent, whichever incarnation is known; it may come back.
    Expire(InstanceId),
    /// Removes an incarnation that said that it leaves. A later one stays, or may come.
    #[serde(rename = "Leave")]
    DeregisterIncarnation(InstanceId, Start),
    /// Removes an incarnation that fell silent; it may come back. A later one stays.
    #[serde(rename = "FallSilent")]
    ExpireIncarnation(InstanceId, Start),
    /// Names a version of a model's weights.
    #[serde(rename = "NameWeights")]
    PublishWeights {
        /// Model.
        model: String,
        /// Version.
        version: u32,
    },
    /// Older versions of a model's weights than this one may not begin on requests any more: its bound is over.
    RetireWeights {
        /// Model.
        model: String,
        /// Oldest version that may begin.
        version: u32,
    },
    /// Takes what gateways saw of crashes.
    #[serde(rename = "NoteCrashes")]
    RecordCrashes {
        /// The leader's clock. It is not kept from going back, as that of the ledger of calls is: only
        /// times between crashes count, and a clock that stands still would make them one.
        at: Time,
        /// What they saw.
        #[serde(rename = "notes")]
        report: CrashReport,
    },
    /// Lets the time of blocks and suspicions end.
    #[serde(rename = "ForgetCrashes")]
    ExpireCrashes {
        /// The leader's clock.
        at: Time,
    },
}

impl FleetCommand {
    /// The same of whichever incarnation is known, for members that know nothing of incarnations.
    pub(crate) fn without_incarnation(self) -> Self {
        match self {
            FleetCommand::DeregisterIncarnation(id, _) => FleetCommand::Depart(id),
            FleetCommand::ExpireIncarnation(id, _) => FleetCommand::Expire(id),
            same => same,
        }
    }
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Removal {
    revision: u64,
    is_final: bool,
    /// Where it was; empty if it was never known.
    #[serde(default)]
    address: String,
    /// Whether it had said that it leaves.
    #[serde(default)]
    was_announced: bool,
    /// Its last incarnation.
    #[serde(default)]
    start: Start,
}

/// What a replica's word of itself is to the registry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RegistrationStatus {
    /// It changes what is registered.
    New,
    /// It says what is registered.
    Unchanged,
    /// It is of an incarnation that left, or that a later one, or another replica at its address, has replaced.
    Superseded,
    /// Nobody who speaks for a replica says this.
    Conflict(RegistrationConflict),
}

/// Why word under a replica's identifier can't be that replica's.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RegistrationConflict {
    /// It names a service that is not declared, and would end a replica of one that is.
    UndeclaredService,
    /// It names another service or address than the same incarnation before.
    #[serde(rename = "OtherPlace")]
    MovedAddress,
}

impl RegistrationConflict {
    /// Name in answers and logs.
    pub fn name(self) -> &'static str {
        match self {
            RegistrationConflict::UndeclaredService => "undeclared_service",
            RegistrationConflict::MovedAddress => "other_place",
        }
    }
}

/// Replicated state. Invariants: the document's version and each model's version only rise; a
/// draining incarnation never counts as ready again; an incarnation that left, or whose address was taken
/// over, or that a later one has replaced, never comes back; nothing of an earlier one is kept for a later one.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct FleetState {
    document: Option<Document>,
    revision: u64,
    instances: BTreeMap<InstanceId, Instance>,
    removals: BTreeMap<InstanceId, Removal>,
    /// Removals up to this revision may have been forgotten.
    forgotten_to: u64,
    weights: BTreeMap<String, u32>,
    #[serde(default)]
    crashes: CrashLedger,
    /// Oldest version of each model's weights that may begin on requests. It outlasts the leader that counted the bound.
    #[serde(default)]
    oldest_weights: BTreeMap<String, u32>,
}

impl FleetState {
    /// Newest document.
    pub fn document(&self) -> Option<&Document> {
        self.document.as_ref()
    }

    /// Version of the newest document; 0 where there is none.
    pub fn document_version(&self) -> u64 {
        self.document.as_ref().map_or(0, |document| document.version)
    }

    /// Counts changes to replicas.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Registered replicas.
    pub fn instances(&self) -> &BTreeMap<InstanceId, Instance> {
        &self.instances
    }

    /// Newest version named for each model.
    pub fn weights(&self) -> &BTreeMap<String, u32> {
        &self.weights
    }

    /// Oldest version of each model's weights that may still begin on requests, where the bound of one is over.
    pub fn oldest_weights(&self) -> &BTreeMap<String, u32> {
        &self.oldest_weights
    }

    /// Requests under which replicas crash.
    pub fn crashes(&self) -> &CrashLedger {
        &self.crashes
    }

    /// Whether a registration would change anything.
    pub fn would_register(&self, instance: &Instance) -> bool {
        self.registration_status(instance) == RegistrationStatus::New
    }

    /// What a replica's word of itself is to what is registered, in whichever order word comes in.
    pub fn registration_status(&self, said: &Instance) -> RegistrationStatus {
        if self.has_left(&said.id, said.start) && !self.is_moved(said) {
            return RegistrationStatus::Superseded;
        }
        if let Some(cause) = self.foreign_cause(said) {
            return RegistrationStatus::Conflict(cause);
        }
        let Some(known) = self.instances.get(&said.id) else {
            let is_late = self.is_of_an_earlier_life_there(said);
            return if is_late { RegistrationStatus::Superseded } else { RegistrationStatus::New };
        };
        if self.outranks(said, known) {
            return RegistrationStatus::New;
        }
        match said.start.cmp(&known.start) {
            Ordering::Less => RegistrationStatus::Superseded,
            Ordering::Greater => RegistrationStatus::New,
            Ordering::Equal if *known == merged(known, said.clone()) => {
                RegistrationStatus::Unchanged
            }
            Ordering::Equal => RegistrationStatus::New,
        }
    }

    /// Guards replicas against another writer's word under their identifier, or at their address. RegistrationStatus of a service
    /// that is not declared is no fault by itself: that of its replicas may come before the document that declares it.
    fn foreign_cause(&self, said: &Instance) -> Option<RegistrationConflict> {
        let ends = |known: &&Instance| known.id == said.id || known.address == said.address;
        let mut ended = self.instances.values().filter(ends);
        if !self.is_declared(&said.service) && ended.any(|known| self.is_declared(&known.service)) {
            return Some(RegistrationConflict::UndeclaredService);
        }
        let known = self.instances.get(&said.id)?;
        let is_same = known.start == said.start && said.start != Start::UNKNOWN;
        let is_elsewhere = known.service != said.service || known.address != said.address;
        let is_other = is_same && is_elsewhere && self.is_declared(&known.service);
        is_other.then_some(RegistrationConflict::MovedAddress)
    }

    /// Whether word under an identifier that is not known is of a replica that started before the one that has its address now: a heartbeat
    /// that a cut delayed beyond its sender's life. Taken for a newcomer it ended the one that is there for good. A newcomer
    /// whose clock was set back waits until the other one is silent, 5 s.
    fn is_of_an_earlier_life_there(&self, said: &Instance) -> bool {
        let is_later =
            |known: &&Instance| known.address == said.address && known.start > said.start;
        said.start != Start::UNKNOWN && self.instances.values().any(|known| is_later(&known))
    }

    /// Whether a replica's own word comes after another writer's under its identifier, whatever start that one named.
    fn outranks(&self, said: &Instance, known: &Instance) -> bool {
        self.is_declared(&said.service) && !self.is_declared(&known.service)
    }

    /// Whether the document declares a service; where it does not say, it may.
    fn is_declared(&self, service: &str) -> bool {
        let services = self.document.as_ref().map_or(&[][..], |document| &document.services);
        services.is_empty() || services.iter().any(|declared| declared == service)
    }

    /// Whether an incarnation left for good.
    pub fn has_left(&self, id: &str, start: Start) -> bool {
        self.removals.get(id).is_some_and(|removal| removal.is_final && start <= removal.start)
    }

    /// Whether word is of an incarnation that was never seen, although a later start under its identifier has gone for
    /// good: an incarnation has one address, so that this is no late word of it. Its clock has stepped back.
    fn is_moved(&self, said: &Instance) -> bool {
        let Some(removal) = self.removals.get(&said.id) else { return false };
        let is_elsewhere = !removal.address.is_empty() && removal.address != said.address;
        said.start != Start::UNKNOWN && said.start != removal.start && is_elsewhere
    }

    /// Whether a departure would change anything. One that names no incarnation means the one that is known.
    pub fn would_deregister(&self, id: &str, start: Start) -> bool {
        match self.instances.get(id) {
            Some(known) => start == Start::UNKNOWN || start >= known.start,
            None => !self.has_left(id, start),
        }
    }

    /// Replicas changed and removed after a revision; `true` stands for the whole list.
    pub fn changes_since(&self, revision: u64) -> (Vec<Instance>, Vec<RemovedInstance>, bool) {
        let changes = self.earliest_changes(revision, usize::MAX);
        (changes.changed, changes.removed, changes.is_full)
    }

    /// The earliest `most` changes after a revision, and the revision that they lead to. Removals that are forgotten are
    /// made good by a whole list, which goes at least as far as what is forgotten.
    pub fn earliest_changes(&self, revision: u64, most: usize) -> ReplicaChanges {
        let is_full = revision < self.forgotten_to || revision > self.revision;
        let since = if is_full { 0 } else { revision };
        let changed = || self.instances.values().filter(|one| one.changed_at > since || is_full);
        let is_later = |removal: &Removal| removal.revision > since && !is_full;
        let removed = || self.removals.iter().filter(|(_, removal)| is_later(removal));
        let all = changed().map(|one| one.changed_at);
        let all = all.chain(removed().map(|(_, removal)| removal.revision));
        let least = if is_full { self.forgotten_to } else { 0 };
        let end = end_of_piece(all, most).map_or(self.revision, |end| end.max(least));
        let removed = removed().filter(|(_, removal)| removal.revision <= end);
        let removed = removed.map(|(id, removal)| RemovedInstance {
            id: id.clone(),
            was_announced: removal.was_announced,
            start: removal.start,
        });
        let removed = removed.collect();
        let changed = changed().filter(|one| one.changed_at <= end).cloned().collect();
        ReplicaChanges { changed, removed, is_full, revision: end }
    }

    /// Applies one change.
    pub fn apply(&mut self, command: FleetCommand) {
        match command {
            FleetCommand::PutDocument(document) => {
                if document.version > self.document_version() {
                    self.document = Some(document);
                }
            }
            FleetCommand::Register(instance) => self.register(instance),
            FleetCommand::Depart(id) => self.leave(id, Start::UNKNOWN),
            FleetCommand::DeregisterIncarnation(id, start) => self.leave(id, start),
            FleetCommand::Expire(id) => self.fall_silent(id, None),
            FleetCommand::ExpireIncarnation(id, start) => self.fall_silent(id, Some(start)),
            FleetCommand::PublishWeights { model, version } => {
                let known = self.weights.entry(model).or_default();
                *known = version.max(*known);
            }
            FleetCommand::RetireWeights { model, version } => {
                let known = self.oldest_weights.entry(model).or_default();
                *known = version.max(*known);
            }
            FleetCommand::RecordCrashes { at, report: notes } => self.crashes.record(at, &notes),
            FleetCommand::ExpireCrashes { at } => self.crashes.expire(at),
        }
    }

    fn register(&mut self, instance: Instance) {
        if !self.would_register(&instance) {
            return;
        }
        // An address has one replica at a time: whoever had it before is gone, also who fell silent there. A
        // heartbeat of it that comes late would otherwise end the one that is there now, for good.
        // Not so another writer's word at the address of a replica that is silent for a while.
        let is_declared = self.is_declared(&instance.service);
        for removal in self.removals.values_mut() {
            removal.is_final |= is_declared && removal.address == instance.address;
        }
        self.removals.remove(&instance.id);
        let before = self
            .instances
            .values()
            .find(|other| other.address == instance.address && other.id != instance.id);
        if let Some((before, is_draining)) = before.map(|one| (one.id.clone(), one.is_draining)) {
            self.remove(before, true, is_draining);
        }
        self.revision += 1;
        let mut next = match self.instances.get(&instance.id) {
            Some(known) if known.start == instance.start && !self.outranks(&instance, known) => {
                merged(known, instance)
            }
            _ => instance,
        };
        next.changed_at = self.revision;
        self.instances.insert(next.id.clone(), next);
    }

    fn leave(&mut self, id: InstanceId, start: Start) {
        if self.would_deregister(&id, start) {
            let was_registered = self.instances.contains_key(&id);
            self.remove(id.clone(), true, true);
            // Who was registered has left; a start beyond it, which another writer may name, ends nobody else.
            if let Some(removal) = self.removals.get_mut(&id).filter(|_| !was_registered) {
                removal.start = removal.start.max(start);
            }
        }
    }

    /// A draining replica that falls silent has left.
    fn fall_silent(&mut self, id: InstanceId, start: Option<Start>) {
        let Some(known) = self.instances.get(&id) else { return };
        if start.is_none_or(|start| start == known.start) {
            let is_draining = known.is_draining;
            self.remove(id, is_draining, is_draining);
        }
    }

    fn remove(&mut self, id: InstanceId, is_final: bool, was_announced: bool) {
        let known = self.instances.remove(&id);
        if known.is_none() && !is_final {
            return;
        }
        self.revision += 1;
        let before = self.removals.get(&id).map(|removal| removal.start).unwrap_or_default();
        let start = known.as_ref().map_or(before, |known| known.start);
        let address = known.map(|known| known.address).unwrap_or_default();
        let revision = self.revision;
        self.removals.insert(id, Removal { revision, is_final, address, was_announced, start });
        if self.removals.len() > KEPT_REMOVALS {
            let oldest = self.removals.iter().min_by_key(|(_, removal)| removal.revision);
            if let Some((id, revision)) = oldest.map(|(id, removal)| (id.clone(), removal.revision))
            {
                self.removals.remove(&id);
                self.forgotten_to = revision;
            }
        }
    }
}

/// What a later report changes: everything but that a draining replica stays so.
fn merged(known: &Instance, reported: Instance) -> Instance {
    let is_draining = known.is_draining || reported.is_draining;
    Instance { is_draining, changed_at: known.changed_at, ..reported }
}
