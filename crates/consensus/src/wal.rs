//! Write-ahead log: segments of checksummed records, and the latest two snapshots.
//!
//! A segment starts at each snapshot. The latest two snapshots and all segments since the older one
//! are kept, so that recovery can fall back to the older snapshot without losing entries. Files:
//! `snapshot-<generation>` and `log-<generation>`, generations in hexadecimal.
//!
//! What is read at a start need not be durable: a process that was killed before a sync leaves
//! records that are read back, and so does one whose sync failed. The log would acknowledge them
//! without a further sync, so a start makes durable all that it returns.

use crate::disk::{Disk, DiskError};
use crate::log::{Entry, Log, Snapshot};
use crate::ready::{HardState, Ready};
use crate::record::{Ending, Record, decode_all, encode, frame, unframe};
use thiserror::Error;

const SNAPSHOT_PREFIX: &str = "snapshot-";
const LOG_PREFIX: &str = "log-";
/// Snapshots kept.
const KEPT_SNAPSHOTS: usize = 2;

/// State read from disk.
#[derive(Clone, Debug, Default)]
pub struct RecoveredState {
    /// Term and vote.
    pub hard_state: HardState,
    /// Latest undamaged snapshot.
    pub snapshot: Snapshot,
    /// Entries after it.
    pub log: Log,
}

/// Why the state on disk can't be used.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum WalError {
    /// The disk failed.
    #[error(transparent)]
    Disk(#[from] DiskError),
    /// Durable data is damaged. The member must rejoin with an empty data folder.
    #[error("durable state is damaged: {0}")]
    Corrupt(String),
}

/// Write-ahead log on a disk.
#[derive(Clone)]
pub struct Wal<D> {
    disk: D,
    generation: u64,
    hard_state: HardState,
}

impl<D: Disk> Wal<D> {
    /// Opens the log and reads its state, which is durable when this returns. An incomplete last
    /// write is truncated; an empty disk gives the default state.
    ///
    /// # Errors
    /// Any failure of the disk; [`WalError::Corrupt`] when acknowledged entries may be lost.
    pub fn open(mut disk: D) -> Result<(Self, RecoveredState), WalError> {
        // A process that was killed may have renamed files whose names are not durable.
        disk.sync_names()?;
        let names = disk.list()?;
        let snapshot_generations = generations(&names, SNAPSHOT_PREFIX);
        let log_generations = generations(&names, LOG_PREFIX);
        if snapshot_generations.is_empty() && log_generations.is_empty() {
            let hard_state = HardState::default();
            return Ok((Wal { disk, generation: 0, hard_state }, RecoveredState::default()));
        }
        let (base, snapshot) = newest_snapshot(&disk, &snapshot_generations)?;
        let mut hard_state = HardState::default();
        let mut entries: Vec<Entry> = Vec::new();
        let needed: Vec<u64> =
            log_generations.into_iter().filter(|generation| *generation >= base).collect();
        for (position, generation) in needed.iter().enumerate() {
            let is_last = position + 1 == needed.len();
            let records = read_segment(&mut disk, *generation, is_last)?;
            replay(records, &mut hard_state, &mut entries);
        }
        let log = build_log(&snapshot, entries)?;
        let generation = last_complete_generation(&snapshot_generations, &needed);
        let mut wal = Wal { disk, generation, hard_state };
        let recovered = RecoveredState { hard_state, snapshot, log };
        // Starts that ended before they removed old files would fill the disk.
        wal.remove_old(base)?;
        // Written anew, since a sync does not cover bytes of which an earlier sync has failed.
        wal.write_generation(&recovered.snapshot, &all_entries(&recovered.log))?;
        Ok((wal, recovered))
    }

    /// The disk.
    pub fn disk(&self) -> &D {
        &self.disk
    }

    /// The disk, for other files than the log's.
    pub fn disk_mut(&mut self) -> &mut D {
        &mut self.disk
    }

    /// Writes the initial state of a new group or learner.
    ///
    /// # Errors
    /// Any failure of the disk.
    pub fn initialize(&mut self, recovered: &RecoveredState) -> Result<(), WalError> {
        self.hard_state = recovered.hard_state;
        self.write_generation(&recovered.snapshot, &all_entries(&recovered.log))
    }

    /// Makes a batch durable with a single sync.
    ///
    /// # Errors
    /// Any failure of the disk; the member must then stop.
    pub fn persist(&mut self, ready: &Ready) -> Result<(), WalError> {
        if let Some(hard_state) = ready.hard_state {
            self.hard_state = hard_state;
        }
        if let Some(snapshot) = &ready.snapshot {
            return self.write_generation(snapshot, &ready.entries);
        }
        if !ready.must_sync() {
            return Ok(());
        }
        let mut bytes = Vec::new();
        if let Some(hard_state) = ready.hard_state {
            bytes.extend(encode(&Record::HardState(hard_state)));
        }
        for entry in &ready.entries {
            bytes.extend(encode(&Record::Entry(entry.clone())));
        }
        let name = log_name(self.generation);
        self.disk.append(&name, &bytes)?;
        self.disk.sync(&name)?;
        Ok(())
    }

