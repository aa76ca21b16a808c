//! The gateway process: takes clients' requests and forwards them to registered replicas.

use super::clients;
use super::crash_watch;
use super::dialect::{ControlCall, Dialect, HttpResponse};
use super::http_service::{self, Service};
use super::journal::Journal;
use super::metrics::{Metrics, MetricsService};
use super::peers::{self, Peers};
use super::pool::Pool;
use super::request_reader::ReadLimits;
use super::settings::FleetSettings;
use super::store_reader;
use super::watcher::{NewsReader, Seeds, Watcher};
use crate::Executor;
use crate::clock::Clock;
use crate::http1::RequestHead;
use async_channel::Sender;
use async_net::TcpListener;
use eyre::{Result, WrapErr, eyre};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use topazmount_control::{CrashReport, FleetView, GatewayReport, SeenVersions};
use topazmount_gateway::{GatewayState, HttpLimits};
use topazmount_types::{ErrorKind, Instance, Time};
use topazmount_wire::ClusterKey;

/// Time for which a stopping gateway still takes requests: clients hold an answer of the directory
/// for up to three times its life. Later ones might not end before the process does.
const LEAVING_TIME: Duration = Duration::from_millis(2_700);
/// Part of the time of a planned stop that is kept back for the end of the process.
const STOP_MARGIN: Duration = Duration::from_millis(500);
/// How often a stopping gateway looks whether it is done.
const STOP_CHECK: Duration = Duration::from_millis(50);

/// What a gateway needs.
pub struct GatewayOptions {
    /// Settings.
    pub settings: FleetSettings,
    /// Names, formats and calls.
    pub dialect: Arc<dyn Dialect>,
}

/// State that all tasks of a gateway share.
pub(super) struct Shared {
    pub(super) clock: Clock,
    pub(super) dialect: Arc<dyn Dialect>,
    pub(super) knowledge: Mutex<GatewayState>,
    pub(super) journal: Journal,
    pub(super) metrics: Metrics,
    pub(super) peers: Arc<Peers>,
    /// Connections to replicas at rest.
    pub(super) pool: Pool,
    /// Replicas at which a connection broke under a request.
    pub(super) broken_at: Sender<Instance>,
    /// Wakes the watcher, to report at once.
    nudge: Sender<()>,
    is_stopping: AtomicBool,
    /// Whether new requests are refused.
    pub(super) is_closed: AtomicBool,
    pub(super) open_requests: AtomicUsize,
}

/// A running gateway.
pub struct Gateway {
    shared: Arc<Shared>,
    stop_time: Duration,
    seeds: Seeds,
}

