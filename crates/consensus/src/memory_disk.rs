//! An in-memory disk for tests and the simulator, which can lose unsynced data.

use crate::disk::{Disk, DiskError};
use std::collections::BTreeMap;

#[derive(Clone, Debug, Default)]
struct File {
    content: Vec<u8>,
    synced: usize,
}

/// In-memory files with crash and corruption operations.
#[derive(Clone, Debug, Default)]
pub struct MemoryDisk {
    files: BTreeMap<String, File>,
    /// Number of syncs.
    pub syncs: u64,
}

impl MemoryDisk {
    /// Simulates a crash: keeps the synced bytes, and the first `torn` unsynced bytes of each file.
    pub fn crash(&mut self, torn: usize) {
        for file in self.files.values_mut() {
            let kept = (file.synced + torn).min(file.content.len());
            file.content.truncate(kept);
            file.synced = kept;
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
