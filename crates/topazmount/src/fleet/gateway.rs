//! The gateway process: takes clients' requests and forwards them to registered replicas.

use super::answer::own_answer;
use super::dialect::{ControlCall, Dialect, HttpAnswer, RequestTags};
use super::exchange::{Ending, Exchange};
use super::http_service::{self, Service, within};
use super::journal::Journal;
use super::metrics::{Metrics, MetricsService};
use super::peers::{self, Peers};
use super::settings::FleetSettings;
use super::watcher::{NewsReader, Watcher};
use crate::Executor;
use crate::clock::Clock;
use crate::http1::{BodyError, BodyReader, HeadError, RequestHead, Wire, request_framing};
use async_channel::Sender;
use async_net::TcpListener;
use eyre::{Result, WrapErr, eyre};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use topazmount_control::{FleetView, GatewayReport, Seen};
use topazmount_gateway::{HttpLimits, Knowledge};
use topazmount_types::{ErrorKind, Time};
use topazmount_wire::ClusterKey;

/// Pause after a failed accept, for example without free descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// Time for which a stopping gateway still takes requests: clients hold an answer of the directory
/// for up to three times its life. Later ones might not end before the process does.
const LEAVING_TIME: Duration = Duration::from_millis(2_700);
/// Part of the time of a planned stop that is kept back for the end of the process.
const STOP_MARGIN: Duration = Duration::from_millis(500);
/// How often a stopping gateway looks whether it is done.
const STOP_CHECK: Duration = Duration::from_millis(50);
/// Time for a client to read the end of a refused request's answer.
const REFUSAL_LINGER: Duration = Duration::from_millis(300);
/// When to come back after a refusal that may be over soon.
const SOON: Duration = Duration::from_millis(250);

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
    pub(super) knowledge: Mutex<Knowledge>,
    pub(super) journal: Journal,
    pub(super) metrics: Metrics,
    pub(super) peers: Arc<Peers>,
    is_stopping: AtomicBool,
    /// Whether new requests are refused.
    is_closed: AtomicBool,
    open_requests: AtomicUsize,
}

/// A running gateway.
pub struct Gateway {
    shared: Arc<Shared>,
    stop_time: Duration,
    /// Wakes the watcher, to report at once.
    nudge: Sender<()>,
}

/// Counts a request from its first byte to the end of its answer.
struct OpenRequest<'a>(&'a Shared);

impl<'a> OpenRequest<'a> {
    fn new(shared: &'a Shared) -> Self {
        shared.open_requests.fetch_add(1, Ordering::SeqCst);
        OpenRequest(shared)
    }
}

