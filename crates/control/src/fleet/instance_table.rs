//! The registered replicas, by identifier and by address.

use serde::{Deserialize, Deserializer, Serialize, Serializer};
use std::collections::{BTreeMap, HashMap};
use topazmount_types::{Instance, InstanceId};

/// Registered replicas. The index by address keeps the cost of a registration independent of the
/// number of replicas; it is not part of the encoded state. Invariant: an address has one replica.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(super) struct InstanceTable {
    by_id: BTreeMap<InstanceId, Instance>,
    by_address: HashMap<String, InstanceId>,
}

impl InstanceTable {
    /// All replicas by identifier.
    pub(super) fn by_id(&self) -> &BTreeMap<InstanceId, Instance> {
        &self.by_id
    }

    pub(super) fn get(&self, id: &str) -> Option<&Instance> {
        self.by_id.get(id)
    }

    /// The replica at an address.
    pub(super) fn at_address(&self, address: &str) -> Option<&Instance> {
        self.by_id.get(self.by_address.get(address)?)
    }

    /// Adds a replica or replaces the one with its identifier.
    pub(super) fn insert(&mut self, instance: Instance) {
        self.remove(&instance.id);
        self.by_address.insert(instance.address.clone(), instance.id.clone());
        self.by_id.insert(instance.id.clone(), instance);
    }

    pub(super) fn remove(&mut self, id: &str) -> Option<Instance> {
        let removed = self.by_id.remove(id)?;
        if self.by_address.get(&removed.address).is_some_and(|at_address| at_address == id) {
            self.by_address.remove(&removed.address);
        }
        Some(removed)
    }
}

impl Serialize for InstanceTable {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        self.by_id.serialize(serializer)
    }
}

impl<'de> Deserialize<'de> for InstanceTable {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let by_id: BTreeMap<InstanceId, Instance> = BTreeMap::deserialize(deserializer)?;
        let address_of =
            |(id, instance): (&InstanceId, &Instance)| (instance.address.clone(), id.clone());
        let by_address = by_id.iter().map(address_of).collect();
        Ok(InstanceTable { by_id, by_address })
    }
}
