//! The control process: a thread that runs the member, and tasks that move frames.

use crate::Executor;
use crate::clock::Clock;
use crate::control_client::ControlClient;
use crate::control_links::{Peers, Requester, Shared, accept_loop};
use crate::control_log::{ControlLog, log_late_tasks};
use crate::file_disk::FileDisk;
use crate::frames;
use crate::message_meter::{FrameCost, MessageMeter, Way};
use async_channel::{Receiver, Sender};
use async_net::TcpListener;
use eyre::{Result, WrapErr};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};
use topazmount_consensus::{Config, Envelope, MemberInfo, MembershipStatus, WalError};
use topazmount_control::{
    FleetAction, Founding, Frame, Member, MemberError, MemberInput, MemberOutput, MemberSettings,
    MembershipEvent, Request, Response, RolloutEvent, RolloutSettings, Token,
};
use topazmount_settings::{ControlSettings, SourceFiles};
use topazmount_wire::ClusterKey;

/// Time within which a member that is asked to take this process in must answer: a connection and a
/// round trip on a slow link.
const ASK_LIMIT: Duration = Duration::from_millis(1_100);
/// Longest wait of the member's thread.
const MAX_WAIT: Duration = Duration::from_millis(50);
/// Pause before a member whose disk failed is opened again.
const REOPEN_PAUSE: Duration = Duration::from_millis(400);
/// Longest time that a start waits for a disk that refuses writes.
const MAX_DISK_WAIT: Duration = Duration::from_secs(15);
/// Inputs taken into one batch, which shares one sync.
const MAX_BATCH: usize = 512;
/// Time for leadership to pass on when the process stops.
const HAND_OVER: Duration = Duration::from_millis(400);

/// What a control process needs beyond its settings.
pub struct ControlOptions {
    /// Settings.
    pub settings: ControlSettings,
    /// Form a new group instead of joining one; only with an empty data folder.
    pub form_group: bool,
    /// Texts of revision 1 of a new group.
    pub source: SourceFiles,
    /// Key of the deployment.
    pub key: ClusterKey,
    /// Bounds of the roll-out of weights.
    pub rollout: RolloutSettings,
    /// Interval at which replicas send heartbeats.
    pub heartbeat_interval: Duration,
    /// Where orders to replicas go; without it none are sent.
    pub actions: Option<Sender<FleetAction>>,
}

/// The member of this process, for tasks of the same process.
#[derive(Clone)]
pub struct LocalMember {
    shared: Arc<Shared>,
}

impl LocalMember {
    /// What the member's messages cost so far.
    pub fn meter(&self) -> &MessageMeter {
        &self.shared.meter
    }

    /// The newest plan of each service's roll-out while this member led.
    pub fn plans(&self) -> Vec<RolloutEvent> {
        self.shared.plans.lock().unwrap().values().cloned().collect()
    }

    /// Sends a request and waits for the answer.
    ///
    /// # Errors
    /// When no answer comes within `limit`.
    pub async fn ask(&self, request: Request, limit: Duration) -> Result<Response> {
        let (sender, receiver) = async_channel::bounded(1);
        let token = self.shared.add(Requester::Local(sender));
        self.shared.inputs.send(MemberInput::Request(token, request)).await?;
        let answer = frames::within(limit, async { Ok(receiver.recv().await?) }).await;
        if answer.is_err() {
            self.shared.waiting.lock().unwrap().requesters.remove(&token);
            let _ = self.shared.inputs.try_send(MemberInput::Disconnected(token));
        }
        answer
    }
}

/// A running control process.
pub struct ControlHandle {
    inputs: Sender<MemberInput>,
    shared: Arc<Shared>,
    /// Where it listens.
    pub address: SocketAddr,
    thread: Option<std::thread::JoinHandle<()>>,
    ended: Receiver<()>,
}

impl ControlHandle {
    /// Waits until the member has stopped by itself, which it does when its disk fails.
    pub async fn failed(&self) {
        let _ = self.ended.recv().await;
    }

    /// Takes the seeds of changed settings into use.
    pub fn set_seeds(&self, seeds: &[SocketAddr]) {
        let seeds = seeds.iter().map(SocketAddr::to_string).collect();
        let _ = self.inputs.try_send(MemberInput::SeedsChanged(seeds));
    }

    /// The member, for tasks of this process.
    pub fn local(&self) -> LocalMember {
        LocalMember { shared: self.shared.clone() }
    }

