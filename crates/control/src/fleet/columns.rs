//! Encoding of replica lists by columns.
//!
//! The values of a field stand together, repeated ones as positions in a table, so that a replica
//! and its status take little more than its identifier and address after compression. All gateways
//! get these lists, and the statuses once more after each change of leader.

use super::packed::ReplicaLists;
use super::protocol::{Availability, InstanceStatus, LoadedModel};
use super::state::RemovedInstance;
use serde::{Deserialize, Serialize};
use std::collections::HashMap;
use std::hash::Hash;
use topazmount_consensus::Term;
use topazmount_types::{Instance, InstanceId, Start};

/// A column of values that are often equal.
#[derive(Serialize, Deserialize)]
struct Repeated<T> {
    values: Vec<T>,
    /// Position in `values`, a row each.
    rows: Vec<u32>,
}

impl<T: Clone + Eq + Hash> Repeated<T> {
    fn new(column: impl Iterator<Item = T>) -> Self {
        let mut positions: HashMap<T, u32> = HashMap::new();
        let mut values = Vec::new();
        let rows = column.map(|value| {
            let next = positions.len() as u32;
            *positions.entry(value).or_insert_with_key(|value| {
                values.push(value.clone());
                next
            })
        });
        Repeated { rows: rows.collect(), values }
    }

    fn get(&self, row: usize) -> Result<T, InvalidColumns> {
        let position = self.rows.get(row).copied();
        let value = position.and_then(|position| self.values.get(position as usize));
        value.cloned().ok_or(InvalidColumns { row })
    }
}

/// A column of numbers that mostly grow a little from row to row, as differences.
#[derive(Serialize, Deserialize)]
struct Differences(Vec<i64>);

impl Differences {
    fn new(column: impl Iterator<Item = u64>) -> Self {
        let mut before = 0;
        let difference = |number: u64| {
            let difference = number.wrapping_sub(before) as i64;
            before = number;
            difference
        };
        Differences(column.map(difference).collect())
    }

    fn numbers(&self) -> Vec<u64> {
        let mut number = 0u64;
        let next = |difference: &i64| {
            number = number.wrapping_add_signed(*difference);
            number
        };
        self.0.iter().map(next).collect()
    }
}

/// The lists of a [`ReplicaLists`] by columns.
#[derive(Serialize, Deserialize)]
pub(super) struct ReplicaColumns {
    instances: InstanceColumns,
    removed: Vec<RemovedInstance>,
    statuses: StatusColumns,
}

#[derive(Serialize, Deserialize)]
struct InstanceColumns {
    id: Vec<InstanceId>,
    service: Repeated<String>,
    host: Vec<String>,
    /// The rest of the address, from the last colon on.
    port: Repeated<String>,
    zone: Repeated<String>,
    slots: Repeated<u32>,
    is_draining: Repeated<bool>,
    changed_at: Differences,
    start: Differences,
    /// Missing if no replica reports one, and from earlier builds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    software: Option<Repeated<String>>,
}

#[derive(Serialize, Deserialize)]
struct StatusColumns {
    /// Row of the replica in the list of the same update plus one, or 0 if it is not there.
    instance: Differences,
    /// Identifiers and starts of the replicas that are not there, in order.
    id: Vec<InstanceId>,
    start: Differences,
    availability: Repeated<Availability>,
    models: Repeated<Vec<LoadedModel>>,
    correction: Repeated<(Term, u32)>,
}

/// Columns have different lengths or refer to a value that is not in the table.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("columns of replicas have no valid value in row {row}")]
pub struct InvalidColumns {
    row: usize,
}

fn split_address(address: &str) -> (&str, &str) {
    address.split_at(address.rfind(':').unwrap_or(address.len()))
}

fn get<T: Clone>(column: &[T], row: usize) -> Result<T, InvalidColumns> {
    column.get(row).cloned().ok_or(InvalidColumns { row })
}

