//! The gateway process: forwards clients' requests to registered replicas.

use super::body_memory::BodyMemory;
use super::clients;
use super::crash_watch;
use super::dialect::{ControlCall, Dialect, HttpResponse};
use super::http_service::{self, Service};
use super::latch::Latch;
use super::link_monitor;
use super::log_text::per_second;
use super::metrics::{Metrics, MetricsService};
use super::peers::{self, Peers};
use super::pool::Pool;
use super::rate_limited_log::RateLimitedLog;
use super::replica_failures;
use super::request_reader::ReadLimits;
use super::settings::FleetSettings;
use super::store_reader;
use super::tunnel;
use super::watcher::{Seeds, WatchHandler, Watcher};
use crate::Executor;
use crate::clock::Clock;
use crate::http1::RequestHead;
use crate::ordered_lock::{LockRank, OrderedMutex};
use async_channel::Sender;
use async_net::TcpListener;
use eyre::{Result, WrapErr, eyre};
use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::Duration;
use topazmount_control::{
    CrashReport, FleetView, GatewayReport, NoticeKind, ReplicaNotice, SeenVersions,
};
use topazmount_gateway::{Carriers, GatewayState, HttpLimits, ReplicaLinks, WithheldFailures};
use topazmount_types::{ErrorKind, Instance, Time};
use topazmount_wire::ClusterKey;

/// Time for which a stopping gateway still accepts requests: clients may use a directory response for
/// up to three times its time to live.
const DRAIN_TIME: Duration = Duration::from_millis(2_700);
/// Part of the stop timeout that is reserved for ending the process.
const STOP_MARGIN: Duration = Duration::from_millis(500);
/// Part of that time in which requests that outlast the stop are answered.
const LAST_ANSWERS_TIME: Duration = Duration::from_millis(250);
/// How often a stopping gateway checks whether it can stop.
const STOP_CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// How often it checks whether the last requests have been answered.
const LAST_ANSWERS_INTERVAL: Duration = Duration::from_millis(5);

/// Options of a gateway.
pub struct GatewayOptions {
    /// Settings of the process.
    pub settings: FleetSettings,
    /// Defines headers, paths and body formats.
    pub dialect: Arc<dyn Dialect>,
}

/// State that all tasks of a gateway share.
pub(super) struct SharedState {
    pub(super) clock: Clock,
    pub(super) dialect: Arc<dyn Dialect>,
    pub(super) gateway_state: OrderedMutex<GatewayState>,
    /// State of the links to replicas.
    pub(super) links: OrderedMutex<ReplicaLinks>,
    /// Failures that count if the links turn out to work.
    pub(super) withheld_failures: OrderedMutex<WithheldFailures>,
    /// Makes the link monitor probe the links at once.
    pub(super) link_probes: Sender<()>,
    /// Gateways that carry tunnels to replicas.
    pub(super) carriers: OrderedMutex<Carriers>,
    /// Where control members hold records of streams.
    members: OrderedMutex<Vec<SocketAddr>>,
    origin_port: u16,
    /// Port at which gateways accept tunnels.
    pub(super) tunnel_port: u16,
    pub(super) cluster_key: ClusterKey,
    /// Number of tunnels that this gateway carries for others.
    pub(super) carried_tunnels: AtomicUsize,
    pub(super) event_log: RateLimitedLog,
    pub(super) metrics: Arc<Metrics>,
    pub(super) peers: Arc<Peers>,
    /// Local address of connections to replicas.
    pub(super) local_ip: Option<IpAddr>,
    /// Idle connections to replicas.
    pub(super) pool: Pool,
    /// Replicas whose connection broke while they served a request.
    pub(super) broken_connections: Sender<Instance>,
    /// Makes the watcher send a report at once.
    report_requests: Sender<()>,
    is_stopping: AtomicBool,
    /// Whether new requests are refused.
    pub(super) refuses_requests: AtomicBool,
    /// Set when the time for open requests to be served is over.
    pub(super) stop_deadline: Latch,
    pub(super) body_memory: BodyMemory,
    pub(super) open_requests: AtomicUsize,
}

/// A running gateway.
pub struct Gateway {
    shared: Arc<SharedState>,
    stop_timeout: Duration,
    seeds: Seeds,
}