    /// Hands over leadership and stops.
    pub async fn stop(mut self) {
        let _ = self.inputs.send(MemberInput::TransferLeadership).await;
        async_io::Timer::after(HAND_OVER).await;
        self.inputs.close();
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

/// Starts the member's thread and the listener.
///
/// # Errors
/// When the address can't be bound or the durable state can't be used.
pub async fn start(executor: &Executor, options: ControlOptions) -> Result<ControlHandle> {
    let ControlOptions { settings, form_group, source, key, rollout, heartbeat_interval, actions } =
        options;
    let listener = TcpListener::bind(settings.internal_address)
        .await
        .wrap_err_with(|| format!("listening at {}", settings.internal_address))?;
    let address = listener.local_addr()?;
    let info = MemberInfo { name: settings.name.clone(), address: address.to_string() };
    let clock = Clock::start();
    let opening = {
        let (settings, info) = (settings.clone(), info.clone());
        move || {
            let member_settings = MemberSettings {
                info: info.clone(),
                consensus: Config::default(),
                seed: rand::random(),
                rollout,
                heartbeat_interval,
                seeds: initial_addresses(&settings),
            };
            open_member(&settings, member_settings, form_group, source.clone(), clock)
        }
    };
    let member = open_when_disk_works(&opening).await?;
    let id = member.identity().0;
    let standing = member.replica().membership().status(id);
    log::info!("control: {} listens at {address} as {id}, standing {standing:?}.", info.name);

    let (shared, receiver) = Shared::new();
    let inputs = shared.inputs.clone();
    let peers = Peers {
        executor: executor.clone(),
        own: info.address,
        key: key.clone(),
        meter: shared.meter.clone(),
    };
    let (ending, ended) = async_channel::bounded::<()>(1);
    let thread = std::thread::Builder::new().name("control".to_owned()).spawn({
        let shared = shared.clone();
        let (queues, asked) = (HashMap::new(), HashMap::new());
        let opening = Box::new(opening);
        let log = Arc::new(ControlLog::default());
        let runner = Runner { member, opening, clock, peers, queues, asked, shared, actions, log };
        move || {
            runner.run(&receiver);
            drop(ending);
        }
    })?;
    let accepting = accept_loop(executor.clone(), listener, key, shared.clone());
    executor.spawn(accepting).detach();
    executor.spawn(log_late_tasks()).detach();
    Ok(ControlHandle { inputs, shared, address, thread: Some(thread), ended })
}

fn initial_addresses(settings: &ControlSettings) -> Vec<String> {
    settings.initial_members.iter().map(|peer| peer.address.to_string()).collect()
}

fn open_member(
    settings: &ControlSettings,
    member_settings: MemberSettings,
    form_group: bool,
    source: SourceFiles,
    clock: Clock,
) -> Result<Member<FileDisk>> {
    let members = settings
        .initial_members
        .iter()
        .map(|peer| MemberInfo { name: peer.name.clone(), address: peer.address.to_string() });
    let founding = form_group.then(|| Founding { members: members.collect(), source });
    let disk = FileDisk::open(&settings.data_folder)?;
    disk.remove_temporary().map_err(MemberError::from)?;
    Member::open(disk, member_settings, founding.as_ref(), clock.now())
        .wrap_err("opening the data folder")
}

/// Opens the member; while its disk fails, tries again for [`MAX_DISK_WAIT`].
async fn open_when_disk_works(
    opening: impl Fn() -> Result<Member<FileDisk>>,
) -> Result<Member<FileDisk>> {
    let began = Instant::now();
    loop {
        match opening() {
            Err(error) if is_disk_failure(&error) && began.elapsed() < MAX_DISK_WAIT => {
                log::warn!("control: event=disk_still_fails error={error:#}");
                async_io::Timer::after(REOPEN_PAUSE).await;
            }
            opened => return opened,
        }
    }
}

fn is_disk_failure(error: &eyre::Report) -> bool {
    matches!(error.downcast_ref(), Some(MemberError::Disk(_) | MemberError::Wal(WalError::Disk(_))))
}

struct Runner {
    member: Member<FileDisk>,
    /// Opens the member from its disk, as at the start of the process.
    opening: Box<dyn Fn() -> Result<Member<FileDisk>> + Send>,
    clock: Clock,
    peers: Peers,
    queues: HashMap<String, Sender<Envelope>>,
    /// Clients of members that were asked to take this process in, or are told something.
    asked: HashMap<String, ControlClient>,
    shared: Arc<Shared>,
    actions: Option<Sender<FleetAction>>,
    log: Arc<ControlLog>,
}

impl Runner {
    fn run(mut self, inputs: &Receiver<MemberInput>) {
        while let Some(batch) = next_batch(inputs, self.wait()) {
            let now = self.clock.now();
            let inputs_count = batch.len();
            let ticked = batch.into_iter().chain([MemberInput::Tick]);
            let began = Instant::now();
            let stepped = self.member.step(now, ticked);
            let cost = FrameCost { bytes: 0, busy: began.elapsed() };
            self.shared.meter.count(Way::Step, "batch", cost);
            let outputs = match stepped {
                Ok(outputs) => outputs,
                Err(error) => {
                    // Serving on after a failed sync could forget what was promised: only what a
                    // new start finds on the disk counts.
                    log::error!("control: event=disk_failed error={error:?}");
                    if !self.reopen(inputs) {
                        break;
                    }
                    continue;
                }
            };
            self.log.step(cost.busy, inputs_count, outputs.len());
            for output in outputs {
                self.perform(output);
            }
            self.log.leadership(&self.member, now);
        }
        log::info!("control: stopped.");
    }

    /// Opens the member again, as soon as the disk works; returns whether the process goes on.
    fn reopen(&mut self, inputs: &Receiver<MemberInput>) -> bool {
        loop {
            std::thread::sleep(REOPEN_PAUSE);
            // Whoever waited is answered by nobody, and asks again.
            while inputs.try_recv().is_ok() {}
            self.shared.waiting.lock().unwrap().requesters.clear();
            if inputs.is_closed() {
                return false;
            }
            match (self.opening)() {
                Ok(mut member) => {
                    member.set_seeds(self.member.seeds().to_vec());
                    self.member = member;
                    log::info!("control: event=disk_regained");
                    return true;
                }
                Err(error) => log::warn!("control: event=disk_still_fails error={error:#}"),
            }
        }
    }

    fn wait(&self) -> Duration {
        let wakeup = self.member.next_wakeup();
        wakeup.since(self.clock.now()).min(MAX_WAIT)
    }

    fn perform(&mut self, output: MemberOutput) {
        match output {
            MemberOutput::Send(address, envelope) => {
                let peers = &self.peers;
                let queue = self
                    .queues
                    .entry(address)
                    .or_insert_with_key(|address| peers.open_queue(address));
                // A full queue drops the message; the log sends it again.
                let _ = queue.try_send(envelope);
            }
            MemberOutput::Respond(token, response) => self.respond(token, response),
            MemberOutput::Perform(action) => {
                if let Some(actions) = &self.actions {
                    let _ = actions.try_send(action);
                }
            }
            MemberOutput::Notify(address, request) => {
                if let Some(client) = self.client(&address) {
                    // What is not heard is made good by the next.
                    client.send(request, |_| {});
                }
            }
            MemberOutput::RequestJoin(address, request) => self.ask(address, request),
            MemberOutput::Membership(event) => {
                if matches!(
                    &event,
                    MembershipEvent::Changed { standing: MembershipStatus::Voter, .. }
                ) {
                    self.asked.clear();
                }
                self.log.membership(&event);
            }
            MemberOutput::Weights(event) => self.log.weights(&event),
            MemberOutput::Block(event) => self.log.block(&event),
            MemberOutput::Rollout(event) => {
                self.log.rollout(&event);
                let mut plans = self.shared.plans.lock().unwrap();
                plans.insert(event.service.clone(), event);
            }
        }
    }

    fn respond(&self, token: Token, response: Response) {
        let requester = self.shared.waiting.lock().unwrap().requesters.remove(&token);
        match requester {
            Some(Requester::Connection { answers, number, unanswered }) => {
                let frame = Box::new(Frame::Response(number, response));
                let _ = answers.try_send((frame, Some(unanswered)));
            }
            Some(Requester::Local(sender)) => {
                let _ = sender.try_send(response);
            }
            None => {}
        }
    }

    /// A client of another member.
    fn client(&mut self, address: &str) -> Option<ControlClient> {
        let target = match address.parse() {
            Ok(target) => target,
            Err(error) => {
                log::warn!("control: event=bad_address address={address} problem={error}");
                return None;
            }
        };
        let peers = &self.peers;
        let client = self
            .asked
            .entry(address.to_owned())
            .or_insert_with(|| ControlClient::new(&peers.executor, target, peers.key.clone()));
        Some(client.clone())
    }

    /// Asks another member. Its client is kept between requests, so that the time for a connection
    /// grows on a slow link.
    fn ask(&mut self, address: String, request: Request) {
        let Some(client) = self.client(&address) else { return };
        let inputs = self.shared.inputs.clone();
        let asking = async move {
            let response = client.ask(request, ASK_LIMIT).await;
            if let Err(problem) = &response {
                log::debug!("control: event=ask_failed member={address} problem={problem:#}");
            }
            // A member that has stopped wants no answer.
            let _ = inputs.send(MemberInput::JoinResponse(address, response.ok())).await;
        };
        self.peers.executor.spawn(asking).detach();
    }
}

/// Waits for inputs and takes all that are there; `None` when the process stops.
fn next_batch(inputs: &Receiver<MemberInput>, wait: Duration) -> Option<Vec<MemberInput>> {
    let first = async_io::block_on(futures_lite::future::or(
        async { inputs.recv().await.map(Some) },
        async {
            async_io::Timer::after(wait).await;
            Ok(None)
        },
    ));
    let mut batch: Vec<MemberInput> = first.ok()?.into_iter().collect();
    while batch.len() < MAX_BATCH {
        match inputs.try_recv() {
            Ok(input) => batch.push(input),
            Err(_) => break,
        }
    }
    Some(batch)
}