impl InstanceColumns {
    fn new(instances: &[Instance]) -> Self {
        let rows = || instances.iter();
        let address = || rows().map(|replica| split_address(&replica.address));
        InstanceColumns {
            id: rows().map(|replica| replica.id.clone()).collect(),
            service: Repeated::new(rows().map(|replica| replica.service.clone())),
            host: address().map(|(host, _)| host.to_owned()).collect(),
            port: Repeated::new(address().map(|(_, port)| port.to_owned())),
            zone: Repeated::new(rows().map(|replica| replica.zone.clone())),
            slots: Repeated::new(rows().map(|replica| replica.slots)),
            is_draining: Repeated::new(rows().map(|replica| replica.is_draining)),
            changed_at: Differences::new(rows().map(|replica| replica.changed_at)),
            start: Differences::new(rows().map(|replica| replica.start.0)),
            software: rows()
                .any(|replica| !replica.software.is_empty())
                .then(|| Repeated::new(rows().map(|replica| replica.software.clone()))),
        }
    }

    fn instances(self) -> Result<Vec<Instance>, InvalidColumns> {
        let changed_at = self.changed_at.numbers();
        let start = self.start.numbers();
        let instance = |(row, id): (usize, InstanceId)| {
            Ok(Instance {
                id,
                service: self.service.get(row)?,
                address: get(&self.host, row)? + &self.port.get(row)?,
                zone: self.zone.get(row)?,
                slots: self.slots.get(row)?,
                is_draining: self.is_draining.get(row)?,
                changed_at: get(&changed_at, row)?,
                start: Start(get(&start, row)?),
                software: match &self.software {
                    Some(software) => software.get(row)?,
                    None => String::new(),
                },
            })
        };
        self.id.into_iter().enumerate().map(instance).collect()
    }
}

impl StatusColumns {
    fn new(statuses: &[InstanceStatus], instances: &[Instance]) -> Self {
        let rows: HashMap<(&InstanceId, Start), u64> =
            instances.iter().zip(1..).map(|(known, row)| ((&known.id, known.start), row)).collect();
        let row = |status: &InstanceStatus| rows.get(&(&status.id, status.start)).copied();
        let others = || statuses.iter().filter(|status| row(status).is_none());
        StatusColumns {
            instance: Differences::new(statuses.iter().map(|status| row(status).unwrap_or(0))),
            id: others().map(|status| status.id.clone()).collect(),
            start: Differences::new(others().map(|status| status.start.0)),
            availability: Repeated::new(statuses.iter().map(|status| status.availability)),
            models: Repeated::new(statuses.iter().map(|status| status.models.clone())),
            correction: Repeated::new(statuses.iter().map(|status| status.correction)),
        }
    }

    fn statuses(self, instances: &[Instance]) -> Result<Vec<InstanceStatus>, InvalidColumns> {
        let mut others = self.id.into_iter().zip(self.start.numbers());
        let status = |(row, instance): (usize, u64)| {
            let (id, start) = match instance.checked_sub(1) {
                None => others.next().map(|(id, start)| (id, Start(start))),
                Some(position) => {
                    let known = instances.get(usize::try_from(position).unwrap_or(usize::MAX));
                    known.map(|known| (known.id.clone(), known.start))
                }
            }
            .ok_or(InvalidColumns { row })?;
            Ok(InstanceStatus {
                id,
                availability: self.availability.get(row)?,
                models: self.models.get(row)?,
                start,
                correction: self.correction.get(row)?,
            })
        };
        self.instance.numbers().into_iter().enumerate().map(status).collect()
    }
}

impl From<ReplicaLists> for ReplicaColumns {
    fn from(lists: ReplicaLists) -> Self {
        ReplicaColumns {
            instances: InstanceColumns::new(&lists.instances),
            statuses: StatusColumns::new(&lists.statuses, &lists.instances),
            removed: lists.removed,
        }
    }
}

impl TryFrom<ReplicaColumns> for ReplicaLists {
    type Error = InvalidColumns;

    fn try_from(columns: ReplicaColumns) -> Result<Self, InvalidColumns> {
        let instances = columns.instances.instances()?;
        let statuses = columns.statuses.statuses(&instances)?;
        Ok(ReplicaLists { instances, removed: columns.removed, statuses })
    }
}
