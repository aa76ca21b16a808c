//! A control group in memory: members over disks that last, messages that take time, on a virtual
//! clock.
#![allow(dead_code)]

pub mod first_build;
mod suspension;

use serde::{Serialize, de::DeserializeOwned};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;
use topazmount_consensus::{Config, Envelope, MemberInfo, MembershipStatus, MemoryDisk, Message};
use topazmount_control::{
    Founding, InstanceReport, LoadedModel, Member, MemberInput, MemberOutput, MemberSettings,
    MembershipEvent, Request, Response, Token,
};
use topazmount_settings::SourceFiles;
use topazmount_types::{Instance, Start, Time};

/// Gives each case a name, which is its test's.
#[macro_export]
macro_rules! cases {
    ($($(#[doc = $doc:literal])* $name:ident => $body:block)*) => {
        $($(#[doc = $doc])* #[test] fn $name() $body)*
    };
}

/// A machine, by the last number of its address.
pub type Host = u8;

/// Time between two looks at the clock.
const TICK: Duration = Duration::from_millis(10);
/// Time of a message.
const TRAVEL: Duration = Duration::from_millis(10);
/// Time after which a request to nobody is given up.
const GIVE_UP: Duration = Duration::from_millis(1_100);
/// Lines that [`World::told`] shows.
const TOLD: usize = 60;

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

/// The first builds neither mark their replies nor return marks.
fn leave_out_marks(envelope: &mut Envelope) {
    match &mut envelope.message {
        Message::AppendReply { timestamp, .. } => *timestamp = Default::default(),
        Message::Append { echoed, .. } => *echoed = None,
        _ => {}
    }
}

/// What the one replica of a play, on version 1 of its weights, says of itself.
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
    };
    let models = vec![LoadedModel { model: "model".to_owned(), version: 1 }];
    InstanceReport { instance, models, sequence: count }
}

#[derive(Default)]
struct Machine {
    member: Option<Member<MemoryDisk>>,
    disk: MemoryDisk,
    seeds: Vec<Host>,
    /// Times that its process was started; what was sent to an earlier one is lost.
    run: u64,
    /// Inputs that wait while it is frozen.
    held: Option<Vec<MemberInput>>,
    /// Since when it is suspended.
    suspended_at: Option<Time>,
    /// How far its clock is behind.
    behind: Duration,
    /// Who asked what it has not answered yet.
    asked: BTreeMap<Token, Host>,
}

struct Transfer {
    at: Time,
    from: Host,
    to: Host,
    run: u64,
    input: MemberInput,
}

/// The machines, the messages between them, and what is cut.
pub struct World {
    pub now: Time,
    machines: BTreeMap<Host, Machine>,
    transfers: VecDeque<Transfer>,
    cuts: BTreeSet<(Host, Host)>,
    next_token: u64,
    seed: u64,
    /// Machines whose messages go out without the names of fields, as those of older versions do.
    pub nameless: BTreeSet<Host>,
    /// Machines that run one of the first builds: they do not mark their replies, and can't apply newer kinds of commands.
    pub first_builds: BTreeSet<Host>,
    /// Commands that such a machine was sent and can't read.
    pub unreadable: Vec<String>,
    /// Whether the clocks of machines stand still while these are suspended.
    pub do_clocks_stop: bool,
    /// Requests to join are lost.
    are_changes_frozen: bool,
    /// Answers to requests of the operator.
    answers: BTreeMap<Token, Response>,
    told: VecDeque<String>,
}

impl World {
    /// A group that these machines found; the first three are everybody's seeds.
    pub fn found(hosts: &[Host]) -> Self {
        Self::found_with(hosts, hosts, 0)
    }

    /// A group that the first machines found and the others join.
    pub fn found_with(founders: &[Host], hosts: &[Host], seed: u64) -> Self {
        let mut world = World {
            now: Time::from_secs(1),
            machines: BTreeMap::new(),
            transfers: VecDeque::new(),
            cuts: BTreeSet::new(),
            nameless: BTreeSet::new(),
            first_builds: BTreeSet::new(),
            unreadable: Vec::new(),
            next_token: 0,
            seed: seed * 1_000_000,
            do_clocks_stop: false,
            are_changes_frozen: false,
            answers: BTreeMap::new(),
            told: VecDeque::new(),
        };
        let members = founders.iter().map(|host| info(*host)).collect();
        let founding = Founding { members, source: SourceFiles::default() };
        for host in hosts {
            world.name_seeds(*host, &founders[..founders.len().min(3)]);
            let founding = founders.contains(host).then_some(&founding);
            world.open(*host, founding);
        }
        world
    }

    /// What the settings of a machine name as seeds.
    pub fn name_seeds(&mut self, host: Host, seeds: &[Host]) {
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
            seeds: machine.seeds.iter().map(|seed| address(*seed)).collect(),
        };
        let disk = std::mem::take(&mut machine.disk);
        let member = Member::open(disk, settings, founding, self.now).unwrap();
        machine.member = Some(member);
        machine.run += 1;
        machine.held = None;
        machine.suspended_at = None;
        machine.behind = Duration::ZERO;
        machine.asked.clear();
        self.tell(host, "starts".to_owned());
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

    /// Ends a process; its disk keeps what was synced.
    pub fn kill(&mut self, host: Host) {
        let Some(machine) = self.machines.get_mut(&host) else { return };
        if let Some(member) = machine.member.take() {
            machine.disk = member.disk().clone();
            machine.disk.crash(0);
            machine.held = None;
            self.tell(host, "ends".to_owned());
        }
    }

    /// The disk of a machine whose process has ended.
    pub fn disk(&self, host: Host) -> MemoryDisk {
        self.machines[&host].disk.clone()
    }

    /// Ends a process and empties its disk.
    pub fn wipe(&mut self, host: Host) {
        self.kill(host);
        self.machines.get_mut(&host).unwrap().disk = MemoryDisk::default();
        self.tell(host, "disk lost".to_owned());
    }

    /// Takes a machine away for good.
    pub fn remove(&mut self, host: Host) {
        self.kill(host);
        self.machines.remove(&host);
    }

    /// Lets a process stand still.
    pub fn freeze(&mut self, host: Host) {
        self.machines.get_mut(&host).unwrap().held = Some(Vec::new());
        self.tell(host, "freezes".to_owned());
    }

    pub fn is_frozen(&self, host: Host) -> bool {
        self.machines[&host].held.is_some()
    }

    pub fn thaw(&mut self, host: Host) {
        if let Some(held) = self.machines.get_mut(&host).and_then(|machine| machine.held.take()) {
            self.tell(host, "thaws".to_owned());
            self.step(host, held);
        }
    }

    /// Cuts two machines off from each other.
    pub fn cut(&mut self, left: Host, right: Host) {
        self.cuts.insert((left, right));
        self.cuts.insert((right, left));
    }

    pub fn heal(&mut self) {
        self.cuts.clear();
    }

    /// From now on nobody is taken in.
    pub fn freeze_changes(&mut self) {
        self.are_changes_frozen = true;
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
        if let Some(held) = &mut machine.held {
            held.extend(inputs.into_iter().filter(|input| !matches!(input, MemberInput::Tick)));
            return;
        }
        let Some(member) = &mut machine.member else { return };
        for output in member.step(clock, inputs).unwrap() {
            self.perform(host, output);
        }
    }

    /// What arrives of what a machine sends.
    fn sent<T: Serialize + DeserializeOwned>(&self, host: Host, value: T) -> T {
        let bytes = match self.nameless.contains(&host) {
            true => rmp_serde::to_vec(&value),
            false => rmp_serde::to_vec_named(&value),
        };
        rmp_serde::from_slice(&bytes.unwrap()).unwrap()
    }

    fn perform(&mut self, host: Host, output: MemberOutput) {
        match output {
            MemberOutput::Send(to, envelope) => {
                let mut envelope = self.sent(host, envelope);
                if self.first_builds.contains(&host) {
                    leave_out_marks(&mut envelope);
                }
                if self.first_builds.contains(&host_of(&to)) {
                    self.unreadable.extend(first_build::unreadable_commands(&envelope));
                }
                self.send(host, host_of(&to), MemberInput::Peer(address(host), envelope));
            }
            MemberOutput::RequestJoin(to, request) => {
                let request = self.sent(host, request);
                self.ask_member(host, host_of(&to), request);
            }
            MemberOutput::Respond(token, response) => {
                let response = self.sent(host, response);
                let asker = self.machines.get_mut(&host).and_then(|m| m.asked.remove(&token));
                match asker {
                    Some(asker) => {
                        let answer = MemberInput::JoinResponse(address(host), Some(response));
                        self.send(host, asker, answer);
                    }
                    None => drop(self.answers.insert(token, response)),
                }
            }
            MemberOutput::Notify(to, request) => {
                let token = self.token();
                let request = self.sent(host, request);
                self.send(host, host_of(&to), MemberInput::Request(token, request));
            }
            MemberOutput::Perform(_) | MemberOutput::Weights(_) | MemberOutput::Rollout(_) => {}
            MemberOutput::Membership(event) => {
                let is_chatter = matches!(event, MembershipEvent::JoinResponse { .. });
                if !is_chatter {
                    self.tell(host, event.to_string());
                }
            }
        }
    }

    fn token(&mut self) -> Token {
        self.next_token += 1;
        Token(self.next_token)
    }

    fn ask_member(&mut self, from: Host, to: Host, request: Request) {
        let is_cut = self.cuts.contains(&(from, to))
            || self.are_changes_frozen && {
                // The leader would take the process in.
                self.leader() == Some(to)
            };
        if !self.is_up(to) || is_cut {
            let nobody = MemberInput::JoinResponse(address(to), None);
            let run = self.machines[&from].run;
            let at = self.now + GIVE_UP;
            self.deliver(Transfer { at, from, to: from, run, input: nobody });
            return;
        }
        let token = self.token();
        let machine = self.machines.get_mut(&to).unwrap();
        machine.asked.insert(token, from);
        self.send(from, to, MemberInput::Request(token, request));
    }

    fn send(&mut self, from: Host, to: Host, input: MemberInput) {
        let Some(machine) = self.machines.get(&to) else { return };
        if machine.member.is_some() {
            let (at, run) = (self.now + TRAVEL, machine.run);
            self.deliver(Transfer { at, from, to, run, input });
        }
    }

    fn deliver(&mut self, transfer: Transfer) {
        let place = self.transfers.partition_point(|other| other.at <= transfer.at);
        self.transfers.insert(place, transfer);
    }

    /// Sends a request of the operator; [`World::answer`] gives the answer.
    pub fn ask(&mut self, host: Host, request: Request) -> Option<Token> {
        if !self.is_up(host) || self.is_frozen(host) {
            return None;
        }
        let token = self.token();
        self.step(host, vec![MemberInput::Request(token, request)]);
        Some(token)
    }

    pub fn answer(&mut self, token: Token) -> Option<Response> {
        self.answers.remove(&token)
    }

    pub fn member(&self, host: Host) -> Option<&Member<MemoryDisk>> {
        self.machines.get(&host)?.member.as_ref()
    }

    /// The member that leads with a lease.
    pub fn leader(&self) -> Option<Host> {
        self.holders().first().copied()
    }

    /// Whether the group counts this machine's member, and it knows.
    pub fn is_voter(&self, host: Host) -> bool {
        let Some(leader) = self.leader().and_then(|leader| self.member(leader)) else {
            return false;
        };
        let Some(member) = self.member(host) else { return false };
        let id = member.identity().0;
        let standing = |member: &Member<MemoryDisk>| member.replica().membership().status(id);
        standing(leader) == MembershipStatus::Voter && standing(member) == MembershipStatus::Voter
    }

    /// Voters that the group counts.
    pub fn voters(&self) -> usize {
        let leader = self.leader().and_then(|leader| self.member(leader));
        leader.map_or(0, |member| member.replica().membership().voters.len())
    }

    /// Learners that the group counts.
    pub fn learners(&self) -> usize {
        let leader = self.leader().and_then(|leader| self.member(leader));
        leader.map_or(0, |member| member.replica().membership().learners.len())
    }

    /// Runs until something holds.
    pub fn until(&mut self, what: &str, limit: Duration, holds: impl Fn(&World) -> bool) {
        let end = self.now + limit;
        while !holds(self) {
            assert!(self.now < end, "not within {limit:?}: {what}; {}", self.told());
            self.tick();
        }
    }

    /// The leader that a member names to callers.
    pub fn named_leader(&mut self, host: Host) -> Option<Host> {
        let token = self.ask(host, Request::Source)?;
        match self.answer(token) {
            Some(Response::NotLeader(Some(leader))) => Some(host_of(&leader.address)),
            _ => None,
        }
    }

    fn tell(&mut self, host: Host, what: String) {
        self.told.push_back(format!("{} {host}: {what}", self.now));
        if self.told.len() > TOLD {
            self.told.pop_front();
        }
    }

    /// What members said lately of who takes part.
    pub fn told(&self) -> String {
        let lines: Vec<&str> = self.told.iter().map(String::as_str).collect();
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
        format!("lately:\n{}\nnow:\n{}", lines.join("\n"), states.join("\n"))
    }
}
