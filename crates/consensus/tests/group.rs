//! Elections, replication, leases, membership and recovery of an in-memory group.

mod common;

use common::{Network, Peer, info};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;
use std::time::Duration;
use topazmount_consensus::{Config, MemberId, MembershipChange, MemoryDisk, ProposeError};

#[rstest]
#[case(&[1])]
#[case(&[1, 2, 3])]
#[case(&[1, 2, 3, 4, 5])]
fn elects_a_leader_and_replicates(#[case] ids: &[u64]) {
    let mut network = Network::new(ids);
    for command in [b"a", b"b", b"c"] {
        network.commit(command, ids);
    }
    let expected = network.peers[&1].applied.clone();
    assert_eq!(expected.len(), 3);
    assert!(network.peers.values().all(|peer| peer.applied == expected));
}

#[test]
fn a_leader_without_quorum_commits_nothing_and_loses_its_lease() {
    let mut network = Network::new(&[1, 2, 3]);
    let old = network.elect();
    network.isolate(old);
    let index = network.propose(old, b"lost");
    network.until("another leader", |network| network.leader().is_some_and(|id| id != old));
    assert!(!network.peers[&old].member.has_lease(network.now));
    let others: Vec<u64> = [1, 2, 3].into_iter().filter(|id| *id != old).collect();
    network.commit(b"kept", &others);
    network.heal();
    network.commit(b"after", &[1, 2, 3]);
    assert_ne!(network.peers[&old].applied.get(&index).map(Vec::as_slice), Some(&b"lost"[..]));
    assert_eq!(network.peers[&old].applied, network.peers[&others[0]].applied);
}

/// A new leader must apply the entries acknowledged by its predecessor before it serves reads.
#[test]
fn a_new_leader_serves_no_stale_reads() {
    let mut network = Network::new(&[1, 2, 3, 4, 5]);
    let old = network.elect();
    let index = network.propose(old, b"acknowledged");
    network.until("the leader has applied it", |network| {
        network.peers[&old].applied.contains_key(&index)
    });
    network.isolate(old);
    // Each tick checks the reads of all members.
    network.until("another leader", |network| network.leader().is_some_and(|id| id != old));
    let next = network.leader().unwrap();
    assert!(network.peers[&next].applied.contains_key(&index));
}

#[test]
fn a_reconnected_member_does_not_disturb_the_leader() {
    let mut network = Network::new(&[1, 2, 3]);
    let leader = network.elect();
    let term = network.peers[&leader].member.term();
    let follower = [1, 2, 3].into_iter().find(|id| *id != leader).unwrap();
    network.isolate(follower);
    network.run(Duration::from_secs(10));
    network.heal();
    network.run(Duration::from_secs(3));
    assert_eq!(network.leader(), Some(leader));
    assert_eq!(network.peers[&leader].member.term(), term);
}

#[test]
fn a_follower_far_behind_gets_a_snapshot() {
    let mut network = Network::new(&[1, 2, 3]);
    let leader = network.elect();
    let late = [1, 2, 3].into_iter().find(|id| *id != leader).unwrap();
    let others: Vec<u64> = [1, 2, 3].into_iter().filter(|id| *id != late).collect();
    network.isolate(late);
    for number in 0..1_500u32 {
        network.propose(leader, &number.to_le_bytes());
    }
    network.commit(b"last", &others);
    others.iter().for_each(|id| network.peers.get_mut(id).unwrap().compact());
    network.heal();
    network.until("the late member has everything", |network| {
        network.peers[&late].applied == network.peers[&leader].applied
    });
}

/// Guards against members that outgrow their memory with a thousand large entries.
#[test]
fn a_log_of_large_entries_grows_without_bound() {
    const ENTRY_BYTES: usize = 3 * 1024 * 1024;
    let limit = Config::default().retained_bytes;
    let mut network = Network::new(&[1, 2, 3]);
    let leader = network.elect();
    let late = [1, 2, 3].into_iter().find(|id| *id != leader).unwrap();
    let others: Vec<u64> = [1, 2, 3].into_iter().filter(|id| *id != late).collect();
    network.isolate(late);
    for number in 0..2 * limit / ENTRY_BYTES {
        network.commit(&vec![number as u8; ENTRY_BYTES], &others);
        others.iter().for_each(|id| {
            let peer = network.peers.get_mut(id).unwrap();
            // A snapshot holds the newest document only.
            peer.applied = peer.applied.split_off(&peer.member.applied());
            peer.compact();
            assert!(peer.member.log_bytes() <= limit, "{} bytes", peer.member.log_bytes());
        });
    }
    let kept = network.peers[&leader].member.log_bytes();
    assert!(kept > limit - ENTRY_BYTES, "{kept} bytes kept for followers slightly behind");
    network.heal();
    network.until("the late member has the newest entry", |network| {
        network.peers[&late].applied.last_key_value()
            == network.peers[&leader].applied.last_key_value()
    });
}

