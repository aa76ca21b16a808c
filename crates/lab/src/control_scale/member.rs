//! A control member's process: the real core, with queues for what arrives and what goes out.

use super::costs::FrameCosts;
use super::machine::{
    CONNECTION_BYTES, HTTP_CALL, MEMBER_BASE, MEMBER_BYTES_PER_REPLICA, MEMBER_SHARE,
    RESPONSE_BYTES, SOCKET_CALL, SYNC, Serial,
};
use super::report::Traffic;
use crate::scale::thread_time;
use std::collections::{BTreeMap, HashMap, HashSet, VecDeque};
use std::time::Duration;
use topazmount_consensus::{Config, Envelope, MemberInfo, MemoryDisk};
use topazmount_control::{
    Founding, Frame, Member, MemberInput, MemberOutput, MemberSettings, Request, Response,
    RolloutSettings, Token,
};
use topazmount_types::Time;

/// Inputs that a member takes at once, as in `topazmount`'s control process.
const MAX_BATCH: usize = 512;
/// Longest wait of a member without inputs.
const MAX_WAIT: Duration = Duration::from_millis(50);

/// Who waits for a response.
#[derive(Clone, Copy, Debug)]
pub enum Requester {
    /// A gateway, with the number of its request.
    Gateway { gateway: usize, request: u64 },
    /// A replica's call, which came to this member.
    Replica { replica: usize, call: u64 },
    /// A replica's call, which came to another member.
    Forwarded { member: usize, replica: usize, call: u64 },
    /// Another member that asks to join.
    Joining { member: usize },
    /// The operator, or a member that needs no response.
    Nobody,
}

/// A message that arrived.
pub struct Arrival {
    /// Bytes on the connection.
    pub bytes: usize,
    /// What it is.
    pub content: Content,
}

/// What arrives at a member.
pub enum Content {
    /// A message of the log.
    Peer(String, Envelope),
    /// A request.
    Request(Requester, Request),
    /// A response to its own request to join.
    Joined(String, Option<Response>),
}

/// A message that a member sends.
pub enum Outgoing {
    /// To another member.
    Peer(String, Frame),
    /// A request to another member that needs no response.
    Notify(String, Request),
    /// A request to join.
    Join(String, Request),
    /// A response.
    Response(Requester, Response),
}

/// The process of one member.
pub struct Machine {
    /// Its address.
    pub address: String,
    /// The core, while the process runs.
    pub member: Option<Member<MemoryDisk>>,
    disk: MemoryDisk,
    /// Number of process starts.
    pub run: u64,
    inbox: VecDeque<Arrival>,
    inbox_bytes: usize,
    outbox: VecDeque<Outgoing>,
    requesters: HashMap<Token, Requester>,
    next_token: u64,
    /// Gateways that are connected.
    pub connections: HashSet<usize>,
    processor: Serial,
    /// Its link.
    pub link: Serial,
    /// When it works next.
    pub works_at: Time,
    /// Whether it sends next, after a step of the core; the two threads share the processor.
    sends_next: bool,
    last_step: Duration,
    /// Messages by kind, since the phase began.
    pub traffic: BTreeMap<&'static str, Traffic>,
    /// Processor time since the phase began.
    pub busy: Duration,
    /// Bytes in and out since the phase began.
    pub bytes: u64,
    /// Largest memory since the phase began, in bytes.
    pub peak: f64,
}

impl Machine {
    /// A machine whose process has not started.
    pub fn new(address: String) -> Self {
        Machine {
            address,
            member: None,
            disk: MemoryDisk::default(),
            run: 0,
            inbox: VecDeque::new(),
            inbox_bytes: 0,
            outbox: VecDeque::new(),
            requesters: HashMap::new(),
            next_token: 0,
            connections: HashSet::new(),
            processor: Serial::default(),
            link: Serial::default(),
            works_at: Time::NEVER,
            sends_next: false,
            last_step: Duration::ZERO,
            traffic: BTreeMap::new(),
            busy: Duration::ZERO,
            bytes: 0,
            peak: 0.0,
        }
    }

    /// Starts the process from its disk.
    pub fn start(
        &mut self,
        now: Time,
        heartbeat: Duration,
        seeds: Vec<String>,
        founding: Option<&Founding>,
    ) {
        self.run += 1;
        let info = MemberInfo { name: self.address.clone(), address: self.address.clone() };
        let settings = MemberSettings {
            info,
            consensus: Config::default(),
            seed: self.run * 1_000 + self.address.len() as u64 + hash(&self.address),
            rollout: RolloutSettings::default(),
            heartbeat_interval: heartbeat,
            seeds,
        };
        let _ = heartbeat;
        let disk = std::mem::take(&mut self.disk);
        self.member = Member::open(disk, settings, founding, now).ok();
        self.works_at = now;
    }

    /// Ends the process; its disk keeps what was written.
    pub fn kill(&mut self) {
        if let Some(member) = self.member.take() {
            self.disk = member.disk().clone();
            self.disk.end_process();
        }
        self.inbox.clear();
        self.outbox.clear();
        self.inbox_bytes = 0;
        self.requesters.clear();
        self.connections.clear();
        self.works_at = Time::NEVER;
    }

    /// When its processor is free.
    pub fn free_at(&self) -> Time {
        self.processor.free_at()
    }

    /// Begins a phase.
    pub fn reset(&mut self) {
        self.traffic.clear();
        (self.busy, self.bytes) = (Duration::ZERO, 0);
        self.peak = self.memory();
    }

    /// Takes a message in; it waits unread until the next step.
    pub fn receive(&mut self, arrival: Arrival) {
        self.inbox_bytes += arrival.bytes;
        self.bytes += arrival.bytes as u64;
        self.inbox.push_back(arrival);
    }

