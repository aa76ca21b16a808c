//! Records the software version of a stream before the client gets its first event.

use super::{ClientProgress, Exchange, with_timeout};
use std::time::Duration;
use topazmount_gateway::{Choice, ORIGIN_RENEWAL, member_holders};
use topazmount_types::{SoftwareId, Time};

/// Time for the system to take the datagrams. A full socket buffer must not hold up an event.
const SEND_TIMEOUT: Duration = Duration::from_millis(5);

/// When a stream's software version was last recorded at its holders.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct OriginRecords {
    at_gateways: Option<Time>,
    at_members: Option<Time>,
}

fn is_due(recorded_at: Option<Time>, now: Time) -> bool {
    recorded_at.is_none_or(|at| now >= at + ORIGIN_RENEWAL)
}

impl Exchange<'_> {
    /// Records the software of the replica that a stream comes from, here and at the gateways and
    /// control members that hold its record, unless that was done lately. Waits for
    /// [`SEND_TIMEOUT`] at most, and for no response.
    pub(super) async fn record_origin(&self, choice: &Choice, progress: &mut ClientProgress) {
        let Some(stream) = self.stream else { return };
        let now = self.shared.clock.now();
        let records = &mut progress.origin_records;
        let software = SoftwareId::of(&choice.instance);
        let mut holders = Vec::new();
        {
            let mut gateway_state = self.shared.gateway_state.lock();
            if is_due(records.at_gateways, now) {
                records.at_gateways = Some(now);
                gateway_state.stream_origins().record(stream.key, software, now);
                holders = gateway_state.origin_holders(stream.key, now);
            }
            // Also amid a stream: another version may have appeared since.
            if is_due(records.at_members, now)
                && gateway_state.needs_member_record(&choice.instance.service, now)
            {
                records.at_members = Some(now);
                holders.extend(member_holders(stream.key, &self.shared.members()));
            }
        }
        if holders.is_empty() {
            return;
        }
        let sending = self.shared.peers.send_origin(&holders, stream.key, software, self.shared);
        if with_timeout(SEND_TIMEOUT, sending).await.is_none() {
            self.shared.metrics.count_event("origin_not_sent");
            self.shared
                .event_log
                .info(|| format!("gateway: event=origin_not_sent request={}", self.metadata.id));
        }
    }
}