impl Drop for OpenRequest<'_> {
    fn drop(&mut self) {
        self.0.open_requests.fetch_sub(1, Ordering::SeqCst);
    }
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
        let mut knowledge = Knowledge::new(&settings.zone, settings.gateway(), rand::random());
        settings.policy_table(knowledge.policies())?;
        let shared = Arc::new(Shared {
            clock,
            dialect,
            knowledge: Mutex::new(knowledge),
            journal: Journal::default(),
            metrics: Metrics::default(),
            peers: peers.clone(),
            is_stopping: AtomicBool::new(false),
            is_closed: AtomicBool::new(false),
            open_requests: AtomicUsize::new(0),
        });
        let listener =
            TcpListener::bind(clients).await.wrap_err_with(|| format!("listening at {clients}"))?;
        let accepting = accept_clients(executor.clone(), listener, shared.clone());
        executor.spawn(accepting).detach();
        if let Some(address) = settings.listen.ready {
            http_service::serve(executor, address, Arc::new(Readiness(shared.clone()))).await?;
        }
        if let Some(address) = settings.listen.metrics {
            let shared = shared.clone();
            let service = MetricsService(move || shared.render_metrics());
            http_service::serve(executor, address, Arc::new(service)).await?;
        }
        executor.spawn(peers::listen(peers, shared.clone())).detach();
        let watcher = Watcher::new(executor, clock, key, settings.seed_peers(), true);
        let report = GatewayReport {
            address: clients.to_string(),
            zone: settings.zone.clone(),
            region: settings.region.clone(),
            is_ready: false,
        };
        let news = News { shared: shared.clone(), report };
        let (nudge, nudges) = async_channel::bounded(1);
        executor.spawn(watcher.run(news, nudges)).detach();
        log::info!("gateway: event=start name={} zone={}", settings.name, settings.zone);
        Ok(Gateway { shared, stop_time: settings.stop_time(), nudge })
    }

    /// Takes changed settings into use; addresses and names stay until the next start.
    pub fn reload(&self, settings: &FleetSettings) {
        let mut knowledge = self.shared.knowledge.lock().unwrap();
        if let Err(error) = settings.policy_table(knowledge.policies()) {
            log::error!("gateway: event=reload_refused problem={error:#}");
            return;
        }
        knowledge.set_settings(settings.gateway());
        log::info!("gateway: event=reload policies={}", settings.policies.len());
    }

    /// Stops as planned: tells that it is not ready, finishes what comes in until clients have
    /// turned elsewhere, then ends.
    pub async fn stop(self) {
        log::info!("gateway: event=stop");
        self.shared.is_stopping.store(true, Ordering::SeqCst);
        let _ = self.nudge.try_send(());
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
    fn is_stopping(&self) -> bool {
        self.is_stopping.load(Ordering::SeqCst)
    }

    fn render_metrics(&self) -> String {
        let is_ready = self.is_ready();
        let open = self.open_requests.load(Ordering::SeqCst);
        {
            let mut knowledge = self.knowledge.lock().unwrap();
            let seen = knowledge.seen();
            self.metrics.set_state("configuration_version", seen.document as i64);
            self.metrics.set_state("registry_revision", seen.revision as i64);
            for (name, counters) in knowledge.policies().report() {
                self.metrics.set_policy(name, counters);
            }
            self.metrics.set_state("replicas", knowledge.balancer().instances().count() as i64);
        }
        self.metrics.set_state("ready", i64::from(is_ready));
        self.metrics.set_state("open_requests", open as i64);
        self.metrics.render()
    }

    fn is_ready(&self) -> bool {
        let now = self.clock.now();
        !self.is_stopping() && self.knowledge.lock().unwrap().is_confirmed(now)
    }

    fn limits(&self) -> HttpLimits {
        let knowledge = self.knowledge.lock().unwrap();
        knowledge.catalog().map_or_else(HttpLimits::default, |catalog| catalog.limits())
    }

    /// When a refused client may come back.
    pub(super) fn retry_after(&self, kind: ErrorKind) -> Option<Duration> {
        kind.retry_after().filter(|_| kind.status() == 503).map(|_| SOON)
    }
}

struct Readiness(Arc<Shared>);

impl Service for Readiness {
    async fn answer(&self, head: RequestHead, body: Vec<u8>) -> HttpAnswer {
        let dialect = &self.0.dialect;
        match dialect.control_call(&head, &body) {
            ControlCall::Readiness if self.0.is_ready() => dialect.plain_answer(200, "ready"),
            ControlCall::Readiness => dialect.plain_answer(503, "not ready"),
            _ => dialect.plain_answer(404, "no such call"),
        }
    }
}

struct News {
    shared: Arc<Shared>,
    report: GatewayReport,
}

impl NewsReader for News {
    fn request(&mut self) -> (Seen, Option<GatewayReport>) {
        let is_ready = self.shared.is_ready();
        let report = GatewayReport { is_ready, ..self.report.clone() };
        (self.shared.knowledge.lock().unwrap().seen(), Some(report))
    }

    fn read(&mut self, view: FleetView, asked_at: Time) {
        let catalog = view.document.as_ref().and_then(|document| {
            let catalog = self.shared.dialect.catalog(&document.bytes);
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
                "gateway: event=instance id={} service={} address={} draining={} revision={}",
                instance.id,
                instance.service,
                instance.address,
                instance.is_draining,
                instance.changed_at
            );
        }
        for id in &view.removed {
            log::info!("gateway: event=instance_removed id={id} revision={}", view.revision);
        }
        if let Some((_, gateways)) = &view.gateways {
            self.shared.peers.set_gateways(gateways);
        }
        self.shared.knowledge.lock().unwrap().apply(&view, catalog, asked_at);
    }
}

