//! The control plane's HTTP service: heartbeats of replicas, operators' calls and the directory.

use super::dialect::{ControlCall, Dialect, HttpResponse};
use super::directory::Directory;
use super::external_log::ExternalLog;
use super::http_service::{self, Service};
use super::metrics::{Metrics, MetricsService};
use super::orders;
use super::origin_service::OriginService;
use super::settings::FleetSettings;
use super::watcher::{Seeds, Watcher};
use crate::Executor;
use crate::clock::Clock;
use crate::control_client::ControlClient;
use crate::control_process::{self, ControlHandle, ControlOptions, LocalMember};
use crate::http1::RequestHead;
use eyre::{Result, eyre};
use std::collections::HashMap;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use topazmount_consensus::MembershipStatus;
use topazmount_control::{
    FleetRequest, FleetResponse, MemberStatus, Request, Response, RolloutEvent,
};
use topazmount_settings::{ControlSettings, Peer, SourceFiles};
use topazmount_wire::ClusterKey;

/// Time limit for a call; callers turn to another member after a second.
const CALL_TIMEOUT: Duration = Duration::from_millis(900);
/// Delay before a request to the leader is tried again.
const LEADER_RETRY_DELAY: Duration = Duration::from_millis(40);
/// How long clients may cache a directory response.
const DIRECTORY_TTL: Duration = Duration::from_millis(600);

/// Logged characters of a problem, since it may repeat the request's content.
const MAX_LOGGED_PROBLEM_CHARS: usize = 200;

/// Options of a control plane process.
pub struct ControlPlaneOptions {
    /// Settings of the process.
    pub settings: FleetSettings,
    /// Defines headers, paths and body formats.
    pub dialect: Arc<dyn Dialect>,
}

/// A running control plane process.
pub struct ControlPlane {
    handle: ControlHandle,
}

/// Handles the calls of replicas, operators and clients.
struct CallHandler {
    executor: Executor,
    dialect: Arc<dyn Dialect>,
    key: ClusterKey,
    member: LocalMember,
    directory: Directory,
    leaders: Mutex<HashMap<SocketAddr, ControlClient>>,
    /// Port at which all members serve replicas and operators.
    control_port: Option<u16>,
    metrics: Arc<Metrics>,
    external_log: Arc<ExternalLog>,
}

impl ControlPlane {
    /// Starts the member and its listeners.
    ///
    /// # Errors
    /// If a required setting is missing, an address can't be bound or the stored state can't be used.
    pub async fn start(executor: &Executor, options: ControlPlaneOptions) -> Result<Self> {
        let ControlPlaneOptions { settings, dialect } = options;
        let key = ClusterKey::from_text(&settings.cluster_key);
        let internal = SocketAddr::new(own_ip(&settings)?, settings.peer_port);
        let (actions_sender, actions) = async_channel::unbounded();
        let control_options = ControlOptions {
            settings: member_settings(&settings, internal)?,
            form_group: settings.form_group && settings.seed_peer_addresses().contains(&internal),
            source: SourceFiles::default(),
            key: key.clone(),
            rollout: settings.rollout_settings(),
            heartbeat_interval: settings.heartbeat_interval(),
            actions: Some(actions_sender),
        };
        let handle = control_process::start(executor, control_options).await?;
        let member = handle.local();
        let directory = Directory::default();
        let metrics = Arc::new(Metrics::default());
        let external_log = Arc::new(ExternalLog::new(metrics.clone()));
        let calls = Arc::new(CallHandler {
            executor: executor.clone(),
            dialect: dialect.clone(),
            key: key.clone(),
            member: member.clone(),
            directory: directory.clone(),
            leaders: Mutex::default(),
            control_port: settings.listen.control.map(|address| address.port()),
            metrics: metrics.clone(),
            external_log: external_log.clone(),
        });
        let origin_address = SocketAddr::new(internal.ip(), settings.origin_port());
        let records_key = key.clone();
        let records_metrics = metrics.clone();
        OriginService::start(
            executor,
            origin_address,
            records_key,
            member.clone(),
            records_metrics,
        )
        .await?;
        if let Some(address) = settings.listen.metrics {
            let calls = calls.clone();
            let service = MetricsService(move || {
                let calls = calls.clone();
                async move { calls.render_metrics().await }
            });
            http_service::serve(executor, address, Arc::new(service)).await?;
        }
        for address in [settings.listen.control, settings.listen.directory].into_iter().flatten() {
            http_service::serve(executor, address, calls.clone()).await?;
        }
        let sender =
            orders::OrderSender { member, dialect, leader: settings.name.clone(), external_log };
        executor.spawn(orders::run(executor.clone(), actions, sender)).detach();
        let watcher = Watcher::new(executor, Clock::start(), key, Seeds::new(vec![internal]), true);
        let (_, no_report_requests) = async_channel::bounded(1);
        executor.spawn(watcher.run(directory, no_report_requests)).detach();
        log::info!("control: event=start name={} zone={}", settings.name, settings.zone);
        Ok(ControlPlane { handle })
    }

