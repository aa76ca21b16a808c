//! The node process: the core behind a lock, and tasks that turn its outputs into traffic.

use crate::Executor;
use crate::callers;
use crate::clock::Clock;
use crate::configuration_file::{self, Keeper};
use crate::control_client::ControlClient;
use crate::engine_client;
use crate::http_pool::HttpPool;
use crate::http1::get;
use async_channel::{Receiver, Sender};
use async_executor::Task;
use async_net::TcpListener;
use eyre::{Result, WrapErr};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use topazmount_control::{ActionResult, LookupOutcome};
use topazmount_node::{
    ControlFailure, FinishReason, InForce, MachineEntry, Node, NodeInput, NodeOutput,
    NodeSettingsCore,
};
use topazmount_routing::ReplicaStatus;
use topazmount_settings::{Declarations, NodeSettings, SourceFiles};
use topazmount_types::{AttemptId, Incarnation, Refusal, ReplicaId, RequestId, Usage};
use topazmount_wire::ClusterKey;

/// Longest pause between two looks at the core's timers.
const MAX_TICK: Duration = Duration::from_millis(20);
/// Shortest pause between two looks.
const MIN_TICK: Duration = Duration::from_millis(1);
/// Time for which a drained node still answers requests on open connections.
pub const LINGER: Duration = Duration::from_millis(300);
/// Most bytes of the platform's list.
const MAX_MACHINE_LIST: usize = 4 << 20;
/// Time for the platform's list to arrive.
const MACHINE_LIST_TIMEOUT: Duration = Duration::from_secs(2);

/// What a caller's request gets from the core.
#[derive(Clone, Debug)]
pub enum Event {
    /// Text of a streamed answer.
    Text(String),
    /// End of a completion.
    Finish {
        /// Why it ended.
        reason: FinishReason,
        /// Token counts.
        usage: Usage,
        /// The whole text, when the caller reads no stream.
        text: String,
    },
    /// An error; ends the request.
    Refuse(Refusal),
    /// Result of a call; ends the request.
    Action {
        /// Result.
        result: ActionResult,
        /// Whether it was kept from an earlier run.
        replayed: bool,
    },
    /// What is known of a call; ends the request.
    Lookup(LookupOutcome),
}

struct Inner {
    core: Node,
    requests: HashMap<RequestId, Sender<Event>>,
    attempts: HashMap<AttemptId, Task<()>>,
    next_request: u64,
}

/// A running node.
pub struct NodeProcess {
    /// Name, by which back ends know it.
    pub name: String,
    inner: Mutex<Inner>,
    /// Executor of all tasks.
    pub executor: Executor,
    /// Clock of the core.
    pub clock: Clock,
    keeper: Arc<Keeper>,
    controls: Vec<ControlClient>,
    pool: HttpPool,
    connections: AtomicUsize,
    /// Connections on which an answer is being made or written.
    answering: AtomicUsize,
    drained: (Sender<()>, Receiver<()>),
    /// Task that accepts connections.
    listening: Mutex<Option<Task<()>>>,
}

/// What a node process needs beyond its settings.
pub struct NodeOptions {
    /// Settings.
    pub settings: NodeSettings,
    /// Texts that it starts from.
    pub source: SourceFiles,
    /// Key of the deployment.
    pub key: ClusterKey,
    /// Fraction of each tenant's rate that this node may spend.
    pub tenant_share: f64,
}

/// Handle on a running node.
pub struct NodeHandle {
    /// Where callers connect.
    pub address: SocketAddr,
    /// The process.
    pub process: Arc<NodeProcess>,
}

impl NodeHandle {
    /// Takes no new work, finishes what is open, and returns; at the latest after the drain
    /// timeout. Returns whether everything was finished.
    pub async fn drain(&self) -> bool {
        let limit = self.process.declarations().limits.drain_timeout;
        log::info!("node: draining.");
        self.process.feed(NodeInput::Drain);
        let done = futures_lite::future::or(
            async { self.process.drained.1.recv().await.is_ok() },
            async {
                async_io::Timer::after(limit).await;
                false
            },
        )
        .await;
        // A request may be under way on a connection that looked idle: nothing new is accepted,
        // and what still comes is refused as not run.
        self.process.listening.lock().unwrap().take();
        async_io::Timer::after(LINGER).await;
        // Answers that the core has given may still be on their way into sockets.
        while done && self.process.answering.load(Ordering::Acquire) > 0 {
            async_io::Timer::after(MIN_TICK).await;
        }
        log::info!("node: drained, {}.", if done { "all answered" } else { "time is up" });
        done
    }
}

