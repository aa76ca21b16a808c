//! Replicated state of the fleet.

use super::batches::end_of_batch;
use super::crashes::{CrashLedger, CrashReport};
use super::instance_table::InstanceTable;
use serde::{Deserialize, Serialize};
use std::cmp::Ordering;
use std::collections::BTreeMap;
use std::time::Duration;
use topazmount_types::{Instance, InstanceId, Start, Time};

/// Maximum number of removed replicas that are remembered.
const MAX_REMOVALS: usize = 4_096;

/// The catalog as the operator sent it; the dialect defines its format.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Document {
    /// Version set by the operator; the highest is in force.
    pub version: u64,
    /// Content.
    #[serde(with = "serde_bytes")]
    pub bytes: Vec<u8>,
    /// Services that it declares.
    #[serde(default)]
    pub services: Vec<String>,
    /// Digest of the services that the routes of streams lead to, if it is known;
    /// [`Document::NO_STREAMS`] without such routes.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub routing: Option<u64>,
    /// Maximum time for a request for a stream, if it is known.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub longest_stream: Option<Duration>,
}

impl Document {
    /// [`Document::routing`] where no route is for streams.
    pub const NO_STREAMS: u64 = 0;
}

/// A replica that is no longer registered.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RemovedInstance {
    /// Replica.
    pub id: InstanceId,
    /// Whether it had announced its departure. Otherwise it timed out, or a later incarnation
    /// replaced it.
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
    /// Replicas that were removed.
    pub removed: Vec<RemovedInstance>,
    /// Whether `changed` is the start of the full list.
    pub is_full: bool,
    /// Revision of the list after these changes.
    pub revision: u64,
}

/// A change to the fleet.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum FleetCommand {
    /// Replaces the document if the version is higher.
    PutDocument(Document),
    /// Adds or updates a replica.
    Register(Instance),
    /// Removes any incarnation of a replica that announced its departure; the removal is final.
    Depart(InstanceId),
    /// Removes any incarnation of a replica that timed out; it may return.
    Expire(InstanceId),
    /// Removes an incarnation that announced its departure. Later incarnations are unaffected.
    #[serde(rename = "Leave")]
    DeregisterIncarnation(InstanceId, Start),
    /// Removes an incarnation that timed out; it may return. Later incarnations are unaffected.
    #[serde(rename = "FallSilent")]
    ExpireIncarnation(InstanceId, Start),
    /// Publishes a version of a model's weights.
    #[serde(rename = "NameWeights")]
    PublishWeights {
        /// Model.
        model: String,
        /// Version.
        version: u32,
    },
    /// Retires versions of a model's weights older than this one, whose deadline has passed.
    RetireWeights {
        /// Model.
        model: String,
        /// Oldest version on which requests may begin.
        version: u32,
    },
    /// Records crashes seen by gateways.
    #[serde(rename = "NoteCrashes")]
    RecordCrashes {
        /// The leader's clock. It may go backwards, unlike the ledger's time: only intervals
        /// between crashes matter.
        at: Time,
        /// Crashes and completed requests.
        #[serde(rename = "notes")]
        report: CrashReport,
    },
    /// Ends blocks and suspicions whose time has passed.
    #[serde(rename = "ForgetCrashes")]
    ExpireCrashes {
        /// The leader's clock.
        at: Time,
    },
}

impl FleetCommand {
    /// Converts to the command for any incarnation, for members that don't know incarnations.
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
    /// Its address; empty if unknown.
    #[serde(default)]
    address: String,
    /// Whether it had announced its departure.
    #[serde(default)]
    was_announced: bool,
    /// Its last incarnation.
    #[serde(default)]
    start: Start,
}

/// How a replica's report relates to the registry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RegistrationStatus {
    /// It changes the registry.
    New,
    /// It matches the registry.
    Unchanged,
    /// Its incarnation left, or was replaced by a later one or by another replica at its address.
    Superseded,
    /// It contradicts the registry, so it can't come from this replica.
    Conflict(RegistrationConflict),
}

