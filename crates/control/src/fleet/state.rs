//! Replicated state of the fleet.

use super::crashes::{CrashLedger, CrashNotes};
use serde::{Deserialize, Serialize};
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

/// A change to the fleet.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum FleetCommand {
    /// Puts a document in force if its version is higher than the one held.
    PutDocument(Document),
    /// Adds a replica, or changes what is known of it.
    Register(Instance),
    /// Removes a replica that said that it leaves; it never comes back under this identifier.
    Depart(InstanceId),
    /// Removes a replica that fell silent; it may come back.
    Expire(InstanceId),
    /// Names a version of a model's weights.
    NameWeights {
        /// Model.
        model: String,
        /// Version.
        version: u32,
    },
    /// Takes what gateways saw of crashes.
    NoteCrashes {
        /// The leader's clock. It is not kept from going back, as that of the ledger of calls is: only
        /// times between crashes count, and a clock that stands still would make them one.
        at: Time,
        /// What they saw.
        notes: CrashNotes,
    },
    /// Lets the time of blocks and suspicions end.
    ForgetCrashes {
        /// The leader's clock.
        at: Time,
    },
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
}

/// Replicated state. Invariants: the document's version and each model's version only rise; a
/// draining replica never counts as ready again; a replica that left, or whose address was taken
/// over, never comes back.
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
}

impl FleetState {
    /// Newest document.
    pub fn document(&self) -> Option<&Document> {
        self.document.as_ref()
    }

    /// Version of the newest document; 0 where there is none.
    pub fn version(&self) -> u64 {
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

    /// Requests under which replicas crash.
    pub fn crashes(&self) -> &CrashLedger {
        &self.crashes
    }

    /// Whether a registration would change anything.
    pub fn is_news(&self, instance: &Instance) -> bool {
        if self.is_gone(&instance.id) {
            return false;
        }
        match self.instances.get(&instance.id) {
            None => true,
            Some(known) => !is_same(known, &merged(known, instance.clone())),
        }
    }

    /// Whether a replica left for good.
    pub fn is_gone(&self, id: &str) -> bool {
        self.removals.get(id).is_some_and(|removal| removal.is_final)
    }

    /// Replicas changed and removed after a revision; `true` stands for the whole list.
    pub fn changes_since(&self, revision: u64) -> (Vec<Instance>, Vec<RemovedInstance>, bool) {
        let is_full = revision < self.forgotten_to || revision > self.revision;
        let since = if is_full { 0 } else { revision };
        let changed = self.instances.values().filter(|one| one.changed_at > since || is_full);
        let removed = self.removals.iter().filter(|(_, removal)| removal.revision > since);
        let removed = removed.map(|(id, removal)| RemovedInstance {
            id: id.clone(),
            was_announced: removal.was_announced,
            start: Start::UNSAID,
        });
        (changed.cloned().collect(), if is_full { Vec::new() } else { removed.collect() }, is_full)
    }

    /// Applies one change.
    pub fn apply(&mut self, command: FleetCommand) {
        match command {
            FleetCommand::PutDocument(document) => {
                if document.version > self.version() {
                    self.document = Some(document);
                }
            }
            FleetCommand::Register(instance) => self.register(instance),
            FleetCommand::Depart(id) => self.remove(id, true, true),
            FleetCommand::Expire(id) => {
                if self.instances.get(&id).is_some_and(|one| !one.is_draining) {
                    self.remove(id, false, false);
                } else if self.instances.contains_key(&id) {
                    self.remove(id, true, true);
                }
            }
            FleetCommand::NameWeights { model, version } => {
                let known = self.weights.entry(model).or_default();
                *known = version.max(*known);
            }
            FleetCommand::NoteCrashes { at, notes } => self.crashes.note(at, &notes),
            FleetCommand::ForgetCrashes { at } => self.crashes.forget(at),
        }
    }

    fn register(&mut self, instance: Instance) {
        if !self.is_news(&instance) {
            return;
        }
        // An address has one replica at a time: whoever had it before is gone, also who fell silent there. A
        // heartbeat of it that comes late would otherwise end the one that is there now, for good.
        for removal in self.removals.values_mut() {
            removal.is_final |= removal.address == instance.address;
        }
        let before = self
            .instances
            .values()
            .find(|other| other.address == instance.address && other.id != instance.id);
        if let Some((before, is_draining)) = before.map(|one| (one.id.clone(), one.is_draining)) {
            self.remove(before, true, is_draining);
        }
        self.revision += 1;
        self.removals.remove(&instance.id);
        let mut next = match self.instances.get(&instance.id) {
            Some(known) => merged(known, instance),
            None => instance,
        };
        next.changed_at = self.revision;
        self.instances.insert(next.id.clone(), next);
    }

    fn remove(&mut self, id: InstanceId, is_final: bool, was_announced: bool) {
        let known = self.instances.remove(&id);
        if known.is_none() && !is_final {
            return;
        }
        self.revision += 1;
        let address = known.map(|known| known.address).unwrap_or_default();
        let revision = self.revision;
        self.removals.insert(id, Removal { revision, is_final, address, was_announced });
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

fn is_same(left: &Instance, right: &Instance) -> bool {
    left == right
}
