//! Directory of gateways for clients.

use super::watcher::WatchHandler;
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use topazmount_control::{FleetView, GatewayReport, SeenVersions};
use topazmount_types::Time;

/// Maximum number of gateways in one response.
const MAX_GATEWAYS: usize = 64;
/// With this many gateways in the client's zone, those of other zones are left out.
const ENOUGH_IN_ZONE: usize = 2;

/// Known gateways and the versions of the updates that were applied.
#[derive(Default)]
struct DirectoryState {
    seen: SeenVersions,
    gateways: BTreeMap<String, GatewayReport>,
}

/// The newest known list of gateways. It is kept after contact with the leader is lost, since an old
/// list is better than none.
#[derive(Clone, Default)]
pub struct Directory {
    state: Arc<Mutex<DirectoryState>>,
}

impl Directory {
    /// Ready gateways, those in the client's zone first, then those in its region. Other zones are left
    /// out if the client's zone has enough.
    pub fn resolve(&self, zone: &str, region: &str) -> Vec<GatewayReport> {
        let state = self.state.lock().unwrap();
        let ready = state.gateways.values().filter(|gateway| gateway.is_ready);
        let mut gateways: Vec<GatewayReport> = ready.cloned().collect();
        let distance = |gateway: &GatewayReport| {
            if gateway.zone == zone { 0 } else { 1 + u8::from(gateway.region != region) }
        };
        gateways.sort_by_key(distance);
        let in_zone = gateways.iter().filter(|gateway| distance(gateway) == 0).count();
        if in_zone >= ENOUGH_IN_ZONE {
            gateways.truncate(in_zone);
        }
        gateways.truncate(MAX_GATEWAYS);
        gateways
    }
}

impl WatchHandler for Directory {
    fn watch_state(&mut self) -> (SeenVersions, Option<GatewayReport>) {
        let mut seen = self.state.lock().unwrap().seen;
        // Only gateways are needed; maximum versions suppress all other updates.
        (seen.document, seen.revision, seen.statuses) = (u64::MAX, u64::MAX, (u64::MAX, u64::MAX));
        (seen, None)
    }

    fn on_view(&mut self, view: FleetView, _requested_at: Time) {
        let mut state = self.state.lock().unwrap();
        if let Some((changes, blocked)) = &view.blocked {
            state.seen.blocked = *changes;
            let count = blocked.len();
            log::info!("control: event=requests_blocked count={count} changes={changes}");
        }
        if let Some(update) = view.gateways {
            state.seen.gateways = update.count;
            // A new leader may not know any gateway yet.
            if update.is_full && !update.changed.is_empty() {
                state.gateways.clear();
            }
            for address in &update.removed {
                state.gateways.remove(address);
            }
            let changed = update.changed.into_iter().map(|report| (report.address.clone(), report));
            state.gateways.extend(changed);
        }
    }
}