    /// Applies changed seeds. Other settings only change at the next start.
    pub fn reload(&self, settings: &FleetSettings) {
        self.handle.set_seeds(&settings.seed_peer_addresses());
        log::info!("control: event=reload seeds={:?}", settings.seeds);
    }

    /// Waits until the member stops because of a failure.
    pub async fn wait_for_failure(&self) {
        self.handle.failed().await;
    }

    /// Hands over leadership and stops.
    pub async fn stop(self) {
        log::info!("control: event=stop");
        self.handle.stop().await;
    }
}

fn own_ip(settings: &FleetSettings) -> Result<IpAddr> {
    let listen = settings.listen.control.or(settings.listen.directory);
    let listen = listen.ok_or_else(|| eyre!("listen.control: required by a control member"))?;
    Ok(if listen.ip().is_unspecified() { Ipv4Addr::LOCALHOST.into() } else { listen.ip() })
}

/// Members are named by their internal addresses, which are all that is known of the initial ones. A
/// member that lost its disk returns at the same address.
fn member_settings(settings: &FleetSettings, internal: SocketAddr) -> Result<ControlSettings> {
    let data_folder = settings
        .data_folder
        .clone()
        .ok_or_else(|| eyre!("data_folder: required by a control member"))?;
    let peer = |address: SocketAddr| Peer { name: address.to_string(), address };
    Ok(ControlSettings {
        name: internal.to_string(),
        internal_address: internal,
        data_folder,
        declarations: "none".into(),
        cluster_key_file: "none".into(),
        initial_members: settings.seed_peer_addresses().into_iter().map(peer).collect(),
    })
}

impl Service for CallHandler {
    async fn handle(&self, head: RequestHead, body: Vec<u8>) -> HttpResponse {
        let started_at = Instant::now();
        let call = self.dialect.parse_control_call(&head, &body);
        let name = call.name();
        let response = self.dispatch(call).await;
        self.metrics.record_call(name, response.status, started_at.elapsed());
        response
    }
}

impl CallHandler {
    async fn dispatch(&self, call: ControlCall) -> HttpResponse {
        match call {
            ControlCall::Heartbeat(report) => {
                let id = report.instance.id.clone();
                let response = self.ask(FleetRequest::Heartbeat(report)).await;
                match response {
                    Some((FleetResponse::Conflict(cause), _)) => {
                        self.external_log.record("heartbeat_foreign", &id, cause.name());
                        self.dialect.message_response(409, cause.name())
                    }
                    Some((FleetResponse::Superseded, leader)) => {
                        self.external_log.record(
                            "heartbeat_superseded",
                            &id,
                            "it left, or was replaced",
                        );
                        self.dialect.heartbeat_response(self.control_address(leader))
                    }
                    Some((_, leader)) => {
                        self.dialect.heartbeat_response(self.control_address(leader))
                    }
                    None => self.unavailable(),
                }
            }
            ControlCall::Depart(id, start) => self.submit(FleetRequest::Depart(id, start)).await,
            ControlCall::External { call, id, reason } => {
                self.external_log.record(call.external_event(), &id, reason);
                self.dialect
                    .message_response(400, &format!("no {} of a replica: {reason}", call.name()))
            }
            ControlCall::PutDocument(document) => {
                let version = document.version;
                let response = self.submit(FleetRequest::PutDocument(document)).await;
                log::info!(
                    "control: event=configuration version={version} status={}",
                    response.status
                );
                response
            }
            ControlCall::PublishWeights { model, version } => {
                log::info!("control: event=weights_named model={model} version={version}");
                self.submit(FleetRequest::PublishWeights { model, version }).await
            }
            ControlCall::ReadDocument => match self.ask(FleetRequest::ReadDocument).await {
                Some((FleetResponse::Document(Some(document)), _)) => {
                    self.dialect.document_response(&document)
                }
                Some((FleetResponse::Document(None), _)) => {
                    self.dialect.message_response(503, "there is no configuration yet")
                }
                _ => self.unavailable(),
            },
            ControlCall::Resolve { zone, region } => {
                let gateways = self.directory.resolve(&zone, &region);
                if gateways.is_empty() {
                    return self.dialect.message_response(503, "no gateway is known");
                }
                self.dialect.directory_response(&gateways, DIRECTORY_TTL)
            }
            ControlCall::Readiness => self.dialect.message_response(200, "ready"),
            ControlCall::Unknown => self.dialect.message_response(404, "no such call"),
            ControlCall::Malformed(problem) => {
                let shown: String = problem.chars().take(MAX_LOGGED_PROBLEM_CHARS).collect();
                log::info!("control: event=refused problem={shown:?}");
                self.dialect.message_response(400, &problem)
            }
        }
    }