    /// Writes a snapshot and starts a segment with the entries after it.
    ///
    /// # Errors
    /// Any failure of the disk.
    pub fn save_snapshot(&mut self, snapshot: &Snapshot, after: &[Entry]) -> Result<(), WalError> {
        self.write_generation(snapshot, after)
    }

    /// Writes the segment before the snapshot that refers to it, and removes old files only after
    /// both are durable.
    fn write_generation(&mut self, snapshot: &Snapshot, after: &[Entry]) -> Result<(), WalError> {
        let generation = self.generation + 1;
        let mut segment = encode(&Record::HardState(self.hard_state));
        for entry in after {
            segment.extend(encode(&Record::Entry(entry.clone())));
        }
        self.disk.replace(&log_name(generation), &segment)?;
        let payload = rmp_serde::to_vec(snapshot).expect("a snapshot is plain data");
        self.disk.replace(&snapshot_name(generation), &frame(&payload))?;
        self.generation = generation;
        self.remove_old(generation)
    }

    /// Removes the files of generations before the kept snapshots and before `needed`.
    fn remove_old(&mut self, needed: u64) -> Result<(), WalError> {
        let names = self.disk.list()?;
        let snapshots = generations(&names, SNAPSHOT_PREFIX);
        let first_kept = snapshots.len().saturating_sub(KEPT_SNAPSHOTS);
        let Some(&oldest) = snapshots.get(first_kept) else {
            return Ok(());
        };
        let is_old = |generation: &u64| *generation < oldest.min(needed);
        for generation in snapshots.iter().copied().filter(is_old) {
            self.disk.remove(&snapshot_name(generation))?;
        }
        for generation in generations(&names, LOG_PREFIX).into_iter().filter(|g| is_old(g)) {
            self.disk.remove(&log_name(generation))?;
        }
        Ok(())
    }
}

fn snapshot_name(generation: u64) -> String {
    format!("{SNAPSHOT_PREFIX}{generation:016x}")
}

fn log_name(generation: u64) -> String {
    format!("{LOG_PREFIX}{generation:016x}")
}

fn generations(names: &[String], prefix: &str) -> Vec<u64> {
    let mut found: Vec<u64> = names
        .iter()
        .filter_map(|name| name.strip_prefix(prefix))
        .filter_map(|digits| u64::from_str_radix(digits, 16).ok())
        .collect();
    found.sort_unstable();
    found
}

fn newest_snapshot<D: Disk>(disk: &D, found: &[u64]) -> Result<(u64, Snapshot), WalError> {
    for generation in found.iter().rev() {
        let bytes = disk.read(&snapshot_name(*generation))?.unwrap_or_default();
        let snapshot = unframe(&bytes).and_then(|(payload, _)| rmp_serde::from_slice(payload).ok());
        if let Some(snapshot) = snapshot {
            return Ok((*generation, snapshot));
        }
    }
    if found.is_empty() {
        return Ok((0, Snapshot::default()));
    }
    Err(WalError::Corrupt("all snapshots are damaged".to_owned()))
}

/// The generation after which the next one is written. A segment without a snapshot is left by an
/// interrupted change of generations, and replaced.
fn last_complete_generation(snapshots: &[u64], logs: &[u64]) -> u64 {
    let newest_snapshot = snapshots.last().copied().unwrap_or(0);
    let newest_log = logs.last().copied().unwrap_or(0);
    newest_snapshot.max(newest_log.saturating_sub(1))
}

/// Reads a segment and makes it durable, so that it ends with a complete record also once later
/// segments exist.
fn read_segment<D: Disk>(
    disk: &mut D,
    generation: u64,
    is_last: bool,
) -> Result<Vec<Record>, WalError> {
    let name = log_name(generation);
    let bytes = disk.read(&name)?.unwrap_or_default();
    let (records, ending) = decode_all(&bytes);
    match ending {
        Ending::Clean => disk.sync(&name)?,
        Ending::Torn(position) if is_last => disk.replace(&name, &bytes[..position])?,
        Ending::Torn(_) | Ending::Corrupt => return Err(WalError::Corrupt(name)),
    }
    Ok(records)
}

fn replay(records: Vec<Record>, hard_state: &mut HardState, entries: &mut Vec<Entry>) {
    for record in records {
        match record {
            Record::HardState(newer) => *hard_state = newer,
            Record::Entry(entry) => {
                let kept = entries.partition_point(|earlier| earlier.index < entry.index);
                entries.truncate(kept);
                entries.push(entry);
            }
        }
    }
}

/// Builds the log of the entries after the snapshot, which must have no gap.
fn build_log(snapshot: &Snapshot, entries: Vec<Entry>) -> Result<Log, WalError> {
    let index = snapshot.meta.index;
    let after: Vec<Entry> = entries.into_iter().filter(|entry| entry.index > index).collect();
    for (expected, entry) in (index + 1..).zip(&after) {
        if entry.index != expected {
            return Err(WalError::Corrupt(format!("entry {expected} is missing")));
        }
    }
    Ok(Log::new(index, snapshot.meta.term, after))
}

fn all_entries(log: &Log) -> Vec<Entry> {
    log.range(log.first_index(), log.last_index())
}
