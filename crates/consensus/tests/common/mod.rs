//! Several members joined by an in-memory network that tests may cut.

#![allow(dead_code)]

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;
use topazmount_consensus::{
    Config, Entry, Envelope, Index, MemberId, MemberInfo, Membership, MemoryDisk, Payload,
    RaftMember, RecoveredState, Role, Term, Wal,
};
use topazmount_types::Time;

/// Longest time that a test waits, on the virtual clock.
pub const PATIENCE: Duration = Duration::from_secs(20);
const TICK: Duration = Duration::from_millis(10);

/// A member with its disk.
#[derive(Clone)]
pub struct Peer {
    pub replica: RaftMember,
    pub wal: Wal<MemoryDisk>,
    /// Commands that were applied, with their places.
    pub applied: BTreeMap<Index, Vec<u8>>,
}

impl Peer {
    pub fn open(id: u64, disk: MemoryDisk, first: Option<&RecoveredState>, now: Time) -> Peer {
        let (mut wal, mut recovered) = Wal::open(disk).unwrap();
        if let Some(first) = first {
            wal.initialize(first).unwrap();
            recovered = first.clone();
        }
        let replica = RaftMember::new(MemberId(id), Config::default(), recovered, id, now);
        let mut peer = Peer { replica, wal, applied: BTreeMap::new() };
        peer.drain();
        peer
    }

    /// Does the driver's work; gives the messages to send.
    pub fn drain(&mut self) -> Vec<Envelope> {
        let mut messages = Vec::new();
        while let Some(ready) = self.replica.ready() {
            self.wal.persist(&ready).unwrap();
            messages.extend(ready.messages.iter().cloned());
            if let Some(snapshot) = &ready.restore {
                self.applied = decode(&snapshot.data);
            }
            for entry in &ready.committed {
                if let Payload::Command(bytes) = &entry.payload {
                    self.applied.insert(entry.index, bytes.to_vec());
                }
            }
            self.replica.advance(&ready);
        }
        messages
    }

    /// Takes a snapshot of what was applied.
    pub fn compact(&mut self) {
        let applied = self.replica.applied();
        let snapshot = self.replica.compact(encode(&self.applied));
        let after: Vec<Entry> = self.replica.entries_after(applied);
        self.wal.save_snapshot(&snapshot, &after).unwrap();
    }
}

fn encode(applied: &BTreeMap<Index, Vec<u8>>) -> Vec<u8> {
    rmp_serde::to_vec(applied).unwrap()
}

fn decode(bytes: &[u8]) -> BTreeMap<Index, Vec<u8>> {
    if bytes.is_empty() { BTreeMap::new() } else { rmp_serde::from_slice(bytes).unwrap() }
}

pub fn info(id: u64) -> MemberInfo {
    MemberInfo { name: format!("m{id}"), address: format!("10.0.0.{id}:1") }
}

/// First state of a group of these voters.
pub fn founding(voters: &[u64]) -> RecoveredState {
    let voters = voters.iter().map(|id| (MemberId(*id), info(*id))).collect();
    let membership = Membership::initial(voters);
    RaftMember::bootstrap_state(membership, Vec::new())
}

/// Members, the messages between them, and what is cut.
pub struct Network {
    pub now: Time,
    pub peers: BTreeMap<u64, Peer>,
    pub cut: BTreeSet<(u64, u64)>,
    messages: Vec<Envelope>,
    leaders: BTreeMap<Term, MemberId>,
}

impl Network {
    pub fn new(ids: &[u64]) -> Network {
        let now = Time::from_secs(1);
        let first = founding(ids);
        let open = |id: &u64| (*id, Peer::open(*id, MemoryDisk::default(), Some(&first), now));
        Network {
            now,
            peers: ids.iter().map(open).collect(),
            cut: BTreeSet::new(),
            messages: Vec::new(),
            leaders: BTreeMap::new(),
        }
    }

    /// Cuts a member off in both directions.
    pub fn isolate(&mut self, id: u64) {
        for other in self.peers.keys().filter(|other| **other != id) {
            self.cut.insert((id, *other));
            self.cut.insert((*other, id));
        }
    }

    pub fn heal(&mut self) {
        self.cut.clear();
    }

    /// Lets one tick of time pass and delivers what was sent before.
    pub fn tick(&mut self) {
        self.now = self.now + TICK;
        for envelope in std::mem::take(&mut self.messages) {
            if self.cut.contains(&(envelope.from.0, envelope.to.0)) {
                continue;
            }
            if let Some(peer) = self.peers.get_mut(&envelope.to.0) {
                peer.replica.step(self.now, envelope);
            }
        }
        self.check_reads();
        for peer in self.peers.values_mut() {
            peer.replica.tick(self.now);
            peer.replica.flush_proposals();
            self.messages.extend(peer.drain());
        }
        self.check();
    }

    /// Election safety (thesis 3.6): one leader a term. Lease: one holder at a time.
    fn check(&mut self) {
        for peer in self.peers.values() {
            if peer.replica.role() == Role::Leader {
                let id = peer.replica.id();
                let known = *self.leaders.entry(peer.replica.term()).or_insert(id);
                assert_eq!(known, id, "two leaders in term {}", peer.replica.term());
            }
        }
        let holders = self.peers.values().filter(|peer| peer.replica.has_lease(self.now));
        assert!(holders.count() <= 1, "two members hold the lease");
    }

    /// A read that is answered between a message and the work that it makes: who may answer it by its
    /// lease has applied all that anybody applied, and so all that was acknowledged.
    fn check_reads(&self) {
        let newest = self.peers.values().filter_map(|peer| peer.applied.keys().next_back()).max();
        let holders = self.peers.values().filter(|peer| peer.replica.can_serve_reads(self.now));
        for holder in holders {
            let own = holder.applied.keys().next_back();
            assert!(own >= newest, "{:?} reads {own:?} of {newest:?}", holder.replica.id());
        }
    }

    pub fn run(&mut self, time: Duration) {
        let until = self.now + time;
        while self.now < until {
            self.tick();
        }
    }

    /// Runs until something holds.
    pub fn until(&mut self, what: &str, holds: impl Fn(&Network) -> bool) {
        let limit = self.now + PATIENCE;
        while !holds(self) {
            assert!(self.now < limit, "never came about: {what}");
            self.tick();
        }
    }

    pub fn leader(&self) -> Option<u64> {
        let mut holders = self.peers.iter().filter(|(_, peer)| peer.replica.has_lease(self.now));
        holders.next().map(|(id, _)| *id)
    }

    pub fn elect(&mut self) -> u64 {
        self.until("a leader", |network| network.leader().is_some());
        self.leader().unwrap()
    }

    pub fn propose(&mut self, id: u64, command: &[u8]) -> Index {
        self.peers.get_mut(&id).unwrap().replica.propose(command.to_vec()).unwrap()
    }

    /// Proposes at the leader and waits until all of `ids` applied it.
    pub fn commit(&mut self, command: &[u8], ids: &[u64]) -> Index {
        let leader = self.elect();
        let index = self.propose(leader, command);
        self.until("the command is applied", |network| {
            ids.iter().all(|id| network.peers[id].applied.contains_key(&index))
        });
        index
    }

    /// Kills a member; what it had not synced is lost but for `torn` bytes. Starts it again.
    pub fn restart(&mut self, id: u64, torn: usize) {
        let peer = self.peers.remove(&id).unwrap();
        let mut disk = peer.wal.disk().clone();
        disk.crash(torn);
        self.peers.insert(id, Peer::open(id, disk, None, self.now));
    }
}
