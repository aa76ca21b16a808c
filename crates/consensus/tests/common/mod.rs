//! Members connected by an in-memory network that tests can partition.

#![allow(dead_code)]

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;
use topazmount_consensus::{
    Config, Entry, Envelope, Index, Log, MemberId, MemberInfo, Membership, MemoryDisk, Payload,
    RaftMember, RecoveredState, Role, Term, Wal, WalError,
};
use topazmount_types::Time;

/// Timeout of waits in tests, in virtual time.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(20);
const TICK: Duration = Duration::from_millis(10);

/// A member with its disk.
#[derive(Clone)]
pub struct Peer {
    pub member: RaftMember,
    pub wal: Wal<MemoryDisk>,
    /// Applied commands by log index.
    pub applied: BTreeMap<Index, Vec<u8>>,
}

impl Peer {
    pub fn open(id: u64, disk: MemoryDisk, first: Option<&RecoveredState>, now: Time) -> Peer {
        let (mut wal, mut recovered) = Wal::open(disk).unwrap();
        assert_outlasts_power_loss(wal.disk(), &recovered);
        if let Some(first) = first {
            wal.initialize(first).unwrap();
            recovered = first.clone();
        }
        let member = RaftMember::new(MemberId(id), Config::default(), recovered, id, now);
        let mut peer = Peer { member, wal, applied: BTreeMap::new() };
        peer.drain();
        peer
    }

    /// Processes all ready batches as a driver; returns the messages to send.
    pub fn drain(&mut self) -> Vec<Envelope> {
        self.try_drain().unwrap()
    }

    /// Processes all ready batches as a driver whose disk may fail.
    pub fn try_drain(&mut self) -> Result<Vec<Envelope>, WalError> {
        let mut messages = Vec::new();
        while let Some(ready) = self.member.ready() {
            self.wal.persist(&ready)?;
            messages.extend(ready.messages.iter().cloned());
            if let Some(snapshot) = &ready.restore {
                self.applied = decode(&snapshot.data);
            }
            for entry in &ready.committed {
                if let Payload::Command(bytes) = &entry.payload {
                    self.applied.insert(entry.index, bytes.to_vec());
                }
            }
            self.member.advance(&ready);
        }
        Ok(messages)
    }

    /// Takes a snapshot of the applied state and compacts the log.
    pub fn compact(&mut self) {
        let applied = self.member.applied();
        let snapshot = self.member.compact(encode(&self.applied));
        let after: Vec<Entry> = self.member.entries_after(applied);
        self.wal.save_snapshot(&snapshot, &after).unwrap();
    }
}

/// What a start has returned is what a loss of power right after it leaves.
fn assert_outlasts_power_loss(disk: &MemoryDisk, started: &RecoveredState) {
    let mut after = disk.clone();
    after.lose_power(0, u64::MAX);
    let (_, found) = Wal::open(after).unwrap();
    assert_eq!(found.hard_state, started.hard_state);
    assert_eq!(found.snapshot, started.snapshot);
    let entries = |log: &Log| log.range(log.first_index(), log.last_index());
    assert_eq!(entries(&found.log), entries(&started.log));
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

/// Initial state of a group of these voters.
pub fn founding(voters: &[u64]) -> RecoveredState {
    let voters = voters.iter().map(|id| (MemberId(*id), info(*id))).collect();
    let membership = Membership::initial(voters);
    RaftMember::bootstrap_state(membership, Vec::new())
}

/// Members, the messages in flight, and partitioned links.
pub struct Network {
    pub now: Time,
    pub peers: BTreeMap<u64, Peer>,
    pub partitioned: BTreeSet<(u64, u64)>,
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
            partitioned: BTreeSet::new(),
            messages: Vec::new(),
            leaders: BTreeMap::new(),
        }
    }

    /// Partitions a member from all others in both directions.
    pub fn isolate(&mut self, id: u64) {
        for other in self.peers.keys().filter(|other| **other != id) {
            self.partitioned.insert((id, *other));
            self.partitioned.insert((*other, id));
        }
    }

    pub fn heal(&mut self) {
        self.partitioned.clear();
    }

    /// Delivers the messages in flight and advances time by a tick.
    pub fn tick(&mut self) {
        self.now = self.now + TICK;
        for envelope in std::mem::take(&mut self.messages) {
            if self.partitioned.contains(&(envelope.from.0, envelope.to.0)) {
                continue;
            }
            if let Some(peer) = self.peers.get_mut(&envelope.to.0) {
                peer.member.step(self.now, envelope);
            }
        }
        self.check_reads();
        for peer in self.peers.values_mut() {
            peer.member.tick(self.now);
            peer.member.flush_proposals();
            self.messages.extend(peer.drain());
        }
        self.check();
    }

    /// Checks election safety (thesis §3.6), one leader per term, and that at most one member has a
    /// lease.
    fn check(&mut self) {
        for peer in self.peers.values() {
            if peer.member.role() == Role::Leader {
                let id = peer.member.id();
                let known = *self.leaders.entry(peer.member.term()).or_insert(id);
                assert_eq!(known, id, "two leaders in term {}", peer.member.term());
            }
        }
        let leaders = self.peers.values().filter(|peer| peer.member.has_lease(self.now));
        assert!(leaders.count() <= 1, "two members hold the lease");
    }

    /// Checks reads between the receipt of messages and the application of entries: a member that
    /// can serve reads has applied all entries that any member has applied.
    fn check_reads(&self) {
        let newest = self.peers.values().filter_map(|peer| peer.applied.keys().next_back()).max();
        let leaders = self.peers.values().filter(|peer| peer.member.can_serve_reads(self.now));
        for leader in leaders {
            let own = leader.applied.keys().next_back();
            assert!(own >= newest, "{:?} reads {own:?} of {newest:?}", leader.member.id());
        }
    }

    pub fn run(&mut self, time: Duration) {
        let until = self.now + time;
        while self.now < until {
            self.tick();
        }
    }

    /// Runs until a condition holds.
    pub fn until(&mut self, what: &str, holds: impl Fn(&Network) -> bool) {
        let limit = self.now + WAIT_TIMEOUT;
        while !holds(self) {
            assert!(self.now < limit, "timed out waiting for: {what}");
            self.tick();
        }
    }

    pub fn leader(&self) -> Option<u64> {
        let mut leaders = self.peers.iter().filter(|(_, peer)| peer.member.has_lease(self.now));
        leaders.next().map(|(id, _)| *id)
    }

    pub fn elect(&mut self) -> u64 {
        self.until("a leader", |network| network.leader().is_some());
        self.leader().unwrap()
    }

    pub fn propose(&mut self, id: u64, command: &[u8]) -> Index {
        self.peers.get_mut(&id).unwrap().member.propose(command.to_vec()).unwrap()
    }

    /// Proposes a command and waits until all of `ids` have applied it.
    pub fn commit(&mut self, command: &[u8], ids: &[u64]) -> Index {
        let leader = self.elect();
        let index = self.propose(leader, command);
        self.until("the command is applied", |network| {
            ids.iter().all(|id| network.peers[id].applied.contains_key(&index))
        });
        index
    }

    /// Crashes and restarts a member; unsynced data is lost, except for `torn` bytes.
    pub fn restart(&mut self, id: u64, torn: usize) {
        let peer = self.peers.remove(&id).unwrap();
        let mut disk = peer.wal.disk().clone();
        disk.lose_power(torn, 0);
        self.peers.insert(id, Peer::open(id, disk, None, self.now));
    }
}
