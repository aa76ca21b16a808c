//! Which gateways a client is told of.

use super::watcher::NewsReader;
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use topazmount_control::{FleetView, GatewayReport, SeenVersions};
use topazmount_types::Time;

/// Most gateways named in one answer.
const MOST_GATEWAYS: usize = 64;
/// Fewest gateways of the client's own zone that are named without those of other zones.
const ENOUGH_NEARBY: usize = 2;

#[derive(Default)]
struct State {
    seen: SeenVersions,
    gateways: BTreeMap<String, GatewayReport>,
}

/// The newest list of gateways that this member heard of. It outlives the contact with the leader:
/// an old list is better than none, since clients pass over what does not answer.
#[derive(Clone, Default)]
pub struct Directory {
    state: Arc<Mutex<State>>,
}

impl Directory {
    /// Ready gateways, those of the client's zone first, then of its region; other zones are left
    /// out where its own has enough.
    pub fn resolve(&self, zone: &str, region: &str) -> Vec<GatewayReport> {
        let state = self.state.lock().unwrap();
        let ready = state.gateways.values().filter(|gateway| gateway.is_ready);
        let mut gateways: Vec<GatewayReport> = ready.cloned().collect();
        let distance = |gateway: &GatewayReport| {
            if gateway.zone == zone { 0 } else { 1 + u8::from(gateway.region != region) }
        };
        gateways.sort_by_key(distance);
        let nearby = gateways.iter().filter(|gateway| distance(gateway) == 0).count();
        if nearby >= ENOUGH_NEARBY {
            gateways.truncate(nearby);
        }
        gateways.truncate(MOST_GATEWAYS);
        gateways
    }
}

impl NewsReader for Directory {
    fn request(&mut self) -> (SeenVersions, Option<GatewayReport>) {
        let mut seen = self.state.lock().unwrap().seen;
        // Only the gateways matter here: all else would be told to each member's directory at each change of a replica.
        (seen.document, seen.revision, seen.statuses) = (u64::MAX, u64::MAX, (u64::MAX, u64::MAX));
        (seen, None)
    }

    fn read(&mut self, view: FleetView, _asked_at: Time) {
        let mut state = self.state.lock().unwrap();
        if let Some((changes, blocked)) = &view.blocked {
            state.seen.blocked = *changes;
            let count = blocked.len();
            log::info!("control: event=requests_blocked count={count} changes={changes}");
        }
        if let Some(news) = view.gateways {
            state.seen.gateways = news.count;
            // A new leader has heard of nobody yet.
            if news.is_full && !news.changed.is_empty() {
                state.gateways.clear();
            }
            for address in &news.removed {
                state.gateways.remove(address);
            }
            let changed = news.changed.into_iter().map(|report| (report.address.clone(), report));
            state.gateways.extend(changed);
        }
    }
}
