//! Watches the control group: long polls control members for changes, the leader first.

use crate::Executor;
use crate::clock::Clock;
use crate::control_client::ControlClient;
use crate::frames::ConnectLimit;
use async_channel::Receiver;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use topazmount_control::{
    CrashReport, FleetRequest, FleetResponse, FleetView, GatewayReport, ReplicaNotice, Request,
    Response, SeenVersions, WatchRequest,
};
use topazmount_types::Time;
use topazmount_wire::ClusterKey;

/// How long a member may hold a response while nothing changes.
const HOLD_TIME: Duration = Duration::from_millis(400);
/// Additional time after which a watch request times out.
const RESPONSE_MARGIN: Duration = Duration::from_millis(350);
/// First delay after a member failed or had no current data. It grows with each failure in a row and is
/// randomized, so that many gateways don't overload a leaderless group.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(60);
/// Longest such delay before randomization; less than an election takes.
const MAX_RETRY_DELAY: Duration = Duration::from_millis(300);
/// Time for which a member that failed is not asked again if there are others.
const AVOID_TIME: Duration = Duration::from_millis(1_500);

/// Shortest suspension of the machine that is logged; shorter ones are inaccuracies of clock readings.
const MIN_LOGGED_SUSPENSION: Duration = Duration::from_millis(100);

/// Upper bound on known members; larger than any group.
const MAX_MEMBERS: usize = 32;

/// Supplies a watcher's reports and receives its views.
pub trait WatchHandler: Send + 'static {
    /// Versions that have been applied, and the process's own report.
    fn watch_state(&mut self) -> (SeenVersions, Option<GatewayReport>);
    /// Recently seen crashes.
    fn crash_notes(&mut self) -> CrashReport {
        CrashReport::default()
    }
    /// Replicas' notices that the leader lacks.
    fn notices(&mut self) -> Vec<ReplicaNotice> {
        Vec::new()
    }
    /// Called when a member did not respond.
    fn on_failure(&mut self) {}
    /// Applies a view that was requested at `requested_at`.
    fn on_view(&mut self, view: FleetView, requested_at: Time);
}

/// Addresses of members from the settings, which may change while the process runs.
#[derive(Clone)]
pub struct Seeds(Arc<Mutex<Vec<SocketAddr>>>);

impl Seeds {
    /// Starts with these seeds.
    pub fn new(seeds: Vec<SocketAddr>) -> Self {
        Seeds(Arc::new(Mutex::new(seeds)))
    }

    /// Replaces the seeds.
    pub fn set(&self, seeds: Vec<SocketAddr>) {
        *self.0.lock().unwrap() = seeds;
    }

    fn get(&self) -> Vec<SocketAddr> {
        self.0.lock().unwrap().clone()
    }
}

/// Result of one watch request.
enum WatchResult {
    View(Box<FleetView>),
    ReportRequested,
    Failed,
}

/// The result for a view whose parts may be packed.
fn unpacked(member: SocketAddr, mut view: Box<FleetView>) -> WatchResult {
    match view.unpack() {
        Ok(()) => WatchResult::View(view),
        Err(error) => {
            log::warn!("link: event=unreadable_view member={member} problem={error}");
            WatchResult::Failed
        }
    }
}

/// Watches the control group through one member at a time.
pub struct Watcher {
    executor: Executor,
    clock: Clock,
    key: ClusterKey,
    wants_gateways: bool,
    seeds: Seeds,
    members: Vec<SocketAddr>,
    clients: HashMap<SocketAddr, ControlClient>,
    avoided: HashMap<SocketAddr, Time>,
    connect_limit: ConnectLimit,
    is_connected: bool,
    /// When a member last responded.
    responded_at: Time,
    /// Total suspended time of the machine at the last log line.
    logged_suspension: Duration,
    /// Next delay after a failure, before randomization.
    retry_delay: Duration,
}

impl Watcher {
    /// Creates a watcher that starts with the seeds.
    pub fn new(
        executor: &Executor,
        clock: Clock,
        key: ClusterKey,
        seeds: Seeds,
        wants_gateways: bool,
    ) -> Self {
        Watcher {
            executor: executor.clone(),
            clock,
            key,
            wants_gateways,
            seeds,
            members: Vec::new(),
            clients: HashMap::new(),
            avoided: HashMap::new(),
            connect_limit: ConnectLimit::default(),
            is_connected: true,
            responded_at: clock.now(),
            logged_suspension: Duration::ZERO,
            retry_delay: MIN_RETRY_DELAY,
        }
    }

