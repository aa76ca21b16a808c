//! The control plane's calls: replicas, operators and clients that ask where to go.

use super::dialect::{ControlCall, Dialect, HttpResponse};
use super::directory::Directory;
use super::external_log::ExternalLog;
use super::http_service::{self, Service};
use super::metrics::{Metrics, MetricsService};
use super::orders;
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
use topazmount_consensus::Standing;
use topazmount_control::{
    FleetRequest, FleetResponse, MemberStatus, Request, Response, RolloutEvent,
};
use topazmount_settings::{ControlSettings, Peer, SourceFiles};
use topazmount_wire::ClusterKey;

/// Time within which a call is answered; callers turn to another member after a second.
const CALL_LIMIT: Duration = Duration::from_millis(900);
/// Pause before the leader is looked for again.
const LEADER_PAUSE: Duration = Duration::from_millis(40);
/// How long clients may keep the directory's answer.
const DIRECTORY_TTL: Duration = Duration::from_millis(600);

/// Characters of a problem that are logged: it may repeat what was sent.
const SHOWN_PROBLEM: usize = 200;

/// What a control plane process needs.
pub struct ControlPlaneOptions {
    /// Settings.
    pub settings: FleetSettings,
    /// Names, formats and calls.
    pub dialect: Arc<dyn Dialect>,
}

/// A running control plane process.
pub struct ControlPlane {
    handle: ControlHandle,
}

struct Calls {
    executor: Executor,
    dialect: Arc<dyn Dialect>,
    key: ClusterKey,
    member: LocalMember,
    directory: Directory,
    leaders: Mutex<HashMap<SocketAddr, ControlClient>>,
    /// Port at which all members answer replicas and operators.
    control_port: Option<u16>,
    metrics: Arc<Metrics>,
    foreign: Arc<ExternalLog>,
}

impl ControlPlane {
    /// Starts the member and its listeners.
    ///
    /// # Errors
    /// When settings lack something, an address can't be bound, or the durable state can't be used.
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
            actions: Some(actions_sender),
        };
        let handle = control_process::start(executor, control_options).await?;
        let member = handle.local();
        let directory = Directory::default();
        let metrics = Arc::new(Metrics::default());
        let foreign = Arc::new(ExternalLog::new(metrics.clone()));
        let calls = Arc::new(Calls {
            executor: executor.clone(),
            dialect: dialect.clone(),
            key: key.clone(),
            member: member.clone(),
            directory: directory.clone(),
            leaders: Mutex::default(),
            control_port: settings.listen.control.map(|address| address.port()),
            metrics,
            foreign: foreign.clone(),
        });
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
        let sender = orders::Sender { member, dialect, holder: settings.name.clone(), foreign };
        executor.spawn(orders::run(executor.clone(), actions, sender)).detach();
        let watcher = Watcher::new(executor, Clock::start(), key, Seeds::new(vec![internal]), true);
        let (_, no_nudges) = async_channel::bounded(1);
        executor.spawn(watcher.run(directory, no_nudges)).detach();
        log::info!("control: event=start name={} zone={}", settings.name, settings.zone);
        Ok(ControlPlane { handle })
    }

    /// Takes changed settings into use: the seeds. Addresses and names stay until the next start.
    pub fn reload(&self, settings: &FleetSettings) {
        self.handle.set_seeds(&settings.seed_peer_addresses());
        log::info!("control: event=reload seeds={:?}", settings.seeds);
    }

    /// Waits until the member has stopped by itself.
    pub async fn failed(&self) {
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
    let listen = listen.ok_or_else(|| eyre!("listen.control: a control member needs it"))?;
    Ok(if listen.ip().is_unspecified() { Ipv4Addr::LOCALHOST.into() } else { listen.ip() })
}

