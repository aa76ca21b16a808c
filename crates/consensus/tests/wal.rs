//! Recovery of the write-ahead log from torn, damaged and missing files.

use rstest::rstest;
use topazmount_consensus::{
    Disk, Entry, HardState, Membership, MemoryDisk, Payload, RaftMember, Ready, RecoveredState,
    Snapshot, Wal, WalError,
};

fn entry(index: u64) -> Entry {
    Entry { index, term: 1, payload: Payload::Command(vec![index as u8; 20]) }
}

fn ready(entries: std::ops::RangeInclusive<u64>) -> Ready {
    Ready {
        hard_state: Some(HardState { term: 1, voted_for: None, last_leader: None }),
        entries: entries.map(entry).collect(),
        ..Ready::default()
    }
}

/// A log with a snapshot at index 1, and entries 2 to 10 in three syncs.
fn wal_with_entries() -> Wal<MemoryDisk> {
    let (mut wal, _) = Wal::open(MemoryDisk::default()).unwrap();
    wal.initialize(&RaftMember::bootstrap_state(Membership::default(), b"first".to_vec())).unwrap();
    for entries in [2..=4, 5..=7, 8..=10] {
        wal.persist(&ready(entries)).unwrap();
    }
    wal
}

fn snapshot_at(wal: &mut Wal<MemoryDisk>, index: u64) {
    let mut meta = RecoveredState::default().snapshot.meta;
    (meta.index, meta.term) = (index, 1);
    let snapshot = Snapshot { meta, data: b"second".to_vec().into() };
    let after: Vec<Entry> = (index + 1..=10).map(entry).collect();
    wal.save_snapshot(&snapshot, &after).unwrap();
}

fn file(disk: &MemoryDisk, prefix: &str) -> String {
    let names = disk.list().unwrap();
    names.into_iter().filter(|name| name.starts_with(prefix)).max().unwrap()
}

fn last_index(recovered: &RecoveredState) -> u64 {
    recovered.log.last_index()
}

#[test]
fn synced_entries_are_read_back() {
    let (_, recovered) = Wal::open(wal_with_entries().disk().clone()).unwrap();
    assert_eq!(last_index(&recovered), 10);
    assert_eq!(recovered.hard_state.term, 1);
    assert_eq!(recovered.snapshot.data.as_ref(), b"first");
}

#[rstest]
#[case(0)]
#[case(1)]
#[case(9)]
#[case(30)]
fn a_torn_tail_is_truncated(#[case] torn: usize) {
    let mut disk = wal_with_entries().disk().clone();
    let name = file(&disk, "log-");
    // An append without a sync, of which some bytes reached the disk.
    disk.append(&name, &[0xaa; 40]).unwrap();
    disk.lose_power(torn, 0);
    let (mut wal, recovered) = Wal::open(disk).unwrap();
    assert_eq!(last_index(&recovered), 10);
    wal.persist(&ready(11..=12)).unwrap();
    let (_, recovered) = Wal::open(wal.disk().clone()).unwrap();
    assert_eq!(last_index(&recovered), 12);
}

#[test]
fn damage_in_the_middle_of_the_log_is_an_error() {
    let mut disk = wal_with_entries().disk().clone();
    let name = file(&disk, "log-");
    assert!(disk.corrupt_byte(&name, 30));
    assert!(matches!(Wal::open(disk), Err(WalError::Corrupt(_))));
}

#[test]
fn a_damaged_snapshot_falls_back_to_the_previous_one() {
    let mut wal = wal_with_entries();
    snapshot_at(&mut wal, 6);
    let mut disk = wal.disk().clone();
    let name = file(&disk, "snapshot-");
    assert!(disk.corrupt_byte(&name, 12));
    let (wal, recovered) = Wal::open(disk).unwrap();
    assert_eq!(recovered.snapshot.data.as_ref(), b"first");
    assert_eq!(last_index(&recovered), 10);
    // Opening has rewritten the damaged snapshot.
    let (_, again) = Wal::open(wal.disk().clone()).unwrap();
    assert_eq!(last_index(&again), 10);
}

#[test]
fn an_error_without_an_undamaged_snapshot() {
    let mut wal = wal_with_entries();
    snapshot_at(&mut wal, 6);
    let mut disk = wal.disk().clone();
    let names: Vec<String> =
        disk.list().unwrap().into_iter().filter(|name| name.starts_with("snapshot-")).collect();
    for name in names {
        assert!(disk.corrupt_byte(&name, 12));
    }
    assert!(Wal::open(disk).is_err());
}

#[test]
fn an_interrupted_snapshot_loses_no_entries() {
    // The new segment exists, but the new snapshot does not.
    let mut wal = wal_with_entries();
    snapshot_at(&mut wal, 6);
    let mut disk = wal.disk().clone();
    let name = file(&disk, "snapshot-");
    disk.remove(&name).unwrap();
    let (_, recovered) = Wal::open(disk).unwrap();
    assert_eq!(last_index(&recovered), 10);
}

#[test]
fn recovers_thousands_of_entries() {
    let mut wal = wal_with_entries();
    for index in 11..=5_000 {
        wal.persist(&ready(index..=index)).unwrap();
    }
    let (_, recovered) = Wal::open(wal.disk().clone()).unwrap();
    assert_eq!(last_index(&recovered), 5_000);
}
