//! Records the software version of a stream before the client gets its first event.

use super::{ClientProgress, Exchange, with_timeout};
use std::time::Duration;
use topazmount_gateway::{Choice, ORIGIN_RENEWAL};
use topazmount_types::SoftwareId;

/// Time for the system to take the datagrams. A full socket buffer must not hold up an event.
const SEND_TIMEOUT: Duration = Duration::from_millis(5);

impl Exchange<'_> {
    /// Records the software of the replica that a stream comes from, here and at the gateways that
    /// hold its record, unless that was done lately. Waits for [`SEND_TIMEOUT`] at most, and for no
    /// response.
    pub(super) async fn record_origin(&self, choice: &Choice, progress: &mut ClientProgress) {
        let Some(stream) = self.stream else { return };
        let now = self.shared.clock.now();
        if progress.origin_recorded_at.is_some_and(|at| now < at + ORIGIN_RENEWAL) {
            return;
        }
        progress.origin_recorded_at = Some(now);
        let software = SoftwareId::of(&choice.instance);
        let holders = {
            let mut gateway_state = self.shared.gateway_state.lock().unwrap();
            gateway_state.stream_origins().record(stream.key, software, now);
            gateway_state.origin_holders(stream.key, now)
        };
        let sending = self.shared.peers.send_origin(&holders, stream.key, software, self.shared);
        if with_timeout(SEND_TIMEOUT, sending).await.is_none() {
            self.shared.metrics.count_event("origin_not_sent");
            self.shared
                .event_log
                .info(|| format!("gateway: event=origin_not_sent request={}", self.metadata.id));
        }
    }
}
