//! Faults: what strikes, whom, and how it ends.

use crate::sim::packet::Place;
use crate::sim::plant::Plant;
use crate::sim::world::{Event, World};
use rand::Rng;
use std::collections::HashMap;
use std::time::Duration;
use topazmount_consensus::Role;
use topazmount_node::NodeInput;
use topazmount_routing::ReplicaStatus;
use topazmount_types::Time;

/// Pause between two looks at whether a repair is complete.
const REPAIR_POLL: Duration = Duration::from_millis(200);
/// Share of members' crashes that end a process within one of its writes.
const KILLS_IN_WRITES: f64 = 0.3;

macro_rules! fault_kinds {
    ($($(#[$meta:meta])* $kind:ident => $name:literal,)*) => {
        /// What may go wrong.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub enum FaultKind { $($(#[$meta])* $kind,)* }

        impl FaultKind {
            /// All of them.
            pub const ALL: &'static [FaultKind] = &[$(FaultKind::$kind),*];

            /// Name in scenarios.
            pub fn as_str(self) -> &'static str {
                match self { $(FaultKind::$kind => $name,)* }
            }
        }
    };
}

fault_kinds! {
    /// A node is killed and starts again.
    NodeCrash => "node-crash",
    /// All nodes are killed and start again at once.
    NodeHerd => "node-herd",
    /// A node is kept from running for a while.
    NodeFreeze => "node-freeze",
    /// A node is stopped as planned and started again.
    NodeDrain => "node-drain",
    /// An engine is killed and comes back empty.
    EngineCrash => "engine-crash",
    /// An engine's machine is gone without a trace, and comes back empty.
    EngineVanish => "engine-vanish",
    /// An engine is kept from running for a while.
    EngineFreeze => "engine-freeze",
    /// An engine leaves, and a new run of it comes back.
    EngineLeave => "engine-leave",
    /// The list of machines is not renewed while an engine leaves.
    StaleList => "stale-list",
    /// An application replica is killed and starts again.
    ApplicationCrash => "application-crash",
    /// An application replica is kept from running for a while.
    ApplicationFreeze => "application-freeze",
    /// A control member is killed, with writes torn, and starts again.
    MemberCrash => "member-crash",
    /// The leader is killed, with writes torn, and starts again.
    LeaderCrash => "leader-crash",
    /// The leader is kept from running for a while.
    LeaderFreeze => "leader-freeze",
    /// The leader is cut off from the other members, but not from nodes.
    LeaderCut => "leader-cut",
    /// A member that does not lead is cut off from the other members, but not from nodes.
    FollowerCut => "follower-cut",
    /// All members are killed and start again.
    MemberHerd => "member-herd",
    /// A member's disk is lost; a new one takes its place.
    LostDisk => "lost-disk",
    /// A member's disk is lost, and another's right after the repair.
    SecondLoss => "second-loss",
    /// Messages from an engine to one node are lost, not those the other way.
    OneWayCut => "one-way-cut",
    /// A zone is cut off from the others.
    ZoneCut => "zone-cut",
    /// A node is cut off from all control members.
    ControlCut => "control-cut",
    /// Two operators change the configuration at once.
    OperatorRace => "operator-race",
}

impl FaultKind {
    /// Whether it may last long: a control machine can be cut off in silence for a long time.
    pub fn may_last(self) -> bool {
        matches!(
            self,
            FaultKind::LeaderFreeze
                | FaultKind::LeaderCut
                | FaultKind::FollowerCut
                | FaultKind::ControlCut
        )
    }
}

/// A fault to come.
#[derive(Clone, Copy, Debug)]
pub struct Fault {
    /// When it strikes.
    pub at: Time,
    /// What it is.
    pub kind: FaultKind,
    /// How long it lasts.
    pub lasts: Duration,
}

/// A later step of a fault.
#[derive(Clone, Copy, Debug)]
pub enum Later {
    /// Starts a process again.
    Start(Place),
    /// Loses a member's disk once the group is whole; with a second loss to follow.
    LoseDisk {
        /// Member that must not be the one, because it lost its disk before.
        not: Option<usize>,
        /// Whether another is lost after this one is repaired.
        has_second: bool,
    },
    /// Follows the platform's list again.
    FreshList,
    /// Ends a node's run after a planned stop.
    StopNode(usize, u64),
    /// Takes an engine down after it left, and brings it back.
    Replace(usize),
}

/// What faults under way have done and must undo.
#[derive(Default)]
pub struct ActiveFaults {
    cuts: HashMap<usize, Vec<(Place, Place)>>,
    frozen: HashMap<usize, Place>,
}

impl World {
    fn any(&mut self, count: usize) -> usize {
        self.rng.random_range(0..count.max(1))
    }

    pub(crate) fn start_fault(&mut self, number: usize) {
        let Fault { kind, lasts, .. } = self.settings.faults[number];
        self.totals.faults += 1;
        self.trace(|| format!("fault {} strikes for {lasts:?}", kind.as_str()));
        self.schedule.push(self.now + lasts, Event::FaultEnd(number));
        let engine = self.any(self.engines.len());
        let application = self.any(self.applications.len());
        let node = self.any(self.nodes.len());
        match kind {
            FaultKind::NodeCrash => self.crash_node(node, lasts),
            FaultKind::NodeHerd => (0..self.nodes.len()).for_each(|n| self.crash_node(n, lasts)),
            FaultKind::NodeFreeze => self.freeze_for(number, Place::Node(node)),
            FaultKind::NodeDrain => self.drain_node(node),
            FaultKind::EngineCrash => self.crash_engine(engine, lasts, false),
            FaultKind::EngineVanish => self.crash_engine(engine, lasts, true),
            FaultKind::EngineFreeze => self.freeze_for(number, Place::Engine(engine)),
            FaultKind::EngineLeave => self.begin_leaving(engine),
            FaultKind::StaleList => {
                self.machines.set_stale(Some(self.now));
                self.schedule.push(self.now + lasts, Event::Later(Later::FreshList));
                self.begin_leaving(engine);
            }
            FaultKind::ApplicationCrash => {
                self.stop_application(application);
                self.start_later(lasts, Place::Application(application));
            }
            FaultKind::ApplicationFreeze => {
                self.freeze_for(number, Place::Application(application));
            }
            _ => self.start_control_fault(number, kind, lasts),
        }
    }

    fn start_control_fault(&mut self, number: usize, kind: FaultKind, lasts: Duration) {
        let node = self.any(self.nodes.len());
        let engine = self.any(self.engines.len());
        match kind {
            FaultKind::OneWayCut => {
                self.cut(number, &[(Place::Engine(engine), Place::Node(node))]);
            }
            FaultKind::ZoneCut => self.cut_zone(number),
            FaultKind::ControlCut => {
                let members = 0..self.members.len();
                let cuts: Vec<_> =
                    members.flat_map(|m| both(Place::Node(node), Place::Member(m))).collect();
                self.cut(number, &cuts);
            }
            _ if self.members.is_empty() => {}
            FaultKind::OperatorRace => {
                self.begin_change();
                self.begin_change();
            }
            FaultKind::MemberCrash => {
                let member = self.any(self.members.len());
                self.crash_member(member, lasts);
            }
            FaultKind::MemberHerd => {
                (0..self.members.len()).for_each(|member| self.crash_member(member, lasts));
            }
            FaultKind::LostDisk => self.do_later(Later::LoseDisk { not: None, has_second: false }),
            FaultKind::SecondLoss => self.do_later(Later::LoseDisk { not: None, has_second: true }),
            _ => self.start_leader_fault(number, kind, lasts),
        }
    }

    fn start_leader_fault(&mut self, number: usize, kind: FaultKind, lasts: Duration) {
        let any = self.any(self.members.len());
        let leader = self.leader().unwrap_or(any);
        let others = (0..self.members.len()).filter(|member| *member != leader);
        let follower = others.clone().nth(self.any(self.members.len() - 1)).unwrap_or(leader);
        match kind {
            FaultKind::LeaderCrash => self.crash_member(leader, lasts),
            FaultKind::LeaderFreeze => self.freeze_for(number, Place::Member(leader)),
            FaultKind::LeaderCut => self.isolate_member(number, leader),
            FaultKind::FollowerCut => self.isolate_member(number, follower),
            _ => {}
        }
    }

    fn isolate_member(&mut self, number: usize, member: usize) {
        let others = (0..self.members.len()).filter(|other| *other != member);
        let cuts: Vec<_> =
            others.flat_map(|other| both(Place::Member(member), Place::Member(other))).collect();
        self.cut(number, &cuts);
    }

    fn cut_zone(&mut self, number: usize) {
        let zones = self.declarations.zones.len();
        let zone = self.any(zones);
        let inside = self.network.places_in(zone);
        let outside: Vec<Place> = (0..zones)
            .filter(|other| *other != zone)
            .flat_map(|other| self.network.places_in(other))
            .collect();
        let is_ours = |place: &Place| !matches!(place, Place::Caller(_));
        let mut cuts = Vec::new();
        for near in inside.iter().filter(|place| is_ours(place)) {
            for far in outside.iter().filter(|place| is_ours(place)) {
                cuts.extend(both(*near, *far));
            }
        }
        self.cut(number, &cuts);
    }

    fn cut(&mut self, number: usize, cuts: &[(Place, Place)]) {
        for (from, to) in cuts {
            self.network.cut(*from, *to);
        }
        self.active.cuts.insert(number, cuts.to_vec());
    }

    fn freeze_for(&mut self, number: usize, place: Place) {
        self.freeze(place);
        self.active.frozen.insert(number, place);
    }

    /// Undoes what lasts.
    pub(crate) fn end_fault(&mut self, number: usize) {
        if let Some(place) = self.active.frozen.remove(&number) {
            self.thaw(place);
        }
        let cuts = self.active.cuts.remove(&number).unwrap_or_default();
        for (from, to) in cuts {
            for transfer in self.network.heal(self.now, from, to) {
                let at = self.network.arrival(self.now, from, to, &mut self.rng);
                self.schedule.push(at, Event::Deliver(Box::new(transfer)));
            }
        }
    }

    pub(crate) fn start_later(&mut self, wait: Duration, place: Place) {
        self.schedule.push(self.now + wait, Event::Later(Later::Start(place)));
    }

    fn crash_node(&mut self, node: usize, lasts: Duration) {
        // A crash in the middle of a planned stop makes no promise good.
        self.nodes[node].is_stopping = false;
        self.stop_node(node);
        self.start_later(lasts, Place::Node(node));
    }

    fn drain_node(&mut self, node: usize) {
        let place = Place::Node(node);
        if !self.processes.is_running(place) {
            return;
        }
        self.nodes[node].is_stopping = true;
        self.step_node(node, NodeInput::Drain);
        if self.is_planted(Plant::AbruptStop) {
            self.stop_node(node);
        }
        self.start_later(REPAIR_POLL, place);
    }

    fn crash_engine(&mut self, engine: usize, lasts: Duration, is_silent: bool) {
        self.stop_engine(engine, is_silent);
        self.start_later(lasts, Place::Engine(engine));
    }

    fn begin_leaving(&mut self, engine: usize) {
        if self.processes.run(Place::Engine(engine)).is_none() {
            return;
        }
        self.leave_engine(engine);
        let replica = self.engines[engine].replica;
        if !self.is_planted(Plant::HiddenLeaving) {
            self.machines.set(self.now, replica, ReplicaStatus::Leaving);
        }
        let replaced = self.now + Duration::from_secs(8);
        self.schedule.push(replaced, Event::Later(Later::Replace(engine)));
    }

    fn crash_member(&mut self, member: usize, lasts: Duration) {
        match self.disk_rng.random_bool(KILLS_IN_WRITES) {
            true => self.stop_member_in_write(member),
            false => self.stop_member(member, false),
        }
        self.start_later(lasts, Place::Member(member));
    }

    pub(crate) fn do_later(&mut self, later: Later) {
        match later {
            Later::Start(place) => self.start_again(place),
            Later::StopNode(node, run) => {
                let place = Place::Node(node);
                if self.processes.is_frozen(place) {
                    self.processes.hold(place, Event::Later(later));
                } else if self.processes.run(place) == Some(run) {
                    self.stop_node(node);
                }
            }
            Later::FreshList => self.machines.set_stale(None),
            Later::Replace(engine) => {
                self.stop_engine(engine, false);
                self.start_engine(engine);
                let replica = self.engines[engine].replica;
                self.machines.set(self.now, replica, ReplicaStatus::Live);
            }
            Later::LoseDisk { not, has_second } => self.lose_disk(not, has_second),
        }
    }

    fn start_again(&mut self, place: Place) {
        if self.processes.run(place).is_some() {
            // A planned stop may take longer than the pause before the new start.
            if let Place::Node(node) = place
                && self.nodes[node].is_stopping
            {
                self.start_later(REPAIR_POLL, place);
            }
            if let Place::Member(member) = place {
                self.keep_member(member);
            }
            return;
        }
        match place {
            Place::Node(node) => self.start_node(node),
            Place::Engine(engine) => self.start_engine(engine),
            Place::Member(member) => self.start_member(member),
            Place::Application(_) => {
                self.processes.start(place);
            }
            Place::Caller(_) | Place::Operator => {}
        }
    }

    /// Loses a disk only when the group is whole: more than that is beyond what it promises.
    fn lose_disk(&mut self, not: Option<usize>, has_second: bool) {
        let is_last_chance = self.now + Duration::from_secs(15) > self.settings.until;
        if self.members.is_empty() || is_last_chance {
            return;
        }
        if !self.is_group_whole() {
            let later = Later::LoseDisk { not, has_second };
            self.schedule.push(self.now + REPAIR_POLL, Event::Later(later));
            return;
        }
        let mut member = self.any(self.members.len());
        if Some(member) == not {
            member = (member + 1) % self.members.len();
        }
        self.stop_member(member, true);
        self.start_later(Duration::from_millis(700), Place::Member(member));
        if has_second {
            let later = Later::LoseDisk { not: Some(member), has_second: false };
            self.schedule.push(self.now + REPAIR_POLL * 5, Event::Later(later));
        }
    }

    /// Whether every member is a voter, up, and has what the leader has committed.
    fn is_group_whole(&self) -> bool {
        let Some(leader) = self.leader().and_then(|leader| self.members[leader].member()) else {
            return false;
        };
        let replica = leader.replica();
        debug_assert_eq!(replica.role(), Role::Leader);
        let voters = &replica.membership().voters;
        let is_whole = |number: usize| {
            let member = self.members[number].member();
            self.processes.is_running(Place::Member(number))
                && !self.network.touches_cut(Place::Member(number))
                && member.is_some_and(|member| {
                    let id = member.replica().id();
                    voters.contains_key(&id) && replica.is_caught_up(id, 0) || id == replica.id()
                })
        };
        voters.len() == self.members.len() && (0..self.members.len()).all(is_whole)
    }
}

fn both(left: Place, right: Place) -> [(Place, Place); 2] {
    [(left, right), (right, left)]
}