    /// Renders all metrics, with the member's current view of the group.
    async fn render_metrics(&self) -> String {
        match self.member.ask(Request::Status, CALL_TIMEOUT).await {
            Ok(Response::Status(status)) => self.record_member_status(&status),
            other => log::warn!("control: event=no_status problem={other:?}"),
        }
        self.record_rollouts();
        self.metrics.set_message_totals(self.member.meter());
        self.metrics.render()
    }

    fn record_rollouts(&self) {
        let plans = self.member.plans();
        let sum = |field: fn(&RolloutEvent) -> usize| plans.iter().map(field).sum::<usize>() as i64;
        self.metrics.set_gauge("rollout_left", sum(|event| event.remaining));
        self.metrics.set_gauge("rollout_late", sum(|event| event.plan.late));
        self.metrics.set_gauge("rollout_at_once", sum(|event| event.plan.concurrency));
    }

    fn record_member_status(&self, status: &MemberStatus) {
        let standing = match status.standing {
            MembershipStatus::Outside => 0,
            MembershipStatus::Learner => 1,
            MembershipStatus::Voter => 2,
        };
        let count = |count: usize| i64::try_from(count).unwrap_or(i64::MAX);
        let gauges = [
            ("standing", standing),
            ("standing_s", status.standing_for.as_secs() as i64),
            ("leads", i64::from(status.is_leader)),
            ("term", status.term as i64),
            ("applied", status.applied as i64),
            ("voters", count(status.membership.voters.len())),
            ("learners", count(status.membership.learners.len())),
            ("doubled_voters", count(status.duplicate_voters())),
            ("answering_voters", count(status.responding_voters())),
        ];
        for (name, value) in gauges {
            self.metrics.set_gauge(name, value);
        }
    }

    fn unavailable(&self) -> HttpResponse {
        self.dialect.message_response(503, "the control group can't answer now")
    }

    async fn submit(&self, request: FleetRequest) -> HttpResponse {
        match self.ask(request).await {
            Some(_) => self.dialect.message_response(200, "done"),
            None => self.unavailable(),
        }
    }

    /// Sends a request to this member or, if another one leads, to the leader, and retries until the
    /// call times out; all requests are idempotent. Also returns the leader's internal address if it
    /// is another member.
    async fn ask(&self, request: FleetRequest) -> Option<(FleetResponse, Option<SocketAddr>)> {
        let deadline = Instant::now() + CALL_TIMEOUT;
        let request = Request::Fleet(request);
        let mut leader: Option<SocketAddr> = None;
        loop {
            let remaining = deadline.checked_duration_since(Instant::now())?;
            let response = match leader {
                None => self.member.ask(request.clone(), remaining).await,
                Some(address) => self.leader_client(address).ask(request.clone(), remaining).await,
            };
            match response {
                Ok(Response::Fleet(response)) => return Some((response, leader)),
                Ok(Response::NotLeader(Some(info))) => {
                    let reported = info.address.parse().ok();
                    let is_new = reported != leader;
                    leader = reported;
                    if !is_new {
                        async_io::Timer::after(LEADER_RETRY_DELAY).await;
                    }
                }
                _ => {
                    if let Some(address) = leader.take() {
                        self.leaders.lock().unwrap().remove(&address);
                    }
                    async_io::Timer::after(LEADER_RETRY_DELAY).await;
                }
            }
        }
    }

    fn leader_client(&self, address: SocketAddr) -> ControlClient {
        let mut leaders = self.leaders.lock().unwrap();
        leaders.retain(|known, _| *known == address);
        leaders
            .entry(address)
            .or_insert_with(|| ControlClient::new(&self.executor, address, self.key.clone()))
            .clone()
    }

    /// Address at which the leader serves replicas; all members use the same port.
    fn control_address(&self, leader: Option<SocketAddr>) -> Option<String> {
        Some(format!("{}:{}", leader?.ip(), self.control_port?))
    }
}