/// Why a report contradicts the registry.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RegistrationConflict {
    /// Its service is not declared, and it would replace a replica of a declared one.
    UndeclaredService,
    /// Its service or address differs from that of the same incarnation.
    #[serde(rename = "OtherPlace")]
    MovedAddress,
}

impl RegistrationConflict {
    /// Name in responses and logs.
    pub fn name(self) -> &'static str {
        match self {
            RegistrationConflict::UndeclaredService => "undeclared_service",
            RegistrationConflict::MovedAddress => "other_place",
        }
    }
}

/// Replicated state. Invariants: versions of the document and of weights only rise; a draining
/// incarnation stays so; an incarnation that left, lost its address or was replaced never returns;
/// nothing known of an incarnation is applied to a later one.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct FleetState {
    document: Option<Document>,
    revision: u64,
    instances: InstanceTable,
    removals: BTreeMap<InstanceId, Removal>,
    /// Removals up to this revision may have been dropped.
    forgotten_to: u64,
    weights: BTreeMap<String, u32>,
    #[serde(default)]
    crashes: CrashLedger,
    /// Oldest version of each model's weights on which requests may begin; kept across leaders.
    #[serde(default)]
    oldest_weights: BTreeMap<String, u32>,
}

impl FleetState {
    /// Newest document.
    pub fn document(&self) -> Option<&Document> {
        self.document.as_ref()
    }

    /// Version of the newest document; 0 if there is none.
    pub fn document_version(&self) -> u64 {
        self.document.as_ref().map_or(0, |document| document.version)
    }

    /// Revision of the replica list.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Registered replicas.
    pub fn instances(&self) -> &BTreeMap<InstanceId, Instance> {
        self.instances.by_id()
    }

    /// Newest published version for each model.
    pub fn weights(&self) -> &BTreeMap<String, u32> {
        &self.weights
    }

    /// Oldest version of each model's weights on which requests may begin, if any was retired.
    pub fn oldest_weights(&self) -> &BTreeMap<String, u32> {
        &self.oldest_weights
    }

    /// Requests that crash replicas.
    pub fn crashes(&self) -> &CrashLedger {
        &self.crashes
    }

    /// Whether registering this replica would change the registry.
    pub fn would_register(&self, instance: &Instance) -> bool {
        self.registration_status(instance) == RegistrationStatus::New
    }

    /// How a replica's report relates to the registry; reports may arrive in any order.
    pub fn registration_status(&self, reported: &Instance) -> RegistrationStatus {
        if self.has_left(&reported.id, reported.start) && !self.is_at_new_address(reported) {
            return RegistrationStatus::Superseded;
        }
        if let Some(cause) = self.registration_conflict(reported) {
            return RegistrationStatus::Conflict(cause);
        }
        let Some(known) = self.instances.get(&reported.id) else {
            let is_earlier = self.is_from_earlier_owner_of_address(reported);
            return if is_earlier {
                RegistrationStatus::Superseded
            } else {
                RegistrationStatus::New
            };
        };
        if self.overrides_external(reported, known) {
            return RegistrationStatus::New;
        }
        match reported.start.cmp(&known.start) {
            Ordering::Less => RegistrationStatus::Superseded,
            Ordering::Greater => RegistrationStatus::New,
            Ordering::Equal if *known == merged(known, reported.clone()) => {
                RegistrationStatus::Unchanged
            }
            Ordering::Equal => RegistrationStatus::New,
        }
    }

    /// Protects replicas of declared services against external writers. A report of an undeclared
    /// service alone is accepted, since replicas may register before the document declares their
    /// service.
    fn registration_conflict(&self, reported: &Instance) -> Option<RegistrationConflict> {
        let same_id = self.instances.get(&reported.id);
        let mut ended = same_id.into_iter().chain(self.instances.at_address(&reported.address));
        if !self.is_declared(&reported.service)
            && ended.any(|known| self.is_declared(&known.service))
        {
            return Some(RegistrationConflict::UndeclaredService);
        }
        let known = self.instances.get(&reported.id)?;
        let is_same = known.start == reported.start && reported.start != Start::UNKNOWN;
        let is_elsewhere = known.service != reported.service || known.address != reported.address;
        let is_other = is_same && is_elsewhere && self.is_declared(&known.service);
        is_other.then_some(RegistrationConflict::MovedAddress)
    }