    /// Watches forever; sends a new request at once when `report_requests` receives a message.
    pub async fn run(mut self, mut handler: impl WatchHandler, report_requests: Receiver<()>) {
        let mut position: usize = rand::random_range(0..self.seeds.get().len().max(1));
        let mut leader: Option<SocketAddr> = None;
        loop {
            self.log_suspension();
            let target = self.next_target(leader.take(), &mut position);
            let requested_at = self.clock.now();
            let (seen, gateway) = handler.watch_state();
            let watch = WatchRequest {
                gateway,
                seen,
                wants_gateways: self.wants_gateways,
                wait: HOLD_TIME,
                crashes: handler.crash_notes(),
                notices: handler.notices(),
                accepts_packed: true,
            };
            match self.send_watch(target, watch, &report_requests).await {
                WatchResult::ReportRequested => leader = Some(target),
                WatchResult::View(view) => {
                    self.update_connected(target, true);
                    self.update_members(&view);
                    let reported_leader =
                        view.leader.as_ref().and_then(|address| address.parse().ok());
                    let is_current = view.staleness.is_some();
                    // A member that has sent a part of all replicas sends the rest, so that gateways that
                    // start together are spread over the members.
                    let continues = is_current && view.has_more;
                    let next =
                        if is_current { reported_leader.or(Some(target)) } else { reported_leader };
                    leader = if continues { Some(target) } else { next };
                    handler.on_view(*view, requested_at);
                    match is_current {
                        true => self.retry_delay = MIN_RETRY_DELAY,
                        false => self.avoid_and_wait(target).await,
                    }
                }
                WatchResult::Failed => {
                    handler.on_failure();
                    self.update_connected(target, false);
                    self.avoid_and_wait(target).await;
                }
            }
        }
    }

    async fn send_watch(
        &mut self,
        target: SocketAddr,
        watch: WatchRequest,
        report_requests: &Receiver<()>,
    ) -> WatchResult {
        let client = self.clients.entry(target).or_insert_with(|| {
            let key = self.key.clone();
            ControlClient::with_limit(&self.executor, target, key, self.connect_limit)
        });
        let request = Request::Fleet(FleetRequest::Watch(watch));
        let watching = async {
            match client.ask(request, HOLD_TIME + RESPONSE_MARGIN).await {
                Ok(Response::Fleet(FleetResponse::View(view))) => unpacked(target, view),
                _ => WatchResult::Failed,
            }
        };
        let report_requested = async {
            match report_requests.recv().await {
                Ok(()) => WatchResult::ReportRequested,
                Err(_) => futures_lite::future::pending().await,
            }
        };
        let result = futures_lite::future::or(watching, report_requested).await;
        match result {
            // The connection may hang in a network partition, so the next request opens a new one.
            WatchResult::Failed => {
                self.clients.remove(&target);
                self.connect_limit.failed();
            }
            WatchResult::View(_) => self.connect_limit.succeeded(),
            WatchResult::ReportRequested => {}
        }
        result
    }

    /// The leader, unless it failed recently; otherwise the next of all known members.
    fn next_target(&mut self, leader: Option<SocketAddr>, position: &mut usize) -> SocketAddr {
        let now = self.clock.now();
        self.avoided.retain(|_, until| now < *until);
        if let Some(leader) = leader.filter(|address| !self.avoided.contains_key(address)) {
            return leader;
        }
        let mut candidates = self.members.clone();
        candidates.extend(self.seeds.get().iter().filter(|seed| !self.members.contains(seed)));
        let available: Vec<SocketAddr> = candidates
            .iter()
            .filter(|address| !self.avoided.contains_key(address))
            .copied()
            .collect();
        let targets = if available.is_empty() { candidates } else { available };
        *position = position.wrapping_add(1);
        targets[*position % targets.len()]
    }

    /// Avoids a member that failed and waits before the next request.
    async fn avoid_and_wait(&mut self, member: SocketAddr) {
        self.avoid(member);
        let spread = 0.5 + rand::random::<f64>();
        async_io::Timer::after(self.retry_delay.mul_f64(spread)).await;
        self.retry_delay = (self.retry_delay * 3 / 2).min(MAX_RETRY_DELAY);
    }

    fn avoid(&mut self, address: SocketAddr) {
        self.avoided.insert(address, self.clock.now() + AVOID_TIME);
    }

    fn update_members(&mut self, view: &FleetView) {
        let listed = view.members.iter().filter_map(|address| address.parse().ok());
        // A member without contact to the group may list outdated members. They are worth a try, but
        // must not replace a list from a member that is in contact.
        if view.staleness.is_some() {
            self.members = listed.collect();
        } else {
            for address in listed {
                if self.members.len() < MAX_MEMBERS && !self.members.contains(&address) {
                    self.members.push(address);
                }
            }
        }
        let (members, seeds) = (&self.members, self.seeds.get());
        self.clients.retain(|address, _| members.contains(address) || seeds.contains(address));
    }

    fn log_suspension(&mut self) {
        let suspended = self.clock.suspended();
        let elapsed = suspended.saturating_sub(self.logged_suspension);
        if elapsed >= MIN_LOGGED_SUSPENSION {
            self.logged_suspension = suspended;
            log::warn!("link: event=suspended for_ms={}", elapsed.as_millis());
        }
    }

    /// Logs when no member responds any more, and when one responds again.
    fn update_connected(&mut self, target: SocketAddr, has_responded: bool) {
        let now = self.clock.now();
        if has_responded {
            self.responded_at = now;
        }
        // A member that fails is no loss of connection while others respond.
        let is_connected = now < self.responded_at + AVOID_TIME;
        if self.is_connected != is_connected {
            self.is_connected = is_connected;
            let state = if is_connected { "regained" } else { "lost" };
            log::info!("link: event=control_{state} member={target}");
        }
    }
}
