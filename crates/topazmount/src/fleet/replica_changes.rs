//! Reacts to changes of what is known about a replica.

use super::gateway::SharedState;
use topazmount_gateway::Change;

impl SharedState {
    /// Logs a change and closes the pooled connections to an ended incarnation. `source` names where the
    /// change was reported.
    pub(super) fn handle_change(&self, change: &Change, source: &str) {
        match change {
            Change::Replaced { earlier, start } => {
                self.pool.close(&earlier.incarnation_name());
                self.metrics.count_event("incarnation_replaced");
                self.event_log.info(|| {
                    let (id, was) = (&earlier.id, earlier.start);
                    format!("gateway: event=incarnation_replaced id={id} was={was} is={start}")
                });
            }
            Change::WentBack { id, start, model, before, said } => {
                self.metrics.count_event("version_went_back");
                self.event_log.info(|| {
                    format!(
                        "gateway: event=version_went_back id={id} start={start} model={model} before={before} \
                         said={} source={source}",
                        said.unwrap_or(0)
                    )
                });
            }
        }
    }
}