async fn accept_clients(executor: Executor, listener: TcpListener, shared: Arc<Shared>) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let serving = serve_client(shared.clone(), Wire::new(stream));
                executor.spawn(serving).detach();
            }
            Err(error) => {
                log::warn!("gateway: event=accept_failed error={error:?}");
                async_io::Timer::after(ACCEPT_PAUSE).await;
            }
        }
    }
}

/// Why a request could not be read.
enum Unread {
    /// The client closed, rested too long or broke off.
    Gone,
    /// It is answered with this kind, and the connection closed.
    Refused(ErrorKind),
}

async fn serve_client(shared: Arc<Shared>, mut wire: Wire) {
    loop {
        let head = match read_head(&shared, &mut wire).await {
            Ok(head) => head,
            Err(Unread::Gone) => return,
            Err(Unread::Refused(kind)) => return refuse(&shared, &mut wire, kind).await,
        };
        let _open = OpenRequest::new(&shared);
        let received = shared.clock.now();
        let body = match read_body(&shared, &mut wire, &head).await {
            Ok(body) => body,
            Err(Unread::Gone) => return,
            Err(Unread::Refused(kind)) => return refuse(&shared, &mut wire, kind).await,
        };
        let keeps_alive = head.keeps_alive() && !shared.is_stopping();
        let ending = serve_request(&shared, &mut wire, &head, &body, received, keeps_alive).await;
        match ending {
            Some(Ending::Whole) if keeps_alive => {}
            Some(Ending::Whole) => return wire.finish(),
            Some(Ending::Cut) | None => return wire.abort(),
        }
    }
}

/// Serves one request; `None` when the client left first.
async fn serve_request(
    shared: &Shared,
    wire: &mut Wire,
    head: &RequestHead,
    body: &[u8],
    received: Time,
    keeps_alive: bool,
) -> Option<Ending> {
    let tags = match shared.dialect.request(head) {
        Ok(tags) => tags,
        Err(problem) => {
            log::info!("gateway: event=refused problem={problem:?}");
            return Some(
                answer_kind(shared, wire, head, ErrorKind::InvalidRequest, keeps_alive).await,
            );
        }
    };
    let host = head.host().unwrap_or_default();
    let admission = if shared.is_closed.load(Ordering::SeqCst) {
        Err(ErrorKind::Draining)
    } else {
        let mut knowledge = shared.knowledge.lock().unwrap();
        knowledge.admit(host, head.path(), tags.key.as_deref(), received)
    };
    let admission = match admission {
        Ok(admission) => admission,
        Err(kind) => {
            log_refusal(shared, &tags, host, head.path(), kind);
            return Some(answer_kind(shared, wire, head, kind, keeps_alive).await);
        }
    };
    let client = wire.writer();
    let engine = {
        let knowledge = shared.knowledge.lock().unwrap();
        let service = knowledge.catalog().and_then(|all| all.service(&admission.service).cloned());
        service.and_then(|service| service.engine)
    };
    let exchange = Exchange {
        shared,
        head,
        body,
        tags: &tags,
        admission: &admission,
        received,
        keeps_alive,
        engine,
        client,
    };
    let served = async { Some(exchange.run().await) };
    let left = async {
        wire.gone().await;
        None
    };
    let ending = futures_lite::future::or(served, left).await;
    if ending.is_none() {
        shared.metrics.answer("client_gone", shared.clock.now().since(received));
        shared.journal.line(|| {
            let after = shared.clock.now().since(received).as_millis();
            format!("gateway: event=client_gone request={} after_ms={after}", tags.id)
        });
    }
    ending
}