impl Gateway {
    /// Starts the listeners and watches the control group.
    ///
    /// # Errors
    /// If a required setting is missing or an address can't be bound.
    pub async fn start(executor: &Executor, options: GatewayOptions) -> Result<Self> {
        let GatewayOptions { settings, dialect } = options;
        settings.warn_unused();
        let clients = settings.listen.clients;
        let clients = clients.ok_or_else(|| eyre!("listen.clients: required by a gateway"))?;
        let clock = Clock::start();
        let key = ClusterKey::from_text(&settings.cluster_key);
        let metrics = Arc::new(Metrics::default());
        let peers = Peers::bind(clients, settings.peer_port, key.clone(), metrics.clone()).await;
        let peers = Arc::new(peers.wrap_err("binding the socket for messages between gateways")?);
        let mut gateway_state =
            GatewayState::new(&settings.zone, settings.gateway_settings(), rand::random());
        settings.load_policies(gateway_state.policies())?;
        gateway_state.set_own_address(peers.own_address());
        let (report_sender, report_requests) = async_channel::bounded(1);
        let (broken_connections, broken_receiver) =
            async_channel::bounded(crash_watch::MAX_PENDING);
        let (link_probes, probe_receiver) = async_channel::bounded(1);
        let shared = Arc::new(SharedState {
            clock,
            dialect,
            gateway_state: OrderedMutex::new(LockRank::GatewayState, gateway_state),
            links: OrderedMutex::new(LockRank::Links, ReplicaLinks::default()),
            withheld_failures: OrderedMutex::new(
                LockRank::WithheldFailures,
                WithheldFailures::default(),
            ),
            link_probes,
            carriers: OrderedMutex::new(LockRank::Carriers, Carriers::default()),
            members: OrderedMutex::new(LockRank::Members, Vec::new()),
            origin_port: settings.origin_port(),
            tunnel_port: settings.tunnel_port(),
            cluster_key: key.clone(),
            carried_tunnels: AtomicUsize::new(0),
            event_log: RateLimitedLog::default(),
            metrics,
            peers: peers.clone(),
            local_ip: settings.connections.local_ip,
            pool: Pool::default(),
            broken_connections,
            report_requests: report_sender,
            is_stopping: AtomicBool::new(false),
            refuses_requests: AtomicBool::new(false),
            stop_deadline: Latch::default(),
            body_memory: BodyMemory::default(),
            open_requests: AtomicUsize::new(0),
        });
        let listener =
            TcpListener::bind(clients).await.wrap_err_with(|| format!("listening at {clients}"))?;
        let accepting = clients::accept(executor.clone(), listener, shared.clone());
        executor.spawn(accepting).detach();
        if let Some(address) = settings.listen.ready {
            http_service::serve(executor, address, Arc::new(Readiness(shared.clone()))).await?;
        }
        if let Some(address) = settings.listen.metrics {
            let shared = shared.clone();
            let service = MetricsService(move || std::future::ready(shared.render_metrics()));
            http_service::serve(executor, address, Arc::new(service)).await?;
        }
        let tunnel_address = SocketAddr::new(clients.ip(), settings.tunnel_port());
        tunnel::serve(executor, tunnel_address, shared.clone()).await?;
        executor.spawn(peers::run_sender(peers.clone(), shared.clone())).detach();
        executor.spawn(peers::run_receiver(peers, shared.clone())).detach();
        executor
            .spawn(crash_watch::run(executor.clone(), shared.clone(), broken_receiver))
            .detach();
        executor.spawn(link_monitor::run(shared.clone(), probe_receiver)).detach();
        executor.spawn(replica_failures::run(shared.clone())).detach();
        executor.spawn(store_reader::run(executor.clone(), shared.clone())).detach();
        let seeds = Seeds::new(settings.seed_peer_addresses());
        let watcher = Watcher::new(executor, clock, key, seeds.clone(), true);
        let report = GatewayReport {
            address: clients.to_string(),
            zone: settings.zone.clone(),
            region: settings.region.clone(),
            is_ready: false,
            is_legacy: false,
        };
        let watch = GatewayWatch { shared: shared.clone(), report };
        executor.spawn(watcher.run(watch, report_requests)).detach();
        log::info!("gateway: event=start name={} zone={}", settings.name, settings.zone);
        Ok(Gateway { shared, stop_timeout: settings.stop_timeout(), seeds })
    }

    /// Applies changed settings. Addresses and names only change at the next start.
    pub fn reload(&self, settings: &FleetSettings) {
        let mut gateway_state = self.shared.gateway_state.lock();
        if let Err(error) = settings.load_policies(gateway_state.policies()) {
            log::error!("gateway: event=reload_refused problem={error:#}");
            return;
        }
        gateway_state.set_settings(settings.gateway_settings());
        self.seeds.set(settings.seed_peer_addresses());
        log::info!("gateway: event=reload policies={}", settings.policies.len());
    }