/// Starts a node: listener, timers and core.
///
/// # Errors
/// When the address can't be bound or the declarations have problems.
pub async fn start(executor: &Executor, options: NodeOptions) -> Result<NodeHandle> {
    let NodeOptions { settings, source, key, tenant_share } = options;
    let seed = configuration_file::load(settings.data_folder.as_deref(), source)?;
    let kept = seed.revision;
    let listener = TcpListener::bind(settings.callers_address)
        .await
        .wrap_err_with(|| format!("listening at {}", settings.callers_address))?;
    let address = listener.local_addr()?;
    let clock = Clock::start();
    let control: Vec<SocketAddr> = settings.control.iter().map(|peer| peer.address).collect();
    let client = |address: &SocketAddr| ControlClient::new(executor, *address, key.clone());
    let controls = control.iter().map(client).collect();
    let core_settings = NodeSettingsCore {
        name: settings.name.clone(),
        zone: settings.zone,
        incarnation: Incarnation(rand::random()),
        control,
        seed: rand::random(),
        tenant_share,
    };
    let core = Node::new(core_settings, seed, clock.now());
    let process = Arc::new(NodeProcess {
        name: settings.name.clone(),
        inner: Mutex::new(Inner {
            core,
            requests: HashMap::new(),
            attempts: HashMap::new(),
            next_request: 0,
        }),
        executor: executor.clone(),
        clock,
        keeper: Arc::new(Keeper::new(settings.data_folder, kept)),
        controls,
        pool: HttpPool::default(),
        connections: AtomicUsize::new(0),
        answering: AtomicUsize::new(0),
        drained: async_channel::bounded(1),
        listening: Mutex::new(None),
    });
    log::info!("node: {} serves callers at {address}.", settings.name);
    executor.spawn(run_timers(process.clone())).detach();
    let accepting = executor.spawn(callers::accept_loop(process.clone(), listener));
    *process.listening.lock().unwrap() = Some(accepting);
    Ok(NodeHandle { address, process })
}

async fn run_timers(process: Arc<NodeProcess>) {
    loop {
        let now = process.clock.now();
        let next = process.inner.lock().unwrap().core.next_wakeup();
        async_io::Timer::after(next.since(now).clamp(MIN_TICK, MAX_TICK)).await;
        if process.clock.now() >= next {
            process.feed(NodeInput::Tick);
        }
    }
}

impl NodeProcess {
    /// Declarations in force.
    pub fn declarations(&self) -> Arc<Declarations> {
        self.inner.lock().unwrap().core.in_force().declarations.clone()
    }

    /// Whether the node takes no new requests.
    pub fn is_draining(&self) -> bool {
        self.inner.lock().unwrap().core.is_draining()
    }

    /// Reads something of the core.
    pub fn read<T>(&self, read: impl FnOnce(&Node) -> T) -> T {
        read(&self.inner.lock().unwrap().core)
    }

    /// Notes that an answer is begun on a connection.
    pub fn begin_answer(&self) {
        self.answering.fetch_add(1, Ordering::AcqRel);
    }

    /// Notes that the answer is written, or can't be.
    pub fn end_answer(&self) {
        self.answering.fetch_sub(1, Ordering::AcqRel);
    }

    /// Counts an open connection; `None` when there are too many.
    pub fn open_connection(self: &Arc<Self>) -> Option<ConnectionGuard> {
        let most = self.declarations().limits.max_connections;
        let guard = ConnectionGuard(self.clone());
        let before = self.connections.fetch_add(1, Ordering::Relaxed);
        (before < most).then_some(guard)
    }

    /// Opens a request: its identifier and what will come of it.
    pub fn open_request(self: &Arc<Self>) -> OpenRequest {
        let (sender, events) = async_channel::unbounded();
        let mut inner = self.inner.lock().unwrap();
        inner.next_request += 1;
        let id = RequestId(inner.next_request);
        inner.requests.insert(id, sender);
        OpenRequest { id, events, process: self.clone() }
    }

    /// Gives the core an input and performs its outputs.
    pub fn feed(self: &Arc<Self>, input: NodeInput) {
        let mut inner = self.inner.lock().unwrap();
        // The time is read with the lock held, so that inputs carry it in order.
        let outputs = inner.core.step(self.clock.now(), input);
        for output in outputs {
            self.perform(&mut inner, output);
        }
    }

