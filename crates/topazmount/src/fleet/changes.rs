//! What follows when beliefs on a replica are taken back: connections closed, and a line in the log.

use super::gateway::Shared;
use topazmount_gateway::ReplicaChange;

impl Shared {
    /// Closes what an ended incarnation left, and tells whoever reads the log of a change; `source` says where word of it
    /// came from.
    pub(super) fn note_change(&self, change: &ReplicaChange, source: &str) {
        match change {
            ReplicaChange::Replaced { previous: earlier, start } => {
                self.pool.close(&earlier.incarnation_name());
                self.metrics.event("incarnation_replaced");
                self.journal.line(|| {
                    let (id, was) = (&earlier.id, earlier.start);
                    format!("gateway: event=incarnation_replaced id={id} was={was} is={start}")
                });
            }
            ReplicaChange::Downgraded { id, start, model, recorded: before, reported: said } => {
                self.metrics.event("version_went_back");
                self.journal.line(|| {
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
