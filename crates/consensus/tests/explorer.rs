//! Exhaustive exploration of deliveries, losses, timeouts, proposals, kills within writes and losses of
//! power of three members, up to a fixed depth. Safety is checked in every state.

mod common;

use common::{Peer, founding};
use rstest::rstest;
use std::collections::{BTreeMap, HashSet};
use topazmount_consensus::{Entry, Envelope, Index, MemberId, MemoryDisk, Role, Term};
use topazmount_types::{Digest, Time};

/// Steps from each initial state.
const DEPTH: usize = 6;
/// Maximum number of each event on a path.
const BUDGET: Budget = Budget { losses: 1, timeouts: 2, proposals: 1, kills: 1, power_losses: 1 };
/// Minimum number of distinct states, to detect a reduced exploration.
const MIN_STATES: usize = 4_000;

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Budget {
    losses: u32,
    timeouts: u32,
    proposals: u32,
    kills: u32,
    power_losses: u32,
}

#[derive(Clone)]
struct State {
    now: Time,
    peers: Vec<Peer>,
    messages: Vec<Envelope>,
    budget: Budget,
    committed: BTreeMap<Index, Entry>,
    leaders: BTreeMap<Term, MemberId>,
}

#[derive(Clone, Copy, Debug)]
enum Step {
    Deliver(usize),
    /// The receiver is killed between the write and the sync that follow from the message.
    DeliverAndKill(usize),
    Lose(usize),
    TimeOut(usize),
    Propose(usize),
    LosePower(usize),
}

impl State {
    fn initial() -> State {
        let now = Time::from_secs(1);
        let first = founding(&[1, 2, 3]);
        let open = |id| Peer::open(id, MemoryDisk::default(), Some(&first), now);
        State {
            now,
            peers: [1, 2, 3].into_iter().map(open).collect(),
            messages: Vec::new(),
            budget: BUDGET,
            committed: BTreeMap::new(),
            leaders: BTreeMap::new(),
        }
    }

    fn steps(&self) -> Vec<Step> {
        let mut steps: Vec<Step> = (0..self.messages.len()).map(Step::Deliver).collect();
        if self.budget.losses > 0 {
            steps.extend((0..self.messages.len()).map(Step::Lose));
        }
        if self.budget.kills > 0 {
            steps.extend((0..self.messages.len()).map(Step::DeliverAndKill));
        }
        for (number, peer) in self.peers.iter().enumerate() {
            let is_leader = peer.member.role() == Role::Leader;
            if self.budget.timeouts > 0 && !is_leader {
                steps.push(Step::TimeOut(number));
            }
            if self.budget.proposals > 0 && is_leader {
                steps.push(Step::Propose(number));
            }
            if self.budget.power_losses > 0 {
                steps.push(Step::LosePower(number));
            }
        }
        steps
    }

    fn apply(&mut self, step: Step) {
        match step {
            Step::Deliver(number) => {
                let envelope = self.messages.remove(number);
                let to = envelope.to.0 as usize - 1;
                self.peers[to].member.step(self.now, envelope);
                self.settle(to);
            }
            Step::DeliverAndKill(number) => {
                self.budget.kills -= 1;
                let envelope = self.messages.remove(number);
                self.kill_in_write(envelope);
            }
            Step::Lose(number) => {
                self.budget.losses -= 1;
                self.messages.remove(number);
            }
            Step::TimeOut(number) => {
                self.budget.timeouts -= 1;
                let peer = &mut self.peers[number];
                self.now = self.now.max(peer.member.next_wakeup());
                peer.member.tick(self.now);
                self.settle(number);
            }
            Step::Propose(number) => {
                self.budget.proposals -= 1;
                let _ = self.peers[number].member.propose(b"command".to_vec());
                self.peers[number].member.flush_proposals();
                self.settle(number);
            }
            Step::LosePower(number) => {
                self.budget.power_losses -= 1;
                let mut disk = self.peers[number].wal.disk().clone();
                disk.lose_power(3, 0);
                self.peers[number] = Peer::open(number as u64 + 1, disk, None, self.now);
            }
        }
    }

