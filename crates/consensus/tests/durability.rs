//! What a start reads from its disk outlasts a loss of power right after it: processes end within
//! writes, starts and snapshots, syncs fail, and power is lost. Seeds: `DURABILITY_SEEDS=A..B`.

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;
use topazmount_consensus::{
    Entry, HardState, MemberId, Membership, Payload, RaftMember, Ready, RecoveredState, SharedDisk,
    Snapshot, Wal, WalError,
};

const SEEDS: std::ops::Range<u64> = 1..400;
/// Operations in a run.
const OPERATIONS: usize = 60;
/// Steps of the disk within which a process ends; more than a start or a snapshot takes.
const MAX_STEPS: u32 = 16;
/// Longest part of a write that is cut, in bytes.
const MAX_WRITTEN: usize = 200;
/// Names that a loss of power takes away: none, all, and every second one.
const LOST_NAMES: [u64; 4] = [0, u64::MAX, 0x5555_5555_5555_5555, 0xaaaa_aaaa_aaaa_aaaa];

/// Durable state of a member, to be compared.
#[derive(Clone, Debug, PartialEq)]
struct State {
    hard_state: HardState,
    snapshot: Snapshot,
    entries: Vec<Entry>,
}

impl State {
    fn of(recovered: &RecoveredState) -> State {
        let log = &recovered.log;
        State {
            hard_state: recovered.hard_state,
            snapshot: recovered.snapshot.clone(),
            entries: log.range(log.first_index(), log.last_index()),
        }
    }

    fn last_index(&self) -> u64 {
        self.entries.last().map_or(self.snapshot.meta.index, |entry| entry.index)
    }

    fn apply(&mut self, ready: &Ready) {
        self.hard_state = ready.hard_state.unwrap_or(self.hard_state);
        if let Some(first) = ready.entries.first() {
            self.entries.retain(|entry| entry.index < first.index);
            self.entries.extend(ready.entries.iter().cloned());
        }
    }
}

fn open(disk: &SharedDisk) -> Result<(Wal<SharedDisk>, State), WalError> {
    let (wal, recovered) = Wal::open(disk.clone())?;
    Ok((wal, State::of(&recovered)))
}

/// A member that has just started for the first time.
fn founded() -> (SharedDisk, Wal<SharedDisk>, State) {
    let disk = SharedDisk::default();
    let (mut wal, _) = open(&disk).unwrap();
    let first = RaftMember::bootstrap_state(Membership::default(), b"first".to_vec());
    wal.initialize(&first).unwrap();
    (disk, wal, State::of(&first))
}

fn entry(index: u64, term: u64) -> Entry {
    Entry { index, term, payload: Payload::Command(vec![index as u8; 20]) }
}

fn vote(term: u64, candidate: u64) -> Ready {
    let voted_for = Some(MemberId(candidate));
    let hard_state = Some(HardState { term, voted_for, last_leader: None });
    Ready { hard_state, ..Ready::default() }
}

fn append(entries: std::ops::RangeInclusive<u64>, term: u64) -> Ready {
    Ready { entries: entries.map(|index| entry(index, term)).collect(), ..Ready::default() }
}

/// The state that a start has just returned is what a loss of power leaves.
fn assert_outlasts_power_loss(disk: &SharedDisk, started: &State, what: &str) {
    for lost_names in LOST_NAMES {
        for torn in [0, 7] {
            let after = disk.copy();
            after.inner().lose_power(torn, lost_names);
            let found = open(&after).map(|(_, state)| state);
            assert_eq!(found.as_ref(), Ok(started), "{what}: names lost {lost_names:x}");
        }
    }
}

#[rstest]
#[case::vote(vote(2, 1))]
#[case::entry(append(2..=2, 1))]
#[case::batch(Ready { hard_state: vote(3, 2).hard_state, ..append(2..=9, 3) })]
fn records_of_a_write_whose_process_ended_before_the_sync_outlast_a_loss_of_power(
    #[case] ready: Ready,
) {
    let (disk, mut wal, mut state) = founded();
    disk.inner().interrupt(1, 0);
    assert!(wal.persist(&ready).is_err());
    disk.inner().end_process();
    state.apply(&ready);
    let (_, started) = open(&disk).unwrap();
    assert_eq!(started, state);
    assert_outlasts_power_loss(&disk, &started, "after a start");
}

