//! Applies the control group's list of replicas.

use super::GatewayState;
use crate::balancer::ReplicaChanges;
use std::collections::HashSet;
use topazmount_control::FleetView;
use topazmount_types::{Instance, InstanceId, Time, incarnation_name};

/// An incarnation of a replica that has ended.
struct EndedReplica {
    id: InstanceId,
    incarnation: String,
    /// Where it ran, if it was known.
    address: Option<String>,
    was_announced: bool,
}

impl GatewayState {
    /// Finds the replicas that ended unannounced according to a view, before the view is applied.
    /// Requests whose connections broke there are counted as crashes. Returns these replicas and
    /// the numbers of requests.
    pub fn confirm_crashes(&mut self, view: &FleetView, now: Time) -> Vec<(InstanceId, usize)> {
        if view.revision <= self.seen.revision {
            return Vec::new();
        }
        let mut ended: Vec<EndedReplica> = Vec::new();
        for removed in &view.removed {
            let known = self.balancer.instance(&removed.id);
            ended.push(EndedReplica {
                id: removed.id.clone(),
                incarnation: incarnation_name(&removed.id, removed.start),
                address: known.map(|known| known.address.clone()),
                was_announced: removed.was_announced,
            });
            ended.extend(self.ended_before(&removed.id, |known| known.start != removed.start));
        }
        // A new incarnation confirms that the previous one has ended.
        for instance in &view.instances {
            ended.extend(self.ended_before(&instance.id, |known| known.start != instance.start));
        }
        let mut confirmed = Vec::new();
        for EndedReplica { id, incarnation, address, was_announced } in ended {
            if was_announced {
                self.crashes.clear_suspicion(&incarnation, Time::NEVER);
                continue;
            }
            if let Some(address) = address {
                self.crashes.record_replica_end(&address, &incarnation, now);
            }
            let requests = self.crashes.on_replica_ended(&incarnation, now);
            if requests > 0 {
                confirmed.push((id, requests));
            }
        }
        confirmed
    }

    /// The recorded incarnation of a replica, if it has ended.
    fn ended_before(
        &self,
        id: &str,
        has_ended: impl Fn(&Instance) -> bool,
    ) -> Option<EndedReplica> {
        let known = self.balancer.instance(id).filter(|known| has_ended(known))?;
        Some(EndedReplica {
            id: known.id.clone(),
            incarnation: known.incarnation_name(),
            address: Some(known.address.clone()),
            was_announced: known.is_draining,
        })
    }

    /// Applies the list of replicas unless it is older than the known one, as from a member that
    /// lags.
    pub(super) fn apply_instances(&mut self, view: &FleetView, now: Time) -> ReplicaChanges {
        let mut changes = ReplicaChanges::new();
        if view.revision <= self.seen.revision {
            return changes;
        }
        // A leader sends each part of the list with statuses, a follower without. After a
        // follower's part all statuses must be requested again.
        if self.is_behind && view.statuses.is_none() {
            self.seen.statuses = Default::default();
        }
        self.is_behind = view.has_more;
        self.record_ended_software(view, now);
        if view.is_full {
            let ids: HashSet<InstanceId> =
                view.instances.iter().map(|instance| instance.id.clone()).collect();
            self.balancer.retain(&ids);
        }
        for removed in &view.removed {
            self.balancer.remove(&removed.id);
        }
        for instance in &view.instances {
            changes.extend(self.balancer.upsert(instance.clone()));
        }
        self.seen.revision = view.revision;
        changes
    }

    /// Records the software of the replicas that a view removes or changes, before it is applied.
    fn record_ended_software(&mut self, view: &FleetView, now: Time) {
        // Without a catalog it is not known how long streams may take.
        if !view.has_more && self.catalog.is_some() {
            self.software_history.on_list(now);
        }
        let listed: HashSet<&InstanceId> =
            view.instances.iter().map(|instance| &instance.id).collect();
        let removed = view.removed.iter().filter_map(|removed| self.balancer.instance(&removed.id));
        let changed = view.instances.iter().filter_map(|next| {
            let known = self.balancer.instance(&next.id)?;
            (known.software != next.software || known.service != next.service).then_some(known)
        });
        let is_dropped = |known: &&Instance| view.is_full && !listed.contains(&known.id);
        let dropped = self.balancer.instances().filter(is_dropped);
        for ended in removed.chain(changed).chain(dropped) {
            self.software_history.on_ended(ended, now);
        }
    }
}
