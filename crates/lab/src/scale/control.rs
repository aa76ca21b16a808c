//! What the control group costs over nodes, changes and at-most-once calls.

use crate::scale::declared::deployment;
use crate::scale::meter::seconds_of;
use std::time::Duration;
use topazmount_consensus::{Config, MemberInfo, MemoryDisk};
use topazmount_control::{
    ActionResult, ChangeRequest, ClaimId, Command, Founding, Frame, Member, MemberInput,
    MemberOutput, MemberSettings, Request, Response, Token,
};
use topazmount_settings::SourceFiles;
use topazmount_types::{ActionKey, Digest, Incarnation, NodeId, Revision, TenantId, Time};
use topazmount_wire::encode_payload;

const MEMBERS: usize = 3;
const TICK: Duration = Duration::from_millis(20);
/// Bytes that a frame adds to its payload: length, version and tag.
const FRAME_OVERHEAD: usize = 21;

/// A control group without a network: messages arrive at the next tick.
pub struct Group {
    pub members: Vec<Member<MemoryDisk>>,
    pub now: Time,
    /// Bytes of messages between members.
    pub peer_bytes: usize,
    /// Messages between members.
    pub peer_messages: usize,
    inbox: Vec<(usize, MemberInput)>,
    answers: Vec<(Token, Response)>,
    next_token: u64,
}

fn info(number: usize) -> MemberInfo {
    MemberInfo { name: format!("control-{number}"), address: format!("10.1.0.{}:7000", number + 1) }
}

/// Bytes of a frame with this content.
pub fn frame_bytes(frame: &Frame) -> usize {
    encode_payload(frame).map_or(0, |payload| payload.len() + FRAME_OVERHEAD)
}

impl Group {
    pub fn new(source: SourceFiles) -> Group {
        let founding = Founding { members: (0..MEMBERS).map(info).collect(), source };
        let open = |number: usize| {
            let seed = number as u64;
            let settings = MemberSettings {
                info: info(number),
                consensus: Config::default(),
                seed,
                rollout: Default::default(),
                heartbeat_interval: topazmount_control::DEFAULT_HEARTBEAT_INTERVAL,
                seeds: Vec::new(),
            };
            Member::open(MemoryDisk::default(), settings, Some(&founding), Time::ZERO)
                .expect("a disk in memory does not fail")
        };
        let mut group = Group {
            members: (0..MEMBERS).map(open).collect(),
            now: Time::ZERO,
            peer_bytes: 0,
            peer_messages: 0,
            inbox: Vec::new(),
            answers: Vec::new(),
            next_token: 0,
        };
        while group.leader().is_none() {
            group.tick();
        }
        group
    }

    pub fn leader(&self) -> Option<usize> {
        self.members.iter().position(|member| member.replica().has_lease(self.now))
    }

    /// Lets a tick pass; gives the answers that came.
    pub fn tick(&mut self) -> Vec<(Token, Response)> {
        self.now = self.now + TICK;
        let inbox = std::mem::take(&mut self.inbox);
        let mut inputs: Vec<Vec<MemberInput>> = (0..MEMBERS).map(|_| Vec::new()).collect();
        for (to, input) in inbox {
            inputs[to].push(input);
        }
        for (number, mut inputs) in inputs.into_iter().enumerate() {
            inputs.push(MemberInput::Tick);
            let outputs = self.members[number]
                .step(self.now, inputs)
                .expect("a disk in memory does not fail");
            outputs.into_iter().for_each(|output| self.take(number, output));
        }
        std::mem::take(&mut self.answers)
    }

    fn take(&mut self, from: usize, output: MemberOutput) {
        match output {
            MemberOutput::Respond(token, response) => self.answers.push((token, response)),
            MemberOutput::Perform(_)
            | MemberOutput::Notify(..)
            | MemberOutput::RequestJoin(..)
            | MemberOutput::Membership(_)
            | MemberOutput::Weights(_)
            | MemberOutput::Rollout(_)
            | MemberOutput::Block(_) => {}
            MemberOutput::Send(address, envelope) => {
                let to = (0..MEMBERS).find(|number| info(*number).address == address);
                let frame = Frame::Peer(info(from).address, envelope);
                self.peer_bytes += frame_bytes(&frame);
                self.peer_messages += 1;
                let Frame::Peer(own, envelope) = frame else { return };
                if let Some(to) = to {
                    self.inbox.push((to, MemberInput::Peer(own, envelope)));
                }
            }
        }
    }

    pub fn ask(&mut self, member: usize, request: Request) -> Token {
        self.next_token += 1;
        let token = Token(self.next_token);
        self.inbox.push((member, MemberInput::Request(token, request)));
        token
    }

    /// Asks the leader and waits for the answer.
    pub fn ask_leader(&mut self, request: Request) -> Response {
        let leader = self.leader().unwrap_or(0);
        let token = self.ask(leader, request);
        loop {
            let answers = self.tick();
            if let Some((_, response)) = answers.into_iter().find(|(own, _)| *own == token) {
                return response;
            }
        }
    }