/// A member that has voted, and has started again, votes for nobody else in the same term.
#[test]
fn a_vote_that_was_read_back_is_not_given_again_after_a_loss_of_power() {
    let (disk, mut wal, _) = founded();
    disk.inner().interrupt(1, 0);
    assert!(wal.persist(&vote(2, 1)).is_err());
    disk.inner().end_process();
    let (_, started) = open(&disk).unwrap();
    assert_eq!(started.hard_state.voted_for, Some(MemberId(1)));
    disk.inner().lose_power(0, u64::MAX);
    let (_, started) = open(&disk).unwrap();
    assert_eq!((started.hard_state.term, started.hard_state.voted_for), (2, Some(MemberId(1))));
}

/// After a failed sync the file is read back whole, and a later sync succeeds without writing it.
#[test]
fn records_of_a_failed_sync_outlast_a_loss_of_power() {
    let (disk, mut wal, mut state) = founded();
    let ready = append(2..=4, 1);
    disk.inner().fail_next_sync();
    assert!(wal.persist(&ready).is_err());
    state.apply(&ready);
    let (_, started) = open(&disk).unwrap();
    assert_eq!(started, state);
    assert_outlasts_power_loss(&disk, &started, "after a failed sync");
}

/// A snapshot whose name was not synced is read by the next start, and may be gone after it.
#[rstest]
fn a_snapshot_that_ended_anywhere_outlasts_a_loss_of_power(
    #[values(0, 1, 2, 3, 4, 5, 6)] steps: u32,
) {
    let (disk, mut wal, mut state) = founded();
    let ready = append(2..=6, 1);
    wal.persist(&ready).unwrap();
    state.apply(&ready);
    let mut snapshot = state.snapshot.clone();
    snapshot.meta.index = 4;
    disk.inner().interrupt(steps, 0);
    let _ = wal.save_snapshot(&snapshot, &state.entries[3..]);
    disk.inner().end_process();
    let (mut wal, started) = open(&disk).unwrap();
    assert_eq!(started.last_index(), 6);
    assert_outlasts_power_loss(&disk, &started, "after a snapshot");
    // What is acknowledged after it rests on the same names.
    let mut state = started;
    let ready = append(7..=8, 1);
    wal.persist(&ready).unwrap();
    state.apply(&ready);
    assert_outlasts_power_loss(&disk, &state, "after a further append");
}

/// Starts that end anywhere, again and again, leave the state whole and the disk small.
#[test]
fn starts_that_end_in_a_loop_lose_nothing_and_take_no_more_space() {
    let (disk, mut wal, mut state) = founded();
    let ready = append(2..=40, 1);
    wal.persist(&ready).unwrap();
    state.apply(&ready);
    let whole = disk.inner().size();
    for round in 0..200 {
        disk.inner().interrupt(round % MAX_STEPS, 30);
        let _ = open(&disk);
        disk.inner().end_process();
        let size = disk.inner().size();
        assert!(size <= 3 * whole, "round {round}: {size} bytes, {whole} before");
    }
    let (_, started) = open(&disk).unwrap();
    assert_eq!(started, state);
}

struct Run {
    rng: ChaCha8Rng,
    disk: SharedDisk,
    wal: Wal<SharedDisk>,
    /// What was acknowledged.
    state: State,
}

impl Run {
    fn new(seed: u64) -> Run {
        let (disk, wal, state) = founded();
        Run { rng: ChaCha8Rng::seed_from_u64(seed), disk, wal, state }
    }

    fn random_ready(&mut self) -> Ready {
        let mut term = self.state.hard_state.term + self.rng.random_range(0..2);
        let mut entries = Vec::new();
        if self.rng.random_bool(0.7) {
            let last = self.state.last_index();
            let mut first = last + 1;
            if self.rng.random_bool(0.2) {
                // Entries of a newer leader replace those of an older one.
                first = self.rng.random_range(self.state.snapshot.meta.index + 1..=last + 1);
                term = self.state.hard_state.term + 1;
            }
            entries = append(first..=first + self.rng.random_range(0..5), term).entries;
        }
        let is_new_term = term > self.state.hard_state.term;
        let hard_state = match is_new_term || self.rng.random_bool(0.2) {
            true => vote(term, self.rng.random_range(1..4)).hard_state,
            false => None,
        };
        Ready { hard_state, entries, ..Ready::default() }
    }