    /// A receiver that writes nothing is not killed.
    fn kill_in_write(&mut self, envelope: Envelope) {
        let number = envelope.to.0 as usize - 1;
        let peer = &mut self.peers[number];
        peer.wal.disk_mut().interrupt(1, 0);
        peer.member.step(self.now, envelope);
        let drained = peer.try_drain();
        peer.wal.disk_mut().end_process();
        match drained {
            Ok(sent) => self.send(number, sent),
            Err(_) => {
                let disk = peer.wal.disk().clone();
                *peer = Peer::open(number as u64 + 1, disk, None, self.now);
            }
        }
    }

    fn settle(&mut self, number: usize) {
        let sent = self.peers[number].drain();
        self.send(number, sent);
    }

    fn send(&mut self, number: usize, sent: Vec<Envelope>) {
        for envelope in sent {
            if !self.messages.contains(&envelope) {
                self.messages.push(envelope);
            }
        }
        self.check(number);
    }

    fn check(&mut self, number: usize) {
        let member = &self.peers[number].member;
        if member.role() == Role::Leader {
            let known = *self.leaders.entry(member.term()).or_insert(member.id());
            assert_eq!(known, member.id(), "election safety: term {}", member.term());
            // Leader completeness: a new leader has all entries committed in earlier terms.
            for entry in self.committed.values().filter(|entry| entry.term < member.term()) {
                let has = member.entries_after(1).iter().any(|own| own == entry);
                assert!(has, "leader completeness: entry {}", entry.index);
            }
        }
        for entry in member.entries_after(1) {
            if entry.index > member.commit() {
                break;
            }
            let known = self.committed.entry(entry.index).or_insert_with(|| entry.clone());
            assert_eq!(*known, entry, "state machine safety: entry {}", entry.index);
        }
    }

    fn fingerprint(&self) -> u128 {
        let mut text = format!("{:?}{:?}", self.budget, self.now);
        for peer in &self.peers {
            let member = &peer.member;
            text.push_str(&format!(
                "|{:?}{}{}{:?}",
                member.role(),
                member.term(),
                member.commit(),
                member.entries_after(1)
            ));
        }
        let mut messages: Vec<String> =
            self.messages.iter().map(|envelope| format!("{envelope:?}")).collect();
        messages.sort_unstable();
        text.push_str(&messages.join(";"));
        Digest::of(text.as_bytes()).0
    }
}

/// Before the first election.
fn before_election() -> State {
    State::initial()
}

/// During an election: the vote requests are in flight.
fn during_election() -> State {
    let mut state = State::initial();
    state.apply(Step::TimeOut(0));
    while state.messages.iter().any(|envelope| envelope.to == MemberId(1))
        || state.messages.len() > 2
    {
        state.apply(Step::Deliver(0));
    }
    state.budget = BUDGET;
    state
}

/// The first member is the leader, and a proposal is in flight.
fn with_proposal_in_flight() -> State {
    let mut state = State::initial();
    state.apply(Step::TimeOut(0));
    while !state.messages.is_empty() {
        state.apply(Step::Deliver(0));
    }
    assert_eq!(state.peers[0].member.role(), Role::Leader);
    state.apply(Step::Propose(0));
    state.budget = BUDGET;
    state
}

#[rstest]
#[case::before_election(before_election())]
#[case::during_election(during_election())]
#[case::with_proposal_in_flight(with_proposal_in_flight())]
fn no_order_of_events_violates_safety(#[case] initial: State) {
    let mut seen = HashSet::new();
    let mut level = vec![initial];
    for _ in 0..DEPTH {
        let mut next = Vec::new();
        for state in &level {
            for step in state.steps() {
                let mut after = state.clone();
                after.apply(step);
                if seen.insert(after.fingerprint()) {
                    next.push(after);
                }
            }
        }
        level = next;
    }
    println!("{} distinct states in {DEPTH} steps", seen.len());
    assert!(seen.len() >= MIN_STATES, "only {} states were reached", seen.len());
}