    /// Whether the report is from an unknown replica that started before the current one at its
    /// address, such as a delayed heartbeat. A new replica with a slow clock is refused until the
    /// current one times out.
    fn is_from_earlier_owner_of_address(&self, reported: &Instance) -> bool {
        let owner = self.instances.at_address(&reported.address);
        reported.start != Start::UNKNOWN && owner.is_some_and(|owner| owner.start > reported.start)
    }

    /// Whether a report of a declared service replaces an external writer's entry, whatever its
    /// start.
    fn overrides_external(&self, reported: &Instance, known: &Instance) -> bool {
        self.is_declared(&reported.service) && !self.is_declared(&known.service)
    }

    /// Whether the document declares a service; true if it lists no services.
    fn is_declared(&self, service: &str) -> bool {
        let services = self.document.as_ref().map_or(&[][..], |document| &document.services);
        services.is_empty() || services.iter().any(|declared| declared == service)
    }

    /// Whether this incarnation left for good.
    pub fn has_left(&self, id: &str, start: Start) -> bool {
        self.removals.get(id).is_some_and(|removal| removal.is_final && start <= removal.start)
    }

    /// Whether this incarnation is at another address than the removed one. It is then a different
    /// incarnation whose clock stepped back, since an incarnation keeps its address.
    fn is_at_new_address(&self, reported: &Instance) -> bool {
        let Some(removal) = self.removals.get(&reported.id) else { return false };
        let is_elsewhere = !removal.address.is_empty() && removal.address != reported.address;
        reported.start != Start::UNKNOWN && reported.start != removal.start && is_elsewhere
    }

    /// Whether a departure would change the registry. An unspecified start means any incarnation.
    pub fn would_deregister(&self, id: &str, start: Start) -> bool {
        match self.instances.get(id) {
            Some(known) => start == Start::UNKNOWN || start >= known.start,
            None => !self.has_left(id, start),
        }
    }

    /// Replicas changed and removed after a revision; `true` if this is the full list.
    pub fn changes_since(&self, revision: u64) -> (Vec<Instance>, Vec<RemovedInstance>, bool) {
        let changes = self.earliest_changes(revision, usize::MAX);
        (changes.changed, changes.removed, changes.is_full)
    }

    /// The earliest `max` changes after a revision. Returns the start of the full list if removals
    /// after that revision may have been dropped.
    pub fn earliest_changes(&self, revision: u64, max: usize) -> ReplicaChanges {
        let is_full = revision < self.forgotten_to || revision > self.revision;
        let since = if is_full { 0 } else { revision };
        let changed = || {
            self.instances
                .by_id()
                .values()
                .filter(|instance| instance.changed_at > since || is_full)
        };
        let is_later = |removal: &Removal| removal.revision > since && !is_full;
        let removed = || self.removals.iter().filter(|(_, removal)| is_later(removal));
        let all = changed().map(|instance| instance.changed_at);
        let all = all.chain(removed().map(|(_, removal)| removal.revision));
        let min_end = if is_full { self.forgotten_to } else { 0 };
        let end = end_of_batch(all, max).map_or(self.revision, |end| end.max(min_end));
        let removed = removed().filter(|(_, removal)| removal.revision <= end);
        let removed = removed.map(|(id, removal)| RemovedInstance {
            id: id.clone(),
            was_announced: removal.was_announced,
            start: removal.start,
        });
        let removed = removed.collect();
        let changed = changed().filter(|instance| instance.changed_at <= end).cloned().collect();
        ReplicaChanges { changed, removed, is_full, revision: end }
    }

    /// Replicas that were removed after a revision and have not registered again. Removals that were
    /// dropped from memory are missing.
    pub(super) fn removed_after(&self, revision: u64) -> impl Iterator<Item = &str> {
        let removed = self.removals.iter().filter(move |(_, removal)| removal.revision > revision);
        removed.map(|(id, _)| id.as_str())
    }