    fn perform(self: &Arc<Self>, inner: &mut Inner, output: NodeOutput) {
        match output {
            NodeOutput::Relay { request, text } => tell(inner, request, Event::Text(text)),
            NodeOutput::Finish { request, reason, usage, text } => {
                end(inner, request, Event::Finish { reason, usage, text });
            }
            NodeOutput::Refuse(request, refusal) => end(inner, request, Event::Refuse(refusal)),
            NodeOutput::AnswerAction { request, result, replayed } => {
                end(inner, request, Event::Action { result, replayed });
            }
            NodeOutput::AnswerLookup(request, outcome) => {
                end(inner, request, Event::Lookup(outcome));
            }
            NodeOutput::Cancel(attempt) => drop(inner.attempts.remove(&attempt)),
            NodeOutput::Dispatch(dispatch) => {
                let address = address_of(inner, dispatch.replica);
                let process = self.clone();
                let attempt = dispatch.attempt;
                let task = self.executor.spawn(async move {
                    let feed = |input| process.feed(input);
                    engine_client::attempt(&process.pool, address, &process.name, dispatch, feed)
                        .await;
                    process.attempt_ended(attempt);
                });
                inner.attempts.insert(attempt, task);
            }
            NodeOutput::DispatchAction { attempt, replica, call, .. } => {
                let address = address_of(inner, replica);
                let process = self.clone();
                let task = self.executor.spawn(async move {
                    let feed = |input| process.feed(input);
                    engine_client::call_application(address, &process.name, attempt, &call, feed)
                        .await;
                });
                task.detach();
            }
            NodeOutput::AskControl { number, member, request } => {
                let Some(client) = self.controls.get(member) else {
                    return;
                };
                let process = self.clone();
                client.send(*request, move |response| {
                    let response = response.ok_or(ControlFailure::Unreachable);
                    // In a task of its own: a client that fails at once answers under the lock.
                    let executor = process.executor.clone();
                    let feeding = async move {
                        process.feed(NodeInput::Control(number, response));
                    };
                    executor.spawn(feeding).detach();
                });
            }
            NodeOutput::ReadMachines => self.read_machines(inner),
            NodeOutput::Keep(configuration) => self.keep(*configuration),
            NodeOutput::Configured => {}
            NodeOutput::Drained => drop(self.drained.0.try_send(())),
        }
    }

    fn attempt_ended(&self, attempt: AttemptId) {
        let task = self.inner.lock().unwrap().attempts.remove(&attempt);
        if let Some(task) = task {
            task.detach();
        }
    }

    /// Makes a configuration durable away from the core's lock.
    fn keep(self: &Arc<Self>, configuration: InForce) {
        let process = self.clone();
        let keeping = async move {
            let revision = configuration.revision;
            let keeper = process.keeper.clone();
            let saved = blocking::unblock(move || keeper.save(&configuration));
            match saved.await {
                Ok(()) => process.feed(NodeInput::Kept(revision)),
                Err(error) => log::error!("node: configuration {revision} not kept: {error}."),
            }
        };
        self.executor.spawn(keeping).detach();
    }

    fn read_machines(self: &Arc<Self>, inner: &Inner) {
        let Some(address) = inner.core.in_force().declarations.machine_list else {
            return;
        };
        let process = self.clone();
        let reading = async move {
            match fetch_machines(address).await {
                Ok(entries) => process.feed(NodeInput::Machines(entries)),
                Err(error) => log::debug!("node: the machine list can't be read: {error}."),
            }
        };
        self.executor.spawn(reading).detach();
    }
}

/// Where a back end listens; a replica that has just left the declarations gets an address that
/// nothing answers at.
fn address_of(inner: &Inner, replica: ReplicaId) -> SocketAddr {
    let declarations = &inner.core.in_force().declarations;
    let engines = declarations.engines.iter().map(|engine| &engine.replica);
    let applications = declarations.applications.iter().flat_map(|app| &app.replicas);
    let found = engines.chain(applications).find(|known| known.id == replica);
    found.map_or(SocketAddr::from(([127, 0, 0, 1], 0)), |known| known.address)
}

fn tell(inner: &Inner, request: RequestId, event: Event) {
    if let Some(sender) = inner.requests.get(&request) {
        let _ = sender.try_send(event);
    }
}

fn end(inner: &mut Inner, request: RequestId, event: Event) {
    if let Some(sender) = inner.requests.remove(&request) {
        let _ = sender.try_send(event);
    }
}

#[derive(serde::Deserialize)]
struct MachineRow {
    name: String,
    state: String,
    epoch: u64,
}

async fn fetch_machines(address: SocketAddr) -> Result<Vec<MachineEntry>> {
    let list = get(address, "/machines", MAX_MACHINE_LIST, MACHINE_LIST_TIMEOUT).await?;
    let rows: Vec<MachineRow> = serde_json::from_slice(&list)?;
    let entry = |row: &MachineRow| MachineEntry {
        replica: ReplicaId::from_name(&row.name),
        evidence: if row.state == "leaving" { ReplicaStatus::Leaving } else { ReplicaStatus::Live },
        epoch: row.epoch,
    };
    Ok(rows.iter().map(entry).collect())
}

/// A caller's request; dropping it tells the core that the caller is gone.
pub struct OpenRequest {
    /// Identifier.
    pub id: RequestId,
    /// What comes of it.
    pub events: Receiver<Event>,
    process: Arc<NodeProcess>,
}

impl Drop for OpenRequest {
    fn drop(&mut self) {
        let still_open = self.process.inner.lock().unwrap().requests.remove(&self.id).is_some();
        if still_open {
            self.process.feed(NodeInput::CallerGone(self.id));
        }
    }
}

/// Counts an open connection while it lives.
pub struct ConnectionGuard(Arc<NodeProcess>);

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.0.connections.fetch_sub(1, Ordering::Relaxed);
    }
}