/// Members are named by their internal addresses: nothing else is known of the founding ones, and
/// a member that lost its disk comes back at the same address.
fn member_settings(settings: &FleetSettings, internal: SocketAddr) -> Result<ControlSettings> {
    let data_folder = settings
        .data_folder
        .clone()
        .ok_or_else(|| eyre!("data_folder: a control member needs a disk"))?;
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

impl Service for Calls {
    async fn answer(&self, head: RequestHead, body: Vec<u8>) -> HttpResponse {
        let began = Instant::now();
        let call = self.dialect.parse_control_call(&head, &body);
        let name = call.name();
        let answer = self.take(call).await;
        self.metrics.call(name, answer.status, began.elapsed());
        answer
    }
}

impl Calls {
    async fn take(&self, call: ControlCall) -> HttpResponse {
        match call {
            ControlCall::Heartbeat(report) => {
                let id = report.instance.id.clone();
                let answer = self.ask(FleetRequest::Heartbeat(report)).await;
                match answer {
                    Some((FleetResponse::Conflict(cause), _)) => {
                        self.foreign.note("heartbeat_foreign", &id, cause.name());
                        self.dialect.message_response(409, cause.name())
                    }
                    Some((FleetResponse::Superseded, leader)) => {
                        self.foreign.note("heartbeat_superseded", &id, "it left, or was replaced");
                        self.dialect.heartbeat_response(self.control_of(leader))
                    }
                    Some((_, leader)) => self.dialect.heartbeat_response(self.control_of(leader)),
                    None => self.unavailable(),
                }
            }
            ControlCall::Depart(id, start) => self.change(FleetRequest::Depart(id, start)).await,
            ControlCall::External { call, id, reason } => {
                self.foreign.note(call.external_event(), &id, reason);
                self.dialect
                    .message_response(400, &format!("no {} of a replica: {reason}", call.name()))
            }
            ControlCall::PutDocument(document) => {
                let version = document.version;
                let answer = self.change(FleetRequest::PutDocument(document)).await;
                log::info!(
                    "control: event=configuration version={version} status={}",
                    answer.status
                );
                answer
            }
            ControlCall::PublishWeights { model, version } => {
                log::info!("control: event=weights_named model={model} version={version}");
                self.change(FleetRequest::PublishWeights { model, version }).await
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
                let shown: String = problem.chars().take(SHOWN_PROBLEM).collect();
                log::info!("control: event=refused problem={shown:?}");
                self.dialect.message_response(400, &problem)
            }
        }
    }

    /// All figures, those of the group as this member sees it now.
    async fn render_metrics(&self) -> String {
        match self.member.ask(Request::Status, CALL_LIMIT).await {
            Ok(Response::Status(status)) => self.note_group(&status),
            other => log::warn!("control: event=no_status problem={other:?}"),
        }
        self.note_plans();
        self.metrics.set_messages(self.member.meter());
        self.metrics.render()
    }

    fn note_plans(&self) {
        let plans = self.member.plans();
        let sum = |of: fn(&RolloutEvent) -> usize| plans.iter().map(of).sum::<usize>() as i64;
        self.metrics.set_state("rollout_left", sum(|event| event.remaining));
        self.metrics.set_state("rollout_late", sum(|event| event.plan.late));
        self.metrics.set_state("rollout_at_once", sum(|event| event.plan.concurrency));
    }

    fn note_group(&self, status: &MemberStatus) {
        let standing = match status.standing {
            Standing::Outside => 0,
            Standing::Learner => 1,
            Standing::Voter => 2,
        };
        let count = |count: usize| i64::try_from(count).unwrap_or(i64::MAX);
        let figures = [
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
        for (of, value) in figures {
            self.metrics.set_state(of, value);
        }
    }

    fn unavailable(&self) -> HttpResponse {
        self.dialect.message_response(503, "the control group can't answer now")
    }

    async fn change(&self, request: FleetRequest) -> HttpResponse {
        match self.ask(request).await {
            Some(_) => self.dialect.message_response(200, "done"),
            None => self.unavailable(),
        }
    }

    /// Asks this member and, where another one leads, that one, until the time of a call is over.
    /// All requests are safe to send again. Returns the leader's internal address too where it is
    /// another member.
    async fn ask(&self, request: FleetRequest) -> Option<(FleetResponse, Option<SocketAddr>)> {
        let ends_at = Instant::now() + CALL_LIMIT;
        let request = Request::Fleet(request);
        let mut leader: Option<SocketAddr> = None;
        loop {
            let left = ends_at.checked_duration_since(Instant::now())?;
            let response = match leader {
                None => self.member.ask(request.clone(), left).await,
                Some(address) => self.leader_client(address).ask(request.clone(), left).await,
            };
            match response {
                Ok(Response::Fleet(answer)) => return Some((answer, leader)),
                Ok(Response::NotLeader(Some(info))) => {
                    let named = info.address.parse().ok();
                    let is_new = named != leader;
                    leader = named;
                    if !is_new {
                        async_io::Timer::after(LEADER_PAUSE).await;
                    }
                }
                _ => {
                    if let Some(address) = leader.take() {
                        self.leaders.lock().unwrap().remove(&address);
                    }
                    async_io::Timer::after(LEADER_PAUSE).await;
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

    /// Where the leader answers replicas: all members use the same port.
    fn control_of(&self, leader: Option<SocketAddr>) -> Option<String> {
        Some(format!("{}:{}", leader?.ip(), self.control_port?))
    }
}
