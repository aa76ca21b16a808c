//! Control members: the product's member over a simulated disk.

use crate::sim::checks::Invariant;
use crate::sim::network::Transfer;
use crate::sim::packet::{Packet, Place};
use crate::sim::plant::Plant;
use crate::sim::world::{Event, World};
use rand::Rng;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;
use topazmount_consensus::{Config, MemberInfo, MemoryDisk, Wal};
use topazmount_control::{Founding, Member, MemberInput, MemberOutput, MemberSettings, Token};
use topazmount_node::NodeInput;
use topazmount_types::Time;

/// Time of one sync.
const SYNC_TIME: Duration = Duration::from_micros(800);
/// Shortest pause between two looks at a member's timer.
const MIN_TICK: Duration = Duration::from_millis(1);
/// Unsynced bytes that a crash may leave behind.
const MAX_TORN: usize = 200;

/// Steps of a disk after which a process ends in a write: before the write, before its sync, after it.
const MAX_STEPS: u32 = 3;
/// Pause before a process that ended in a write starts again.
const RESTART_DELAY: Duration = Duration::from_millis(500);

/// Synced bytes that a planted violation loses.
const LOST_BYTES: usize = 20_000;

/// A member.
pub struct SimMember {
    member: Option<Member<MemoryDisk>>,
    /// The disk while the member is down.
    disk: MemoryDisk,
    timer_at: Time,
    waiting: HashMap<Token, Transfer>,
    next_token: u64,
}

impl SimMember {
    /// The member, while it is up.
    pub fn member(&self) -> Option<&Member<MemoryDisk>> {
        self.member.as_ref()
    }
}

fn info(number: usize) -> MemberInfo {
    MemberInfo { name: format!("control-{}", number + 1), address: address(number).to_string() }
}

fn address(number: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, number as u8 + 1], 7_000))
}

/// Whether a loss of power leaves what a start of a member reads from this disk.
fn outlasts_power_loss(disk: &MemoryDisk) -> bool {
    let state = |disk: MemoryDisk| {
        let (_, recovered) = Wal::open(disk).ok()?;
        let log = recovered.log;
        let entries = log.range(log.first_index(), log.last_index());
        Some((recovered.hard_state, recovered.snapshot, entries))
    };
    let mut after = disk.clone();
    after.lose_power(0, u64::MAX);
    let before = state(disk.clone());
    before.is_some() && before == state(after)
}

fn member_at(text: &str, members: usize) -> Option<usize> {
    (0..members).find(|number| address(*number).to_string() == text)
}

impl World {
    pub(crate) fn build_members(&mut self, zones: usize) {
        for number in 0..self.settings.members {
            self.network.place(Place::Member(number), number % zones);
            self.members.push(SimMember {
                member: None,
                disk: MemoryDisk::default(),
                timer_at: Time::NEVER,
                waiting: HashMap::new(),
                next_token: 0,
            });
        }
        let members = (0..self.settings.members).map(info).collect();
        let founding = Founding { members, source: self.settings.source.clone() };
        for number in 0..self.settings.members {
            self.open_member(number, Some(&founding));
        }
    }

    pub(crate) fn member_addresses(&self) -> Vec<SocketAddr> {
        (0..self.settings.members).map(address).collect()
    }

    /// Starts a member from its disk; one with an empty disk asks to join.
    pub(crate) fn start_member(&mut self, number: usize) {
        self.open_member(number, None);
    }

    fn open_member(&mut self, number: usize, founding: Option<&Founding>) {
        if self.processes.run(Place::Member(number)).is_some() {
            return;
        }
        let settings = MemberSettings {
            info: info(number),
            consensus: Config::default(),
            seed: self.rng.random(),
            rollout: Default::default(),
            heartbeat_interval: topazmount_control::DEFAULT_HEARTBEAT_INTERVAL,
            seeds: self.member_addresses().iter().map(SocketAddr::to_string).collect(),
        };
        let disk = std::mem::take(&mut self.members[number].disk);
        let member = match Member::open(disk, settings, founding, self.now) {
            Ok(member) => member,
            Err(error) => {
                let detail = format!("member {number} can't start: {error}");
                self.checks.violated(self.now, Invariant::Durability, detail);
                return;
            }
        };
        if !outlasts_power_loss(member.disk()) {
            let detail = format!("member {number} started from what a loss of power takes away");
            self.checks.violated(self.now, Invariant::Durability, detail);
        }
        let run = self.processes.start(Place::Member(number));
        self.trace(|| format!("member {number} starts as {}", member.identity().0));
        let simulated = &mut self.members[number];
        simulated.member = Some(member);
        simulated.waiting.clear();
        simulated.timer_at = self.now;
        self.schedule.push(self.now, Event::MemberTimer(number, run));
    }

