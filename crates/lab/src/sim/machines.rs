//! The platform's list of live and leaving machines, which lags and may flap.

use std::collections::BTreeMap;
use std::time::Duration;
use topazmount_node::MachineEntry;
use topazmount_routing::ReplicaStatus;
use topazmount_types::{ReplicaId, Time};

/// Time after which a change shows in the list.
pub const LIST_LAG: Duration = Duration::from_millis(1_500);

#[derive(Clone, Copy, Debug)]
struct Row {
    evidence: ReplicaStatus,
    epoch: u64,
    shown_from: Time,
}

/// The list with its past.
#[derive(Debug, Default)]
pub struct MachineRows {
    rows: BTreeMap<ReplicaId, Vec<Row>>,
    /// The list is served as it was at this time.
    stale_at: Option<Time>,
}

impl MachineRows {
    /// Changes an entry; it shows after the lag.
    pub fn set(&mut self, now: Time, replica: ReplicaId, evidence: ReplicaStatus) {
        let rows = self.rows.entry(replica).or_default();
        let epoch = rows.last().map_or(0, |row| row.epoch) + 1;
        rows.push(Row { evidence, epoch, shown_from: now + LIST_LAG });
    }

    /// Serves the list as it is now from here on, or follows it again.
    pub fn set_stale(&mut self, at: Option<Time>) {
        self.stale_at = at;
    }

    /// The list as nodes read it now.
    pub fn shown(&self, now: Time) -> Vec<MachineEntry> {
        let at = self.stale_at.unwrap_or(now);
        let newest = self.rows.iter().filter_map(|(replica, rows)| {
            let row = rows.iter().rev().find(|row| row.shown_from <= at)?;
            Some(MachineEntry { replica: *replica, evidence: row.evidence, epoch: row.epoch })
        });
        newest.collect()
    }
}
