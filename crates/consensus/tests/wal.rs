//! The durable log against torn, damaged and missing files.

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

/// A log whose snapshot is at 1, with entries 2 to 10 in three syncs.
fn written() -> Wal<MemoryDisk> {
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
fn reads_back_what_was_synced() {
    let (_, recovered) = Wal::open(written().disk().clone()).unwrap();
    assert_eq!(last_index(&recovered), 10);
    assert_eq!(recovered.hard_state.term, 1);
    assert_eq!(recovered.snapshot.data.as_ref(), b"first");
}

#[rstest]
#[case(0)]
#[case(1)]
#[case(9)]
#[case(30)]
fn cuts_a_torn_tail_and_goes_on(#[case] torn: usize) {
    let mut disk = written().disk().clone();
    let name = file(&disk, "log-");
    // An append that was never synced, of which some bytes reached the disk.
    disk.append(&name, &[0xaa; 40]).unwrap();
    disk.crash(torn);
    let (mut wal, recovered) = Wal::open(disk).unwrap();
    assert_eq!(last_index(&recovered), 10);
    wal.persist(&ready(11..=12)).unwrap();
    let (_, recovered) = Wal::open(wal.disk().clone()).unwrap();
    assert_eq!(last_index(&recovered), 12);
}

#[test]
fn refuses_damage_in_the_middle_of_the_log() {
    let mut disk = written().disk().clone();
    let name = file(&disk, "log-");
    assert!(disk.corrupt_byte(&name, 30));
    assert!(matches!(Wal::open(disk), Err(WalError::Corrupt(_))));
}

#[test]
fn falls_back_to_the_previous_snapshot() {
    let mut wal = written();
    snapshot_at(&mut wal, 6);
    let mut disk = wal.disk().clone();
    let name = file(&disk, "snapshot-");
    assert!(disk.corrupt_byte(&name, 12));
    let (wal, recovered) = Wal::open(disk).unwrap();
    assert_eq!(recovered.snapshot.data.as_ref(), b"first");
    assert_eq!(last_index(&recovered), 10);
    // The fallback was made whole again.
    let (_, again) = Wal::open(wal.disk().clone()).unwrap();
    assert_eq!(last_index(&again), 10);
}

#[test]
fn refuses_when_no_snapshot_is_good() {
    let mut wal = written();
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
fn an_interrupted_snapshot_loses_nothing() {
    // The new segment is there, the new snapshot is not.
    let mut wal = written();
    snapshot_at(&mut wal, 6);
    let mut disk = wal.disk().clone();
    let name = file(&disk, "snapshot-");
    disk.remove(&name).unwrap();
    let (_, recovered) = Wal::open(disk).unwrap();
    assert_eq!(last_index(&recovered), 10);
}

#[test]
fn recovers_after_thousands_of_changes() {
    let mut wal = written();
    for index in 11..=5_000 {
        wal.persist(&ready(index..=index)).unwrap();
    }
    let (_, recovered) = Wal::open(wal.disk().clone()).unwrap();
    assert_eq!(last_index(&recovered), 5_000);
}