fn log_refusal(shared: &Shared, tags: &RequestTags, host: &str, path: &str, kind: ErrorKind) {
    shared.metrics.answer(kind.name(), Duration::ZERO);
    shared.journal.line(|| {
        let version = shared.knowledge.lock().unwrap().seen().document;
        format!(
            "gateway: event=answer request={} status={} reason={} host={host} path={path} \
             version={version}",
            tags.id,
            kind.status(),
            kind.name()
        )
    });
}

async fn answer_kind(
    shared: &Shared,
    wire: &mut Wire,
    head: &RequestHead,
    kind: ErrorKind,
    keeps_alive: bool,
) -> Ending {
    let answer = shared.dialect.refusal(kind, shared.retry_after(kind));
    match wire.write_all(&own_answer(&answer, head, keeps_alive)).await {
        Ok(()) => Ending::Whole,
        Err(_) => Ending::Cut,
    }
}

/// Answers a request that could not be read, and closes in a way that lets the client read that.
async fn refuse(shared: &Shared, wire: &mut Wire, kind: ErrorKind) {
    shared.metrics.answer(kind.name(), Duration::ZERO);
    let answer = shared.dialect.refusal(kind, None);
    let head = RequestHead {
        method: String::new(),
        target: String::new(),
        minor_version: 1,
        headers: Default::default(),
    };
    shared.journal.line(|| {
        format!("gateway: event=answer status={} reason={} unread", kind.status(), kind.name())
    });
    let _ = wire.write_all(&own_answer(&answer, &head, false)).await;
    wire.finish();
    // Closing with unread bytes would reset the connection before the client has the answer.
    within(REFUSAL_LINGER, async {
        while matches!(wire.fill().await, Ok(read) if read > 0) {
            wire.consume(usize::MAX);
        }
    })
    .await;
}

async fn read_head(shared: &Shared, wire: &mut Wire) -> Result<RequestHead, Unread> {
    let mut first_byte: Option<Time> = None;
    loop {
        let limits = shared.limits();
        match RequestHead::parse(wire.buffered()) {
            Ok(Some((_, length))) if length > limits.max_header_bytes => {
                return Err(Unread::Refused(ErrorKind::HeaderTooLarge));
            }
            Ok(Some((head, length))) => {
                wire.consume(length);
                return Ok(head);
            }
            Ok(None) if wire.buffered().len() > limits.max_header_bytes => {
                return Err(Unread::Refused(ErrorKind::HeaderTooLarge));
            }
            Ok(None) => {}
            Err(HeadError::Malformed | HeadError::Framing) => {
                return Err(Unread::Refused(ErrorKind::InvalidRequest));
            }
        }
        let now = shared.clock.now();
        if !wire.buffered().is_empty() {
            first_byte = first_byte.or(Some(now));
        }
        let limit = match first_byte {
            Some(began) => (began + limits.header_timeout).since(now),
            None => limits.idle_timeout,
        };
        match within(limit, wire.fill()).await {
            Some(Ok(read)) if read > 0 => {}
            None if first_byte.is_some() => {
                return Err(Unread::Refused(ErrorKind::CallerTooSlow));
            }
            _ => return Err(Unread::Gone),
        }
    }
}

async fn read_body(
    shared: &Shared,
    wire: &mut Wire,
    head: &RequestHead,
) -> Result<Vec<u8>, Unread> {
    let framing = request_framing(head).map_err(|_| Unread::Refused(ErrorKind::InvalidRequest))?;
    if head.headers.has_word("expect", "100-continue") {
        let _ = wire.write_all(b"HTTP/1.1 100 Continue\r\n\r\n").await;
    }
    let limits = shared.limits();
    let mut reader = BodyReader::new(framing);
    let reading = reader.read_all(wire, limits.max_body_bytes);
    match within(limits.idle_timeout, reading).await {
        Some(Ok(body)) => Ok(body),
        Some(Err(BodyError::TooLarge)) => Err(Unread::Refused(ErrorKind::TooLarge)),
        Some(Err(BodyError::Malformed)) => Err(Unread::Refused(ErrorKind::InvalidRequest)),
        Some(Err(BodyError::Truncated)) => Err(Unread::Gone),
        None => Err(Unread::Refused(ErrorKind::CallerTooSlow)),
    }
}