    /// Registered replicas that a command may end or change.
    pub(super) fn affected_by(&self, command: &FleetCommand) -> Vec<&Instance> {
        match command {
            FleetCommand::Register(instance) => {
                let same_id = self.instances.get(&instance.id);
                let same_address = self.instances.at_address(&instance.address);
                same_id.into_iter().chain(same_address).collect()
            }
            FleetCommand::Depart(id)
            | FleetCommand::Expire(id)
            | FleetCommand::DeregisterIncarnation(id, _)
            | FleetCommand::ExpireIncarnation(id, _) => {
                self.instances.get(id).into_iter().collect()
            }
            FleetCommand::PutDocument(_)
            | FleetCommand::PublishWeights { .. }
            | FleetCommand::RetireWeights { .. }
            | FleetCommand::RecordCrashes { .. }
            | FleetCommand::ExpireCrashes { .. } => Vec::new(),
        }
    }

    /// Applies a command.
    pub fn apply(&mut self, command: FleetCommand) {
        match command {
            FleetCommand::PutDocument(document) => {
                if document.version > self.document_version() {
                    self.document = Some(document);
                }
            }
            FleetCommand::Register(instance) => self.register(instance),
            FleetCommand::Depart(id) => self.deregister(id, Start::UNKNOWN),
            FleetCommand::DeregisterIncarnation(id, start) => self.deregister(id, start),
            FleetCommand::Expire(id) => self.expire(id, None),
            FleetCommand::ExpireIncarnation(id, start) => self.expire(id, Some(start)),
            FleetCommand::PublishWeights { model, version } => {
                let known = self.weights.entry(model).or_default();
                *known = version.max(*known);
            }
            FleetCommand::RetireWeights { model, version } => {
                let known = self.oldest_weights.entry(model).or_default();
                *known = version.max(*known);
            }
            FleetCommand::RecordCrashes { at, report } => self.crashes.record(at, &report),
            FleetCommand::ExpireCrashes { at } => self.crashes.expire(at),
        }
    }

    fn register(&mut self, instance: Instance) {
        if !self.would_register(&instance) {
            return;
        }
        // An address has one replica at a time. Earlier replicas at the address are removed for
        // good, so that their delayed heartbeats can't replace the new one. An external writer's
        // report does not have this effect.
        let is_declared = self.is_declared(&instance.service);
        for removal in self.removals.values_mut() {
            removal.is_final |= is_declared && removal.address == instance.address;
        }
        self.removals.remove(&instance.id);
        let before = self.instances.at_address(&instance.address);
        let before = before.filter(|other| other.id != instance.id);
        if let Some((before, is_draining)) =
            before.map(|instance| (instance.id.clone(), instance.is_draining))
        {
            self.remove(before, true, is_draining);
        }
        self.revision += 1;
        let mut next = match self.instances.get(&instance.id) {
            Some(known)
                if known.start == instance.start && !self.overrides_external(&instance, known) =>
            {
                merged(known, instance)
            }
            _ => instance,
        };
        next.changed_at = self.revision;
        self.instances.insert(next);
    }

    fn deregister(&mut self, id: InstanceId, start: Start) {
        if self.would_deregister(&id, start) {
            let was_registered = self.instances.get(&id).is_some();
            self.remove(id.clone(), true, true);
            // If it was registered, only its own start counts; an external writer may give any start.
            if let Some(removal) = self.removals.get_mut(&id).filter(|_| !was_registered) {
                removal.start = removal.start.max(start);
            }
        }
    }

    /// A draining replica that times out counts as departed.
    fn expire(&mut self, id: InstanceId, start: Option<Start>) {
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
        if self.removals.len() > MAX_REMOVALS {
            let oldest = self.removals.iter().min_by_key(|(_, removal)| removal.revision);
            if let Some((id, revision)) = oldest.map(|(id, removal)| (id.clone(), removal.revision))
            {
                self.removals.remove(&id);
                self.forgotten_to = revision;
            }
        }
    }
}

/// Combines a known entry with a later report; a draining replica stays draining.
fn merged(known: &Instance, reported: Instance) -> Instance {
    let is_draining = known.is_draining || reported.is_draining;
    Instance { is_draining, changed_at: known.changed_at, ..reported }
}