    /// Stops gracefully: reports that the gateway is not ready, serves requests until clients have had
    /// time to turn to other gateways, answers those that are still open at the end, then returns.
    pub async fn stop(self) {
        log::info!("gateway: event=stop");
        self.shared.is_stopping.store(true, Ordering::SeqCst);
        self.shared.request_report();
        let started_at = self.shared.clock.now();
        let time_limit = self.stop_timeout.saturating_sub(STOP_MARGIN);
        let deadline = started_at + time_limit;
        // Half of a short stop is left for the requests that were accepted last.
        let refuses_from = started_at + DRAIN_TIME.min(time_limit / 2);
        loop {
            async_io::Timer::after(STOP_CHECK_INTERVAL).await;
            let now = self.shared.clock.now();
            if now >= refuses_from {
                self.shared.refuses_requests.store(true, Ordering::SeqCst);
            }
            if now >= deadline || (self.open_requests() == 0 && now >= refuses_from) {
                break;
            }
        }
        let outlasting = self.open_requests();
        self.shared.stop_deadline.set();
        let answered = deadline + LAST_ANSWERS_TIME;
        while self.open_requests() > 0 && self.shared.clock.now() < answered {
            async_io::Timer::after(LAST_ANSWERS_INTERVAL).await;
        }
        let open = self.open_requests();
        log::info!("gateway: event=stopped outlasting_requests={outlasting} open_requests={open}");
    }

    fn open_requests(&self) -> usize {
        self.shared.open_requests.load(Ordering::SeqCst)
    }
}

impl SharedState {
    /// Makes the watcher send a report at once, unless that is already pending.
    pub(super) fn request_report(&self) {
        let _ = self.report_requests.try_send(());
    }

    /// Where control members hold records of streams.
    pub(super) fn members(&self) -> Vec<SocketAddr> {
        self.members.lock().clone()
    }

    /// Updates the control members from the view of one that is in contact with the group.
    fn update_members(&self, view: &FleetView) {
        if view.staleness.is_none() {
            return;
        }
        let internal = view.members.iter().filter_map(|address| address.parse().ok());
        let members = internal
            .map(|address: SocketAddr| SocketAddr::new(address.ip(), self.origin_port))
            .collect();
        *self.members.lock() = members;
    }

    pub(super) fn is_stopping(&self) -> bool {
        self.is_stopping.load(Ordering::SeqCst)
    }

    fn render_metrics(&self) -> String {
        let is_ready = self.is_ready();
        let open = self.open_requests.load(Ordering::SeqCst);
        {
            let mut gateway_state = self.gateway_state.lock();
            let seen = gateway_state.seen_versions();
            self.metrics.set_gauge("configuration_version", seen.document as i64);
            self.metrics.set_gauge("registry_revision", seen.revision as i64);
            for (name, counters) in gateway_state.policies().report() {
                self.metrics.set_policy_counters(name, counters);
            }
            let blocked = gateway_state.crashes().blocked_count();
            self.metrics.set_gauge("blocked_requests", blocked as i64);
            let (in_backoff, leaving) = gateway_state.balancer().pushback_counts(self.clock.now());
            self.metrics.set_gauge("resting_replicas", in_backoff as i64);
            self.metrics.set_gauge("leaving_replicas", leaving as i64);
            let limited = gateway_state.balancer().limited_count();
            self.metrics.set_gauge("limited_replicas", limited as i64);
            self.metrics.set_gauge("replicas", gateway_state.balancer().instances().count() as i64);
        }
        let is_partitioned = self.links.lock().is_partitioned();
        self.metrics.set_gauge("partitioned", i64::from(is_partitioned));
        let carried = self.carried_tunnels.load(Ordering::SeqCst);
        self.metrics.set_gauge("carried_tunnels", carried as i64);
        self.metrics.set_gauge("ready", i64::from(is_ready));
        self.metrics.set_gauge("open_requests", open as i64);
        self.metrics.set_gauge("kept_connections", self.pool.count() as i64);
        self.metrics.render()
    }

    /// Logs what the leader told of a replica.
    fn log_notice(&self, notice: &ReplicaNotice) {
        self.metrics.count_event("notice");
        let (kind, limit) = match notice.kind {
            NoticeKind::Limit(limit) => ("limit", limit),
            NoticeKind::Leaving => ("leaving", None),
        };
        self.event_log.info(|| {
            format!(
                "gateway: event=notice incarnation={} kind={kind} per_second={} age_ms={}",
                notice.incarnation,
                per_second(limit),
                notice.age.as_millis()
            )
        });
    }

    fn is_ready(&self) -> bool {
        let now = self.clock.now();
        !self.is_stopping() && self.gateway_state.lock().is_confirmed(now)
    }