    /// Ends a member; `loses_disk` when its machine does not come back.
    pub(crate) fn stop_member(&mut self, number: usize, loses_disk: bool) {
        let place = Place::Member(number);
        if self.processes.run(place).is_none() {
            return;
        }
        self.trace(|| format!("member {number} ends"));
        let torn = self.rng.random_range(0..MAX_TORN);
        let has_power = self.disk_rng.random_bool(0.5);
        let lost_names = self.disk_rng.random();
        let simulated = &mut self.members[number];
        let Some(member) = simulated.member.take() else { return };
        simulated.disk = member.disk().clone();
        match has_power {
            true => simulated.disk.end_process(),
            false => simulated.disk.lose_power(torn, lost_names),
        }
        if loses_disk {
            simulated.disk = MemoryDisk::default();
        } else if self.settings.plant == Some(Plant::LostSyncs) {
            simulated.disk.lose_synced(LOST_BYTES);
        }
        self.end_process(place, false);
    }

    /// Ends a member's process within one of its next writes.
    pub(crate) fn stop_member_in_write(&mut self, number: usize) {
        let steps = self.disk_rng.random_range(0..MAX_STEPS);
        let written = self.disk_rng.random_range(0..MAX_TORN);
        if let Some(member) = &mut self.members[number].member {
            member.disk_mut().interrupt(steps, written);
        }
    }

    /// Takes [`World::stop_member_in_write`] back where it has not happened yet.
    pub(crate) fn keep_member(&mut self, number: usize) {
        if let Some(member) = &mut self.members[number].member {
            member.disk_mut().end_process();
        }
    }

    fn end_member_in_write(&mut self, number: usize) {
        let simulated = &mut self.members[number];
        let Some(member) = simulated.member.take() else { return };
        simulated.disk = member.disk().clone();
        simulated.disk.end_process();
        self.trace(|| format!("member {number} ends in a write"));
        self.end_process(Place::Member(number), false);
        self.start_later(RESTART_DELAY, Place::Member(number));
    }

    /// The member that leads with a valid lease.
    pub(crate) fn leader(&self) -> Option<usize> {
        (0..self.members.len()).find(|number| self.holds_lease(*number))
    }

    fn holds_lease(&self, number: usize) -> bool {
        let member = self.members[number].member();
        self.processes.is_running(Place::Member(number))
            && member.is_some_and(|member| member.replica().has_lease(self.now))
    }

    pub(crate) fn on_member_timer(&mut self, number: usize, run: u64) {
        let place = Place::Member(number);
        if self.processes.run(place) != Some(run) {
            return;
        }
        if self.processes.is_frozen(place) {
            self.processes.hold(place, Event::MemberTimer(number, run));
            return;
        }
        if self.now >= self.members[number].timer_at {
            self.members[number].timer_at = Time::NEVER;
            self.step_member(number, MemberInput::Tick);
        }
    }

    pub(crate) fn member_receives(&mut self, number: usize, transfer: Transfer) {
        let input = match &transfer.packet {
            Packet::Peer(address, envelope) => {
                MemberInput::Peer(address.clone(), (**envelope).clone())
            }
            Packet::Control(_, request) => {
                let request = (**request).clone();
                let simulated = &mut self.members[number];
                simulated.next_token += 1;
                let token = Token(simulated.next_token);
                simulated.waiting.insert(token, transfer);
                MemberInput::Request(token, request)
            }
            Packet::Reply(_, response) => {
                let Place::Member(from) = transfer.from else { return };
                MemberInput::JoinResponse(address(from).to_string(), Some((**response).clone()))
            }
            _ => return,
        };
        self.step_member(number, input);
    }

