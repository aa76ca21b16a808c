//! An in-memory disk for tests and the simulator. It tells the end of a process, which leaves all
//! that was written, from a loss of power, which may take away all that was not synced.

use crate::disk::{Disk, DiskError};
use std::collections::BTreeMap;

#[derive(Clone, Debug, Default)]
struct File {
    content: Vec<u8>,
    /// Bytes that a loss of power leaves.
    synced: usize,
    /// Where a sync has failed: the bytes from here are read back, but no later sync writes them.
    failed_at: Option<usize>,
}

impl File {
    fn synced(content: &[u8]) -> File {
        File { content: content.to_vec(), synced: content.len(), failed_at: None }
    }

    /// Keeps the synced bytes, and the first `torn` unsynced ones.
    fn lose_power(&mut self, torn: usize) {
        let written = self.failed_at.unwrap_or(self.content.len());
        let kept = (self.synced + torn).min(written);
        self.content.truncate(kept);
        self.synced = kept;
        self.failed_at = None;
    }
}

/// Where a process ends: within an operation on its disk.
#[derive(Clone, Copy, Debug)]
struct Interruption {
    /// Steps that are still completed. [`Disk::append`], [`Disk::sync`] and [`Disk::remove`] are a
    /// step each; [`Disk::replace`] writes and syncs a temporary file, renames it, and syncs names.
    steps: u32,
    /// Bytes that a write which is cut still adds.
    written: usize,
}

/// In-memory files with operations that interrupt, lose power and corrupt.
#[derive(Clone, Debug, Default)]
pub struct MemoryDisk {
    files: BTreeMap<String, File>,
    /// Names that were renamed or removed since names were synced, and the file that each had before.
    unsynced_names: BTreeMap<String, Option<File>>,
    interruption: Option<Interruption>,
    does_next_sync_fail: bool,
    /// Number of syncs.
    pub syncs: u64,
}

impl MemoryDisk {
    /// Lets all operations fail after so many further steps; a write that is cut adds its first
    /// `written` bytes. Ends with [`MemoryDisk::end_process`] or [`MemoryDisk::lose_power`].
    pub fn interrupt(&mut self, steps: u32, written: usize) {
        self.interruption = Some(Interruption { steps, written });
    }

    /// Lets the next sync of a file fail. What it should have made durable is read back until power
    /// is lost.
    pub fn fail_next_sync(&mut self) {
        self.does_next_sync_fail = true;
    }

    /// Whether an operation failed since [`MemoryDisk::interrupt`].
    pub fn is_interrupted(&self) -> bool {
        self.interruption.is_some_and(|interruption| interruption.steps == 0)
    }

    /// The process ends: what it wrote stays, and nothing more of it becomes durable.
    pub fn end_process(&mut self) {
        self.interruption = None;
    }

    /// The machine loses power: synced bytes stay, and the first `torn` unsynced bytes of each file.
    /// Of the names that changed since names were synced, the n-th is lost if bit n of `lost_names`
    /// is set.
    pub fn lose_power(&mut self, torn: usize, lost_names: u64) {
        self.end_process();
        for (number, (name, before)) in
            std::mem::take(&mut self.unsynced_names).into_iter().enumerate()
        {
            let is_lost = lost_names >> (number as u32 % u64::BITS) & 1 == 1;
            match before {
                Some(file) if is_lost => drop(self.files.insert(name, file)),
                None if is_lost => drop(self.files.remove(&name)),
                _ => {}
            }
        }
        for file in self.files.values_mut() {
            file.lose_power(torn);
        }
        self.files.retain(|_, file| !file.content.is_empty());
    }

    /// Removes the last synced bytes of each file, like a disk that ignores syncs.
    pub fn lose_synced(&mut self, bytes: usize) {
        for file in self.files.values_mut() {
            file.content.truncate(file.content.len().saturating_sub(bytes).max(1));
            file.synced = file.content.len();
        }
    }

    /// Inverts one byte of a file; returns false if the file is shorter.
    pub fn corrupt_byte(&mut self, name: &str, position: usize) -> bool {
        let byte = self.files.get_mut(name).and_then(|file| file.content.get_mut(position));
        if let Some(byte) = byte {
            *byte ^= 0xff;
            return true;
        }
        false
    }

    /// Size of all files in bytes.
    pub fn size(&self) -> usize {
        self.files.values().map(|file| file.content.len()).sum()
    }

    /// Whether the sync that is under way fails.
    fn fails_sync(&mut self) -> bool {
        self.syncs += 1;
        std::mem::take(&mut self.does_next_sync_fail)
    }

    /// Counts a step; where the process ends in it, returns how many bytes a write still adds.
    fn step(&mut self) -> Result<(), usize> {
        match &mut self.interruption {
            None => Ok(()),
            Some(Interruption { steps: 0, written }) => Err(std::mem::take(written)),
            Some(Interruption { steps, .. }) => {
                *steps -= 1;
                Ok(())
            }
        }
    }

    /// Notes what a name referred to before it is changed.
    fn change_name(&mut self, name: &str) {
        let before = self.files.get(name).cloned();
        self.unsynced_names.entry(name.to_owned()).or_insert(before);
    }
}

fn interrupted(_: usize) -> DiskError {
    DiskError("interrupted".to_owned())
}

fn failed_sync(name: &str) -> DiskError {
    DiskError(format!("{name}: sync failed"))
}

impl Disk for MemoryDisk {
    fn list(&self) -> Result<Vec<String>, DiskError> {
        Ok(self.files.keys().cloned().collect())
    }

    fn read(&self, name: &str) -> Result<Option<Vec<u8>>, DiskError> {
        Ok(self.files.get(name).map(|file| file.content.clone()))
    }

    fn append(&mut self, name: &str, bytes: &[u8]) -> Result<(), DiskError> {
        let step = self.step();
        let added = step.map_or_else(|written| written.min(bytes.len()), |()| bytes.len());
        let file = self.files.entry(name.to_owned()).or_default();
        file.content.extend_from_slice(&bytes[..added]);
        step.map_err(interrupted)
    }

    fn sync(&mut self, name: &str) -> Result<(), DiskError> {
        self.step().map_err(interrupted)?;
        let does_fail = self.fails_sync();
        let Some(file) = self.files.get_mut(name) else { return Ok(()) };
        if does_fail {
            file.failed_at = file.failed_at.or(Some(file.synced));
            return Err(failed_sync(name));
        }
        file.synced = file.content.len();
        Ok(())
    }

    fn sync_names(&mut self) -> Result<(), DiskError> {
        self.step().map_err(interrupted)?;
        self.unsynced_names.clear();
        Ok(())
    }

    fn replace(&mut self, name: &str, bytes: &[u8]) -> Result<(), DiskError> {
        self.step().map_err(interrupted)?;
        if self.fails_sync() {
            return Err(failed_sync(name));
        }
        self.step().map_err(interrupted)?;
        self.change_name(name);
        self.files.insert(name.to_owned(), File::synced(bytes));
        self.sync_names()
    }

    fn remove(&mut self, name: &str) -> Result<(), DiskError> {
        self.step().map_err(interrupted)?;
        self.change_name(name);
        self.files.remove(name);
        Ok(())
    }
}
