//! Probes the links to replicas when they are in doubt, and while they are partitioned.

use super::gateway::SharedState;
use super::http_service::with_timeout;
use crate::http1::connect;
use async_channel::Receiver;
use async_io::Timer;
use futures_lite::future::zip;
use std::sync::Arc;
use std::time::Duration;
use topazmount_gateway::{Choice, LinkState};
use topazmount_types::Time;

/// Time limit for connecting in a probe, the same as in an attempt.
const PROBE_TIMEOUT: Duration = Duration::from_millis(300);
/// Time for which a connection must stay open to count as working: a filter on the way may accept it and
/// then reset it.
const HOLD_TIME: Duration = Duration::from_millis(150);
/// Replicas that are tried in a probe.
const MAX_TARGETS: usize = 3;
/// Time between probes while the links are partitioned.
const PROBE_INTERVAL: Duration = Duration::from_millis(500);

/// Probes the links whenever `requests` receives a message, and periodically while they are
/// partitioned.
pub(super) async fn run(shared: Arc<SharedState>, requests: Receiver<()>) {
    loop {
        let is_partitioned = shared.links.lock().is_partitioned();
        if is_partitioned {
            Timer::after(PROBE_INTERVAL).await;
            let _ = requests.try_recv();
        } else if requests.recv().await.is_err() {
            return;
        }
        probe(&shared).await;
    }
}

/// Tries new connections to a few replicas at the same time. A single one that works settles a doubt, but
/// most must work to end a partition.
async fn probe(shared: &SharedState) {
    let targets = shared.gateway_state.lock().balancer().sample_addresses(MAX_TARGETS);
    if targets.is_empty() {
        return;
    }
    let began = shared.clock.now();
    let target = |position: usize| probe_one(shared, targets.get(position));
    let (first, (second, third)) = zip(target(0), zip(target(1), target(2))).await;
    let reached = [first, second, third].into_iter().filter(|works| *works).count();
    if reached * 2 > targets.len() {
        shared.on_replica_connected(began);
    }
    let now = shared.clock.now();
    if reached == 0 && shared.links.lock().on_probes_failed(began, now) {
        shared.metrics.count_event("links_partitioned");
        drop(shared.withheld_failures.lock().take());
        // Connections that still work may stop doing so without notice.
        shared.pool.clear();
        log::warn!("gateway: event=links state=partitioned probed={}", targets.join(","));
    }
}

/// Whether a new connection to a replica comes up and stays open.
async fn probe_one(shared: &SharedState, target: Option<&String>) -> bool {
    let Some(target) = target.and_then(|address| address.parse().ok()) else { return false };
    shared.metrics.count_event("link_probed");
    let opened_at = shared.clock.now();
    let Ok(mut wire) = connect(target, shared.local_ip, PROBE_TIMEOUT).await else { return false };
    let is_closed = with_timeout(HOLD_TIME, wire.fill()).await;
    let works = !matches!(is_closed, Some(Ok(0) | Err(_)));
    let is_partitioned = shared.links.lock().is_partitioned();
    if works && !is_partitioned {
        shared.on_replica_connected(opened_at);
    }
    works
}

/// How a connection to a replica came about.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Path {
    /// Taken from the pool.
    Pooled,
    /// Opened at this time.
    Direct(Time),
    /// Through another gateway.
    Tunnel,
}

impl SharedState {
    /// Records that data arrived on a connection to a replica.
    pub(super) fn on_replica_data(&self, path: Path) {
        match path {
            Path::Pooled => self.links.lock().on_data(self.clock.now()),
            Path::Direct(opened_at) => {
                self.links.lock().on_data(self.clock.now());
                self.on_replica_connected(opened_at);
            }
            Path::Tunnel => {}
        }
    }

    /// Records that a connection to a replica ended too early. Returns whether the path may have
    /// failed and not the replica. Without other gateways nothing can tell, and nobody else is misled.
    pub(super) fn is_path_failure(&self, path: Path) -> bool {
        match path {
            Path::Tunnel => true,
            Path::Pooled | Path::Direct(_) => {
                self.is_link_failure(self.clock.now()) && self.has_other_gateways()
            }
        }
    }

    /// Records that a replica sent nothing since `sent_at`. Returns whether the path may have failed
    /// and not the replica.
    pub(super) fn is_path_silence(&self, path: Path, sent_at: Time) -> bool {
        match path {
            Path::Tunnel => true,
            Path::Pooled | Path::Direct(_) => {
                self.is_link_silence(sent_at) && self.has_other_gateways()
            }
        }
    }

    /// Whether requests go to replicas through other gateways.
    pub(super) fn uses_tunnels(&self) -> bool {
        let is_partitioned = self.links.lock().is_partitioned();
        is_partitioned && self.has_other_gateways()
    }

    /// Whether requests can reach replicas neither directly nor through other gateways.
    pub(super) fn is_isolated(&self) -> bool {
        self.links.lock().isolated_for(self.clock.now()).is_some()
    }

    /// Whether there is any other gateway.
    pub(super) fn has_other_gateways(&self) -> bool {
        self.gateway_state.lock().gateways().has_others(self.clock.now())
    }

    /// Records that a connection to a replica that was opened at `opened_at` worked.
    pub(super) fn on_replica_connected(&self, opened_at: Time) {
        let now = self.clock.now();
        let (partitioned_for, state) = {
            let mut links = self.links.lock();
            (links.on_connected(opened_at, now), links.state())
        };
        if state == LinkState::Working {
            self.count_withheld_failures(now);
        }
        if let Some(partitioned_for) = partitioned_for {
            self.metrics.count_event("links_restored");
            let millis = partitioned_for.as_millis();
            log::info!("gateway: event=links state=working partitioned_ms={millis}");
        }
    }

    /// Withholds the failure of a replica until it is known whether the links work.
    pub(super) fn withhold_failure(&self, choice: &Choice) {
        self.withheld_failures.lock().add(choice);
    }

    fn count_withheld_failures(&self, now: Time) {
        let failed = self.withheld_failures.lock().take();
        if failed.is_empty() {
            return;
        }
        for choice in failed {
            self.record_replica_failure(&choice, now);
        }
    }

    /// Records that a connection to a replica, opened at `began`, failed. Returns whether the links are
    /// in doubt, so that the failure says nothing about the replica.
    pub(super) fn is_link_failure(&self, began: Time) -> bool {
        let is_in_doubt = self.links.lock().on_failure(began);
        if is_in_doubt {
            self.probe_links();
        }
        is_in_doubt
    }

    /// Records that a replica sent nothing since `sent_at`. Returns whether the links are in doubt.
    fn is_link_silence(&self, sent_at: Time) -> bool {
        let is_in_doubt = self.links.lock().on_silence(sent_at);
        if is_in_doubt {
            self.probe_links();
        }
        is_in_doubt
    }

    /// Makes the link monitor probe at once, unless that is already pending.
    pub(super) fn probe_links(&self) {
        let _ = self.link_probes.try_send(());
    }
}
