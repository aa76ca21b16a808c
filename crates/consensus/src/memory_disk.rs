//! A disk in memory that forgets what was not synced, for tests and the simulator.

use crate::disk::{Disk, DiskError};
use std::collections::BTreeMap;

#[derive(Clone, Debug, Default)]
struct File {
    content: Vec<u8>,
    synced: usize,
}

/// Files in memory.
#[derive(Clone, Debug, Default)]
pub struct MemoryDisk {
    files: BTreeMap<String, File>,
    /// Number of syncs so far, for cost accounting.
    pub syncs: u64,
}

impl MemoryDisk {
    /// What a machine finds after it stopped without warning: synced bytes, and of the unsynced
    /// ones the first `torn` of each file.
    pub fn crash(&mut self, torn: usize) {
        for file in self.files.values_mut() {
            let kept = (file.synced + torn).min(file.content.len());
            file.content.truncate(kept);
            file.synced = kept;
        }
        self.files.retain(|_, file| !file.content.is_empty());
    }

    /// Loses the last bytes of each file though they were synced, as a disk that lies does.
    pub fn lose_synced(&mut self, bytes: usize) {
        for file in self.files.values_mut() {
            file.content.truncate(file.content.len().saturating_sub(bytes).max(1));
            file.synced = file.content.len();
        }
    }

    /// Flips the bits of one byte of a file, if it is that long; returns whether it was.
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
}

impl Disk for MemoryDisk {
    fn list(&self) -> Result<Vec<String>, DiskError> {
        Ok(self.files.keys().cloned().collect())
    }

    fn read(&self, name: &str) -> Result<Option<Vec<u8>>, DiskError> {
        Ok(self.files.get(name).map(|file| file.content.clone()))
    }

    fn append(&mut self, name: &str, bytes: &[u8]) -> Result<(), DiskError> {
        let file = self.files.entry(name.to_owned()).or_default();
        file.content.extend_from_slice(bytes);
        Ok(())
    }

    fn sync(&mut self, name: &str) -> Result<(), DiskError> {
        self.syncs += 1;
        if let Some(file) = self.files.get_mut(name) {
            file.synced = file.content.len();
        }
        Ok(())
    }

    fn replace(&mut self, name: &str, bytes: &[u8]) -> Result<(), DiskError> {
        self.syncs += 1;
        let file = File { content: bytes.to_vec(), synced: bytes.len() };
        self.files.insert(name.to_owned(), file);
        Ok(())
    }

    fn remove(&mut self, name: &str) -> Result<(), DiskError> {
        self.files.remove(name);
        Ok(())
    }
}