#[test]
fn a_new_disk_joins_as_a_learner_and_the_old_identity_is_removed() {
    let mut network = Network::new(&[1, 2, 3]);
    network.commit(b"before", &[1, 2, 3]);
    let leader = network.elect();
    let lost = [1, 2, 3].into_iter().find(|id| *id != leader).unwrap();
    network.peers.remove(&lost);
    let now = network.now;
    network.peers.insert(9, Peer::open(9, MemoryDisk::default(), None, now));
    let change = |network: &mut Network, change: MembershipChange| {
        network.until("the change is accepted", |_| true);
        let limit = 200;
        for _ in 0..limit {
            let leader = network.elect();
            let member = &mut network.peers.get_mut(&leader).unwrap().member;
            match member.propose_change(&change) {
                Ok(_) => return,
                Err(ProposeError::ChangePending) => network.tick(),
                Err(error) => panic!("{change:?}: {error:?}"),
            }
        }
        panic!("{change:?} was never accepted");
    };
    change(&mut network, MembershipChange::AddLearner(MemberId(9), info(9)));
    network.until("the learner has caught up", |network| {
        let leader = network.leader().unwrap_or(leader);
        network.peers[&leader].member.is_caught_up(MemberId(9), 0)
    });
    change(&mut network, MembershipChange::Promote(MemberId(9)));
    change(&mut network, MembershipChange::Remove(MemberId(lost)));
    let left: Vec<u64> = network.peers.keys().copied().collect();
    network.commit(b"after", &left);
    let voters = &network.peers[&leader].member.membership().voters;
    assert!(voters.contains_key(&MemberId(9)) && !voters.contains_key(&MemberId(lost)));
}

#[test]
fn only_one_membership_change_at_a_time() {
    let mut network = Network::new(&[1, 2, 3]);
    network.commit(b"x", &[1, 2, 3]);
    let leader = network.elect();
    let member = &mut network.peers.get_mut(&leader).unwrap().member;
    member.propose_change(&MembershipChange::AddLearner(MemberId(8), info(8))).unwrap();
    let second = member.propose_change(&MembershipChange::AddLearner(MemberId(9), info(9)));
    assert_eq!(second, Err(ProposeError::ChangePending));
}

#[test]
fn a_leadership_transfer_needs_no_election_timeout() {
    let mut network = Network::new(&[1, 2, 3]);
    network.commit(b"x", &[1, 2, 3]);
    let old = network.elect();
    network.run(Duration::from_millis(500));
    let now = network.now;
    assert!(network.peers.get_mut(&old).unwrap().member.transfer_leadership(now));
    network.until("another leader", |network| network.leader().is_some_and(|id| id != old));
    let took = network.now.since(now);
    assert!(took < Duration::from_millis(400), "took {took:?}");
}

#[rstest]
#[case(0)]
#[case(7)]
#[case(60)]
fn a_restart_of_all_members_loses_no_acknowledged_entry(#[case] torn: usize) {
    let mut network = Network::new(&[1, 2, 3]);
    let mut indices = Vec::new();
    for number in 0..50u32 {
        indices.push(network.commit(&number.to_le_bytes(), &[1, 2]));
    }
    for id in [1, 2, 3] {
        network.restart(id, torn);
    }
    network.commit(b"after", &[1, 2, 3]);
    let applied = &network.peers[&3].applied;
    for (number, index) in (0..50u32).zip(indices) {
        assert_eq!(applied[&index], number.to_le_bytes());
    }
}

/// Maximum time until the previous leader leads again after a restart of all members.
const MAX_RESUME_TIME: Duration = Duration::from_millis(250);

#[rstest]
#[case(&[1, 2, 3], 0)]
#[case(&[1, 2, 3, 4, 5], 0)]
#[case(&[1, 2, 3, 4, 5], 2)]
fn the_leader_resumes_after_a_restart_of_all_members(#[case] ids: &[u64], #[case] absent: usize) {
    let mut network = Network::new(ids);
    network.commit(b"before", ids);
    let leader = network.elect();
    ids.iter().for_each(|id| network.restart(*id, 0));
    let others = ids.iter().filter(|id| **id != leader);
    let gone: Vec<u64> = others.take(absent).copied().collect();
    gone.iter().for_each(|id| network.isolate(*id));
    let began = network.now;
    network.until("a leader", |network| network.leader().is_some());
    assert_eq!(network.leader(), Some(leader));
    let took = network.now.since(began);
    assert!(took < MAX_RESUME_TIME, "took {took:?}");
}

#[test]
fn a_restart_of_all_followers_does_not_end_the_lease() {
    let mut network = Network::new(&[1, 2, 3, 4, 5]);
    network.commit(b"before", &[1, 2, 3, 4, 5]);
    let leader = network.elect();
    let term = network.peers[&leader].member.term();
    let others: Vec<u64> = [1, 2, 3, 4, 5].into_iter().filter(|id| *id != leader).collect();
    for _ in 0..5 {
        others.iter().for_each(|id| network.restart(*id, 0));
        network.run(Duration::from_millis(300));
    }
    assert_eq!(network.leader(), Some(leader));
    assert_eq!(network.peers[&leader].member.term(), term);
}

/// Random restarts, one-way and two-way partitions, and proposals. Each tick checks leases and
/// leaders; at the end, all members have applied the same entries.
#[test]
fn restarts_and_partitions_never_give_two_leases() {
    const IDS: [u64; 5] = [1, 2, 3, 4, 5];
    for seed in 0..150 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut network = Network::new(&IDS);
        network.commit(b"first", &IDS);
        for step in 0..120u32 {
            let member = IDS[rng.random_range(0..IDS.len())];
            let other = IDS[rng.random_range(0..IDS.len())];
            match rng.random_range(0..10) {
                0..3 => network.restart(member, rng.random_range(0..40)),
                3 if member != other => {
                    network.partitioned.insert((member, other));
                }
                4..7 if member != other => {
                    network.partitioned.insert((member, other));
                    network.partitioned.insert((other, member));
                }
                7 => network.heal(),
                _ => {
                    if let Some(leader) = network.leader() {
                        network.propose(leader, &step.to_le_bytes());
                    }
                }
            }
            network.run(Duration::from_millis(rng.random_range(10..700)));
        }
        network.heal();
        network.commit(b"last", &IDS);
        let applied = &network.peers[&1].applied;
        assert!(network.peers.values().all(|peer| peer.applied == *applied), "seed {seed}");
    }
}
