//! Exchanges failures of replicas with their monitors among the gateways.

use super::GatewayState;
use crate::balancer::{Choice, VerdictEffect};
use crate::failure_monitor::{ReplicaReport, ReplicaVerdict};
use std::net::SocketAddr;
use topazmount_types::{InstanceId, Time};

/// Gateways that monitor an incarnation.
const MONITORS: usize = 2;
/// Maximum number of verdicts in one message.
pub const MAX_VERDICTS: usize = 10;

/// What follows from a failure, a success or a message about a replica.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FailureOutput {
    /// Send a report to these gateways.
    SendReport(Vec<SocketAddr>, ReplicaReport),
    /// Send verdicts to these gateways.
    SendVerdicts(Vec<SocketAddr>, Vec<ReplicaVerdict>),
    /// This gateway avoids the replica from now on, as others have failed there.
    Avoided(InstanceId),
    /// The replica works again for another gateway.
    Restored(InstanceId),
}

impl GatewayState {
    /// Reports a failure that was recorded.
    pub fn report_failure(&mut self, choice: &Choice, now: Time) -> Vec<FailureOutput> {
        let report = self.balancer.failure_report(choice, 1, now);
        report.map_or_else(Vec::new, |report| self.send_report(report, now))
    }

    /// Reports an error response that was recorded.
    pub fn report_error_response(&mut self, choice: &Choice, now: Time) -> Vec<FailureOutput> {
        let needed = self.balancer.significant_errors(&choice.instance.service, now);
        let report = self.balancer.failure_report(choice, needed, now);
        report.map_or_else(Vec::new, |report| self.send_report(report, now))
    }

    /// Reports that a request that was sent at `sent_at` succeeded, where a failure was reported.
    pub fn report_success(
        &mut self,
        choice: &Choice,
        sent_at: Time,
        now: Time,
    ) -> Vec<FailureOutput> {
        let report = self.balancer.success_report(choice, sent_at);
        report.map_or_else(Vec::new, |report| self.send_report(report, now))
    }

    /// As a monitor, applies another gateway's report.
    pub fn apply_report(
        &mut self,
        report: ReplicaReport,
        reporter: SocketAddr,
        now: Time,
    ) -> Vec<FailureOutput> {
        let verdict = self.failure_monitor.apply(report, reporter, now);
        verdict.map_or_else(Vec::new, |verdict| self.send_verdicts(vec![verdict], now))
    }

    /// Applies the verdicts of a monitor.
    pub fn apply_verdicts(&mut self, verdicts: &[ReplicaVerdict], now: Time) -> Vec<FailureOutput> {
        let own = self.gateways.own_address();
        let mut outputs = Vec::new();
        for verdict in verdicts {
            match self.balancer.apply_verdict(verdict, own, now) {
                VerdictEffect::None => {}
                VerdictEffect::Avoided(id) => outputs.push(FailureOutput::Avoided(id)),
                VerdictEffect::Restored(id) => outputs.push(FailureOutput::Restored(id)),
                VerdictEffect::Contradicted(report) => {
                    outputs.extend(self.send_report(report, now));
                }
            }
        }
        outputs
    }

    /// As a monitor, repeats which replicas are avoided.
    pub fn repeat_verdicts(&mut self, now: Time) -> Vec<FailureOutput> {
        let mut gateways = self.gateways.others(now);
        gateways.extend(self.gateways.own_address());
        let verdicts = self.failure_monitor.repeat(&gateways, now);
        let chunks = verdicts.chunks(MAX_VERDICTS).map(<[ReplicaVerdict]>::to_vec);
        chunks.flat_map(|verdicts| self.send_verdicts(verdicts, now)).collect()
    }

    fn send_report(&mut self, report: ReplicaReport, now: Time) -> Vec<FailureOutput> {
        let monitors = self.gateways.first(report.incarnation, MONITORS, now);
        let (own, others): (Vec<SocketAddr>, Vec<SocketAddr>) =
            monitors.into_iter().partition(|address| self.gateways.is_own(*address));
        let mut outputs = Vec::new();
        if !others.is_empty() {
            outputs.push(FailureOutput::SendReport(others, report));
        }
        for own in own {
            outputs.extend(self.apply_report(report, own, now));
        }
        outputs
    }

    fn send_verdicts(&mut self, verdicts: Vec<ReplicaVerdict>, now: Time) -> Vec<FailureOutput> {
        let mut outputs = self.apply_verdicts(&verdicts, now);
        outputs.push(FailureOutput::SendVerdicts(self.gateways.others(now), verdicts));
        outputs
    }
}
