//! The list of replicas as control tells it, and what each incarnation's end says of requests.

use super::GatewayState;
use crate::balancer::ReplicaChanges;
use std::collections::HashSet;
use topazmount_control::FleetView;
use topazmount_types::{Instance, InstanceId, Time, incarnation_name};

impl GatewayState {
    /// Takes from a view which replicas have ended without a word, before it is applied. Returns the replicas under which
    /// requests had broken off: these are counted as crashes now.
    pub fn confirm_crashes(&mut self, view: &FleetView, now: Time) -> Vec<(InstanceId, usize)> {
        if view.revision <= self.seen.revision {
            return Vec::new();
        }
        let mut ended: Vec<(InstanceId, String, bool)> = Vec::new();
        for removed in &view.removed {
            let name = incarnation_name(&removed.id, removed.start);
            ended.push((removed.id.clone(), name, removed.was_announced));
            ended.extend(self.ended_before(&removed.id, |known| known.start != removed.start));
        }
        // The next incarnation under an identifier confirms that the one before it has ended.
        for one in &view.instances {
            ended.extend(self.ended_before(&one.id, |known| known.start != one.start));
        }
        let mut confirmed = Vec::new();
        for (id, name, was_announced) in ended {
            if was_announced {
                self.crashes.clear_suspicion(&name, Time::NEVER);
                continue;
            }
            let requests = self.crashes.on_replica_ended(&name, now);
            if requests > 0 {
                confirmed.push((id, requests));
            }
        }
        confirmed
    }

    /// The incarnation known under an identifier, if it has ended, and whether it had said that it leaves.
    fn ended_before(
        &self,
        id: &str,
        has_ended: impl Fn(&Instance) -> bool,
    ) -> Option<(InstanceId, String, bool)> {
        let known = self.balancer.instance(id).filter(|known| has_ended(known))?;
        Some((known.id.clone(), known.incarnation_name(), known.is_draining))
    }

    /// A list of replicas only moves forward: an older one of a member that lags is passed over.
    pub(super) fn apply_instances(&mut self, view: &FleetView) -> ReplicaChanges {
        let mut changes = ReplicaChanges::new();
        if view.revision <= self.seen.revision {
            return changes;
        }
        // Each piece of the leader's comes with the statuses of its replicas, a follower's without: after one of these the
        // leader has to tell all statuses.
        if self.is_behind && view.statuses.is_none() {
            self.seen.statuses = Default::default();
        }
        self.is_behind = view.has_more;
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
}
