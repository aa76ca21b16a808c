//! A control group in memory: members with durable disks and delayed messages, on a virtual clock.
#![allow(dead_code)]

pub mod legacy_build;
mod suspension;

use serde::{Serialize, de::DeserializeOwned};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;
use topazmount_consensus::{
    Config, Disk, Envelope, MemberInfo, MembershipStatus, Message, SharedDisk, Wal,
};
use topazmount_control::{
    Founding, InstanceReport, LoadedModel, Member, MemberInput, MemberOutput, MemberSettings,
    MembershipEvent, Request, Response, Token,
};
use topazmount_settings::SourceFiles;
use topazmount_types::{Instance, Start, Time};

/// Generates a test for each named case.
#[macro_export]
macro_rules! cases {
    ($($(#[doc = $doc:literal])* $name:ident => $body:block)*) => {
        $($(#[doc = $doc])* #[test] fn $name() $body)*
    };
}

/// A machine, by the last number of its address.
pub type Host = u8;

/// Simulation step.
const TICK: Duration = Duration::from_millis(10);
/// Delivery time of a message.
const MESSAGE_DELAY: Duration = Duration::from_millis(10);
/// Time after which a request without a receiver fails.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(1_100);
/// Lines kept for [`World::trace`].
const MAX_TRACE_LINES: usize = 60;

fn address(host: Host) -> String {
    format!("10.0.0.{host}:7780")
}

fn host_of(address: &str) -> Host {
    let number = address.strip_prefix("10.0.0.").and_then(|rest| rest.split(':').next());
    number.and_then(|text| text.parse().ok()).unwrap_or_else(|| panic!("address {address}"))
}

fn info(host: Host) -> MemberInfo {
    MemberInfo { name: address(host), address: address(host) }
}

/// Legacy builds neither mark their replies nor return marks.
fn remove_reply_marks(envelope: &mut Envelope) {
    match &mut envelope.message {
        Message::AppendReply { timestamp, .. } => *timestamp = Default::default(),
        Message::Append { echoed, .. } => *echoed = None,
        _ => {}
    }
}

/// A heartbeat of replica `r`, with version 1 of its weights.
pub fn heartbeat(count: u64) -> InstanceReport {
    let instance = Instance {
        id: "r".to_owned(),
        service: "pool".to_owned(),
        address: "r:1".to_owned(),
        zone: "north".to_owned(),
        slots: 4,
        is_draining: false,
        changed_at: 0,
        start: Start(1),
        software: String::new(),
    };
    let models = vec![LoadedModel { model: "model".to_owned(), version: 1 }];
    InstanceReport { instance, models, sequence: count }
}

#[derive(Default)]
struct Machine {
    member: Option<Member<SharedDisk>>,
    disk: SharedDisk,
    seeds: Vec<Host>,
    /// Number of process starts; messages to an earlier process are lost.
    run: u64,
    /// Inputs held back while the process is frozen.
    held_inputs: Option<Vec<MemberInput>>,
    /// Since when the machine is suspended.
    suspended_at: Option<Time>,
    /// How far its clock is behind.
    clock_lag: Duration,
    /// Requesters of pending join requests.
    pending_requests: BTreeMap<Token, Host>,
}

struct Transfer {
    at: Time,
    from: Host,
    to: Host,
    run: u64,
    input: MemberInput,
}

/// What a start has read is what a loss of power right after it leaves.
fn assert_outlasts_power_loss(host: Host, disk: &SharedDisk) {
    let state = |disk: SharedDisk| {
        let (_, recovered) = Wal::open(disk).unwrap();
        let log = recovered.log;
        let entries = log.range(log.first_index(), log.last_index());
        (recovered.hard_state, recovered.snapshot, entries)
    };
    let (before, after) = (disk.copy(), disk.copy());
    before.inner().end_process();
    after.inner().lose_power(0, u64::MAX);
    let identity = |disk: &SharedDisk| disk.read("identity").unwrap();
    assert_eq!(identity(&after), identity(&before), "{host} loses its identity");
    assert!(state(after) == state(before), "{host} started from what a loss of power takes away");
}

/// The machines, their messages and network cuts.
pub struct World {
    pub now: Time,
    machines: BTreeMap<Host, Machine>,
    transfers: VecDeque<Transfer>,
    cuts: BTreeSet<(Host, Host)>,
    next_token: u64,
    seed: u64,
    heartbeat_interval: Duration,
    /// Machines that encode messages without field names, as legacy builds do.
    pub unnamed_fields: BTreeSet<Host>,
    /// Machines that run a legacy build: they do not mark replies, and can't apply newer commands.
    pub legacy_builds: BTreeSet<Host>,
    /// Commands sent to such a machine that it can't read.
    pub unreadable_commands: Vec<String>,
    /// Whether a machine's clock stops while it is suspended.
    pub do_clocks_stop: bool,
    /// Whether join requests to the leader are dropped.
    are_joins_refused: bool,
    /// Responses to the operator's requests.
    responses: BTreeMap<Token, Response>,
    trace_lines: VecDeque<String>,
}

impl World {
    /// A group with these founders; the first three are everybody's seeds.
    pub fn new(hosts: &[Host]) -> Self {
        Self::with_founders(hosts, hosts, 0)
    }

    /// A group with these founders, which the other hosts join.
    pub fn with_founders(founders: &[Host], hosts: &[Host], seed: u64) -> Self {
        Self::with_heartbeats(founders, hosts, seed, topazmount_control::DEFAULT_HEARTBEAT_INTERVAL)
    }

    /// The same for replicas that send heartbeats at this interval.
    pub fn with_heartbeats(
        founders: &[Host],
        hosts: &[Host],
        seed: u64,
        heartbeat_interval: Duration,
    ) -> Self {
        let mut world = World {
            now: Time::from_secs(1),
            machines: BTreeMap::new(),
            transfers: VecDeque::new(),
            cuts: BTreeSet::new(),
            unnamed_fields: BTreeSet::new(),
            legacy_builds: BTreeSet::new(),
            unreadable_commands: Vec::new(),
            next_token: 0,
            seed: seed * 1_000_000,
            heartbeat_interval,
            do_clocks_stop: false,
            are_joins_refused: false,
            responses: BTreeMap::new(),
            trace_lines: VecDeque::new(),
        };
        let members = founders.iter().map(|host| info(*host)).collect();
        let founding = Founding { members, source: SourceFiles::default() };
        for host in hosts {
            world.set_seeds(*host, &founders[..founders.len().min(3)]);
            let founding = founders.contains(host).then_some(&founding);
            world.open(*host, founding);
        }
        world
    }

    /// Sets the seeds of a machine.
    pub fn set_seeds(&mut self, host: Host, seeds: &[Host]) {
        self.machines.entry(host).or_default().seeds = seeds.to_vec();
        let addresses = seeds.iter().map(|seed| address(*seed)).collect();
        self.step(host, vec![MemberInput::SeedsChanged(addresses)]);
    }

    fn open(&mut self, host: Host, founding: Option<&Founding>) {
        self.seed += 1;
        let seed = self.seed;
        let machine = self.machines.entry(host).or_default();
        let settings = MemberSettings {
            info: info(host),
            consensus: Config::default(),
            seed,
            rollout: Default::default(),
            heartbeat_interval: self.heartbeat_interval,
            seeds: machine.seeds.iter().map(|seed| address(*seed)).collect(),
        };
        let opened = Member::open(machine.disk.clone(), settings, founding, self.now);
        let member = match opened {
            Ok(member) => member,
            Err(error) => {
                assert!(machine.disk.inner().is_interrupted(), "{host} can't start: {error}");
                self.end(host, "ended in its start");
                return;
            }
        };
        assert_outlasts_power_loss(host, &machine.disk);
        machine.member = Some(member);
        machine.run += 1;
        machine.held_inputs = None;
        machine.suspended_at = None;
        machine.clock_lag = Duration::ZERO;
        machine.pending_requests.clear();
        self.log(host, "started".to_owned());
    }

    pub fn start(&mut self, host: Host) {
        self.open(host, None);
    }

    pub fn is_up(&self, host: Host) -> bool {
        self.machines.get(&host).is_some_and(|machine| machine.member.is_some())
    }

    pub fn hosts(&self) -> Vec<Host> {
        self.machines.keys().copied().collect()
    }

    /// Ends a process; its disk keeps what was written.
    pub fn kill(&mut self, host: Host) {
        if self.is_up(host) {
            self.end(host, "killed");
        }
    }

    /// Ends a process within its writes, after so many steps of its disk; a write that is cut adds its
    /// first `written` bytes. See [`topazmount_consensus::MemoryDisk::interrupt`].
    pub fn kill_in_write(&mut self, host: Host, steps: u32, written: usize) {
        if let Some(machine) = self.machines.get_mut(&host) {
            machine.disk.inner().interrupt(steps, written);
        }
    }

    /// Takes [`World::kill_in_write`] back where it has not happened yet.
    pub fn kill_none_in_write(&mut self) {
        self.machines.values().for_each(|machine| machine.disk.inner().end_process());
    }

    /// Stops a machine; its disk keeps synced data, and the first `torn` unsynced bytes of each file.
    /// `lost_names` chooses the names that are lost among those that were not synced.
    pub fn lose_power(&mut self, host: Host, torn: usize, lost_names: u64) {
        let Some(machine) = self.machines.get_mut(&host) else { return };
        machine.disk.inner().lose_power(torn, lost_names);
        self.end(host, "lost power");
    }

    fn end(&mut self, host: Host, how: &str) {
        let Some(machine) = self.machines.get_mut(&host) else { return };
        machine.disk.inner().end_process();
        machine.member = None;
        machine.held_inputs = None;
        self.log(host, how.to_owned());
    }

    /// The disk of a machine whose process has stopped.
    pub fn disk(&self, host: Host) -> SharedDisk {
        self.machines[&host].disk.copy()
    }

    /// Stops a process and empties its disk.
    pub fn wipe(&mut self, host: Host) {
        self.kill(host);
        self.machines.get_mut(&host).unwrap().disk = SharedDisk::default();
        self.log(host, "disk lost".to_owned());
    }

    /// Removes a machine.
    pub fn remove(&mut self, host: Host) {
        self.kill(host);
        self.machines.remove(&host);
    }

    /// Freezes a process.
    pub fn freeze(&mut self, host: Host) {
        self.machines.get_mut(&host).unwrap().held_inputs = Some(Vec::new());
        self.log(host, "frozen".to_owned());
    }

    pub fn is_frozen(&self, host: Host) -> bool {
        self.machines[&host].held_inputs.is_some()
    }

    pub fn thaw(&mut self, host: Host) {
        if let Some(held_inputs) =
            self.machines.get_mut(&host).and_then(|machine| machine.held_inputs.take())
        {
            self.log(host, "thawed".to_owned());
            self.step(host, held_inputs);
        }
    }

    /// Cuts the network between two machines.
    pub fn cut(&mut self, left: Host, right: Host) {
        self.cuts.insert((left, right));
        self.cuts.insert((right, left));
    }

    pub fn heal(&mut self) {
        self.cuts.clear();
    }

    /// Drops all further join requests to the leader.
    pub fn refuse_joins(&mut self) {
        self.are_joins_refused = true;
    }

    pub fn run(&mut self, time: Duration) {
        let until = self.now + time;
        while self.now < until {
            self.tick();
        }
    }

    fn tick(&mut self) {
        self.now = self.now + TICK;
        while self.transfers.front().is_some_and(|transfer| transfer.at <= self.now) {
            let Some(transfer) = self.transfers.pop_front() else { break };
            let is_cut = self.cuts.contains(&(transfer.from, transfer.to));
            let run = self.machines.get(&transfer.to).map(|machine| machine.run);
            if !is_cut && run == Some(transfer.run) {
                self.step(transfer.to, vec![transfer.input]);
            }
        }
        for host in self.hosts() {
            self.step(host, vec![MemberInput::Tick]);
        }
    }

    fn step(&mut self, host: Host, inputs: Vec<MemberInput>) {
        let clock = self.clock_of(host);
        let Some(machine) = self.machines.get_mut(&host) else { return };
        if let Some(held_inputs) = &mut machine.held_inputs {
            held_inputs
                .extend(inputs.into_iter().filter(|input| !matches!(input, MemberInput::Tick)));
            return;
        }
        let Some(member) = &mut machine.member else { return };
        match member.step(clock, inputs) {
            Ok(outputs) => outputs.into_iter().for_each(|output| self.perform(host, output)),
            Err(error) => {
                assert!(machine.disk.inner().is_interrupted(), "{host} stopped: {error}");
                self.end(host, "ended in a write");
            }
        }
    }

    /// Encodes and decodes a value as the machine's build does.
    fn encode_and_decode<T: Serialize + DeserializeOwned>(&self, host: Host, value: T) -> T {
        let bytes = match self.unnamed_fields.contains(&host) {
            true => rmp_serde::to_vec(&value),
            false => rmp_serde::to_vec_named(&value),
        };
        rmp_serde::from_slice(&bytes.unwrap()).unwrap()
    }

    fn perform(&mut self, host: Host, output: MemberOutput) {
        match output {
            MemberOutput::Send(to, envelope) => {
                let mut envelope = self.encode_and_decode(host, envelope);
                if self.legacy_builds.contains(&host) {
                    remove_reply_marks(&mut envelope);
                }
                if self.legacy_builds.contains(&host_of(&to)) {
                    self.unreadable_commands.extend(legacy_build::unreadable_commands(&envelope));
                }
                self.send(host, host_of(&to), MemberInput::Peer(address(host), envelope));
            }
            MemberOutput::RequestJoin(to, request) => {
                let request = self.encode_and_decode(host, request);
                self.send_join_request(host, host_of(&to), request);
            }
            MemberOutput::Respond(token, response) => {
                let response = self.encode_and_decode(host, response);
                let requester =
                    self.machines.get_mut(&host).and_then(|m| m.pending_requests.remove(&token));
                match requester {
                    Some(requester) => {
                        let input = MemberInput::JoinResponse(address(host), Some(response));
                        self.send(host, requester, input);
                    }
                    None => drop(self.responses.insert(token, response)),
                }
            }
            MemberOutput::Notify(to, request) => {
                let token = self.token();
                let request = self.encode_and_decode(host, request);
                self.send(host, host_of(&to), MemberInput::Request(token, request));
            }
            MemberOutput::Perform(_)
            | MemberOutput::Weights(_)
            | MemberOutput::Rollout(_)
            | MemberOutput::Block(_) => {}
            MemberOutput::Membership(event) => {
                let is_frequent = matches!(event, MembershipEvent::JoinResponse { .. });
                if !is_frequent {
                    self.log(host, event.to_string());
                }
            }
        }
    }

    fn token(&mut self) -> Token {
        self.next_token += 1;
        Token(self.next_token)
    }

    fn send_join_request(&mut self, from: Host, to: Host, request: Request) {
        let is_cut = self.cuts.contains(&(from, to))
            || self.are_joins_refused && {
                // The leader would add the process.
                self.leader() == Some(to)
            };
        if !self.is_up(to) || is_cut {
            let no_response = MemberInput::JoinResponse(address(to), None);
            let run = self.machines[&from].run;
            let at = self.now + REQUEST_TIMEOUT;
            self.deliver(Transfer { at, from, to: from, run, input: no_response });
            return;
        }
        let token = self.token();
        let machine = self.machines.get_mut(&to).unwrap();
        machine.pending_requests.insert(token, from);
        self.send(from, to, MemberInput::Request(token, request));
    }

    fn send(&mut self, from: Host, to: Host, input: MemberInput) {
        let Some(machine) = self.machines.get(&to) else { return };
        if machine.member.is_some() {
            let (at, run) = (self.now + MESSAGE_DELAY, machine.run);
            self.deliver(Transfer { at, from, to, run, input });
        }
    }

    fn deliver(&mut self, transfer: Transfer) {
        let place = self.transfers.partition_point(|other| other.at <= transfer.at);
        self.transfers.insert(place, transfer);
    }

    /// Sends an operator's request; [`World::take_response`] returns the response.
    pub fn request(&mut self, host: Host, request: Request) -> Option<Token> {
        if !self.is_up(host) || self.is_frozen(host) {
            return None;
        }
        let token = self.token();
        self.step(host, vec![MemberInput::Request(token, request)]);
        Some(token)
    }

    pub fn take_response(&mut self, token: Token) -> Option<Response> {
        self.responses.remove(&token)
    }

    pub fn member(&self, host: Host) -> Option<&Member<SharedDisk>> {
        self.machines.get(&host)?.member.as_ref()
    }

    /// The member that leads with a lease.
    pub fn leader(&self) -> Option<Host> {
        self.leaders().first().copied()
    }

    /// Whether the machine's member is a voter, as known by the leader and by itself.
    pub fn is_voter(&self, host: Host) -> bool {
        let Some(leader) = self.leader().and_then(|leader| self.member(leader)) else {
            return false;
        };
        let Some(member) = self.member(host) else { return false };
        let id = member.identity().0;
        let standing = |member: &Member<SharedDisk>| member.replica().membership().status(id);
        standing(leader) == MembershipStatus::Voter && standing(member) == MembershipStatus::Voter
    }

    /// Number of voters.
    pub fn voters(&self) -> usize {
        let leader = self.leader().and_then(|leader| self.member(leader));
        leader.map_or(0, |member| member.replica().membership().voters.len())
    }

    /// Number of learners.
    pub fn learners(&self) -> usize {
        let leader = self.leader().and_then(|leader| self.member(leader));
        leader.map_or(0, |member| member.replica().membership().learners.len())
    }

    /// Runs until a condition holds.
    pub fn run_until(&mut self, what: &str, limit: Duration, holds: impl Fn(&World) -> bool) {
        let end = self.now + limit;
        while !holds(self) {
            assert!(self.now < end, "not within {limit:?}: {what}; {}", self.trace());
            self.tick();
        }
    }

    /// The leader that a member reports to callers.
    pub fn reported_leader(&mut self, host: Host) -> Option<Host> {
        let token = self.request(host, Request::Source)?;
        match self.take_response(token) {
            Some(Response::NotLeader(Some(leader))) => Some(host_of(&leader.address)),
            _ => None,
        }
    }

    fn log(&mut self, host: Host, what: String) {
        self.trace_lines.push_back(format!("{} {host}: {what}", self.now));
        if self.trace_lines.len() > MAX_TRACE_LINES {
            self.trace_lines.pop_front();
        }
    }

    /// Recent events and the current state of all members.
    pub fn trace(&self) -> String {
        let lines: Vec<&str> = self.trace_lines.iter().map(String::as_str).collect();
        let mut states = Vec::new();
        for (host, machine) in &self.machines {
            let Some(member) = &machine.member else {
                states.push(format!("{host} is down"));
                continue;
            };
            let replica = member.replica();
            states.push(format!(
                "{host} is {} {:?} in term {} with {}, log to {}, committed {}",
                replica.id(),
                replica.role(),
                replica.term(),
                MembershipEvent::Changed {
                    membership: replica.membership().clone(),
                    standing: replica.membership().status(replica.id()),
                },
                replica.last_index(),
                replica.commit()
            ));
        }
        format!("recent events:\n{}\nstate:\n{}", lines.join("\n"), states.join("\n"))
    }
}