    /// Limits on clients' requests, from the current catalog.
    pub(super) fn read_limits(&self) -> ReadLimits {
        let gateway_state = self.gateway_state.lock();
        let limits =
            gateway_state.catalog().map_or_else(HttpLimits::default, |catalog| catalog.limits());
        ReadLimits {
            max_head_bytes: limits.max_header_bytes,
            max_body_bytes: limits.max_body_bytes,
            idle_timeout: limits.idle_timeout,
            head_timeout: limits.header_timeout,
            body_timeout: limits.idle_timeout,
        }
    }

    /// Retry delay for a refused client.
    pub(super) fn retry_after(&self, kind: ErrorKind) -> Option<Duration> {
        kind.retry_after().filter(|_| kind.status() == 503)?;
        Some(self.gateway_state.lock().retry_after(kind, self.clock.now()))
    }
}

/// Serves readiness checks.
struct Readiness(Arc<SharedState>);

impl Service for Readiness {
    async fn handle(&self, head: RequestHead, body: Vec<u8>) -> HttpResponse {
        let dialect = &self.0.dialect;
        match dialect.parse_control_call(&head, &body) {
            ControlCall::Readiness if self.0.is_ready() => dialect.message_response(200, "ready"),
            ControlCall::Readiness => dialect.message_response(503, "not ready"),
            _ => dialect.message_response(404, "no such call"),
        }
    }
}

/// Applies views from the control group to the gateway.
struct GatewayWatch {
    shared: Arc<SharedState>,
    report: GatewayReport,
}

impl GatewayWatch {
    /// Sends the replica limits that this gateway grants to gateways that have just been listed.
    fn send_limits_to_new_gateways(&self) {
        let now = self.shared.clock.now();
        let (new_gateways, limits) =
            self.shared.gateway_state.lock().limit_updates_for_new_gateways(now);
        for update in limits {
            self.shared.peers.send_limit_update(new_gateways.clone(), update);
        }
    }
}

impl WatchHandler for GatewayWatch {
    fn watch_state(&mut self) -> (SeenVersions, Option<GatewayReport>) {
        let is_ready = self.shared.is_ready();
        let report = GatewayReport { is_ready, ..self.report.clone() };
        (self.shared.gateway_state.lock().seen_versions(), Some(report))
    }

    fn crash_notes(&mut self) -> CrashReport {
        let now = self.shared.clock.now();
        self.shared.gateway_state.lock().crashes().report(now)
    }

    fn notices(&mut self) -> Vec<ReplicaNotice> {
        let now = self.shared.clock.now();
        self.shared.gateway_state.lock().notices_to_report(now)
    }

    fn on_failure(&mut self) {
        self.shared.gateway_state.lock().forget_leader_notices();
    }

    fn on_view(&mut self, view: FleetView, requested_at: Time) {
        self.shared.update_members(&view);
        let catalog = view.document.as_ref().and_then(|document| {
            let catalog = self.shared.dialect.parse_catalog(&document.bytes);
            if let Err(problem) = &catalog {
                log::error!("gateway: event=unreadable_document problem={problem}");
            }
            catalog.ok()
        });
        if let Some(catalog) = &catalog {
            self.shared.metrics.count_event("configuration");
            log::info!("gateway: event=configuration version={}", catalog.version());
        }
        for instance in &view.instances {
            self.shared.event_log.info(|| {
                format!(
                    "gateway: event=instance id={} start={} service={} address={} draining={} \
                     revision={}",
                    instance.id,
                    instance.start,
                    instance.service,
                    instance.address,
                    instance.is_draining,
                    instance.changed_at
                )
            });
        }
        for removed in &view.removed {
            self.shared.event_log.info(|| {
                format!(
                    "gateway: event=instance_removed id={} start={} announced={} revision={}",
                    removed.id, removed.start, removed.was_announced, view.revision
                )
            });
        }
        let (crashed, (blocked, released), changes, notices) = {
            let mut gateway_state = self.shared.gateway_state.lock();
            let now = self.shared.clock.now();
            let crashed = gateway_state.confirm_crashes(&view, now);
            let changes = gateway_state.apply(&view, catalog, requested_at);
            gateway_state.confirm_grants(&view, requested_at, now);
            let notices = gateway_state.apply_notices(&view, now);
            (crashed, gateway_state.apply_blocked(&view, now), changes, notices)
        };
        notices.iter().for_each(|notice| self.shared.log_notice(notice));
        self.send_limits_to_new_gateways();
        changes.iter().for_each(|change| self.shared.handle_change(change, "status"));
        for (instance, requests) in crashed {
            crash_watch::report_crash(&self.shared, &instance, requests, "replaced");
        }
        for digest in blocked {
            self.shared.metrics.count_event("request_blocked");
            log::warn!("gateway: event=request_blocked digest={digest}");
        }
        for digest in released {
            self.shared.metrics.count_event("request_released");
            log::info!("gateway: event=request_released digest={digest}");
        }
    }
}