    /// Memory of the process, in bytes.
    pub fn memory(&self) -> f64 {
        let Some(member) = &self.member else { return 0.0 };
        let replicas = member.state().fleet.instances().len() as f64;
        let waiting = self.outbox.len() * RESPONSE_BYTES;
        let queues = (self.inbox_bytes + waiting) as f64;
        let connections = (self.connections.len() * CONNECTION_BYTES) as f64;
        MEMBER_BASE + MEMBER_BYTES_PER_REPLICA * replicas + queues + connections
    }

    /// Works for one slice: a step of the core, or sending for as long as the last step took.
    /// Returns what was sent, each with the time at which it leaves.
    pub fn work(&mut self, now: Time, costs: &mut FrameCosts) -> Vec<(Time, usize, Outgoing)> {
        let sends = self.sends_next && !self.outbox.is_empty();
        self.sends_next = !sends;
        let sent = if sends { self.send(now, costs) } else { self.step(now) };
        self.peak = self.peak.max(self.memory());
        let idle = self.inbox.is_empty() && self.outbox.is_empty();
        let wakeup = self.member.as_ref().map_or(Time::NEVER, Member::next_wakeup);
        let next = if idle { wakeup.min(now + MAX_WAIT) } else { now };
        self.works_at = next.max(self.processor.free_at());
        sent
    }

    fn step(&mut self, now: Time) -> Vec<(Time, usize, Outgoing)> {
        let Some(member) = &mut self.member else { return Vec::new() };
        let mut inputs = Vec::new();
        let mut receiving = Duration::ZERO;
        let before = member.disk().size();
        for _ in 0..MAX_BATCH {
            let Some(arrival) = self.inbox.pop_front() else { break };
            self.inbox_bytes -= arrival.bytes;
            let (kind, busy) = receive_cost(&arrival);
            receiving += busy;
            count(&mut self.traffic, kind, arrival.bytes, busy);
            inputs.push(match arrival.content {
                Content::Peer(address, envelope) => MemberInput::Peer(address, envelope),
                Content::Joined(address, response) => MemberInput::JoinResponse(address, response),
                Content::Request(requester, request) => {
                    self.next_token += 1;
                    let token = Token(self.next_token);
                    self.requesters.insert(token, requester);
                    MemberInput::Request(token, request)
                }
            });
        }
        inputs.push(MemberInput::Tick);
        let began = thread_time();
        let outputs = member.step(now, inputs).unwrap_or_default();
        let busy = thread_time() - began;
        let sync = if member.disk().size() == before { Duration::ZERO } else { SYNC };
        count(&mut self.traffic, "step", 0, busy);
        self.last_step = receiving + busy;
        self.spend(now, receiving + busy);
        self.processor.take(now, sync);
        for output in outputs {
            self.queue(output);
        }
        Vec::new()
    }

    fn queue(&mut self, output: MemberOutput) {
        let outgoing = match output {
            MemberOutput::Send(to, envelope) => {
                Outgoing::Peer(to, Frame::Peer(self.address.clone(), envelope))
            }
            MemberOutput::Notify(to, request) => Outgoing::Notify(to, request),
            MemberOutput::RequestJoin(to, request) => Outgoing::Join(to, request),
            MemberOutput::Respond(token, response) => match self.requesters.remove(&token) {
                Some(Requester::Nobody) | None => return,
                Some(requester) => Outgoing::Response(requester, response),
            },
            MemberOutput::Perform(_)
            | MemberOutput::Membership(_)
            | MemberOutput::Weights(_)
            | MemberOutput::Rollout(_)
            | MemberOutput::Block(_) => return,
        };
        self.outbox.push_back(outgoing);
    }

    fn send(&mut self, now: Time, costs: &mut FrameCosts) -> Vec<(Time, usize, Outgoing)> {
        let mut sent = Vec::new();
        let mut spent = Duration::ZERO;
        while spent <= self.last_step {
            let Some(outgoing) = self.outbox.pop_front() else { break };
            let (outgoing, kind, cost) = costs.of_outgoing(outgoing);
            spent += cost.busy + SOCKET_CALL;
            count(&mut self.traffic, kind, cost.bytes, cost.busy + SOCKET_CALL);
            self.bytes += cost.bytes as u64;
            let leaves = now + (spent).div_f64(MEMBER_SHARE);
            sent.push((leaves, cost.bytes, outgoing));
        }
        self.spend(now, spent);
        sent
    }

    fn spend(&mut self, now: Time, busy: Duration) {
        self.busy += busy;
        self.processor.take(now, busy.div_f64(MEMBER_SHARE));
    }
}

fn count(
    traffic: &mut BTreeMap<&'static str, Traffic>,
    kind: &'static str,
    bytes: usize,
    busy: Duration,
) {
    let total = traffic.entry(kind).or_default();
    total.count += 1;
    total.bytes += bytes as u64;
    total.busy_ms += busy.as_secs_f64() * 1_000.0;
}

fn receive_cost(arrival: &Arrival) -> (&'static str, Duration) {
    match &arrival.content {
        Content::Request(Requester::Replica { .. }, _) => ("heartbeat", HTTP_CALL),
        Content::Request(_, request) => (request.kind(), SOCKET_CALL),
        Content::Peer(..) => ("peer", SOCKET_CALL),
        Content::Joined(..) => ("join", SOCKET_CALL),
    }
}

/// A seed for a member's timeouts.
fn hash(text: &str) -> u64 {
    text.bytes().fold(7, |hash, byte| hash * 31 % 1_000_003 + u64::from(byte))
}
