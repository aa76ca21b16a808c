//! Exchanges failures of replicas with other gateways.

use super::gateway::SharedState;
use async_io::Timer;
use std::sync::Arc;
use topazmount_gateway::{Choice, FailureOutput, REPEAT_INTERVAL};
use topazmount_types::Time;

/// Repeats forever which of the monitored replicas are avoided.
pub(super) async fn run(shared: Arc<SharedState>) {
    loop {
        Timer::after(REPEAT_INTERVAL).await;
        let now = shared.clock.now();
        let outputs = shared.gateway_state.lock().repeat_verdicts(now);
        shared.handle_failure_outputs(outputs);
    }
}

impl SharedState {
    /// Records a failure of a replica that its links do not explain, and reports it.
    pub(super) fn record_replica_failure(&self, choice: &Choice, now: Time) {
        let outputs = {
            let mut gateway_state = self.gateway_state.lock();
            gateway_state.balancer().on_failure(choice, now);
            gateway_state.report_failure(choice, now)
        };
        self.handle_failure_outputs(outputs);
    }

    /// Sends the messages, and logs which replicas are avoided.
    pub(super) fn handle_failure_outputs(&self, outputs: Vec<FailureOutput>) {
        for output in outputs {
            match output {
                FailureOutput::SendReport(to, report) => self.peers.send_replica_report(to, report),
                FailureOutput::SendVerdicts(to, verdicts) => {
                    self.peers.send_replica_verdicts(to, verdicts);
                }
                FailureOutput::Avoided(instance) => {
                    self.metrics.count_event("replica_failing_elsewhere");
                    self.event_log.info(|| {
                        format!("gateway: event=replica_failing_elsewhere instance={instance}")
                    });
                }
                FailureOutput::Restored(instance) => {
                    self.metrics.count_event("replica_working_elsewhere");
                    self.event_log.info(|| {
                        format!("gateway: event=replica_working_elsewhere instance={instance}")
                    });
                }
            }
        }
    }
}
