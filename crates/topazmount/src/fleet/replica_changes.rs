//! Reacts to changes of what is known about a replica.

use super::gateway::SharedState;
use topazmount_gateway::ReplicaChange;

impl SharedState {
    /// Logs a change and closes the pooled connections to an ended incarnation. `source` names where the
    /// change was reported.
    pub(super) fn handle_change(&self, change: &ReplicaChange, source: &str) {
        match change {
            ReplicaChange::Replaced { previous, start } => {
                self.pool.close(&previous.incarnation_name());
                self.metrics.count_event("incarnation_replaced");
                self.event_log.info(|| {
                    let (id, was) = (&previous.id, previous.start);
                    format!("gateway: event=incarnation_replaced id={id} was={was} is={start}")
                });
            }
            ReplicaChange::Downgraded { id, start, model, recorded, reported } => {
                self.metrics.count_event("version_went_back");
                self.event_log.info(|| {
                    format!(
                        "gateway: event=version_went_back id={id} start={start} model={model} before={recorded} \
                         said={} source={source}",
                        reported.unwrap_or(0)
                    )
                });
            }
        }
    }
}
