//! Encodings of messages, log entries and snapshots, compared with recorded bytes: another build
//! must be able to read them.

use serde::{Serialize, de::DeserializeOwned};
use std::collections::BTreeMap;
use std::fmt::{Debug, Write};
use topazmount_consensus::{
    Disk, Entry, Envelope, HardState, MemberId, MemberInfo, Membership, MembershipChange,
    MembershipStatus, MemoryDisk, Message, Payload, RaftMember, Ready, Snapshot, SnapshotMeta, Wal,
};
use topazmount_types::Time;

const RECORDED: &str = include_str!("recorded_bytes/encodings.txt");

fn hex(bytes: &[u8]) -> String {
    bytes.iter().fold(String::new(), |mut text, byte| {
        write!(text, "{byte:02x}").unwrap();
        text
    })
}

fn unhex(text: &str) -> Vec<u8> {
    let digits = |position| u8::from_str_radix(&text[position..position + 2], 16).unwrap();
    (0..text.len()).step_by(2).map(digits).collect()
}

/// Encoded samples, one line each: name, encoding with field names, encoding without them.
#[derive(Default)]
struct Encodings(Vec<String>);

impl Encodings {
    /// Encodes a sample, and decodes the recorded bytes of the same name.
    fn add<T: Serialize + DeserializeOwned + PartialEq + Debug>(&mut self, name: &str, value: &T) {
        let named = rmp_serde::to_vec_named(value).unwrap();
        let positional = rmp_serde::to_vec(value).unwrap();
        self.0.push(format!("{name} {} {}", hex(&named), hex(&positional)));
        for line in RECORDED.lines().filter(|line| line.split(' ').next() == Some(name)) {
            for recorded in line.split(' ').skip(1) {
                let decoded: T = rmp_serde::from_slice(&unhex(recorded)).unwrap();
                assert_eq!(decoded, *value, "{name}");
            }
        }
    }
}

fn info(number: u64) -> MemberInfo {
    MemberInfo { name: format!("m{number}"), address: format!("10.0.0.{number}:1") }
}

fn membership(full_size: usize) -> Membership {
    Membership {
        voters: BTreeMap::from([(MemberId(1), info(1)), (MemberId(2), info(2))]),
        learners: BTreeMap::from([(MemberId(3), info(3))]),
        target_size: full_size,
    }
}

fn entries() -> Vec<Entry> {
    vec![
        Entry { index: 2, term: 1, payload: Payload::Empty },
        Entry { index: 3, term: 1, payload: Payload::Command(b"command".to_vec()) },
        Entry { index: 4, term: 2, payload: Payload::Membership(membership(3)) },
    ]
}

fn meta() -> SnapshotMeta {
    SnapshotMeta { index: 9, term: 4, membership: membership(0) }
}

fn messages() -> Vec<(&'static str, Message)> {
    // The type of the mark is private; its fields are a process and a time.
    let mark = rmp_serde::to_vec(&(77u64, Time(1_234_567))).unwrap();
    let sent_at = Time(987_654);
    let append = |has_mark: bool| Message::Append {
        previous_index: 1,
        previous_term: 1,
        entries: entries(),
        commit: 2,
        sent_at,
        echoed: has_mark.then(|| rmp_serde::from_slice(&mark).unwrap()),
    };
    let append_reply = |has_mark: bool| Message::AppendReply {
        accepted: true,
        index: 4,
        previous_index: 3,
        sent_at,
        timestamp: has_mark.then(|| rmp_serde::from_slice(&mark).unwrap()),
    };
    vec![
        ("pre_vote", Message::PreVote { last_index: 5, last_term: 2 }),
        ("pre_vote_reply", Message::PreVoteReply { granted: true }),
        ("vote", Message::Vote { last_index: 5, last_term: 2, transfer: true }),
        ("vote_reply", Message::VoteReply { granted: false }),
        ("append", append(true)),
        ("append_without_mark", append(false)),
        ("append_reply", append_reply(true)),
        ("append_reply_without_mark", append_reply(false)),
        (
            "snapshot_piece",
            Message::Snapshot {
                meta: meta(),
                offset: 300,
                chunk: vec![0, 1, 255],
                done: true,
                sent_at,
            },
        ),
        ("snapshot_reply", Message::SnapshotReply { index: 9, received: 303, sent_at }),
        ("timeout_now", Message::TimeoutNow),
    ]
}

fn hard_state() -> HardState {
    HardState { term: 4, voted_for: Some(MemberId(2)), last_leader: Some(MemberId(1)) }
}

fn snapshot() -> Snapshot {
    Snapshot { meta: meta(), data: b"state".to_vec().into() }
}

/// Names and contents of the files that a log writes.
fn files() -> Vec<(String, Vec<u8>)> {
    let (mut wal, _) = Wal::open(MemoryDisk::default()).unwrap();
    wal.initialize(&RaftMember::bootstrap_state(membership(0), b"first".to_vec())).unwrap();
    let ready = Ready { hard_state: Some(hard_state()), entries: entries(), ..Ready::default() };
    wal.persist(&ready).unwrap();
    wal.save_snapshot(&snapshot(), &[]).unwrap();
    let disk = wal.disk();
    let names = disk.list().unwrap();
    names.into_iter().map(|name| (name.clone(), disk.read(&name).unwrap().unwrap())).collect()
}

#[test]
fn encodings_match_the_recorded_bytes() {
    let mut encodings = Encodings::default();
    for (name, message) in messages() {
        let envelope = Envelope { from: MemberId(1), to: MemberId(2), term: 4, message };
        encodings.add(name, &envelope);
    }
    encodings.add("entries", &entries());
    encodings.add("hard_state", &hard_state());
    encodings.add("hard_state_empty", &HardState::default());
    encodings.add("snapshot", &snapshot());
    encodings.add("membership", &membership(3));
    encodings.add("membership_without_size", &membership(0));
    encodings.add(
        "standing",
        &vec![MembershipStatus::Outside, MembershipStatus::Learner, MembershipStatus::Voter],
    );
    let changes = vec![
        MembershipChange::AddLearner(MemberId(4), info(4)),
        MembershipChange::Promote(MemberId(3)),
        MembershipChange::Remove(MemberId(2)),
        MembershipChange::SetTargetSize,
    ];
    encodings.add("changes", &changes);
    let files = files();
    encodings.0.extend(files.iter().map(|(name, content)| format!("{name} {}", hex(content))));
    let recorded: Vec<&str> = RECORDED.lines().collect();
    assert_eq!(encodings.0, recorded);
}

#[test]
fn recorded_files_are_read_back() {
    let mut disk = MemoryDisk::default();
    for line in RECORDED.lines() {
        let (name, content) = line.split_once(' ').unwrap();
        if name.starts_with("log-") || name.starts_with("snapshot-") {
            disk.replace(name, &unhex(content)).unwrap();
        }
    }
    let newest: Vec<String> = disk.list().unwrap();
    assert_eq!(newest.len(), 4, "{newest:?}");
    let (_, recovered) = Wal::open(disk.clone()).unwrap();
    assert_eq!((recovered.hard_state, recovered.snapshot), (hard_state(), snapshot()));
    // Without the newest snapshot, the older one and the entries after it are read.
    let snapshots = newest.iter().filter(|name| name.starts_with("snapshot-"));
    disk.remove(snapshots.max().unwrap()).unwrap();
    let (_, recovered) = Wal::open(disk).unwrap();
    assert_eq!(recovered.hard_state, hard_state());
    assert_eq!(recovered.snapshot.data.as_ref(), b"first");
    assert_eq!(recovered.log.range(2, recovered.log.last_index()), entries());
}
