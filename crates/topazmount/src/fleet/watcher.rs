//! Asks control members for news, the leader first.

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
    CrashReport, FleetRequest, FleetResponse, FleetView, GatewayReport, Request, Response,
    SeenVersions, WatchRequest,
};
use topazmount_types::Time;
use topazmount_wire::ClusterKey;

/// How long a member may hold an answer while there is no news.
const HOLD: Duration = Duration::from_millis(400);
/// Time beyond that after which another member is asked.
const ANSWER_MARGIN: Duration = Duration::from_millis(350);
/// Pause after a member that did not answer or could not vouch for what it knows. It grows with each of them in a row, and
/// differs between gateways: 300 of them that ask every 60 ms keep the members of a group that has no leader busy with
/// 5,000 questions a second.
const FIRST_PAUSE: Duration = Duration::from_millis(60);
/// Longest such pause, before it is spread: less than an election takes.
const LONGEST_PAUSE: Duration = Duration::from_millis(300);
/// Time for which a member that did not answer is not asked again while there are others.
const AVOIDANCE: Duration = Duration::from_millis(1_500);

/// Suspended time from which on it is told; less is the reading of two clocks one after the other.
const TOLD_SUSPENSION: Duration = Duration::from_millis(100);

/// Members that are known at a time; more than any group has.
const MOST_MEMBERS: usize = 32;

/// What the owner of a watcher does with news.
pub trait NewsReader: Send + 'static {
    /// What it has seen, and what it reports of itself.
    fn request(&mut self) -> (SeenVersions, Option<GatewayReport>);
    /// What it saw of crashes lately.
    fn crashes(&mut self) -> CrashReport {
        CrashReport::default()
    }
    /// Takes news that was asked for at `asked_at`.
    fn read(&mut self, view: FleetView, asked_at: Time);
}

/// Addresses of members from the settings, which may change while the process runs.
#[derive(Clone)]
pub struct Seeds(Arc<Mutex<Vec<SocketAddr>>>);

impl Seeds {
    /// These seeds.
    pub fn new(seeds: Vec<SocketAddr>) -> Self {
        Seeds(Arc::new(Mutex::new(seeds)))
    }

    /// Takes other seeds.
    pub fn set(&self, seeds: Vec<SocketAddr>) {
        *self.0.lock().unwrap() = seeds;
    }

    fn get(&self) -> Vec<SocketAddr> {
        self.0.lock().unwrap().clone()
    }
}

/// How a request for news ended.
enum Asked {
    Answered(Box<FleetView>),
    Nudged,
    Failed,
}

/// Where news comes from.
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
    /// When a member answered last.
    answered_at: Time,
    /// Time for which the machine has been suspended, as told last.
    suspended: Duration,
    /// The next pause after a member that was of no use, before it is spread.
    pause: Duration,
}

