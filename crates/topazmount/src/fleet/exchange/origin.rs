//! Records the software version of a stream before the client gets its first event.

use super::{ClientProgress, Exchange, with_timeout};
use std::time::Duration;
use topazmount_gateway::{Choice, ORIGIN_RENEWAL, member_holders};
use topazmount_types::{SoftwareId, Time};

/// Time for the system to take the datagrams. A full socket buffer must not hold up an event.
const SEND_TIMEOUT: Duration = Duration::from_millis(5);

/// Interval at which a stream under way is checked for the need of a record at control members.
const MEMBER_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// When a stream's software version was last recorded at its holders.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct OriginRecords {
    at_gateways: Option<Time>,
    at_members: Option<Time>,
    members_checked_at: Option<Time>,
}

fn is_due(last: Option<Time>, interval: Duration, now: Time) -> bool {
    last.is_none_or(|at| now >= at + interval)
}

impl Exchange<'_> {
    /// Records the software of the replica that a stream comes from, here and at the gateways and
    /// control members that hold its record, unless that was done lately. Waits for
    /// [`SEND_TIMEOUT`] at most, and for no response.
    pub(super) async fn record_origin(&self, choice: &Choice, progress: &mut ClientProgress) {
        let Some(stream) = self.stream else { return };
        let now = self.shared.clock.now();
        let records = &mut progress.origin_records;
        if !is_due(records.members_checked_at, MEMBER_CHECK_INTERVAL, now) {
            return;
        }
        records.members_checked_at = Some(now);
        let software = SoftwareId::of(&choice.instance);
        let mut holders = Vec::new();
        {
            let mut gateway_state = self.shared.gateway_state.lock();
            if is_due(records.at_gateways, ORIGIN_RENEWAL, now) {
                records.at_gateways = Some(now);
                gateway_state.stream_origins().record(stream.key, software, now);
                holders = gateway_state.origin_holders(stream.key, now);
            }
            // Also amid a stream: another version may have appeared since.
            if is_due(records.at_members, ORIGIN_RENEWAL, now)
                && gateway_state.needs_member_record(&self.admission.route, software, now)
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