impl Gateway {
    /// Starts the listeners and asks the control group for news.
    ///
    /// # Errors
    /// When settings lack something or an address can't be bound.
    pub async fn start(executor: &Executor, options: GatewayOptions) -> Result<Self> {
        let GatewayOptions { settings, dialect } = options;
        let clients = settings.listen.clients;
        let clients = clients.ok_or_else(|| eyre!("listen.clients: a gateway needs it"))?;
        let clock = Clock::start();
        let key = ClusterKey::from_text(&settings.cluster_key);
        let peers = Peers::bind(clients, settings.peer_port, key.clone()).await;
        let peers = Arc::new(peers.wrap_err("listening for other gateways")?);
        let mut knowledge =
            GatewayState::new(&settings.zone, settings.gateway_settings(), rand::random());
        settings.load_policies(knowledge.policies())?;
        knowledge.set_own_address(peers.own_address());
        let (nudge, nudges) = async_channel::bounded(1);
        let (broken_at, broken) = async_channel::bounded(crash_watch::MOST_WAITING);
        let shared = Arc::new(Shared {
            clock,
            dialect,
            knowledge: Mutex::new(knowledge),
            journal: Journal::default(),
            metrics: Metrics::default(),
            peers: peers.clone(),
            pool: Pool::default(),
            broken_at,
            nudge,
            is_stopping: AtomicBool::new(false),
            is_closed: AtomicBool::new(false),
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
        executor.spawn(peers::send_waiting(peers.clone())).detach();
        executor.spawn(peers::listen(peers, shared.clone())).detach();
        executor.spawn(crash_watch::run(executor.clone(), shared.clone(), broken)).detach();
        executor.spawn(store_reader::run(executor.clone(), shared.clone())).detach();
        let seeds = Seeds::new(settings.seed_peer_addresses());
        let watcher = Watcher::new(executor, clock, key, seeds.clone(), true);
        let report = GatewayReport {
            address: clients.to_string(),
            zone: settings.zone.clone(),
            region: settings.region.clone(),
            is_ready: false,
        };
        let news = News { shared: shared.clone(), report };
        executor.spawn(watcher.run(news, nudges)).detach();
        log::info!("gateway: event=start name={} zone={}", settings.name, settings.zone);
        Ok(Gateway { shared, stop_time: settings.stop_timeout(), seeds })
    }

    /// Takes changed settings into use; addresses and names stay until the next start.
    pub fn reload(&self, settings: &FleetSettings) {
        let mut knowledge = self.shared.knowledge.lock().unwrap();
        if let Err(error) = settings.load_policies(knowledge.policies()) {
            log::error!("gateway: event=reload_refused problem={error:#}");
            return;
        }
        knowledge.set_settings(settings.gateway_settings());
        self.seeds.set(settings.seed_peer_addresses());
        log::info!("gateway: event=reload policies={}", settings.policies.len());
    }

    /// Stops as planned: tells that it is not ready, finishes what comes in until clients have
    /// turned elsewhere, then ends.
    pub async fn stop(self) {
        log::info!("gateway: event=stop");
        self.shared.is_stopping.store(true, Ordering::SeqCst);
        self.shared.report_at_once();
        let began = self.shared.clock.now();
        let ends_at = began + self.stop_time.saturating_sub(STOP_MARGIN);
        loop {
            async_io::Timer::after(STOP_CHECK).await;
            let now = self.shared.clock.now();
            let is_idle = self.shared.open_requests.load(Ordering::SeqCst) == 0;
            if now >= began + LEAVING_TIME {
                self.shared.is_closed.store(true, Ordering::SeqCst);
            }
            if now >= ends_at || (is_idle && now >= began + LEAVING_TIME) {
                break;
            }
        }
        let open = self.shared.open_requests.load(Ordering::SeqCst);
        log::info!("gateway: event=stopped open_requests={open}");
    }
}

impl Shared {
    /// Has the watcher report at once; where it is about to, nothing more is needed.
    pub(super) fn report_at_once(&self) {
        let _ = self.nudge.try_send(());
    }

    pub(super) fn is_stopping(&self) -> bool {
        self.is_stopping.load(Ordering::SeqCst)
    }

    fn render_metrics(&self) -> String {
        let is_ready = self.is_ready();
        let open = self.open_requests.load(Ordering::SeqCst);
        {
            let mut knowledge = self.knowledge.lock().unwrap();
            let seen = knowledge.seen_versions();
            self.metrics.set_state("configuration_version", seen.document as i64);
            self.metrics.set_state("registry_revision", seen.revision as i64);
            for (name, counters) in knowledge.policies().report() {
                self.metrics.set_policy(name, counters);
            }
            let blocked = knowledge.crashes().blocked_count();
            self.metrics.set_state("blocked_requests", blocked as i64);
            let (resting, leaving) = knowledge.balancer().pushback_counts(self.clock.now());
            self.metrics.set_state("resting_replicas", resting as i64);
            self.metrics.set_state("leaving_replicas", leaving as i64);
            let limited = knowledge.balancer().limited_count();
            self.metrics.set_state("limited_replicas", limited as i64);
            self.metrics.set_state("replicas", knowledge.balancer().instances().count() as i64);
        }
        self.metrics.set_state("ready", i64::from(is_ready));
        self.metrics.set_state("open_requests", open as i64);
        self.metrics.set_state("kept_connections", self.pool.count() as i64);
        self.metrics.render()
    }

    fn is_ready(&self) -> bool {
        let now = self.clock.now();
        !self.is_stopping() && self.knowledge.lock().unwrap().is_confirmed(now)
    }

    /// Bounds on what clients may send, as the catalog in force says.
    pub(super) fn read_limits(&self) -> ReadLimits {
        let knowledge = self.knowledge.lock().unwrap();
        let limits =
            knowledge.catalog().map_or_else(HttpLimits::default, |catalog| catalog.limits());
        ReadLimits {
            max_head: limits.max_header_bytes,
            max_body: limits.max_body_bytes,
            rest: limits.idle_timeout,
            head: limits.header_timeout,
            body: limits.idle_timeout,
        }
    }

    /// When a refused client may come back.
    pub(super) fn retry_after(&self, kind: ErrorKind) -> Option<Duration> {
        kind.retry_after().filter(|_| kind.status() == 503)?;
        Some(self.knowledge.lock().unwrap().retry_after(kind, self.clock.now()))
    }
}

struct Readiness(Arc<Shared>);

impl Service for Readiness {
    async fn answer(&self, head: RequestHead, body: Vec<u8>) -> HttpResponse {
        let dialect = &self.0.dialect;
        match dialect.parse_control_call(&head, &body) {
            ControlCall::Readiness if self.0.is_ready() => dialect.message_response(200, "ready"),
            ControlCall::Readiness => dialect.message_response(503, "not ready"),
            _ => dialect.message_response(404, "no such call"),
        }
    }
}

struct News {
    shared: Arc<Shared>,
    report: GatewayReport,
}

impl News {
    /// Gateways that have just been named learn the limits that this one grants of before they send much.
    fn tell_newcomers(&self) {
        let now = self.shared.clock.now();
        let (newcomers, limits) =
            self.shared.knowledge.lock().unwrap().limit_updates_for_new_gateways(now);
        for news in limits {
            self.shared.peers.tell_limit(newcomers.clone(), news);
        }
    }
}

impl NewsReader for News {
    fn request(&mut self) -> (SeenVersions, Option<GatewayReport>) {
        let is_ready = self.shared.is_ready();
        let report = GatewayReport { is_ready, ..self.report.clone() };
        (self.shared.knowledge.lock().unwrap().seen_versions(), Some(report))
    }

    fn crashes(&mut self) -> CrashReport {
        let now = self.shared.clock.now();
        self.shared.knowledge.lock().unwrap().crashes().notes(now)
    }

    fn read(&mut self, view: FleetView, asked_at: Time) {
        let catalog = view.document.as_ref().and_then(|document| {
            let catalog = self.shared.dialect.parse_catalog(&document.bytes);
            if let Err(problem) = &catalog {
                log::error!("gateway: event=unreadable_document problem={problem}");
            }
            catalog.ok()
        });
        if let Some(catalog) = &catalog {
            self.shared.metrics.event("configuration");
            log::info!("gateway: event=configuration version={}", catalog.version());
        }
        for instance in &view.instances {
            log::info!(
                "gateway: event=instance id={} start={} service={} address={} draining={} revision={}",
                instance.id,
                instance.start,
                instance.service,
                instance.address,
                instance.is_draining,
                instance.changed_at
            );
        }
        for removed in &view.removed {
            log::info!(
                "gateway: event=instance_removed id={} start={} announced={} revision={}",
                removed.id,
                removed.start,
                removed.was_announced,
                view.revision
            );
        }
        let (crashed, (blocked, released), changes) = {
            let mut knowledge = self.shared.knowledge.lock().unwrap();
            let now = self.shared.clock.now();
            let crashed = knowledge.confirm_crashes(&view, now);
            let changes = knowledge.apply(&view, catalog, asked_at);
            knowledge.confirm_grants(&view, asked_at, now);
            (crashed, knowledge.apply_blocked(&view, now), changes)
        };
        self.tell_newcomers();
        changes.iter().for_each(|change| self.shared.note_change(change, "status"));
        for (instance, requests) in crashed {
            crash_watch::tell(&self.shared, &instance, requests, "replaced");
        }
        for digest in blocked {
            self.shared.metrics.event("request_blocked");
            log::warn!("gateway: event=request_blocked digest={digest}");
        }
        for digest in released {
            self.shared.metrics.event("request_released");
            log::info!("gateway: event=request_released digest={digest}");
        }
    }
}