impl Watcher {
    /// A watcher that begins with the seeds.
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
            answered_at: clock.now(),
            suspended: Duration::ZERO,
            pause: FIRST_PAUSE,
        }
    }

    /// Asks for news for ever; at once when `nudges` says that there is something to report.
    pub async fn run(mut self, mut reader: impl NewsReader, nudges: Receiver<()>) {
        let mut turn: usize = rand::random_range(0..self.seeds.get().len().max(1));
        let mut leader: Option<SocketAddr> = None;
        loop {
            self.tell_suspension();
            let target = self.target(leader.take(), &mut turn);
            let asked_at = self.clock.now();
            let (seen, gateway) = reader.request();
            let watch = WatchRequest {
                gateway,
                seen,
                wants_gateways: self.wants_gateways,
                wait: HOLD,
                crashes: reader.crashes(),
            };
            match self.ask(target, watch, &nudges).await {
                Asked::Nudged => leader = Some(target),
                Asked::Answered(view) => {
                    self.note_connected(target, true);
                    self.note_members(&view);
                    let named = view.leader.as_ref().and_then(|address| address.parse().ok());
                    let is_sure = view.staleness.is_some();
                    // The member that has begun to tell of all replicas goes on: so those that start together are spread.
                    let goes_on = is_sure && view.has_more;
                    let next = if is_sure { named.or(Some(target)) } else { named };
                    leader = if goes_on { Some(target) } else { next };
                    reader.read(*view, asked_at);
                    match is_sure {
                        true => self.pause = FIRST_PAUSE,
                        false => self.pass_over(target).await,
                    }
                }
                Asked::Failed => {
                    self.note_connected(target, false);
                    self.pass_over(target).await;
                }
            }
        }
    }

    async fn ask(
        &mut self,
        target: SocketAddr,
        watch: WatchRequest,
        nudges: &Receiver<()>,
    ) -> Asked {
        let client = self.clients.entry(target).or_insert_with(|| {
            let key = self.key.clone();
            ControlClient::with_limit(&self.executor, target, key, self.connect_limit)
        });
        let request = Request::Fleet(FleetRequest::Watch(watch));
        let asking = async {
            match client.ask(request, HOLD + ANSWER_MARGIN).await {
                Ok(Response::Fleet(FleetResponse::View(view))) => Asked::Answered(view),
                _ => Asked::Failed,
            }
        };
        let nudged = async {
            match nudges.recv().await {
                Ok(()) => Asked::Nudged,
                Err(_) => futures_lite::future::pending().await,
            }
        };
        let asked = futures_lite::future::or(asking, nudged).await;
        match asked {
            // The connection may hang behind a cut; the next one is made anew.
            Asked::Failed => {
                self.clients.remove(&target);
                self.connect_limit.failed();
            }
            Asked::Answered(_) => self.connect_limit.succeeded(),
            Asked::Nudged => {}
        }
        asked
    }

    /// The leader, unless it did not answer lately; else the next of all known members.
    fn target(&mut self, leader: Option<SocketAddr>, turn: &mut usize) -> SocketAddr {
        let now = self.clock.now();
        self.avoided.retain(|_, until| now < *until);
        if let Some(leader) = leader.filter(|address| !self.avoided.contains_key(address)) {
            return leader;
        }
        let mut all = self.members.clone();
        all.extend(self.seeds.get().iter().filter(|seed| !self.members.contains(seed)));
        let open: Vec<SocketAddr> =
            all.iter().filter(|address| !self.avoided.contains_key(address)).copied().collect();
        let choice = if open.is_empty() { all } else { open };
        *turn = turn.wrapping_add(1);
        choice[*turn % choice.len()]
    }

    /// Turns away from a member that was of no use, after a pause.
    async fn pass_over(&mut self, member: SocketAddr) {
        self.avoid(member);
        let spread = 0.5 + rand::random::<f64>();
        async_io::Timer::after(self.pause.mul_f64(spread)).await;
        self.pause = (self.pause * 3 / 2).min(LONGEST_PAUSE);
    }

    fn avoid(&mut self, address: SocketAddr) {
        self.avoided.insert(address, self.clock.now() + AVOIDANCE);
    }

    fn note_members(&mut self, view: &FleetView) {
        let named = view.members.iter().filter_map(|address| address.parse().ok());
        // A member that is outside the group, or was removed long ago, names who may be a member:
        // that is worth a try, and does not replace what a member in contact said.
        if view.staleness.is_some() {
            self.members = named.collect();
        } else {
            for address in named {
                if self.members.len() < MOST_MEMBERS && !self.members.contains(&address) {
                    self.members.push(address);
                }
            }
        }
        let (members, seeds) = (&self.members, self.seeds.get());
        self.clients.retain(|address, _| members.contains(address) || seeds.contains(address));
    }

    fn tell_suspension(&mut self) {
        let suspended = self.clock.suspended();
        let time = suspended.saturating_sub(self.suspended);
        if time >= TOLD_SUSPENSION {
            self.suspended = suspended;
            log::warn!("link: event=suspended for_ms={}", time.as_millis());
        }
    }

    /// Logs when all members have stopped answering, and when one does again.
    fn note_connected(&mut self, target: SocketAddr, is_answered: bool) {
        let now = self.clock.now();
        if is_answered {
            self.answered_at = now;
        }
        // One that does not answer is no loss while others do.
        let is_connected = now < self.answered_at + AVOIDANCE;
        if self.is_connected != is_connected {
            self.is_connected = is_connected;
            let state = if is_connected { "regained" } else { "lost" };
            log::info!("link: event=control_{state} member={target}");
        }
    }
}