    fn change(&mut self, number: u64) {
        let leader = self.leader().unwrap_or(0);
        let state = self.members[leader].state();
        let expected = state.configuration.revision();
        let mut source = state.configuration.source().clone();
        if let Some(text) = source.0.get_mut("deployment.toml") {
            // Like a tenant's new rate: a few bytes in the middle of the text.
            *text =
                text.replacen("burst_tokens = 1", &format!("burst_tokens = {}", 1 + number % 9), 1);
        }
        let request = Digest::of(&number.to_le_bytes());
        let change = ChangeRequest { expected, request, source };
        self.ask_leader(Request::Change(change));
    }
}

fn fetch(node: usize, have: Revision) -> Request {
    let name = format!("node-{node}");
    Request::Fetch { node: NodeId::from_name(&name), name, zone: "zone-0".to_owned(), have }
}

/// Cost of regular fetches without news.
pub struct FetchCost {
    /// Processor time of all members for one simulated second, in microseconds.
    pub member_us: f64,
    /// Bytes of one request and its answer.
    pub bytes: f64,
}

/// Cost for the group of so many nodes that fetch every two seconds.
pub fn fetch_cost(nodes: usize) -> FetchCost {
    const SECONDS: u64 = 10;
    let mut group = Group::new(deployment(20, 1, 20));
    let have = Revision(1);
    let request = Frame::Request(1, fetch(0, have));
    let answer =
        Frame::Response(1, Response::Update(topazmount_control::ConfigurationUpdate::Current));
    let bytes = frame_bytes(&request) + frame_bytes(&answer);
    let ticks_per_second = 50;
    let mut asked = 0usize;
    let seconds = seconds_of(|| {
        for tick in 0..SECONDS * ticks_per_second {
            let due = nodes as u64 * (tick + 1) / (2 * ticks_per_second);
            while (asked as u64) < due {
                group.ask(asked % MEMBERS, fetch(asked % nodes, have));
                asked += 1;
            }
            group.tick();
        }
    });
    FetchCost { member_us: seconds * 1e6 / SECONDS as f64, bytes: bytes as f64 }
}

/// Cost of changes.
pub struct ChangeCost {
    /// Processor time of all members for one change, in milliseconds.
    pub member_ms: f64,
    /// Bytes that a node gets for one change.
    pub delta_bytes: f64,
    /// Bytes between members for one change.
    pub peer_bytes: f64,
    /// Bytes of a full configuration for one node.
    pub full_bytes: f64,
    /// Bytes on a member's disk afterwards.
    pub disk_bytes: f64,
}

/// Cost of changing a configuration of this size so many times.
pub fn change_cost(replicas: usize, tenants: usize, changes: u64) -> ChangeCost {
    let mut group = Group::new(deployment(replicas, 7, tenants));
    let before = group.peer_bytes;
    let seconds = seconds_of(|| (0..changes).for_each(|number| group.change(number)));
    let peer_bytes = (group.peer_bytes - before) as f64 / changes as f64;
    let leader = group.leader().unwrap_or(0);
    let configuration = &group.members[leader].state().configuration;
    let last = Revision(configuration.revision().0 - 1);
    let update = |have| {
        let response = Response::Update(configuration.update_since(have));
        frame_bytes(&Frame::Response(1, response)) as f64
    };
    ChangeCost {
        member_ms: seconds * 1_000.0 / changes as f64,
        delta_bytes: update(last),
        peer_bytes,
        full_bytes: update(Revision(0)),
        disk_bytes: group.members[leader].disk().size() as f64,
    }
}

/// Cost of at-most-once calls.
pub struct LedgerCost {
    /// Processor time of all members for a claim and its result, in microseconds.
    pub member_us: f64,
    /// Bytes between members for one call.
    pub peer_bytes: f64,
    /// Bytes of a snapshot for one key.
    pub key_bytes: f64,
}

/// Cost of so many calls, made in batches of 50 a tick.
pub fn ledger_cost(calls: u64) -> LedgerCost {
    const BATCH: u64 = 50;
    let mut group = Group::new(deployment(20, 1, 20));
    let before = group.peer_bytes;
    let seconds = seconds_of(|| {
        for first in (0..calls).step_by(BATCH as usize) {
            let leader = group.leader().unwrap_or(0);
            for number in first..(first + BATCH).min(calls) {
                group.ask(leader, Request::Ledger(claim(number)));
                group.ask(leader, Request::Ledger(finish(number)));
            }
            (0..3).for_each(|_| drop(group.tick()));
        }
    });
    let leader = group.leader().unwrap_or(0);
    let state = rmp_serde::to_vec(&group.members[leader].state().ledger).unwrap_or_default();
    LedgerCost {
        member_us: seconds * 1e6 / calls as f64,
        peer_bytes: (group.peer_bytes - before) as f64 / calls as f64,
        key_bytes: state.len() as f64 / calls as f64,
    }
}

fn claim_id(number: u64) -> ClaimId {
    ClaimId { node: NodeId(number % 650), incarnation: Incarnation(1), sequence: number }
}

fn key(number: u64) -> ActionKey {
    ActionKey { tenant: TenantId(number % 5_200), key: Digest::of(&number.to_le_bytes()) }
}

fn claim(number: u64) -> Command {
    let digest = Digest::of(b"call");
    let within = Duration::from_secs(60);
    Command::Claim { key: key(number), claim: claim_id(number), digest, within }
}

fn finish(number: u64) -> Command {
    let result = Some(ActionResult { status: 200, body: "{\"order\":12345678}".to_owned() });
    let retention = Duration::from_secs(86_400);
    Command::Finish { key: key(number), claim: claim_id(number), result, retention }
}
