//! Avoids replicas at which other gateways of the zone have failed, unless this gateway knows better.

use super::choice::Choice;
use super::{Balancer, Replica};
use crate::failure_monitor::{Evidence, ReplicaReport, ReplicaVerdict, VERDICT_TIME};
use std::net::SocketAddr;
use std::time::Duration;
use topazmount_types::{InstanceId, ReplicaId, Time};

/// Time between reported failures of a replica.
const REPORT_INTERVAL: Duration = Duration::from_millis(200);

/// What a verdict of a replica's monitor changed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum VerdictEffect {
    /// Nothing.
    None,
    /// The replica is avoided from now on.
    Avoided(InstanceId),
    /// The replica is no longer avoided.
    Restored(InstanceId),
    /// A request that was sent after the first reported failure succeeded here.
    Contradicted(ReplicaReport),
}

/// What one gateway knows of the failures that others have at a replica.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct FleetFailures {
    avoided_until: Time,
    /// Since when it fails for others, or for this gateway if that was reported.
    failing_since: Option<Time>,
    /// When this gateway last reported a failure.
    reported_at: Time,
    /// Whether this gateway may try it although the others avoid it.
    is_tester: bool,
    /// When the newest request that succeeded there was sent.
    last_success_sent_at: Time,
}

impl FleetFailures {
    pub(super) fn is_avoided(&self, now: Time) -> bool {
        now < self.avoided_until
    }

    /// Records a success. Returns whether it contradicts a failure that was reported.
    fn on_success(&mut self, sent_at: Time) -> bool {
        self.last_success_sent_at = self.last_success_sent_at.max(sent_at);
        let contradicts = self.failing_since.is_some_and(|since| sent_at >= since);
        if contradicts {
            self.end();
        }
        contradicts
    }

    /// The replica no longer counts as failing.
    fn end(&mut self) {
        self.failing_since = None;
        self.avoided_until = Time::ZERO;
        self.is_tester = false;
    }
}

impl Balancer {
    /// The report to send after a failure was recorded that shows something once `needed` have
    /// occurred; `None` if one was sent shortly before.
    pub(crate) fn failure_report(
        &mut self,
        choice: &Choice,
        needed: u32,
        now: Time,
    ) -> Option<ReplicaReport> {
        let zone = self.zone_hash();
        let replica = self.chosen_mut(choice)?;
        let failures = &mut replica.fleet_failures;
        let has_failed_trial = std::mem::take(&mut failures.is_tester);
        if has_failed_trial {
            failures.avoided_until = now + VERDICT_TIME;
        } else if now < failures.reported_at + REPORT_INTERVAL {
            return None;
        }
        failures.reported_at = now;
        failures.failing_since.get_or_insert(now);
        Some(report(replica, zone, Evidence::Failure(needed)))
    }

    /// The report to send after a request that was sent at `sent_at` succeeded, if the replica counts
    /// as failing.
    pub(crate) fn success_report(
        &mut self,
        choice: &Choice,
        sent_at: Time,
    ) -> Option<ReplicaReport> {
        let zone = self.zone_hash();
        let replica = self.chosen_mut(choice)?;
        replica.fleet_failures.on_success(sent_at).then(|| report(replica, zone, Evidence::Success))
    }

    /// Applies the verdict of a replica's monitor. `own` is this gateway's address.
    pub(crate) fn apply_verdict(
        &mut self,
        verdict: &ReplicaVerdict,
        own: Option<SocketAddr>,
        now: Time,
    ) -> VerdictEffect {
        let zone = self.zone_hash();
        if verdict.zone != zone {
            return VerdictEffect::None;
        }
        let id = self.by_incarnation.get(&verdict.incarnation);
        let Some(replica) = id.and_then(|id| self.replicas.get_mut(id)) else {
            return VerdictEffect::None;
        };
        let was_avoided = replica.fleet_failures.is_avoided(now);
        let Some(failing_for) = verdict.failing_for else {
            replica.fleet_failures.end();
            return match was_avoided {
                true => VerdictEffect::Restored(replica.instance.id.clone()),
                false => VerdictEffect::None,
            };
        };
        let failing_since = now - failing_for;
        if replica.fleet_failures.last_success_sent_at > failing_since {
            return VerdictEffect::Contradicted(report(replica, zone, Evidence::Success));
        }
        replica.fleet_failures.failing_since = Some(failing_since);
        replica.fleet_failures.is_tester = own.is_some_and(|own| verdict.testers.contains(&own));
        if replica.fleet_failures.is_tester {
            replica.fleet_failures.avoided_until = Time::ZERO;
            replica.allow_trial(now);
            return VerdictEffect::None;
        }
        replica.fleet_failures.avoided_until = now + VERDICT_TIME;
        match was_avoided {
            true => VerdictEffect::None,
            false => VerdictEffect::Avoided(replica.instance.id.clone()),
        }
    }

    fn zone_hash(&self) -> u64 {
        ReplicaId::from_name(&self.zone).0
    }
}

fn report(replica: &Replica, zone: u64, evidence: Evidence) -> ReplicaReport {
    ReplicaReport { incarnation: replica.incarnation_id.0, zone, evidence }
}