    fn step_member(&mut self, number: usize, input: MemberInput) {
        let now = self.now;
        let simulated = &mut self.members[number];
        let Some(member) = &mut simulated.member else { return };
        let syncs = member.disk().syncs;
        let outputs = match member.step(now, [input]) {
            Ok(outputs) => outputs,
            Err(_) if member.disk().is_interrupted() => return self.end_member_in_write(number),
            Err(error) => {
                let detail = format!("member {number} stopped: {error}");
                self.checks.violated(now, Invariant::Durability, detail);
                return;
            }
        };
        let delay = SYNC_TIME * (member.disk().syncs - syncs) as u32;
        let wakeup = member.next_wakeup().max(now + MIN_TICK);
        if wakeup < simulated.timer_at {
            simulated.timer_at = wakeup;
            let run = self.processes.run(Place::Member(number)).unwrap_or_default();
            self.schedule.push(wakeup, Event::MemberTimer(number, run));
        }
        for output in outputs {
            self.member_output(number, output, delay);
        }
        self.check_leaders();
    }

    fn member_output(&mut self, number: usize, output: MemberOutput, delay: Duration) {
        let place = Place::Member(number);
        match output {
            MemberOutput::Send(to, envelope) => {
                let Some(target) = member_at(&to, self.members.len()) else { return };
                self.totals.control_messages += 1;
                let packet = Packet::Peer(address(number).to_string(), Box::new(envelope));
                self.send_later(delay, place, Place::Member(target), None, packet);
            }
            MemberOutput::Perform(_) | MemberOutput::Notify(..) => {}
            MemberOutput::RequestJoin(to, request) => {
                let Some(target) = member_at(&to, self.members.len()) else { return };
                self.totals.control_messages += 1;
                let packet = Packet::Control(0, Box::new(request));
                self.send_later(delay, place, Place::Member(target), None, packet);
            }
            MemberOutput::Membership(event) => self.trace(|| format!("member {number}: {event}")),
            MemberOutput::Weights(event) => self.trace(|| format!("member {number}: {event}")),
            MemberOutput::Rollout(event) => self.trace(|| format!("member {number}: {event}")),
            MemberOutput::Block(event) => self.trace(|| format!("member {number}: {event}")),
            MemberOutput::Respond(token, response) => {
                let Some(asked) = self.members[number].waiting.remove(&token) else { return };
                let Packet::Control(request, _) = asked.packet else { return };
                self.totals.control_messages += 1;
                let packet = match asked.from {
                    Place::Node(_) => {
                        Packet::Input(Box::new(NodeInput::Control(request, Ok(response))))
                    }
                    Place::Operator | Place::Member(_) => {
                        Packet::Reply(request, Box::new(response))
                    }
                    _ => return,
                };
                self.send_later(delay, place, asked.from, Some(asked.from_run), packet);
            }
        }
    }

    /// Whether a node can reach a member that a majority of members can reach in turn. Nothing can
    /// spread to others.
    pub(crate) fn is_served(&self, node: usize) -> bool {
        let count = self.members.len();
        let is_linked = |left: Place, right: Place| {
            !self.network.is_cut(left, right) && !self.network.is_cut(right, left)
        };
        let is_running = |member: usize| self.processes.is_running(Place::Member(member));
        let reaches_majority = |member: usize| {
            let reached = (0..count).filter(|other| {
                let is_self = *other == member;
                is_running(*other)
                    && (is_self || is_linked(Place::Member(member), Place::Member(*other)))
            });
            reached.count() > count / 2
        };
        (0..count).any(|member| {
            is_running(member)
                && is_linked(Place::Node(node), Place::Member(member))
                && reaches_majority(member)
        })
    }

    fn check_leaders(&mut self) {
        let mut holders: Vec<usize> =
            (0..self.members.len()).filter(|number| self.holds_lease(*number)).collect();
        if self.is_planted(Plant::DoubledLease) && !holders.is_empty() {
            holders.push(holders[0]);
        }
        if holders.len() > 1 {
            let detail = format!("members {holders:?} hold the lease at once");
            self.checks.violated(self.now, Invariant::OneLeader, detail);
        }
    }
}