    /// Writes a batch or a snapshot; returns the state that it leads to, and whether it was written.
    fn write(&mut self) -> (State, bool) {
        let mut next = self.state.clone();
        if self.rng.random_bool(0.2) {
            let index = self.rng.random_range(next.snapshot.meta.index..=next.last_index());
            next.snapshot.meta.index = index;
            next.entries.retain(|entry| entry.index > index);
            let is_written = self.wal.save_snapshot(&next.snapshot, &next.entries).is_ok();
            return (next, is_written);
        }
        let ready = self.random_ready();
        next.apply(&ready);
        let is_written = self.wal.persist(&ready).is_ok();
        (next, is_written)
    }

    /// Ends the process or takes the power away.
    fn stop(&mut self) {
        let mut disk = self.disk.inner();
        match self.rng.random_bool(0.5) {
            true => disk.end_process(),
            false => {
                let torn = self.rng.random_range(0..MAX_WRITTEN);
                disk.lose_power(torn, self.rng.random());
            }
        }
    }

    fn interrupt(&mut self) {
        let steps = self.rng.random_range(0..MAX_STEPS);
        let written = self.rng.random_range(0..MAX_WRITTEN);
        self.disk.inner().interrupt(steps, written);
    }

    /// Starts the process, which may end in its start a few times.
    fn start(&mut self, what: &str) {
        while self.rng.random_bool(0.3) {
            self.interrupt();
            // Without an end in it, the start is followed by one.
            let _ = open(&self.disk);
            self.stop();
        }
        // A start whose sync fails is tried again.
        let opened = open(&self.disk).or_else(|_| open(&self.disk));
        let (wal, started) = opened.unwrap_or_else(|error| panic!("{what}: {error}"));
        assert_outlasts_power_loss(&self.disk, &started, what);
        self.wal = wal;
        let acknowledged =
            self.state.entries.iter().filter(|entry| entry.index > started.snapshot.meta.index);
        for entry in acknowledged {
            assert!(started.entries.contains(entry), "{what}: entry {} is lost", entry.index);
        }
        assert!(started.hard_state.term >= self.state.hard_state.term, "{what}: the term is lost");
        self.state = started;
    }
}

fn run_seed(seed: u64) {
    let mut run = Run::new(seed);
    for number in 0..OPERATIONS {
        if run.rng.random_bool(0.5) {
            run.interrupt();
        }
        if run.rng.random_bool(0.1) {
            run.disk.inner().fail_next_sync();
        }
        let (next, is_written) = run.write();
        if is_written {
            run.state = next;
            if run.rng.random_bool(0.7) {
                run.disk.inner().end_process();
                continue;
            }
        } else {
            // Entries that the failed write would have replaced may be gone.
            run.state.entries.retain(|entry| next.entries.contains(entry));
        }
        run.stop();
        run.start(&format!("seed {seed}, operation {number}"));
    }
}

#[test]
fn starts_return_nothing_that_a_loss_of_power_takes_away() {
    let seeds = std::env::var("DURABILITY_SEEDS").ok().map_or(SEEDS, |text| {
        let bounds = text.split_once("..").map(|(from, to)| (from.parse(), to.parse()));
        let Some((Ok(from), Ok(to))) = bounds else { panic!("DURABILITY_SEEDS: {text}, not A..B") };
        from..to
    });
    let mut failed = Vec::new();
    for seed in seeds {
        if let Err(panic) = std::panic::catch_unwind(|| run_seed(seed)) {
            let panic = panic.downcast_ref::<String>().map_or("", String::as_str);
            eprintln!("seed {seed}: {panic}");
            failed.push(seed);
        }
    }
    assert!(failed.is_empty(), "{} seeds: {failed:?}", failed.len());
}
